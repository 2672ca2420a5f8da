//! Chooses the control that a node is attached to: the home control where possible.

use std::{iter, mem, time};

use compact_str::CompactString;
use rand::Rng;
use slotmap::SlotMap;
use world::time::Time;

use crate::{floor, messages};

/// Time without a message after which a control counts as unreachable. Until this long after its
/// last contact with a node, an isolated home control relies on the version that the node reported.
pub const CONTACT_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// The shortest time for which a control may owe an acknowledgement, with nothing else arriving
/// from it, until the node tries another one beside it. An accepted version has to be in force
/// within 2 s, of which up to 1 s passes before the next beat.
pub const SUSPICION_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// How many times longer than usual an acknowledgement must take before the node tries another
/// control: on a full link they are all late.
pub const SUSPICION_FACTOR: u32 = 4;
/// How long the acknowledgements of a control that has just been attached to are taken to need. It
/// is long because a control is slow while its fleet starts, and falls with each acknowledgement.
pub const INITIAL_ACK_DELAY: time::Duration = time::Duration::from_millis(500);
/// How long an attempt to attach may take. An attempt during a partition hangs because its packets
/// are dropped, and must not delay the next one for long after the partition ends.
pub const ATTEMPT_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// How long a control comes after the others in the choice when a connection to it failed, when it
/// became isolated or refused the node.
pub const FAILURE_COOLDOWN: time::Duration = time::Duration::from_secs(5);
/// How long a control that was isolated at an attempt comes after the others. It is short because
/// elections are: a node whose home control is cut off must find a control that reaches the new
/// leader.
pub const ISOLATION_COOLDOWN: time::Duration = time::Duration::from_millis(500);
/// The upper bound of the random wait after the first failure; it doubles with each further one.
pub const BACKOFF_BASE: time::Duration = time::Duration::from_millis(100);
/// The limit of the upper bound after many failures.
pub const BACKOFF_CAP: time::Duration = time::Duration::from_secs(1);

slotmap::new_key_type! {
    /// Key of a [`Control`] in a node's arena.
    pub struct ControlKey;
}

/// A control that the node may attach to.
#[derive(Clone, Debug)]
pub struct Control {
    /// The name of the control's host.
    pub name: CompactString,
    /// Whether it is the node's home control or a fallback control.
    pub source: floor::Source,
    /// Until when it comes after the others in the choice.
    cooldown_until: Time,
    /// Whether the last list of controls did not have it, so that it is not tried any more.
    pub gone: bool,
}

/// A control in the list that a node learns of. The list is in the order of preference.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listed {
    /// The name of the control's host.
    pub name: CompactString,
    /// Whether it is in the node's own data centre.
    pub local: bool,
}

/// What a node reaches.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reach {
    /// It is attached to a control that reaches a leader, as of its last answer.
    Leader,
    /// It is attached to a control that reaches no leader.
    Control,
    /// It is attached to no control, or to a silent one.
    Nothing,
}

/// The session with the control that the node is attached to.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    /// The control that the node is attached to.
    pub control: ControlKey,
    /// The session with it.
    pub session: messages::SessionId,
    /// Whether the hello of the session named it as the node's home control.
    pub home: bool,
    /// When its last message arrived.
    pub last_contact: Time,
    /// When the last packet of its connection arrived. A long message arrives in many packets.
    pub last_packet: Time,
    /// Whether another control is tried, since this one owes an acknowledgement for long.
    pub suspected: bool,
    /// The last acknowledgement, and when it arrived.
    pub ack: Option<(messages::Ack, Time)>,
}

impl Link {
    /// Whether the control reaches a leader, as of its last answer, and is not silent.
    pub(crate) fn is_serving(&self) -> bool {
        !self.suspected && self.ack.is_none_or(|(ack, _)| !ack.isolated)
    }
}

/// An attempt to attach to a control.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// The control that the node tries to attach to.
    pub control: ControlKey,
    /// The session that a hello asked for, once the connection is open.
    pub session: Option<messages::SessionId>,
    /// Whether that hello named it as the node's home control.
    pub home: bool,
    /// When the attempt began.
    pub since: Time,
}

/// The controls of the mesh, with the node's link to one and the attempt at a better one.
#[derive(Clone, Debug, Default)]
pub struct Attachment {
    controls: SlotMap<ControlKey, Control>,
    /// The controls in the order of preference.
    order: Vec<ControlKey>,
    /// The link to the control whose versions the node accepts.
    pub link: Option<Link>,
    /// The attempt that is under way.
    pub attempt: Option<Attempt>,
    failures: u32,
    retry_at: Time,
}

