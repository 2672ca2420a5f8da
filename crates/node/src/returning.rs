//! Asks refused callers to return at the time that the ledger of their service promises.

use std::time;

use protocol::forwarding;
use routing::returns;
use world::requests;

use crate::state;

/// Longest time after which a backend server is asked to repeat a call. The request that it makes
/// the call for holds a slot meanwhile.
const MAX_CALL_PAUSE: time::Duration = time::Duration::from_millis(200);

/// Returns the time after which the sender of a refused request is asked to return. `run` is the
/// mean time that a caller's request runs, zero if unknown, and `wait` the shortest wait for a slot
/// that a target has reported. To be called on a worker.
pub(crate) fn promise(
    state: &state::State,
    head: &forwarding::RequestHead,
    run: time::Duration,
    wait: time::Duration,
) -> time::Duration {
    if head.class == requests::Class::Internal {
        return wait.clamp(returns::MIN_PAUSE, MAX_CALL_PAUSE);
    }
    let now = state.now();
    let left = head.context.deadline.since(now);
    let objective = head.context.objective.since(now);
    let refused = returns::Refused { rank: head.context.rank, left, objective, run, wait };
    let promise = {
        let mut routing = state.routing.lock();
        let routing = &mut *routing;
        let ledger = routing.returns.entry(head.service.clone()).or_default();
        ledger.promise(now, &refused, &mut routing.rng)
    };
    state.instruments.count_promise(promise.pause);
    log::info!(
        target: "decision",
        "return_promised request={} service={} rank={} pause={:?} ahead={} left={left:?} \
         reason=\"{}\"",
        head.id,
        head.service,
        refused.rank,
        promise.pause,
        promise.ahead,
        promise.why,
    );
    promise.pause
}
