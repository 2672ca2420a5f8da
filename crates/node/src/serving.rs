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
) -> errors::Result<()> {
    match open {
        streams::Open::Request { head, body } => {
            // The sender gives up by no longer reading; that cancels the work.
            let cancelled = sender.cancelled();
            tokio::select! {
                it = request(state, head, body, sender) => it,
                () = cancelled => Ok(()),
            }
        }
        streams::Open::Probe => {
            sender.send(&streams::Probed).await?;
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

async fn request(
    state: &sync::Arc<state::State>,
    head: forwarding::RequestHead,
    body: bytes::Bytes,
    mut sender: transport::streams::Sender,
) -> errors::Result<()> {
    let left = std_time::Duration::from_millis(head.budget.remaining_ms.into());
    let deadline = state.now() + left;
    match working::run(state, working::Order { head, body, deadline }, None).await {
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
