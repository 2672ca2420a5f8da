//! Sends a request to targets until one of them answers or no attempt is left.

use std::{sync, time};

use compact_str::{CompactString, format_compact};
use protocol::forwarding;
use routing::retry;
use world::targets;

use crate::{choosing, execution, forward, hedging, returning, state, working};

/// Attempts that may have crashed their backend server after which a request is not sent again,
/// whatever its budget. The second attempt runs beside no other suspect request, so its crash is
/// evidence against this request alone.
const MAX_CRASHES: u32 = 2;

/// Attempts that a request may make at other targets after nodes refused it without passing it to
/// their backend servers. Such a refusal costs one message and no work at the target, so these
/// attempts are not taken from the request's budget.
const MAX_REROUTES: u8 = 2;

/// When a request may be served that was refused because a service that its calls need is full of
/// more urgent work: the reports of that service cover a second.
const OUTRANKED_WAIT: time::Duration = time::Duration::from_secs(1);

/// A result of sending a request to targets.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// An answer whose head has arrived and whose body may still be on its way.
pub(crate) struct Answered {
    pub(crate) status: http::StatusCode,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: Source,
    /// The load that the target's node reported with the answer. `attempts` is set to the extra
    /// attempts that the request has left in total.
    pub(crate) node_status: forwarding::NodeStatus,
    /// The request's deadline.
    pub(crate) deadline: world::time::Time,
    /// Until when the answer should be complete.
    pub(crate) answer_by: world::time::Time,
}

/// The body of an answer: the part that was read ahead, followed by the rest.
pub(crate) struct Source {
    pub(crate) ahead: Option<bytes::Bytes>,
    pub(crate) rest: Rest,
}

/// Where the rest of an answer's body is read from.
pub(crate) enum Rest {
    /// The backend server of this host.
    Local(web::body::Body, execution::Execution),
    /// Another node, over a stream that is cancelled when dropped.
    Remote(transport::streams::Receiver),
    /// A task that copies the body.
    Copied(web::body::Body),
    /// The body was read to its end.
    Ended,
}

/// Why a request got no answer, and how many extra attempts it has left.
#[derive(Clone, Debug)]
pub(crate) struct Error {
    pub(crate) failure: Failure,
    pub(crate) attempts_left: u8,
}

/// Why a request got no answer from any target.
#[derive(Clone, Debug)]
pub(crate) enum Failure {
    /// No target ran the request. Holds the reason, and the time after which the caller is asked to
    /// return, if any of the targets that refused it reported its load.
    NotRun(CompactString, Option<time::Duration>),
    /// The request is quarantined because it crashes backend servers. It was not run this time.
    Quarantined,
    /// A target may have run the request. Holds the reason why that is not known.
    Unknown(CompactString),
}

/// An attempt that ended without an answer.
pub(crate) struct FailedAttempt {
    pub(crate) guard: choosing::AttemptGuard,
    pub(crate) failure: working::Failure,
    pub(crate) node_status: forwarding::NodeStatus,
}

/// A request with the results of its attempts so far, from which the next step is decided.
#[derive(Clone, Debug)]
pub(crate) struct RetryState {
    pub(crate) request: state::RoutedRequest,
    /// Targets of earlier attempts, which are not chosen again.
    pub(crate) tried: Vec<targets::TargetKey>,
    /// Why an earlier attempt may have run the request; none when no attempt did.
    maybe_run: Option<CompactString>,
    possible_crashes: u32,
    /// Attempts that ended before a backend server saw the request, bounded by [`MAX_REROUTES`].
    reroutes: u8,
    /// Whether the next attempt was paid for from the request's attempts.
    paid: bool,
    /// The shortest wait for a slot that one of the refusing targets reported.
    min_wait: Option<time::Duration>,
    /// The mean time that a caller's request runs, as a refusing target reported it.
    run_time: time::Duration,
}

/// A request and the target of its next attempt.
pub(crate) struct NextAttempt {
    retries: RetryState,
    chosen: choosing::Chosen,
}

/// Chooses the target of a request's first attempt. To be called on a worker.
pub(crate) fn choose_first(
    state: &sync::Arc<state::State>,
    request: state::RoutedRequest,
) -> Result<NextAttempt> {
    choose_target(
        state,
        RetryState {
            request,
            tried: Vec::new(),
            maybe_run: None,
            possible_crashes: 0,
            reroutes: 0,
            paid: false,
            min_wait: None,
            run_time: time::Duration::ZERO,
        },
    )
}

