//! Streams answers to callers and records each request in metrics and logs when it has ended.

use std::{sync, time as std_time};

use admission::work;
use bytes::Bytes;
use compact_str::CompactString;
use world::time;

use crate::{headers, instruments, refusals, sending, state};

/// Most chunks of an answer that are buffered for a slow caller.
pub(crate) const MAX_CHUNKS: usize = 8;

/// Why an answer's body could not be read or passed on to its end.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The deadline passed.
    #[error("the deadline passed")]
    DeadlinePassed,
    /// The body ended early, or its reader is gone.
    #[error(transparent)]
    Body(#[from] web::body::Error),
    /// The stream to the target's node ended early.
    #[error(transparent)]
    Link(#[from] transport::errors::Error),
}

/// A result of copying a body.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// Records a request's outcome and times in metrics and the log when it is dropped. The outcome is
/// cancelled unless [`RequestRecord::finish`] was called.
pub(crate) struct RequestRecord {
    state: sync::Arc<state::State>,
    started_at: time::Time,
    outcome: instruments::Outcome,
    added: std_time::Duration,
    id: CompactString,
    reason: &'static str,
}

impl RequestRecord {
    /// Starts to measure a request that has just arrived.
    pub(crate) fn new(state: sync::Arc<state::State>, id: CompactString) -> RequestRecord {
        let started_at = state.now();
        let outcome = instruments::Outcome::Cancelled;
        RequestRecord {
            state,
            started_at,
            outcome,
            added: std_time::Duration::ZERO,
            id,
            reason: "",
        }
    }

    /// Records that the head of the answer arrived. The backend server took `backend` of the time
    /// until now; the rest is the time that the system added.
    pub(crate) fn record_head(&mut self, backend: std_time::Duration) {
        let elapsed = self.state.now().since(self.started_at);
        self.added = elapsed.saturating_sub(backend);
    }

    /// Records and logs that the node refuses the request.
    pub(crate) fn record_refusal(&mut self, refusal: &refusals::Refusal) {
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

    /// Ends the request with this outcome.
    pub(crate) fn finish(mut self, outcome: instruments::Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        let RequestRecord { state, outcome, added, id, reason, .. } = self;
        let total = state.now().since(self.started_at);
        state.instruments.count_request(*outcome, total, *added);
        log::info!(
            target: "decision",
            "ended request={id} outcome={outcome:?} reason={reason} total={total:?} added={added:?}",
        );
    }
}

/// Streams an answer to the caller as it arrives. If the body ends early, the caller's connection
/// is reset, so that a partial answer is never taken for a complete one.
pub(crate) async fn stream(
    answered: sending::Answered,
    is_head: bool,
    record: RequestRecord,
) -> web::exchange::Response {
    let sending::Answered { status, mut headers, body: source, .. } = answered;
    headers::remove_reserved(&mut headers, record.state.settings.dialect.reserved);
    let (sender, body) = web::body::Body::channel(MAX_CHUNKS);
    let bodyless =
        is_head || matches!(status, http::StatusCode::NO_CONTENT | http::StatusCode::NOT_MODIFIED);
    let length = if bodyless { Some(0) } else { content_length(&headers) };
    let copying = async move {
        match copy_body(source, &sender, length).await {
            Ok(()) => {
                // The HTTP server does not read the end marker of a body whose length it knows.
                let ended = sender.finish().await.is_ok();
                if ended || length.is_some() {
                    record.finish(instruments::Outcome::Answered);
                }
            }
            Err(Error::Body(web::body::Error::Gone)) => {}
            Err(err) => {
                log::info!(
                    target: "decision",
                    "answer_cut request={} error=\"{err}\" next=\"resetting the caller's connection\"",
                    record.id,
                );
                record.finish(instruments::Outcome::Unknown);
                sender.abort();
            }
        }
    };
    tokio::spawn(copying);
    let body = if bodyless { web::body::Body::empty() } else { body };
    web::exchange::Response { status, headers, body }
}

/// Copies a body from `source` to `sender`. It stops when the reader is gone, which cancels the
/// work, unless `length` bytes have been copied: the HTTP server drops a body of a declared length
/// at that point, and only the end marker of `source` is still to be read.
pub(crate) async fn copy_body(
    mut source: sending::Source,
    sender: &web::body::Sender,
    length: Option<u64>,
) -> Result<()> {
    let mut left = length;
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
                source.abort();
                return Err(err);
            }
        }
    }
}

/// The value of an answer's `content-length` field, in bytes.
pub(crate) fn content_length(headers: &http::HeaderMap) -> Option<u64> {
    headers::text(headers, http::header::CONTENT_LENGTH.as_str())?.parse().ok()
}

impl sending::Source {
    /// The next chunk, or `None` at the end of a complete body.
    async fn chunk(&mut self) -> Result<Option<Bytes>> {
        match self {
            sending::Source::Local(body, _) => Ok(body.chunk().await?),
            sending::Source::Remote(receiver, limit) => {
                let received = tokio::time::timeout_at(*limit, receiver.recv_bytes()).await;
                Ok(received.map_err(|_| Error::DeadlinePassed)??)
            }
            sending::Source::Buffered(prefix, rest) => match prefix.take() {
                Some(bytes) => Ok(Some(bytes)),
                None => Ok(rest.chunk().await?),
            },
        }
    }

    /// Records that the body was read to its end, which frees the slot of a request run here.
    fn finish(self) {
        if let sending::Source::Local(_, execution) = self {
            execution.finish(work::Outcome::Answered);
        }
    }

    /// Records that the body ended early, which frees the slot of a request run here.
    fn abort(self) {
        if let sending::Source::Local(_, execution) = self {
            execution.abort(false);
        }
    }
}
