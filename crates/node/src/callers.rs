//! Handles callers' requests, from their arrival at this node to the head of the answer.

use std::{sync, time as std_time};

use ::quotas::stock;
use admission::uplink;
use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use protocol::forwarding;
use replicated::claims;
use world::{document, requests, time};

use crate::{
    answering, authenticating, bodies, claiming, confirming, dialect, headers, instruments,
    planning, promises, quotas, refusals, reservations, sending, state, storing, suspects,
};

/// Largest body of a request, in bytes, when the configuration sets no limit. Bodies are kept in
/// memory so that the request can be sent again.
const DEFAULT_MAX_BODY: usize = 1024 * 1024;
/// Largest body of a request, in bytes, that the configuration can allow. A body is forwarded in
/// one frame of at most 8 MiB.
const MAX_BODY: usize = 7 * 1024 * 1024;

/// A request as it arrived, with its whole body.
struct Incoming {
    arrived: time::Time,
    /// The ID of the request in the logs of all processes.
    id: CompactString,
    options: dialect::RequestOptions,
    method: CompactString,
    path: CompactString,
    query: Option<CompactString>,
    headers: http::HeaderMap,
    body: Bytes,
}

/// A request that is ready for its next step.
struct Prepared {
    step: Step,
    reservation: reservations::Reservation,
    /// The token of the team's quota, if it has one.
    token: Option<quotas::Token>,
    deadline: time::Time,
    class: requests::Class,
    promise: Option<promises::Promise>,
}

/// A request that was looked at on a worker.
enum Planned {
    Prepared(Prepared),
    /// It waits for a token of its team's quota.
    Waiting(Box<(Incoming, planning::Plan)>),
}

/// The next step of a request.
enum Step {
    /// Claim the idempotency key `key` in the region `home`, then send the request.
    Claim { request: Box<state::RoutedRequest>, home: Option<CompactString>, key: CompactString },
    /// Send the request to the chosen target, or refuse it when there is none.
    Send(Box<sending::Result<sending::NextAttempt>>),
}

/// What a request gives back when it turns out not to have run.
struct Reserved {
    reservation: reservations::Reservation,
    token: Option<quotas::Token>,
}

/// The answer for the caller.
pub(crate) enum Reply {
    /// An answer that is streamed as it arrives.
    Streamed(Box<sending::Answered>),
    /// A complete answer, and the time that the backend server took.
    Complete(web::exchange::Response, std_time::Duration),
}

/// Answers a caller's request, and counts the answer among what the host's network link carries.
pub(crate) async fn answer(
    state: sync::Arc<state::State>,
    request: web::exchange::Request,
) -> web::exchange::Response {
    let answering::Streamed { response, counted } =
        answer_request(sync::Arc::clone(&state), request).await;
    state.links.endpoint().count_other(headers::length(&response.headers) + counted);
    response
}

/// An answer that is complete.
fn complete(response: web::exchange::Response) -> answering::Streamed {
    let declared = bodies::content_length(&response.headers).unwrap_or(0);
    let counted = declared.max(response.body.least_length());
    answering::Streamed { response, counted }
}

/// Answers a caller's request. A request that gets no answer from a target is answered with a
/// refusal.
async fn answer_request(
    state: sync::Arc<state::State>,
    request: web::exchange::Request,
) -> answering::Streamed {
    let options = (state.settings.dialect.parse_request)(&request.headers).map(|it| {
        dialect::RequestOptions { credential: authenticating::read(&request.headers), ..it }
    });
    let id = options.as_ref().ok().and_then(|it| it.id.clone());
    let id = id.unwrap_or_else(|| format_compact!("{:016x}", rand::random::<u64>()));
    let mut record = answering::RequestRecord::new(sync::Arc::clone(&state), id.clone());
    let is_head = request.method == http::Method::HEAD;
    let result = tokio::select! {
        it = handle(&state, request, id, options, &mut record) => it,
        () = end_of_stop(&state) => Err(refusals::stopping()),
    };
    match result {
        Ok(Reply::Streamed(answered)) => {
            record.record_head(std_time::Duration::from_micros(answered.node_status.backend_us));
            match answering::read_ahead(&record, *answered).await {
                Ok(answered) => answering::stream(answered, is_head, record).await,
                Err(refusal) => complete(refuse(&state, record, &refusal)),
            }
        }
        Ok(Reply::Complete(answer, backend)) => {
            record.record_head(backend);
            record.finish(instruments::Outcome::Answered);
            complete(answer)
        }
        Err(refusal) => {
            let refusal = check_version(&state, refusal).await;
            complete(refuse(&state, record, &refusal))
        }
    }
}

