//! What follows the outcome of a send.

use world::time::Time;

use crate::{budget, mechanisms};

/// How a send ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// An answer came, whatever its status.
    Answered,
    /// The request certainly did not run: an answer marked so, or no byte of it was handed over.
    NotRun,
    /// No answer came, and the request may have run.
    Unknown,
    /// The backend server had begun when it failed.
    Failed,
}

/// What the node does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Pass the answer on.
    Done,
    /// Send to a target that has not had the request.
    Elsewhere,
    /// Tell the caller that there is no answer.
    GiveUp(GiveUpReason),
}

/// GiveUpReason there is no further send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GiveUpReason {
    /// A second run could do harm.
    MayHaveRun,
    /// The request's attempts are used up.
    Attempts,
    /// The node's share of retries is used up.
    Share,
    /// The deadline has passed.
    Deadline,
}

/// The request whose send ended.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Whether running it twice is harmless.
    pub idempotent: bool,
    /// When its caller stops waiting.
    pub deadline: Time,
}

/// Decides what follows an outcome, and counts the retry when there is one.
///
/// A refused retry uses no attempt: the node's share is asked first, and the attempt is checked
/// before either is counted.
pub fn decide(
    now: Time,
    outcome: Outcome,
    request: &Request,
    budget: &mut budget::Budget,
    limiter: &mut budget::RetryLimiter,
    mechanisms: &mechanisms::Mechanisms,
) -> Decision {
    let may_run_again = match outcome {
        Outcome::Answered => return Decision::Done,
        Outcome::NotRun => true,
        Outcome::Unknown | Outcome::Failed => request.idempotent || !mechanisms.idempotency_guard,
    };
    if !may_run_again {
        return Decision::GiveUp(GiveUpReason::MayHaveRun);
    }
    if now + budget::DEADLINE_RESOLUTION >= request.deadline {
        return Decision::GiveUp(GiveUpReason::Deadline);
    }
    match try_extra_send(now, budget, limiter, mechanisms) {
        Some(reason) => Decision::GiveUp(reason),
        None => Decision::Elsewhere,
    }
}

/// Counts an extra send, a retry or a hedge, or says why there may be none.
pub fn try_extra_send(
    now: Time,
    budget: &mut budget::Budget,
    limiter: &mut budget::RetryLimiter,
    mechanisms: &mechanisms::Mechanisms,
) -> Option<GiveUpReason> {
    if mechanisms.budget && budget.attempts == 0 {
        return Some(GiveUpReason::Attempts);
    }
    if !limiter.try_extra(now, mechanisms) {
        return Some(GiveUpReason::Share);
    }
    budget.try_spend(mechanisms);
    None
}
