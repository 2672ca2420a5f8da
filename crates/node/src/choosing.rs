//! Chooses the target of an attempt and reports the attempt's outcome to the estimates.

use std::{sync, time as std_time};

use admission::load;
use compact_str::CompactString;
use membership::directory;
use protocol::forwarding;
use routing::{balancer, estimates, senders};
use world::{mesh, requests, targets, time};

use crate::{linking, reaching, rollouts, state, working};

/// A result of choosing a target.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a request is not sent to a target.
#[derive(Clone, Copy, Debug, thiserror::Error)]
pub(crate) enum Error {
    /// No target can get the request.
    #[error(transparent)]
    NoTarget(#[from] balancer::Error),
    /// Targets of the service have refused most requests of late. Holds the time in which a target
    /// usually serves a request.
    #[error("the targets of the service refuse most requests")]
    Full(std_time::Duration),
}

/// An attempt that is about to be made.
pub(crate) struct Chosen {
    pub(crate) target: Target,
    pub(crate) guard: AttemptGuard,
    /// The admission of this host's backend server, when it is the target and was asked in the
    /// job that chose it.
    pub(crate) admission: Option<working::Admission>,
    /// The wait for a slot beyond which another target is expected to answer sooner; none when
    /// there is no other target.
    pub(crate) max_wait: Option<std_time::Duration>,
    /// When to send a hedge, if the route allows hedges and its latencies are known.
    pub(crate) hedge_at: Option<time::Time>,
}

/// Keeps an attempt counted as in flight at its target. Dropping it without an outcome records
/// the attempt as cancelled.
pub(crate) struct AttemptGuard {
    state: sync::Arc<state::State>,
    target: targets::TargetKey,
    service: CompactString,
    /// Whether the target is ejected and the attempt tests it.
    trial: bool,
    sent_at: time::Time,
    /// The expected latency of the link to the target's data centre.
    link: std_time::Duration,
    class: requests::Class,
    team: CompactString,
    rank: u32,
    /// Whether the target is on another host.
    remote: bool,
    /// What the attempt counts for in a rollout of the service.
    counted: Option<rollouts::Counted>,
    pending: bool,
}

impl AttemptGuard {
    /// Records that the head of an answer arrived, and the time that it took.
    pub(crate) fn answered(
        mut self,
        node_status: &forwarding::NodeStatus,
        status: http::StatusCode,
    ) {
        let ending = ending_of(node_status, status);
        let load = to_load(&node_status.load);
        let half_free = node_status.load.is_half_free();
        let pressure = node_status.load.pressure;
        self.pending = false;
        let elapsed = self.state.now().since(self.sent_at);
        let state = sync::Arc::clone(&self.state);
        state.pool.submit_or_run(move || {
            let sample =
                estimates::Sample { elapsed, link: self.link, load: Some(load), trial: self.trial };
            let now = self.state.now();
            let peers = self.service_targets();
            let shared = sync::Arc::clone(&self.state);
            let mut routing = shared.routing.lock();
            self.end_count(&mut routing, ending);
            self.record_admission(&mut routing, now, None);
            self.record_pressure(now, pressure);
            if self.remote && half_free {
                routing.throttle(&self.service).clear();
            }
            if self.class == requests::Class::Caller {
                routing.returns(&self.service).record_admitted(now);
            }
            if half_free {
                routing.returns(&self.service).record_room(now);
            }
            let estimates = &mut routing.balancer.estimates;
            let change = estimates.record_answer(now, self.target, &sample, peers.into_iter());
            self.log_change(change);
        });
    }

    /// Records whether the target had room for the request, or why it refused it. What happens on
    /// this host costs no message, and calls are not held back, so neither counts in the throttle.
    /// Nor does a large answer that the target's link cannot carry: it would hold back requests with
    /// small answers, which the target has room for.
    fn record_admission(
        &self,
        routing: &mut state::Routing,
        now: time::Time,
        refused: Option<forwarding::NotRun>,
    ) {
        let admitted = refused.is_none();
        let estimates = &mut routing.balancer.estimates;
        estimates.record_admission(now, self.target, self.class, admitted);
        let by_link = refused == Some(forwarding::NotRun::LinkFull);
        if self.remote && !by_link && self.class == requests::Class::Caller {
            let sender = senders::Sender { team: &self.team, rank: self.rank };
            routing.throttle(&self.service).record(now, sender, admitted);
        }
    }

