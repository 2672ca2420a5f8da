//! Handles callers' requests, from their arrival at this node to the head of the answer.

use std::{sync, time as std_time};

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use protocol::forwarding;
use replicated::claims;
use routing::budget;
use world::{config, contracts, document, requests, time};

use crate::{
    answering, attaching, bodies, claiming, dialect, forward, headers, in_flight, instruments,
    refusals, reservations, sending, state, suspects,
};

/// Largest body of a request, in bytes, when the configuration sets no limit. Bodies are kept in
/// memory so that the request can be sent again.
const DEFAULT_MAX_BODY: usize = 1024 * 1024;
/// Largest body of a request, in bytes, that the configuration can allow. A body is forwarded in
/// one frame of at most 8 MiB.
const MAX_BODY: usize = 7 * 1024 * 1024;

/// How long before a caller gives up it gets an answer of the node's own, if there is no other. A
/// caller that gives up closes its connection, which loses the answers to its other requests.
const CALLER_LEAD: std_time::Duration = std_time::Duration::from_millis(25);
/// The lead is at most this part of the time that the caller waits.
const MIN_LEADS: u32 = 40;

/// The route of a request and what follows from it.
struct Plan {
    config: sync::Arc<config::Config>,
    route: contracts::RouteKey,
    service: CompactString,
    home: Option<CompactString>,
    scheduling: Scheduling,
    idempotent: bool,
    reservation: reservations::Reservation,
}

/// The time, attempts and priority of a request. A call that a backend server makes on behalf of
/// another request inherits them from that request.
struct Scheduling {
    class: requests::Class,
    budget: budget::Budget,
    deadline: time::Time,
    /// Until when an answer is waited for.
    answer_by: time::Time,
    objective: time::Time,
    weight: u32,
    /// Whether it is a call of a request that was sent to another target before.
    repeat: bool,
    /// The request whose extra attempts this call has taken.
    parent: Option<in_flight::RequestKey>,
}

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
    deadline: time::Time,
}

/// The next step of a request.
enum Step {
    /// Claim the idempotency key `key` in the region `home`, then send the request.
    Claim { request: Box<state::RoutedRequest>, home: Option<CompactString>, key: CompactString },
    /// Send the request to the chosen target, or refuse it when there is none.
    Send(Box<sending::Result<sending::NextAttempt>>),
}

/// The answer for the caller.
enum Reply {
    /// An answer that is streamed as it arrives.
    Streamed(Box<sending::Answered>),
    /// A complete answer, and the time that the backend server took.
    Complete(web::exchange::Response, std_time::Duration),
}

