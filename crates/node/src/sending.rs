//! Sending a request to targets until one answers or no send is left.

use std::{sync, time as std_time};

use compact_str::{CompactString, format_compact};
use protocol::{forwarding, streams};
use routing::{estimates, retry};
use world::{targets, time};

use crate::{choosing, headers, state, working};

/// Crashes of backend servers after which a request is not sent again, whatever its budget: the
/// second one, beside no other suspect, is the evidence against it.
const MAX_CRASHES: u32 = 2;

/// An answer on its way from a target.
pub(crate) struct Answered {
    pub(crate) status: http::StatusCode,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: Source,
}

/// Where the body of an answer comes from.
pub(crate) enum Source {
    /// The backend server of this host.
    Here(web::body::Body, working::Running),
    /// Another node, over a stream that ends when it is dropped.
    There(transport::streams::Receiver),
}

/// Why there is no answer.
#[derive(Clone, Debug)]
pub(crate) enum Failure {
    /// The request was certainly not run by any target.
    NotRun(CompactString),
    /// It crashes backend servers and is refused; it was not run for this caller.
    Quarantined,
    /// It may have run.
    Unknown(CompactString),
}

/// A send that the estimates count until it ends.
pub(crate) struct Sent {
    pub(crate) state: sync::Arc<state::State>,
    pub(crate) target: targets::TargetKey,
    pub(crate) service: CompactString,
    pub(crate) trial: bool,
    pub(crate) at: time::Time,
    pub(crate) link: std_time::Duration,
    pub(crate) open: bool,
}

/// How one send ended without an answer.
struct Ended {
    sent: Sent,
    failure: working::Failure,
    standing: forwarding::Standing,
}

/// Sends a request until a target answers it.
pub(crate) async fn send(
    state: &sync::Arc<state::State>,
    job: state::Job,
) -> Result<Answered, Failure> {
    let mut course = Course { job, tried: Vec::new(), may_have_run: None, crashes: 0 };
    loop {
        let choosing::Chosen { target, sent, suspect } =
            match choosing::choose(state, &course).await {
                Ok(it) => it,
                Err(choosing::Refused::Quarantined) => return Err(Failure::Quarantined),
                Err(choosing::Refused::NoTarget(why)) => {
                    return Err(course.give_up(format_compact!("{why}")));
                }
            };
        course.job.head.suspect |= suspect;
        course.tried.push(target.key);
        state.instruments.count_attempt();
        let ended = match attempt(state, &mut course.job, &target, sent).await {
            Ok(answered) => return Ok(answered),
            Err(ended) => ended,
        };
        let shared = sync::Arc::clone(state);
        let (back, failure) = match state.pool.run(move || course.follow(&shared, ended)).await {
            Ok(it) => it,
            Err(err) => return Err(Failure::Unknown(format_compact!("{err}"))),
        };
        course = back;
        if let Some(failure) = failure {
            return Err(failure);
        }
    }
}

/// A request and what its sends came to.
#[derive(Clone, Debug)]
pub(crate) struct Course {
    pub(crate) job: state::Job,
    pub(crate) tried: Vec<targets::TargetKey>,
    /// What was seen when a send ended in doubt.
    may_have_run: Option<CompactString>,
    crashes: u32,
}

impl Course {
    /// Decides what follows a send without an answer: a failure to report, or another send.
    fn follow(mut self, state: &state::State, ended: Ended) -> (Course, Option<Failure>) {
        let Ended { sent, failure, standing } = ended;
        record(state, &self.job, sent, &failure, standing);
        self.job.head.budget.settle(standing.attempts);
        let outcome = match &failure {
            working::Failure::NotRun(forwarding::NotRun::Quarantined) => {
                let refusal = self.may_have_run.clone().map(Failure::Unknown);
                return (self, Some(refusal.unwrap_or(Failure::Quarantined)));
            }
            working::Failure::NotRun(_) => retry::Outcome::NotRun,
            working::Failure::Unknown(detail) => {
                self.may_have_run = Some(detail.clone());
                self.crashes += 1;
                // It may have crashed the target, so from here on it runs beside no other suspect.
                self.job.head.suspect = true;
                retry::Outcome::Unknown
            }
        };
        if self.crashes >= MAX_CRASHES {
            let failure = self.give_up("it failed on two targets".into());
            return (self, Some(failure));
        }
        let failure = match decide(state, &mut self.job, outcome) {
            retry::Decision::Elsewhere => None,
            retry::Decision::Done => Some(self.give_up("no answer".into())),
            retry::Decision::GiveUp(why) => {
                let reason = match failure {
                    working::Failure::NotRun(it) => format_compact!("{it:?}, then {why:?}"),
                    working::Failure::Unknown(it) => it,
                };
                Some(self.give_up(reason))
            }
        };
        (self, failure)
    }

