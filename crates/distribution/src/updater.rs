//! The node's side of the distribution: which version the node runs, and what it asks controls for.

use std::{collections, sync, time};

use compact_str::CompactString;
use rand::Rng;
use world::{config, document, time::Time};

use crate::{attach, floor, messages, toggles};

/// Time between two beats, which keep the session with the control alive. With
/// [`attach::SUSPICION_TIMEOUT`] it is shorter than [`CONFIRMATION_LIMIT`], so that a control that
/// stops is suspected before the running version is too old to route by.
pub const BEAT_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// The age up to which the running version counts as the latest. An accepted version has to be in
/// force within 2 s, and the age includes that of the control's knowledge; a tenth allows for
/// clocks that differ in speed and for the way to the backend server. It is longer than
/// [`BEAT_INTERVAL`], so that a confirmation lasts until the next one.
pub const CONFIRMATION_LIMIT: time::Duration = time::Duration::from_millis(1_800);
/// How long a peer may take to send a snapshot before the node asks its control again.
pub const PEER_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// The longest random wait, in milliseconds, before a node asks again after an unusable snapshot.
pub const MAX_RETRY_MS: u64 = 1_000;

/// Whether requests may be routed by the running version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// It was the latest at most [`CONFIRMATION_LIMIT`] ago.
    Confirmed,
    /// A later one may be in force, and a control that knows it can be reached.
    Unconfirmed,
    /// No control that knows the latest version can be reached. The node serves what it has.
    CutOff,
}

/// The settings of a node that matter for the distribution.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of the node's host.
    pub node: CompactString,
    /// The name of its data centre.
    pub data_centre: CompactString,
    /// The highest feature level of documents that it supports.
    pub level: u32,
    /// The incarnation of its process, which goes into its floor tokens.
    pub epoch: u64,
    /// Whether its backend server keeps floor tokens for it. Without them, a restarted node accepts
    /// only versions with [`messages::Proof::Current`].
    pub tokens: bool,
}

/// What the node process has to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Open a connection; the result goes to [`Updater::connected`] or [`Updater::failed`].
    Connect(attach::ControlKey),
    /// Close the connection. [`Updater::failed`] is not called for it.
    Close(attach::ControlKey),
    /// Send a hello, which opens a session.
    SendHello(attach::ControlKey, messages::Hello),
    /// Send a request for a snapshot.
    AskSnapshot(attach::ControlKey, messages::SessionId),
    /// Ask the node on this host for a version; the result goes to [`Updater::peer_answer`].
    AskPeer(CompactString, messages::Numbered),
    /// Send a beat, which keeps the session alive.
    Beat(attach::ControlKey, messages::Beat),
    /// Report that this version has arrived, so that deltas may follow it.
    Received(attach::ControlKey, messages::SessionId, document::Version),
    /// Report that the node runs this version.
    Confirm(attach::ControlKey, messages::SessionId, messages::Numbered),
    /// Put this floor token into the answer to the backend server's renewal.
    OfferToken(CompactString),
    /// Swap to this version: it applies to requests that begin from now on.
    Run(sync::Arc<config::Config>),
    /// Serve no version, since the current document needs this feature level: answer callers
    /// "not run".
    StopServing(u32),
    /// The control has no version for the node before this time; for information only.
    Wait(Time),
}

/// A version that the node has received, with the kind of control that it came from.
#[derive(Clone, Debug)]
pub(crate) struct SourcedConfig {
    pub(crate) config: sync::Arc<config::Config>,
    pub(crate) source: floor::Source,
}

/// A request to a peer for a snapshot that a control referred the node to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerRequest {
    of: messages::Numbered,
    proof: messages::Proof,
    until: Time,
}

