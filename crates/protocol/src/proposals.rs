//! What a process asks of the replicated state, and the answers.
//!
//! Each request may be sent again after a lost answer: a patch has its request ID, a claim its
//! attempt ID, a crash its incarnation.

use compact_str::CompactString;
use replicated::{claims, quarantine, versions};
use serde::{Deserialize, Serialize};

/// Which replicated log a message belongs to.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum GroupId {
    /// The claims of the region with this name.
    Claims(CompactString),
    /// The configuration and the crash evidence.
    Configuration,
}

/// A change of the replicated state.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Proposal {
    /// Claim, complete or release a non-idempotent request.
    Claim(ClaimRequest),
    /// Report a crash, or that a suspect finished.
    Evidence {
        /// How long ago it was observed, in milliseconds.
        age_ms: u64,
        /// What was observed.
        evidence: quarantine::Evidence,
    },
    /// Change the configuration.
    Patch(versions::Patch),
}

/// An action on a claim.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ClaimRequest {
    /// The region that keeps the claim.
    pub home: CompactString,
    /// The claim.
    pub name: claims::ClaimName,
    /// On behalf of which attempt.
    pub attempt: claims::AttemptId,
    /// What to do.
    pub action: claims::Action,
}

/// The state's answer to a [`Proposal`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Answer {
    /// To a claim.
    Claim(claims::Answer),
    /// To evidence.
    Evidence(quarantine::Answer),
    /// To a patch.
    Patch(versions::Answer),
}

/// What became of a [`Proposal`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Outcome {
    /// It is in the log, and this is the answer.
    Answered(Answer),
    /// It is not in the log: another host leads, if any is known to.
    NotLeader(Option<CompactString>),
    /// No host that leads with a lease could be asked. The request may be in the log or not.
    Unavailable,
}

impl Proposal {
    /// The log that the request belongs to.
    pub fn group(&self) -> GroupId {
        match self {
            Proposal::Claim(it) => GroupId::Claims(it.home.clone()),
            Proposal::Evidence { .. } | Proposal::Patch(_) => GroupId::Configuration,
        }
    }
}
