//! Callers' requests, from their arrival at this node to the end of the answer.

use std::{sync, time as std_time};

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use protocol::forwarding;
use replicated::claims;
use routing::budget;
use world::{config, contracts, requests, time};

use crate::{
    answering, answers, claiming, dialect, flights, headers, instruments, loans, sending, state,
    suspicion,
};

/// The largest body of a request when the configuration names no limit. Bodies are kept whole, so
/// that the request can be sent again.
const MAX_BODY: usize = 1024 * 1024;
/// The largest body whatever the configuration says: it travels to the target's node in one frame
/// of at most 8 MiB.
const MOST_BODY: usize = 7 * 1024 * 1024;

/// What is decided about a request before its body is read.
struct Plan {
    config: sync::Arc<config::Config>,
    route: contracts::RouteKey,
    service: CompactString,
    home: Option<CompactString>,
    standing: Standing,
    idempotent: bool,
    loan: loans::Loan,
}

/// What a request may spend and what it is worth, of its own or of the request it is made for.
struct Standing {
    class: requests::Class,
    budget: budget::Budget,
    deadline: time::Time,
    objective: time::Time,
    weight: u32,
    /// Whether it is made for a run that was itself a repeat.
    repeat: bool,
    /// The request that lends its extra sends.
    lender: Option<flights::FlightKey>,
}

/// A request as it arrived, with its whole body.
struct Arrival {
    arrived: time::Time,
    /// Names the request in the logs of all processes.
    id: CompactString,
    asked: dialect::Asked,
    method: CompactString,
    path: CompactString,
    query: Option<CompactString>,
    headers: http::HeaderMap,
    body: Bytes,
}

/// A request and what comes next for it.
struct Prepared {
    step: Step,
    loan: loans::Loan,
    deadline: time::Time,
}

/// What comes next for a request.
enum Step {
    /// It is claimed before it is sent.
    Claim { job: Box<state::Job>, home: Option<CompactString>, key: CompactString },
    /// It is sent to the first target, if there is one.
    Send(Box<sending::Result<sending::Begun>>),
}

/// What a caller gets.
enum Reply {
    /// An answer that is passed on as it arrives.
    Arriving(Box<sending::Answered>),
    /// An answer that is there as a whole, and the time that the backend server took.
    Whole(web::exchange::Answer, std_time::Duration),
}

/// Answers a caller's request.
pub(crate) async fn answer(
    state: sync::Arc<state::State>,
    request: web::exchange::Request,
) -> web::exchange::Answer {
    let asked = (state.settings.dialect.read)(&request.headers);
    let id = asked.as_ref().ok().and_then(|it| it.id.clone());
    let id = id.unwrap_or_else(|| format_compact!("{:016x}", rand::random::<u64>()));
    let mut count = answering::Count::begin(sync::Arc::clone(&state), id.clone());
    let is_head = request.method == http::Method::HEAD;
    match handle(&state, request, id, asked).await {
        Ok(Reply::Arriving(answered)) => {
            count.head(std_time::Duration::from_micros(answered.standing.backend_us));
            answering::stream(*answered, is_head, count).await
        }
        Ok(Reply::Whole(answer, backend)) => {
            count.head(backend);
            count.end(instruments::Outcome::Answered);
            answer
        }
        Err(refusal) => {
            count.refused(&refusal);
            count.end(match refusal.run {
                answers::Run::Not => instruments::Outcome::NotRun,
                answers::Run::Unknown => instruments::Outcome::Unknown,
            });
            (state.settings.dialect.refuse)(&refusal)
        }
    }
}

async fn handle(
    state: &sync::Arc<state::State>,
    request: web::exchange::Request,
    id: CompactString,
    asked: Result<dialect::Asked, CompactString>,
) -> answers::Result<Reply> {
    let web::exchange::Request { method, path, query, headers, body, .. } = request;
    let arrived = state.now();
    let asked = asked.map_err(|detail| answers::malformed(&detail))?;
    let body = body.whole(max_body(state)).await.map_err(|err| answers::unreadable(&err))?;
    let method = CompactString::from(method.as_str());
    let arrival = Arrival { arrived, id, asked, method, path, query, headers, body };
    let shared = sync::Arc::clone(state);
    // One job for all that is known before the first send: each wait for a worker costs a call
    // about 0.2 ms.
    let prepared = state.pool.run(move || prepare(&shared, arrival)).await;
    let Prepared { step, loan, deadline } =
        prepared.unwrap_or_else(|_| Err(answers::overloaded()))?;
    match step {
        Step::Send(begun) => send(state, *begun, None, loan, deadline).await,
        Step::Claim { job, home, key } => claimed(state, *job, home, key, loan).await,
    }
}