    fn give_up(&self, reason: CompactString) -> Failure {
        match &self.may_have_run {
            Some(detail) => Failure::Unknown(detail.clone()),
            None => Failure::NotRun(reason),
        }
    }
}

impl Sent {
    /// An answer has begun; the time until now counts.
    fn answered(mut self, load: estimates::Load) {
        self.open = false;
        let elapsed = self.state.now().since(self.at);
        let state = sync::Arc::clone(&self.state);
        state.pool.submit_or_run(move || {
            let sample =
                estimates::Sample { elapsed, link: self.link, load: Some(load), trial: self.trial };
            let now = self.state.now();
            let peers = self.peers();
            let mut routing = self.state.routing.lock();
            let estimates = &mut routing.router.estimates;
            let change = estimates.answered(now, self.target, &sample, peers.into_iter());
            self.log(change);
        });
    }

    /// The target's node refused the request.
    fn refused(mut self, load: estimates::Load) {
        self.open = false;
        let now = self.state.now();
        let mut routing = self.state.routing.lock();
        routing.router.estimates.refused(now, self.target, load, self.trial);
    }

    /// There was no answer.
    fn failed(mut self, failure: estimates::Failure) {
        self.open = false;
        let now = self.state.now();
        let peers = self.peers();
        let mut routing = self.state.routing.lock();
        let estimates = &mut routing.router.estimates;
        let change = estimates.failed(now, self.target, failure, self.trial, peers.into_iter());
        self.log(change);
    }

    fn peers(&self) -> Vec<targets::TargetKey> {
        let directory = self.state.directory.lock();
        directory.of_service(&self.service).map(|it| it.0).collect()
    }

    fn log(&self, change: Option<estimates::Change>) {
        if let Some(change) = change {
            let Sent { target, service, .. } = self;
            log::info!(target: "decision", "target {target:?} of {service}: {change:?}");
        }
    }
}

impl Drop for Sent {
    fn drop(&mut self) {
        if !self.open {
            return;
        }
        let (state, target, trial) = (sync::Arc::clone(&self.state), self.target, self.trial);
        self.state.pool.submit_or_run(move || {
            state.routing.lock().router.estimates.cancelled(target, trial);
        });
    }
}

fn decide(state: &state::State, job: &mut state::Job, outcome: retry::Outcome) -> retry::Decision {
    let now = state.now();
    let request = job.retry();
    let mechanisms = routing::mechanisms::Mechanisms::default();
    let mut routing = state.routing.lock();
    let budget = &mut job.head.budget;
    let decision = retry::decide(now, outcome, &request, budget, &mut routing.share, &mechanisms);
    log::info!(
        target: "decision",
        "{} {} ended {outcome:?}: {decision:?}, {} sends left",
        job.head.method,
        job.head.path,
        job.head.budget.attempts,
    );
    decision
}

async fn attempt(
    state: &sync::Arc<state::State>,
    job: &mut state::Job,
    target: &choosing::Target,
    sent: Sent,
) -> Result<Answered, Ended> {
    let mut head = job.head.clone();
    let left = job.deadline.since(state.now());
    head.movable = job.head.budget.attempts > 0;
    head.budget = job.head.budget.pass_on(left);
    if target.host == state.place.host {
        return run_here(state, job, head, sent).await;
    }
    forward(state, job, head, target, sent).await
}