/// The state of the distribution on a node.
#[derive(Clone, Debug)]
pub struct Updater {
    pub(crate) settings: Settings,
    pub(crate) attachment: attach::Attachment,
    pub(crate) running: Option<SourcedConfig>,
    /// The latest version received, when the node may not run it yet.
    pub(crate) pending: Option<SourcedConfig>,
    /// The version that was pending when the last token was offered. It stays here when a later
    /// version becomes pending, since that token covers only this one.
    pub(crate) offered_config: Option<SourcedConfig>,
    /// When the node process started.
    pub(crate) started: Time,
    /// What the backend server held when it last renewed its announcement.
    pub(crate) floor: floor::Floor,
    /// The floor that the last hello reported.
    pub(crate) reported_floor: floor::Floor,
    /// When the backend server last renewed its announcement.
    pub(crate) renewed_at: Time,
    /// The home control that the held token names.
    pub(crate) floor_home: Option<floor::HomeId>,
    /// The token offered in the answer to that renewal.
    pub(crate) offered_token: Option<floor::StoredToken>,
    /// The lowest version that the node accepts while it runs none: the highest that it ran or that
    /// a token named.
    pub(crate) min_version: document::Version,
    /// When the last acknowledgement arrived that was echoed to the home control.
    pub(crate) last_echo: Time,
    /// When the last acknowledgement arrived that was echoed to a former home control.
    pub(crate) former_echo: Option<Time>,
    /// When the running version was last known to be the latest: the time at which the message was
    /// sent whose acknowledgement showed it, less the age of what the control knew then. The
    /// acknowledgement itself may have been on its way for seconds.
    pub(crate) confirmed_at: Option<Time>,
    /// When the first version was run; none before.
    pub(crate) running_since: Option<Time>,
    /// How long an acknowledgement has taken lately. It follows a longer time at once and a shorter
    /// one slowly.
    pub(crate) ack_delay: time::Duration,
    /// When the messages were sent that the attached control has yet to acknowledge, in order.
    pub(crate) unacknowledged: collections::VecDeque<Time>,
    pub(crate) next_beat: Time,
    /// When to ask for a snapshot again.
    pub(crate) ask_at: Option<Time>,
    /// A snapshot was asked for because a delta could not be applied. Deltas that arrive before it
    /// are ignored.
    pub(crate) awaiting_snapshot: bool,
    pub(crate) peer_request: Option<PeerRequest>,
    pub(crate) toggles: toggles::Toggles,
}

impl Updater {
    /// The state of a node process that has started at `now` and runs nothing yet.
    pub fn new(settings: Settings, attachment: attach::Attachment, now: Time) -> Updater {
        let floor = if settings.tokens { floor::Floor::Unknown } else { floor::Floor::Absent };
        Updater {
            settings,
            attachment,
            running: None,
            pending: None,
            offered_config: None,
            started: now,
            floor,
            reported_floor: floor,
            renewed_at: now,
            floor_home: None,
            offered_token: None,
            min_version: document::Version(0),
            // The process before the restart may have sent echoes until now.
            last_echo: now,
            former_echo: None,
            confirmed_at: None,
            running_since: None,
            ack_delay: time::Duration::ZERO,
            unacknowledged: collections::VecDeque::new(),
            next_beat: now,
            ask_at: None,
            awaiting_snapshot: false,
            peer_request: None,
            toggles: toggles::Toggles::default(),
        }
    }

    /// Sets the feature toggles, for tests.
    pub fn set_toggles(&mut self, toggles: toggles::Toggles) {
        self.toggles = toggles;
    }

    /// The version that the node runs; none before it may run one.
    pub fn running(&self) -> Option<&sync::Arc<config::Config>> {
        self.running.as_ref().map(|it| &it.config)
    }

    /// The control that the node is attached to; none while it has no link.
    pub fn attached(&self) -> Option<attach::ControlKey> {
        self.attachment.link.map(|it| it.control)
    }

    /// The controls that the keys refer to.
    pub fn attachment(&self) -> &attach::Attachment {
        &self.attachment
    }

    /// How long ago the running version was last known to be the latest; none before a control has
    /// confirmed that for the first time.
    pub fn age(&self, now: Time) -> Option<time::Duration> {
        self.confirmed_at.map(|it| now.since(it))
    }

    /// Whether the node runs this version, and it was the latest at most [`CONFIRMATION_LIMIT`]
    /// ago.
    pub fn is_confirmed(&self, now: Time, version: document::Version) -> bool {
        let runs = self.running().is_some_and(|it| it.version() == version);
        runs && self.age(now).is_some_and(|it| it < CONFIRMATION_LIMIT)
    }

    /// Whether requests may be routed by the running version. A control that answers late is not
    /// lost, so the node must not route by an old version meanwhile; a node that is cut off serves
    /// what it has.
    pub fn freshness(&self, now: Time) -> Freshness {
        match self.running() {
            Some(running) if self.is_confirmed(now, running.version()) => Freshness::Confirmed,
            _ if !self.toggles.confirmed_routing || self.is_cut_off(now) => Freshness::CutOff,
            _ => Freshness::Unconfirmed,
        }
    }