    /// Records the pressure that the target of a call reported: this node may refuse requests which
    /// make such calls.
    fn record_pressure(&self, now: time::Time, pressure: load::Pressure) {
        if self.class == requests::Class::Internal {
            self.state.callees.lock().record_report(now, &self.service, pressure);
        }
    }

    /// Records that the target's node refused the request, with the load that it reported.
    fn refused(mut self, load: estimates::Load) {
        self.pending = false;
        let now = self.state.now();
        let state = sync::Arc::clone(&self.state);
        let mut routing = state.routing.lock();
        self.end_count(&mut routing, rollouts::Ending::Other);
        routing.balancer.estimates.record_refusal(now, self.target, load, self.trial);
    }

    /// Records that the attempt failed. An unresponsive host is probed from then on.
    fn failed(mut self, failure: estimates::Failure) {
        self.pending = false;
        let now = self.state.now();
        let peers = self.service_targets();
        let state = sync::Arc::clone(&self.state);
        let mut routing = state.routing.lock();
        let ending = match failure {
            estimates::Failure::Broken => rollouts::Ending::Bad { loaded: false },
            estimates::Failure::TimedOut => {
                rollouts::Ending::Answered { elapsed: now.since(self.sent_at), loaded: false }
            }
            _ => rollouts::Ending::Other,
        };
        self.end_count(&mut routing, ending);
        let estimates = &mut routing.balancer.estimates;
        let change =
            estimates.record_failure(now, self.target, failure, self.trial, peers.into_iter());
        drop(routing);
        match failure {
            estimates::Failure::Silent => {
                reaching::report_unresponsive(&self.state, self.target);
            }
            estimates::Failure::Unconnected => {
                reaching::report_unconnected(&self.state, self.target);
            }
            _ => self.log_change(change),
        }
    }

    /// Ends what the attempt counts for in a rollout.
    fn end_count(&mut self, routing: &mut state::Routing, ending: rollouts::Ending) {
        if let Some(counted) = self.counted.take() {
            routing.rollouts.end(counted, ending);
        }
    }

    fn service_targets(&self) -> Vec<targets::TargetKey> {
        let directory = self.state.directory.lock();
        directory.of_service(&self.service).map(|it| it.0).collect()
    }

