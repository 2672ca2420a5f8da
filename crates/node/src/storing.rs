//! Stores the answers of claimed requests for resends.

use std::{sync, time as std_time};

use bytes::Bytes;
use replicated::claims;

use crate::{answering, bodies, callers, claiming, headers, outgoing, refusals, sending, state};

/// Stores an answer for resends before the caller gets it. An answer that is too large is streamed
/// to the caller and stored without its body. When the controls are slow to confirm, the caller gets
/// the answer before its deadline all the same, and the answer is stored in the background.
pub(crate) async fn store_answer(
    state: &sync::Arc<state::State>,
    claim: claiming::Claim,
    answered: sending::Answered,
) -> refusals::Result<callers::Reply> {
    let at = answering::time_limit(state, &answered);
    let sending::Answered { status, mut headers, body: source, node_status, deadline, answer_by } =
        answered;
    headers::remove_reserved(&mut headers, state.settings.dialect.reserved);
    let (sender, mut copy) = web::body::Body::channel(answering::MAX_CHUNKS);
    let length = bodies::content_length(&headers);
    // A small body is read to its end before its answer is begun.
    let large = length.filter(|it| *it > claims::MAX_BODY_BYTES as u64);
    let limit = bodies::Limit::begun(at, large);
    tokio::spawn(async move {
        let mut outlet = outgoing::Outlet::unpaced(sender);
        match answering::copy_body(source, &mut outlet, length, limit).await {
            Ok(()) => drop(outlet.finish().await),
            Err(_) => outlet.abort(),
        }
    });
    let (kept, collected) = collect(&mut copy).await;
    if collected == Collected::Failed {
        return Err(refusals::broken_answer(answering::is_late(state, deadline)));
    }
    let kept = Bytes::from(kept);
    let whole = (collected == Collected::Whole).then(|| kept.clone());
    let answer = claiming::to_stored(status, &headers, whole);
    // A task of its own, so that the answer is stored also when the caller leaves meanwhile.
    let shared = sync::Arc::clone(state);
    let stored = tokio::spawn(async move { claiming::complete(&shared, &claim, answer).await });
    // The other half of the time is left for the way to the caller.
    let limit = deadline.since(state.now()) / 2;
    let confirmed = tokio::time::timeout(limit, stored).await;
    if !matches!(confirmed, Ok(Ok(true))) {
        log::warn!(
            "no control has yet confirmed the stored answer of a claimed request; resends may be \
             told that its outcome is unknown"
        );
    }
    if collected == Collected::TooLarge {
        let rest = sending::Rest::Copied(copy);
        let body = sending::Source { ahead: Some(kept), rest };
        let answered =
            sending::Answered { status, headers, body, node_status, deadline, answer_by };
        return Ok(callers::Reply::Streamed(Box::new(answered)));
    }
    let body = web::body::Body::full(kept);
    let backend = std_time::Duration::from_micros(node_status.backend_us);
    Ok(callers::Reply::Complete(web::exchange::Response { status, headers, body }, backend))
}

/// How far a body could be collected.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Collected {
    /// The body ended early.
    Failed,
    /// The body is larger than a stored answer may be.
    TooLarge,
    /// The body was read to its end.
    Whole,
}

/// Reads a body until it ends or exceeds the limit of stored answers.
async fn collect(body: &mut web::body::Body) -> (Vec<u8>, Collected) {
    let mut kept = Vec::new();
    loop {
        match body.chunk().await {
            Ok(Some(bytes)) => kept.extend_from_slice(&bytes),
            Ok(None) if kept.len() <= claims::MAX_BODY_BYTES => return (kept, Collected::Whole),
            Ok(None) => return (kept, Collected::TooLarge),
            Err(_) => return (kept, Collected::Failed),
        }
        if kept.len() > claims::MAX_BODY_BYTES {
            return (kept, Collected::TooLarge);
        }
    }
}