/// Makes attempts until a target answers, or until the retry rules allow no further one.
pub(crate) async fn send(state: &sync::Arc<state::State>, first: NextAttempt) -> Result<Answered> {
    let mut current = first;
    loop {
        let NextAttempt { mut retries, chosen } = current;
        let failed = match hedging::send_hedged(state, &mut retries, chosen).await {
            Ok(mut answered) => {
                retries.request.head.budget.return_unused(answered.node_status.attempts);
                answered.node_status.attempts = retries.request.head.budget.attempts;
                return Ok(answered);
            }
            Err(failed) => failed,
        };
        let attempts_left = retries.request.head.budget.attempts;
        let not_run =
            retries.maybe_run.is_none() && matches!(failed.failure, working::Failure::NotRun(_));
        let failure = move |detail| match not_run {
            true => Failure::NotRun(detail, None),
            false => Failure::Unknown(detail),
        };
        let shared = sync::Arc::clone(state);
        let next =
            move || retries.decide_next(&shared, failed).and_then(|it| choose_target(&shared, it));
        let no_worker = |err| Error { failure: failure(format_compact!("{err}")), attempts_left };
        current = state.pool.run(next).await.map_err(no_worker)??;
    }
}

/// Sends a request to the chosen target: to the backend server of this host, or to another node.
pub(crate) async fn attempt(
    state: &sync::Arc<state::State>,
    request: state::RoutedRequest,
    chosen: choosing::Chosen,
) -> Result<Answered, FailedAttempt> {
    let choosing::Chosen { target, guard, admission, .. } = chosen;
    if target.host != state.location.host {
        return forward::forward(state, &request, &target, guard).await;
    }
    let deadline = request.deadline();
    let state::RoutedRequest { head, body, answer_by, .. } = request;
    let request = working::LocalRequest { head, body, answer_by };
    match working::run(state, request, admission).await {
        Ok(answered) => {
            let working::Answered { status, headers, body, execution, node_status } = answered;
            guard.answered(&node_status, status);
            let body = Source { ahead: None, rest: Rest::Local(body, execution) };
            Ok(Answered { status, headers, body, node_status, deadline, answer_by })
        }
        Err(working::Error { failure, node_status }) => {
            Err(FailedAttempt { guard, failure, node_status })
        }
    }
}

impl RetryState {
    /// The request as one attempt sends it. The attempt takes half of the extra attempts that are
    /// left, for calls that the backend server makes on behalf of the request.
    pub(crate) fn prepare_attempt(
        &mut self,
        state: &state::State,
        max_wait: Option<time::Duration>,
    ) -> state::RoutedRequest {
        let mut request = self.request.clone();
        let now = state.now();
        self.set_wait_limits(&mut request.head, max_wait);
        request.head.sent = now;
        request.head.budget =
            self.request.head.budget.split_for_send(request.deadline().since(now));
        request
    }

    /// Sets how long the request may wait for a slot at the target.
    fn set_wait_limits(
        &self,
        head: &mut forwarding::RequestHead,
        max_wait: Option<time::Duration>,
    ) {
        let micros = |it: time::Duration| u64::try_from(it.as_micros()).unwrap_or(u64::MAX);
        head.movable = self.reroutes < MAX_REROUTES && max_wait.is_some();
        head.patience_us = max_wait.map(micros);
    }

    /// Records an attempt without an answer in the estimates of its target and in this state.
    pub(crate) fn record_failure(
        &mut self,
        state: &state::State,
        failed: FailedAttempt,
    ) -> working::Failure {
        let FailedAttempt { guard, failure, node_status } = failed;
        if matches!(failure, working::Failure::NotRun(_)) && choosing::has_load(&node_status) {
            let wait = node_status.load.expected_wait();
            self.min_wait = Some(self.min_wait.map_or(wait, |it| it.min(wait)));
            self.run_time = node_status.load.caller_time;
        }
        choosing::record_failure(state, self.request.deadline(), guard, &failure, &node_status);
        self.request.head.budget.return_unused(node_status.attempts);
        if failure == working::Failure::Silent {
            self.maybe_run = Some("the target's node stopped responding".into());
        }
        if let working::Failure::Unknown(detail) = &failure {
            self.maybe_run = Some(detail.clone());
            self.possible_crashes += 1;
            // It may have crashed the backend server, so from now on it runs beside no other
            // suspect.
            self.request.head.suspect = true;
        }
        failure
    }

