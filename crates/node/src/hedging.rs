//! A second send of a slow request, while the first one is still out.

use std::sync;

use routing::retry;
use world::time;

use crate::{choosing, sending, state};

/// How a round ended: an answer, or the last of its sends.
type Round = sending::Result<sending::Answered, sending::Ended>;

/// Sends to the chosen target and, when its answer takes longer than the route's requests usually
/// do, to a second one. The first answer wins; dropping the other send cancels its work.
pub(crate) async fn round(
    state: &sync::Arc<state::State>,
    course: &mut sending::Course,
    chosen: choosing::Chosen,
) -> Round {
    let begun = state.now();
    let hedge_at = chosen.hedge_at;
    let first = begin(state, course, chosen);
    let result = match hedge_at {
        None => first.await,
        Some(at) => hedged(state, course, first, at).await,
    };
    if result.is_ok() && course.job.route().is_some_and(|it| it.hedge) {
        let (shared, job) = (sync::Arc::clone(state), course.job.clone());
        state.pool.submit_or_run(move || choosing::record_time(&shared, &job, begun));
    }
    result
}

async fn hedged(
    state: &sync::Arc<state::State>,
    course: &mut sending::Course,
    first: impl Future<Output = Round>,
    at: time::Time,
) -> Round {
    let mut first = std::pin::pin!(first);
    tokio::select! {
        result = &mut first => return result,
        () = tokio::time::sleep_until(state.instant(at)) => {}
    }
    let shared = sync::Arc::clone(state);
    let mut copy = course.clone();
    let decided = state.pool.run(move || decide(&shared, &mut copy).map(|it| (copy, it)));
    let decided = tokio::select! {
        result = &mut first => return result,
        it = decided => it,
    };
    let Ok(Some((back, chosen))) = decided else { return first.await };
    *course = back;
    let mut second = std::pin::pin!(begin(state, course, chosen));
    let (ended, other) = tokio::select! {
        result = &mut first => (result, None),
        result = &mut second => (result, Some(())),
    };
    let ended = match ended {
        Ok(answered) => return Ok(answered),
        Err(ended) => ended,
    };
    note(state, course, ended).await;
    match other {
        None => second.await,
        Some(()) => first.await,
    }
}

fn begin(
    state: &sync::Arc<state::State>,
    course: &mut sending::Course,
    chosen: choosing::Chosen,
) -> impl Future<Output = Round> + Send + use<> {
    let state = sync::Arc::clone(state);
    let job = course.pass_on(&state, chosen.patience);
    state.instruments.count_attempt();
    async move { sending::attempt(&state, job, chosen).await }
}

/// Chooses the second target and counts the send, if the budget and the node's share allow it.
fn decide(
    state: &sync::Arc<state::State>,
    course: &mut sending::Course,
) -> Option<choosing::Chosen> {
    // Without a target, no extra send is counted. A choice that is not used counts as cancelled.
    let chosen = choosing::choose(state, &course.job, &course.tried).ok()?;
    let now = state.now();
    let mechanisms = routing::mechanisms::Mechanisms::default();
    let budget = &mut course.job.head.budget;
    let refused = {
        let mut routing = state.routing.lock();
        retry::try_extra_send(now, budget, routing.share(&course.job.head.service), &mechanisms)
    };
    log::info!(
        target: "decision",
        "hedge request={} host={} result=\"{}\"",
        course.job.head.id,
        chosen.target.host,
        refused.map_or("sent", |why| match why {
            retry::GiveUpReason::Attempts => "no attempts left",
            retry::GiveUpReason::Share => "the node's share is used up",
            retry::GiveUpReason::Deadline | retry::GiveUpReason::MayHaveRun => "not allowed",
        }),
    );
    if refused.is_some() {
        return None;
    }
    course.tried.push(chosen.target.key);
    Some(chosen)
}

/// Notes the failure of one send while the other is still out.
async fn note(
    state: &sync::Arc<state::State>,
    course: &mut sending::Course,
    ended: sending::Ended,
) {
    let shared = sync::Arc::clone(state);
    let mut copy = course.clone();
    let noted = state.pool.run(move || {
        copy.note(&shared, ended);
        copy
    });
    if let Ok(back) = noted.await {
        *course = back;
    }
}
