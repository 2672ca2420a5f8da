//! Chooses what a control sends to a node: deltas, a snapshot, the name of a peer, or a time after
//! which to ask again.

use rand::Rng;
use world::{document, time::Time};

use crate::{
    floor, messages,
    relay::{self, Effect, Relay},
    subscribers::{Stage, SubscriberKey},
};

impl Relay {
    /// Sends the latest version to the nodes that are due to get it.
    pub(crate) fn publish(&mut self, now: Time, rng: &mut impl Rng) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.subscribers.mark_behind(now, self.head.of.version);
        let keys: Vec<_> = self.subscribers.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.advance(now, key, rng, &mut effects);
        }
        effects
    }

    /// Decides what a node may be sent in a new session.
    pub(crate) fn start_session(
        &mut self,
        now: Time,
        key: SubscriberKey,
        rng: &mut impl Rng,
        effects: &mut Vec<Effect>,
    ) {
        let Some(subscriber) = self.subscribers.get(key) else { return };
        let hello = &subscriber.hello;
        if !self.ready && self.toggles.catch_up_wait {
            self.send_wait(key, messages::WaitReason::CatchingUp, rng, effects);
            return;
        }
        if hello.level < self.head.level {
            let refused = messages::ToNode::Refused(hello.session, self.head.level);
            effects.push(Effect::Send(key, refused));
            return;
        }
        let source = match hello.home || !self.toggles.fallback_proof {
            true => floor::Source::Home,
            false => floor::Source::Foster,
        };
        let stage = match (hello.running, hello.floor) {
            (Some(running), _) => Stage::Streaming(running.version),
            (None, floor::Floor::Unknown) => Stage::Idle,
            (None, floor) if floor.needs_proof(source) && self.toggles.proof => {
                effects.push(Effect::ConfirmCurrent(key));
                Stage::CheckingLeader
            }
            (None, floor) => Stage::AwaitingVersion(messages::Proof::None, floor.version()),
        };
        self.subscribers.set_stage(key, stage);
        self.advance(now, key, rng, effects);
    }

    /// A node asked for a snapshot.
    pub(crate) fn snapshot_requested(
        &mut self,
        now: Time,
        key: SubscriberKey,
        rng: &mut impl Rng,
        effects: &mut Vec<Effect>,
    ) {
        let Some(subscriber) = self.subscribers.get(key) else { return };
        match subscriber.stage {
            Stage::Idle => self.start_session(now, key, rng, effects),
            Stage::CheckingLeader => {}
            Stage::AwaitingVersion(..) => self.advance(now, key, rng, effects),
            Stage::AwaitingSlot(proof) | Stage::Peer(proof, _, _) | Stage::Snapshot(proof, _) => {
                self.send_version(now, key, proof, rng, effects);
            }
            Stage::Streaming(_) => self.send_version(now, key, messages::Proof::None, rng, effects),
        }
    }

    /// Sends the latest version if the node's stage allows it and the node does not have it.
    pub(crate) fn advance(
        &mut self,
        now: Time,
        key: SubscriberKey,
        rng: &mut impl Rng,
        effects: &mut Vec<Effect>,
    ) {
        if !self.ready && self.toggles.catch_up_wait {
            return;
        }
        let Some(subscriber) = self.subscribers.get(key) else { return };
        let latest = self.head.of.version;
        match subscriber.stage {
            Stage::AwaitingVersion(proof, needed) if needed <= latest => {
                self.send_version(now, key, proof, rng, effects);
            }
            Stage::Streaming(sent) if sent < latest => {
                self.send_deltas(now, key, sent, rng, effects)
            }
            _ => {}
        }
    }

    /// Sends the deltas after version `sent`, or a snapshot when some of them are no longer kept.
    fn send_deltas(
        &mut self,
        now: Time,
        key: SubscriberKey,
        sent: document::Version,
        rng: &mut impl Rng,
        effects: &mut Vec<Effect>,
    ) {
        let Some(session) = self.subscribers.get(key).map(|it| it.hello.session) else { return };
        let first = self.window.front().map(|it| it.to.version);
        if first.is_none_or(|it| it > sent.next()) {
            self.send_version(now, key, messages::Proof::None, rng, effects);
            return;
        }
        for delta in self.window.iter().filter(|it| it.to.version > sent) {
            let message = messages::ToNode::Delta(session, delta.clone());
            effects.push(Effect::Send(key, message));
        }
        self.subscribers.set_stage(key, Stage::Streaming(self.head.of.version));
    }

    /// Sends a snapshot. When all slots are in use, it names a random peer that has the version,
    /// and without one tells the node when to ask again.
    fn send_version(
        &mut self,
        now: Time,
        key: SubscriberKey,
        proof: messages::Proof,
        rng: &mut impl Rng,
        effects: &mut Vec<Effect>,
    ) {
        self.subscribers.set_stage(key, Stage::AwaitingSlot(proof));
        let Some(subscriber) = self.subscribers.get(key) else { return };
        let session = subscriber.hello.session;
        let of = self.head.of;
        if self.subscribers.slots_used() < relay::SNAPSHOT_SLOTS {
            let document = self.head.document.clone();
            let snapshot = messages::Snapshot { of, document };
            let message = messages::ToNode::Snapshot(session, proof, snapshot);
            effects.push(Effect::Send(key, message));
            self.subscribers.set_stage(key, Stage::Snapshot(proof, now));
            return;
        }
        let mut peers =
            self.subscribers.peers(&subscriber.hello.data_centre, of, relay::MAX_UPLOADS);
        peers.retain(|it| *it != key);
        if peers.is_empty() {
            self.send_wait(key, messages::WaitReason::Busy, rng, effects);
            return;
        }
        let peer = peers[rng.random_range(0..peers.len())];
        let Some(it) = self.subscribers.get_mut(peer) else { return };
        it.uploads += 1;
        let host = it.hello.node.clone();
        effects.push(Effect::Send(key, messages::ToNode::Peer { session, host, proof, of }));
        self.subscribers.set_stage(key, Stage::Peer(proof, peer, now));
    }

    /// Tells the node to ask again after a random time.
    pub(crate) fn send_wait(
        &self,
        key: SubscriberKey,
        reason: messages::WaitReason,
        rng: &mut impl Rng,
        effects: &mut Vec<Effect>,
    ) {
        let Some(subscriber) = self.subscribers.get(key) else { return };
        let (low, high) = match reason {
            messages::WaitReason::Busy => relay::BUSY_RETRY_MS,
            messages::WaitReason::CatchingUp | messages::WaitReason::Unproven => {
                relay::UNREADY_RETRY_MS
            }
        };
        let millis = rng.random_range(low..=high);
        let message = messages::ToNode::Wait(subscriber.hello.session, reason, millis);
        effects.push(Effect::Send(key, message));
    }
}
