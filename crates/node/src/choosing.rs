//! The choice of a target, and what the estimates learn from the send to it.

use std::{sync, time as std_time};

use compact_str::CompactString;
use protocol::forwarding;
use routing::{choose, estimates};
use world::{targets, time};

use crate::{reaching, state, working};

/// A result of this module.
pub(crate) type Result<T, E = choose::Refusal> = std::result::Result<T, E>;

/// A send that is about to be made.
pub(crate) struct Chosen {
    pub(crate) target: Target,
    pub(crate) guard: AttemptGuard,
    /// What admission said, when the target is this host's and was asked in the same job.
    pub(crate) admission: Option<working::Admission>,
    /// The wait from which on another target is better; none when there is no other.
    pub(crate) patience: Option<std_time::Duration>,
    /// When a second send is due, if the route asks for it and its times are known.
    pub(crate) hedge_at: Option<time::Time>,
}

/// A send that the estimates count until it ends.
pub(crate) struct AttemptGuard {
    state: sync::Arc<state::State>,
    target: targets::TargetKey,
    service: CompactString,
    trial: bool,
    at: time::Time,
    link: std_time::Duration,
    open: bool,
}

impl AttemptGuard {
    /// An answer has begun; the time until now counts.
    pub(crate) fn answered(mut self, standing: &forwarding::Standing) {
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
            let AttemptGuard { target, service, .. } = self;
            log::info!(target: "decision", "target_state target={target:?} service={service} change={change:?}");
        }
    }
}

impl Drop for AttemptGuard {
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
    request: &state::RoutedRequest,
    tried: &[targets::TargetKey],
) -> Result<Chosen> {
    let now = state.now();
    let service = &request.head.service;
    let mesh = &state.settings.mesh;
    let directory = state.directory.lock();
    let candidates: Vec<_> = directory
        .of_service(service)
        .map(|(key, it)| choose::Candidate {
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
    let criteria = choose::Request {
        candidates: &candidates,
        excluded: tried,
        class: request.head.class,
        idempotent: request.head.idempotent,
        deadline: request.deadline,
        objective: request.objective.since(now),
    };
    let own = directory.of_service(service).find(|it| it.1.entry.host == state.place.host);
    let mut routing = state.routing.lock();
    let routing = &mut *routing;
    if let Some((own, _)) = own {
        let load = load(&state.admission.lock().load(now));
        routing.router.estimates.observe(now, own, load);
    }
    let choice =
        routing.router.choose(now, &criteria, &mut routing.rng).inspect_err(|refusal| {
            let id = &request.head.id;
            log::info!(
                target: "decision",
                "no_target request={id} service={service} known={} tried={} reason=\"{refusal}\"",
                candidates.len(),
                tried.len(),
            );
        })?;
    let trial = choice.reason.kind == choose::Kind::Trial;
    routing.router.estimates.sent(choice.target, trial);
    if tried.is_empty() {
        let share = routing.share(service);
        if request.head.repeat { share.repeat(now) } else { share.first(now) }
    }
    let Some(target) = directory.get(choice.target) else {
        return Err(choose::Refusal::NoTargets);
    };
    let entry = &target.entry;
    let link = candidates.iter().find(|it| it.key == choice.target).map(|it| it.link);
    log::info!(
        target: "decision",
        "target request={} service={service} host={} tried={} patience={:?} reason=\"{}\"",
        request.head.id,
        entry.host,
        tried.len(),
        choice.patience,
        choice.reason,
    );
    let guard = AttemptGuard {
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
    let hedge_at = match (request.route(), routing.times.get(&request.route)) {
        (Some(route), Some(times)) => times.due(route, &request.retry(), now),
        _ => None,
    };
    Ok(Chosen { target, guard, admission: None, patience: choice.patience, hedge_at })
}

/// Tells the estimates how a send without an answer ended.
pub(crate) fn record(
    state: &state::State,
    deadline: time::Time,
    guard: AttemptGuard,
    failure: &working::Failure,
    standing: &forwarding::Standing,
) {
    match failure {
        working::Failure::Silent | working::Failure::NotRun(forwarding::NotRun::Unreachable) => {
            guard.failed(estimates::Failure::Silent);
        }
        working::Failure::NotRun(forwarding::NotRun::Refused) => {
            guard.failed(estimates::Failure::Unreachable);
        }
        working::Failure::NotRun(_) => guard.refused(load(&standing.load)),
        working::Failure::Unknown(_) if state.now() >= deadline => {
            guard.failed(estimates::Failure::TimedOut);
        }
        working::Failure::Unknown(_) => guard.failed(estimates::Failure::Broken),
    }
}

/// Counts the time of an answered request, when its route needs it for hedges. It counts from the
/// first of two sends: the time of the winner alone would lower the percentile with each hedge.
pub(crate) fn record_time(state: &state::State, request: &state::RoutedRequest, begun: time::Time) {
    if !request.head.idempotent || !request.route().is_some_and(|it| it.hedge) {
        return;
    }
    let now = state.now();
    let mut routing = state.routing.lock();
    routing.times.entry(request.route).or_default().record(now, now.since(begun));
}

fn load(report: &admission::load::LoadReport) -> estimates::Load {
    estimates::Load {
        busy: report.in_flight,
        queued: report.queued,
        service: report.service_time,
        calls: report.queued_calls,
        caller_time: report.caller_time,
        call_time: report.call_time,
    }
}
