//! Which control a node is attached to.

use std::time;

use compact_str::CompactString;
use rand::Rng;
use slotmap::SlotMap;
use world::time::Time;

use crate::{floor, messages};

/// Silence after which a control counts as unreachable.
pub const SILENCE_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// How long an attempt to attach may take. A partition drops its packets, and one that began before
/// the partition ended must not hold up the next.
pub const ATTEMPT_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// How long a control that failed or is isolated comes after the others in the choice.
pub const FAILURE_COOLDOWN: time::Duration = time::Duration::from_secs(5);
/// How long a control that was isolated when the node tried it comes after the others. An election
/// is over soon, and a node whose home is cut off has to find the new leader's side.
pub const ISOLATION_COOLDOWN: time::Duration = time::Duration::from_millis(500);
/// The backoff after the first failure.
pub const BACKOFF_BASE: time::Duration = time::Duration::from_millis(100);
/// The largest backoff.
pub const BACKOFF_CAP: time::Duration = time::Duration::from_secs(1);

slotmap::new_key_type! {
    /// Key of a control in a node's arena.
    pub struct ControlKey;
}

/// A control that the node may attach to.
#[derive(Clone, Debug)]
pub struct Control {
    /// The host of the control.
    pub name: CompactString,
    /// Home or foster.
    pub source: floor::Source,
    cooldown_until: Time,
}

/// The session with the control that the node is attached to.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    /// The control.
    pub control: ControlKey,
    /// The session.
    pub session: messages::SessionId,
    /// When the last message came.
    pub heard: Time,
    /// The last acknowledgement and when it came.
    pub ack: Option<(messages::Ack, Time)>,
}

/// A control that the node tries to attach to.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// The control.
    pub control: ControlKey,
    /// The session, once the connection is open.
    pub session: Option<messages::SessionId>,
    since: Time,
}

/// The controls and the links to them.
#[derive(Clone, Debug, Default)]
pub struct Attachment {
    controls: SlotMap<ControlKey, Control>,
    order: Vec<ControlKey>,
    /// The control whose versions the node takes.
    pub link: Option<Link>,
    /// The control that it tries.
    pub attempt: Option<Attempt>,
    failures: u32,
    retry_at: Time,
}

impl Attachment {
    /// Home comes first, then the others in the order given.
    pub fn new(home: CompactString, others: Vec<CompactString>) -> Attachment {
        let mut attachment = Attachment::default();
        attachment.add(home, floor::Source::Home);
        for name in others {
            attachment.add(name, floor::Source::Foster);
        }
        attachment
    }

    /// The control with this key.
    pub fn control(&self, key: ControlKey) -> Option<&Control> {
        self.controls.get(key)
    }

    /// The kind of a control.
    pub fn source(&self, key: ControlKey) -> floor::Source {
        self.controls.get(key).map_or(floor::Source::Foster, |it| it.source)
    }

    /// Keys of all controls, in the order of preference.
    pub fn keys(&self) -> impl Iterator<Item = ControlKey> {
        self.order.iter().copied()
    }

    /// The control to connect to now, if there is a better one than the node has.
    pub fn start_attempt(&mut self, now: Time) -> Option<ControlKey> {
        if self.attempt.is_some() || now < self.retry_at {
            return None;
        }
        let control = self.choose(now)?;
        self.attempt = Some(Attempt { control, session: None, since: now });
        Some(control)
    }

    /// Ends an attempt that takes too long, and returns its control.
    pub fn expired_attempt(&mut self, now: Time) -> Option<ControlKey> {
        let attempt = self.attempt?;
        (now.since(attempt.since) >= ATTEMPT_TIMEOUT).then_some(attempt.control)
    }

    /// The control of the link, when it has been silent for too long.
    pub fn silent_control(&self, now: Time) -> Option<ControlKey> {
        let link = self.link?;
        (now.since(link.heard) >= SILENCE_TIMEOUT).then_some(link.control)
    }

    /// Takes note that a connection failed. Returns whether the node lost its link.
    pub fn record_failure(&mut self, now: Time, control: ControlKey, rng: &mut impl Rng) -> bool {
        self.deprioritize(now, control);
        self.retry_at = now + backoff(self.failures, rng);
        self.failures = self.failures.saturating_add(1);
        if self.attempt.is_some_and(|it| it.control == control) {
            self.attempt = None;
        }
        let lost = self.link.is_some_and(|it| it.control == control);
        if lost {
            self.link = None;
        }
        lost
    }

    /// Puts a control after the others for a while.
    pub fn deprioritize(&mut self, now: Time, control: ControlKey) {
        if let Some(it) = self.controls.get_mut(control) {
            it.cooldown_until = now + FAILURE_COOLDOWN;
        }
    }

    /// Makes the attempt the link. Returns the control that the node leaves.
    pub fn complete_attempt(
        &mut self,
        now: Time,
        session: messages::SessionId,
    ) -> Option<ControlKey> {
        let attempt = self.attempt.take()?;
        let left = self.link.map(|it| it.control).filter(|it| *it != attempt.control);
        self.link = Some(Link { control: attempt.control, session, heard: now, ack: None });
        self.failures = 0;
        left
    }

    /// Puts a control after the others until an election may be over.
    pub fn deprioritize_isolated(&mut self, now: Time, control: ControlKey) {
        if let Some(it) = self.controls.get_mut(control) {
            it.cooldown_until = it.cooldown_until.max(now + ISOLATION_COOLDOWN);
        }
    }

    fn add(&mut self, name: CompactString, source: floor::Source) {
        let key = self.controls.insert(Control { name, source, cooldown_until: Time::ZERO });
        self.order.push(key);
    }

    fn choose(&self, now: Time) -> Option<ControlKey> {
        let rank = |key: ControlKey| {
            let until = self.controls[key].cooldown_until;
            if until > now { until } else { Time::ZERO }
        };
        // Among controls that failed, the one that failed first is tried first.
        let best = self.order.iter().copied().min_by_key(|it| rank(*it))?;
        let Some(link) = self.link else { return Some(best) };
        let place = |key| self.order.iter().position(|it| *it == key);
        let better = rank(link.control) > Time::ZERO || place(best) < place(link.control);
        (best != link.control && rank(best) == Time::ZERO && better).then_some(best)
    }
}

/// A random wait between zero and the exponential backoff ("full jitter"), so that nodes that lost
/// their control together do not come back together.
pub fn backoff(failures: u32, rng: &mut impl Rng) -> time::Duration {
    let most = BACKOFF_BASE.saturating_mul(1 << failures.min(16)).min(BACKOFF_CAP);
    rng.random_range(time::Duration::ZERO..=most)
}
