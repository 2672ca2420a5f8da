//! Streams answers to callers and records each request in metrics and logs when it has ended.

use std::{sync, time as std_time};

use admission::work;
use bytes::Bytes;
use compact_str::CompactString;
use routing::budget;
use world::time;

use crate::{bodies, headers, instruments, outgoing, promises, refusals, sending, state};

/// Most chunks of an answer that are buffered for a slow caller.
pub(crate) const MAX_CHUNKS: usize = 8;

/// An answer whose body is on its way to the caller.
pub(crate) struct Streamed {
    pub(crate) response: web::exchange::Response,
    /// Bytes of the body that take the host's network link without waiting for their turn.
    pub(crate) counted: u64,
}

/// Records a request's outcome and times in metrics and the log when it is dropped. The outcome is
/// cancelled unless [`RequestRecord::finish`] was called.
pub(crate) struct RequestRecord {
    state: sync::Arc<state::State>,
    started_at: time::Time,
    outcome: instruments::Outcome,
    added: std_time::Duration,
    id: CompactString,
    reason: &'static str,
    /// Whether a backend server of this host makes the request, over no network link.
    pub(crate) is_call: bool,
    /// What the answer takes of the host's network link.
    pub(crate) promise: Option<promises::Promise>,
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
            is_call: false,
            promise: None,
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

/// Reads a small body to its end, so that its answer is begun only when it can be finished. A larger
/// body, or one for which no memory is left, is returned in part. If the body breaks off, or is not
/// complete in time, the caller gets a refusal and its connection serves further requests.
pub(crate) async fn read_ahead(
    record: &RequestRecord,
    mut answered: sending::Answered,
) -> refusals::Result<sending::Answered> {
    let state = &record.state;
    let length = bodies::content_length(&answered.headers);
    let Some(reservation) = state.buffers.reserve(length) else { return Ok(answered) };
    let limit = bodies::Limit::strict(time_limit(state, &answered));
    let mut kept = Vec::new();
    loop {
        match limit.read(answered.body.chunk()).await {
            Ok(Some(bytes)) => kept.extend_from_slice(&bytes),
            Ok(None) => break answered.body.finish(),
            // Only the end marker is missing.
            Err(_) if length.is_some_and(|it| it == kept.len() as u64) => {
                break answered.body.finish();
            }
            Err(err) => {
                log::info!(
                    target: "decision",
                    "answer_incomplete request={} error=\"{err}\" bytes={} length={length:?}",
                    record.id,
                    kept.len(),
                );
                answered.body.abort(&err);
                return Err(refusals::broken_answer(is_late(state, answered.deadline)));
            }
        }
        if kept.len() > bodies::MAX_BUFFERED {
            answered.body.ahead = Some(reservation.hold(Bytes::from(kept)));
            return Ok(answered);
        }
    }
    let ahead = (!kept.is_empty()).then(|| reservation.hold(Bytes::from(kept)));
    answered.body = sending::Source { ahead, rest: sending::Rest::Ended };
    Ok(answered)
}

/// Whether a request has failed by its deadline, which the target's node knows only to the
/// millisecond.
pub(crate) fn is_late(state: &state::State, deadline: time::Time) -> bool {
    state.now() + budget::DEADLINE_RESOLUTION >= deadline
}

/// Until when an answer should be complete.
pub(crate) fn time_limit(
    state: &state::State,
    answered: &sending::Answered,
) -> tokio::time::Instant {
    state.instant(answered.answer_by)
}

/// Streams an answer to the caller as it arrives. If the body ends early, the caller's connection
/// is reset, so that a partial answer is never taken for a complete one.
pub(crate) async fn stream(
    answered: sending::Answered,
    is_head: bool,
    mut record: RequestRecord,
) -> Streamed {
    let at = time_limit(&record.state, &answered);
    let sending::Answered { status, mut headers, body: source, .. } = answered;
    headers::remove_reserved(&mut headers, record.state.settings.dialect.reserved);
    let (sender, body) = web::body::Body::channel(MAX_CHUNKS);
    let bodyless =
        is_head || matches!(status, http::StatusCode::NO_CONTENT | http::StatusCode::NOT_MODIFIED);
    let length = if bodyless { Some(0) } else { bodies::content_length(&headers) };
    let limit = match source.rest {
        sending::Rest::Ended => bodies::Limit::ended(),
        _ => bodies::Limit::begun(at, length),
    };
    let is_paced = outgoing::is_paced(&record.state, record.is_call, length);
    let mut promise = record.promise.take();
    if let Some(promise) = &mut promise {
        promise.begin(status, length);
    }
    let copying = async move {
        let shared = sync::Arc::clone(&record.state);
        let link = is_paced.then(|| shared.links.endpoint());
        let mut outlet = outgoing::Outlet::to_caller(sender, link, promise);
        match copy_body(source, &mut outlet, length, limit).await {
            Ok(()) => {
                // The HTTP server does not read the end marker of a body whose length it knows.
                let ended = outlet.finish().await.is_ok();
                if ended || length.is_some() {
                    record.finish(instruments::Outcome::Answered);
                }
            }
            Err(bodies::Error::Body(web::body::Error::Gone)) => {}
            Err(err) => {
                log::info!(
                    target: "decision",
                    "answer_cut request={} error=\"{err}\" next=\"resetting the caller's connection\"",
                    record.id,
                );
                record.finish(instruments::Outcome::Unknown);
                outlet.abort();
            }
        }
    };
    tokio::spawn(copying);
    let body = if bodyless { web::body::Body::empty() } else { body };
    let counted = if is_paced { 0 } else { length.unwrap_or(0) };
    Streamed { response: web::exchange::Response { status, headers, body }, counted }
}

/// Copies a body from `source` to `sender`. It stops when the reader is gone, which cancels the
/// work, unless `length` bytes have been copied: the HTTP server drops a body of a declared length
/// at that point, and only the end marker of `source` is still to be read.
pub(crate) async fn copy_body(
    mut source: sending::Source,
    sender: &mut outgoing::Outlet<'_>,
    length: Option<u64>,
    limit: bodies::Limit,
) -> bodies::Result<()> {
    let mut left = length;
    loop {
        let next = tokio::select! {
            biased;
            it = limit.read(source.chunk()) => it,
            () = sender.closed(), if left != Some(0) => Err(web::body::Error::Gone.into()),
        };
        let sent = match next {
            Ok(Some(bytes)) => {
                left = left.map(|it| it.saturating_sub(bytes.len() as u64));
                limit.write(sender.send(bytes)).await
            }
            Ok(None) => {
                source.finish();
                return Ok(());
            }
            Err(err) => Err(err),
        };
        match sent {
            Ok(()) => {}
            Err(bodies::Error::Body(web::body::Error::Gone)) => {
                return Err(web::body::Error::Gone.into());
            }
            Err(err) => {
                source.abort(&err);
                return Err(err);
            }
        }
    }
}

impl sending::Source {
    /// The next chunk, or `None` at the end of a complete body.
    async fn chunk(&mut self) -> bodies::Result<Option<Bytes>> {
        if let Some(bytes) = self.ahead.take() {
            return Ok(Some(bytes));
        }
        match &mut self.rest {
            sending::Rest::Local(body, _) | sending::Rest::Copied(body) => Ok(body.chunk().await?),
            sending::Rest::Remote(receiver) => Ok(receiver.recv_bytes().await?),
            sending::Rest::Ended => Ok(None),
        }
    }

    /// Records that the body was read to its end, which frees the slot of a request run here.
    fn finish(self) {
        if let sending::Rest::Local(_, execution) = self.rest {
            execution.finish(work::Outcome::Answered);
        }
    }

    /// Records that the body ended early, which frees the slot of a request run here. The caller is
    /// not kept waiting until it is known whether the backend server is alive.
    fn abort(self, error: &bodies::Error) {
        if let sending::Rest::Local(_, execution) = self.rest {
            tokio::spawn(execution.abort(matches!(error, bodies::Error::DeadlinePassed)));
        }
    }
}
