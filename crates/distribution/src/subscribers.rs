//! The nodes attached to a control: what they run, and what they are being sent.

use std::collections;

use compact_str::CompactString;
use slotmap::SlotMap;
use world::{document, time::Time};

use crate::messages;

slotmap::new_key_type! {
    /// Key of a [`Subscriber`] in a control's arena. It is valid for one session.
    pub struct SubscriberKey;
}

/// What a node is being sent, or waits for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// Nothing is sent until the node asks.
    Idle,
    /// The control asks the leader whether its version is current.
    CheckingLeader,
    /// The node is sent a version, with this proof, as soon as the control has synced the given
    /// one.
    AwaitingVersion(messages::Proof, document::Version),
    /// The node asks again later, since no snapshot slot and no peer was free.
    AwaitingSlot(messages::Proof),
    /// A snapshot is being sent; it holds a slot since this time.
    Snapshot(messages::Proof, Time),
    /// The node was referred to this peer at this time.
    Peer(messages::Proof, SubscriberKey, Time),
    /// The node has this version, or has been sent the deltas up to it. Later deltas follow.
    Streaming(document::Version),
}

/// An attached node.
#[derive(Clone, Debug)]
pub struct Subscriber {
    /// The hello that opened its session.
    pub hello: messages::Hello,
    /// What it is being sent, or waits for.
    pub stage: Stage,
    /// The version that it confirmed to run; none before it runs one.
    pub running: Option<messages::Numbered>,
    /// Since when it has not run the latest version; none when it does.
    pub behind_since: Option<Time>,
    /// How many peers at present were referred to it for a snapshot.
    pub uploads: u32,
    /// When its last message arrived.
    pub last_contact: Time,
}

/// A node that does not run the latest version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Laggard {
    /// The name of the node's host.
    pub node: CompactString,
    /// The version that it runs; none when it runs nothing.
    pub running: Option<document::Version>,
    /// Since when it has not run the latest version.
    pub since: Time,
}

/// What the attached nodes run.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Summary {
    /// How many nodes run each version.
    pub counts: collections::BTreeMap<document::Version, u32>,
    /// How many nodes run nothing.
    pub idle: u32,
    /// The nodes that do not run the latest version, in the order of their names.
    pub laggards: Vec<Laggard>,
}

/// The arena of the attached nodes, with an index by the names of their hosts.
#[derive(Clone, Debug, Default)]
pub struct Subscribers {
    arena: SlotMap<SubscriberKey, Subscriber>,
    names: collections::BTreeMap<CompactString, SubscriberKey>,
}

impl Subscribers {
    /// Adds a node with its new session. An earlier session of the same node ends.
    pub fn insert(&mut self, subscriber: Subscriber) -> SubscriberKey {
        let name = subscriber.hello.node.clone();
        if let Some(old) = self.names.get(&name).copied() {
            self.remove(old);
        }
        let key = self.arena.insert(subscriber);
        self.names.insert(name, key);
        key
    }

    /// Removes a node, and releases the slot or peer that its stage holds. An unknown key changes
    /// nothing.
    pub fn remove(&mut self, key: SubscriberKey) {
        let Some(old) = self.arena.remove(key) else { return };
        if self.names.get(&old.hello.node) == Some(&key) {
            self.names.remove(&old.hello.node);
        }
        if let Stage::Peer(_, peer, _) = old.stage {
            self.release_upload(peer);
        }
    }

    /// The node with this key; none when its session has ended.
    pub fn get(&self, key: SubscriberKey) -> Option<&Subscriber> {
        self.arena.get(key)
    }

    /// The node with this key, to be changed; none when its session has ended.
    pub fn get_mut(&mut self, key: SubscriberKey) -> Option<&mut Subscriber> {
        self.arena.get_mut(key)
    }

    /// Moves a node to another stage, and releases the slot or peer that the old stage holds.
    pub fn set_stage(&mut self, key: SubscriberKey, stage: Stage) {
        let Some(subscriber) = self.arena.get_mut(key) else { return };
        let old = subscriber.stage;
        subscriber.stage = stage;
        if let Stage::Peer(_, peer, _) = old {
            self.release_upload(peer);
        }
    }

    /// All attached nodes, in the order of their hosts' names.
    pub fn iter(&self) -> impl Iterator<Item = (SubscriberKey, &Subscriber)> {
        self.names.values().map(|&key| (key, &self.arena[key]))
    }

    /// How many snapshot slots are in use.
    pub fn slots_used(&self) -> usize {
        self.arena.values().filter(|it| matches!(it.stage, Stage::Snapshot(..))).count()
    }

    /// The nodes in this data centre that run `of` and send a snapshot to fewer than `limit` peers.
    pub fn peers(
        &self,
        data_centre: &str,
        of: messages::Numbered,
        limit: u32,
    ) -> Vec<SubscriberKey> {
        let fits = |it: &Subscriber| {
            it.running == Some(of) && it.uploads < limit && it.hello.data_centre == data_centre
        };
        self.iter().filter(|(_, it)| fits(it)).map(|(key, _)| key).collect()
    }

    /// The lowest feature level of the attached nodes that support at least `level`. The others are
    /// refused already, and must not hold back the level of later documents.
    pub fn lowest_level(&self, level: u32) -> Option<u32> {
        self.arena.values().map(|it| it.hello.level).filter(|it| *it >= level).min()
    }

    /// Counts what the attached nodes run, and lists those that are behind.
    pub fn summary(&self) -> Summary {
        let mut summary = Summary::default();
        for (_, it) in self.iter() {
            match it.running {
                Some(running) => *summary.counts.entry(running.version).or_default() += 1,
                None => summary.idle += 1,
            }
            let Some(since) = it.behind_since else { continue };
            let running = it.running.map(|it| it.version);
            summary.laggards.push(Laggard { node: it.hello.node.clone(), running, since });
        }
        summary
    }

    /// Marks the nodes that do not run `latest` as behind since `now`, unless they were behind
    /// before.
    pub fn mark_behind(&mut self, now: Time, latest: document::Version) {
        for it in self.arena.values_mut() {
            if it.running.is_none_or(|running| running.version < latest) {
                it.behind_since.get_or_insert(now);
            }
        }
    }

    /// Ends an upload of a peer.
    fn release_upload(&mut self, peer: SubscriberKey) {
        if let Some(it) = self.arena.get_mut(peer) {
            it.uploads = it.uploads.saturating_sub(1);
        }
    }
}
