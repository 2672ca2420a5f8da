//! Follows the rollouts: splits the requests of a service between two software versions, counts the
//! answers of both, and reports them to the control.

use std::{collections, sync, time as std_time};

use compact_str::CompactString;
use protocol::{rollouts as messages, streams};
use rand::Rng as _;
use routing::{balancer, rollouts, tallies};
use world::{rollouts as orders, targets, time};

use crate::state;

/// What the node knows of the rollouts.
#[derive(Debug, Default)]
pub(crate) struct Followers {
    orders: rollouts::Rollouts,
    /// What was seen of the orders in progress.
    seen: collections::BTreeMap<orders::OrderId, Seen>,
}

/// What the node has seen of an order in progress.
#[derive(Debug, Default)]
struct Seen {
    tally: tallies::Tally,
    /// Attempts in flight to old targets.
    busy: u32,
    /// Those that are not idempotent.
    unsafe_busy: u32,
}

/// An attempt that is counted for an order in progress, until it ends.
#[derive(Clone, Debug)]
pub(crate) struct Counted {
    order: orders::OrderId,
    route: CompactString,
    candidate: bool,
    idempotent: bool,
    /// Whether the target's cold start is over, so that its times count.
    warm: bool,
}

/// How a counted attempt ended.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Ending {
    /// With an answer after this time at the backend server, or with none at the deadline.
    Answered {
        /// The time.
        elapsed: std_time::Duration,
        /// Whether the target ran at least half as many requests as it has slots.
        loaded: bool,
    },
    /// With a server error, or without a whole answer.
    Bad {
        /// As for an answer.
        loaded: bool,
    },
    /// In a way that says nothing of the version.
    Other,
}

/// A target of a service with its software version.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Versioned<'a> {
    pub(crate) candidate: balancer::Candidate,
    pub(crate) host: &'a str,
    pub(crate) version: &'a str,
}

impl Followers {
    /// Whether an order for a service is known.
    pub(crate) fn follows(&mut self, service: &str) -> bool {
        self.orders.get_mut(service).is_some()
    }

    /// Begins to count an attempt at a target, if an order for its service is in progress.
    pub(crate) fn begin(
        &mut self,
        target: &membership::messages::Entry,
        route: &CompactString,
        idempotent: bool,
    ) -> Option<Counted> {
        let order = self.orders.get(&target.service)?.order();
        order.state.stage()?;
        let candidate = order.side(&target.version) == orders::Side::Candidate;
        let warm = target.state == targets::State::Serving;
        let counted =
            Counted { order: order.id, route: route.clone(), candidate, idempotent, warm };
        if !candidate {
            let seen = self.seen.entry(order.id).or_default();
            seen.busy += 1;
            seen.unsafe_busy += u32::from(!idempotent);
        }
        Some(counted)
    }

    /// Ends a counted attempt.
    pub(crate) fn end(&mut self, counted: Counted, ending: Ending) {
        let Counted { order, route, candidate, idempotent, warm } = counted;
        // The order may have ended meanwhile.
        let Some(seen) = self.seen.get_mut(&order) else { return };
        if !candidate {
            seen.busy = seen.busy.saturating_sub(1);
            seen.unsafe_busy = seen.unsafe_busy.saturating_sub(u32::from(!idempotent));
        }
        let name = |loaded| tallies::CellName { route, loaded, candidate };
        match ending {
            Ending::Answered { elapsed, loaded } if warm => {
                seen.tally.record(name(loaded), tallies::Answer::Timed(elapsed));
            }
            Ending::Answered { loaded, .. } => {
                seen.tally.record(name(loaded), tallies::Answer::Untimed);
            }
            Ending::Bad { loaded } => seen.tally.record(name(loaded), tallies::Answer::Bad),
            Ending::Other => {}
        }
    }

    /// Whether the node of a target refuses new work, since its service has moved to another
    /// version.
    pub(crate) fn retires(&self, service: &str, version: &str) -> bool {
        self.orders.get(service).is_some_and(|it| it.order().retires(version))
    }
}

impl Counted {
    /// Whether the target has the new version.
    pub(crate) fn is_candidate(&self) -> bool {
        self.candidate
    }
}

