//! The control's side of the distribution: which node is sent which version, and when.

use std::{collections, sync, time};

use compact_str::CompactString;
use rand::Rng;
use world::{document, time::Time};

use crate::{
    attach, messages,
    subscribers::{Stage, Subscriber, SubscriberKey, Subscribers, Summary},
    toggles,
};

/// How many of the latest deltas are kept for nodes that missed some. A node that is further behind
/// gets a snapshot.
pub const DELTA_WINDOW: usize = 1_024;
/// How many snapshots a control sends at the same time.
pub const SNAPSHOT_SLOTS: usize = 32;
/// How long a snapshot may take before its slot goes to another node.
pub const SLOT_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// How many peers at the same time a node is asked to send a snapshot to: the control traffic of a
/// node is limited to 6 KB/s on average.
pub const MAX_UPLOADS: u32 = 1;
/// Bounds of the random time after which a node asks again for a snapshot slot, in milliseconds.
pub const BUSY_RETRY_MS: (u32, u32) = (500, 5_000);
/// Bounds of the random time after which a node asks again when its control has not caught up or
/// has no proof for its version, in milliseconds. The node serves nothing meanwhile, so it asks
/// again soon; the 1,140 nodes of a data centre ask 10,000 times a second at most.
pub const UNREADY_RETRY_MS: (u32, u32) = (50, 200);
/// Time without a message after which a node no longer counts as attached, and its connection is
/// closed.
pub const NODE_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// The latest version that a control sends.
#[derive(Clone, Debug)]
pub struct Head {
    /// The version number and the digest of the document.
    pub of: messages::Numbered,
    /// The document as JSON text.
    pub document: sync::Arc<str>,
    /// The feature level that a node must support to run it.
    pub level: u32,
}

/// What a control knows of the versions that are accepted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Contact {
    /// When the control last knew every accepted version, on its own clock.
    pub known_at: Time,
    /// Until when it counts as not isolated, if it hears nothing more from the leader.
    pub until: Time,
}

/// The answer of the leader to [`Effect::ConfirmCurrent`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaderCheck {
    /// The leader confirmed its lease, and this was its latest version then.
    Current(document::Version),
    /// No leader can be reached.
    Isolated,
}

/// What the control process has to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send this message to the node.
    Send(SubscriberKey, messages::ToNode),
    /// Ask the leader for its latest version, under a lease that it confirms after this request;
    /// the answer goes to [`Relay::leader_checked`].
    ConfirmCurrent(SubscriberKey),
    /// Close the connection to the node, which is no longer attached.
    Close(SubscriberKey),
}

/// What the echoes of a node that ran a version have shown.
#[derive(Clone, Copy, Debug)]
struct LastContact {
    /// When the last acknowledgement that the node echoed was sent, on this control's clock.
    at: Time,
    /// The highest version that the node reported to have run.
    highest: document::Version,
}

/// The state of the distribution on a control.
#[derive(Clone, Debug)]
pub struct Relay {
    epoch: u64,
    pub(crate) head: Head,
    pub(crate) window: collections::VecDeque<messages::Delta>,
    /// Versions that are committed but not yet synced on this control's disk, in order.
    unsynced: collections::VecDeque<(messages::Delta, Head)>,
    pub(crate) ready: bool,
    contact: Contact,
    pub(crate) subscribers: Subscribers,
    contacts: collections::BTreeMap<CompactString, LastContact>,
    /// The time in the last acknowledgement.
    last_stamp: Time,
    pub(crate) toggles: toggles::Toggles,
}

impl Relay {
    /// The state of a control process that has just started, with `head` and the `deltas` up to it
    /// on its disk. `epoch` is the incarnation of the process. `ready` is false when the disk was
    /// lost and the control has not caught up with the log.
    pub fn new(
        epoch: u64,
        head: Head,
        deltas: impl IntoIterator<Item = messages::Delta>,
        ready: bool,
    ) -> Relay {
        Relay {
            epoch,
            head,
            window: deltas.into_iter().collect(),
            unsynced: collections::VecDeque::new(),
            ready,
            contact: Contact::default(),
            subscribers: Subscribers::default(),
            contacts: collections::BTreeMap::new(),
            last_stamp: Time::ZERO,
            toggles: toggles::Toggles::default(),
        }
    }

    /// Sets the feature toggles, for tests.
    pub fn set_toggles(&mut self, toggles: toggles::Toggles) {
        self.toggles = toggles;
    }

    /// Records what the control knows of the versions that are accepted. It must have passed on all
    /// versions that it knew at that time. A control that has just started knows nothing.
    ///
    /// When it has found a leader, starts again the sessions of the nodes that wait for a version:
    /// otherwise they would try the other controls until they ask again.
    pub fn update_contact(
        &mut self,
        now: Time,
        contact: Contact,
        rng: &mut impl Rng,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        let found = self.is_isolated(now) && now < contact.until;
        self.contact = contact;
        if !found {
            return effects;
        }
        let stages: Vec<_> = self.subscribers.iter().map(|(key, it)| (key, it.stage)).collect();
        for (key, stage) in stages {
            if stage == Stage::Idle {
                self.start_session(now, key, rng, &mut effects);
            }
        }
        effects
    }

