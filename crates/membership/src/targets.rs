//! The arena of targets, with indexes from names to keys, tombstones, digests and the rules for
//! merging events.

use std::{collections, time};

use compact_str::CompactString;
use slotmap::SlotMap;
use world::{targets as objects, time::Time};

use crate::{messages, toggles};

/// How many tombstones of removed entries are kept. An ordinary day has 4,100 restarts.
pub const MAX_TOMBSTONES: usize = 4_096;
/// How long the tombstone of a removed entry is kept. After that, a late event can bring the entry
/// back, until the control that holds its lease removes it again.
pub const TOMBSTONE_AGE: time::Duration = time::Duration::from_secs(600);

/// A backend server that requests can be routed to.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its newest entry.
    pub entry: messages::Entry,
    /// When it entered its state, on the clock of this process.
    pub since: Time,
    /// Whether the control that holds its lease is unreachable, so that the entry may be out of
    /// date.
    pub stale: bool,
}

/// What merging an event changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MergeResult {
    /// A target was added. A new incarnation of a held target counts as one, and gets a new key.
    Added(objects::TargetKey),
    /// A target's entry changed within its incarnation; the key stays valid.
    Changed(objects::TargetKey),
    /// A target was removed; the key is no longer valid.
    Removed(objects::TargetKey),
    /// The removal of a target that was not held. It leaves a tombstone.
    TombstoneOnly,
    /// Nothing, since the event is not newer than what is held.
    NotNewer,
    /// Nothing, since the entry cannot be that of a target.
    Refused(messages::EntryError),
}

impl MergeResult {
    /// Whether the event changed what is held, so that it has to be passed on.
    pub fn is_change(self) -> bool {
        !matches!(self, MergeResult::NotNewer | MergeResult::Refused(_))
    }
}

/// The targets that a process knows.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    arena: SlotMap<objects::TargetKey, Target>,
    hosts: collections::HashMap<CompactString, objects::TargetKey>,
    services: collections::HashMap<CompactString, Vec<objects::TargetKey>>,
    digests: collections::BTreeMap<CompactString, [u64; messages::PARTS]>,
    tombstones: collections::HashMap<CompactString, Tombstone>,
    /// The hosts in the order of their removal. A host occurs once for each removal, also when its
    /// tombstone has gone since.
    removals: collections::VecDeque<(Time, CompactString)>,
    /// The data centres whose controls are unreachable.
    stale: collections::BTreeSet<CompactString>,
    toggles: toggles::Toggles,
}

#[derive(Clone, Debug)]
struct Tombstone {
    entry: messages::Entry,
    since: Time,
}

impl Targets {
    /// An empty set of targets.
    pub fn new(toggles: toggles::Toggles) -> Targets {
        Targets { toggles, ..Targets::default() }
    }

    /// The target with this key; none when it was removed or its backend server restarted.
    pub fn get(&self, key: objects::TargetKey) -> Option<&Target> {
        self.arena.get(key)
    }

    /// The target on the host with this name; none after its removal.
    pub fn find_host(&self, name: &str) -> Option<&Target> {
        self.hosts.get(name).and_then(|&key| self.arena.get(key))
    }

    /// The keys of the targets of a service, in all states but `Gone`; empty for an unknown
    /// service.
    pub fn of_service(&self, name: &str) -> &[objects::TargetKey] {
        self.services.get(name).map_or(&[], Vec::as_slice)
    }

