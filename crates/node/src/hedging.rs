//! A second send of a slow request, while the first one is still out.

use std::sync;

use routing::retry;
use world::time;

use crate::{choosing, sending, state};

/// How a round ended: an answer, or the last of its sends.
type Round = sending::Result<sending::Answered, sending::FailedAttempt>;

/// Sends to the chosen target and, when its answer takes longer than the route's requests usually
/// do, to a second one. The first answer wins; dropping the other send cancels its work.
pub(crate) async fn round(
    state: &sync::Arc<state::State>,
    retries: &mut sending::RetryState,
    chosen: choosing::Chosen,
) -> Round {
    let begun = state.now();
    let hedge_at = chosen.hedge_at;
    let first = begin(state, retries, chosen);
    let result = match hedge_at {
        None => first.await,
        Some(at) => hedged(state, retries, first, at).await,
    };
    if result.is_ok() && retries.request.route().is_some_and(|it| it.hedge) {
        let (shared, request) = (sync::Arc::clone(state), retries.request.clone());
        state.pool.submit_or_run(move || choosing::record_latency(&shared, &request, begun));
    }
    result
}

async fn hedged(
    state: &sync::Arc<state::State>,
    retries: &mut sending::RetryState,
    first: impl Future<Output = Round>,
    at: time::Time,
) -> Round {
    let mut first = std::pin::pin!(first);
    tokio::select! {
        result = &mut first => return result,
        () = tokio::time::sleep_until(state.instant(at)) => {}
    }
    let shared = sync::Arc::clone(state);
    let mut copy = retries.clone();
    let decided = state.pool.run(move || decide(&shared, &mut copy).map(|it| (copy, it)));
    let decided = tokio::select! {
        result = &mut first => return result,
        it = decided => it,
    };
    let Ok(Some((back, chosen))) = decided else { return first.await };
    *retries = back;
    let mut second = std::pin::pin!(begin(state, retries, chosen));
    let (ended, other) = tokio::select! {
        result = &mut first => (result, None),
        result = &mut second => (result, Some(())),
    };
    let ended = match ended {
        Ok(answered) => return Ok(answered),
        Err(ended) => ended,
    };
    note(state, retries, ended).await;
    match other {
        None => second.await,
        Some(()) => first.await,
    }
}

fn begin(
    state: &sync::Arc<state::State>,
    retries: &mut sending::RetryState,
    chosen: choosing::Chosen,
) -> impl Future<Output = Round> + Send + use<> {
    let state = sync::Arc::clone(state);
    let request = retries.prepare_attempt(&state, chosen.patience);
    state.instruments.count_attempt();
    async move { sending::attempt(&state, request, chosen).await }
}

/// Chooses the second target and counts the send, if the budget and the node's share allow it.
fn decide(
    state: &sync::Arc<state::State>,
    retries: &mut sending::RetryState,
) -> Option<choosing::Chosen> {
    // Without a target, no extra send is counted. A choice that is not used counts as cancelled.
    let chosen = choosing::choose(state, &retries.request, &retries.tried).ok()?;
    let now = state.now();
    let mechanisms = routing::mechanisms::Mechanisms::default();
    let budget = &mut retries.request.head.budget;
    let refused = {
        let mut routing = state.routing.lock();
        retry::extra_send(now, budget, routing.share(&retries.request.head.service), &mechanisms)
    };
    log::info!(
        target: "decision",
        "hedge request={} host={} result=\"{}\"",
        retries.request.head.id,
        chosen.target.host,
        refused.map_or("sent", |why| match why {
            retry::Why::Attempts => "no attempts left",
            retry::Why::Share => "the node's share is used up",
            retry::Why::Deadline | retry::Why::MayHaveRun => "not allowed",
        }),
    );
    if refused.is_some() {
        return None;
    }
    retries.tried.push(chosen.target.key);
    Some(chosen)
}

/// Notes the failure of one send while the other is still out.
async fn note(
    state: &sync::Arc<state::State>,
    retries: &mut sending::RetryState,
    ended: sending::FailedAttempt,
) {
    let shared = sync::Arc::clone(state);
    let mut copy = retries.clone();
    let noted = state.pool.run(move || {
        copy.record_failure(&shared, ended);
        copy
    });
    if let Ok(back) = noted.await {
        *retries = back;
    }
}
