//! Proposed changes of the replicated state, and their outcomes.
//!
//! A proposal may be sent again after a lost answer, since it carries an identifier that shows
//! repeats: a patch its request ID, a claim its attempt ID, a crash its incarnation.

use compact_str::CompactString;
use replicated::{claims, controls, quarantine, rollouts, versions};
use serde::{Deserialize, Serialize};

/// Identifies a group of replicas and its log.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum GroupId {
    /// The group that stores the claims of the region with this name.
    Claims(CompactString),
    /// The group that stores the configuration and the crash evidence.
    Configuration,
}

/// A proposed change of the replicated state.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Proposal {
    /// Claims, completes or releases a non-idempotent request.
    Claim(ClaimRequest),
    /// Reports a crash of a backend server, or that a suspect request finished without one.
    Evidence {
        /// Time since the observation, in milliseconds.
        age_ms: u64,
        /// The observation.
        evidence: quarantine::Evidence,
    },
    /// Changes the configuration.
    Patch(versions::Patch),
    /// Changes the list of controls.
    Controls(controls::Command),
    /// Orders a rollout, or moves one on.
    Rollout(rollouts::Action),
}

/// An action on the claim of a non-idempotent request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ClaimRequest {
    /// The name of the region that stores the claim.
    pub home: CompactString,
    /// The service and idempotency key that name the claim.
    pub name: claims::ClaimName,
    /// The attempt that acts on the claim.
    pub attempt: claims::AttemptId,
    /// What to do with the claim.
    pub action: claims::Action,
}

/// The result of applying a [`Proposal`] to the replicated state.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Answer {
    /// The answer to [`Proposal::Claim`].
    Claim(claims::Answer),
    /// The answer to [`Proposal::Evidence`].
    Evidence(quarantine::Answer),
    /// The answer to [`Proposal::Patch`].
    Patch(versions::Answer),
    /// The answer to [`Proposal::Controls`].
    Controls(controls::Answer),
    /// The answer to [`Proposal::Rollout`].
    Rollout(rollouts::Answer),
}

/// The outcome of sending a [`Proposal`] to a control.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Outcome {
    /// The proposal was committed and applied, with this answer.
    Answered(Answer),
    /// The proposal was not appended to the log, since this control does not lead the group. Names
    /// the host that leads, if known.
    NotLeader(Option<CompactString>),
    /// No leader with a lease answered. The proposal may or may not be committed.
    Unavailable,
}

impl Proposal {
    /// Returns the group whose log the proposal belongs to.
    pub fn group(&self) -> GroupId {
        match self {
            Proposal::Claim(it) => GroupId::Claims(it.home.clone()),
            Proposal::Controls(_)
            | Proposal::Evidence { .. }
            | Proposal::Patch(_)
            | Proposal::Rollout(_) => GroupId::Configuration,
        }
    }
}
