//! Forwards a request to the node of another target and waits for the head of its answer.

use std::{sync, time as std_time};

use compact_str::format_compact;
use protocol::{forwarding, streams};
use routing::silence;

use crate::{choosing, headers, reaching, sending, state, working};

/// How long to wait past the deadline for the target's node to report whether the request ran. That
/// node's deadline is later by the time that the request took to get there, and its admission
/// checks its timers every 50 ms.
pub(crate) const REPORT_GRACE: std_time::Duration = std_time::Duration::from_millis(150);

/// Longest time in which a responsive node sends nothing on a link without requests. The link is
/// probed every second.
const QUIET_INTERVAL: std_time::Duration = std_time::Duration::from_millis(1_100);
/// Smallest body of an idempotent request, in bytes, that is sent to another data centre only after
/// the target has admitted the request. Links between data centres are paid by the byte, and this
/// is about four times the size of a request's head.
const MIN_OFFER_BYTES: usize = 1_024;
/// Smallest body of a request, in bytes, that is sent within a data centre only after the target has
/// admitted the request. It takes a host's link longer than the two messages of an offer.
const MIN_NEAR_OFFER_BYTES: usize = 8 * 1_024;
/// Extra time to receive packets after an idle timeout has passed. A process that was suspended
/// sees its timer expire before it has read the packets that arrived meanwhile.
const LATE_TIMER_GRACE: std_time::Duration = std_time::Duration::from_millis(30);

/// Forwards a request to the target's node and waits for the head of its answer, at most until
/// the request's `answer_by`.
pub(crate) async fn forward(
    state: &sync::Arc<state::State>,
    request: &state::RoutedRequest,
    target: &choosing::Target,
    guard: choosing::AttemptGuard,
) -> sending::Result<sending::Answered, sending::FailedAttempt> {
    let limit = state.instant(request.answer_by);
    let mut may_run = false;
    let result = exchange(state, request, target, &mut may_run);
    let result = match tokio::time::timeout_at(limit, result).await {
        Ok(it) => it,
        Err(_) if may_run => Err(working::Failure::Unknown("the deadline passed".into())),
        Err(_) => Err(working::Failure::NotRun(forwarding::NotRun::Late)),
    };
    let (answer, receiver) = match result {
        Ok(it) => it,
        Err(failure) => {
            // Without a report from the target, the extra attempts that were passed on count as
            // used, unless the request certainly did not run.
            let not_run = matches!(failure, working::Failure::NotRun(_));
            let attempts = if not_run { request.head.budget.attempts } else { 0 };
            let node_status =
                forwarding::NodeStatus { attempts, ..forwarding::NodeStatus::default() };
            return Err(sending::FailedAttempt { guard, failure, node_status });
        }
    };
    let (failure, node_status) = match answer {
        forwarding::AnswerHead::Answered { status, fields, standing: node_status } => {
            let status = http::StatusCode::from_u16(status);
            let status = status.unwrap_or(http::StatusCode::BAD_GATEWAY);
            guard.answered(&node_status, status);
            return Ok(sending::Answered {
                status,
                headers: headers::decode(&fields),
                body: sending::Source { ahead: None, rest: sending::Rest::Remote(receiver) },
                node_status,
                deadline: request.deadline(),
                answer_by: request.answer_by,
            });
        }
        forwarding::AnswerHead::NotRun { reason, standing: node_status } => {
            (working::Failure::NotRun(reason), node_status)
        }
        forwarding::AnswerHead::Unknown { detail, standing: node_status } => {
            (working::Failure::Unknown(detail), node_status)
        }
        forwarding::AnswerHead::Admitted => {
            let detail = format_compact!("node {} admitted the request twice", target.host);
            (working::Failure::Unknown(detail), forwarding::NodeStatus::default())
        }
    };
    Err(sending::FailedAttempt { guard, failure, node_status })
}

type AnswerParts = (forwarding::AnswerHead, transport::streams::Receiver);

/// Sends a request to another node and waits for the head of the answer. Sets `may_run` once the
/// transport has taken the whole request: the other node runs no request that lacks a part, and
/// a stream that is dropped before is reset.
async fn exchange(
    state: &sync::Arc<state::State>,
    request: &state::RoutedRequest,
    target: &choosing::Target,
    may_run: &mut bool,
) -> Result<AnswerParts, working::Failure> {
    let started_at = state.now();
    // Used only up to the point where the other node may run the request.
    let unreachable = |err: transport::errors::Error| {
        log::info!(
            target: "decision",
            "unreachable request={} host={} after={:?} error=\"{err}\"",
            request.head.id,
            target.host,
            state.now().since(started_at),
        );
        working::Failure::NotRun(forwarding::NotRun::Unreachable)
    };
    let link = open_link(state, target).await.map_err(unreachable)?;
    let (mut sender, mut receiver) = link.open_stream().await.map_err(unreachable)?;
    let (mut head, body) = (request.head.clone(), request.body.clone());
    // To open the link has taken time.
    let now = state.now();
    head.elapse(now.since(head.sent));
    head.sent = now;
    if is_offered(target, &head, body.len()) {
        sender.send(&streams::Open::Offer { head }).await.map_err(unreachable)?;
        match wait_for_admission(state, target, &link, &mut receiver).await.map_err(unreachable)? {
            forwarding::AnswerHead::Admitted => {}
            refusal => return Ok((refusal, receiver)),
        }
        sender.send_bytes(body).await
    } else {
        sender.send(&streams::Open::Request { head, body }).await
    }
    .map_err(unreachable)?;
    *may_run = true;
    sender.finish().map_err(|err| broken_stream(target, &err))?;
    let answer = wait_for_answer(state, request, target, &link, &mut receiver).await?;
    Ok((answer, receiver))
}