impl Attachment {
    /// Nothing is attached yet. The home control is preferred, then the others in the order given.
    pub fn new(home: CompactString, others: Vec<CompactString>) -> Attachment {
        let mut attachment = Attachment::default();
        attachment.add(home, floor::Source::Home);
        for name in others {
            attachment.add(name, floor::Source::Foster);
        }
        attachment
    }

    /// The control with this key; none for an unknown key.
    pub fn control(&self, key: ControlKey) -> Option<&Control> {
        self.controls.get(key)
    }

    /// Whether a control is the home control. An unknown key counts as a fallback
    /// control.
    pub fn source(&self, key: ControlKey) -> floor::Source {
        self.controls.get(key).map_or(floor::Source::Foster, |it| it.source)
    }

    /// The home control; none before there is any control.
    pub fn home(&self) -> Option<&Control> {
        self.order.iter().map(|it| &self.controls[*it]).find(|it| it.source == floor::Source::Home)
    }

    /// Replaces the controls by those of `listed`, of which those that stay keep their state. One
    /// that is gone comes last and is not tried any more. If the node is attached to it, it stays
    /// so until another control answers. It keeps its key until the next list that lacks it, or
    /// longer while it is in use. An empty list changes nothing. Returns whether another control is
    /// the home control.
    pub fn update(&mut self, listed: &[Listed]) -> bool {
        let Some(home) = self.next_home(listed) else { return false };
        let changed = self.home().is_none_or(|it| it.name != home);
        self.drop_gone(listed);
        let before = mem::take(&mut self.order);
        let others = listed.iter().map(|it| &it.name).filter(|it| **it != home);
        for name in iter::once(&home).chain(others) {
            let source = if *name == home { floor::Source::Home } else { floor::Source::Foster };
            self.put(&before, name, source);
        }
        for key in before {
            if !self.order.contains(&key) {
                self.controls[key].source = floor::Source::Foster;
                self.controls[key].gone = true;
                self.order.push(key);
            }
        }
        changed
    }

    /// Keys of all controls, in the order of preference.
    pub fn keys(&self) -> impl Iterator<Item = ControlKey> {
        self.order.iter().copied()
    }

    /// What the node reaches.
    pub fn reach(&self) -> Reach {
        match self.link {
            Some(link) if link.is_serving() => Reach::Leader,
            Some(link) if !link.suspected => Reach::Control,
            Some(_) | None => Reach::Nothing,
        }
    }

    /// Starts an attempt when none is under way and a better control than the attached one may be
    /// tried now. Returns the control to connect to.
    pub fn start_attempt(&mut self, now: Time) -> Option<ControlKey> {
        if self.attempt.is_some() || now < self.retry_at {
            return None;
        }
        let control = self.choose(now)?;
        self.attempt = Some(Attempt { control, session: None, home: false, since: now });
        Some(control)
    }

    /// The control of the attempt, when it has taken [`ATTEMPT_TIMEOUT`]. The caller ends it with
    /// [`Attachment::record_failure`].
    pub fn expired_attempt(&mut self, now: Time) -> Option<ControlKey> {
        let attempt = self.attempt?;
        (now.since(attempt.since) >= ATTEMPT_TIMEOUT).then_some(attempt.control)
    }

    /// The attached control, when nothing arrived from it for [`CONTACT_TIMEOUT`].
    pub fn unresponsive_control(&self, now: Time) -> Option<ControlKey> {
        let link = self.link?;
        (now.since(link.last_contact) >= CONTACT_TIMEOUT).then_some(link.control)
    }

    /// Puts the attached control after the others when it has owed an acknowledgement since `asked`
    /// and been silent for `limit`. The node stays attached to it until another one answers.
    pub fn suspect_silent_control(&mut self, now: Time, asked: Time, limit: time::Duration) {
        let Some(link) = &mut self.link else { return };
        if link.suspected || now.since(asked.max(link.last_packet)) < limit {
            return;
        }
        link.suspected = true;
        let control = link.control;
        self.deprioritize(now, control);
    }

    /// Records that a packet of the attached control arrived, which ends a suspicion. Returns the
    /// control of an attempt that is no longer needed; its connection is to be closed.
    pub fn record_packet(&mut self, now: Time) -> Option<ControlKey> {
        let link = self.link.as_mut()?;
        link.last_packet = now;
        if !link.suspected {
            return None;
        }
        link.suspected = false;
        self.restore_attached(now)
    }

