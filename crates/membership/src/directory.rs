//! A node's read copy of the registry, from which it chooses targets.

use compact_str::CompactString;
use world::{targets as objects, time::Time};

use crate::{messages, targets, toggles};

/// The targets of all data centres, as the control that the node is attached to reports them.
#[derive(Clone, Debug)]
pub struct Directory {
    data_centre: CompactString,
    targets: targets::Targets,
}

impl Directory {
    /// The empty directory of a node that has just started in this data centre.
    pub fn new(data_centre: CompactString, toggles: toggles::Toggles) -> Directory {
        Directory { data_centre, targets: targets::Targets::new(toggles) }
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
        if part.settled { self.targets.drop_absent(part) } else { Vec::new() }
    }

    /// Marks the entries under a data centre's leases as stale or not, as the control reports.
    pub fn set_reachability(&mut self, report: &messages::Reachability) {
        self.targets.set_stale(&report.data_centre, report.stale);
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

    /// The parts to ask the control for, at most `limit`, given its digests `theirs`. Parts of the
    /// node's own data centre come first: a node that has just started needs these targets before
    /// the rest. The limit keeps the node within its 6 KB/s of control traffic.
    pub fn parts_to_request(
        &self,
        theirs: &[messages::Digest],
        limit: usize,
    ) -> Vec<messages::PartRequest> {
        let mut requests = self.targets.compare(theirs);
        requests.sort_by_key(|it| it.data_centre != self.data_centre);
        requests.truncate(limit);
        requests
    }
}
