//! Says which targets to probe because their hosts are unresponsive, that is, nothing is received
//! from them.
//!
//! A broken link looks like an idle one until something is sent, and the request that finds out is
//! lost for its caller. So when one host becomes unresponsive, other targets of its data centre are
//! probed: a network partition usually cuts off whole data centres. A few of them are probed first,
//! and the rest only when none of these answers, so that one silent host costs a few probes however
//! many targets there are. Probes, and attempts to open links, are bounded and repeated with
//! exponential delays, since both use the link whose load may be the cause.

use std::time;

use rand::{Rng as _, SeedableRng as _, rngs, seq::SliceRandom as _};
use slotmap::SecondaryMap;
use world::{targets, time::Time};

/// Other targets of a data centre that are probed when a host of it becomes unresponsive.
pub const NEIGHBOUR_PROBES: usize = 3;
/// Most probes of a node in flight.
pub const MAX_PROBES: usize = 16;
/// Most background attempts of a node to connect to hosts that it has no link to. It is lower than
/// the limit on handshakes in flight, of which hosts that cannot be reached would take all.
pub const MAX_CONNECTS: usize = 2;
/// Delay from an unanswered probe or a failed attempt to connect to the next one. It doubles with
/// each of them, and is reduced by up to half at random.
pub const INITIAL_DELAY: time::Duration = time::Duration::from_millis(300);
/// Longest delay between two probes of a host.
pub const MAX_PROBE_DELAY: time::Duration = time::Duration::from_secs(2);
/// Longest delay between two attempts to connect to a host.
pub const MAX_CONNECT_DELAY: time::Duration = time::Duration::from_secs(5);
/// Longest delay between two attempts to connect for each host that waits for a connection, up to
/// [`MAX_CONNECT_DELAY`]. A node that waits for one host notices its return within about a second.
pub const CONNECT_DELAY_PER_HOST: time::Duration = time::Duration::from_secs(1);

/// The targets that one node probes.
#[derive(Clone, Debug)]
pub struct Prober {
    probes: SecondaryMap<targets::TargetKey, Probe>,
    samples: Vec<Sample>,
    rng: rngs::SmallRng,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    stage: Stage,
    /// Whether the host is known to be unresponsive.
    unresponsive: bool,
    /// Whether a link to the host was open when it was last needed.
    linked: bool,
    /// Consecutive probes without an answer and attempts to connect that failed.
    failures: u32,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// The next probe is due at this time.
    Waiting(Time),
    /// A probe is in flight.
    Probing,
    /// An attempt to connect is in progress.
    Connecting,
}

/// The targets of a data centre whose probes decide whether its other targets are probed as well.
#[derive(Clone, Debug)]
struct Sample {
    /// The target whose host became unresponsive.
    origin: targets::TargetKey,
    /// Probed targets without a result.
    pending: Vec<targets::TargetKey>,
    /// The targets to probe when no target of the sample answers.
    rest: Vec<targets::TargetKey>,
}

impl Sample {
    fn contains(&self, target: targets::TargetKey) -> bool {
        self.origin == target || self.pending.contains(&target) || self.rest.contains(&target)
    }
}

impl Default for Prober {
    fn default() -> Prober {
        Prober::new(0)
    }
}

impl Prober {
    /// Creates a prober without targets. The seed determines the delays, so that the probes of
    /// different nodes are spread over time.
    pub fn new(seed: u64) -> Prober {
        let rng = rngs::SmallRng::seed_from_u64(seed);
        Prober { probes: SecondaryMap::new(), samples: Vec::new(), rng }
    }

    /// Marks a target's host as unresponsive, and starts to probe it and [`NEIGHBOUR_PROBES`] of
    /// its `neighbours`, the other targets of its data centre to which links are open. The other
    /// ones are probed when none of these answers. Returns whether the host was not known to be
    /// unresponsive.
    pub fn mark_unresponsive(
        &mut self,
        now: Time,
        target: targets::TargetKey,
        neighbours: impl Iterator<Item = targets::TargetKey>,
    ) -> bool {
        let known = self.probes.get(target).copied();
        if known.is_some_and(|it| it.unresponsive) {
            return false;
        }
        let probe = known.unwrap_or(Probe::due(now));
        self.probes.insert(target, Probe { unresponsive: true, ..probe });
        if !self.samples.iter().any(|it| it.contains(target)) {
            self.start_sample(now, target, neighbours);
        }
        true
    }