/// Takes the rollouts that a control knows.
pub(crate) fn follow(state: &state::State, list: &messages::List) {
    let mut routing = state.routing.lock();
    let routing = &mut *routing;
    let seed = routing.rng.random::<f32>();
    let before: Vec<_> = routing.rollouts.orders.running().cloned().collect();
    let followers = &mut routing.rollouts;
    followers.orders.follow(&list.orders, list.current, seed);
    for id in &list.held {
        followers.orders.hold(*id);
    }
    let running: Vec<_> = followers.orders.running().cloned().collect();
    followers.seen.retain(|id, _| running.iter().any(|it| it.id == *id));
    for order in &running {
        followers.seen.entry(order.id).or_default();
    }
    if before != running {
        let stages: Vec<_> = running.iter().map(|it| (&it.service, &it.target, it.state)).collect();
        log::info!(target: "decision", "rollouts in progress: {stages:?}, held: {:?}", list.held);
    }
}

/// Selects a target for a send. During a rollout, the software version is chosen first. `first`
/// says that the request was sent to no target before.
pub(crate) fn choose(
    now: time::Time,
    routing: &mut state::Routing,
    service: &str,
    targets: &[Versioned<'_>],
    criteria: balancer::Request<'_>,
    first: bool,
) -> balancer::Result<balancer::Choice> {
    let state::Routing { balancer, rng, rollouts: followers, .. } = routing;
    let Some(followed) = followers.orders.get_mut(service) else {
        return balancer.choose(now, &criteria, rng);
    };
    let split: Vec<_> = targets
        .iter()
        .map(|it| rollouts::Target {
            host: it.host,
            version: it.version,
            ready: it.candidate.state.takes_work(),
            warm: it.candidate.state == targets::State::Serving,
        })
        .collect();
    let pick = followed.pick(first);
    let mut choose = |usable: Vec<bool>| {
        let candidates: Vec<_> =
            targets.iter().zip(usable).filter(|it| it.1).map(|it| it.0.candidate).collect();
        let criteria = balancer::Request { candidates: &candidates, ..criteria };
        balancer.choose(now, &criteria, rng)
    };
    let mut result = choose(followed.usable(pick, &split));
    if result.is_err() && pick == rollouts::Pick::Candidate {
        // The targets that were to share the requests may be out of reach.
        result = choose(followed.candidates(&split));
    }
    if result.is_ok() {
        return result;
    }
    if pick == rollouts::Pick::Candidate {
        followed.refund();
    }
    match followed.other(pick) {
        Some(other) => choose(followed.usable(other, &split)),
        None => result,
    }
}

/// Reports what was seen of the rollouts in progress, and stops sending to a new version that this
/// node sees to be bad. Does nothing without a rollout. To be called every 250 ms.
pub(crate) fn report(state: &sync::Arc<state::State>) {
    let running: Vec<_> = {
        let routing = state.routing.lock();
        routing.rollouts.orders.running().cloned().collect()
    };
    if running.is_empty() {
        return;
    }
    let reports = running.iter().filter_map(|it| make_report(state, it)).collect();
    state.send_control(streams::NodeMessage::Rollouts(reports));
}

fn make_report(state: &state::State, order: &orders::Order) -> Option<messages::Report> {
    let (own_busy, own_unsafe) = own_load(state, order);
    let mut routing = state.routing.lock();
    let followers = &mut routing.rollouts;
    let seen = followers.seen.get(&order.id)?;
    let stage = order.state.stage()?;
    let report = messages::Report {
        order: order.id,
        stage,
        tally: seen.tally.clone(),
        busy: seen.busy + own_busy,
        unsafe_busy: seen.unsafe_busy + own_unsafe,
    };
    let held = followers.orders.get(&order.service).is_some_and(rollouts::Followed::is_held);
    if !held
        && !stage.is_proven()
        && let Some(fault) = report.tally.fault()
    {
        log::warn!(
            target: "decision",
            "this node sends nothing more to version {} of {}: {fault}",
            order.target,
            order.service,
        );
        followers.orders.hold(order.id);
    }
    Some(report)
}

/// The requests on this host's backend server, all and those that are not idempotent, if it has the
/// old version.
fn own_load(state: &state::State, order: &orders::Order) -> (u32, u32) {
    let old = {
        let backend = state.backend.lock();
        let entry = backend.local.entry().filter(|it| it.state != targets::State::Gone);
        entry.is_some_and(|it| {
            it.service == order.service && order.side(&it.version) == orders::Side::Serving
        })
    };
    if !old {
        return (0, 0);
    }
    let load = state.admission.lock().load(state.now());
    let not_idempotent = state.in_flight.lock().not_idempotent();
    let not_idempotent = u32::try_from(not_idempotent).unwrap_or(u32::MAX);
    (load.in_flight + load.queued, not_idempotent)
}
