//! The read copy of the registry on a node, from which it chooses targets.

use compact_str::CompactString;
use world::{targets as objects, time::Time};

use crate::{mechanisms, messages, targets};

/// The targets of all data centres, as the node's control reports them.
#[derive(Clone, Debug)]
pub struct Directory {
    data_centre: CompactString,
    targets: targets::Targets,
}

impl Directory {
    /// The empty directory of a node in this data centre.
    pub fn new(data_centre: CompactString, mechanisms: mechanisms::Mechanisms) -> Directory {
        Directory { data_centre, targets: targets::Targets::new(mechanisms) }
    }

    /// Takes an event from the control.
    pub fn apply_event(&mut self, now: Time, event: &messages::Event) -> targets::MergeResult {
        self.targets.merge(now, event)
    }

    /// Takes a part that was asked for. Returns the keys of the targets that it removed because
    /// the control does not have them.
    pub fn apply_part(&mut self, now: Time, part: &messages::Part) -> Vec<objects::TargetKey> {
        for event in &part.events {
            self.targets.merge(now, event);
        }
        if part.settled { self.targets.drop_absent(part) } else { Vec::new() }
    }

    /// Takes a report that a data centre fell silent or can be heard again.
    pub fn set_reachability(&mut self, report: &messages::Reachability) {
        self.targets.set_stale(&report.data_centre, report.stale);
    }

    /// The targets of a service, whatever their states.
    pub fn of_service(
        &self,
        service: &str,
    ) -> impl Iterator<Item = (objects::TargetKey, &targets::Target)> {
        let keys = self.targets.of_service(service).iter();
        keys.filter_map(|&key| self.targets.get(key).map(|it| (key, it)))
    }

    /// The target with this key.
    pub fn get(&self, key: objects::TargetKey) -> Option<&targets::Target> {
        self.targets.get(key)
    }

    /// All targets, for reading.
    pub fn targets(&self) -> &targets::Targets {
        &self.targets
    }

    /// Up to `limit` parts to ask the control for, given its digests. The node's own data centre
    /// comes first: a node that has nothing needs its neighbours before the rest, and the limit
    /// keeps it within its 6 KB/s.
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
