//! Callers' requests, from their arrival at this node to the end of the answer.

use std::{sync, time as std_time};

use admission::work;
use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use protocol::forwarding;
use replicated::claims;
use routing::budget;
use world::{config, contracts, requests, time};

use crate::{
    answers, choosing, claiming, flights, headers, instruments, sending, state, suspicion,
};

/// The largest body of a request. It is kept whole, so that the request can be sent again.
pub(crate) const MAX_BODY: usize = 1024 * 1024;
/// Chunks of an answer that wait for a slow caller.
const CHUNKS: usize = 8;

/// What is decided about a request before its body is read.
struct Plan {
    config: sync::Arc<config::Config>,
    route: contracts::RouteKey,
    service: CompactString,
    home: Option<CompactString>,
    class: requests::Class,
    budget: budget::Budget,
    deadline: time::Time,
    idempotent: bool,
    parent: Option<flights::FlightKey>,
}

/// Answers a caller's request.
pub(crate) async fn answer(
    state: sync::Arc<state::State>,
    request: web::exchange::Request,
) -> web::exchange::Answer {
    let begun = state.now();
    let (outcome, answer) = match handle(&state, request).await {
        Ok(answer) => (instruments::Outcome::Answered, answer),
        Err(refusal) => {
            let outcome = match refusal.run {
                answers::Run::Not => instruments::Outcome::NotRun,
                answers::Run::Unknown => instruments::Outcome::Unknown,
            };
            (outcome, refusal.into_answer())
        }
    };
    let total = state.now().since(begun);
    state.instruments.count_request(outcome, total, std_time::Duration::ZERO);
    answer
}

async fn handle(
    state: &sync::Arc<state::State>,
    request: web::exchange::Request,
) -> answers::Result<web::exchange::Answer> {
    let web::exchange::Request { method, path, query, mut headers, body, .. } = request;
    let plan = {
        let shared = sync::Arc::clone(state);
        let (method, path, headers) = (method.clone(), path.clone(), headers.clone());
        let job = move || plan(&shared, method.as_str(), &path, &headers);
        state.pool.run(job).await.unwrap_or_else(|_| Err(answers::overloaded()))?
    };
    let body = body.whole(MAX_BODY).await.map_err(|err| answers::unreadable(&err))?;
    let key = headers::text(&headers, headers::KEY).map(CompactString::from);
    check_age(&headers)?;
    headers::clean(&mut headers);
    let fingerprint = requests::Fingerprint::of(&plan.service, method.as_str(), &path, &body);
    let path = match query {
        Some(query) => format_compact!("{path}?{query}"),
        None => path,
    };
    let Plan { config, route, service, home, class, budget, deadline, idempotent, parent } = plan;
    let contract = config.route(route).ok_or_else(answers::no_route)?;
    let head = forwarding::RequestHead {
        service,
        route: contract.name.clone(),
        method: CompactString::from(method.as_str()),
        path,
        fields: headers::encode(&headers),
        class,
        weight: contract.weight,
        budget,
        movable: true,
        idempotent,
        fingerprint,
        suspect: false,
    };
    let keyless = contract.keyless;
    let job = state::Job { head, deadline, body };
    let result = match key {
        _ if idempotent => send(state, job, None).await,
        Some(key) => claimed(state, job, home, key).await,
        None if keyless => send(state, job, None).await,
        None => Err(answers::key_required()),
    };
    settle(state, parent, &result);
    result
}

