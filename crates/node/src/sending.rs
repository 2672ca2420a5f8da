//! Sending a request to targets until one answers or no send is left.

use std::{sync, time};

use compact_str::{CompactString, format_compact};
use protocol::forwarding;
use routing::retry;
use world::targets;

use crate::{choosing, forward, hedging, state, working};

/// Crashes of backend servers after which a request is not sent again, whatever its budget: the
/// second one, beside no other suspect, is the evidence against it.
const MAX_CRASHES: u32 = 2;

/// Sends of a request after refusals that no backend server saw. They cost the mesh a message and
/// no target anything, so they are not counted as attempts.
const MAX_MOVES: u8 = 2;

/// A result of this module.
pub(crate) type Result<T, E = Failed> = std::result::Result<T, E>;

/// An answer on its way from a target.
pub(crate) struct Answered {
    pub(crate) status: http::StatusCode,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: Source,
    /// How things stood at the target; its `attempts` are all that the request has left.
    pub(crate) standing: forwarding::NodeStatus,
}

/// Where the body of an answer comes from.
pub(crate) enum Source {
    /// The backend server of this host.
    Here(web::body::Body, working::Running),
    /// Another node, over a stream that ends when it is dropped, until a point in time.
    There(transport::streams::Receiver, tokio::time::Instant),
    /// What was read of a body, followed by the rest of it.
    Rest(Option<bytes::Bytes>, web::body::Body),
}

/// Why there is no answer, and how many extra sends the request has left.
#[derive(Clone, Debug)]
pub(crate) struct Failed {
    pub(crate) failure: Failure,
    pub(crate) unused: u8,
}

/// Why there is no answer.
#[derive(Clone, Debug)]
pub(crate) enum Failure {
    /// The request was certainly not run by any target. With it comes when a target may be free.
    NotRun(CompactString, Option<time::Duration>),
    /// It crashes backend servers and is refused; it was not run for this caller.
    Quarantined,
    /// It may have run.
    Unknown(CompactString),
}

/// How one send ended without an answer.
pub(crate) struct Ended {
    pub(crate) sent: choosing::Sent,
    pub(crate) failure: working::Failure,
    pub(crate) standing: forwarding::NodeStatus,
}

/// A request and what its sends came to.
#[derive(Clone, Debug)]
pub(crate) struct Course {
    pub(crate) job: state::Job,
    pub(crate) tried: Vec<targets::TargetKey>,
    /// What was seen when a send ended in doubt.
    may_have_run: Option<CompactString>,
    crashes: u32,
    /// Sends after a refusal that no backend server saw.
    moves: u8,
    /// When the least busy of the targets that refused may have a free slot.
    free_in: Option<time::Duration>,
}

/// A request with its first target.
pub(crate) struct Begun {
    course: Course,
    chosen: choosing::Chosen,
}

/// Chooses the first target of a request, in a job.
pub(crate) fn begin(state: &sync::Arc<state::State>, job: state::Job) -> Result<Begun> {
    choose(
        state,
        Course { job, tried: Vec::new(), may_have_run: None, crashes: 0, moves: 0, free_in: None },
    )
}

/// Sends a request until a target answers it.
pub(crate) async fn send(state: &sync::Arc<state::State>, begun: Begun) -> Result<Answered> {
    let mut begun = begun;
    loop {
        let Begun { mut course, chosen } = begun;
        let ended = match hedging::round(state, &mut course, chosen).await {
            Ok(mut answered) => {
                course.job.head.budget.return_unused(answered.standing.attempts);
                answered.standing.attempts = course.job.head.budget.attempts;
                return Ok(answered);
            }
            Err(ended) => ended,
        };
        let unused = course.job.head.budget.attempts;
        let shared = sync::Arc::clone(state);
        let job = move || course.follow(&shared, ended).and_then(|it| choose(&shared, it));
        let lost = |err| Failed { failure: Failure::Unknown(format_compact!("{err}")), unused };
        begun = state.pool.run(job).await.map_err(lost)??;
    }
}

/// Sends a request to a target. What the request has left goes along in part.
pub(crate) async fn attempt(
    state: &sync::Arc<state::State>,
    job: state::Job,
    chosen: choosing::Chosen,
) -> Result<Answered, Ended> {
    let choosing::Chosen { target, sent, admission, .. } = chosen;
    if target.host != state.place.host {
        return forward::forward(state, &job, &target, sent).await;
    }
    let state::Job { head, body, deadline, .. } = job;
    match working::run(state, working::Order { head, body, deadline }, admission).await {
        Ok(answered) => {
            let working::Answered { status, headers, body, running, standing } = answered;
            sent.answered(&standing);
            Ok(Answered { status, headers, body: Source::Here(body, running), standing })
        }
        Err(working::Failed { failure, standing }) => Err(Ended { sent, failure, standing }),
    }
}

impl Course {
    /// The request as it goes to one target. Half of the extra sends go along.
    pub(crate) fn pass_on(
        &mut self,
        state: &state::State,
        patience: Option<time::Duration>,
    ) -> state::Job {
        let mut job = self.job.clone();
        self.allow(state, &mut job.head, patience);
        job.head.budget = self.job.head.budget.split_for_send(job.deadline.since(state.now()));
        job
    }

