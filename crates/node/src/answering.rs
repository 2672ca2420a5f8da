//! Passing answers on to callers, and counting requests when their answers have ended.

use std::{sync, time as std_time};

use admission::work;
use bytes::Bytes;
use compact_str::CompactString;
use world::time;

use crate::{answers, headers, instruments, sending, state};

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
    id: CompactString,
    reason: &'static str,
}

impl Count {
    /// Begins to count a request.
    pub(crate) fn begin(state: sync::Arc<state::State>, id: CompactString) -> Count {
        let begun = state.now();
        let outcome = instruments::Outcome::Cancelled;
        Count { state, begun, outcome, added: std_time::Duration::ZERO, id, reason: "" }
    }

    /// The head of the answer is there. Of the time until now, the backend server took `backend`.
    pub(crate) fn head(&mut self, backend: std_time::Duration) {
        let elapsed = self.state.now().since(self.begun);
        self.added = elapsed.saturating_sub(backend);
    }

    /// The node answers itself.
    pub(crate) fn refused(&mut self, refusal: &answers::Refusal) {
        self.reason = refusal.reason;
        log::info!(
            target: "decision",
            "refused request={} status={} reason={} detail={:?} retry_after={:?}",
            self.id,
            refusal.status.as_u16(),
            refusal.reason,
            refusal.detail,
            refusal.retry_after,
        );
    }

    /// The request has ended.
    pub(crate) fn end(mut self, outcome: instruments::Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Count {
    fn drop(&mut self) {
        let Count { state, outcome, added, id, reason, .. } = self;
        let total = state.now().since(self.begun);
        state.instruments.count_request(*outcome, total, *added);
        log::info!(
            target: "decision",
            "ended request={id} outcome={outcome:?} reason={reason} total={total:?} added={added:?}",
        );
    }
}

/// Passes an answer on as it arrives. A body that ends early fails, so that the caller's
/// connection is reset and the answer never looks whole.
pub(crate) async fn stream(
    answered: sending::Answered,
    is_head: bool,
    count: Count,
) -> web::exchange::Response {
    let sending::Answered { status, mut headers, body: source, .. } = answered;
    headers::clean(&mut headers, count.state.settings.dialect.reserved);
    let (sender, body) = web::body::Body::channel(CHUNKS);
    let bodyless =
        is_head || matches!(status, http::StatusCode::NO_CONTENT | http::StatusCode::NOT_MODIFIED);
    let declared = if bodyless { Some(0) } else { declared(&headers) };
    let pumping = async move {
        match pump(source, &sender, declared).await {
            Ok(()) => {
                // The server does not read the end of a body whose length it knows.
                let ended = sender.finish().await.is_ok();
                if ended || declared.is_some() {
                    count.end(instruments::Outcome::Answered);
                }
            }
            Err(Error::Body(web::body::Error::Gone)) => {}
            Err(err) => {
                log::info!("an answer ended early: {err}");
                count.end(instruments::Outcome::Unknown);
                sender.abort();
            }
        }
    };
    tokio::spawn(pumping);
    let body = if bodyless { web::body::Body::empty() } else { body };
    web::exchange::Response { status, headers, body }
}

/// Reads a body to its end and passes it on. It stops when nobody reads the body any more, which
/// cancels the work, unless the declared length has been passed on: the server lets go of a body
/// at that point, and only the end is still to be read.
pub(crate) async fn pump(
    mut source: sending::Source,
    sender: &web::body::Sender,
    declared: Option<u64>,
) -> Result<()> {
    let mut left = declared;
    loop {
        let next = tokio::select! {
            biased;
            it = source.chunk() => it,
            () = sender.closed(), if left != Some(0) => Err(web::body::Error::Gone.into()),
        };
        match next {
            Ok(Some(bytes)) => {
                left = left.map(|it| it.saturating_sub(bytes.len() as u64));
                sender.send(bytes).await?;
            }
            Ok(None) => {
                source.finish();
                return Ok(());
            }
            Err(Error::Body(web::body::Error::Gone)) => return Err(web::body::Error::Gone.into()),
            Err(err) => {
                source.break_off();
                return Err(err);
            }
        }
    }
}

/// The length that an answer declares.
pub(crate) fn declared(headers: &http::HeaderMap) -> Option<u64> {
    headers::text(headers, http::header::CONTENT_LENGTH.as_str())?.parse().ok()
}

impl sending::Source {
    /// The next chunk, or `None` at the end of a complete body.
    async fn chunk(&mut self) -> Result<Option<Bytes>> {
        match self {
            sending::Source::Here(body, _) => Ok(body.chunk().await?),
            sending::Source::There(receiver, limit) => {
                let received = tokio::time::timeout_at(*limit, receiver.recv_bytes()).await;
                Ok(received.map_err(|_| Error::Late)??)
            }
            sending::Source::Rest(begun, rest) => match begun.take() {
                Some(bytes) => Ok(Some(bytes)),
                None => Ok(rest.chunk().await?),
            },
        }
    }

    /// The body has been read to its end.
    fn finish(self) {
        if let sending::Source::Here(_, running) = self {
            running.finish(work::Outcome::Answered);
        }
    }

    /// The body ended early.
    fn break_off(self) {
        if let sending::Source::Here(_, running) = self {
            running.break_off(false);
        }
    }
}