    /// Whether the node may tell callers to come: a control has confirmed a version since the start
    /// of the process, or none can be reached that would.
    pub fn is_ready(&self, now: Time) -> bool {
        let known = self.confirmed_at.is_some() || self.freshness(now) == Freshness::CutOff;
        self.running.is_some() && known
    }

    /// Whether no control that knows the latest version can be reached. A version that was never
    /// confirmed may have been on its way for seconds, so a node that lost its control in that time
    /// tries the others first.
    fn is_cut_off(&self, now: Time) -> bool {
        let reachable = self.attachment.link.is_some_and(|it| it.is_serving());
        let since = self.running_since.map_or(time::Duration::ZERO, |it| now.since(it));
        !reachable && (self.confirmed_at.is_some() || since >= attach::CONTACT_TIMEOUT)
    }

    /// Asks the control now for a confirmation of the running version, unless it owes the node an
    /// acknowledgement already.
    pub fn ask_confirmation(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.unacknowledged.is_empty() {
            self.next_beat = now;
            self.send_beat(now, &mut effects);
        }
        effects
    }

    /// Handles timeouts, sends beats and starts attempts to attach. To be called at least every
    /// 100 ms.
    pub fn tick(&mut self, now: Time, rng: &mut impl Rng) -> Vec<Effect> {
        let mut effects = Vec::new();
        if let Some(control) = self.attachment.expired_attempt(now) {
            effects.push(Effect::Close(control));
            self.attachment.record_failure(now, control, rng);
        }
        if let Some(control) = self.attachment.unresponsive_control(now) {
            effects.push(Effect::Close(control));
            self.connection_lost(now, control, rng);
        }
        if let Some(asked) = self.unacknowledged.front().copied() {
            let limit = attach::SUSPICION_TIMEOUT.max(self.ack_delay * attach::SUSPICION_FACTOR);
            self.attachment.suspect_silent_control(now, asked, limit);
        }
        if let Some(control) = self.attachment.start_attempt(now) {
            effects.push(Effect::Connect(control));
        }
        self.expire_announcement_wait(now, rng, &mut effects);
        self.report_home(now, rng, &mut effects);
        self.try_run(now, &mut effects);
        self.send_beat(now, &mut effects);
        if self.peer_request.is_some_and(|it| it.until <= now) {
            self.peer_request = None;
            self.ask_at = Some(now);
        }
        if self.ask_at.is_some_and(|it| it <= now) {
            self.ask_at = None;
            self.ask_snapshot(&mut effects);
        }
        effects
    }

    /// The connection to a control is open: says hello on it.
    pub fn connected(&mut self, control: attach::ControlKey, rng: &mut impl Rng) -> Vec<Effect> {
        let session = messages::SessionId(rng.random());
        let home = self.trusted_source(control) == floor::Source::Home;
        let Some(attempt) = &mut self.attachment.attempt else { return Vec::new() };
        if attempt.control != control {
            return Vec::new();
        }
        (attempt.session, attempt.home) = (Some(session), home);
        vec![Effect::SendHello(control, self.new_hello(session, home))]
    }

    /// A connection could not be opened, or broke: another control is tried after a backoff.
    pub fn failed(&mut self, now: Time, control: attach::ControlKey, rng: &mut impl Rng) {
        self.connection_lost(now, control, rng);
    }