/// Decides what a request is, from the running version.
fn plan(
    state: &state::State,
    method: &str,
    path: &str,
    headers: &http::HeaderMap,
) -> answers::Result<Plan> {
    let now = state.now();
    if state.backend.lock().stopping {
        return Err(answers::stopping());
    }
    let config = state.running().ok_or_else(answers::no_version)?;
    let route = config.find_route(path).ok_or_else(answers::no_route)?;
    let contract = config.route(route).ok_or_else(answers::no_route)?;
    let service = config.service(contract.service).ok_or_else(answers::no_route)?;
    let timeout = match headers::text(headers, headers::DEADLINE).map(str::parse) {
        Some(Ok(millis)) => contract.timeout.min(std_time::Duration::from_millis(millis)),
        Some(Err(_)) => return Err(answers::bad_deadline()),
        None => contract.timeout,
    };
    let parent = headers::text(headers, headers::PARENT);
    let (class, budget, deadline, parent) = match parent {
        None => {
            let class = requests::Class::Caller;
            (class, budget::Budget::first(timeout), now + timeout, None)
        }
        Some(text) => inherit(state, now, timeout, text)?,
    };
    budget.check().map_err(|err| answers::out_of_budget(&err))?;
    log::info!(
        target: "decision",
        "{method} {path} is route {} to {} under version {}, {class:?}, depth {}",
        contract.name,
        service.name,
        config.version(),
        budget.depth,
    );
    Ok(Plan {
        service: service.name.clone(),
        home: service.home.clone(),
        idempotent: contract.is_idempotent(method),
        config,
        route,
        class,
        budget,
        deadline,
        parent,
    })
}

type Inherited = (requests::Class, budget::Budget, time::Time, Option<flights::FlightKey>);

/// A backend server's call spends what its own request has left.
fn inherit(
    state: &state::State,
    now: time::Time,
    timeout: std_time::Duration,
    text: &str,
) -> answers::Result<Inherited> {
    let key = flights::decode(text).ok_or_else(answers::bad_parent)?;
    let mut flights = state.flights.lock();
    // The parent has been answered, or its caller has left: nobody waits for this call.
    let parent = flights.get_mut(key).ok_or_else(answers::bad_parent)?;
    let deadline = parent.deadline.min(now + timeout);
    let budget = parent.budget.call(deadline.since(now));
    Ok((requests::Class::Internal, budget, deadline, Some(key)))
}

/// Gives back to the parent what a call did not spend. An answer has used what it was given, since
/// what is left below it is not known here.
fn settle(
    state: &sync::Arc<state::State>,
    parent: Option<flights::FlightKey>,
    result: &answers::Result<web::exchange::Answer>,
) {
    let (Some(parent), Err(refusal)) = (parent, result) else { return };
    if refusal.run != answers::Run::Not {
        return;
    }
    let shared = sync::Arc::clone(state);
    state.pool.submit_or_run(move || {
        if let Some(flight) = shared.flights.lock().get_mut(parent) {
            flight.budget.settle(budget::EXTRA_SENDS);
        }
    });
}

fn check_age(headers: &http::HeaderMap) -> answers::Result<()> {
    let Some(text) = headers::text(headers, headers::FIRST_SENT) else { return Ok(()) };
    let sent_s: u64 = text.parse().map_err(|_| answers::bad_first_sent())?;
    let now = std_time::SystemTime::now().duration_since(std_time::UNIX_EPOCH);
    let now_ms = now.map_or(0, |it| it.as_millis());
    if now_ms.saturating_sub(u128::from(sent_s) * 1_000) >= u128::from(claims::LIFE_MS) {
        return Err(answers::too_old());
    }
    Ok(())
}

async fn check_standing(
    state: &sync::Arc<state::State>,
    mut job: state::Job,
) -> answers::Result<state::Job> {
    let shared = sync::Arc::clone(state);
    let head = job.head.clone();
    let check = move || choosing::standing(&shared, &head);
    match state.pool.run(check).await.map_err(|_| answers::overloaded())? {
        suspicion::Standing::Free => {}
        suspicion::Standing::Suspect => job.head.suspect = true,
        suspicion::Standing::Quarantined => return Err(answers::quarantined()),
    }
    Ok(job)
}

/// Runs a non-idempotent request under a claim.
async fn claimed(
    state: &sync::Arc<state::State>,
    job: state::Job,
    home: Option<CompactString>,
    key: CompactString,
) -> answers::Result<web::exchange::Answer> {
    let home = home.ok_or_else(answers::no_home)?;
    // Otherwise the choice of the first target looks at this; a claim must not be spent on it.
    let job = check_standing(state, job).await?;
    match claiming::claim(state, &job, home, key).await {
        claiming::Claimed::Granted(claim) => send(state, job, Some(claim)).await,
        claiming::Claimed::Answered(answer) => answers::from_claim(answer),
        claiming::Claimed::Unavailable => Err(answers::no_claim()),
    }
}

