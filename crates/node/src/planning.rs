//! Routes a request, and decides on its time, attempts and priority.

use std::{sync, time as std_time};

use compact_str::CompactString;
use routing::budget;
use world::{config, contracts, requests, time};

use crate::{authenticating, dialect, forward, headers, in_flight, refusals, reservations, state};

/// How long before a caller gives up it gets an answer of the node's own, if there is no other. A
/// caller that gives up closes its connection, which loses the answers to its other requests.
const CALLER_LEAD: std_time::Duration = std_time::Duration::from_millis(25);
/// The lead is at most this part of the time that the caller waits.
const MIN_LEADS: u32 = 40;

/// The route of a request and what follows from it.
pub(crate) struct Plan {
    pub(crate) config: sync::Arc<config::Config>,
    pub(crate) route: contracts::RouteKey,
    pub(crate) service: CompactString,
    pub(crate) home: Option<CompactString>,
    pub(crate) scheduling: Scheduling,
    pub(crate) idempotent: bool,
    pub(crate) reservation: reservations::Reservation,
}

/// The time, attempts and priority of a request. A call that a backend server makes on behalf of
/// another request inherits them from that request.
pub(crate) struct Scheduling {
    pub(crate) class: requests::Class,
    pub(crate) budget: budget::Budget,
    pub(crate) context: requests::Context,
    /// Until when an answer is waited for.
    pub(crate) answer_by: time::Time,
    /// Whether it is a call of a request that was sent to another target before.
    pub(crate) repeat: bool,
    /// The route of the request that this call is made for; none for a caller's request.
    pub(crate) parent_route: Option<CompactString>,
    /// The request whose extra attempts this call has taken.
    pub(crate) parent: Option<in_flight::RequestKey>,
}

/// Routes a request by the running version of the configuration, and takes the extra attempts of a
/// call from its parent.
pub(crate) fn plan(
    state: &sync::Arc<state::State>,
    now: time::Time,
    id: &str,
    (method, host, path): (&str, &str, &str),
    options: &dialect::RequestOptions,
) -> refusals::Result<Plan> {
    let config = state.running().ok_or_else(refusals::no_version)?;
    let version = config.version();
    let Some(route) = config.find_route(host, path) else {
        log::info!(
            target: "decision",
            "no_route request={id} host={host} path={path} version={version}",
        );
        return Err(refusals::no_route(version));
    };
    let contract = config.route(route).ok_or_else(|| refusals::no_route(version))?;
    let service = contract.service_at(next_split(state, contract));
    let service = service.and_then(|it| config.service(it));
    let service = service.ok_or_else(|| refusals::no_route(version))?;
    // A caller that waits for longer than the route allows is answered in time in any case.
    let limit = options.limit.filter(|it| *it <= contract.timeout + forward::REPORT_GRACE);
    let lead = limit.map_or(std_time::Duration::ZERO, |it| CALLER_LEAD.min(it / MIN_LEADS));
    // The targets stop a lead earlier than the node, so that their reports arrive in time.
    let timeout = limit.map_or(contract.timeout, |it| (it - lead * 2).min(contract.timeout));
    let mut scheduling = scheduling(state, now, contract, timeout, options.parent.as_ref())?;
    if scheduling.class == requests::Class::Caller {
        let team = authenticating::find_team(&config, contract, options)?;
        authenticating::apply(&mut scheduling.context, team);
    }
    if let Some(parent_route) = &scheduling.parent_route {
        state.callees.lock().record_call(parent_route, &service.name);
    }
    if let Some(limit) = limit {
        scheduling.answer_by = scheduling.answer_by.min(now + (limit - lead));
    }
    limit_to_stop(state, now, &mut scheduling);
    let budget = scheduling.budget;
    let reservation =
        reservations::Reservation::new(sync::Arc::clone(state), scheduling.parent, budget.attempts);
    budget.check().map_err(|err| refusals::out_of_budget(&err))?;
    log::info!(
        target: "decision",
        "route request={id} method={method} host={host} path={path} route={} service={} \
         version={version} age={:?} class={:?} team={} depth={} left_ms={}",
        contract.name,
        service.name,
        state.configuration.lock().updater.age(now),
        scheduling.class,
        scheduling.context.team,
        budget.depth,
        scheduling.context.deadline.since(now).as_millis(),
    );
    Ok(Plan {
        service: service.name.clone(),
        home: service.home.clone(),
        idempotent: contract.is_idempotent(method),
        config,
        route,
        scheduling,
        reservation,
    })
}