/// Whether the body of a request is sent only after the target has admitted the request.
fn is_offered(target: &choosing::Target, head: &forwarding::RequestHead, bytes: usize) -> bool {
    match target.same_centre {
        true => bytes >= MIN_NEAR_OFFER_BYTES,
        false => bytes >= MIN_OFFER_BYTES || !head.idempotent,
    }
}

/// Returns the link to the target's host. Connects first if none is open.
async fn open_link(
    state: &state::State,
    target: &choosing::Target,
) -> transport::errors::Result<transport::links::Link> {
    if let Some(link) = state.links.established(&target.host, target.addr) {
        return Ok(link);
    }
    let limit = silence::connect_limit(reaching::typical_round_trip(state));
    let connecting = state.links.link(&target.host, target.addr);
    let connected = tokio::time::timeout(limit, connecting).await;
    connected.unwrap_or(Err(transport::errors::Error::TimedOut))
}

/// Waits until the target's node admits or refuses a request. The request does not run before its
/// body follows.
async fn wait_for_admission(
    state: &sync::Arc<state::State>,
    target: &choosing::Target,
    link: &transport::links::Link,
    receiver: &mut transport::streams::Receiver,
) -> transport::errors::Result<forwarding::AnswerHead> {
    let received = tokio::select! {
        it = receiver.recv::<forwarding::AnswerHead>() => it?,
        () = wait_for_silence(state, link, link.traffic().received) => {
            // Without this, the failure would count as a link that could not be opened.
            let (shared, key) = (sync::Arc::clone(state), target.key);
            let report = move || reaching::report_unresponsive(&shared, key);
            if state.pool.run(report).await.is_err() {
                log::warn!("worker queue is full; no neighbour of {} is probed", target.host);
            }
            None
        }
    };
    received.ok_or(transport::errors::Error::TimedOut)
}

/// Waits for the head of the answer from the target's node. When the node stops responding, an
/// idempotent request gives up if it can be sent elsewhere.
async fn wait_for_answer(
    state: &sync::Arc<state::State>,
    request: &state::RoutedRequest,
    target: &choosing::Target,
    link: &transport::links::Link,
    receiver: &mut transport::streams::Receiver,
) -> Result<forwarding::AnswerHead, working::Failure> {
    let mut received = std::pin::pin!(receiver.recv::<forwarding::AnswerHead>());
    let received = tokio::select! {
        it = &mut received => it,
        () = wait_for_silence(state, link, link.traffic().received) => {
            if request.head.idempotent && may_move(state, request) {
                return Err(working::Failure::Silent);
            }
            // The request is not sent again and its answer may still come, so only the probes of
            // the host begin now.
            let (shared, key) = (sync::Arc::clone(state), target.key);
            state.pool.submit_or_run(move || reaching::report_unresponsive(&shared, key));
            received.await
        }
    };
    let answer = received.map_err(|err| broken_stream(target, &err))?;
    answer.ok_or_else(|| {
        working::Failure::Unknown(format_compact!(
            "node {} closed the stream without an answer",
            target.host
        ))
    })
}

/// Whether a request that was sent may be given up to send it to another target. A node that is
/// stopping answers what it has taken, and its callers are on their way to other nodes.
fn may_move(state: &state::State, request: &state::RoutedRequest) -> bool {
    let another_target = request.head.patience_us.is_some();
    another_target && state.backend.lock().stop_by.is_none()
}

/// The failure of a request that may have run when its stream broke.
fn broken_stream(target: &choosing::Target, err: &transport::errors::Error) -> working::Failure {
    working::Failure::Unknown(format_compact!("node {}: {err}", target.host))
}

/// Completes when the node at the other end of a link counts as silent, since the request was sent
/// or later.
async fn wait_for_silence(
    state: &sync::Arc<state::State>,
    link: &transport::links::Link,
    received_before: u64,
) {
    let mut last_received = received_before;
    let mut last_at = state.now();
    let mut quiet = std_time::Duration::ZERO;
    let mut pause = silence::limit(link.round_trip());
    loop {
        tokio::time::sleep(pause + LATE_TIMER_GRACE).await;
        let received = link.traffic().received;
        let now = state.now();
        let signs = silence::Signs {
            elapsed: now.since(last_at),
            quiet,
            round_trip: link.round_trip(),
            typical_round_trip: reaching::typical_round_trip(state),
            received: received != last_received,
        };
        match silence::judge(&signs) {
            silence::Verdict::Responsive => {
                (last_received, last_at, quiet) = (received, now, QUIET_INTERVAL);
                pause = QUIET_INTERVAL + silence::limit(link.round_trip());
            }
            silence::Verdict::Wait(left) => pause = left,
            silence::Verdict::Silent => {
                let silence::Signs { elapsed, round_trip, typical_round_trip, .. } = signs;
                log::info!(
                    target: "decision",
                    "silent host={} after={elapsed:?} quiet={quiet:?} round_trip={round_trip:?} \
                     typical_round_trip={typical_round_trip:?} lost_packets={} own_backlog={:?}",
                    link.host(),
                    link.traffic().lost,
                    state.links.endpoint().backlog(),
                );
                return;
            }
        }
    }
}