/// Completes when a planned stop has begun and its requests must have been answered.
async fn end_of_stop(state: &state::State) {
    let mut stop_at = state.stop_at.subscribe();
    // Fails when the state is dropped, and the request with it.
    let Ok(at) = stop_at.wait_for(Option::is_some).await.map(|it| *it) else { return };
    if let Some(at) = at {
        tokio::time::sleep_until(at).await;
    }
}

fn refuse(
    state: &state::State,
    mut record: answering::RequestRecord,
    refusal: &refusals::Refusal,
) -> web::exchange::Response {
    record.record_refusal(refusal);
    record.finish(match refusal.run {
        refusals::RunStatus::Not => instruments::Outcome::NotRun,
        refusals::RunStatus::Unknown => instruments::Outcome::Unknown,
    });
    (state.settings.dialect.write_refusal)(refusal)
}

async fn handle(
    state: &sync::Arc<state::State>,
    request: web::exchange::Request,
    id: CompactString,
    options: Result<dialect::RequestOptions, CompactString>,
    record: &mut answering::RequestRecord,
) -> refusals::Result<Reply> {
    let web::exchange::Request { method, path, query, headers, body, .. } = request;
    let arrived = state.now();
    let options = options.map_err(|detail| refusals::bad_deadline(&detail))?;
    let (version, max_body) = body_limit(state);
    let body = collect_body(state, body, max_body).await;
    let body = body.map_err(|err| refusals::bad_body(&err, version))?;
    let method = CompactString::from(method.as_str());
    if !confirming::await_freshness(state, options.limit).await {
        return Err(refusals::old_version());
    }
    let incoming = Incoming { arrived, id, options, method, path, query, headers, body };
    let shared = sync::Arc::clone(state);
    // One job does everything up to the first attempt: each job costs a request about 0.2 ms of
    // waiting.
    let planned = state.pool.run(move || prepare(&shared, incoming)).await;
    let prepared = match planned.unwrap_or_else(|_| Err(refusals::overloaded()))? {
        Planned::Prepared(it) => it,
        Planned::Waiting(waiting) => prepare_with_token(state, *waiting).await?,
    };
    let Prepared { step, reservation, token, deadline, class, promise } = prepared;
    record.is_call = class == requests::Class::Internal;
    record.promise = promise;
    match step {
        Step::Send(attempt) => {
            send(state, *attempt, None, Reserved { reservation, token }, deadline).await
        }
        Step::Claim { request, home, key } => {
            send_claimed(state, *request, home, key, Reserved { reservation, token }).await
        }
    }
}

/// Waits for a token of the request's team, then routes the request.
async fn prepare_with_token(
    state: &sync::Arc<state::State>,
    (incoming, plan): (Incoming, planning::Plan),
) -> refusals::Result<Prepared> {
    let token = quotas::await_token(state, &plan.scheduling.context).await?;
    let shared = sync::Arc::clone(state);
    let prepared = state.pool.run(move || route(&shared, incoming, plan, token)).await;
    prepared.unwrap_or_else(|_| Err(refusals::overloaded()))
}

/// Reads the body of a request, as far as the memory for bodies allows.
async fn collect_body(
    state: &state::State,
    body: web::body::Body,
    limit: usize,
) -> Result<Bytes, web::body::Error> {
    let memory = state.request_bodies.reserve_none();
    let mut memory = memory.ok_or(web::body::Error::NoMemory)?;
    let body = body.collect_within(limit, |it| memory.grow(it)).await?;
    Ok(memory.hold(body))
}

