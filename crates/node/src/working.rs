//! Running a request on the backend server of this host.

use std::{sync, time as std_time};

use admission::work;
use compact_str::{CompactString, format_compact};
use protocol::forwarding;
use tokio::sync::oneshot;
use world::{contracts, time};

use crate::{backend, dialect, flights, gates, headers, state, suspicion};

/// How long the check for a dead process may take after a connection broke.
const PROBE_LIMIT: std_time::Duration = std_time::Duration::from_millis(200);

/// A request for this host's backend server.
#[derive(Clone, Debug)]
pub(crate) struct Order {
    pub(crate) head: forwarding::RequestHead,
    pub(crate) body: bytes::Bytes,
    pub(crate) deadline: time::Time,
}

/// A result of this module.
pub(crate) type Result<T, E = Failed> = std::result::Result<T, E>;

/// Why there is no answer, and how things stand at this host's target.
#[derive(Clone, Debug)]
pub(crate) struct Failed {
    pub(crate) failure: Failure,
    pub(crate) standing: forwarding::NodeStatus,
}

/// Why there is no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Failure {
    /// The request was certainly not run.
    NotRun(forwarding::NotRun),
    /// The request may have run, in full or in part.
    Unknown(CompactString),
    /// The request may have run, and nothing is heard of the target's node any more.
    Silent,
}

/// An answer whose body is still on its way. The slot is held until the body has ended.
pub(crate) struct Answered {
    pub(crate) status: http::StatusCode,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: web::body::Body,
    pub(crate) running: Running,
    pub(crate) standing: forwarding::NodeStatus,
}

/// A request that the backend server works on. Dropping it counts as an abandoned request.
pub(crate) struct Running {
    state: sync::Arc<state::State>,
    held: Option<gates::Held>,
    flight: flights::FlightKey,
    suspect: bool,
    done: bool,
}

/// What admission said of a request. It holds the slot, or the place in the queue, from the job
/// that decided, so neither is lost when the request's future is dropped meanwhile.
pub(crate) enum Admission {
    /// The request holds a slot.
    Run(gates::Held),
    /// The verdict comes later.
    Wait(gates::Held, oneshot::Receiver<gates::Verdict>),
    /// It was not run.
    Refuse(forwarding::NotRun),
}

/// Sends an admitted request to the backend server and waits for the head of the answer. Without
/// an admission, it is asked for first.
pub(crate) async fn run(
    state: &sync::Arc<state::State>,
    order: Order,
    admission: Option<Admission>,
) -> Result<Answered> {
    let attempts = order.head.budget.attempts;
    let refused = |reason| {
        let failure = Failure::NotRun(reason);
        Failed { failure, standing: standing(state, attempts, std_time::Duration::ZERO) }
    };
    let admission = match admission {
        Some(it) => it,
        None => ask(state, &order).await,
    };
    let held = admit(admission).await.map_err(refused)?;
    let (addr, instance) = {
        let backend = state.backend.lock();
        (backend.addr, backend.instance.clone())
    };
    let Some(addr) = addr else {
        return Err(refused(forwarding::NotRun::Absent));
    };
    let running = start(state, &order, held);
    let begun = state.now();
    let parent = flights::encode(running.flight);
    let handed = dialect::Handed {
        addr,
        instance: &instance,
        left: order.deadline.since(begun),
        parent: &parent,
        id: &order.head.id,
    };
    let result = state.client.send(call(state, &order, &handed)).await;
    let backend = state.now().since(begun);
    let standing = standing(state, running.take_attempts(), backend);
    let failure = match result {
        Ok(answer) => {
            let judge = state.settings.dialect.judge;
            match judge(answer.status, &answer.headers, &handed) {
                dialect::Judgement::Answered => {
                    let web::exchange::Answer { status, headers, body } = answer;
                    return Ok(Answered { status, headers, body, running, standing });
                }
                dialect::Judgement::NotRun => {
                    running.finish(work::Outcome::Failed);
                    Failure::NotRun(forwarding::NotRun::Shed)
                }
                dialect::Judgement::Foreign => {
                    running.break_off(false);
                    Failure::Unknown("the answer belongs to another request".into())
                }
            }
        }
        Err(web::client::Error::NotSent(reason)) => {
            log::info!(target: "decision", "backend_refused request={} addr={addr} reason={reason:?}", order.head.id);
            running.finish(work::Outcome::Failed);
            probe(state, addr).await;
            Failure::NotRun(forwarding::NotRun::Refused)
        }
        Err(web::client::Error::MaybeSent(reason)) => {
            let timed_out = state.now() >= order.deadline;
            running.break_off(timed_out);
            if !timed_out {
                probe(state, addr).await;
            }
            Failure::Unknown(reason)
        }
    };
    Err(Failed { failure, standing })
}