    /// Marks a target's host as unresponsive because no link to it could be opened, which says
    /// nothing of its neighbours. Returns whether the host was not known to be unresponsive.
    pub fn mark_unconnected(&mut self, now: Time, target: targets::TargetKey) -> bool {
        match self.probes.get_mut(target) {
            Some(probe) if probe.unresponsive => return false,
            // The result of the probe in flight schedules the next one.
            Some(probe) if probe.due_at().is_none() => probe.unresponsive = true,
            _ => {
                self.probes.insert(target, Probe { unresponsive: true, ..Probe::due(now) });
                self.record_unconnected(now, target);
            }
        }
        true
    }

    /// Returns the targets to probe now. No further probe of them is due until the result of this
    /// one is reported with [`Prober::remove`], [`Prober::discard`], [`Prober::record_unanswered`]
    /// or, after [`Prober::start_connect`], [`Prober::record_unconnected`].
    pub fn take_due(&mut self, now: Time) -> Vec<targets::TargetKey> {
        let is_due = |it: &Probe| it.due_at().filter(|at| *at <= now);
        let due = self.probes.iter().filter_map(|(key, it)| Some((is_due(it)?, key)));
        let mut due: Vec<_> = due.collect();
        due.sort_by_key(|it| it.0);
        due.truncate(MAX_PROBES.saturating_sub(self.count(Stage::Probing)));
        for (_, key) in &due {
            self.probes[*key].stage = Stage::Probing;
        }
        due.into_iter().map(|it| it.1).collect()
    }

    /// Whether a target is probed, so that a result will follow.
    pub fn is_probed(&self, target: targets::TargetKey) -> bool {
        self.probes.contains_key(target)
    }

    /// Returns when the next probe is due; `None` if no target waits for one, or if none can be
    /// sent before the result of another one is reported.
    pub fn next_due(&self) -> Option<Time> {
        if self.count(Stage::Probing) >= MAX_PROBES {
            return None;
        }
        self.probes.values().filter_map(Probe::due_at).min()
    }

    /// Stops probing a target whose host has answered. Returns whether the host was known to be
    /// unresponsive.
    pub fn remove(&mut self, target: targets::TargetKey) -> bool {
        self.samples.retain(|it| !it.contains(target));
        self.probes.remove(target).is_some_and(|it| it.unresponsive)
    }

    /// Stops probing a target that is gone, or to which no link is open although its host is not
    /// known to be unresponsive. That is no sign of the other targets, so another one takes its
    /// place.
    pub fn discard(&mut self, now: Time, target: targets::TargetKey) {
        self.probes.remove(target);
        let mut due = Vec::new();
        for sample in &mut self.samples {
            sample.rest.retain(|it| *it != target && !self.probes.contains_key(*it));
            if let Some(at) = sample.pending.iter().position(|it| *it == target) {
                sample.pending.swap_remove(at);
                let next = sample.rest.pop();
                sample.pending.extend(next);
                due.extend(next);
            }
        }
        self.samples.retain(|it| !it.pending.is_empty());
        self.schedule(now, due);
    }

    /// Makes the probes of unresponsive `neighbours` due at once, after a host of their data centre
    /// has become reachable again.
    pub fn expedite(&mut self, now: Time, neighbours: impl Iterator<Item = targets::TargetKey>) {
        for key in neighbours {
            if let Some(probe) = self.probes.get_mut(key)
                && let Stage::Waiting(at) = probe.stage
            {
                probe.stage = Stage::Waiting(at.min(now));
                probe.failures = 0;
            }
        }
    }

    /// Marks the host of a target as unresponsive after an unanswered probe, and schedules the next
    /// probe. Returns whether the host was not known to be unresponsive. Does nothing if the target
    /// is not probed.
    pub fn record_unanswered(&mut self, now: Time, target: targets::TargetKey) -> bool {
        let Some(probe) = self.probes.get(target).copied() else { return false };
        let delay = self.delay(probe.failures, MAX_PROBE_DELAY);
        let failures = probe.failures.saturating_add(1);
        let stage = Stage::Waiting(now + delay);
        self.probes.insert(target, Probe { stage, unresponsive: true, linked: true, failures });
        self.end_samples(now, target);
        !probe.unresponsive
    }