    /// Handles a message from a control. A message of an ended session changes nothing.
    pub fn message(
        &mut self,
        now: Time,
        control: attach::ControlKey,
        message: messages::ToNode,
        rng: &mut impl Rng,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        if let messages::ToNode::Ack(ack) = message {
            self.handle_ack(now, control, ack, &mut effects);
            self.report_floor(now, rng, &mut effects);
            return effects;
        }
        let Some(link) = self.attachment.link.as_mut().filter(|it| it.control == control) else {
            return effects;
        };
        if link.session != session_of(&message) {
            return effects;
        }
        link.last_contact = now;
        self.record_packet(now, control, &mut effects);
        match message {
            messages::ToNode::Ack(_) => {}
            messages::ToNode::Delta(_, delta) => {
                self.receive_delta(now, control, &delta, rng, &mut effects)
            }
            messages::ToNode::Snapshot(_, proof, snapshot) => {
                if proof == messages::Proof::Current {
                    self.restore_attached(now, &mut effects);
                }
                self.receive_snapshot(now, proof, &snapshot, rng, &mut effects);
            }
            messages::ToNode::Wait(_, reason, millis) => {
                if self.running.is_none() && reason != messages::WaitReason::Busy {
                    self.deprioritize_unready(now, control);
                }
                let until = now + time::Duration::from_millis(millis.into());
                self.ask_at = Some(until);
                effects.push(Effect::Wait(until));
            }
            messages::ToNode::Peer { host, proof, of, .. } => {
                self.peer_request = Some(PeerRequest { of, proof, until: now + PEER_TIMEOUT });
                effects.push(Effect::AskPeer(host, of));
            }
            messages::ToNode::Refused(_, level) => {
                self.attachment.deprioritize(now, control);
                effects.push(Effect::StopServing(level));
            }
        }
        effects
    }

    /// Packets of the connection to a control arrived, though maybe no whole message.
    pub fn packets_arrived(&mut self, now: Time, control: attach::ControlKey) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.record_packet(now, control, &mut effects);
        effects
    }

    /// Handles a peer's answer; none when the peer failed or did not have the version. Only the
    /// version that the control named is accepted: a later one may have come to the peer from a
    /// fallback control, and the node's home control could not account for it.
    pub fn peer_answer(
        &mut self,
        now: Time,
        answer: Option<&messages::Snapshot>,
        rng: &mut impl Rng,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        let Some(ask) = self.peer_request.take() else { return effects };
        match answer.filter(|it| it.of == ask.of) {
            Some(snapshot) => self.receive_snapshot(now, ask.proof, snapshot, rng, &mut effects),
            None => self.ask_snapshot(&mut effects),
        }
        effects
    }

    /// The backend server renewed its announcement, with the token that it holds. When the node has
    /// a version, the effects offer a token for it.
    pub fn renewal(&mut self, now: Time, token: Option<&str>, rng: &mut impl Rng) -> Vec<Effect> {
        let mut effects = Vec::new();
        if !self.settings.tokens {
            return effects;
        }
        // A malformed token counts as none, so that the node asks for more proof.
        let held: Option<floor::StoredToken> = token.and_then(|it| it.parse().ok());
        self.floor = held.map_or(floor::Floor::Absent, |it| floor::Floor::Held(it.token));
        self.record_floor_home(now, held.map(|it| it.home));
        self.offered_token = None;
        self.min_version = self.min_version.max(self.floor.version());
        self.report_floor(now, rng, &mut effects);
        self.try_run(now, &mut effects);
        self.offer_token(&mut effects);
        effects
    }

    /// The running version for a peer that asks for it; none when the node runs another one.
    pub fn serve_peer(&self, of: messages::Numbered) -> Option<messages::Snapshot> {
        let config = self.running()?;
        if numbered(config) != of {
            return None;
        }
        let document = document::canonical_json(config.document()).into();
        Some(messages::Snapshot { of, document })
    }

    /// The latest version that the node has, to which the next delta applies.
    pub(crate) fn head(&self) -> Option<&SourcedConfig> {
        self.pending.as_ref().or(self.running.as_ref())
    }

    /// Asks for a snapshot again after a random wait, so that nodes do not ask at the same time.
    pub(crate) fn ask_later(&mut self, now: Time, rng: &mut impl Rng) {
        let wait = time::Duration::from_millis(rng.random_range(0..=MAX_RETRY_MS));
        self.ask_at = Some(now + wait);
    }

    pub(crate) fn ask_snapshot(&mut self, effects: &mut Vec<Effect>) {
        if let Some(link) = self.attachment.link {
            effects.push(Effect::AskSnapshot(link.control, link.session));
        }
    }
}

/// The version number and digest of a configuration.
pub fn numbered(config: &config::Config) -> messages::Numbered {
    messages::Numbered { version: config.version(), digest: config.digest() }
}

fn session_of(message: &messages::ToNode) -> messages::SessionId {
    match message {
        messages::ToNode::Ack(ack) => ack.session,
        messages::ToNode::Delta(session, _)
        | messages::ToNode::Snapshot(session, _, _)
        | messages::ToNode::Wait(session, _, _)
        | messages::ToNode::Peer { session, .. }
        | messages::ToNode::Refused(session, _) => *session,
    }
}
