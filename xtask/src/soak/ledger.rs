//! What was run and what was refused: the record of backend servers and callers, from which the
//! checks tell whether a request ran more often than it was allowed to.

use std::{collections, fmt, sync};

use compact_str::{CompactString, format_compact};

use super::teams;

/// The work of a request: the same for each resend of it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct WorkId(pub(crate) u64);

/// One send of a request by its caller.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct SendId {
    pub(crate) work: WorkId,
    /// 0 for the first send.
    pub(crate) resend: u32,
}

#[derive(Default)]
struct Table {
    runs: collections::HashMap<WorkId, Vec<SendId>>,
    not_run: Vec<SendId>,
    /// Work that may run once.
    once: Vec<WorkId>,
    counts: Counts,
}

/// How many requests ended in which way.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    /// Answered by a backend server.
    pub(crate) served: u64,
    /// Refused as not run.
    pub(crate) refused: u64,
    /// Refused as not run because of a quota. Not part of the total.
    pub(crate) limited: u64,
    /// Answered otherwise.
    pub(crate) failed: u64,
    /// Ended by a broken connection.
    pub(crate) broken: u64,
}

/// The shared record.
#[derive(Default)]
pub(crate) struct Ledger {
    table: sync::Mutex<Table>,
    /// When requests of the limited team ran.
    pub(crate) limited: teams::Runs,
}

impl Counts {
    pub(crate) fn total(self) -> u64 {
        self.served + self.refused + self.failed + self.broken
    }

    /// What came after `earlier`.
    pub(crate) fn since(self, earlier: Counts) -> Counts {
        Counts {
            served: self.served - earlier.served,
            refused: self.refused - earlier.refused,
            limited: self.limited - earlier.limited,
            failed: self.failed - earlier.failed,
            broken: self.broken - earlier.broken,
        }
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Counts { served, refused, limited, failed, broken } = self;
        write!(
            out,
            "{served} served, {refused} not run, {limited} over quota, {failed} failed, {broken} broken"
        )
    }
}

impl Ledger {
    /// Records that a backend server runs a request.
    pub(crate) fn record_run(&self, send: SendId) {
        self.lock().runs.entry(send.work).or_default().push(send);
    }

    /// Records that a caller was told that this send was not run.
    pub(crate) fn record_not_run(&self, send: SendId) {
        self.lock().not_run.push(send);
    }

    /// Records non-idempotent work.
    pub(crate) fn record_once(&self, work: WorkId) {
        self.lock().once.push(work);
    }

    pub(crate) fn count(&self, add: impl FnOnce(&mut Counts)) {
        add(&mut self.lock().counts);
    }

    pub(crate) fn counts(&self) -> Counts {
        self.lock().counts
    }

    /// The runs that must not have been: of sends that were answered as not run, and the second
    /// ones of non-idempotent work.
    pub(crate) fn violations(&self) -> Vec<CompactString> {
        let table = self.lock();
        let runs = |work: &WorkId| table.runs.get(work).map_or(&[][..], |it| it);
        let mut found = Vec::new();
        for send in &table.not_run {
            if runs(&send.work).contains(send) {
                found.push(format_compact!("{send:?} was answered as not run, and ran"));
            }
        }
        for work in &table.once {
            let runs = runs(work);
            if runs.len() > 1 {
                found.push(format_compact!("non-idempotent {work:?} ran as {runs:?}"));
            }
        }
        found
    }

    fn lock(&self) -> sync::MutexGuard<'_, Table> {
        self.table.lock().expect("no holder panics")
    }
}