fn max_body(state: &state::State) -> usize {
    let limits = state.running().and_then(|it| it.document().limits);
    let bytes = limits.map_or(MAX_BODY, |it| usize::try_from(it.body_bytes).unwrap_or(MOST_BODY));
    bytes.min(MOST_BODY)
}

/// Decides what a request is, and chooses its first target when it needs no claim.
fn prepare(state: &sync::Arc<state::State>, arrival: Arrival) -> answers::Result<Prepared> {
    let Arrival { arrived, id, asked, method, path, query, mut headers, body } = arrival;
    let dialect = &state.settings.dialect;
    let host = host(&headers);
    let plan = plan(state, arrived, &id, (&method, &host, &path), &asked)?;
    let Plan { config, route, service, home, standing, idempotent, loan } = plan;
    let Standing { class, budget, deadline, objective, weight, repeat, .. } = standing;
    let fingerprint = requests::Fingerprint::of(&service, &method, &path, &body);
    let suspect = is_suspect(state, &fingerprint, &id)?;
    check_age(&headers)?;
    headers::clean(&mut headers, dialect.reserved);
    (dialect.sign)(&mut headers, &dialect::Origin { service: &state.settings.service });
    let contract = config.route(route).ok_or_else(answers::no_route)?;
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
    let job = state::Job { config, route, head, deadline, objective, body };
    let step = match asked.key {
        _ if idempotent => Step::Send(Box::new(sending::begin(state, job))),
        Some(key) => Step::Claim { job: Box::new(job), home, key },
        None if keyless => Step::Send(Box::new(sending::begin(state, job))),
        None => return Err(answers::key_required()),
    };
    Ok(Prepared { step, loan, deadline })
}

/// Decides what a request is, from the running version.
fn plan(
    state: &sync::Arc<state::State>,
    now: time::Time,
    id: &str,
    (method, host, path): (&str, &str, &str),
    asked: &dialect::Asked,
) -> answers::Result<Plan> {
    let config = state.running().ok_or_else(answers::no_version)?;
    let route = config.find_route(host, path).ok_or_else(answers::no_route)?;
    let contract = config.route(route).ok_or_else(answers::no_route)?;
    let service = contract.service_at(split_turn(state, contract));
    let service = service.and_then(|it| config.service(it)).ok_or_else(answers::no_route)?;
    let timeout = asked.limit.map_or(contract.timeout, |it| it.min(contract.timeout));
    let standing = standing(state, now, contract, timeout, asked.parent.as_ref())?;
    let budget = standing.budget;
    let loan = loans::Loan::new(sync::Arc::clone(state), standing.lender, budget.attempts);
    budget.check().map_err(|err| answers::out_of_budget(&err))?;
    log::info!(
        target: "decision",
        "route request={id} method={method} host={host} path={path} route={} service={} \
         version={} class={:?} depth={} left_ms={}",
        contract.name,
        service.name,
        config.version(),
        standing.class,
        budget.depth,
        standing.deadline.since(now).as_millis(),
    );
    Ok(Plan {
        service: service.name.clone(),
        home: service.home.clone(),
        idempotent: contract.is_idempotent(method),
        config,
        route,
        standing,
        loan,
    })
}

/// The number of a request among those of its split route.
fn split_turn(state: &state::State, route: &contracts::Route) -> u64 {
    if route.split.len() < 2 {
        return 0;
    }
    let mut routing = state.routing.lock();
    routing.split_turn = routing.split_turn.wrapping_add(1);
    routing.split_turn
}

