//! The control's side of the registry: the leases of the nodes attached to it, and the entries that
//! other controls report.

use std::{collections, time};

use compact_str::CompactString;
use world::{targets as objects, time::Time};

use crate::{messages, targets, toggles};

/// How long a node may send no heartbeat before its target is removed.
pub const NODE_LEASE: time::Duration = time::Duration::from_secs(4);
/// The interval at which controls send each other digests to compare.
pub const EXCHANGE_INTERVAL: time::Duration = time::Duration::from_secs(5);
/// Time without a message of a control after which the entries under its leases are stale: three
/// exchanges. A registry that has run this long is settled.
pub const STALE_AFTER: time::Duration = time::Duration::from_secs(15);

/// What a [`Registry::tick`] has to send.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Due {
    /// The removals of targets whose leases ended, to the other controls and the attached nodes.
    pub events: Vec<messages::Event>,
    /// The controls that became unreachable, to the attached nodes.
    pub unreachable: Vec<messages::Reachability>,
    /// The digests to the other controls and the attached nodes, when an exchange is due.
    pub digests: Option<Vec<messages::Digest>>,
}

/// The registry of a control, with the entries that other controls reported.
///
/// It holds the leases of the nodes that are attached to its control: nodes of its own data centre,
/// and of others whose home control cannot be reached. It keeps nothing on disk; after a restart,
/// the nodes' heartbeats and the other controls' digests fill it again.
#[derive(Clone, Debug)]
pub struct Registry {
    /// The name of the control.
    name: CompactString,
    targets: targets::Targets,
    /// When the lease of each attached node ends, by the names of their hosts.
    leases: collections::BTreeMap<CompactString, Time>,
    /// The other controls, by name.
    peers: collections::BTreeMap<CompactString, Peer>,
    started: Time,
    last_exchange: Time,
    toggles: toggles::Toggles,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    last_contact: Time,
    stale: bool,
}

impl Registry {
    /// The empty registry of the control `name`, which started at `now`.
    pub fn new(now: Time, name: CompactString, toggles: toggles::Toggles) -> Registry {
        Registry {
            name,
            targets: targets::Targets::new(toggles),
            leases: collections::BTreeMap::new(),
            peers: collections::BTreeMap::new(),
            started: now,
            last_exchange: now,
            toggles,
        }
    }

    /// All targets that the registry knows.
    pub fn targets(&self) -> &targets::Targets {
        &self.targets
    }

    /// Handles the heartbeat of an attached node. It renews the node's lease if this registry holds
    /// that.
    pub fn heartbeat(
        &mut self,
        now: Time,
        heartbeat: &messages::Heartbeat,
    ) -> messages::HeartbeatAnswer {
        let target = self.targets.find_host(&heartbeat.host);
        if target.is_some_and(|it| it.entry.registrar == self.name) {
            self.leases.insert(heartbeat.host.clone(), now + NODE_LEASE);
        }
        let held = self.targets.held_entry(&heartbeat.host);
        let digest = held.map(messages::Entry::digest);
        let known = held.map(|it| it.order);
        let agreed = heartbeat.digest.is_some() && heartbeat.digest == digest;
        let wanted = heartbeat.digest.is_some() && !agreed;
        let held = held.filter(|_| !agreed).cloned();
        messages::HeartbeatAnswer { known, wanted, digest, held }
    }

    /// Merges an event from an attached node or another control. If the result is a change, the
    /// caller passes the event on: a node's to the other controls and the attached nodes, another
    /// control's to the attached nodes only.
    pub fn apply_event(&mut self, now: Time, event: &messages::Event) -> targets::MergeResult {
        let merge = self.targets.merge(now, event);
        if !merge.is_change() {
            return merge;
        }
        let entry = &event.entry;
        if entry.registrar != self.name || entry.state == objects::State::Gone {
            self.leases.remove(&entry.host);
            return merge;
        }
        // An entry under this control's lease gets a lease also when another control reports it.
        // This control may have restarted, and a target whose node is gone would otherwise never
        // be removed.
        self.leases.insert(entry.host.clone(), now + NODE_LEASE);
        merge
    }

    /// Records that a message of another control arrived. When that control was unreachable
    /// before, returns what to tell the attached nodes.
    pub fn mark_alive(&mut self, now: Time, name: &str) -> Option<messages::Reachability> {
        let peer = Peer { last_contact: now, stale: false };
        let former = self.peers.insert(name.into(), peer);
        if !former.is_some_and(|it| it.stale) {
            return None;
        }
        self.targets.set_stale(name, false);
        Some(messages::Reachability { registrar: name.into(), stale: false })
    }

    /// The controls that are unreachable at present, to tell a node that attaches.
    pub fn unreachable_peers(&self) -> Vec<messages::Reachability> {
        let stale = self.peers.iter().filter(|(_, it)| it.stale);
        stale.map(|(name, _)| reachability(name)).collect()
    }

    /// The entries of a part, for another control or an attached node that asked for them.
    pub fn part(&self, now: Time, request: &messages::PartRequest) -> messages::Part {
        messages::Part {
            request: request.clone(),
            events: self.targets.part(now, request),
            settled: self.is_settled(now),
        }
    }

    /// Whether the registry has run long enough to know all entries that other controls have.
    pub fn is_settled(&self, now: Time) -> bool {
        now.since(self.started) >= STALE_AFTER
    }

    /// Renews all leases and contacts after a time in which this control did not run: the silence
    /// of the others shows nothing then, as their messages wait. The registry may lack entries,
    /// too, as after a start.
    pub fn resume(&mut self, now: Time) {
        self.started = now;
        self.leases.values_mut().for_each(|it| *it = now + NODE_LEASE);
        self.peers.values_mut().for_each(|it| it.last_contact = now);
    }

    /// Ends leases, marks the entries of unreachable controls as stale, and starts an exchange
    /// of digests when one is due.
    pub fn tick(&mut self, now: Time) -> Due {
        let mut due = Due::default();
        if self.toggles.leases {
            due.events = self.expire_leases(now);
        }
        for (name, peer) in &mut self.peers {
            if !peer.stale && now.since(peer.last_contact) >= STALE_AFTER {
                peer.stale = true;
                due.unreachable.push(reachability(name));
            }
        }
        for it in &due.unreachable {
            self.targets.set_stale(&it.registrar, true);
        }
        if now.since(self.last_exchange) >= EXCHANGE_INTERVAL {
            self.last_exchange = now;
            due.digests = Some(self.targets.digests());
        }
        due
    }

    /// Removes the targets whose leases have ended, and returns the removals.
    fn expire_leases(&mut self, now: Time) -> Vec<messages::Event> {
        let ended: Vec<CompactString> =
            self.leases.iter().filter(|(_, end)| **end <= now).map(|(it, _)| it.clone()).collect();
        let mut events = Vec::new();
        for host in ended {
            self.leases.remove(&host);
            let Some(target) = self.targets.find_host(&host) else {
                continue;
            };
            let mut entry = target.entry.clone();
            entry.state = objects::State::Gone;
            entry.order = entry.order.next();
            let event = messages::Event { entry, age_ms: 0 };
            self.targets.merge(now, &event);
            events.push(event);
        }
        events
    }
}

fn reachability(name: &CompactString) -> messages::Reachability {
    messages::Reachability { registrar: name.clone(), stale: true }
}
