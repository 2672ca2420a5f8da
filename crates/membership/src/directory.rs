//! A node's read copy of the registry, from which it chooses targets.

use std::collections;

use compact_str::CompactString;
use world::{targets as objects, time::Time};

use crate::{messages, targets, toggles};

/// Most entries that the parts which a node asks for have between two digests of its control: 112
/// KB, or 22 KB/s, so that many nodes can start at the same time.
pub const EXCHANGE_ENTRIES: usize = 1_120;

/// The targets of all data centres, as the control that the node is attached to reports them.
#[derive(Clone, Debug)]
pub struct Directory {
    data_centre: CompactString,
    targets: targets::Targets,
    /// The parts to ask for that differ from the control's, those of the own data centre first.
    wanted: collections::VecDeque<messages::PartRequest>,
    /// The parts that the control was asked for and has not sent yet.
    asked: Vec<messages::PartRequest>,
    /// How many more entries may arrive before the next digests until no further part is asked for.
    allowance: usize,
}

impl Directory {
    /// The empty directory of a node that has just started in this data centre.
    pub fn new(data_centre: CompactString, toggles: toggles::Toggles) -> Directory {
        Directory {
            data_centre,
            targets: targets::Targets::new(toggles),
            wanted: collections::VecDeque::new(),
            asked: Vec::new(),
            allowance: 0,
        }
    }

    /// Merges an event from the control.
    pub fn apply_event(&mut self, now: Time, event: &messages::Event) -> targets::MergeResult {
        self.targets.merge(now, event)
    }

    /// Merges a part that was asked for. When the control's registry is settled, targets of the
    /// part that it does not have are removed; returns their keys, which are no longer valid.
    pub fn apply_part(&mut self, now: Time, part: &messages::Part) -> Vec<objects::TargetKey> {
        for event in &part.events {
            self.targets.merge(now, event);
        }
        self.asked.retain(|it| *it != part.request);
        self.allowance = self.allowance.saturating_sub(part.events.len());
        if part.settled { self.targets.drop_absent(part) } else { Vec::new() }
    }

    /// Marks the entries under a control's leases as stale or not, as the attached control reports.
    pub fn set_reachability(&mut self, report: &messages::Reachability) {
        self.targets.set_stale(&report.registrar, report.stale);
    }

    /// The targets of a service in all states, draining and stale ones included.
    pub fn of_service(
        &self,
        service: &str,
    ) -> impl Iterator<Item = (objects::TargetKey, &targets::Target)> {
        let keys = self.targets.of_service(service).iter();
        keys.filter_map(|&key| self.targets.get(key).map(|it| (key, it)))
    }

    /// The target with this key; none when it was removed or its backend server restarted.
    pub fn get(&self, key: objects::TargetKey) -> Option<&targets::Target> {
        self.targets.get(key)
    }

    /// All targets of the directory.
    pub fn targets(&self) -> &targets::Targets {
        &self.targets
    }

    /// The parts to ask the control for now, at most `limit`, given its digests `theirs`. Parts of
    /// the node's own data centre come first: a node that has just started needs these targets
    /// before the rest. A part that the control was asked for before is not asked for again: on a
    /// full link it may take longer than until the next digests.
    pub fn parts_to_request(
        &mut self,
        theirs: &[messages::Digest],
        limit: usize,
    ) -> Vec<messages::PartRequest> {
        let mut wanted = self.targets.compare(theirs);
        wanted.retain(|it| !self.asked.contains(it));
        wanted.sort_by_key(|it| it.data_centre != self.data_centre);
        self.wanted = wanted.into();
        self.allowance = EXCHANGE_ENTRIES;
        self.next_parts(limit)
    }

    /// The parts to ask for next, at most `limit`, once all that were asked for have arrived. Ends
    /// after [`EXCHANGE_ENTRIES`] until the next digests.
    pub fn next_parts(&mut self, limit: usize) -> Vec<messages::PartRequest> {
        if !self.asked.is_empty() || self.allowance == 0 {
            return Vec::new();
        }
        let count = limit.min(self.wanted.len());
        self.asked = self.wanted.drain(..count).collect();
        self.asked.clone()
    }

    /// Forgets which parts were asked for: their answers do not come any more, since the session
    /// with the control has ended or the request was not sent.
    pub fn forget_requests(&mut self) {
        self.asked.clear();
        self.wanted.clear();
    }
}