    fn log_change(&self, change: Option<estimates::Change>) {
        if let Some(change) = change {
            let AttemptGuard { target, service, .. } = self;
            log::info!(target: "decision", "target_state target={target:?} service={service} change={change:?}");
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if !self.pending {
            return;
        }
        let (state, target, trial) = (sync::Arc::clone(&self.state), self.target, self.trial);
        let counted = self.counted.take();
        self.state.pool.submit_or_run(move || {
            let mut routing = state.routing.lock();
            routing.balancer.estimates.record_cancel(target, trial);
            if let Some(counted) = counted {
                routing.rollouts.end(counted, rollouts::Ending::Other);
            }
        });
    }
}

/// A target as it was when it was chosen.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) key: targets::TargetKey,
    pub(crate) host: CompactString,
    pub(crate) addr: std::net::SocketAddr,
    /// Whether it is in this node's data centre.
    pub(crate) same_centre: bool,
}

/// Chooses a target that the request was not sent to yet, and counts the attempt as in flight. A
/// send that was paid for from the request's attempts is not held back. The error says why no
/// target can be chosen.
pub(crate) fn choose(
    state: &sync::Arc<state::State>,
    request: &state::RoutedRequest,
    tried: &[targets::TargetKey],
    paid: bool,
) -> Result<Chosen> {
    let now = state.now();
    let service = &request.head.service;
    let mesh = state.mesh.lock();
    let directory = state.directory.lock();
    let candidates = candidates(state, &mesh, &directory, service);
    let criteria = balancer::Request {
        candidates: &candidates,
        excluded: tried,
        class: request.head.class,
        idempotent: request.head.idempotent,
        deadline: request.deadline(),
        objective: request.head.context.objective.since(now),
        penalty_share: 1.0,
    };
    let own = directory.of_service(service).find(|it| it.1.entry.host == state.location.host);
    let own = own.map(|it| it.0);
    let mut routing = state.routing.lock();
    let routing = &mut *routing;
    if let Some(own) = own {
        let load = to_load(&state.admission.lock().load(now));
        routing.balancer.estimates.record_load(now, own, load);
    }
    let adaptive = routing.balancer.policy().adaptive;
    let spillover = routing.spillovers.entry(service.clone()).or_default();
    let penalty_share =
        if adaptive { spillover.penalty_share(now, request.body.len()) } else { 1.0 };
    let criteria = balancer::Request { penalty_share, ..criteria };
    let versioned: Vec<_> = match routing.rollouts.follows(service) {
        true => candidates.iter().filter_map(|it| versioned(&directory, it)).collect(),
        false => Vec::new(),
    };
    let first = tried.is_empty();
    let choice = rollouts::choose(now, routing, service, &versioned, criteria, first);
    let choice = choice.inspect_err(|err| {
        let id = &request.head.id;
        log::info!(
            target: "decision",
            "no_target request={id} service={service} known={} tried={} reason=\"{err}\"",
            candidates.len(),
            tried.len(),
        );
    })?;
    if let Some(pressure) = choice.home_pressure {
        routing.spillovers.entry(service.clone()).or_default().record(now, pressure);
    }
    // A call is not held back: the work of the request that it is made for would be lost.
    let caller = request.head.class == requests::Class::Caller;
    if caller && tried.is_empty() {
        routing.returns(service).record_offered(now);
    }
    let remote = own != Some(choice.target);
    if caller && remote && !paid {
        let candidate = candidates.iter().find(|it| it.key == choice.target);
        let slots = candidate.map_or(0, |it| it.slots);
        check_throttle(now, routing, request, (choice.target, slots), !tried.is_empty())?;
    }
    let trial = choice.reason.kind == balancer::Kind::Trial;
    routing.balancer.estimates.record_send(choice.target, trial);
    if tried.is_empty() {
        let limiter = routing.retry_limiter(service);
        let mut limiter = limiter.team(&request.head.context.team);
        if request.head.repeat {
            limiter.record_repeat(now);
        } else {
            limiter.record_first(now);
            if !caller {
                limiter.record_call(now);
            }
        }
    }
    let Some(target) = directory.get(choice.target) else {
        return Err(balancer::Error::NoTargets.into());
    };
    let entry = &target.entry;
    let link = candidates.iter().find(|it| it.key == choice.target).map(|it| it.link);
    log::info!(
        target: "decision",
        "target request={} service={service} host={} tried={} patience={:?} penalty={penalty_share:.2} reason=\"{}\"",
        request.head.id,
        entry.host,
        tried.len(),
        choice.max_wait,
        choice.reason,
    );
    let idempotent = request.head.idempotent;
    let counted = routing.rollouts.begin(entry, &request.head.route, idempotent);
    if let Some(counted) = &counted {
        state.instruments.count_rollout_attempt(counted.is_candidate());
    }
    let guard = AttemptGuard {
        state: sync::Arc::clone(state),
        target: choice.target,
        service: service.clone(),
        trial,
        sent_at: now,
        link: link.unwrap_or_default(),
        class: request.head.class,
        team: request.head.context.team.clone(),
        rank: request.head.context.rank,
        remote,
        counted,
        pending: true,
    };
    let target = Target {
        key: choice.target,
        host: entry.host.clone(),
        addr: entry.addr,
        same_centre: entry.data_centre == state.location.data_centre,
    };
    let hedge_at = match (request.route(), routing.latencies.get(&request.route)) {
        (Some(route), Some(times)) => times.due(route, &request.retry(), now),
        _ => None,
    };
    Ok(Chosen { target, guard, admission: None, max_wait: choice.max_wait, hedge_at })
}

/// The targets of a service, with what the node knows of them besides its measurements.
pub(crate) fn candidates(
    state: &state::State,
    mesh: &mesh::Mesh,
    directory: &directory::Directory,
    service: &CompactString,
) -> Vec<balancer::Candidate> {
    let subset = linking::use_service(state, directory, service);
    let candidate = |(key, it): (targets::TargetKey, &membership::targets::Target)| {
        let in_subset = subset.binary_search(&key).is_ok();
        let centre = mesh.find_data_centre(&it.entry.data_centre);
        balancer::Candidate {
            key,
            state: it.entry.state,
            since: it.since,
            slots: it.entry.slots,
            link: match centre {
                Some(centre) => mesh.latency(state.location.centre_key, centre),
                None => mesh::REMOTE_LATENCY,
            },
            in_subset,
            linked: in_subset && linking::is_linked(state, &it.entry),
        }
    };
    directory.of_service(service).map(candidate).collect()
}

/// A target with its software version.
fn versioned<'a>(
    directory: &'a directory::Directory,
    candidate: &balancer::Candidate,
) -> Option<rollouts::Versioned<'a>> {
    let entry = &directory.get(candidate.key)?.entry;
    let (host, version) = (&entry.host, &entry.version);
    Some(rollouts::Versioned { candidate: *candidate, host, version })
}