/// Asks admission in a job.
pub(crate) async fn ask(state: &sync::Arc<state::State>, order: &Order) -> Admission {
    let (shared, head) = (sync::Arc::clone(state), order.head.clone());
    let deadline = order.deadline;
    let offered = state.pool.run(move || offer(&shared, &head, deadline)).await;
    // A full queue of jobs means that nothing was decided, let alone sent.
    offered.unwrap_or(Admission::Refuse(forwarding::NotRun::Full))
}

/// Waits until a request holds its slot or is refused.
pub(crate) async fn hold(admission: Admission) -> Admission {
    match admit(admission).await {
        Ok(held) => Admission::Run(held),
        Err(reason) => Admission::Refuse(reason),
    }
}

impl Running {
    /// Takes the extra sends that the request's calls have left. They go back with the head of the
    /// answer, so calls that the request makes after it have none.
    fn take_attempts(&self) -> u8 {
        let mut flights = self.state.flights.lock();
        flights.get_mut(self.flight).map_or(0, |it| std::mem::take(&mut it.budget.attempts))
    }

    /// The request ran to its end.
    pub(crate) fn finish(mut self, outcome: work::Outcome) {
        self.done = true;
        if let Some(held) = self.held.take() {
            held.finish(outcome);
        }
        let state = sync::Arc::clone(&self.state);
        let cleared = self.suspect && outcome == work::Outcome::Answered;
        let key = self.flight;
        self.state.pool.submit_or_run(move || {
            let flight = state.flights.lock().finish(key);
            if let Some(flight) = flight.filter(|_| cleared) {
                backend::clear(&state, &flight);
            }
        });
    }

    /// The connection broke, or the time was up, before the answer was complete.
    pub(crate) fn break_off(mut self, timed_out: bool) {
        self.done = true;
        if let Some(held) = self.held.take() {
            let outcome = if timed_out { work::Outcome::TimedOut } else { work::Outcome::Failed };
            held.finish(outcome);
        }
        self.end(timed_out);
    }

    fn end(&self, harmless: bool) {
        let state = sync::Arc::clone(&self.state);
        let key = self.flight;
        self.state.pool.submit_or_run(move || {
            let now = state.now();
            let mut flights = state.flights.lock();
            if harmless {
                flights.finish(key);
            } else {
                flights.break_off(now, key);
            }
        });
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if !self.done {
            // The caller left. Its request may still crash the backend server.
            self.end(false);
        }
    }
}

fn standing(
    state: &state::State,
    attempts: u8,
    backend: std_time::Duration,
) -> forwarding::NodeStatus {
    let now = state.now();
    let backend_us = u64::try_from(backend.as_micros()).unwrap_or(u64::MAX);
    forwarding::NodeStatus { load: state.admission.lock().load(now), attempts, backend_us }
}

/// Offers a request to the gate of this host's target.
pub(crate) fn offer(
    state: &sync::Arc<state::State>,
    head: &forwarding::RequestHead,
    deadline: time::Time,
) -> Admission {
    let now = state.now();
    if let Some(reason) = check_backend(state, head) {
        return Admission::Refuse(reason);
    }
    let standing = state.suspicion.lock().standing(now, &head.fingerprint);
    if standing == suspicion::Standing::Quarantined {
        return Admission::Refuse(forwarding::NotRun::Quarantined);
    }
    let work = work::Work {
        route: route_key(state, head),
        weight: head.weight,
        class: head.class,
        deadline,
        objective: now + std_time::Duration::from_micros(head.objective_us),
        patience: head.patience_us.map(std_time::Duration::from_micros),
        movable: head.movable,
        suspect: head.suspect || standing == suspicion::Standing::Suspect,
    };
    let offer = state.admission.lock().offer(now, work);
    log_admission(state, head, &offer);
    let held = |key| gates::Held::new(sync::Arc::clone(state), key);
    match offer {
        gates::Offer::Run(key) => Admission::Run(held(key)),
        gates::Offer::Wait(key, verdict) => Admission::Wait(held(key), verdict),
        gates::Offer::Refuse(reason) => Admission::Refuse(reason),
    }
}

