//! Passing answers on to callers, and counting requests when their answers have ended.

use std::{sync, time as std_time};

use admission::work;
use world::time;

use crate::{headers, instruments, sending, state};

/// Chunks of an answer that wait for a slow caller.
pub(crate) const CHUNKS: usize = 8;

/// Why a body is not complete.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The deadline passed.
    #[error("the deadline passed")]
    Late,
    /// The body ended early, or nobody reads it any more.
    #[error(transparent)]
    Body(#[from] web::body::Error),
    /// The stream to the target's node ended early.
    #[error(transparent)]
    Link(#[from] transport::errors::Error),
}

/// A result of this module.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// A request that is counted when it is dropped; as cancelled, unless its end was seen.
pub(crate) struct Count {
    state: sync::Arc<state::State>,
    begun: time::Time,
    outcome: instruments::Outcome,
    added: std_time::Duration,
    title: String,
}

impl Count {
    /// Begins to count a request.
    pub(crate) fn begin(state: sync::Arc<state::State>, title: String) -> Count {
        let begun = state.now();
        let outcome = instruments::Outcome::Cancelled;
        Count { state, begun, outcome, added: std_time::Duration::ZERO, title }
    }

    /// The head of the answer is there. Of the time until now, the backend server took `backend`.
    pub(crate) fn head(&mut self, backend: std_time::Duration) {
        let elapsed = self.state.now().since(self.begun);
        self.added = elapsed.saturating_sub(backend);
    }

    /// The request has ended.
    pub(crate) fn end(mut self, outcome: instruments::Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Count {
    fn drop(&mut self) {
        let Count { state, outcome, added, title, .. } = self;
        let total = state.now().since(self.begun);
        state.instruments.count_request(*outcome, total, *added);
        log::info!(target: "decision", "{title} {outcome:?} after {total:?}, {added:?} of it added");
    }
}

/// Passes an answer on as it arrives. A body that ends early fails, so that the caller's
/// connection is reset and the answer never looks whole.
pub(crate) async fn stream(
    answered: sending::Answered,
    is_head: bool,
    count: Count,
) -> web::exchange::Answer {
    let sending::Answered { status, mut headers, body: source, .. } = answered;
    headers::clean(&mut headers);
    let (sender, body) = web::body::Body::channel(CHUNKS);
    // The server does not read a body that is not sent, which would look like a caller that left.
    if is_head || matches!(status, http::StatusCode::NO_CONTENT | http::StatusCode::NOT_MODIFIED) {
        let outcome = match pump(source, &sender).await {
            Ok(()) => instruments::Outcome::Answered,
            Err(_) => instruments::Outcome::Unknown,
        };
        count.end(outcome);
        return web::exchange::Answer { status, headers, body: web::body::Body::empty() };
    }
    tokio::spawn(async move {
        let closed = sender.closed();
        // The caller left; dropping the source cancels the work, and the count says so.
        let pumped = tokio::select! {
            it = pump(source, &sender) => it,
            () = closed => return,
        };
        match pumped {
            Ok(()) => {
                if sender.finish().await.is_ok() {
                    count.end(instruments::Outcome::Answered);
                }
            }
            Err(Error::Body(web::body::Error::Gone)) => {}
            Err(err) => {
                log::info!("an answer ended early: {err}");
                count.end(instruments::Outcome::Unknown);
                sender.fail();
            }
        }
    });
    web::exchange::Answer { status, headers, body }
}

/// Reads a body to its end and passes it on.
pub(crate) async fn pump(source: sending::Source, sender: &web::body::Sender) -> Result<()> {
    match source {
        sending::Source::Here(mut body, running) => loop {
            match body.chunk().await {
                Ok(Some(bytes)) => sender.send(bytes).await?,
                Ok(None) => {
                    running.finish(work::Outcome::Answered);
                    return Ok(());
                }
                Err(err) => {
                    running.break_off(false);
                    return Err(err.into());
                }
            }
        },
        sending::Source::There(mut receiver, limit) => loop {
            let received = tokio::time::timeout_at(limit, receiver.recv_bytes()).await;
            match received.map_err(|_| Error::Late)?? {
                Some(bytes) => sender.send(bytes).await?,
                None => return Ok(()),
            }
        },
        sending::Source::Rest(begun, mut rest) => {
            sender.send(begun).await?;
            while let Some(bytes) = rest.chunk().await? {
                sender.send(bytes).await?;
            }
            Ok(())
        }
    }
}