/// The host that a request names, without its port, in lower case.
fn host(headers: &http::HeaderMap) -> CompactString {
    let text = headers::text(headers, http::header::HOST.as_str()).unwrap_or_default();
    let name = text.rsplit_once(':').filter(|it| it.1.bytes().all(|it| it.is_ascii_digit()));
    CompactString::from(name.map_or(text, |it| it.0)).to_lowercase()
}

/// Whether a request is a caller's or a call for another request, and what follows from that.
fn standing(
    state: &state::State,
    now: time::Time,
    contract: &contracts::Route,
    timeout: std_time::Duration,
    parent: Option<&dialect::Parent>,
) -> answers::Result<Standing> {
    let own = Standing {
        class: requests::Class::Caller,
        budget: budget::Budget::new(timeout, contract.attempts),
        deadline: now + timeout,
        objective: now + contract.objective,
        weight: contract.weight,
        repeat: false,
        lender: None,
    };
    match parent {
        None => Ok(own),
        Some(dialect::Parent::Token(text)) => lent(state, now, own, text),
        Some(dialect::Parent::Name(id)) => match state.flights.lock().find(id) {
            Some(parent) => Ok(named(now, own, parent)),
            None => Ok(own),
        },
    }
}

/// A call that names its parent by a token spends what its parent has left.
fn lent(
    state: &state::State,
    now: time::Time,
    own: Standing,
    text: &str,
) -> answers::Result<Standing> {
    let key = flights::decode(text).ok_or_else(answers::bad_parent)?;
    let mut flights = state.flights.lock();
    // The parent has been answered, or its caller has left: nobody waits for this call.
    let parent = flights.get_mut(key).ok_or_else(answers::bad_parent)?;
    let deadline = parent.deadline.min(own.deadline);
    let budget = parent.budget.take_for_call(deadline.since(now));
    Ok(Standing { budget, lender: Some(key), ..called(own, deadline, parent) })
}

/// A call that names its parent by the parent's own name. Its route says how often it may be sent.
fn named(now: time::Time, own: Standing, parent: &flights::Flight) -> Standing {
    let deadline = parent.deadline.min(own.deadline);
    let budget = own.budget.child_of(&parent.budget, deadline.since(now));
    Standing { budget, ..called(own, deadline, parent) }
}

/// A call is worth what its parent is worth.
fn called(own: Standing, deadline: time::Time, parent: &flights::Flight) -> Standing {
    Standing {
        class: requests::Class::Internal,
        deadline,
        objective: parent.objective,
        weight: parent.weight,
        repeat: parent.repeat,
        ..own
    }
}

fn check_age(headers: &http::HeaderMap) -> answers::Result<()> {
    let Some(text) = headers::text(headers, headers::FIRST_SENT) else { return Ok(()) };
    let sent_s: u64 = text.parse().map_err(|_| answers::bad_first_sent())?;
    let now = std_time::SystemTime::now().duration_since(std_time::UNIX_EPOCH);
    let now_ms = now.map_or(0, |it| it.as_millis());
    if now_ms.saturating_sub(u128::from(sent_s) * 1_000) >= u128::from(claims::CLAIM_TTL_MS) {
        return Err(answers::too_old());
    }
    Ok(())
}

/// Whether there is evidence against a request. A quarantined one is refused.
fn is_suspect(
    state: &state::State,
    fingerprint: &requests::Fingerprint,
    id: &str,
) -> answers::Result<bool> {
    match state.suspicion.lock().standing(state.now(), fingerprint) {
        suspicion::Standing::Free => Ok(false),
        suspicion::Standing::Suspect => Ok(true),
        suspicion::Standing::Quarantined => {
            log::info!(
                target: "decision",
                "quarantined request={id} fingerprint={fingerprint}",
            );
            Err(answers::quarantined())
        }
    }
}