/// The largest body of a request, in bytes, with the version of the configuration that sets it, if
/// there is one.
fn body_limit(state: &state::State) -> (Option<document::Version>, usize) {
    let running = state.running();
    let limits = running.as_ref().and_then(|it| it.document().limits);
    let bytes =
        limits.map_or(DEFAULT_MAX_BODY, |it| usize::try_from(it.body_bytes).unwrap_or(MAX_BODY));
    (running.map(|it| it.version()), bytes.min(MAX_BODY))
}

/// The refusal to answer with. A request that the running version does not allow is refused for
/// good only if no later version can be in force; otherwise the caller is asked to send it again.
async fn check_version(
    state: &sync::Arc<state::State>,
    refusal: refusals::Refusal,
) -> refusals::Refusal {
    let Some(version) = refusal.version else { return refusal };
    let confirmed = confirming::await_confirmation(state, version).await;
    let age = state.configuration.lock().updater.age(state.now());
    log::info!(
        target: "decision",
        "denied reason={} version={version} age={age:?} confirmed={confirmed}",
        refusal.reason,
    );
    if confirmed { refusal } else { refusals::old_version() }
}

/// Plans a request and takes a token for it, then routes it unless it has to wait for the token.
fn prepare(state: &sync::Arc<state::State>, incoming: Incoming) -> refusals::Result<Planned> {
    let Incoming { arrived, id, options, method, path, headers, .. } = &incoming;
    let host = planning::host_name(headers);
    let plan = planning::plan(state, *arrived, id, (method, &host, path), options)?;
    let planning::Scheduling { class, context, .. } = &plan.scheduling;
    match quotas::take(state, *class, &context.team, stock::Look::First)? {
        quotas::Admission::Granted(token) => {
            route(state, incoming, plan, token).map(Planned::Prepared)
        }
        quotas::Admission::Pending => Ok(Planned::Waiting(Box::new((incoming, plan)))),
    }
}

/// Checks a planned request, and chooses its first target when it needs no claim.
fn route(
    state: &sync::Arc<state::State>,
    incoming: Incoming,
    plan: planning::Plan,
    token: Option<quotas::Token>,
) -> refusals::Result<Prepared> {
    let Incoming { arrived, id, options, method, path, query, mut headers, body } = incoming;
    let dialect = &state.settings.dialect;
    let planning::Plan { config, route, service, home, scheduling, idempotent, reservation } = plan;
    let planning::Scheduling { class, budget, context, answer_by, repeat, .. } = scheduling;
    let deadline = context.deadline;
    let version = config.version();
    let contract = config.route(route).ok_or_else(|| refusals::no_route(version))?;
    let path = match query {
        Some(query) => format_compact!("{path}?{query}"),
        None => path,
    };
    let content = requests::Fingerprint::of(&service, &method, &path, &body);
    let virtual_host = contract.host.as_deref().unwrap_or_default();
    let origin = dialect::Origin { service: &state.settings.service, team: &context.team };
    let fingerprint = content.as_received(virtual_host, &dialect.describe_origin(&origin));
    let suspect = check_suspect(state, &fingerprint, &id)?;
    check_age(&headers)?;
    let promise = match class {
        requests::Class::Caller => promises::offer(
            state,
            &promises::Request {
                id: &id,
                place: uplink::Place::Caller,
                route,
                class,
                context: &context,
            },
        )
        .map_err(|it| promises::refuse_caller(&it))?,
        // The answer goes to the backend server of this host.
        requests::Class::Internal => None,
    };
    headers::remove_reserved(&mut headers, dialect.reserved);
    authenticating::remove_key(&config, &mut headers);
    headers::set_length(&mut headers, body.len());
    (dialect.add_origin)(&mut headers, &origin);
    let keyless = contract.keyless;
    let head = forwarding::RequestHead {
        id,
        service,
        route: contract.name.clone(),
        method,
        path,
        fields: headers::encode(&headers),
        class,
        context,
        sent: arrived,
        budget,
        movable: true,
        patience_us: None,
        idempotent,
        fingerprint,
        repeat,
        suspect,
    };
    let request = state::RoutedRequest { config, route, head, content, answer_by, body };
    let step = match options.key {
        _ if idempotent => Step::Send(Box::new(sending::choose_first(state, request))),
        Some(key) => Step::Claim { request: Box::new(request), home, key },
        None if keyless => Step::Send(Box::new(sending::choose_first(state, request))),
        None => return Err(refusals::key_required(version)),
    };
    Ok(Prepared { step, reservation, token, deadline, class, promise })
}