fn check_backend(
    state: &state::State,
    head: &forwarding::RequestHead,
) -> Option<forwarding::NotRun> {
    let backend = state.backend.lock();
    if backend.stopping {
        return Some(forwarding::NotRun::Stopping);
    }
    let Some(entry) = backend.local.entry() else { return Some(forwarding::NotRun::Absent) };
    if entry.state == world::targets::State::Draining {
        return Some(forwarding::NotRun::Draining);
    }
    if !entry.state.takes_work() || entry.service != head.service {
        return Some(forwarding::NotRun::Absent);
    }
    None
}

/// Says what admission decided, and from what.
fn log_admission(state: &state::State, head: &forwarding::RequestHead, offer: &gates::Offer) {
    if !log::log_enabled!(target: "decision", log::Level::Info) {
        return;
    }
    let (outcome, reason) = match offer {
        gates::Offer::Run(_) => ("run", None),
        gates::Offer::Wait(..) => ("wait", None),
        gates::Offer::Refuse(reason) => ("refuse", Some(reason)),
    };
    let load = state.admission.lock().load(state.now());
    log::info!(
        target: "decision",
        "admission request={} outcome={outcome} reason={reason:?} route={} busy={} queued={} \
         slots={} service_time={:?} movable={} patience_us={:?} objective_us={}",
        head.id,
        head.route,
        load.in_flight,
        load.queued,
        load.slots,
        load.service_time,
        head.movable,
        head.patience_us,
        head.objective_us,
    );
}

/// The key of the sender's route in the version that runs here. A route that this node does not
/// have yet shares the measurements of all unknown routes.
fn route_key(state: &state::State, head: &forwarding::RequestHead) -> contracts::RouteKey {
    let config = state.running();
    config.and_then(|it| it.find_route_named(&head.route)).unwrap_or_default()
}

async fn admit(admission: Admission) -> Result<gates::Held, forwarding::NotRun> {
    match admission {
        Admission::Refuse(reason) => Err(reason),
        Admission::Run(held) => Ok(held),
        Admission::Wait(held, verdict) => match verdict.await {
            Ok(Ok(())) => Ok(held),
            Ok(Err(reason)) => {
                held.forget();
                Err(reason)
            }
            Err(_) => Err(forwarding::NotRun::Absent),
        },
    }
}

fn start(state: &sync::Arc<state::State>, order: &Order, held: gates::Held) -> Running {
    let head = &order.head;
    let flight = flights::Flight {
        fingerprint: head.fingerprint,
        budget: head.budget,
        id: head.id.clone(),
        deadline: order.deadline,
        objective: state.now() + std_time::Duration::from_micros(head.objective_us),
        weight: head.weight,
        repeat: head.repeat,
        title: format_compact!("{} {} of {}", head.method, head.path, head.service),
    };
    let flight = state.flights.lock().start(flight);
    let now = state.now();
    let standing = state.suspicion.lock().standing(now, &head.fingerprint);
    let suspect = head.suspect || standing == suspicion::Standing::Suspect;
    Running { state: sync::Arc::clone(state), held: Some(held), flight, suspect, done: false }
}

fn call(state: &state::State, order: &Order, handed: &dialect::Handed<'_>) -> web::client::Call {
    let head = &order.head;
    let mut fields = headers::decode(&head.fields);
    let dialect = &state.settings.dialect;
    (dialect.hand)(&mut fields, handed);
    let reuse =
        if head.idempotent { web::client::Reuse::Pooled } else { web::client::Reuse::Fresh };
    web::client::Call {
        addr: handed.addr,
        method: head.method.parse().unwrap_or(http::Method::GET),
        path: head.path.clone(),
        headers: fields,
        body: web::body::Body::full(order.body.clone()),
        deadline: state.instant(order.deadline),
        unframed: dialect.unframed,
        reuse,
    }
}

/// Finds out at once whether a broken connection was a crash, instead of after the lease.
async fn probe(state: &sync::Arc<state::State>, addr: std::net::SocketAddr) {
    let connect = tokio::time::timeout(PROBE_LIMIT, tokio::net::TcpStream::connect(addr)).await;
    // A process that is there takes a connection from its own host at once.
    if !matches!(connect, Ok(Ok(_))) {
        let shared = sync::Arc::clone(state);
        if state.pool.run(move || backend::lose(&shared, addr)).await.is_err() {
            log::warn!("too much work; the loss of the backend server waits for its lease");
        }
    }
}
