//! Says which targets to probe because their hosts are unresponsive, that is, nothing is received
//! from them.
//!
//! A broken link looks like an idle one until something is sent, and the request that finds out is
//! lost for its caller. So when one host becomes unresponsive, the other targets of its data centre
//! are probed at once: a network partition usually cuts off whole data centres.

use std::time;

use slotmap::SecondaryMap;
use world::{targets, time::Time};

/// Time from the end of an unanswered probe to the next one.
pub const PROBE_GAP: time::Duration = time::Duration::from_millis(300);

/// The targets that one node probes.
#[derive(Clone, Debug, Default)]
pub struct Prober {
    probes: SecondaryMap<targets::TargetKey, Probe>,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    /// When the next probe is due; `None` while one is in flight.
    due: Option<Time>,
    /// Whether the host is known to be unresponsive.
    unresponsive: bool,
}

impl Prober {
    /// Marks a target's host as unresponsive, and starts to probe it and its `neighbours`, the
    /// other targets of its data centre. Returns whether the host was not known to be unresponsive.
    pub fn mark_unresponsive(
        &mut self,
        now: Time,
        target: targets::TargetKey,
        neighbours: impl Iterator<Item = targets::TargetKey>,
    ) -> bool {
        let known = self.probes.get(target).copied();
        if known.is_some_and(|it| it.unresponsive) {
            return false;
        }
        let due = known.map_or(Some(now), |it| it.due);
        self.probes.insert(target, Probe { due, unresponsive: true });
        for key in neighbours {
            if !self.probes.contains_key(key) {
                self.probes.insert(key, Probe { due: Some(now), unresponsive: false });
            }
        }
        true
    }

    /// Returns the targets to probe now. No further probe of them is due until the result of this
    /// one is reported with [`Prober::remove`] or [`Prober::record_unanswered`].
    pub fn take_due(&mut self, now: Time) -> Vec<targets::TargetKey> {
        let mut keys = Vec::new();
        for (key, probe) in &mut self.probes {
            if probe.due.is_some_and(|at| at <= now) {
                probe.due = None;
                keys.push(key);
            }
        }
        keys
    }

    /// Returns when the next probe is due; `None` if no target waits for one.
    pub fn next_due(&self) -> Option<Time> {
        self.probes.values().filter_map(|it| it.due).min()
    }

    /// Stops probing a target whose host has answered, or that is gone. Returns whether the host
    /// was known to be unresponsive.
    pub fn remove(&mut self, target: targets::TargetKey) -> bool {
        self.probes.remove(target).is_some_and(|it| it.unresponsive)
    }

    /// Marks the host of a target as unresponsive after an unanswered probe, and schedules the next
    /// probe. Returns whether the host was not known to be unresponsive. Does nothing if the target
    /// is not probed.
    pub fn record_unanswered(&mut self, now: Time, target: targets::TargetKey) -> bool {
        let Some(probe) = self.probes.get_mut(target) else { return false };
        let changed = !probe.unresponsive;
        *probe = Probe { due: Some(now + PROBE_GAP), unresponsive: true };
        changed
    }
}