    /// Whether the control does not know what is committed. That is so too when its log has not
    /// been stepped for long, as with a disk that hangs.
    fn is_isolated(&self, now: Time) -> bool {
        now >= self.contact.until
    }

    /// The control has caught up with the log, and sends versions from now on.
    pub fn set_ready(&mut self) {
        self.ready = true;
    }

    /// The latest version that the control sends.
    pub fn version(&self) -> document::Version {
        self.head.of.version
    }

    /// The lowest feature level of the attached nodes, except those that do not support the current
    /// document; none without such nodes.
    pub fn lowest_level(&self) -> Option<u32> {
        self.subscribers.lowest_level(self.head.level)
    }

    /// The attached nodes.
    pub fn subscribers(&self) -> &Subscribers {
        &self.subscribers
    }

    /// Counts what the attached nodes run, and lists those that are behind.
    pub fn summary(&self) -> Summary {
        self.subscribers.summary()
    }

    /// Adds a committed version. It is sent to nodes once it is synced.
    pub fn committed(
        &mut self,
        now: Time,
        delta: messages::Delta,
        head: Head,
        rng: &mut impl Rng,
    ) -> Vec<Effect> {
        let version = head.of.version;
        self.unsynced.push_back((delta, head));
        if self.toggles.synced_only {
            return Vec::new();
        }
        self.synced(now, version, rng)
    }

    /// The versions up to `version` are synced on the control's disk, and may be sent.
    pub fn synced(
        &mut self,
        now: Time,
        version: document::Version,
        rng: &mut impl Rng,
    ) -> Vec<Effect> {
        while let Some((delta, head)) =
            self.unsynced.pop_front_if(|(_, head)| head.of.version <= version)
        {
            if head.of.version <= self.head.of.version {
                continue;
            }
            self.window.push_back(delta);
            self.head = head;
            if self.window.len() > DELTA_WINDOW {
                self.window.pop_front();
            }
        }
        self.publish(now, rng)
    }

    /// The control's state was replaced by a synced snapshot of the log. An older one changes
    /// nothing.
    pub fn reset(&mut self, now: Time, head: Head, rng: &mut impl Rng) -> Vec<Effect> {
        if head.of.version <= self.head.of.version {
            return Vec::new();
        }
        self.unsynced.retain(|(_, it)| it.of.version > head.of.version);
        self.window.clear();
        self.head = head;
        self.publish(now, rng)
    }

    /// A node opened a session. Returns its key, which is valid until the node's next hello.
    pub fn hello(
        &mut self,
        now: Time,
        hello: messages::Hello,
        rng: &mut impl Rng,
    ) -> (SubscriberKey, Vec<Effect>) {
        let latest = self.head.of.version;
        let behind_since = hello.running.is_none_or(|it| it.version < latest).then_some(now);
        let key = self.subscribers.insert(Subscriber {
            running: hello.running,
            stage: Stage::Idle,
            behind_since,
            uploads: 0,
            last_contact: now,
            hello,
        });
        let mut effects = Vec::new();
        self.send_ack(now, key, &mut effects);
        self.start_session(now, key, rng, &mut effects);
        (key, effects)
    }

    /// Handles a message other than a hello. A message of an ended session changes nothing.
    pub fn message(
        &mut self,
        now: Time,
        key: SubscriberKey,
        message: messages::ToControl,
        rng: &mut impl Rng,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        let Some(subscriber) = self.subscribers.get_mut(key) else { return effects };
        let session = subscriber.hello.session;
        match message {
            messages::ToControl::AskSnapshot(of) if of == session => {
                subscriber.last_contact = now;
                self.snapshot_requested(now, key, rng, &mut effects);
            }
            messages::ToControl::Received(of, version) if of == session => {
                subscriber.last_contact = now;
                self.subscribers.set_stage(key, Stage::Streaming(version));
                self.advance(now, key, rng, &mut effects);
            }
            messages::ToControl::Confirm(of, running) if of == session => {
                subscriber.last_contact = now;
                subscriber.running = Some(running);
                if running.version >= self.head.of.version {
                    subscriber.behind_since = None;
                }
                if let Some(it) = self.contacts.get_mut(&subscriber.hello.node) {
                    it.highest = it.highest.max(running.version);
                }
            }
            messages::ToControl::Beat(beat) if beat.session == session => {
                subscriber.last_contact = now;
                self.record_contact(key, beat);
                self.send_ack(now, key, &mut effects);
            }
            _ => {}
        }
        effects
    }

