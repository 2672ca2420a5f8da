//! Passing a request to the node of another target.

use std::{sync, time as std_time};

use compact_str::format_compact;
use protocol::{forwarding, streams};

use crate::{choosing, headers, reaching, sending, state, working};

/// How long a node waits past the deadline for the word of the target's node on whether the request
/// ran: that node's deadline is later by the way there, and its gate looks at its timers each 50 ms.
const VERDICT_GRACE: std_time::Duration = std_time::Duration::from_millis(150);

/// How long a new link to a node may take. No byte of the request has left this node by then.
const CONNECT_LIMIT: std_time::Duration = std_time::Duration::from_millis(400);
/// Silence after a send from which a node counts as unreachable. A node acknowledges within a round
/// trip and 25 ms, so several lost packets in a row fit in between.
const SILENCE: std_time::Duration = std_time::Duration::from_millis(300);
/// Silence at any later time: an idle link is probed each second.
const LATER_SILENCE: std_time::Duration = std_time::Duration::from_millis(1_400);
/// Bodies of at least this many bytes stay here until a target of another data centre has admitted
/// the request: about four of its heads, and the links between data centres are paid by the byte.
const OFFER_BYTES: usize = 1_024;
/// How much longer is listened after the time is up. A process that was suspended finds its timer
/// expired before it has read what has arrived.
const LAST_LOOK: std_time::Duration = std_time::Duration::from_millis(30);

/// Passes a request on and waits for the head of its answer.
pub(crate) async fn forward(
    state: &sync::Arc<state::State>,
    job: &state::Job,
    target: &choosing::Target,
    sent: choosing::Sent,
) -> sending::Result<sending::Answered, sending::Ended> {
    let limit = state.instant(job.deadline + VERDICT_GRACE);
    let mut handed = false;
    let result = exchange(state, job, target, &mut handed);
    let result = match tokio::time::timeout_at(limit, result).await {
        Ok(it) => it,
        Err(_) if handed => Err(working::Failure::Unknown("the deadline passed".into())),
        Err(_) => Err(working::Failure::NotRun(forwarding::NotRun::Late)),
    };
    let (answer, receiver) = match result {
        Ok(it) => it,
        Err(failure) => {
            // What became of the extra sends that went along is known when nothing was sent.
            let not_run = matches!(failure, working::Failure::NotRun(_));
            let attempts = if not_run { job.head.budget.attempts } else { 0 };
            let standing = forwarding::NodeStatus { attempts, ..forwarding::NodeStatus::default() };
            return Err(sending::Ended { sent, failure, standing });
        }
    };
    let (failure, standing) = match answer {
        forwarding::AnswerHead::Answered { status, fields, standing } => {
            sent.answered(&standing);
            let status = http::StatusCode::from_u16(status);
            return Ok(sending::Answered {
                status: status.unwrap_or(http::StatusCode::BAD_GATEWAY),
                headers: headers::decode(&fields),
                body: sending::Source::There(receiver, limit),
                standing,
            });
        }
        forwarding::AnswerHead::NotRun { reason, standing } => {
            (working::Failure::NotRun(reason), standing)
        }
        forwarding::AnswerHead::Unknown { detail, standing } => {
            (working::Failure::Unknown(detail), standing)
        }
        forwarding::AnswerHead::Admitted => {
            let detail = format_compact!("node {} admitted the request twice", target.host);
            (working::Failure::Unknown(detail), forwarding::NodeStatus::default())
        }
    };
    Err(sending::Ended { sent, failure, standing })
}

type Exchanged = (forwarding::AnswerHead, transport::streams::Receiver);

/// Sends a request to another node and waits for the head of the answer. `handed` is set before
/// the first byte is sent from which the other node may run it.
async fn exchange(
    state: &sync::Arc<state::State>,
    job: &state::Job,
    target: &choosing::Target,
    handed: &mut bool,
) -> Result<Exchanged, working::Failure> {
    // No byte has left this node until a stream is open.
    let unreachable = |err: transport::errors::Error| {
        log::info!(target: "decision", "unreachable request={} host={} error=\"{err}\"", job.head.id, target.host);
        working::Failure::NotRun(forwarding::NotRun::Unreachable)
    };
    let connecting = state.links.link(&target.host, target.addr);
    let connecting = tokio::time::timeout(CONNECT_LIMIT, connecting).await;
    let link = connecting.unwrap_or(Err(transport::errors::Error::TimedOut));
    let link = link.map_err(unreachable)?;
    let (mut sender, mut receiver) = link.open().await.map_err(unreachable)?;
    let (head, body) = (job.head.clone(), job.body.clone());
    let offered = !target.near && (body.len() >= OFFER_BYTES || !head.idempotent);
    if offered {
        sender.send(&streams::Open::Offer { head }).await.map_err(unreachable)?;
        match offer(&link, &mut receiver).await.map_err(unreachable)? {
            forwarding::AnswerHead::Admitted => {}
            refusal => return Ok((refusal, receiver)),
        }
        *handed = true;
        sender.send_bytes(body).await
    } else {
        *handed = true;
        sender.send(&streams::Open::Request { head, body }).await
    }
    .and_then(|()| sender.finish())
    .map_err(|err| lost(target, &err))?;
    let answer = answer(state, job, target, &link, &mut receiver).await?;
    Ok((answer, receiver))
}

/// Waits until the target's node admits or refuses a request. It does not run before that.
async fn offer(
    link: &transport::links::Link,
    receiver: &mut transport::streams::Receiver,
) -> transport::errors::Result<forwarding::AnswerHead> {
    let received = tokio::select! {
        it = receiver.recv::<forwarding::AnswerHead>() => it?,
        () = silence(link, link.traffic().received) => None,
    };
    received.ok_or(transport::errors::Error::TimedOut)
}

/// Waits for the head of the answer from the target's node.
async fn answer(
    state: &sync::Arc<state::State>,
    job: &state::Job,
    target: &choosing::Target,
    link: &transport::links::Link,
    receiver: &mut transport::streams::Receiver,
) -> Result<forwarding::AnswerHead, working::Failure> {
    let mut received = std::pin::pin!(receiver.recv::<forwarding::AnswerHead>());
    let received = tokio::select! {
        it = &mut received => it,
        () = silence(link, link.traffic().received) => {
            if job.head.idempotent {
                return Err(working::Failure::Silent);
            }
            // It cannot be sent again, and the answer may still come.
            let (shared, key) = (sync::Arc::clone(state), target.key);
            state.pool.submit_or_run(move || reaching::lost(&shared, key));
            received.await
        }
    };
    let answer = received.map_err(|err| lost(target, &err))?;
    answer.ok_or_else(|| {
        working::Failure::Unknown(format_compact!("node {} ended the stream", target.host))
    })
}

/// A request that may have run when its stream broke.
fn lost(target: &choosing::Target, err: &transport::errors::Error) -> working::Failure {
    working::Failure::Unknown(format_compact!("node {}: {err}", target.host))
}

/// Completes when nothing is heard on a link for too long after a send.
async fn silence(link: &transport::links::Link, before: u64) {
    let mut heard = before;
    let mut limit = SILENCE;
    loop {
        tokio::time::sleep(limit).await;
        tokio::time::sleep(LAST_LOOK).await;
        let received = link.traffic().received;
        if received == heard {
            log::info!(target: "decision", "silent host={} limit={limit:?}", link.host());
            return;
        }
        heard = received;
        limit = LATER_SILENCE;
    }
}