    /// Returns whether to connect to the host of a target that was to be probed and has no open
    /// link. Otherwise the probe is due again later, or the target is not probed any more because
    /// its host is not known to be unresponsive.
    pub fn start_connect(&mut self, now: Time, target: targets::TargetKey) -> bool {
        let connecting = self.count(Stage::Connecting);
        let Some(probe) = self.probes.get_mut(target) else { return false };
        if !probe.unresponsive {
            self.discard(now, target);
            return false;
        }
        if probe.linked {
            probe.linked = false;
            probe.failures = 0;
        }
        if connecting < MAX_CONNECTS {
            probe.stage = Stage::Connecting;
            return true;
        }
        let delay = self.connect_delay(target);
        self.probes[target].stage = Stage::Waiting(now + delay);
        false
    }

    /// Schedules the next attempt to connect to a target's host after one that failed. Does nothing
    /// if the target is not probed.
    pub fn record_unconnected(&mut self, now: Time, target: targets::TargetKey) {
        let Some(probe) = self.probes.get_mut(target) else { return };
        probe.linked = false;
        let delay = self.connect_delay(target);
        let probe = &mut self.probes[target];
        probe.stage = Stage::Waiting(now + delay);
        probe.failures = probe.failures.saturating_add(1);
    }

    fn count(&self, stage: Stage) -> usize {
        self.probes.values().filter(|it| it.stage == stage).count()
    }

    /// Starts to probe some of the neighbours that are not probed yet, chosen at random so that the
    /// probes of several nodes do not all go to the same hosts.
    fn start_sample(
        &mut self,
        now: Time,
        origin: targets::TargetKey,
        neighbours: impl Iterator<Item = targets::TargetKey>,
    ) {
        let mut rest: Vec<_> = neighbours.filter(|it| !self.probes.contains_key(*it)).collect();
        rest.shuffle(&mut self.rng);
        let pending = rest.split_off(rest.len().saturating_sub(NEIGHBOUR_PROBES));
        if pending.is_empty() {
            return;
        }
        self.schedule(now, pending.clone());
        self.samples.push(Sample { origin, pending, rest });
    }

    /// Ends the samples whose last pending probe was that of `target`, which was not answered, and
    /// starts to probe the rest of their data centres.
    fn end_samples(&mut self, now: Time, target: targets::TargetKey) {
        let mut due = Vec::new();
        for sample in &mut self.samples {
            sample.pending.retain(|it| *it != target);
            if sample.pending.is_empty() {
                due.append(&mut sample.rest);
            }
        }
        self.samples.retain(|it| !it.pending.is_empty());
        self.schedule(now, due);
    }

    fn schedule(&mut self, now: Time, targets: Vec<targets::TargetKey>) {
        for key in targets {
            if !self.probes.contains_key(key) {
                self.probes.insert(key, Probe::due(now));
            }
        }
    }

    fn connect_delay(&mut self, target: targets::TargetKey) -> time::Duration {
        let waiting = self.probes.values().filter(|it| it.unresponsive && !it.linked).count();
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        let longest = CONNECT_DELAY_PER_HOST.saturating_mul(waiting).min(MAX_CONNECT_DELAY);
        let failures = self.probes.get(target).map_or(0, |it| it.failures);
        self.delay(failures, longest)
    }

    /// An exponential delay, of which a random half may be left out.
    fn delay(&mut self, failures: u32, longest: time::Duration) -> time::Duration {
        let full = INITIAL_DELAY.saturating_mul(1 << failures.min(16)).min(longest);
        full.mul_f64(self.rng.random_range(0.5..=1.0))
    }
}

impl Probe {
    fn due(at: Time) -> Probe {
        Probe { stage: Stage::Waiting(at), unresponsive: false, linked: true, failures: 0 }
    }

    /// Returns when the next probe is due; `None` while one is in flight.
    fn due_at(&self) -> Option<Time> {
        match self.stage {
            Stage::Waiting(at) => Some(at),
            Stage::Probing | Stage::Connecting => None,
        }
    }
}
