//! A node's sessions with controls: hellos, acknowledgements and beats.

use std::time;

use rand::Rng;
use world::time::Time;

use crate::{
    attach, floor, messages,
    updater::{self, Effect, Updater},
};

impl Updater {
    /// Opens a new session on the same connection, to tell the control what the node has now.
    pub(crate) fn reopen_session(
        &mut self,
        now: Time,
        rng: &mut impl Rng,
        effects: &mut Vec<Effect>,
    ) {
        let Some(mut link) = self.attachment.link else { return };
        link.session = messages::SessionId(rng.random());
        link.home = self.trusted_source(link.control) == floor::Source::Home;
        self.attachment.link = Some(link);
        self.unacknowledged = [now].into();
        self.drop_pending();
        effects.push(Effect::SendHello(link.control, self.new_hello(link.session, link.home)));
    }

    /// Opens a new session when a node without a version has learned something about its floor
    /// token, since that changes which versions it may accept.
    pub(crate) fn report_floor(
        &mut self,
        now: Time,
        rng: &mut impl Rng,
        effects: &mut Vec<Effect>,
    ) {
        if self.head().is_none() && self.reported_floor != self.floor {
            self.reopen_session(now, rng, effects);
        }
    }

    /// Counts the floor as absent when no announcement came within
    /// [`floor::ANNOUNCEMENT_TIMEOUT`]. The node then accepts a version with proof; a token that
    /// comes later can only raise the lowest version that it accepts.
    pub(crate) fn expire_announcement_wait(
        &mut self,
        now: Time,
        rng: &mut impl Rng,
        effects: &mut Vec<Effect>,
    ) {
        let waits = self.floor == floor::Floor::Unknown && self.toggles.announcement_wait;
        if waits && now.since(self.started) >= floor::ANNOUNCEMENT_TIMEOUT {
            self.floor = floor::Floor::Absent;
            self.report_floor(now, rng, effects);
        }
    }

    /// Handles an acknowledgement. The first one of a session completes the attempt to attach.
    pub(crate) fn handle_ack(
        &mut self,
        now: Time,
        control: attach::ControlKey,
        ack: messages::Ack,
        effects: &mut Vec<Effect>,
    ) {
        let attempt = self.attachment.attempt.filter(|it| it.session == Some(ack.session));
        if attempt.is_some_and(|it| it.control == control)
            && !self.complete_attempt(now, control, ack, effects)
        {
            return;
        }
        let Some(link) = self.attachment.link.as_mut().filter(|it| it.session == ack.session)
        else {
            return;
        };
        link.last_contact = now;
        // One that is delivered twice acknowledges nothing more.
        let is_new = link.ack.is_none_or(|(it, _)| it.stamp.at < ack.stamp.at);
        let asked = if is_new { self.unacknowledged.pop_front() } else { None };
        if is_new {
            link.ack = Some((ack, now));
        }
        if let Some(asked) = asked {
            let delay = now.since(asked);
            self.ack_delay = delay.max((self.ack_delay * 7 + delay) / 8);
        }
        self.record_packet(now, control, effects);
        if ack.isolated {
            self.deprioritize_unready(now, control);
            return;
        }
        self.restore_attached(now, effects);
        if self.running().is_some_and(|it| it.version() >= ack.version) {
            let age = time::Duration::from_millis(ack.age_ms.into());
            let known = asked.and_then(|it| it.checked_sub(age));
            self.confirmed_at = known.max(self.confirmed_at);
        }
    }

    /// Records that a packet of a control arrived, and ends an attempt that was made because of its
    /// silence.
    pub(crate) fn record_packet(
        &mut self,
        now: Time,
        control: attach::ControlKey,
        effects: &mut Vec<Effect>,
    ) {
        if self.attached() == Some(control)
            && let Some(attempted) = self.attachment.record_packet(now)
        {
            effects.push(Effect::Close(attempted));
        }
    }

    /// Ends the cooldown of the attached control, which serves, and the attempt at another one that
    /// the cooldown led to.
    pub(crate) fn restore_attached(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if let Some(attempted) = self.attachment.restore_attached(now) {
            effects.push(Effect::Close(attempted));
        }
    }

    /// Puts a control that cannot serve after the others. A node that runs nothing tries it again
    /// soon, because right after a start no control has a leader yet.
    pub(crate) fn deprioritize_unready(&mut self, now: Time, control: attach::ControlKey) {
        if self.running.is_none() {
            self.attachment.deprioritize_isolated(now, control);
        } else {
            self.attachment.deprioritize(now, control);
        }
    }

    /// Attaches to the control of the attempt, unless that is isolated while the node has a link.
    /// The control of the link may be isolated too, but the node already waits there for a version,
    /// and each change is an event for every node of the mesh. Returns whether it attached.
    fn complete_attempt(
        &mut self,
        now: Time,
        control: attach::ControlKey,
        ack: messages::Ack,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(asked) = self.attachment.attempt.map(|it| it.since) else { return false };
        if ack.isolated && self.attachment.link.is_some() {
            self.attachment.deprioritize_isolated(now, control);
            self.attachment.attempt = None;
            effects.push(Effect::Close(control));
            return false;
        }
        if let Some(previous) = self.attachment.complete_attempt(now, ack.session) {
            effects.push(Effect::Close(previous));
        }
        self.unacknowledged = [asked].into();
        self.ack_delay = self.ack_delay.max(attach::INITIAL_ACK_DELAY);
        self.drop_pending();
        self.ask_at = None;
        self.peer_request = None;
        self.next_beat = now;
        true
    }

    /// Records that a connection failed, and drops the state of its session.
    pub(crate) fn connection_lost(
        &mut self,
        now: Time,
        control: attach::ControlKey,
        rng: &mut impl Rng,
    ) {
        if self.attachment.record_failure(now, control, rng) {
            self.drop_pending();
            self.ask_at = None;
            self.peer_request = None;
        }
    }

    /// Drops what was received but may not run yet: it cannot be completed in another session.
    fn drop_pending(&mut self) {
        self.awaiting_snapshot = false;
        self.pending = None;
        self.offered_config = None;
    }

    /// The hello for a new session, with what the node has now.
    pub(crate) fn new_hello(
        &mut self,
        session: messages::SessionId,
        home: bool,
    ) -> messages::Hello {
        self.reported_floor = self.floor;
        messages::Hello {
            session,
            node: self.settings.node.clone(),
            data_centre: self.settings.data_centre.clone(),
            home,
            level: self.settings.level,
            running: self.running().map(|it| updater::numbered(it)),
            floor: self.floor,
        }
    }

    /// Sends a beat when one is due. It echoes the last acknowledgement.
    pub(crate) fn send_beat(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let Some(link) = self.attachment.link else { return };
        if now < self.next_beat {
            return;
        }
        self.next_beat = now + updater::BEAT_INTERVAL;
        self.record_echo(&link);
        let highest =
            self.running().map_or(self.min_version, |it| it.version().max(self.min_version));
        let echo = link.ack.map(|(ack, _)| ack.stamp);
        self.unacknowledged.push_back(now);
        let beat = messages::Beat { session: link.session, echo, highest };
        effects.push(Effect::Beat(link.control, beat));
    }
}
