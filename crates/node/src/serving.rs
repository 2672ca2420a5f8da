//! Serves the streams that other nodes open to this one: forwarded requests, probes and questions
//! for a version of the configuration.

use std::{sync, time as std_time};

use admission::{uplink, work};
use bytes::Bytes;
use protocol::{forwarding, streams};
use transport::errors;

use crate::{arrivals, bodies, headers, parts, peer_versions, state, working};

/// How long the head of an answer waits for its body, so that both are sent together.
const MAX_AHEAD_WAIT: std_time::Duration = std_time::Duration::from_millis(20);
/// The same for a large answer over a network link of known rate, on which it takes longer in any
/// case. Read to its end, it keeps one place on the link; read in parts, it waits for each.
const MAX_LARGE_AHEAD_WAIT: std_time::Duration = std_time::Duration::from_millis(100);

/// Serves one stream of another node. An error means that the stream broke.
pub(crate) async fn serve(
    state: &sync::Arc<state::State>,
    link: &transport::links::Link,
    open: streams::Open,
    mut sender: transport::streams::Sender,
    receiver: transport::streams::Receiver,
) -> errors::Result<()> {
    match open {
        streams::Open::Request { head, body } => {
            // The sender cancels a request by no longer reading its answer.
            let cancelled = sender.cancelled();
            let request = local_request(state, link, head, body);
            tokio::select! {
                it = run_request(state, request, None, sender) => it,
                () = cancelled => Ok(()),
            }
        }
        streams::Open::Offer { head } => {
            let cancelled = sender.cancelled();
            let request = local_request(state, link, head, Bytes::new());
            tokio::select! {
                it = serve_offer(state, request, sender, receiver) => it,
                () = cancelled => Ok(()),
            }
        }
        streams::Open::Probe => {
            sender.send(&streams::ProbeReply).await?;
            sender.finish()
        }
        streams::Open::PeerVersion(of) => {
            let shared = sync::Arc::clone(state);
            let job = move || peer_versions::serve_peer(&shared, of);
            let answer = state.pool.run(job).await.unwrap_or(streams::PeerVersion::Absent);
            sender.send(&answer).await?;
            sender.finish()
        }
        streams::Open::Attach | streams::Open::Peer | streams::Open::Propose(_) => {
            log::warn!("rejected a stream of a kind that only controls serve; check its sender");
            sender.reset();
            Ok(())
        }
    }
}

/// A request of another node. What it has waited on the way is taken off the time that it has left.
fn local_request(
    state: &state::State,
    link: &transport::links::Link,
    mut head: forwarding::RequestHead,
    body: Bytes,
) -> working::LocalRequest {
    let now = state.now();
    let waited = link.waited(head.sent, now);
    head.receive(now, waited);
    let answer_by = head.context.deadline + working::ANSWER_GRACE;
    working::LocalRequest { head, body, answer_by }
}

/// Admits a request before its body is sent, then receives the body and runs the request.
async fn serve_offer(
    state: &sync::Arc<state::State>,
    mut request: working::LocalRequest,
    mut sender: transport::streams::Sender,
    mut receiver: transport::streams::Receiver,
) -> errors::Result<()> {
    let idempotent = request.head.idempotent;
    let mut admission = working::request_admission(state, &request).await;
    let arrival = match &admission {
        working::Admission::Refuse(_) => None,
        _ => arrivals::Arrival::expect(state, &request),
    };
    if !idempotent {
        // The body is asked for only once a slot is free: until then the sender may still choose
        // another target.
        admission = working::wait_for_slot(state, &request.head, admission).await;
    }
    match arrival {
        _ if matches!(admission, working::Admission::Refuse(_)) => {}
        Some(arrival) => {
            sender.send(&forwarding::AnswerHead::Admitted).await?;
            let until = state.instant(request.head.context.deadline);
            match tokio::time::timeout_at(until, arrival.receive(&mut receiver)).await {
                Ok(body) => request.body = body?,
                // Gives the slot back.
                Err(_) => admission = working::Admission::Refuse(forwarding::NotRun::Late),
            }
        }
        // No memory is left for the body.
        None => admission = working::Admission::Refuse(forwarding::NotRun::Full),
    }
    run_request(state, request, Some(admission), sender).await
}