    /// All targets, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (objects::TargetKey, &Target)> {
        self.arena.iter()
    }

    /// How many tombstones are kept.
    pub fn tombstones(&self) -> usize {
        self.tombstones.len()
    }

    /// Merges an event. Whatever the order in which events arrive, and however often, the newest
    /// entry of a host is the one that is kept.
    pub fn merge(&mut self, now: Time, event: &messages::Event) -> MergeResult {
        let entry = &event.entry;
        if let Err(err) = entry.check() {
            return MergeResult::Refused(err);
        }
        self.expire_tombstones(now);
        if self.held_entry(&entry.host).is_some_and(|held| !self.is_newer(entry, held)) {
            return MergeResult::NotNewer;
        }
        let since =
            Time::from_micros(now.as_micros().saturating_sub(event.age_ms.saturating_mul(1_000)));
        let held = self.hosts.get(&entry.host).copied();
        if let Some(key) = held {
            self.unindex(key);
        }
        if entry.state == objects::State::Gone {
            self.add_tombstone(now, entry);
            return match held {
                Some(key) => {
                    self.arena.remove(key);
                    MergeResult::Removed(key)
                }
                None => MergeResult::TombstoneOnly,
            };
        }
        self.tombstones.remove(&entry.host);
        let stale = self.stale.contains(&entry.registrar);
        let target = Target { entry: entry.clone(), since, stale };
        if let Some(key) = held {
            let restarted = self.arena[key].entry.order.incarnation != entry.order.incarnation;
            if !restarted {
                self.arena[key] = target;
                self.index(key);
                return MergeResult::Changed(key);
            }
            // Measurements of the former process do not hold for the new one, which needs a new
            // key.
            self.arena.remove(key);
        }
        let key = self.arena.insert(target);
        self.index(key);
        MergeResult::Added(key)
    }

    /// Sets whether the entries under this data centre's leases may be out of date. They are kept,
    /// since a data centre that cannot be reached from here may serve in full.
    pub fn set_stale(&mut self, registrar: &str, stale: bool) {
        if stale {
            self.stale.insert(registrar.into());
        } else {
            self.stale.remove(registrar);
        }
        for target in self.arena.values_mut() {
            if target.entry.registrar == registrar {
                target.stale = stale;
            }
        }
    }

    /// The digests of all entries, one for each data centre. Tombstones do not count.
    pub fn digests(&self) -> Vec<messages::Digest> {
        let digest = |(name, parts): (&CompactString, &[u64; messages::PARTS])| messages::Digest {
            data_centre: name.clone(),
            parts: *parts,
        };
        self.digests.iter().map(digest).collect()
    }

    /// The parts in which the entries here differ from those of the process that sent `theirs`.
    pub fn compare(&self, theirs: &[messages::Digest]) -> Vec<messages::PartRequest> {
        let mut all = collections::BTreeMap::new();
        for digest in theirs {
            all.insert(&digest.data_centre, digest.parts);
        }
        for name in self.digests.keys() {
            all.entry(name).or_insert([0; messages::PARTS]);
        }
        let mut requests = Vec::new();
        for (name, parts) in all {
            let own = self.digests.get(name).unwrap_or(&[0; messages::PARTS]);
            for (part, _) in parts.iter().zip(own).enumerate().filter(|(_, (a, b))| a != b) {
                requests
                    .push(messages::PartRequest { data_centre: name.clone(), part: part as u8 });
            }
        }
        requests
    }

    /// The entries of a part, with the tombstones: in another registry only a removal removes an
    /// entry, never its absence.
    pub fn part(&self, now: Time, request: &messages::PartRequest) -> Vec<messages::Event> {
        let live = self.arena.values().map(|it| (&it.entry, it.since));
        let fresh = |it: &&Tombstone| now.since(it.since) < TOMBSTONE_AGE;
        let removed = self.tombstones.values().filter(fresh).map(|it| (&it.entry, it.since));
        let mut events: Vec<messages::Event> = live
            .chain(removed)
            .filter(|(entry, _)| entry.data_centre == request.data_centre)
            .filter(|(entry, _)| entry.part() == usize::from(request.part))
            .map(|(entry, since)| event(now, entry, since))
            .collect();
        events.sort_by(|a, b| a.entry.host.cmp(&b.entry.host));
        events
    }

    /// Drops the entries that are not in `part` but belong to it, except for stale ones, and
    /// returns their keys. It leaves no tombstones, since the registry that lacks an entry may
    /// still learn of it.
    pub fn drop_absent(&mut self, part: &messages::Part) -> Vec<objects::TargetKey> {
        let listed: collections::HashSet<&str> =
            part.events.iter().map(|it| it.entry.host.as_str()).collect();
        let absent = self.arena.iter().filter(|(_, it)| {
            it.entry.data_centre == part.request.data_centre
                && it.entry.part() == usize::from(part.request.part)
                && !it.stale
                && !listed.contains(it.entry.host.as_str())
        });
        let keys: Vec<objects::TargetKey> = absent.map(|(key, _)| key).collect();
        for &key in &keys {
            self.unindex(key);
            self.arena.remove(key);
        }
        keys
    }

    /// The newest entry of a host, from its target or its tombstone.
    pub fn held_entry(&self, host: &str) -> Option<&messages::Entry> {
        let live = self.find_host(host).map(|it| &it.entry);
        live.or_else(|| self.tombstones.get(host).map(|it| &it.entry))
    }

    fn is_newer(&self, entry: &messages::Entry, held: &messages::Entry) -> bool {
        if self.toggles.ordering { entry.replaces(held) } else { entry != held }
    }

    fn index(&mut self, key: objects::TargetKey) {
        let entry = &self.arena[key].entry;
        self.hosts.insert(entry.host.clone(), key);
        self.services.entry(entry.service.clone()).or_default().push(key);
        let parts = self.digests.entry(entry.data_centre.clone()).or_default();
        parts[entry.part()] ^= entry.digest();
    }

    fn unindex(&mut self, key: objects::TargetKey) {
        let entry = &self.arena[key].entry;
        self.hosts.remove(&entry.host);
        if let Some(keys) = self.services.get_mut(&entry.service) {
            keys.retain(|&it| it != key);
            if keys.is_empty() {
                self.services.remove(&entry.service);
            }
        }
        if let Some(parts) = self.digests.get_mut(&entry.data_centre) {
            parts[entry.part()] ^= entry.digest();
            // A comparison takes an absent digest as one of empty parts.
            if *parts == [0; messages::PARTS] {
                self.digests.remove(&entry.data_centre);
            }
        }
    }

    fn add_tombstone(&mut self, now: Time, entry: &messages::Entry) {
        if !self.toggles.tombstones {
            return;
        }
        self.tombstones.insert(entry.host.clone(), Tombstone { entry: entry.clone(), since: now });
        self.removals.push_back((now, entry.host.clone()));
        while self.removals.len() > MAX_TOMBSTONES {
            self.drop_oldest_removal();
        }
    }

    fn expire_tombstones(&mut self, now: Time) {
        while let Some((since, _)) = self.removals.front()
            && now.since(*since) >= TOMBSTONE_AGE
        {
            self.drop_oldest_removal();
        }
    }

    fn drop_oldest_removal(&mut self) {
        let Some((since, host)) = self.removals.pop_front() else {
            return;
        };
        // A host that was removed again has a newer tombstone, which comes later in the queue.
        if self.tombstones.get(&host).is_some_and(|it| it.since == since) {
            self.tombstones.remove(&host);
        }
    }
}

/// The event that reports an entry which has been in its state since `since`.
pub(crate) fn event(now: Time, entry: &messages::Entry, since: Time) -> messages::Event {
    let age = now.since(since).as_millis();
    messages::Event { entry: entry.clone(), age_ms: u64::try_from(age).unwrap_or(u64::MAX) }
}
