//! Quarantine of requests that crash backend servers.
//!
//! The requests in flight when a backend server crashes become suspects. If exactly one request in
//! flight was a suspect before the crash, that request is quarantined.

use std::collections;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use world::requests;

use crate::{clock, toggles};

/// How long a fingerprint stays in quarantine after the last crash that counted against it, in
/// milliseconds.
pub const QUARANTINE_TTL_MS: u64 = 3600 * 1_000;
/// How long evidence is kept, in milliseconds. A request that crashes a backend server every
/// afternoon is still a suspect on the next day.
pub const EVIDENCE_TTL_MS: u64 = 48 * 3600 * 1_000;
/// Maximum number of suspects. Each takes 50 bytes on every node.
pub const MAX_SUSPECTS: usize = 16_384;
/// Maximum number of crashes that are remembered to recognize repeated reports.
pub const MAX_REPORTS: usize = 16_384;
/// Maximum number of fingerprints used from one report: the largest number of slots of a target.
pub const MAX_FINGERPRINTS: usize = 1_024;

/// Identifies the crash of one incarnation of a target. Several nodes can report the same crash.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashId {
    /// The host of the target.
    pub host: CompactString,
    /// The incarnation that crashed.
    pub incarnation: u64,
}

/// An observation of a node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Evidence {
    /// A backend server crashed with these requests in flight.
    Crashed {
        /// Identifies the crash, so that repeated reports count once.
        crash: CrashId,
        /// Fingerprints of the requests in flight.
        fingerprints: Vec<requests::Fingerprint>,
    },
    /// A run of this suspect finished without a crash.
    Finished(requests::Fingerprint),
}

/// A command of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Command {
    /// The leader's wall clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// How long before `at_ms` the observation was made, in milliseconds. Evidence from a partition
    /// arrives late.
    pub age_ms: u64,
    /// The observation of a node.
    pub evidence: Evidence,
}

/// The result of a command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Answer {
    /// The evidence was counted.
    Counted {
        /// A fingerprint that the evidence put into quarantine, or whose quarantine it extended.
        quarantined: Option<requests::Fingerprint>,
    },
    /// The evidence was already known or changes nothing.
    Ignored,
    /// The entry was applied before, and the state did not change.
    AlreadyApplied,
}

/// The status of a request's fingerprint: whether the request may run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Status {
    /// It may run: there is no evidence against it.
    Free,
    /// It may run on a target that runs no other suspect.
    Suspect,
    /// It must not run.
    Quarantined {
        /// The end of the quarantine, in milliseconds since the Unix epoch.
        until_ms: u64,
    },
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct SuspectRecord {
    /// Crashes with the request in flight.
    crashes: u32,
    /// When the last of these crashes was observed.
    last_ms: u64,
    /// The end of the quarantine; 0 if there was none.
    until_ms: u64,
}

/// The state machine that collects evidence. The log holds the evidence of the whole mesh; an
/// [`crate::overlay::Overlay`] uses a copy for the evidence of its data centre.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Quarantine {
    applied: u64,
    clock: clock::Clock,
    suspects: collections::BTreeMap<requests::Fingerprint, SuspectRecord>,
    /// The fingerprints of all suspects, ordered by their last evidence.
    order: collections::BTreeSet<(u64, requests::Fingerprint)>,
    /// The counted crashes, with the time of their observation.
    reports: collections::BTreeMap<CrashId, u64>,
    /// The counted crashes, ordered by the time of their observation.
    report_order: collections::BTreeSet<(u64, CrashId)>,
    #[serde(skip)]
    toggles: toggles::Toggles,
}

impl Quarantine {
    /// Sets the feature toggles, for tests.
    pub fn set_toggles(&mut self, toggles: toggles::Toggles) {
        self.toggles = toggles;
    }

    /// Applies the command of the committed entry at `index`. An index that is not above the last
    /// applied one is ignored.
    pub fn apply(&mut self, index: u64, command: &Command) -> Answer {
        if index <= self.applied {
            return Answer::AlreadyApplied;
        }
        self.applied = index;
        self.record(command)
    }

    /// Records evidence, from the log or not.
    pub(crate) fn record(&mut self, command: &Command) -> Answer {
        let now = self.clock.advance(command.at_ms);
        self.remove_expired(now);
        let seen_ms = now.saturating_sub(command.age_ms);
        match &command.evidence {
            Evidence::Crashed { crash, fingerprints } => self.crashed(crash, fingerprints, seen_ms),
            Evidence::Finished(fingerprint) => self.finished(*fingerprint, seen_ms),
        }
    }

    /// The index of the last applied entry; 0 before the first.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Whether a request with this fingerprint may run at `now_ms`, in milliseconds since the Unix
    /// epoch.
    pub fn status(&self, fingerprint: &requests::Fingerprint, now_ms: u64) -> Status {
        let Some(record) = self.suspects.get(fingerprint) else { return Status::Free };
        record.status(now_ms)
    }

    /// The status of each suspect at `now_ms`, in milliseconds since the Unix epoch. All other
    /// fingerprints are free.
    pub fn suspect_statuses(
        &self,
        now_ms: u64,
    ) -> impl Iterator<Item = (requests::Fingerprint, Status)> {
        self.suspects.iter().map(move |(key, it)| (*key, it.status(now_ms)))
    }

