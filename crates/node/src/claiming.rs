//! Claims of non-idempotent requests.

use std::{sync, time as std_time};

use compact_str::CompactString;
use protocol::{proposals, streams};
use replicated::claims;
use world::time;

use crate::{headers, state};

/// How often a question is asked again while no answer comes.
const PAUSE: std_time::Duration = std_time::Duration::from_millis(50);
/// How long one control may take to answer.
const CONTROL_LIMIT: std_time::Duration = std_time::Duration::from_millis(2_500);
/// How long the completion of a claim is tried. Within its deadline and grace it is accepted.
const COMPLETE_LIMIT: std_time::Duration = std_time::Duration::from_secs(5);

/// A claim that this node holds for a request.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    home: CompactString,
    name: claims::ClaimName,
    attempt: claims::AttemptId,
}

/// What becomes of a request that needs a claim.
#[derive(Clone, Debug)]
pub(crate) enum Claimed {
    /// It may be sent until its deadline.
    Granted(Claim),
    /// The state's answer forbids it.
    Answered(claims::Answer),
    /// No control could be asked in time, so it was not run.
    Unavailable,
}

/// Claims a request before it is sent.
pub(crate) async fn claim(
    state: &sync::Arc<state::State>,
    job: &state::Job,
    home: CompactString,
    key: CompactString,
) -> Claimed {
    let name = claims::ClaimName { service: job.head.service.clone(), key };
    let claim = Claim { home, name, attempt: claims::AttemptId(rand::random()) };
    // The state counts from when it applies the claim, which is later than now.
    let left = job.deadline.since(state.now()).as_millis();
    let action = claims::Action::Claim {
        fingerprint: job.fingerprint(),
        limit_ms: u64::try_from(left).unwrap_or(u64::MAX),
    };
    let answer = ask(state, &claim, action, job.deadline).await;
    log::info!(
        target: "decision",
        "claim request={} service={} key={} answer=\"{}\"",
        job.head.id,
        claim.name.service,
        claim.name.key,
        answer.as_ref().map_or("no answer", describe),
    );
    match answer {
        Some(claims::Answer::Granted) => Claimed::Granted(claim),
        Some(answer) => Claimed::Answered(answer),
        None => {
            // The claim may be in the log; releasing it lets the caller send the request again.
            release(sync::Arc::clone(state), claim);
            Claimed::Unavailable
        }
    }
}

/// Gives a claim back in the background: the request was certainly not run.
pub(crate) fn release(state: sync::Arc<state::State>, claim: Claim) {
    tokio::spawn(async move {
        let until = state.now() + COMPLETE_LIMIT;
        ask(&state, &claim, claims::Action::Release, until).await;
    });
}

/// Stores the answer of a claimed request. Returns whether it is stored.
pub(crate) async fn complete(
    state: &sync::Arc<state::State>,
    claim: &Claim,
    answer: claims::StoredAnswer,
) -> bool {
    let until = state.now() + COMPLETE_LIMIT;
    let answer = ask(state, claim, claims::Action::Complete(answer), until).await;
    answer.is_some()
}

/// The answer of a claimed request as it is kept.
pub(crate) fn stored(
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

/// Asks until there is an answer or the time is up. Asking again is safe, since the attempt's ID
/// tells a resend.
async fn ask(
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
        let limit = until.since(state.now()).min(CONTROL_LIMIT);
        if limit.is_zero() {
            return None;
        }
        let answer = tokio::time::timeout(limit, propose(state, &request)).await;
        match answer {
            Ok(Ok(Some(proposals::Outcome::Answered(proposals::Answer::Claim(answer))))) => {
                return Some(answer);
            }
            Ok(Err(err)) => log::debug!("a claim got no answer: {err}"),
            Ok(Ok(_)) | Err(_) => {}
        }
        tokio::time::sleep(PAUSE.min(until.since(state.now()))).await;
    }
}

/// Asks the control that the node is attached to.
async fn propose(
    state: &state::State,
    request: &proposals::Proposal,
) -> transport::errors::Result<Option<proposals::Outcome>> {
    let control = {
        let attached = state.sessions.lock().attached;
        let table = state.configuration.lock();
        let control = attached.and_then(|it| table.follower.attachment().control(it));
        control.map(|it| it.name.clone())
    };
    let mesh = &state.settings.mesh;
    let peer = control.and_then(|it| mesh.find_host(&it)).and_then(|it| mesh.host(it));
    let Some(peer) = peer else { return Ok(None) };
    let link = state.links.link(&peer.name, peer.addr).await?;
    let (mut sender, mut receiver) = link.open().await?;
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