async fn run_request(
    state: &sync::Arc<state::State>,
    request: working::LocalRequest,
    admission: Option<working::Admission>,
    mut sender: transport::streams::Sender,
) -> errors::Result<()> {
    let at = state.instant(request.head.context.deadline + working::ANSWER_GRACE);
    let (id, rank) = (request.head.id.clone(), request.head.context.rank);
    match working::run(state, request, admission).await {
        Ok(mut answered) => {
            answered.node_status = add_backlog(state, answered.node_status);
            stream_answer(state, &id, answered, at, sender).await
        }
        Err(working::Error { failure, node_status }) => {
            let node_status = add_backlog(state, node_status);
            let answer = match failure {
                working::Failure::NotRun(reason) => {
                    state.instruments.count_refusal(reason, rank);
                    forwarding::AnswerHead::NotRun { reason, standing: node_status }
                }
                working::Failure::Silent => {
                    let detail = "the target's node stopped responding".into();
                    forwarding::AnswerHead::Unknown { detail, standing: node_status }
                }
                working::Failure::Unknown(detail) => {
                    forwarding::AnswerHead::Unknown { detail, standing: node_status }
                }
            };
            sender.send(&answer).await?;
            sender.finish()
        }
    }
}

/// The status for other nodes, whose bodies and answers wait for this host's network link.
fn add_backlog(
    state: &state::State,
    node_status: forwarding::NodeStatus,
) -> forwarding::NodeStatus {
    let arriving = state.downlink.lock().backlog();
    let answers = state.uplink.lock().expected_wait();
    let wait = state.links.endpoint().small_backlog().max(arriving).max(answers);
    let load = node_status.load.with_link_wait(wait);
    forwarding::NodeStatus { load, ..node_status }
}

/// The first bytes of an answer's body.
struct Ahead {
    bytes: Bytes,
    /// How the body ended, if it did.
    end: Option<bodies::Result<()>>,
}

/// Reads a small body to its end, if that comes soon.
async fn read_ahead(
    state: &state::State,
    headers: &http::HeaderMap,
    limit: &bodies::Limit,
    body: &mut web::body::Body,
) -> Ahead {
    let mut kept = Vec::new();
    let length = bodies::content_length(headers);
    let is_limited = state.links.endpoint().paced_rate().is_some();
    let reservation = match length {
        Some(it) if is_limited => state.buffers.reserve_held(it),
        Some(_) => state.buffers.reserve(length),
        // It may be a body that goes on, such as a stream of events.
        None => None,
    };
    let Some(reservation) = reservation else {
        return Ahead { bytes: Bytes::new(), end: None };
    };
    let reading = async {
        loop {
            match limit.read(body.chunk()).await {
                Ok(Some(bytes)) => kept.extend_from_slice(&bytes),
                Ok(None) => return Ok(()),
                Err(err) => return Err(err),
            }
        }
    };
    let is_large = length.is_some_and(|it| it > uplink::SMALL_BYTES);
    let wait = if is_limited && is_large { MAX_LARGE_AHEAD_WAIT } else { MAX_AHEAD_WAIT };
    let end = tokio::time::timeout(wait, reading).await.ok();
    Ahead { bytes: reservation.hold(kept.into()), end }
}

/// Sends an answer to the node that forwarded the request. It should be complete at `at`. If the
/// body ends early, the stream is reset, so that a partial answer is never taken for a complete
/// one.
async fn stream_answer(
    state: &state::State,
    id: &str,
    answered: working::Answered,
    at: tokio::time::Instant,
    sender: transport::streams::Sender,
) -> errors::Result<()> {
    let working::Answered { status, headers, mut body, mut execution, node_status } = answered;
    let length = bodies::content_length(&headers);
    let mut promise = execution.take_promise();
    if let Some(promise) = &mut promise {
        promise.begin(status, length);
    }
    let mut parts = parts::Parts::new(sender, promise, length);
    let head = forwarding::AnswerHead::Answered {
        status: status.as_u16(),
        fields: headers::encode(&headers),
        standing: node_status,
    };
    let limit = bodies::Limit::begun(at, length);
    let ahead = read_ahead(state, &headers, &limit, &mut body).await;
    if let Some(Ok(())) = ahead.end {
        // Frees the slot: the backend server has done its work, and the answer may wait for the
        // link for longer than that took.
        execution.finish(work::Outcome::Answered);
        parts.send_head(&head, &ahead.bytes).await?;
        return parts.finish();
    }
    parts.send_head(&head, &ahead.bytes).await?;
    let mut end = ahead.end;
    loop {
        // A body that broke off may report its end afterwards.
        let next = match end.take() {
            Some(Err(err)) => Err(err),
            _ => limit.read(body.chunk()).await,
        };
        match next {
            Ok(Some(bytes)) => parts.send(bytes).await?,
            Ok(None) => {
                execution.finish(work::Outcome::Answered);
                return parts.finish();
            }
            Err(err) => {
                log::info!(
                    target: "decision",
                    "answer_incomplete request={id} error=\"{err}\" backlog={:?} next=\"resetting the \
                     forwarding stream\"",
                    state.links.endpoint().backlog(),
                );
                parts.reset();
                execution.abort(matches!(err, bodies::Error::DeadlinePassed)).await;
                return Ok(());
            }
        }
    }
}