    /// Whether the crash has been counted and is still remembered.
    pub fn has_counted(&self, crash: &CrashId) -> bool {
        self.reports.contains_key(crash)
    }

    /// Makes the requests in flight suspects. An earlier suspect goes into quarantine if it was the
    /// only one in flight, or if it is in quarantine already.
    fn crashed(
        &mut self,
        crash: &CrashId,
        fingerprints: &[requests::Fingerprint],
        seen_ms: u64,
    ) -> Answer {
        if self.toggles.report_dedup && self.has_counted(crash) {
            return Answer::Ignored;
        }
        self.remember_crash(crash, seen_ms);
        let in_flight: collections::BTreeSet<_> =
            fingerprints.iter().copied().take(MAX_FINGERPRINTS).collect();
        let known: Vec<_> =
            in_flight.iter().filter(|it| self.suspects.contains_key(it)).copied().collect();
        let mut quarantined = None;
        for fingerprint in in_flight {
            let earlier = self.suspects.get(&fingerprint);
            let mut record = SuspectRecord {
                crashes: earlier.map_or(0, |it| it.crashes).saturating_add(1),
                last_ms: earlier.map_or(seen_ms, |it| it.last_ms.max(seen_ms)),
                until_ms: earlier.map_or(0, |it| it.until_ms),
            };
            let only_suspect = !self.toggles.single_suspect || known == [fingerprint];
            let renewed = record.until_ms > seen_ms;
            if record.crashes >= 2 && (only_suspect || renewed) {
                record.until_ms = record.until_ms.max(seen_ms + QUARANTINE_TTL_MS);
                quarantined = Some(fingerprint);
            }
            self.insert(fingerprint, record);
        }
        self.evict();
        Answer::Counted { quarantined }
    }

    /// Clears a suspect that finished a run, unless it has crashed a backend server since or is in
    /// quarantine. A quarantine ends by time only, because the run can have started before it.
    fn finished(&mut self, fingerprint: requests::Fingerprint, seen_ms: u64) -> Answer {
        let Some(record) = self.suspects.get(&fingerprint) else { return Answer::Ignored };
        let later = record.last_ms > seen_ms;
        if !self.toggles.suspect_clearing || later || record.until_ms > seen_ms {
            return Answer::Ignored;
        }
        self.remove(&fingerprint);
        Answer::Counted { quarantined: None }
    }

    /// Remembers a crash as counted; forgets the oldest one above the limit.
    fn remember_crash(&mut self, crash: &CrashId, seen_ms: u64) {
        if self.reports.insert(crash.clone(), seen_ms).is_none() {
            self.report_order.insert((seen_ms, crash.clone()));
        }
        if self.reports.len() <= MAX_REPORTS {
            return;
        }
        if let Some((_, oldest)) = self.report_order.pop_first() {
            self.reports.remove(&oldest);
        }
    }

    fn insert(&mut self, fingerprint: requests::Fingerprint, record: SuspectRecord) {
        self.remove(&fingerprint);
        self.order.insert((record.last_ms, fingerprint));
        self.suspects.insert(fingerprint, record);
    }

    fn remove(&mut self, fingerprint: &requests::Fingerprint) {
        let Some(old) = self.suspects.remove(fingerprint) else { return };
        self.order.remove(&(old.last_ms, *fingerprint));
    }

    /// Removes suspects above the limit: first the oldest that are not in quarantine, then the
    /// oldest in quarantine.
    fn evict(&mut self) {
        let now = self.clock.now_ms();
        while self.suspects.len() > MAX_SUSPECTS {
            let unrestricted =
                |it: &&(u64, requests::Fingerprint)| self.suspects[&it.1].until_ms <= now;
            let oldest = self.order.iter().find(unrestricted).or_else(|| self.order.first());
            let Some(&(_, fingerprint)) = oldest else { return };
            self.remove(&fingerprint);
        }
    }

    /// Removes suspects and crashes whose evidence is too old.
    fn remove_expired(&mut self, now: u64) {
        let end = now.saturating_sub(EVIDENCE_TTL_MS);
        while let Some(&(last, fingerprint)) = self.order.first() {
            if last >= end {
                break;
            }
            self.remove(&fingerprint);
        }
        while self.report_order.first().is_some_and(|(seen, _)| *seen < end) {
            if let Some((_, crash)) = self.report_order.pop_first() {
                self.reports.remove(&crash);
            }
        }
    }
}

impl SuspectRecord {
    fn status(&self, now_ms: u64) -> Status {
        if self.until_ms > now_ms {
            return Status::Quarantined { until_ms: self.until_ms };
        }
        Status::Suspect
    }
}

/// Whether a target may start a request, given its fingerprint and status, and those of the
/// requests `running` on the target. Two copies of one suspect may run side by side, since a crash
/// still points to a single fingerprint.
pub fn may_start(
    fingerprint: requests::Fingerprint,
    status: Status,
    mut running: impl Iterator<Item = (requests::Fingerprint, Status)>,
) -> bool {
    match status {
        Status::Free => true,
        Status::Suspect => {
            running.all(|(key, other_status)| key == fingerprint || other_status == Status::Free)
        }
        Status::Quarantined { .. } => false,
    }
}
