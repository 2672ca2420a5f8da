//! Requests that other nodes pass to this one.

use std::{sync, time as std_time};

use admission::work;
use protocol::{forwarding, streams};
use transport::errors;

use crate::{attaching, headers, state, working};

/// Serves one stream of another node.
pub(crate) async fn serve(
    state: &sync::Arc<state::State>,
    open: streams::Open,
    mut sender: transport::streams::Sender,
    receiver: transport::streams::Receiver,
) -> errors::Result<()> {
    match open {
        streams::Open::Request { head, body } => {
            // The sender gives up by no longer reading; that cancels the work.
            let cancelled = sender.cancelled();
            let order = order(state, head, body);
            tokio::select! {
                it = request(state, order, None, sender) => it,
                () = cancelled => Ok(()),
            }
        }
        streams::Open::Offer { head } => {
            let cancelled = sender.cancelled();
            tokio::select! {
                it = offered(state, head, sender, receiver) => it,
                () = cancelled => Ok(()),
            }
        }
        streams::Open::Probe => {
            sender.send(&streams::ProbeReply).await?;
            sender.finish()
        }
        streams::Open::PeerVersion(of) => {
            let shared = sync::Arc::clone(state);
            let job = move || attaching::serve_peer(&shared, of);
            let answer = state.pool.run(job).await.unwrap_or(streams::PeerVersion::Absent);
            sender.send(&answer).await?;
            sender.finish()
        }
        streams::Open::Attach | streams::Open::Peer | streams::Open::Propose(_) => {
            log::warn!("a stream for a control was opened to this node");
            sender.reset();
            Ok(())
        }
    }
}

fn order(
    state: &state::State,
    head: forwarding::RequestHead,
    body: bytes::Bytes,
) -> working::Order {
    let left = std_time::Duration::from_millis(head.budget.remaining_ms.into());
    let deadline = state.now() + left;
    working::Order { head, body, deadline }
}

/// Admits a request before its body is sent, and runs it when the body is there as a whole.
async fn offered(
    state: &sync::Arc<state::State>,
    head: forwarding::RequestHead,
    mut sender: transport::streams::Sender,
    mut receiver: transport::streams::Receiver,
) -> errors::Result<()> {
    let idempotent = head.idempotent;
    let mut order = order(state, head, bytes::Bytes::new());
    let mut admission = working::ask(state, &order).await;
    if !idempotent {
        // Until it holds a slot, its sender may still send it to another target.
        admission = working::hold(admission).await;
    }
    if !matches!(admission, working::Admission::Refuse(_)) {
        sender.send(&forwarding::AnswerHead::Admitted).await?;
        let until = state.instant(order.deadline);
        let whole = whole(&mut receiver);
        order.body = match tokio::time::timeout_at(until, whole).await {
            Ok(body) => body?,
            Err(_) => return Err(errors::Error::TimedOut),
        };
    }
    request(state, order, Some(admission), sender).await
}

async fn whole(receiver: &mut transport::streams::Receiver) -> errors::Result<bytes::Bytes> {
    let mut body = bytes::BytesMut::new();
    while let Some(bytes) = receiver.recv_bytes().await? {
        body.extend_from_slice(&bytes);
        if body.len() > transport::codec::MAX_LENGTH {
            return Err(errors::Error::Memory);
        }
    }
    Ok(body.freeze())
}

async fn request(
    state: &sync::Arc<state::State>,
    order: working::Order,
    admission: Option<working::Admission>,
    mut sender: transport::streams::Sender,
) -> errors::Result<()> {
    match working::run(state, order, admission).await {
        Ok(answered) => pass_on(answered, sender).await,
        Err(working::Failed { failure, standing }) => {
            let answer = match failure {
                working::Failure::NotRun(reason) => {
                    state.instruments.count_refusal(reason);
                    forwarding::AnswerHead::NotRun { reason, standing }
                }
                working::Failure::Silent => {
                    let detail = "nothing was heard".into();
                    forwarding::AnswerHead::Unknown { detail, standing }
                }
                working::Failure::Unknown(detail) => {
                    forwarding::AnswerHead::Unknown { detail, standing }
                }
            };
            sender.send(&answer).await?;
            sender.finish()
        }
    }
}

/// Passes an answer on. A body that ends early resets the stream, so that it never looks whole.
async fn pass_on(
    answered: working::Answered,
    mut sender: transport::streams::Sender,
) -> errors::Result<()> {
    let working::Answered { status, headers, mut body, running, standing } = answered;
    let head = forwarding::AnswerHead::Answered {
        status: status.as_u16(),
        fields: headers::encode(&headers),
        standing,
    };
    sender.send(&head).await?;
    loop {
        match body.chunk().await {
            Ok(Some(bytes)) => sender.send_bytes(bytes).await?,
            Ok(None) => {
                running.finish(work::Outcome::Answered);
                return sender.finish();
            }
            Err(err) => {
                log::info!("the answer of the backend server ended early: {err}");
                running.break_off(false);
                sender.reset();
                return Ok(());
            }
        }
    }
}