    /// Says to the target's node how long the request may wait there.
    fn allow(
        &self,
        state: &state::State,
        head: &mut forwarding::RequestHead,
        patience: Option<time::Duration>,
    ) {
        let micros = |it: time::Duration| u64::try_from(it.as_micros()).unwrap_or(u64::MAX);
        head.movable = self.moves < MAX_MOVES && patience.is_some();
        head.patience_us = patience.map(micros);
        head.objective_us = micros(self.job.objective.since(state.now()));
    }

    /// Notes a send without an answer.
    pub(crate) fn note(&mut self, state: &state::State, ended: Ended) -> working::Failure {
        let Ended { sent, failure, standing } = ended;
        if matches!(failure, working::Failure::NotRun(_)) {
            let wait = standing.load.expected_wait();
            self.free_in = Some(self.free_in.map_or(wait, |it| it.min(wait)));
        }
        choosing::record(state, self.job.deadline, sent, &failure, &standing);
        self.job.head.budget.return_unused(standing.attempts);
        if failure == working::Failure::Silent {
            self.may_have_run = Some("nothing was heard of the target's node".into());
        }
        if let working::Failure::Unknown(detail) = &failure {
            self.may_have_run = Some(detail.clone());
            self.crashes += 1;
            // It may have crashed the target, so from here on it runs beside no other suspect.
            self.job.head.suspect = true;
        }
        failure
    }

    /// Decides what follows a send without an answer: a failure to report, or another send.
    fn follow(mut self, state: &state::State, ended: Ended) -> Result<Course> {
        let failure = self.note(state, ended);
        let outcome = match &failure {
            working::Failure::NotRun(forwarding::NotRun::Quarantined) => {
                let refusal = self.may_have_run.clone().map(Failure::Unknown);
                return Err(self.failed(refusal.unwrap_or(Failure::Quarantined)));
            }
            working::Failure::NotRun(reason) if !reason.was_shed() && self.moves < MAX_MOVES => {
                self.moves += 1;
                return Ok(self);
            }
            // No target has a slot in time. Retries are for what targets or links fail to do.
            working::Failure::NotRun(reason) if reason.is_overload() => {
                return Err(self.give_up(format_compact!("{reason:?}")));
            }
            working::Failure::NotRun(_) => retry::Outcome::NotRun,
            working::Failure::Silent | working::Failure::Unknown(_) => retry::Outcome::Unknown,
        };
        if self.crashes >= MAX_CRASHES {
            return Err(self.give_up("it failed on two targets".into()));
        }
        match decide(state, &mut self.job, outcome) {
            retry::Decision::Elsewhere => {
                self.job.head.repeat |= match &failure {
                    working::Failure::NotRun(reason) => reason.was_shed(),
                    working::Failure::Silent | working::Failure::Unknown(_) => true,
                };
                Ok(self)
            }
            retry::Decision::Done => Err(self.give_up("no answer".into())),
            retry::Decision::GiveUp(why) => {
                let reason = match failure {
                    working::Failure::NotRun(it) => format_compact!("{it:?}, then {why:?}"),
                    working::Failure::Silent => "nothing was heard".into(),
                    working::Failure::Unknown(it) => it,
                };
                Err(self.give_up(reason))
            }
        }
    }

    fn give_up(&self, reason: CompactString) -> Failed {
        self.failed(match &self.may_have_run {
            Some(detail) => Failure::Unknown(detail.clone()),
            None => Failure::NotRun(reason, self.free_in),
        })
    }

    fn failed(&self, failure: Failure) -> Failed {
        Failed { failure, unused: self.job.head.budget.attempts }
    }
}

fn choose(state: &sync::Arc<state::State>, mut course: Course) -> Result<Begun> {
    let chosen = choosing::choose(state, &course.job, &course.tried);
    let mut chosen = chosen.map_err(|refusal| course.give_up(format_compact!("{refusal}")))?;
    course.tried.push(chosen.target.key);
    if chosen.target.host == state.place.host {
        // Each wait for a worker costs a call about 0.2 ms, so this saves one.
        let mut head = course.job.head.clone();
        course.allow(state, &mut head, chosen.patience);
        chosen.admission = Some(working::offer(state, &head, course.job.deadline));
    }
    Ok(Begun { course, chosen })
}

fn decide(state: &state::State, job: &mut state::Job, outcome: retry::Outcome) -> retry::Decision {
    let now = state.now();
    let request = job.retry();
    let mechanisms = routing::mechanisms::Mechanisms::default();
    let mut routing = state.routing.lock();
    let share = routing.share(&job.head.service);
    let budget = &mut job.head.budget;
    let decision = retry::decide(now, outcome, &request, budget, share, &mechanisms);
    log::info!(
        target: "decision",
        "send_ended request={} outcome={outcome:?} next={decision:?} sends_left={}",
        job.head.id,
        job.head.budget.attempts,
    );
    decision
}