fn check_age(headers: &http::HeaderMap) -> refusals::Result<()> {
    let Some(text) = headers::text(headers, headers::FIRST_SENT) else { return Ok(()) };
    let sent_s: u64 = text.parse().map_err(|_| refusals::bad_first_sent())?;
    let now = std_time::SystemTime::now().duration_since(std_time::UNIX_EPOCH);
    let now_ms = now.map_or(0, |it| it.as_millis());
    if now_ms.saturating_sub(u128::from(sent_s) * 1_000) >= u128::from(claims::CLAIM_TTL_MS) {
        return Err(refusals::too_old());
    }
    Ok(())
}

/// Whether a request is suspected of crashing backend servers. A quarantined one is refused.
fn check_suspect(
    state: &state::State,
    fingerprint: &requests::Fingerprint,
    id: &str,
) -> refusals::Result<bool> {
    match state.suspects.lock().status(state.now(), fingerprint) {
        suspects::Status::Clear => Ok(false),
        suspects::Status::Suspect => Ok(true),
        suspects::Status::Quarantined => {
            log::info!(
                target: "decision",
                "quarantined request={id} fingerprint={fingerprint}",
            );
            Err(refusals::quarantined())
        }
    }
}

/// Claims the idempotency key of a request, then sends the request. If the key was claimed before,
/// the request is not sent, and the stored answer or a refusal is returned.
async fn send_claimed(
    state: &sync::Arc<state::State>,
    request: state::RoutedRequest,
    home: Option<CompactString>,
    key: CompactString,
    reserved: Reserved,
) -> refusals::Result<Reply> {
    let home = home.ok_or_else(refusals::no_home)?;
    match claiming::claim(state, &request, home, key).await {
        claiming::ClaimResult::Granted(claim) => {
            let deadline = request.deadline();
            let shared = sync::Arc::clone(state);
            let attempt = state.pool.run(move || sending::choose_first(&shared, request)).await;
            // When the workers' queue is full, the request was not sent.
            let attempt = attempt.unwrap_or_else(|err| {
                Err(sending::Error {
                    failure: sending::Failure::NotRun(format_compact!("{err}"), None),
                    attempts_left: 0,
                })
            });
            send(state, attempt, Some(claim), reserved, deadline).await
        }
        claiming::ClaimResult::Answered(answer) => {
            let answer = refusals::from_claim(answer)?;
            Ok(Reply::Complete(answer, std_time::Duration::ZERO))
        }
        claiming::ClaimResult::Unavailable => {
            Err(refusals::claim_unavailable(state.now() >= request.deadline()))
        }
    }
}

async fn send(
    state: &sync::Arc<state::State>,
    attempt: sending::Result<sending::NextAttempt>,
    claim: Option<claiming::Claim>,
    reserved: Reserved,
    deadline: time::Time,
) -> refusals::Result<Reply> {
    let Reserved { mut reservation, mut token } = reserved;
    reservation.mark_spent();
    token.iter_mut().for_each(quotas::Token::mark_spent);
    // A caller that leaves drops this future. A granted claim then expires with an unknown outcome.
    let answered = match attempt {
        Ok(attempt) => sending::send(state, attempt).await,
        Err(failed) => Err(failed),
    };
    match answered {
        Ok(answered) => {
            reservation.return_unused(answered.node_status.attempts).await;
            match claim {
                None => Ok(Reply::Streamed(Box::new(answered))),
                Some(claim) => storing::store_answer(state, claim, answered).await,
            }
        }
        Err(failed) => {
            reservation.return_unused(failed.attempts_left).await;
            let late = answering::is_late(state, deadline);
            let refusal = refusals::from_failure(failed.failure, late);
            if refusal.run == refusals::RunStatus::Not {
                token.into_iter().for_each(quotas::Token::give_back);
                if let Some(claim) = claim {
                    claiming::release(sync::Arc::clone(state), claim);
                }
            }
            Err(refusal)
        }
    }
}
