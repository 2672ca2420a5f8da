//! Decides whether a request is sent again after a send has ended.

use world::{requests, time::Time};

use crate::{budget, toggles};

/// How a send ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The target answered, with any status.
    Answered,
    /// The request has not run: the target's answer says so, or no byte of it was sent.
    NotRun,
    /// The backend server received the request, which has this class, and refused it without
    /// running it.
    Shed(requests::Class),
    /// There is no answer, and the request may have run.
    Unknown,
    /// The backend server failed while the request was running.
    Failed,
}

impl Outcome {
    /// Returns whether the calls of a run at the next target count as repeats: it is not the first
    /// arrival of the request at a backend server.
    pub fn calls_repeat(self) -> bool {
        self.may_have_run() || matches!(self, Outcome::Shed(_))
    }

    /// Returns whether the request may have run, and thus may have made calls.
    pub fn may_have_run(self) -> bool {
        match self {
            Outcome::NotRun | Outcome::Shed(_) => false,
            Outcome::Answered | Outcome::Unknown | Outcome::Failed => true,
        }
    }
}

/// What the node does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Pass the answer on.
    Done,
    /// Send the request to a target that it was not sent to before.
    Elsewhere,
    /// Do not send the request again, and report the failure to the caller.
    GiveUp(GiveUpReason),
}

/// Why a request is not sent again. The names are part of log lines and answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GiveUpReason {
    /// The request may have run, and a second run could do harm.
    MayHaveRun,
    /// The request has no attempts left.
    Attempts,
    /// The node has reached its limit of extra sends.
    Share,
    /// The deadline has passed, or is too close for another send.
    Deadline,
}

/// The request whose send ended.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Whether running the request twice is harmless.
    pub idempotent: bool,
    /// When the caller stops waiting for the answer.
    pub deadline: Time,
}

/// Decides what follows the outcome of a send, and counts the retry if there is one.
///
/// The attempts are checked before the node's limit and used after it, so a refused retry counts
/// against neither.
pub fn decide(
    now: Time,
    outcome: Outcome,
    request: &Request,
    budget: &mut budget::Budget,
    limiter: &mut budget::TeamLimiter<'_>,
    toggles: &toggles::Toggles,
) -> Decision {
    if outcome == Outcome::Answered {
        return Decision::Done;
    }
    if outcome.may_have_run() && !request.idempotent && toggles.idempotency_guard {
        return Decision::GiveUp(GiveUpReason::MayHaveRun);
    }
    if now + budget::DEADLINE_RESOLUTION >= request.deadline {
        return Decision::GiveUp(GiveUpReason::Deadline);
    }
    let refused = match outcome {
        Outcome::Shed(class) => try_move(now, class, budget, limiter, toggles),
        _ => try_extra_send(now, budget, limiter, toggles),
    };
    match refused {
        Some(reason) => Decision::GiveUp(reason),
        None => Decision::Elsewhere,
    }
}

/// Counts an extra send, which is a retry or a hedge, against the request's attempts and the node's
/// limit. Returns `None` if it is allowed, or else why not; then nothing is counted.
pub fn try_extra_send(
    now: Time,
    budget: &mut budget::Budget,
    limiter: &mut budget::TeamLimiter<'_>,
    toggles: &toggles::Toggles,
) -> Option<GiveUpReason> {
    if toggles.budget && budget.attempts == 0 {
        return Some(GiveUpReason::Attempts);
    }
    if !limiter.try_extra(now, toggles) {
        return Some(GiveUpReason::Share);
    }
    budget.try_spend(toggles);
    None
}

/// Like [`try_extra_send`], for a request that a target has shed.
fn try_move(
    now: Time,
    class: requests::Class,
    budget: &mut budget::Budget,
    limiter: &mut budget::TeamLimiter<'_>,
    toggles: &toggles::Toggles,
) -> Option<GiveUpReason> {
    if toggles.budget && budget.attempts == 0 {
        return Some(GiveUpReason::Attempts);
    }
    if !limiter.try_move(now, class, toggles) {
        return Some(GiveUpReason::Share);
    }
    budget.try_spend(toggles);
    None
}
