//! The targets that drain or leave, and on how many disks of controls each of them is recorded.
//!
//! A drain or a leave is acknowledged to the backend server, so it has to hold after a restart of
//! any number of processes, while an announcement from before it may still arrive. The entries are
//! therefore written to disk, unlike the rest of the registry.

use std::{collections, time};

use compact_str::CompactString;
use world::time::Time;

use crate::{messages, targets};

/// How long a departure is kept. An announcement that arrives later counts as a new one. It is less
/// than [`targets::TOMBSTONE_AGE`].
pub const DEPARTURE_AGE: time::Duration = time::Duration::from_secs(300);
/// How many departures are kept at most. An ordinary day of the target size has 4,100 restarts, so
/// that about 15 are kept at a time.
pub const MAX_DEPARTURES: usize = 4_096;
/// The number of controls on whose disks a departure has to be recorded, so that the loss of one disk
/// does not lose it.
pub const COPIES: usize = 2;
/// How long the confirmation of another control is waited for. After that the record on one disk
/// suffices, since a control that is cut off has to acknowledge by itself.
pub const COPY_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Whether a departure is recorded well enough to be acknowledged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// It is, or the entry is no departure.
    Recorded,
    /// More disks may follow.
    Pending,
    /// No disk could be written in time.
    Unrecorded,
}

/// A target that drains or leaves.
#[derive(Clone, Debug)]
struct Departure {
    entry: messages::Entry,
    digest: u64,
    since: Time,
    /// Whether it is on the disk of this control.
    is_written: bool,
    /// The other controls that have confirmed it.
    copies: collections::BTreeSet<CompactString>,
}

/// The departures that a control knows, at most one of each host.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    by_host: collections::BTreeMap<CompactString, Departure>,
}

impl Departures {
    /// The departure of a host's backend server.
    pub fn entry(&self, host: &str) -> Option<&messages::Entry> {
        self.by_host.get(host).map(|it| &it.entry)
    }

    /// All departures, in the order of their hosts.
    pub fn events(&self, now: Time) -> Vec<messages::Event> {
        let event = |it: &Departure| targets::event(now, &it.entry, it.since);
        self.by_host.values().map(event).collect()
    }

    /// How many departures are kept.
    pub fn len(&self) -> usize {
        self.by_host.len()
    }

    /// Whether no departure is kept.
    pub fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }

    /// The departures that are not on the disk of this control.
    pub fn unwritten(&self, now: Time) -> Vec<messages::Event> {
        let unwritten = self.by_host.values().filter(|it| !it.is_written);
        unwritten.map(|it| targets::event(now, &it.entry, it.since)).collect()
    }

    /// Whether there is a departure that is not on the disk of this control.
    pub fn has_unwritten(&self) -> bool {
        self.by_host.values().any(|it| !it.is_written)
    }

    /// Follows a change of an entry. A backend server that takes work again, or another process of
    /// it, ends the departure; the removal of the entry does not.
    pub(crate) fn follow(&mut self, now: Time, entry: &messages::Entry) {
        if !entry.is_departing() {
            if entry.state.takes_work() {
                self.by_host.remove(&entry.host);
            }
            return;
        }
        let digest = entry.digest();
        if self.by_host.get(&entry.host).is_some_and(|it| it.digest == digest) {
            return;
        }
        if self.by_host.len() >= MAX_DEPARTURES && !self.by_host.contains_key(&entry.host) {
            self.remove_oldest();
        }
        let departure = Departure {
            entry: entry.clone(),
            digest,
            since: now,
            is_written: false,
            copies: collections::BTreeSet::new(),
        };
        self.by_host.insert(entry.host.clone(), departure);
    }

    /// Records that an entry is on the disk of this control.
    pub fn record_written(&mut self, entry: &messages::Entry) {
        let digest = entry.digest();
        if let Some(it) = self.by_host.get_mut(&entry.host).filter(|it| it.digest == digest) {
            it.is_written = true;
        }
    }

    /// Records that an entry with this digest is on the disk of another control.
    pub fn record_copy(&mut self, control: &str, host: &str, digest: u64) {
        if let Some(it) = self.by_host.get_mut(host).filter(|it| it.digest == digest) {
            it.copies.insert(control.into());
        }
    }

    /// Whether an entry is recorded on enough disks, when there are `others` more controls.
    pub fn standing(&self, now: Time, entry: &messages::Entry, others: usize) -> Standing {
        let departure = self.by_host.get(&entry.host);
        let Some(it) = departure.filter(|it| it.entry == *entry) else {
            return Standing::Recorded;
        };
        let disks = usize::from(it.is_written) + it.copies.len();
        let waits = now.since(it.since) < COPY_TIMEOUT;
        match disks {
            _ if disks >= COPIES.min(1 + others) => Standing::Recorded,
            _ if waits => Standing::Pending,
            0 => Standing::Unrecorded,
            _ => Standing::Recorded,
        }
    }

    /// Forgets the departures that are older than [`DEPARTURE_AGE`].
    pub(crate) fn expire(&mut self, now: Time) {
        self.by_host.retain(|_, it| now.since(it.since) < DEPARTURE_AGE);
    }

    fn remove_oldest(&mut self) {
        let oldest = self.by_host.values().min_by_key(|it| it.since);
        if let Some(host) = oldest.map(|it| it.entry.host.clone()) {
            self.by_host.remove(&host);
        }
    }
}
