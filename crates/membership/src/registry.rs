//! The control's side of the registry: the leases of the nodes attached to it, and the entries that
//! other controls report.

use std::{collections, time};

use compact_str::CompactString;
use world::{targets as objects, time::Time};

use crate::{departures, messages, targets, toggles};

/// How long a node may send no heartbeat before its target is removed.
pub const NODE_LEASE: time::Duration = time::Duration::from_secs(4);
/// The interval at which controls send each other digests to compare.
pub const EXCHANGE_INTERVAL: time::Duration = time::Duration::from_secs(5);
/// Time without a message of a control after which the entries under its leases are stale: three
/// exchanges. A registry that has run this long is settled.
pub const STALE_AFTER: time::Duration = time::Duration::from_secs(15);
/// How long a control that has started waits for the departures that the other controls have recorded.
/// One that does not send them by then is taken for lost.
pub const DEPARTURES_TIMEOUT: time::Duration = time::Duration::from_secs(3);

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
/// and of others whose home control cannot be reached. After a restart, the nodes' heartbeats and the
/// other controls' digests fill it again. Only departures are kept on disk, by the owner of the
/// registry: no heartbeat would bring a leave back that its node has forgotten, too.
#[derive(Clone, Debug)]
pub struct Registry {
    /// The name of the control.
    name: CompactString,
    targets: targets::Targets,
    /// When the lease of each attached node ends, by the names of their hosts.
    leases: collections::BTreeMap<CompactString, Time>,
    /// The other controls, by name.
    peers: collections::BTreeMap<CompactString, Peer>,
    departures: departures::Departures,
    /// The other controls that have sent their departures since the start.
    informed_by: collections::BTreeSet<CompactString>,
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
            departures: departures::Departures::default(),
            informed_by: collections::BTreeSet::new(),
            started: now,
            last_exchange: now,
            toggles,
        }
    }

    /// All targets that the registry knows.
    pub fn targets(&self) -> &targets::Targets {
        &self.targets
    }

    /// The targets that drain or leave.
    pub fn departures(&self) -> &departures::Departures {
        &self.departures
    }

    /// The targets that drain or leave, to record where they are written.
    pub fn departures_mut(&mut self) -> &mut departures::Departures {
        &mut self.departures
    }

    /// Handles the heartbeat of an attached node: renews the node's lease if this registry holds
    /// that. [`Registry::answer`] has the answer.
    pub fn heartbeat(&mut self, now: Time, host: &str) {
        let target = self.targets.find_host(host);
        if target.is_some_and(|it| it.entry.registrar == self.name) {
            self.leases.insert(host.into(), now + NODE_LEASE);
        }
    }

    /// The answer to a heartbeat, when the mesh has the controls `others` besides this one. None
    /// until this registry knows the departures that the others had recorded when it started, and
    /// while a departure of the node's backend server is being recorded. Call again after each change
    /// and after [`departures::COPY_TIMEOUT`].
    pub fn answer(
        &self,
        now: Time,
        heartbeat: &messages::Heartbeat,
        others: &[CompactString],
    ) -> Option<messages::HeartbeatAnswer> {
        if !self.is_informed(now, others) {
            return None;
        }
        let host = &heartbeat.host;
        let held = self.held_entry(host);
        let known = held.map(|it| it.order);
        // A departure that this control has learned of since is newer than the entry that it holds for
        // the node.
        let current = self.targets.held_entry(host).filter(|it| held == Some(*it));
        let digest = current.map(messages::Entry::digest);
        let agreed = heartbeat.digest.is_some() && heartbeat.digest == digest;
        let wanted = heartbeat.digest.is_some() && !agreed;
        let standing = held.map(|it| self.departures.standing(now, it, others.len()));
        let recorded = match standing {
            Some(departures::Standing::Pending) => return None,
            Some(it) => it == departures::Standing::Recorded,
            None => true,
        };
        let held = held.filter(|_| !agreed).cloned();
        Some(messages::HeartbeatAnswer { known, wanted, digest, held, recorded })
    }

    /// The newest entry of a host that is known, with removed ones and departures from before a
    /// restart.
    fn held_entry(&self, host: &str) -> Option<&messages::Entry> {
        let held = self.targets.held_entry(host);
        let departed = self.departures.entry(host);
        match (held, departed) {
            (Some(held), Some(departed)) if departed.replaces(held) => Some(departed),
            (None, departed) => departed,
            (held, _) => held,
        }
    }

    /// Merges an event from an attached node or another control. If the result is a change, the
    /// caller passes the event on: a node's to the other controls and the attached nodes, another
    /// control's to the attached nodes only.
    pub fn apply_event(&mut self, now: Time, event: &messages::Event) -> targets::MergeResult {
        let entry = &event.entry;
        let departed = self.departures.entry(&entry.host);
        if departed.is_some_and(|it| it.replaces(entry)) && entry.check().is_ok() {
            return targets::MergeResult::NotNewer;
        }
        let merge = self.targets.merge(now, event);
        if !merge.is_change() {
            return merge;
        }
        self.departures.follow(now, entry);
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

    /// Takes a departure that this control had written to its disk before it started, or that
    /// another control has recorded. The entry is not given to nodes: whether the target is still
    /// there is for its node to say.
    pub fn restore_departure(&mut self, now: Time, event: &messages::Event) {
        let entry = &event.entry;
        let is_newer = self.held_entry(&entry.host).is_none_or(|it| entry.replaces(it));
        if is_newer && entry.check().is_ok() && entry.is_departing() {
            let age = time::Duration::from_millis(event.age_ms);
            let since = now.checked_sub(age).unwrap_or(Time::ZERO);
            self.departures.follow(since, entry);
        }
    }

    /// Records that another control has sent all departures that it knows.
    pub fn record_informed(&mut self, control: &str) {
        self.informed_by.insert(control.into());
    }

    /// Whether this registry knows the departures that the controls `others` had recorded when it
    /// started, or has waited long enough for them.
    pub fn is_informed(&self, now: Time, others: &[CompactString]) -> bool {
        now.since(self.started) >= DEPARTURES_TIMEOUT
            || others.iter().all(|it| self.informed_by.contains(it))
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
    /// of the others shows nothing then, as their messages wait. The registry may lack entries and
    /// departures, too, as after a start.
    pub fn resume(&mut self, now: Time) {
        self.started = now;
        self.informed_by.clear();
        self.leases.values_mut().for_each(|it| *it = now + NODE_LEASE);
        self.peers.values_mut().for_each(|it| it.last_contact = now);
    }

    /// Ends leases, marks the entries of unreachable controls as stale, and starts an exchange
    /// of digests when one is due.
    pub fn tick(&mut self, now: Time) -> Due {
        let mut due = Due::default();
        self.departures.expire(now);
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
