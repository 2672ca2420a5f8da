//! Says which links to open ahead of requests, and when: at a bounded rate, and after a failure
//! with an exponential delay.

use std::time;

use rand::{Rng as _, rngs};
use slotmap::SecondaryMap;
use world::{targets, time::Time};

/// The shortest time between the starts of two attempts of a node. Handshakes take processor time
/// at both ends, which the requests that run meanwhile need as well.
pub const START_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// The most attempts in flight. Together with those of [`prober`](crate::prober) they are fewer than
/// a pool of links allows, so that a request for which a link has to be opened does not wait.
pub const MAX_OPENING: usize = 1;
/// How long the host that does not connect first waits for its peer.
pub const PEER_GRACE: time::Duration = time::Duration::from_millis(1_000);
/// The delay after the first failure. It doubles with each further one.
pub const MIN_RETRY_DELAY: time::Duration = time::Duration::from_millis(300);
/// The longest delay after a failure.
pub const MAX_RETRY_DELAY: time::Duration = time::Duration::from_secs(5);
/// Upper bound of the random delay of a first attempt. Nodes that learn of a target at the same
/// time would otherwise connect to it at the same time, and fill its link with handshakes.
pub const FIRST_JITTER: time::Duration = time::Duration::from_millis(1_000);

/// A target whose host the node needs a link to.
#[derive(Clone, Copy, Debug)]
pub struct Wanted {
    /// Key of the target.
    pub key: targets::TargetKey,
    /// Whether the link is open.
    pub linked: bool,
    /// Whether the peer is expected to connect, so that this node waits for [`PEER_GRACE`].
    pub peer_first: bool,
}

/// The attempts of one node to open links ahead of requests.
#[derive(Clone, Debug, Default)]
pub struct Dialer {
    dials: SecondaryMap<targets::TargetKey, Dial>,
    /// When the next attempt may start.
    next_start: Time,
}

#[derive(Clone, Copy, Debug)]
struct Dial {
    /// When the next attempt is due; `None` while one is in flight.
    due: Option<Time>,
    /// Failures since the link was last open.
    failures: u32,
}

impl Dialer {
    /// Takes the target to connect to now, if any. Among those due, hosts without a failure come
    /// first, then those that come first in `wanted`. No further attempt at it is due until
    /// [`Dialer::record_result`] is called.
    pub fn take_due(
        &mut self,
        now: Time,
        wanted: &[Wanted],
        rng: &mut rngs::SmallRng,
    ) -> Option<targets::TargetKey> {
        self.update(now, wanted, rng);
        if now < self.next_start || self.opening() >= MAX_OPENING {
            return None;
        }
        let due = |key| self.dials.get(key).filter(|it| it.due.is_some_and(|at| at <= now));
        let due = wanted.iter().filter_map(|it| due(it.key).map(|dial| (dial.failures, it.key)));
        let (_, key) = due.min_by_key(|it| it.0)?;
        self.dials[key].due = None;
        self.next_start = now + START_INTERVAL + random(rng, START_INTERVAL);
        Some(key)
    }

    /// Records that an attempt opened a link, or failed.
    pub fn record_result(
        &mut self,
        now: Time,
        key: targets::TargetKey,
        opened: bool,
        rng: &mut rngs::SmallRng,
    ) {
        if opened {
            self.dials.remove(key);
            return;
        }
        let Some(dial) = self.dials.get_mut(key) else { return };
        let delay = MIN_RETRY_DELAY.saturating_mul(1 << dial.failures.min(16)).min(MAX_RETRY_DELAY);
        dial.failures += 1;
        dial.due = Some(now + delay / 2 + random(rng, delay / 2));
    }

    /// When the next attempt is due, if one is known.
    pub fn next_due(&self) -> Option<Time> {
        if self.opening() >= MAX_OPENING {
            return None;
        }
        let due = self.dials.values().filter_map(|it| it.due).min()?;
        Some(due.max(self.next_start))
    }

    fn opening(&self) -> usize {
        self.dials.values().filter(|it| it.due.is_none()).count()
    }

    /// Adds the wanted targets without a link, and removes those that are linked or not wanted any
    /// more. Attempts in flight stay until their result is recorded.
    fn update(&mut self, now: Time, wanted: &[Wanted], rng: &mut rngs::SmallRng) {
        let missing = wanted.iter().filter(|it| !it.linked);
        let needed: SecondaryMap<_, _> = missing.clone().map(|it| (it.key, ())).collect();
        self.dials.retain(|key, it| it.due.is_none() || needed.contains_key(key));
        for it in missing {
            if !self.dials.contains_key(it.key) {
                let grace = if it.peer_first { PEER_GRACE } else { time::Duration::ZERO };
                let due = now + grace + random(rng, FIRST_JITTER);
                self.dials.insert(it.key, Dial { due: Some(due), failures: 0 });
            }
        }
    }
}

/// A random time below `limit`.
fn random(rng: &mut rngs::SmallRng, limit: time::Duration) -> time::Duration {
    limit.mul_f64(rng.random())
}