/// Refuses a part of the requests to a service whose targets refuse most of them, unless the chosen
/// target has just reported a free slot.
fn check_throttle(
    now: time::Time,
    routing: &mut state::Routing,
    request: &state::RoutedRequest,
    (target, slots): (targets::TargetKey, u32),
    again: bool,
) -> Result<()> {
    let service = &request.head.service;
    let context = &request.head.context;
    let sender = senders::Sender { team: &context.team, rank: context.rank };
    let estimate = routing.balancer.estimates.get(target);
    let throttle = routing.throttles.entry(service.clone()).or_default();
    if estimate.is_some_and(|it| it.has_room(now, slots))
        || throttle.try_send(now, sender, again, &mut routing.rng)
    {
        return Ok(());
    }
    log::info!(
        target: "decision",
        "held request={} service={service} again={again} reason=\"its targets refuse most requests\" \
         team={} rank={}",
        request.head.id,
        sender.team,
        sender.rank,
    );
    let micros = estimate.map_or(0.0, |it| it.caller_time);
    Err(Error::Full(std_time::Duration::from_secs_f32(micros / 1e6)))
}

/// Records the outcome of an attempt without an answer in the target's estimates.
pub(crate) fn record_failure(
    state: &state::State,
    deadline: time::Time,
    guard: AttemptGuard,
    failure: &working::Failure,
    node_status: &forwarding::NodeStatus,
) {
    if let working::Failure::NotRun(reason) = failure
        && (reason.is_overload() || reason.was_shed())
    {
        guard.record_admission(&mut state.routing.lock(), state.now(), Some(*reason));
        if reason.was_shed() {
            let estimates = &mut state.routing.lock().balancer.estimates;
            estimates.record_shed(state.now(), guard.target);
        }
    }
    match failure {
        working::Failure::Silent => guard.failed(estimates::Failure::Silent),
        working::Failure::NotRun(forwarding::NotRun::Unreachable) => {
            guard.failed(estimates::Failure::Unconnected);
        }
        working::Failure::NotRun(forwarding::NotRun::Refused) => {
            guard.failed(estimates::Failure::Unreachable);
        }
        working::Failure::NotRun(_) if has_load(node_status) => {
            guard.record_pressure(state.now(), node_status.load.pressure);
            guard.refused(to_load(&node_status.load));
        }
        // This node refused the request itself, which says nothing of the target.
        working::Failure::NotRun(_) => drop(guard),
        working::Failure::Unknown(_) if state.now() >= deadline => {
            guard.failed(estimates::Failure::TimedOut);
        }
        working::Failure::Unknown(_) => guard.failed(estimates::Failure::Broken),
    }
}

/// Whether a target's node has reported its load.
pub(crate) fn has_load(node_status: &forwarding::NodeStatus) -> bool {
    node_status.load != load::LoadReport::default()
}

/// Records the latency of an answered request when its route allows hedges. It is measured from
/// the first attempt, also when the hedge won: the winner's own time would lower the percentile
/// with each hedge.
pub(crate) fn record_latency(
    state: &state::State,
    request: &state::RoutedRequest,
    started_at: time::Time,
) {
    if !request.head.idempotent || !request.route().is_some_and(|it| it.hedge) {
        return;
    }
    let now = state.now();
    let mut routing = state.routing.lock();
    routing.latencies.entry(request.route).or_default().record(now, now.since(started_at));
}

/// What an answer says of the target's software version.
fn ending_of(node_status: &forwarding::NodeStatus, status: http::StatusCode) -> rollouts::Ending {
    let load = &node_status.load;
    let loaded = load.in_flight * 2 >= load.slots;
    if status.is_server_error() {
        return rollouts::Ending::Bad { loaded };
    }
    let elapsed = std_time::Duration::from_micros(node_status.backend_us);
    rollouts::Ending::Answered { elapsed, loaded }
}

fn to_load(report: &load::LoadReport) -> estimates::Load {
    estimates::Load {
        busy: report.in_flight,
        queued: report.queued,
        service_time: report.service_time,
        queued_calls: report.queued_calls,
        caller_time: report.caller_time,
        call_time: report.call_time,
    }
}
