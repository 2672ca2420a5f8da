//! Claims idempotency keys at the controls, so that a non-idempotent request runs at most once.

use std::{sync, time as std_time};

use compact_str::CompactString;
use protocol::{proposals, streams};
use replicated::claims;
use world::time;

use crate::{controls, headers, state};

/// Pause before a proposal that got no answer is sent again.
const RETRY_INTERVAL: std_time::Duration = std_time::Duration::from_millis(50);
/// How long a control may take to answer a proposal.
const CONTROL_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(2_500);
/// How long the node keeps trying to complete or release a claim. The controls accept a completion
/// until the claim's deadline and grace have passed.
const SETTLE_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(5);

/// A claim that this node holds for a request.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    home: CompactString,
    name: claims::ClaimName,
    attempt: claims::AttemptId,
}

/// The outcome of claiming a request.
#[derive(Clone, Debug)]
pub(crate) enum ClaimResult {
    /// The request may be sent until its deadline.
    Granted(Claim),
    /// The claims table answered that the request must not be sent.
    Answered(claims::Answer),
    /// No control answered in time, so the request must not be sent.
    Unavailable,
}

/// Claims a request's idempotency key before the request is sent. Returns at the latest at the
/// request's deadline.
pub(crate) async fn claim(
    state: &sync::Arc<state::State>,
    request: &state::RoutedRequest,
    home: CompactString,
    key: CompactString,
) -> ClaimResult {
    let name = claims::ClaimName { service: request.head.service.clone(), key };
    let claim = Claim { home, name, attempt: claims::AttemptId(rand::random()) };
    // The claims table measures this limit from when it applies the claim, which is later than now.
    let left = request.deadline().since(state.now()).as_millis();
    let action = claims::Action::Claim {
        fingerprint: request.content,
        limit_ms: u64::try_from(left).unwrap_or(u64::MAX),
    };
    let answer = propose_until(state, &claim, action, request.deadline()).await;
    log::info!(
        target: "decision",
        "claim request={} service={} key={} answer=\"{}\"",
        request.head.id,
        claim.name.service,
        claim.name.key,
        answer.as_ref().map_or("no answer", describe),
    );
    match answer {
        Some(claims::Answer::Granted) => ClaimResult::Granted(claim),
        Some(answer) => ClaimResult::Answered(answer),
        None => {
            // The claim may have been applied without an answer. Releasing it lets the caller send
            // the request again.
            release(sync::Arc::clone(state), claim);
            ClaimResult::Unavailable
        }
    }
}

/// Releases a claim in the background, because the request was certainly not run.
pub(crate) fn release(state: sync::Arc<state::State>, claim: Claim) {
    tokio::spawn(async move {
        let until = state.now() + SETTLE_TIMEOUT;
        propose_until(&state, &claim, claims::Action::Release, until).await;
    });
}

/// Stores the answer to a claimed request, for when the caller sends the request again. Returns
/// whether a control confirmed it.
pub(crate) async fn complete(
    state: &sync::Arc<state::State>,
    claim: &Claim,
    answer: claims::StoredAnswer,
) -> bool {
    let until = state.now() + SETTLE_TIMEOUT;
    let answer = propose_until(state, claim, claims::Action::Complete(answer), until).await;
    answer.is_some()
}

/// Converts an answer to its stored form. Without a body, the stored answer is marked as cut.
pub(crate) fn to_stored(
    status: http::StatusCode,
    headers: &http::HeaderMap,
    body: Option<bytes::Bytes>,
) -> claims::StoredAnswer {
    let fields = headers::encode(headers).into_iter();
    claims::StoredAnswer {
        status: status.as_u16(),
        headers: fields.map(|it| (it.name, it.value.into())).collect(),
        cut: body.is_none(),
        body: body.unwrap_or_default(),
    }
}

/// Proposes a claim action until a control answers or `until` has passed. Proposing it again is
/// safe, since the attempt ID identifies repeated proposals.
async fn propose_until(
    state: &sync::Arc<state::State>,
    claim: &Claim,
    action: claims::Action,
    until: time::Time,
) -> Option<claims::Answer> {
    let request = proposals::Proposal::Claim(proposals::ClaimRequest {
        home: claim.home.clone(),
        name: claim.name.clone(),
        attempt: claim.attempt,
        action,
    });
    loop {
        let limit = until.since(state.now()).min(CONTROL_TIMEOUT);
        if limit.is_zero() {
            return None;
        }
        let answer = tokio::time::timeout(limit, propose(state, &request)).await;
        match answer {
            Ok(Ok(Some(proposals::Outcome::Answered(proposals::Answer::Claim(answer))))) => {
                return Some(answer);
            }
            Ok(Err(err)) => {
                log::debug!("claim proposal failed: {err}; repeating it until its time limit")
            }
            Ok(Ok(_)) | Err(_) => {}
        }
        tokio::time::sleep(RETRY_INTERVAL.min(until.since(state.now()))).await;
    }
}

/// Sends a proposal to the control that the node is attached to. Returns none when it is attached
/// to no control, or when the control closes the stream without an answer.
async fn propose(
    state: &state::State,
    request: &proposals::Proposal,
) -> transport::errors::Result<Option<proposals::Outcome>> {
    let attached = state.sessions.lock().attached;
    let control = attached.and_then(|it| controls::find(state, it));
    let Some((name, addr)) = control else { return Ok(None) };
    let link = state.links.link_control(&name, addr).await?;
    let (mut sender, mut receiver) = link.open_stream().await?;
    sender.send(&streams::Open::Propose(request.clone())).await?;
    sender.finish()?;
    receiver.recv().await
}

fn describe(answer: &claims::Answer) -> &'static str {
    match answer {
        claims::Answer::Granted => "granted",
        claims::Answer::InProgress => "in progress",
        claims::Answer::Completed(_) => "completed",
        claims::Answer::Unknown => "unknown outcome",
        claims::Answer::Mismatch => "another request has the key",
        claims::Answer::Full => "the table is full",
        claims::Answer::Malformed => "not a valid claim",
        claims::Answer::Released => "released",
        claims::Answer::Stored => "stored",
        claims::Answer::NotHolder => "another attempt holds it",
        claims::Answer::Expired => "expired claims removed",
        claims::Answer::AlreadyApplied => "already applied",
    }
}