/// Answers a caller's request. A request that gets no answer from a target is answered with a
/// refusal.
pub(crate) async fn answer(
    state: sync::Arc<state::State>,
    request: web::exchange::Request,
) -> web::exchange::Response {
    let options = (state.settings.dialect.parse_request)(&request.headers);
    let id = options.as_ref().ok().and_then(|it| it.id.clone());
    let id = id.unwrap_or_else(|| format_compact!("{:016x}", rand::random::<u64>()));
    let mut record = answering::RequestRecord::new(sync::Arc::clone(&state), id.clone());
    let is_head = request.method == http::Method::HEAD;
    match handle(&state, request, id, options).await {
        Ok(Reply::Streamed(answered)) => {
            record.record_head(std_time::Duration::from_micros(answered.node_status.backend_us));
            match answering::read_ahead(&record, *answered).await {
                Ok(answered) => answering::stream(answered, is_head, record).await,
                Err(refusal) => refuse(&state, record, &refusal),
            }
        }
        Ok(Reply::Complete(answer, backend)) => {
            record.record_head(backend);
            record.finish(instruments::Outcome::Answered);
            answer
        }
        Err(refusal) => {
            let refusal = check_version(&state, refusal).await;
            refuse(&state, record, &refusal)
        }
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
) -> refusals::Result<Reply> {
    let web::exchange::Request { method, path, query, headers, body, .. } = request;
    let arrived = state.now();
    let options = options.map_err(|detail| refusals::bad_deadline(&detail))?;
    let (version, max_body) = body_limit(state);
    let body = body.collect(max_body).await;
    let body = body.map_err(|err| refusals::bad_body(&err, version))?;
    let method = CompactString::from(method.as_str());
    let incoming = Incoming { arrived, id, options, method, path, query, headers, body };
    let shared = sync::Arc::clone(state);
    // One job does everything up to the first attempt: each job costs a request about 0.2 ms of
    // waiting.
    let prepared = state.pool.run(move || prepare(&shared, incoming)).await;
    let Prepared { step, reservation, deadline } =
        prepared.unwrap_or_else(|_| Err(refusals::overloaded()))?;
    match step {
        Step::Send(attempt) => send(state, *attempt, None, reservation, deadline).await,
        Step::Claim { request, home, key } => {
            send_claimed(state, *request, home, key, reservation).await
        }
    }
}

/// The largest body of a request, in bytes, with the version of the configuration that sets it.
fn body_limit(state: &state::State) -> (document::Version, usize) {
    let running = state.running();
    let limits = running.as_ref().and_then(|it| it.document().limits);
    let bytes =
        limits.map_or(DEFAULT_MAX_BODY, |it| usize::try_from(it.body_bytes).unwrap_or(MAX_BODY));
    (running.map(|it| it.version()).unwrap_or_default(), bytes.min(MAX_BODY))
}

/// The refusal to answer with. A request that the running version does not allow is refused for good
/// only if no later version can be in force; otherwise the caller is asked to send it again.
async fn check_version(
    state: &sync::Arc<state::State>,
    refusal: refusals::Refusal,
) -> refusals::Refusal {
    let Some(version) = refusal.version else { return refusal };
    let confirmed = attaching::await_confirmation(state, version).await;
    let age = state.configuration.lock().updater.age(state.now());
    log::info!(
        target: "decision",
        "denied reason={} version={version} age={age:?} confirmed={confirmed}",
        refusal.reason,
    );
    if confirmed { refusal } else { refusals::old_version() }
}

/// Checks and routes a request, and chooses its first target when it needs no claim.
fn prepare(state: &sync::Arc<state::State>, incoming: Incoming) -> refusals::Result<Prepared> {
    let Incoming { arrived, id, options, method, path, query, mut headers, body } = incoming;
    let dialect = &state.settings.dialect;
    let host = host_name(&headers);
    let plan = plan(state, arrived, &id, (&method, &host, &path), &options)?;
    let Plan { config, route, service, home, scheduling, idempotent, reservation } = plan;
    let Scheduling { class, budget, deadline, answer_by, objective, weight, repeat, .. } =
        scheduling;
    let fingerprint = requests::Fingerprint::of(&service, &method, &path, &body);
    let suspect = check_suspect(state, &fingerprint, &id)?;
    check_age(&headers)?;
    headers::remove_reserved(&mut headers, dialect.reserved);
    (dialect.add_origin)(&mut headers, &dialect::Origin { service: &state.settings.service });
    let version = config.version();
    let contract = config.route(route).ok_or_else(|| refusals::no_route(version))?;
    let keyless = contract.keyless;
    let head = forwarding::RequestHead {
        id,
        service,
        route: contract.name.clone(),
        method,
        path: match query {
            Some(query) => format_compact!("{path}?{query}"),
            None => path,
        },
        fields: headers::encode(&headers),
        class,
        weight,
        budget,
        objective_us: 0,
        movable: true,
        patience_us: None,
        idempotent,
        fingerprint,
        repeat,
        suspect,
    };
    let request =
        state::RoutedRequest { config, route, head, deadline, answer_by, objective, body };
    let step = match options.key {
        _ if idempotent => Step::Send(Box::new(sending::choose_first(state, request))),
        Some(key) => Step::Claim { request: Box::new(request), home, key },
        None if keyless => Step::Send(Box::new(sending::choose_first(state, request))),
        None => return Err(refusals::key_required(version)),
    };
    Ok(Prepared { step, reservation, deadline })
}

/// Routes a request by the running version of the configuration, and takes the extra attempts of a
/// call from its parent.
fn plan(
    state: &sync::Arc<state::State>,
    now: time::Time,
    id: &str,
    (method, host, path): (&str, &str, &str),
    options: &dialect::RequestOptions,
) -> refusals::Result<Plan> {
    let config = state.running().ok_or_else(refusals::no_version)?;
    let version = config.version();
    let Some(route) = config.find_route(host, path) else {
        log::info!(
            target: "decision",
            "no_route request={id} host={host} path={path} version={version}",
        );
        return Err(refusals::no_route(version));
    };
    let contract = config.route(route).ok_or_else(|| refusals::no_route(version))?;
    let service = contract.service_at(next_split(state, contract));
    let service = service.and_then(|it| config.service(it));
    let service = service.ok_or_else(|| refusals::no_route(version))?;
    // A caller that waits for longer than the route allows is answered in time in any case.
    let limit = options.limit.filter(|it| *it <= contract.timeout + forward::REPORT_GRACE);
    let lead = limit.map_or(std_time::Duration::ZERO, |it| CALLER_LEAD.min(it / MIN_LEADS));
    // The targets stop a lead earlier than the node, so that their reports arrive in time.
    let timeout = limit.map_or(contract.timeout, |it| (it - lead * 2).min(contract.timeout));
    let mut scheduling = scheduling(state, now, contract, timeout, options.parent.as_ref())?;
    if let Some(limit) = limit {
        scheduling.answer_by = scheduling.answer_by.min(now + (limit - lead));
    }
    let budget = scheduling.budget;
    let reservation =
        reservations::Reservation::new(sync::Arc::clone(state), scheduling.parent, budget.attempts);
    budget.check().map_err(|err| refusals::out_of_budget(&err))?;
    log::info!(
        target: "decision",
        "route request={id} method={method} host={host} path={path} route={} service={} \
         version={version} class={:?} depth={} left_ms={}",
        contract.name,
        service.name,
        scheduling.class,
        budget.depth,
        scheduling.deadline.since(now).as_millis(),
    );
    Ok(Plan {
        service: service.name.clone(),
        home: service.home.clone(),
        idempotent: contract.is_idempotent(method),
        config,
        route,
        scheduling,
        reservation,
    })
}

/// The number by which a route that is split among services chooses a service. It grows with each
/// request of such a route; a route with one service always gets zero.
fn next_split(state: &state::State, route: &contracts::Route) -> u64 {
    if route.split.len() < 2 {
        return 0;
    }
    let mut routing = state.routing.lock();
    routing.split_counter = routing.split_counter.wrapping_add(1);
    routing.split_counter
}

/// The value of the `host` field, without its port, in lower case.
fn host_name(headers: &http::HeaderMap) -> CompactString {
    let text = headers::text(headers, http::header::HOST.as_str()).unwrap_or_default();
    let name = text.rsplit_once(':').filter(|it| it.1.bytes().all(|it| it.is_ascii_digit()));
    CompactString::from(name.map_or(text, |it| it.0)).to_lowercase()
}

/// The scheduling of a request: its route's contract, limited by the parent's for a call.
fn scheduling(
    state: &state::State,
    now: time::Time,
    contract: &contracts::Route,
    timeout: std_time::Duration,
    parent: Option<&dialect::Parent>,
) -> refusals::Result<Scheduling> {
    let own = Scheduling {
        class: requests::Class::Caller,
        budget: budget::Budget::new(timeout, contract.attempts),
        deadline: now + timeout,
        answer_by: now + timeout + forward::REPORT_GRACE,
        objective: now + contract.objective,
        weight: contract.weight,
        repeat: false,
        parent: None,
    };
    match parent {
        None => Ok(own),
        Some(dialect::Parent::Token(text)) => inherit_by_token(state, now, own, text),
        Some(dialect::Parent::Name(id)) => match state.in_flight.lock().find(id) {
            Some(parent) => Ok(inherit_by_id(now, own, parent)),
            None => Ok(own),
        },
    }
}

/// The scheduling of a call that names its parent by a token. It takes the extra attempts that the
/// parent has left.
fn inherit_by_token(
    state: &state::State,
    now: time::Time,
    own: Scheduling,
    text: &str,
) -> refusals::Result<Scheduling> {
    let key = in_flight::decode(text).ok_or_else(refusals::bad_parent)?;
    let mut requests = state.in_flight.lock();
    // If it is missing, the parent was answered or its caller has left, so nobody waits for this
    // call.
    let parent = requests.get_mut(key).ok_or_else(refusals::bad_parent)?;
    let deadline = parent.deadline.min(own.deadline);
    let budget = parent.budget.take_for_call(deadline.since(now));
    Ok(Scheduling { budget, parent: Some(key), ..inherit(own, deadline, parent) })
}

/// The scheduling of a call that names its parent by the parent's ID. Its own route sets the number
/// of attempts.
fn inherit_by_id(now: time::Time, own: Scheduling, parent: &in_flight::Request) -> Scheduling {
    let deadline = parent.deadline.min(own.deadline);
    let budget = own.budget.child_of(&parent.budget, deadline.since(now));
    Scheduling { budget, ..inherit(own, deadline, parent) }
}

/// The priority of a call, which is that of its parent.
fn inherit(own: Scheduling, deadline: time::Time, parent: &in_flight::Request) -> Scheduling {
    Scheduling {
        class: requests::Class::Internal,
        deadline,
        answer_by: deadline + forward::REPORT_GRACE,
        objective: parent.objective,
        weight: parent.weight,
        repeat: parent.repeat,
        ..own
    }
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
    reservation: reservations::Reservation,
) -> refusals::Result<Reply> {
    let home = home.ok_or_else(refusals::no_home)?;
    match claiming::claim(state, &request, home, key).await {
        claiming::ClaimResult::Granted(claim) => {
            let deadline = request.deadline;
            let shared = sync::Arc::clone(state);
            let attempt = state.pool.run(move || sending::choose_first(&shared, request)).await;
            // When the workers' queue is full, the request was not sent.
            let attempt = attempt.unwrap_or_else(|err| {
                Err(sending::Error {
                    failure: sending::Failure::NotRun(format_compact!("{err}"), None),
                    attempts_left: 0,
                })
            });
            send(state, attempt, Some(claim), reservation, deadline).await
        }
        claiming::ClaimResult::Answered(answer) => {
            let answer = refusals::from_claim(answer)?;
            Ok(Reply::Complete(answer, std_time::Duration::ZERO))
        }
        claiming::ClaimResult::Unavailable => {
            Err(refusals::claim_unavailable(state.now() >= request.deadline))
        }
    }
}

async fn send(
    state: &sync::Arc<state::State>,
    attempt: sending::Result<sending::NextAttempt>,
    claim: Option<claiming::Claim>,
    mut reservation: reservations::Reservation,
    deadline: time::Time,
) -> refusals::Result<Reply> {
    reservation.mark_spent();
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
                Some(claim) => store_answer(state, claim, answered).await,
            }
        }
        Err(failed) => {
            reservation.return_unused(failed.attempts_left).await;
            let late = answering::is_late(state, deadline);
            let refusal = refusals::from_failure(failed.failure, late);
            if let Some(claim) = claim.filter(|_| refusal.run == refusals::RunStatus::Not) {
                claiming::release(sync::Arc::clone(state), claim);
            }
            Err(refusal)
        }
    }
}

/// Stores an answer for resends before the caller gets it. An answer that is too large is streamed
/// to the caller and stored without its body. When the controls are slow to confirm, the caller gets
/// the answer before its deadline all the same, and the answer is stored in the background.
async fn store_answer(
    state: &sync::Arc<state::State>,
    claim: claiming::Claim,
    answered: sending::Answered,
) -> refusals::Result<Reply> {
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
        match answering::copy_body(source, &sender, length, limit).await {
            Ok(()) => drop(sender.finish().await),
            Err(_) => sender.abort(),
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
        return Ok(Reply::Streamed(Box::new(answered)));
    }
    let body = web::body::Body::full(kept);
    let backend = std_time::Duration::from_micros(node_status.backend_us);
    Ok(Reply::Complete(web::exchange::Response { status, headers, body }, backend))
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
