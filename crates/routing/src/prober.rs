//! Which targets are probed because nothing is heard of their hosts.
//!
//! A link that carries nothing looks like an idle one until something is sent, and what finds out
//! is lost for its caller. So when one host falls silent, the others of its data centre are probed
//! at once: a partition mostly separates whole data centres.

use std::time;

use slotmap::SecondaryMap;
use world::{targets, time::Time};

/// Time from the end of a probe that was not answered to the next one.
pub const PROBE_GAP: time::Duration = time::Duration::from_millis(300);

/// The probes of one node.
#[derive(Clone, Debug, Default)]
pub struct Prober {
    probes: SecondaryMap<targets::TargetKey, Probe>,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    /// When it is sent; none while it is out.
    due: Option<Time>,
    /// Whether the host is known to be silent.
    silent: bool,
}

impl Prober {
    /// Nothing was heard of a target's host. `neighbours` are the other targets of its data
    /// centre. Returns whether this is news.
    pub fn mark_silent(
        &mut self,
        now: Time,
        target: targets::TargetKey,
        neighbours: impl Iterator<Item = targets::TargetKey>,
    ) -> bool {
        let known = self.probes.get(target).copied();
        if known.is_some_and(|it| it.silent) {
            return false;
        }
        let due = known.map_or(Some(now), |it| it.due);
        self.probes.insert(target, Probe { due, silent: true });
        for key in neighbours {
            if !self.probes.contains_key(key) {
                self.probes.insert(key, Probe { due: Some(now), silent: false });
            }
        }
        true
    }

    /// The targets to probe now.
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

    /// When the next probe is due.
    pub fn next_due(&self) -> Option<Time> {
        self.probes.values().filter_map(|it| it.due).min()
    }

    /// A target's host answered, or is gone. Returns whether it was silent.
    pub fn mark_heard(&mut self, target: targets::TargetKey) -> bool {
        self.probes.remove(target).is_some_and(|it| it.silent)
    }

    /// A probe was not answered. Returns whether the silence is news.
    pub fn record_unanswered(&mut self, now: Time, target: targets::TargetKey) -> bool {
        let Some(probe) = self.probes.get_mut(target) else { return false };
        let news = !probe.silent;
        *probe = Probe { due: Some(now + PROBE_GAP), silent: true };
        news
    }
}