/// Limits a request that a stopping node takes to the time until its stop, so that its caller gets an
/// answer.
fn limit_to_stop(state: &state::State, now: time::Time, scheduling: &mut Scheduling) {
    let Some(stop_by) = state.backend.lock().stop_by else { return };
    let lead = CALLER_LEAD.min(stop_by.since(now) / MIN_LEADS);
    let deadline = now + stop_by.since(now).saturating_sub(lead);
    scheduling.answer_by = scheduling.answer_by.min(stop_by);
    let context = &mut scheduling.context;
    context.deadline = context.deadline.min(deadline);
    let left = u32::try_from(context.deadline.since(now).as_millis()).unwrap_or(u32::MAX);
    scheduling.budget.remaining_ms = scheduling.budget.remaining_ms.min(left);
}

/// The number by which a route that is split among services chooses a service. It grows with each
/// request of such a route; a route with one service always gets zero.
fn next_split(state: &state::State, route: &contracts::Route) -> u64 {
    if route.split.len() < 2 {
        return 0;
    }
    let mut routing = state.routing.lock();
    routing.split_counter = routing.split_counter.wrapping_add(1);
    routing.split_counter
}

/// The value of the `host` field, without its port, in lower case.
pub(crate) fn host_name(headers: &http::HeaderMap) -> CompactString {
    let text = headers::text(headers, http::header::HOST.as_str()).unwrap_or_default();
    let name = text.rsplit_once(':').filter(|it| it.1.bytes().all(|it| it.is_ascii_digit()));
    CompactString::from(name.map_or(text, |it| it.0)).to_lowercase()
}

/// The scheduling of a request: its route's contract, limited by the parent's for a call.
fn scheduling(
    state: &state::State,
    now: time::Time,
    contract: &contracts::Route,
    timeout: std_time::Duration,
    parent: Option<&dialect::Parent>,
) -> refusals::Result<Scheduling> {
    let own = Scheduling {
        class: requests::Class::Caller,
        budget: budget::Budget::new(timeout, contract.attempts),
        context: requests::Context {
            team: CompactString::default(),
            rank: contract.urgency.rank,
            worth: contract.urgency.worth,
            objective: now + contract.objective,
            deadline: now + timeout,
        },
        answer_by: now + timeout + forward::REPORT_GRACE,
        repeat: false,
        parent_route: None,
        parent: None,
    };
    match parent {
        None => Ok(own),
        Some(dialect::Parent::Token(text)) => inherit_by_token(state, now, own, text),
        Some(dialect::Parent::Name(id)) => match state.in_flight.lock().find(id) {
            Some(parent) => Ok(inherit_by_id(now, own, parent)),
            None => Ok(own),
        },
    }
}

/// The scheduling of a call that names its parent by a token. It takes the extra attempts that the
/// parent has left.
fn inherit_by_token(
    state: &state::State,
    now: time::Time,
    own: Scheduling,
    text: &str,
) -> refusals::Result<Scheduling> {
    let key = in_flight::decode(state.epoch, text).ok_or_else(refusals::bad_parent)?;
    let mut requests = state.in_flight.lock();
    // If it is missing, the parent was answered or its caller has left, so nobody waits for this
    // call.
    let parent = requests.get_mut(key).ok_or_else(refusals::bad_parent)?;
    let inherited = inherit(own, parent);
    let budget = parent.budget.take_for_call(inherited.context.deadline.since(now));
    Ok(Scheduling { budget, parent: Some(key), ..inherited })
}

/// The scheduling of a call that names its parent by the parent's ID. Its own route sets the number
/// of attempts.
fn inherit_by_id(now: time::Time, own: Scheduling, parent: &in_flight::Request) -> Scheduling {
    let inherited = inherit(own, parent);
    let left = inherited.context.deadline.since(now);
    let budget = inherited.budget.child_of(&parent.budget, left);
    Scheduling { budget, ..inherited }
}

/// The scheduling of a call, with the context of its parent.
fn inherit(own: Scheduling, parent: &in_flight::Request) -> Scheduling {
    let context = parent.context.of_call(own.context.deadline);
    Scheduling {
        class: requests::Class::Internal,
        answer_by: context.deadline + forward::REPORT_GRACE,
        context,
        repeat: parent.repeat,
        parent_route: Some(parent.route.clone()),
        ..own
    }
}
