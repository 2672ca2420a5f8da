//! Explains where a request would go now and why, without sending it.

use std::sync;

use compact_str::CompactString;
use protocol::explanations;
use routing::{balancer, survey};
use world::{config, contracts, requests, time};

use crate::{authenticating, choosing, confirming, refusals, state};

/// Explains the decisions of a running node. It outlives the node without effect.
#[derive(Clone)]
pub struct Explainer(sync::Weak<state::State>);

impl Explainer {
    pub(crate) fn new(state: &sync::Arc<state::State>) -> Explainer {
        Explainer(sync::Arc::downgrade(state))
    }

    /// Returns where the node would send a request; none after its stop, or when the workers' queue
    /// is full.
    pub async fn explain(
        &self,
        question: explanations::Question,
    ) -> Option<explanations::Explanation> {
        let state = self.0.upgrade()?;
        let shared = sync::Arc::clone(&state);
        state.pool.run(move || explain(&shared, &question)).await.ok()
    }
}

fn explain(
    state: &sync::Arc<state::State>,
    question: &explanations::Question,
) -> explanations::Explanation {
    let config = state.running();
    let mut explanation = explanations::Explanation {
        node: state.location.host.clone(),
        data_centre: state.location.data_centre.clone(),
        version: config.as_ref().map(|it| it.version()),
        routable: config.is_some() && confirming::is_routable(state),
        refusal: None,
        route: None,
        services: Vec::new(),
    };
    let Some(config) = config else {
        explanation.refusal = Some(to_refusal(&refusals::no_version()));
        return explanation;
    };
    let host = question.host.to_lowercase();
    let Some(key) = config.find_route(&host, &question.path) else {
        explanation.refusal = Some(to_refusal(&refusals::no_route(config.version())));
        return explanation;
    };
    let Some(route) = config.route(key) else { return explanation };
    match find_team(&config, route, &question.team) {
        Ok(team) => explain_route(state, &config, key, team, question, &mut explanation),
        Err(refusal) => explanation.refusal = Some(to_refusal(&refusal)),
    }
    explanation
}

/// Finds the team that a caller names in place of its API key.
fn find_team<'a>(
    config: &'a config::Config,
    route: &contracts::Route,
    name: &str,
) -> refusals::Result<Option<&'a contracts::Team>> {
    let team = config.find_team(name).and_then(|it| config.team(it));
    let needed = config.needs_keys() && !route.public;
    match team {
        None if needed || !name.is_empty() => Err(refusals::no_team(config.version())),
        team => Ok(team),
    }
}

fn explain_route(
    state: &sync::Arc<state::State>,
    config: &sync::Arc<config::Config>,
    key: contracts::RouteKey,
    team: Option<&contracts::Team>,
    question: &explanations::Question,
    explanation: &mut explanations::Explanation,
) {
    let now = state.now();
    let Some(route) = config.route(key) else { return };
    let mut context = requests::Context {
        team: CompactString::default(),
        rank: route.urgency.rank,
        worth: route.urgency.worth,
        objective: now + route.objective,
        deadline: now + route.timeout,
    };
    authenticating::apply(&mut context, team);
    let idempotent = route.is_idempotent(&question.method);
    explanation.route = Some(explanations::Route {
        name: route.name.clone(),
        prefix: route.prefix.clone(),
        idempotent,
        rank: context.rank,
        worth: context.worth,
        objective_ms: u64::try_from(route.objective.as_millis()).unwrap_or(u64::MAX),
        timeout_ms: u64::try_from(route.timeout.as_millis()).unwrap_or(u64::MAX),
    });
    explanation.services = route
        .split
        .iter()
        .filter_map(|it| Some((config.service(it.service)?, it.weight)))
        .map(|(service, weight)| {
            explain_service(state, now, &service.name, weight, &context, idempotent)
        })
        .collect();
}

fn explain_service(
    state: &sync::Arc<state::State>,
    now: time::Time,
    service: &CompactString,
    weight: u32,
    context: &requests::Context,
    idempotent: bool,
) -> explanations::Service {
    let mesh = state.mesh.lock();
    let directory = state.directory.lock();
    let candidates = choosing::candidates(state, &mesh, &directory, service);
    let routing = state.routing.lock();
    let policy = *routing.balancer.policy();
    let spillover = routing.spillovers.get(service).filter(|_| policy.adaptive);
    let penalty_share = spillover.map_or(1.0, |it| it.penalty_share(now, 0));
    let objective = context.objective.since(now);
    let request = balancer::Request {
        candidates: &candidates,
        excluded: &[],
        class: requests::Class::Caller,
        idempotent,
        deadline: context.deadline,
        objective,
        penalty_share,
    };
    let list = routing.balancer.survey(now, &request);
    let best = list.first().map(|it| it.status);
    let millis = |micros: f32| micros / 1e3;
    let target = |rank: usize, it: &survey::Surveyed| {
        let candidate = &candidates[it.index];
        let entry = &directory.get(candidate.key)?.entry;
        let usable = it.status <= survey::Status::Ejected && Some(it.status) == best;
        Some(explanations::Target {
            host: entry.host.clone(),
            data_centre: entry.data_centre.clone(),
            chosen: rank == 0 && usable,
            status: it.status.text().into(),
            linked: candidate.linked,
            in_flight: it.stats.in_flight as u32,
            round_trip_ms: millis(it.stats.round_trip),
            wait_ms: millis(it.stats.wait),
            service_ms: millis(it.stats.service_time),
            refusals: it.stats.refusals,
            cost_ms: millis(it.cost),
        })
    };
    explanations::Service {
        service: service.clone(),
        weight,
        policy: policy.name.into(),
        penalty_ms: policy.remote_penalty * penalty_share * objective.as_secs_f32() * 1e3,
        targets: list.iter().enumerate().filter_map(|(rank, it)| target(rank, it)).collect(),
    }
}

fn to_refusal(refusal: &refusals::Refusal) -> explanations::Refusal {
    explanations::Refusal {
        status: refusal.status.as_u16(),
        reason: refusal.reason.into(),
        detail: refusal.detail.clone(),
    }
}