    /// Records an attempt without an answer and decides whether to make another one.
    fn decide_next(mut self, state: &state::State, failed: FailedAttempt) -> Result<RetryState> {
        let failure = self.record_failure(state, failed);
        let outcome = match &failure {
            working::Failure::NotRun(forwarding::NotRun::Quarantined) => {
                let unknown = self.maybe_run.clone().map(Failure::Unknown);
                return Err(self.error(unknown.unwrap_or(Failure::Quarantined)));
            }
            // Its calls would be refused wherever it runs.
            working::Failure::NotRun(forwarding::NotRun::Outranked) => {
                self.min_wait = Some(OUTRANKED_WAIT);
                return Err(self.give_up(state, "Outranked".into()));
            }
            working::Failure::NotRun(reason)
                if !reason.was_shed() && self.reroutes < MAX_REROUTES =>
            {
                self.reroutes += 1;
                self.paid = false;
                return Ok(self);
            }
            // The targets have no free slot in time. Retries are for failed targets and links;
            // under overload they would only add load.
            working::Failure::NotRun(reason) if reason.is_overload() => {
                return Err(self.give_up(state, format_compact!("{reason:?}")));
            }
            working::Failure::NotRun(reason) if reason.was_shed() => {
                retry::Outcome::Shed(self.request.head.class)
            }
            working::Failure::NotRun(_) => retry::Outcome::NotRun,
            working::Failure::Silent | working::Failure::Unknown(_) => retry::Outcome::Unknown,
        };
        if self.possible_crashes >= MAX_CRASHES {
            return Err(self.give_up(state, "it may have crashed two backend servers".into()));
        }
        match decide_retry(state, &mut self.request, outcome) {
            retry::Decision::Elsewhere => {
                self.paid = true;
                self.request.head.repeat |= outcome.calls_repeat();
                Ok(self)
            }
            retry::Decision::Done => Err(self.give_up(state, "no answer".into())),
            retry::Decision::GiveUp(why) => {
                let reason = match failure {
                    working::Failure::NotRun(it) => format_compact!("{it:?}, then {why:?}"),
                    working::Failure::Silent => "the target's node stopped responding".into(),
                    working::Failure::Unknown(it) => it,
                };
                Err(self.give_up(state, reason))
            }
        }
    }

    /// The error after the last attempt. `reason` counts only when no attempt may have run.
    fn give_up(&self, state: &state::State, reason: CompactString) -> Error {
        self.error(match &self.maybe_run {
            Some(detail) => Failure::Unknown(detail.clone()),
            None => {
                let head = &self.request.head;
                let promise = |wait| returning::promise(state, head, self.run_time, wait);
                Failure::NotRun(reason, self.min_wait.map(promise))
            }
        })
    }

    fn error(&self, failure: Failure) -> Error {
        Error { failure, attempts_left: self.request.head.budget.attempts }
    }
}

fn choose_target(state: &sync::Arc<state::State>, mut retries: RetryState) -> Result<NextAttempt> {
    let chosen = choosing::choose(state, &retries.request, &retries.tried, retries.paid);
    let mut chosen = chosen.map_err(|err| {
        if let choosing::Error::Full(pause) = err {
            retries.min_wait.get_or_insert(pause);
            retries.run_time = retries.run_time.max(pause);
        }
        retries.give_up(state, format_compact!("{err}"))
    })?;
    retries.tried.push(chosen.target.key);
    if chosen.target.host == state.location.host {
        // Asks for admission in the same job: each job costs a request about 0.2 ms of waiting.
        let mut head = retries.request.head.clone();
        retries.set_wait_limits(&mut head, chosen.max_wait);
        chosen.admission = Some(working::offer(state, &head));
    }
    Ok(NextAttempt { retries, chosen })
}

fn decide_retry(
    state: &state::State,
    request: &mut state::RoutedRequest,
    outcome: retry::Outcome,
) -> retry::Decision {
    let now = state.now();
    let retry_request = request.retry();
    let toggles = routing::toggles::Toggles::default();
    let mut routing = state.routing.lock();
    let limiter = routing.retry_limiter(&request.head.service);
    let limiter = &mut limiter.team(&request.head.context.team);
    let budget = &mut request.head.budget;
    let decision = retry::decide(now, outcome, &retry_request, budget, limiter, &toggles);
    log::info!(
        target: "decision",
        "send_ended request={} outcome={outcome:?} next={decision:?} sends_left={}",
        request.head.id,
        request.head.budget.attempts,
    );
    decision
}
