//! The nodes attached to a control, and what they run.

use std::collections;

use compact_str::CompactString;
use slotmap::SlotMap;
use world::{document, time::Time};

use crate::messages;

slotmap::new_key_type! {
    /// Key of a [`Subscriber`] in a control's arena. A key ends with its session.
    pub struct SubscriberKey;
}

/// How far a control is with a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// Nothing can be sent until the node asks.
    Idle,
    /// The control finds out whether it is current.
    CheckingLeader,
    /// The node gets a version as soon as the control has synced this one.
    AwaitingVersion(messages::Proof, document::Version),
    /// The node waits for a snapshot slot.
    AwaitingSlot(messages::Proof),
    /// A snapshot is on its way, in a slot taken at this time.
    Snapshot(messages::Proof, Time),
    /// A peer was asked at this time.
    Peer(messages::Proof, SubscriberKey, Time),
    /// The node has this version, or deltas up to it are on their way.
    Streaming(document::Version),
}

/// An attached node.
#[derive(Clone, Debug)]
pub struct Subscriber {
    /// Its hello.
    pub hello: messages::Hello,
    /// How far the control is with it.
    pub stage: Stage,
    /// What it runs.
    pub running: Option<messages::Numbered>,
    /// Since when it does not run the latest version.
    pub behind_since: Option<Time>,
    /// Snapshots that it was asked to serve to peers.
    pub uploads: u32,
    /// When its last message came.
    pub last_heard: Time,
}

/// A node that does not run the latest version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Laggard {
    /// The host of the node.
    pub node: CompactString,
    /// What it runs.
    pub running: Option<document::Version>,
    /// Since when it is behind.
    pub since: Time,
}

/// What the attached nodes run.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Summary {
    /// How many nodes run each version.
    pub counts: collections::BTreeMap<document::Version, u32>,
    /// Nodes that run nothing.
    pub idle: u32,
    /// Nodes that are behind, by name.
    pub laggards: Vec<Laggard>,
}

/// The arena of subscribers with the index by name.
#[derive(Clone, Debug, Default)]
pub struct Subscribers {
    arena: SlotMap<SubscriberKey, Subscriber>,
    names: collections::BTreeMap<CompactString, SubscriberKey>,
}

impl Subscribers {
    /// Adds a node. An earlier session of the same node ends.
    pub fn insert(&mut self, subscriber: Subscriber) -> SubscriberKey {
        let name = subscriber.hello.node.clone();
        if let Some(old) = self.names.get(&name).copied() {
            self.remove(old);
        }
        let key = self.arena.insert(subscriber);
        self.names.insert(name, key);
        key
    }

    /// Removes a node, and gives back what its stage holds.
    pub fn remove(&mut self, key: SubscriberKey) {
        let Some(old) = self.arena.remove(key) else { return };
        if self.names.get(&old.hello.node) == Some(&key) {
            self.names.remove(&old.hello.node);
        }
        if let Stage::Peer(_, peer, _) = old.stage {
            self.release_upload(peer);
        }
    }

    /// The subscriber with this key.
    pub fn get(&self, key: SubscriberKey) -> Option<&Subscriber> {
        self.arena.get(key)
    }

    /// The subscriber with this key.
    pub fn get_mut(&mut self, key: SubscriberKey) -> Option<&mut Subscriber> {
        self.arena.get_mut(key)
    }

    /// Moves a node to another stage, and gives back what the old stage holds.
    pub fn set_stage(&mut self, key: SubscriberKey, stage: Stage) {
        let Some(subscriber) = self.arena.get_mut(key) else { return };
        let old = subscriber.stage;
        subscriber.stage = stage;
        if let Stage::Peer(_, peer, _) = old {
            self.release_upload(peer);
        }
    }

    /// All subscribers, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (SubscriberKey, &Subscriber)> {
        self.names.values().map(|&key| (key, &self.arena[key]))
    }

    /// Snapshot slots in use.
    pub fn slots_used(&self) -> usize {
        self.arena.values().filter(|it| matches!(it.stage, Stage::Snapshot(..))).count()
    }

    /// Nodes in the same data centre that run `of` and serve fewer than `most` peers.
    pub fn peers(
        &self,
        data_centre: &str,
        of: messages::Numbered,
        most: u32,
    ) -> Vec<SubscriberKey> {
        let fits = |it: &Subscriber| {
            it.running == Some(of) && it.uploads < most && it.hello.data_centre == data_centre
        };
        self.iter().filter(|(_, it)| fits(it)).map(|(key, _)| key).collect()
    }

    /// The lowest feature level of the attached nodes that know at least `level`. The others are
    /// refused, and must not hold back the level of later documents.
    pub fn lowest_level(&self, level: u32) -> Option<u32> {
        self.arena.values().map(|it| it.hello.level).filter(|it| *it >= level).min()
    }

    /// What the attached nodes run.
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

    /// Marks nodes that do not run `latest` as behind from `now` on, unless they were before.
    pub fn mark_behind(&mut self, now: Time, latest: document::Version) {
        for it in self.arena.values_mut() {
            if it.running.is_none_or(|running| running.version < latest) {
                it.behind_since.get_or_insert(now);
            }
        }
    }

    fn release_upload(&mut self, peer: SubscriberKey) {
        if let Some(it) = self.arena.get_mut(peer) {
            it.uploads = it.uploads.saturating_sub(1);
        }
    }
}