    /// Ends the cooldown of the attached control, which has shown that it serves. Returns the
    /// control of an attempt that is no longer needed; its connection is to be closed.
    pub fn restore_attached(&mut self, now: Time) -> Option<ControlKey> {
        let link = self.link?;
        let control = self.controls.get_mut(link.control)?;
        if control.cooldown_until <= now {
            return None;
        }
        control.cooldown_until = now;
        let attempt = self.attempt?;
        if self.choose(now) == Some(attempt.control) {
            return None;
        }
        self.attempt = None;
        Some(attempt.control)
    }

    /// Records that a connection could not be opened or broke: the control comes after the others,
    /// and the next attempt waits for the backoff. Returns whether the node lost its link.
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

    /// Puts a control after the others for [`FAILURE_COOLDOWN`].
    pub fn deprioritize(&mut self, now: Time, control: ControlKey) {
        if let Some(it) = self.controls.get_mut(control) {
            it.cooldown_until = now + FAILURE_COOLDOWN;
        }
    }

    /// Makes the attempt the node's link. Returns the control that it was attached to before, if
    /// that is another one; its connection is to be closed.
    pub fn complete_attempt(
        &mut self,
        now: Time,
        session: messages::SessionId,
    ) -> Option<ControlKey> {
        let attempt = self.attempt.take()?;
        let previous = self.link.map(|it| it.control).filter(|it| *it != attempt.control);
        self.link = Some(Link {
            control: attempt.control,
            session,
            home: attempt.home,
            last_contact: now,
            last_packet: now,
            suspected: false,
            ack: None,
        });
        self.failures = 0;
        previous
    }

    /// Puts a control after the others for [`ISOLATION_COOLDOWN`], by when an election may be over.
    pub fn deprioritize_isolated(&mut self, now: Time, control: ControlKey) {
        if let Some(it) = self.controls.get_mut(control) {
            it.cooldown_until = it.cooldown_until.max(now + ISOLATION_COOLDOWN);
        }
    }

    fn add(&mut self, name: CompactString, source: floor::Source) {
        let control = Control { name, source, cooldown_until: Time::ZERO, gone: false };
        let key = self.controls.insert(control);
        self.order.push(key);
    }

    /// Puts a control of a new list after those that are there. One of `before` keeps its key.
    fn put(&mut self, before: &[ControlKey], name: &CompactString, source: floor::Source) {
        let known = before.iter().find(|it| self.controls[**it].name == *name);
        let Some(&key) = known else { return self.add(name.clone(), source) };
        self.controls[key].source = source;
        self.controls[key].gone = false;
        if !self.order.contains(&key) {
            self.order.push(key);
        }
    }

    /// The home control of a new list. The present one stays while it is listed: a change costs its
    /// nodes a time in which they take no version without a token. It gives way to a control of the
    /// node's own data centre only if it is in another one.
    fn next_home(&self, listed: &[Listed]) -> Option<CompactString> {
        let first = listed.iter().find(|it| it.local).or(listed.first())?;
        let present = self.home().and_then(|home| listed.iter().find(|it| it.name == home.name));
        let stays = present.filter(|it| it.local || !first.local);
        Some(stays.unwrap_or(first).name.clone())
    }

    /// Drops the controls that an earlier list did not have either, except those in use.
    fn drop_gone(&mut self, listed: &[Listed]) {
        let used = [self.link.map(|it| it.control), self.attempt.map(|it| it.control)];
        self.controls.retain(|key, it| {
            !it.gone || used.contains(&Some(key)) || listed.iter().any(|l| l.name == it.name)
        });
        self.order.retain(|it| self.controls.contains_key(*it));
    }

    /// The best control to attach to, unless the node has it or a better one already.
    fn choose(&self, now: Time) -> Option<ControlKey> {
        let rank = |key: ControlKey| {
            let until = self.controls[key].cooldown_until;
            if until > now { until } else { Time::ZERO }
        };
        // When all controls cool down, the one whose cooldown ends first is tried.
        let listed = self.order.iter().copied().filter(|it| !self.controls[*it].gone);
        let best = listed.min_by_key(|it| rank(*it))?;
        let Some(link) = self.link else { return Some(best) };
        let place = |key| self.order.iter().position(|it| *it == key);
        let better = rank(link.control) > Time::ZERO || place(best) < place(link.control);
        (best != link.control && rank(best) == Time::ZERO && better).then_some(best)
    }
}

/// A random wait from zero to the exponential backoff ("full jitter"), so that nodes that lost
/// their control at the same time do not reconnect at the same time.
pub fn backoff(failures: u32, rng: &mut impl Rng) -> time::Duration {
    let limit = BACKOFF_BASE.saturating_mul(1 << failures.min(16)).min(BACKOFF_CAP);
    rng.random_range(time::Duration::ZERO..=limit)
}