async fn run_here(
    state: &sync::Arc<state::State>,
    job: &state::Job,
    head: forwarding::RequestHead,
    sent: Sent,
) -> Result<Answered, Ended> {
    let attempts = head.budget.attempts;
    let order = working::Order { head, body: job.body.clone(), deadline: job.deadline };
    match working::run(state, order).await {
        Ok(answered) => {
            sent.answered(load(&working::standing(state, 0)));
            let working::Answered { status, headers, body, running } = answered;
            Ok(Answered { status, headers, body: Source::Here(body, running) })
        }
        Err(failure) => {
            let standing = working::standing(state, attempts);
            Err(Ended { sent, failure, standing })
        }
    }
}

async fn forward(
    state: &sync::Arc<state::State>,
    job: &state::Job,
    head: forwarding::RequestHead,
    target: &choosing::Target,
    sent: Sent,
) -> Result<Answered, Ended> {
    let attempts = head.budget.attempts;
    let none = forwarding::Standing { attempts, ..forwarding::Standing::default() };
    let exchange = exchange(state, job, head, target);
    let limit = state.instant(job.deadline);
    let result = match tokio::time::timeout_at(limit, exchange).await {
        Ok(it) => it,
        Err(_) => Err(working::Failure::Unknown("the deadline passed".into())),
    };
    let (answer, receiver) = match result {
        Ok(it) => it,
        Err(failure) => return Err(Ended { sent, failure, standing: none }),
    };
    match answer {
        forwarding::AnswerHead::Answered { status, fields, standing } => {
            sent.answered(load(&standing));
            let status = http::StatusCode::from_u16(status);
            Ok(Answered {
                status: status.unwrap_or(http::StatusCode::BAD_GATEWAY),
                headers: headers::decode(&fields),
                body: Source::There(receiver),
            })
        }
        forwarding::AnswerHead::NotRun { reason, standing } => {
            Err(Ended { sent, failure: working::Failure::NotRun(reason), standing })
        }
        forwarding::AnswerHead::Unknown { detail, standing } => {
            Err(Ended { sent, failure: working::Failure::Unknown(detail), standing })
        }
    }
}

type Exchanged = (forwarding::AnswerHead, transport::streams::Receiver);

/// Sends a request to another node and waits for the head of the answer.
async fn exchange(
    state: &state::State,
    job: &state::Job,
    head: forwarding::RequestHead,
    target: &choosing::Target,
) -> Result<Exchanged, working::Failure> {
    // No byte has left this node until a stream is open.
    let unreachable = |err: transport::errors::Error| {
        log::info!(target: "decision", "node {} cannot be reached: {err}", target.host);
        working::Failure::NotRun(forwarding::NotRun::Refused)
    };
    let link = state.links.link(&target.host, target.addr).await.map_err(unreachable)?;
    let (mut sender, mut receiver) = link.open().await.map_err(unreachable)?;
    let lost = |err: transport::errors::Error| {
        working::Failure::Unknown(format_compact!("node {}: {err}", target.host))
    };
    let body = job.body.clone();
    sender.send(&streams::Open::Request { head, body }).await.map_err(lost)?;
    sender.finish().map_err(lost)?;
    match receiver.recv::<forwarding::AnswerHead>().await.map_err(lost)? {
        Some(answer) => Ok((answer, receiver)),
        None => {
            let detail = format_compact!("node {} ended the stream", target.host);
            Err(working::Failure::Unknown(detail))
        }
    }
}

fn record(
    state: &state::State,
    job: &state::Job,
    sent: Sent,
    failure: &working::Failure,
    standing: forwarding::Standing,
) {
    match failure {
        working::Failure::NotRun(forwarding::NotRun::Refused) => {
            sent.failed(estimates::Failure::Unreachable);
        }
        working::Failure::NotRun(_) => sent.refused(load(&standing)),
        working::Failure::Unknown(_) if state.now() >= job.deadline => {
            sent.failed(estimates::Failure::TimedOut);
        }
        working::Failure::Unknown(_) => sent.failed(estimates::Failure::Broken),
    }
}

fn load(standing: &forwarding::Standing) -> estimates::Load {
    estimates::Load { busy: standing.load.in_flight, queued: standing.load.queued }
}
