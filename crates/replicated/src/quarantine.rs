//! Evidence on requests that crash backend servers.

use std::collections;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use world::requests;

use crate::{clock, mechanisms};

/// How long a fingerprint is quarantined after the last evidence, in milliseconds.
pub const QUARANTINE_TTL_MS: u64 = 3600 * 1_000;
/// How long evidence is kept, in milliseconds. A request that crashes a server each afternoon is
/// still a suspect on the next day.
pub const EVIDENCE_TTL_MS: u64 = 48 * 3600 * 1_000;
/// Fingerprints with evidence: 50 bytes each on every node.
pub const MAX_SUSPECTS: usize = 16_384;
/// Crash reports remembered.
pub const MAX_REPORTS: usize = 16_384;
/// Fingerprints in one report: the most slots that a target has.
pub const MAX_FINGERPRINTS: usize = 1_024;

/// Identifies the crash of one incarnation of a target.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashId {
    /// The host of the target.
    pub host: CompactString,
    /// The incarnation that ended.
    pub incarnation: u64,
}

/// What a node observed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Evidence {
    /// A backend server ended with these requests in flight.
    Crashed {
        /// Which crash it was.
        crash: CrashId,
        /// The requests in flight.
        fingerprints: Vec<requests::Fingerprint>,
    },
    /// A suspect finished a run.
    Finished(requests::Fingerprint),
}

/// An entry of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Command {
    /// The leader's wall clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// How long ago the node observed it. Evidence from a partition arrives late.
    pub age_ms: u64,
    /// The observation.
    pub evidence: Evidence,
}

/// What became of the evidence.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Answer {
    /// It counted.
    Counted {
        /// The fingerprint that it put or kept in quarantine.
        quarantined: Option<requests::Fingerprint>,
    },
    /// It was known, or changes nothing.
    Ignored,
    /// The state already contains the log entry.
    AlreadyApplied,
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Standing {
    /// There is no evidence.
    Free,
    /// It may run on a target where no other suspect runs.
    Suspect,
    /// It is refused.
    Quarantined {
        /// The end of the quarantine, in milliseconds since the Unix epoch.
        until_ms: u64,
    },
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Suspicion {
    crashes: u32,
    last_ms: u64,
    /// The end of the quarantine; 0 when there was none.
    until_ms: u64,
}

/// The evidence of the whole mesh, or of a partitioned data centre.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Quarantine {
    applied: u64,
    clock: clock::Clock,
    suspects: collections::BTreeMap<requests::Fingerprint, Suspicion>,
    /// The same suspects ordered by last evidence.
    order: collections::BTreeSet<(u64, requests::Fingerprint)>,
    reports: collections::BTreeMap<CrashId, u64>,
    report_order: collections::BTreeSet<(u64, CrashId)>,
    #[serde(skip)]
    mechanisms: mechanisms::Mechanisms,
}

impl Quarantine {
    /// Switches mechanisms, for tests.
    pub fn set_mechanisms(&mut self, mechanisms: mechanisms::Mechanisms) {
        self.mechanisms = mechanisms;
    }

    /// Applies the committed entry at `index`.
    pub fn apply(&mut self, index: u64, command: &Command) -> Answer {
        if index <= self.applied {
            return Answer::AlreadyApplied;
        }
        self.applied = index;
        self.record(command)
    }

    /// Takes in evidence that did not come from the log.
    pub(crate) fn record(&mut self, command: &Command) -> Answer {
        let now = self.clock.advance(command.at_ms);
        self.prune(now);
        let seen_ms = now.saturating_sub(command.age_ms);
        match &command.evidence {
            Evidence::Crashed { crash, fingerprints } => self.crashed(crash, fingerprints, seen_ms),
            Evidence::Finished(fingerprint) => self.finished(*fingerprint, seen_ms),
        }
    }

    /// The index of the last entry applied.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Whether a request with this fingerprint may run at `now_ms`.
    pub fn standing(&self, fingerprint: &requests::Fingerprint, now_ms: u64) -> Standing {
        let Some(suspicion) = self.suspects.get(fingerprint) else { return Standing::Free };
        suspicion.standing(now_ms)
    }