    /// Handles the answer to [`Effect::ConfirmCurrent`]: decides from which version on the node may
    /// be sent one.
    pub fn leader_checked(
        &mut self,
        now: Time,
        key: SubscriberKey,
        check: LeaderCheck,
        rng: &mut impl Rng,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        let Some(subscriber) = self.subscribers.get(key) else { return effects };
        if subscriber.stage != Stage::CheckingLeader {
            return effects;
        }
        let floor = subscriber.hello.floor.version();
        let stage = match check {
            LeaderCheck::Current(version) => {
                Stage::AwaitingVersion(messages::Proof::Current, version.max(floor))
            }
            LeaderCheck::Isolated => match self.contact_version(now, subscriber) {
                Some(version) => Stage::AwaitingVersion(messages::Proof::Heard, version.max(floor)),
                None => Stage::Idle,
            },
        };
        self.subscribers.set_stage(key, stage);
        if stage == Stage::Idle {
            self.send_wait(key, messages::WaitReason::Unproven, rng, &mut effects);
        }
        self.advance(now, key, rng, &mut effects);
        effects
    }

    /// The connection of a node was closed: it is no longer attached.
    pub fn closed(&mut self, key: SubscriberKey) {
        self.subscribers.remove(key);
    }

    /// Frees the slots of snapshots that take too long, and detaches unresponsive nodes. To be
    /// called each second.
    pub fn tick(&mut self, now: Time, rng: &mut impl Rng) -> Vec<Effect> {
        let mut effects = Vec::new();
        let stages: Vec<_> = self.subscribers.iter().map(|(key, it)| (key, it.stage)).collect();
        for (key, stage) in stages {
            let (Stage::Snapshot(proof, since) | Stage::Peer(proof, _, since)) = stage else {
                continue;
            };
            if now.since(since) >= SLOT_TIMEOUT {
                self.subscribers.set_stage(key, Stage::AwaitingSlot(proof));
                self.send_wait(key, messages::WaitReason::Busy, rng, &mut effects);
            }
        }
        self.contacts.retain(|_, it| now.since(it.at) < attach::CONTACT_TIMEOUT);
        let timed_out = |it: &Subscriber| now.since(it.last_contact) >= NODE_TIMEOUT;
        let expired: Vec<_> =
            self.subscribers.iter().filter(|(_, it)| timed_out(it)).map(|(key, _)| key).collect();
        for key in &expired {
            self.subscribers.remove(*key);
        }
        effects.extend(expired.into_iter().map(Effect::Close));
        effects
    }

    /// Acknowledges a hello or a beat. Nothing else may be acknowledged, since a node takes the
    /// time of its oldest unacknowledged message for the time at which the control knew the
    /// version.
    fn send_ack(&mut self, now: Time, key: SubscriberKey, effects: &mut Vec<Effect>) {
        let Some(subscriber) = self.subscribers.get(key) else { return };
        // A node recognizes an acknowledgement that it has had by its time.
        self.last_stamp = now.max(self.last_stamp + time::Duration::from_micros(1));
        let unsynced = self.unsynced.back().map(|(_, it)| it.of.version);
        let age_us = now.since(self.contact.known_at).as_micros();
        let ack = messages::Ack {
            session: subscriber.hello.session,
            stamp: messages::Timestamp { epoch: self.epoch, at: self.last_stamp },
            isolated: self.is_isolated(now) || !self.ready,
            version: unsynced.unwrap_or_default().max(self.head.of.version),
            age_ms: u32::try_from(age_us.div_ceil(1_000)).unwrap_or(u32::MAX),
        };
        effects.push(Effect::Send(key, messages::ToNode::Ack(ack)));
    }

    /// Records the contact that a beat's echo shows. An echo of a node that runs nothing does not
    /// count, since it is unknown what the node ran before its restart.
    fn record_contact(&mut self, key: SubscriberKey, beat: messages::Beat) {
        let Some(subscriber) = self.subscribers.get(key) else { return };
        let Some(stamp) = beat.echo.filter(|it| it.epoch == self.epoch) else { return };
        if !subscriber.hello.home || subscriber.running.is_none() {
            return;
        }
        let new = LastContact { at: stamp.at, highest: beat.highest };
        let it = self.contacts.entry(subscriber.hello.node.clone()).or_insert(new);
        it.at = it.at.max(new.at);
        it.highest = it.highest.max(new.highest);
    }

    /// The highest version that a restarted node reported before its restart. Only its home control
    /// knows it, for [`attach::CONTACT_TIMEOUT`] after the last contact; the node runs nothing
    /// newer from another control within that time.
    fn contact_version(&self, now: Time, subscriber: &Subscriber) -> Option<document::Version> {
        if !subscriber.hello.home {
            return None;
        }
        if !self.toggles.contact_check {
            return Some(document::Version(0));
        }
        let contact = self.contacts.get(&subscriber.hello.node)?;
        (now.since(contact.at) < attach::CONTACT_TIMEOUT).then_some(contact.highest)
    }
}