/// Runs a non-idempotent request under a claim.
async fn claimed(
    state: &sync::Arc<state::State>,
    job: state::Job,
    home: Option<CompactString>,
    key: CompactString,
    loan: loans::Loan,
) -> answers::Result<Reply> {
    let home = home.ok_or_else(answers::no_home)?;
    match claiming::claim(state, &job, home, key).await {
        claiming::Claimed::Granted(claim) => {
            let deadline = job.deadline;
            let shared = sync::Arc::clone(state);
            let begun = state.pool.run(move || sending::begin(&shared, job)).await;
            // Nothing was sent when the queue of jobs is full.
            let begun = begun.unwrap_or_else(|err| {
                Err(sending::Failed {
                    failure: sending::Failure::NotRun(format_compact!("{err}"), None),
                    unused: 0,
                })
            });
            send(state, begun, Some(claim), loan, deadline).await
        }
        claiming::Claimed::Answered(answer) => {
            let answer = answers::from_claim(answer)?;
            Ok(Reply::Whole(answer, std_time::Duration::ZERO))
        }
        claiming::Claimed::Unavailable => Err(answers::no_claim(state.now() >= job.deadline)),
    }
}

async fn send(
    state: &sync::Arc<state::State>,
    begun: sending::Result<sending::Begun>,
    claim: Option<claiming::Claim>,
    mut loan: loans::Loan,
    deadline: time::Time,
) -> answers::Result<Reply> {
    loan.lend();
    // A caller that leaves drops this future; a granted claim then becomes unknown by itself.
    let answered = match begun {
        Ok(begun) => sending::send(state, begun).await,
        Err(failed) => Err(failed),
    };
    match answered {
        Ok(answered) => {
            loan.settle(answered.standing.attempts).await;
            match claim {
                None => Ok(Reply::Arriving(Box::new(answered))),
                Some(claim) => store(state, claim, answered).await,
            }
        }
        Err(failed) => {
            loan.settle(failed.unused).await;
            let late = state.now() + budget::DEADLINE_RESOLUTION >= deadline;
            let refusal = answers::from_failure(failed.failure, late);
            if let Some(claim) = claim.filter(|_| refusal.run == answers::Run::Not) {
                claiming::release(sync::Arc::clone(state), claim);
            }
            Err(refusal)
        }
    }
}

/// Keeps an answer for resends before the caller gets it. An answer that is too large is passed on
/// as it arrives, and kept without its body.
async fn store(
    state: &sync::Arc<state::State>,
    claim: claiming::Claim,
    answered: sending::Answered,
) -> answers::Result<Reply> {
    let sending::Answered { status, mut headers, body: source, standing } = answered;
    headers::clean(&mut headers, state.settings.dialect.reserved);
    let (sender, mut copy) = web::body::Body::channel(answering::CHUNKS);
    let declared = answering::declared(&headers);
    tokio::spawn(async move {
        match answering::pump(source, &sender, declared).await {
            Ok(()) => drop(sender.finish().await),
            Err(_) => sender.fail(),
        }
    });
    let (kept, collected) = collect(&mut copy).await;
    if collected == Collected::Broken {
        return Err(answers::broken());
    }
    let kept = Bytes::from(kept);
    let whole = (collected == Collected::Whole).then(|| kept.clone());
    let answer = claiming::stored(status, &headers, whole);
    // The answer is there, so it is kept also when the caller leaves now.
    let shared = sync::Arc::clone(state);
    let storing = tokio::spawn(async move { claiming::complete(&shared, &claim, answer).await });
    if !storing.await.unwrap_or(false) {
        log::warn!("the answer to a claimed request could not be stored");
    }
    if collected == Collected::Partly {
        let body = sending::Source::Rest(Some(kept), copy);
        let answered = sending::Answered { status, headers, body, standing };
        return Ok(Reply::Arriving(Box::new(answered)));
    }
    let body = web::body::Body::full(kept);
    let backend = std_time::Duration::from_micros(standing.backend_us);
    Ok(Reply::Whole(web::exchange::Answer { status, headers, body }, backend))
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Collected {
    Broken,
    Partly,
    Whole,
}

async fn collect(body: &mut web::body::Body) -> (Vec<u8>, Collected) {
    let mut kept = Vec::new();
    loop {
        match body.chunk().await {
            Ok(Some(bytes)) => kept.extend_from_slice(&bytes),
            Ok(None) if kept.len() <= claims::MAX_BODY_BYTES => return (kept, Collected::Whole),
            Ok(None) => return (kept, Collected::Partly),
            Err(_) => return (kept, Collected::Broken),
        }
        if kept.len() > claims::MAX_BODY_BYTES {
            return (kept, Collected::Partly);
        }
    }
}