    /// All fingerprints that are not free, for nodes to hold.
    pub fn standings(
        &self,
        now_ms: u64,
    ) -> impl Iterator<Item = (requests::Fingerprint, Standing)> {
        self.suspects.iter().map(move |(key, it)| (*key, it.standing(now_ms)))
    }

    /// Whether the crash has been counted.
    pub fn has_counted(&self, crash: &CrashId) -> bool {
        self.reports.contains_key(crash)
    }

    fn crashed(
        &mut self,
        crash: &CrashId,
        fingerprints: &[requests::Fingerprint],
        seen_ms: u64,
    ) -> Answer {
        if self.mechanisms.report_dedup && self.has_counted(crash) {
            return Answer::Ignored;
        }
        self.remember(crash, seen_ms);
        let in_flight: collections::BTreeSet<_> =
            fingerprints.iter().copied().take(MAX_FINGERPRINTS).collect();
        let known: Vec<_> =
            in_flight.iter().filter(|it| self.suspects.contains_key(it)).copied().collect();
        let mut quarantined = None;
        for fingerprint in in_flight {
            let earlier = self.suspects.get(&fingerprint);
            let mut suspicion = Suspicion {
                crashes: earlier.map_or(0, |it| it.crashes).saturating_add(1),
                last_ms: earlier.map_or(seen_ms, |it| it.last_ms.max(seen_ms)),
                until_ms: earlier.map_or(0, |it| it.until_ms),
            };
            let single = !self.mechanisms.single_suspect || known == [fingerprint];
            let renewed = suspicion.until_ms > seen_ms;
            if suspicion.crashes >= 2 && (single || renewed) {
                suspicion.until_ms = suspicion.until_ms.max(seen_ms + QUARANTINE_TTL_MS);
                quarantined = Some(fingerprint);
            }
            self.put(fingerprint, suspicion);
        }
        self.evict();
        Answer::Counted { quarantined }
    }

    /// Clears a suspect. Evidence of a later crash stays, and a quarantine ends by time only: the
    /// run may have been on its way before it.
    fn finished(&mut self, fingerprint: requests::Fingerprint, seen_ms: u64) -> Answer {
        let Some(suspicion) = self.suspects.get(&fingerprint) else { return Answer::Ignored };
        let later = suspicion.last_ms > seen_ms;
        if !self.mechanisms.suspect_clearing || later || suspicion.until_ms > seen_ms {
            return Answer::Ignored;
        }
        self.remove(&fingerprint);
        Answer::Counted { quarantined: None }
    }

    fn remember(&mut self, crash: &CrashId, seen_ms: u64) {
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

    fn put(&mut self, fingerprint: requests::Fingerprint, suspicion: Suspicion) {
        self.remove(&fingerprint);
        self.order.insert((suspicion.last_ms, fingerprint));
        self.suspects.insert(fingerprint, suspicion);
    }

    fn remove(&mut self, fingerprint: &requests::Fingerprint) {
        let Some(old) = self.suspects.remove(fingerprint) else { return };
        self.order.remove(&(old.last_ms, *fingerprint));
    }

    /// Keeps the table within its bound; the oldest suspect goes first, a quarantined one last.
    fn evict(&mut self) {
        let now = self.clock.now_ms();
        while self.suspects.len() > MAX_SUSPECTS {
            let free = |it: &&(u64, requests::Fingerprint)| self.suspects[&it.1].until_ms <= now;
            let oldest = self.order.iter().find(free).or_else(|| self.order.first());
            let Some(&(_, fingerprint)) = oldest else { return };
            self.remove(&fingerprint);
        }
    }

    fn prune(&mut self, now: u64) {
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

impl Suspicion {
    fn standing(&self, now_ms: u64) -> Standing {
        if self.until_ms > now_ms {
            return Standing::Quarantined { until_ms: self.until_ms };
        }
        Standing::Suspect
    }
}

/// Whether a target that runs `running` may start `fingerprint`. Two copies of one suspect may run
/// side by side, since a crash still points at one fingerprint.
pub fn may_start(
    fingerprint: requests::Fingerprint,
    standing: Standing,
    mut running: impl Iterator<Item = (requests::Fingerprint, Standing)>,
) -> bool {
    match standing {
        Standing::Free => true,
        Standing::Suspect => {
            running.all(|(other, it)| other == fingerprint || it == Standing::Free)
        }
        Standing::Quarantined { .. } => false,
    }
}
