//! What the node knows of requests that may crash, or are known to crash, backend servers.

use std::{collections, time as std_time};

use protocol::streams;
use replicated::quarantine;
use world::{requests, time};

/// Evidence that waits for a control; the oldest is dropped above this.
const MAX_PENDING: usize = 256;
/// How long evidence may wait for its acknowledgement before it is sent again.
const RESEND: std_time::Duration = std_time::Duration::from_secs(2);

/// Whether a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Standing {
    /// There is no evidence against it.
    Free,
    /// It may run where no other suspect runs.
    Suspect,
    /// It is refused.
    Quarantined,
}

/// The evidence on this node: what its control says, and what the control has not taken over yet.
#[derive(Debug, Default)]
pub(crate) struct Suspicion {
    /// Until when each known request is refused; the past for a mere suspect.
    known: collections::HashMap<requests::Fingerprint, time::Time>,
    pending: collections::VecDeque<Pending>,
    sequence: u64,
}

#[derive(Clone, Debug)]
struct Pending {
    sequence: u64,
    observed: time::Time,
    sent: Option<time::Time>,
    evidence: quarantine::Evidence,
}

impl Suspicion {
    /// Whether a request may run.
    pub(crate) fn standing(&self, now: time::Time, of: &requests::Fingerprint) -> Standing {
        match self.known.get(of) {
            None => Standing::Free,
            Some(until) if *until > now => Standing::Quarantined,
            Some(_) => Standing::Suspect,
        }
    }

    /// Takes over the control's list.
    pub(crate) fn replace(&mut self, now: time::Time, list: &[streams::Suspect]) {
        let until = |it: &streams::Suspect| now + std_time::Duration::from_millis(it.refused_ms);
        self.known = list.iter().map(|it| (it.fingerprint, until(it))).collect();
        // What the control has not counted yet still stands here.
        for it in &self.pending {
            mark(&mut self.known, now, &it.evidence);
        }
    }

    /// Notes what the node observed, until a control has taken it over.
    pub(crate) fn observe(&mut self, now: time::Time, evidence: quarantine::Evidence) {
        mark(&mut self.known, now, &evidence);
        self.sequence += 1;
        let sequence = self.sequence;
        self.pending.push_back(Pending { sequence, observed: now, sent: None, evidence });
        if self.pending.len() > MAX_PENDING {
            self.pending.pop_front();
        }
    }

    /// The messages that are due.
    pub(crate) fn due(&mut self, now: time::Time) -> Vec<streams::NodeMessage> {
        let due = |it: &&mut Pending| it.sent.is_none_or(|at| now.since(at) >= RESEND);
        self.pending
            .iter_mut()
            .filter(due)
            .map(|it| {
                it.sent = Some(now);
                let age = now.since(it.observed).as_millis();
                streams::NodeMessage::Evidence {
                    sequence: it.sequence,
                    age_ms: u64::try_from(age).unwrap_or(u64::MAX),
                    evidence: it.evidence.clone(),
                }
            })
            .collect()
    }

    /// A control has taken evidence over.
    pub(crate) fn settle(&mut self, sequence: u64) {
        self.pending.retain(|it| it.sequence != sequence);
    }
}

fn mark(
    known: &mut collections::HashMap<requests::Fingerprint, time::Time>,
    now: time::Time,
    evidence: &quarantine::Evidence,
) {
    match evidence {
        quarantine::Evidence::Crashed { fingerprints, .. } => {
            for it in fingerprints {
                known.entry(*it).or_insert(now);
            }
        }
        quarantine::Evidence::Finished(it) => {
            if known.get(it).is_some_and(|until| *until <= now) {
                known.remove(it);
            }
        }
    }
}
