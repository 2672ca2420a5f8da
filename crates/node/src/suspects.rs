//! Requests that may crash, or are known to crash, backend servers, by fingerprint.

use std::{collections, time as std_time};

use protocol::streams;
use replicated::quarantine;
use world::{requests, time};

/// Most pieces of evidence kept until a control has acknowledged them. Beyond that, the oldest one
/// is dropped.
const MAX_PENDING: usize = 256;
/// How long to wait for the acknowledgement of evidence before it is sent again.
const RESEND_INTERVAL: std_time::Duration = std_time::Duration::from_secs(2);

/// Whether requests with a fingerprint may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Status {
    /// There is no evidence against it.
    Clear,
    /// It may run while no other suspect runs on the same backend server.
    Suspect,
    /// It is known to crash backend servers and is refused.
    Quarantined,
}

/// The suspects that the node's control reported, and the evidence that this node collected and
/// its control has not acknowledged yet.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    /// Until when each fingerprint is refused. For a suspect, which is not refused, this time has
    /// passed.
    refused_until: collections::HashMap<requests::Fingerprint, time::Time>,
    pending: collections::VecDeque<Pending>,
    sequence: u64,
}

/// Evidence that no control has acknowledged yet.
#[derive(Clone, Debug)]
struct Pending {
    sequence: u64,
    observed_at: time::Time,
    sent_at: Option<time::Time>,
    evidence: quarantine::Evidence,
}

impl Suspects {
    /// Whether requests with this fingerprint may run.
    pub(crate) fn status(&self, now: time::Time, fingerprint: &requests::Fingerprint) -> Status {
        match self.refused_until.get(fingerprint) {
            None => Status::Clear,
            Some(until) if *until > now => Status::Quarantined,
            Some(_) => Status::Suspect,
        }
    }

    /// Replaces the known suspects by the control's list, and adds the evidence still pending.
    pub(crate) fn replace_known(&mut self, now: time::Time, list: &[streams::Suspect]) {
        let until = |it: &streams::Suspect| now + std_time::Duration::from_millis(it.refused_ms);
        self.refused_until = list.iter().map(|it| (it.fingerprint, until(it))).collect();
        // The control's list does not contain the pending evidence yet.
        for it in &self.pending {
            mark(&mut self.refused_until, now, &it.evidence);
        }
    }

    /// Adds what the node observed, to be sent until a control acknowledges it.
    pub(crate) fn add_evidence(&mut self, now: time::Time, evidence: quarantine::Evidence) {
        mark(&mut self.refused_until, now, &evidence);
        self.sequence += 1;
        let sequence = self.sequence;
        self.pending.push_back(Pending { sequence, observed_at: now, sent_at: None, evidence });
        if self.pending.len() > MAX_PENDING {
            self.pending.pop_front();
        }
    }

    /// Messages with the evidence that was not sent yet, or not acknowledged in time. Counts it as
    /// sent.
    pub(crate) fn due(&mut self, now: time::Time) -> Vec<streams::NodeMessage> {
        let due = |it: &&mut Pending| it.sent_at.is_none_or(|at| now.since(at) >= RESEND_INTERVAL);
        self.pending
            .iter_mut()
            .filter(due)
            .map(|it| {
                it.sent_at = Some(now);
                let age = now.since(it.observed_at).as_millis();
                streams::NodeMessage::Evidence {
                    sequence: it.sequence,
                    age_ms: u64::try_from(age).unwrap_or(u64::MAX),
                    evidence: it.evidence.clone(),
                }
            })
            .collect()
    }

    /// Removes evidence that a control has acknowledged.
    pub(crate) fn acknowledge(&mut self, sequence: u64) {
        self.pending.retain(|it| it.sequence != sequence);
    }
}

fn mark(
    refused_until: &mut collections::HashMap<requests::Fingerprint, time::Time>,
    now: time::Time,
    evidence: &quarantine::Evidence,
) {
    match evidence {
        quarantine::Evidence::Crashed { fingerprints, .. } => {
            for it in fingerprints {
                refused_until.entry(*it).or_insert(now);
            }
        }
        quarantine::Evidence::Finished(it) => {
            if refused_until.get(it).is_some_and(|until| *until <= now) {
                refused_until.remove(it);
            }
        }
    }
}