async fn send(
    state: &sync::Arc<state::State>,
    job: state::Job,
    claim: Option<claiming::Claim>,
) -> answers::Result<web::exchange::Answer> {
    // A caller that leaves drops this future; a granted claim then becomes unknown by itself.
    match sending::send(state, job).await {
        Ok(answered) => match claim {
            None => Ok(stream(answered)),
            Some(claim) => Ok(store(state, &claim, answered).await),
        },
        Err(failure) => {
            let refusal = answers::from_failure(failure);
            if let Some(claim) = claim.filter(|_| refusal.run == answers::Run::Not) {
                claiming::release(sync::Arc::clone(state), claim);
            }
            Err(refusal)
        }
    }
}

/// Passes an answer on as it arrives. A body that ends early fails, so that the caller's
/// connection is reset and the answer never looks whole.
fn stream(answered: sending::Answered) -> web::exchange::Answer {
    let sending::Answered { status, mut headers, body: source } = answered;
    headers::clean(&mut headers);
    let (sender, body) = web::body::Body::channel(CHUNKS);
    tokio::spawn(async move {
        let closed = sender.closed();
        // The caller left; dropping the source cancels the work.
        let pumped = tokio::select! {
            it = pump(source, &sender) => it,
            () = closed => return,
        };
        match pumped {
            Ok(()) => drop(sender.finish().await),
            Err(err) => {
                log::info!("an answer ended early: {err}");
                sender.fail();
            }
        }
    });
    web::exchange::Answer { status, headers, body }
}

/// Why a body is not complete.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error(transparent)]
    Body(#[from] web::body::Error),
    #[error(transparent)]
    Link(#[from] transport::errors::Error),
}

async fn pump(source: sending::Source, sender: &web::body::Sender) -> Result<(), Error> {
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
        sending::Source::There(mut receiver) => {
            while let Some(bytes) = receiver.recv_bytes().await? {
                sender.send(bytes).await?;
            }
            Ok(())
        }
    }
}

/// Keeps an answer for resends before the caller gets it. An answer that is too large is passed on
/// as it arrives, and kept without its body.
async fn store(
    state: &sync::Arc<state::State>,
    claim: &claiming::Claim,
    answered: sending::Answered,
) -> web::exchange::Answer {
    let sending::Answered { status, mut headers, body: source } = answered;
    headers::clean(&mut headers);
    let (sender, mut copy) = web::body::Body::channel(CHUNKS);
    let pumping = async move {
        let result = pump(source, &sender).await;
        match result {
            Ok(()) => drop(sender.finish().await),
            Err(_) => sender.fail(),
        }
    };
    let pumping = tokio::spawn(pumping);
    let (kept, complete) = collect(&mut copy).await;
    let kept_bytes = Bytes::from(kept);
    let whole = (complete == Collected::Whole).then(|| kept_bytes.clone());
    if complete != Collected::Broken {
        let answer = claiming::stored(status, &headers, whole.clone());
        if !claiming::complete(state, claim, answer).await {
            log::warn!("the answer to a claimed request could not be stored");
        }
    }
    let body = match complete {
        Collected::Whole => web::body::Body::full(kept_bytes),
        Collected::Broken => {
            pumping.abort();
            return answers::broken().into_answer();
        }
        Collected::Partly => chain(kept_bytes, copy),
    };
    web::exchange::Answer { status, headers, body }
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
            Ok(None) if kept.len() <= claims::MAX_BODY => return (kept, Collected::Whole),
            Ok(None) => return (kept, Collected::Partly),
            Err(_) => return (kept, Collected::Broken),
        }
        if kept.len() > claims::MAX_BODY {
            return (kept, Collected::Partly);
        }
    }
}

/// What was read of a body, followed by the rest of it.
fn chain(begun: Bytes, mut rest: web::body::Body) -> web::body::Body {
    let (sender, body) = web::body::Body::channel(CHUNKS);
    tokio::spawn(async move {
        let pumped = async {
            sender.send(begun).await?;
            while let Some(bytes) = rest.chunk().await? {
                sender.send(bytes).await?;
            }
            Ok::<(), web::body::Error>(())
        };
        match pumped.await {
            Ok(()) => drop(sender.finish().await),
            Err(_) => sender.fail(),
        }
    });
    body
}
