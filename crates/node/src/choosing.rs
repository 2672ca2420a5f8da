//! The choice of a target, and what the estimates learn from the send to it.

use std::{sync, time as std_time};

use compact_str::CompactString;
use protocol::forwarding;
use routing::{balancer, estimates};
use world::{targets, time};

use crate::{reaching, state, working};

/// A result of this module.
pub(crate) type Result<T, E = balancer::Error> = std::result::Result<T, E>;

/// A send that is about to be made.
pub(crate) struct Chosen {
    pub(crate) target: Target,
    pub(crate) sent: Sent,
    /// What admission said, when the target is this host's and was asked in the same job.
    pub(crate) admission: Option<working::Admission>,
    /// The wait from which on another target is better; none when there is no other.
    pub(crate) patience: Option<std_time::Duration>,
    /// When a second send is due, if the route asks for it and its times are known.
    pub(crate) hedge_at: Option<time::Time>,
}

/// A send that the estimates count until it ends.
pub(crate) struct Sent {
    state: sync::Arc<state::State>,
    target: targets::TargetKey,
    service: CompactString,
    trial: bool,
    at: time::Time,
    link: std_time::Duration,
    open: bool,
}

impl Sent {
    /// An answer has begun; the time until now counts.
    pub(crate) fn answered(mut self, standing: &forwarding::NodeStatus) {
        let load = load(&standing.load);
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
            let change = estimates.record_answer(now, self.target, &sample, peers.into_iter());
            self.log(change);
        });
    }

    /// The target's node refused the request.
    fn refused(mut self, load: estimates::Load) {
        self.open = false;
        let now = self.state.now();
        let mut routing = self.state.routing.lock();
        routing.router.estimates.record_refusal(now, self.target, load, self.trial);
    }

    /// There was no answer.
    fn failed(mut self, failure: estimates::Failure) {
        self.open = false;
        let now = self.state.now();
        let peers = self.peers();
        let mut routing = self.state.routing.lock();
        let estimates = &mut routing.router.estimates;
        let change =
            estimates.record_failure(now, self.target, failure, self.trial, peers.into_iter());
        drop(routing);
        if failure == estimates::Failure::Silent {
            reaching::lost(&self.state, self.target);
        } else {
            self.log(change);
        }
    }

    fn peers(&self) -> Vec<targets::TargetKey> {
        let directory = self.state.directory.lock();
        directory.of_service(&self.service).map(|it| it.0).collect()
    }

    fn log(&self, change: Option<estimates::Change>) {
        if let Some(change) = change {
            let Sent { target, service, .. } = self;
            log::info!(target: "decision", "target_state target={target:?} service={service} change={change:?}");
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
            state.routing.lock().router.estimates.record_cancel(target, trial);
        });
    }
}

/// A target as it was when it was chosen.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) key: targets::TargetKey,
    pub(crate) host: CompactString,
    pub(crate) addr: std::net::SocketAddr,
    /// Whether it stands in this node's data centre.
    pub(crate) near: bool,
}

/// Chooses a target that has not had the request, and counts the send to it.
pub(crate) fn choose(
    state: &sync::Arc<state::State>,
    job: &state::Job,
    tried: &[targets::TargetKey],
) -> Result<Chosen> {
    let now = state.now();
    let service = &job.head.service;
    let mesh = &state.settings.mesh;
    let directory = state.directory.lock();
    let candidates: Vec<_> = directory
        .of_service(service)
        .map(|(key, it)| balancer::Candidate {
            key,
            state: it.entry.state,
            since: it.since,
            slots: it.entry.slots,
            link: match mesh.find_data_centre(&it.entry.data_centre) {
                Some(centre) => mesh.latency(state.place.centre, centre),
                None => world::mesh::REMOTE_LATENCY,
            },
        })
        .collect();
    let request = balancer::Request {
        candidates: &candidates,
        excluded: tried,
        class: job.head.class,
        idempotent: job.head.idempotent,
        deadline: job.deadline,
        objective: job.objective.since(now),
    };
    let own = directory.of_service(service).find(|it| it.1.entry.host == state.place.host);
    let mut routing = state.routing.lock();
    let routing = &mut *routing;
    if let Some((own, _)) = own {
        let load = load(&state.admission.lock().load(now));
        routing.router.estimates.record_load(now, own, load);
    }
    let choice = routing.router.choose(now, &request, &mut routing.rng).inspect_err(|refusal| {
        let id = &job.head.id;
        log::info!(
            target: "decision",
            "no_target request={id} service={service} known={} tried={} reason=\"{refusal}\"",
            candidates.len(),
            tried.len(),
        );
    })?;
    let trial = choice.reason.kind == balancer::Kind::Trial;
    routing.router.estimates.record_send(choice.target, trial);
    if tried.is_empty() {
        let share = routing.share(service);
        if job.head.repeat { share.record_repeat(now) } else { share.record_first(now) }
    }
    let Some(target) = directory.get(choice.target) else {
        return Err(balancer::Error::NoTargets);
    };
    let entry = &target.entry;
    let link = candidates.iter().find(|it| it.key == choice.target).map(|it| it.link);
    log::info!(
        target: "decision",
        "target request={} service={service} host={} tried={} patience={:?} reason=\"{}\"",
        job.head.id,
        entry.host,
        tried.len(),
        choice.patience,
        choice.reason,
    );
    let sent = Sent {
        state: sync::Arc::clone(state),
        target: choice.target,
        service: service.clone(),
        trial,
        at: now,
        link: link.unwrap_or_default(),
        open: true,
    };
    let target = Target {
        key: choice.target,
        host: entry.host.clone(),
        addr: entry.addr,
        near: entry.data_centre == state.place.data_centre,
    };
    let hedge_at = match (job.route(), routing.times.get(&job.route)) {
        (Some(route), Some(times)) => times.due(route, &job.retry(), now),
        _ => None,
    };
    Ok(Chosen { target, sent, admission: None, patience: choice.patience, hedge_at })
}

/// Tells the estimates how a send without an answer ended.
pub(crate) fn record(
    state: &state::State,
    deadline: time::Time,
    sent: Sent,
    failure: &working::Failure,
    standing: &forwarding::NodeStatus,
) {
    match failure {
        working::Failure::Silent | working::Failure::NotRun(forwarding::NotRun::Unreachable) => {
            sent.failed(estimates::Failure::Silent);
        }
        working::Failure::NotRun(forwarding::NotRun::Refused) => {
            sent.failed(estimates::Failure::Unreachable);
        }
        working::Failure::NotRun(_) => sent.refused(load(&standing.load)),
        working::Failure::Unknown(_) if state.now() >= deadline => {
            sent.failed(estimates::Failure::TimedOut);
        }
        working::Failure::Unknown(_) => sent.failed(estimates::Failure::Broken),
    }
}

/// Counts the time of an answered request, when its route needs it for hedges. It counts from the
/// first of two sends: the time of the winner alone would lower the percentile with each hedge.
pub(crate) fn record_time(state: &state::State, job: &state::Job, begun: time::Time) {
    if !job.head.idempotent || !job.route().is_some_and(|it| it.hedge) {
        return;
    }
    let now = state.now();
    let mut routing = state.routing.lock();
    routing.times.entry(job.route).or_default().record(now, now.since(begun));
}

fn load(report: &admission::load::LoadReport) -> estimates::Load {
    estimates::Load {
        busy: report.in_flight,
        queued: report.queued,
        service_time: report.service_time,
        queued_calls: report.queued_calls,
        caller_time: report.caller_time,
        call_time: report.call_time,
    }
}
