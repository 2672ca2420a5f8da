//! Hedged requests: a second attempt at another target while the first one is slow.

use std::sync;

use routing::retry;
use world::time;

use crate::{choosing, sending, state};

/// An answer, or the attempt that failed last.
type AttemptResult = sending::Result<sending::Answered, sending::FailedAttempt>;

/// Sends a request to the chosen target and, once it has taken longer than most requests of its
/// route, to a second one. The first answer wins; dropping the other attempt cancels its work.
pub(crate) async fn send_hedged(
    state: &sync::Arc<state::State>,
    retries: &mut sending::RetryState,
    chosen: choosing::Chosen,
) -> AttemptResult {
    let started_at = state.now();
    let hedge_at = chosen.hedge_at;
    let first = start_attempt(state, retries, chosen);
    let result = match hedge_at {
        None => first.await,
        Some(hedge_at) => race(state, retries, first, hedge_at).await,
    };
    if result.is_ok() && retries.request.route().is_some_and(|it| it.hedge) {
        let (shared, request) = (sync::Arc::clone(state), retries.request.clone());
        state.pool.submit_or_run(move || choosing::record_latency(&shared, &request, started_at));
    }
    result
}

async fn race(
    state: &sync::Arc<state::State>,
    retries: &mut sending::RetryState,
    first: impl Future<Output = AttemptResult>,
    hedge_at: time::Time,
) -> AttemptResult {
    let mut first = std::pin::pin!(first);
    tokio::select! {
        result = &mut first => return result,
        () = tokio::time::sleep_until(state.instant(hedge_at)) => {}
    }
    let shared = sync::Arc::clone(state);
    let mut copy = retries.clone();
    let hedge = state.pool.run(move || choose_hedge(&shared, &mut copy).map(|it| (copy, it)));
    let hedge = tokio::select! {
        result = &mut first => return result,
        it = hedge => it,
    };
    let Ok(Some((updated, chosen))) = hedge else { return first.await };
    *retries = updated;
    let mut second = std::pin::pin!(start_attempt(state, retries, chosen));
    let (result, other) = tokio::select! {
        result = &mut first => (result, None),
        result = &mut second => (result, Some(())),
    };
    let failed = match result {
        Ok(answered) => return Ok(answered),
        Err(failed) => failed,
    };
    record_failure(state, retries, failed).await;
    match other {
        None => second.await,
        Some(()) => first.await,
    }
}

fn start_attempt(
    state: &sync::Arc<state::State>,
    retries: &mut sending::RetryState,
    chosen: choosing::Chosen,
) -> impl Future<Output = AttemptResult> + Send + use<> {
    let state = sync::Arc::clone(state);
    let request = retries.prepare_attempt(&state, chosen.max_wait);
    state.instruments.count_attempt(chosen.target.same_centre);
    async move { sending::attempt(&state, request, chosen).await }
}

/// Chooses the target of a hedge and takes the attempt from the request's budget and the service's
/// retry share. Returns none when there is no other target or either is used up.
fn choose_hedge(
    state: &sync::Arc<state::State>,
    retries: &mut sending::RetryState,
) -> Option<choosing::Chosen> {
    // The target is chosen first, so that no extra attempt is taken when there is none. A target
    // that is not used afterwards is recorded as a cancelled attempt.
    let chosen = choosing::choose(state, &retries.request, &retries.tried, true).ok()?;
    let now = state.now();
    let toggles = routing::toggles::Toggles::default();
    let head = &mut retries.request.head;
    let refused = {
        let mut routing = state.routing.lock();
        retry::try_extra_send(
            now,
            &mut head.budget,
            &mut routing.retry_limiter(&head.service).team(&head.context.team),
            &toggles,
        )
    };
    log::info!(
        target: "decision",
        "hedge request={} host={} result=\"{}\"",
        retries.request.head.id,
        chosen.target.host,
        refused.map_or("sent", |why| match why {
            retry::GiveUpReason::Attempts => "no attempts left",
            retry::GiveUpReason::Share => "the service's retry share is used up",
            retry::GiveUpReason::Deadline | retry::GiveUpReason::MayHaveRun => "not allowed",
        }),
    );
    if refused.is_some() {
        return None;
    }
    retries.tried.push(chosen.target.key);
    Some(chosen)
}

/// Records the failure of one attempt while the other one is still running.
async fn record_failure(
    state: &sync::Arc<state::State>,
    retries: &mut sending::RetryState,
    failed: sending::FailedAttempt,
) {
    let shared = sync::Arc::clone(state);
    let mut copy = retries.clone();
    let recorded = state.pool.run(move || {
        copy.record_failure(&shared, failed);
        copy
    });
    if let Ok(updated) = recorded.await {
        *retries = updated;
    }
}
