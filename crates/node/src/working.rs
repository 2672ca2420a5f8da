//! Admits requests to the backend server of this host and runs them there.

use std::{sync, time as std_time};

use admission::{uplink, work};
use compact_str::CompactString;
use protocol::forwarding;
use tokio::sync::oneshot;
use world::{contracts, requests, time};

use crate::{backend, dialect, execution, headers, in_flight, promises, slots, state, suspects};

/// How long an answer's head is waited for past the deadline. The backend server works until the
/// deadline, and an answer that it made just then is still on its way.
pub(crate) const ANSWER_GRACE: std_time::Duration = std_time::Duration::from_millis(50);

/// A request for the backend server of this host, with its whole body.
#[derive(Clone, Debug)]
pub(crate) struct LocalRequest {
    pub(crate) head: forwarding::RequestHead,
    pub(crate) body: bytes::Bytes,
    /// Until when the sender waits for an answer.
    pub(crate) answer_by: time::Time,
}

/// A result of running a request here.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a request got no answer here, and the load of this host's backend server.
#[derive(Clone, Debug)]
pub(crate) struct Error {
    pub(crate) failure: Failure,
    pub(crate) node_status: forwarding::NodeStatus,
}

/// Why an attempt got no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Failure {
    /// The request was certainly not run.
    NotRun(forwarding::NotRun),
    /// The request may have run, in full or in part. Holds the reason why that is not known.
    Unknown(CompactString),
    /// The request may have run, and the target's node has stopped responding.
    Silent,
}

/// An answer whose body is still being received. Its `execution` holds the slot until the body
/// has ended.
pub(crate) struct Answered {
    pub(crate) status: http::StatusCode,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: web::body::Body,
    pub(crate) execution: execution::Execution,
    pub(crate) node_status: forwarding::NodeStatus,
}

/// What admission decided on a request. It owns the slot or the place in the queue from the moment
/// of the decision, so that both are given back when the request's future is dropped.
pub(crate) enum Admission {
    /// The request holds a slot.
    Run(slots::Permit),
    /// The request is queued, and the receiver gets the verdict.
    Wait(slots::Permit, oneshot::Receiver<slots::Verdict>),
    /// The request is refused and was not run.
    Refuse(forwarding::NotRun),
}

/// Sends a request to the backend server and waits for the head of the answer. Asks for admission
/// first when `admission` is none.
pub(crate) async fn run(
    state: &sync::Arc<state::State>,
    request: LocalRequest,
    admission: Option<Admission>,
) -> Result<Answered> {
    let attempts = request.head.budget.attempts;
    let refused = |reason| {
        let failure = Failure::NotRun(reason);
        Error { failure, node_status: node_status(state, attempts, std_time::Duration::ZERO) }
    };
    let admission = match admission {
        Some(it) => it,
        None => request_admission(state, &request).await,
    };
    let permit = await_verdict(state, &request.head, admission).await.map_err(refused)?;
    let (addr, instance) = {
        let backend = state.backend.lock();
        (backend.addr, backend.instance.clone())
    };
    let Some(addr) = addr else {
        return Err(refused(forwarding::NotRun::Absent));
    };
    let execution = execution::start(state, &request, addr, permit);
    let sent_at = state.now();
    let parent = in_flight::encode(state.epoch, execution.key);
    let context = dialect::RequestContext {
        addr,
        instance: &instance,
        left: request.head.context.deadline.since(sent_at),
        parent: &parent,
        id: &request.head.id,
    };
    let classify = |it: &web::client::Received| {
        let web::client::Received { response, kept, .. } = it;
        (state.settings.dialect.classify)(response.status, &response.headers, *kept, &context)
    };
    let result = state.client.send_for_head(build_call(state, &request, &context)).await;
    let backend = state.now().since(sent_at);
    if let Ok(received) = &result
        && classify(received) != dialect::AnswerKind::Foreign
    {
        record_notice(state, &received.response.headers, &context);
    }
    if let Ok(received) = &result
        && !(state.settings.dialect.names_request)(&received.response.headers)
    {
        received.discard_connection();
    }
    let mut node_status = node_status(state, execution.take_attempts(), backend);
    let failure = match result {
        Ok(received) => match classify(&received) {
            dialect::AnswerKind::Answered => {
                let web::exchange::Response { status, headers, body } = received.response;
                return Ok(Answered { status, headers, body, execution, node_status });
            }
            dialect::AnswerKind::NotRun => {
                execution.finish_shed().await;
                // The sender is to know at once how many slots are left.
                node_status.load = state.admission.lock().load(state.now());
                Failure::NotRun(forwarding::NotRun::Shed)
            }
            dialect::AnswerKind::Foreign => {
                received.discard_connection();
                execution.abort(false).await;
                Failure::Unknown("the backend server's answer is for another request".into())
            }
        },
        Err(web::client::Error::NotSent(reason)) => {
            log::info!(target: "decision", "backend_refused request={} addr={addr} reason={reason:?}", request.head.id);
            execution.finish(work::Outcome::Failed);
            execution::check_alive(state, addr).await;
            Failure::NotRun(forwarding::NotRun::Refused)
        }
        Err(web::client::Error::MaybeSent(reason)) => {
            let timed_out = state.now() >= request.head.context.deadline;
            execution.abort(timed_out).await;
            Failure::Unknown(reason)
        }
    };
    Err(Error { failure, node_status })
}

/// Asks for admission of a request of another node on a worker.
pub(crate) async fn request_admission(
    state: &sync::Arc<state::State>,
    request: &LocalRequest,
) -> Admission {
    let (shared, head) = (sync::Arc::clone(state), request.head.clone());
    let job = move || match check_network_link(&shared, &head) {
        Err(reason) => Admission::Refuse(reason),
        Ok(promise) => offer(&shared, &head).with_promise(promise),
    };
    let offered = state.pool.run(job).await;
    // When the workers' queue is full, the request was neither admitted nor sent.
    offered.unwrap_or(Admission::Refuse(forwarding::NotRun::Full))
}

/// Waits until a request holds its slot or is refused.
pub(crate) async fn wait_for_slot(
    state: &state::State,
    head: &forwarding::RequestHead,
    admission: Admission,
) -> Admission {
    match await_verdict(state, head, admission).await {
        Ok(permit) => Admission::Run(permit),
        Err(reason) => Admission::Refuse(reason),
    }
}

impl Admission {
    /// Ties what the answer takes of the host's network link to the slot or the place in the queue.
    fn with_promise(mut self, promise: Option<promises::Promise>) -> Admission {
        if let Admission::Run(permit) | Admission::Wait(permit, _) = &mut self {
            permit.promise = promise;
        }
        self
    }
}

/// Records what the backend server says of itself in the answer to a request.
fn record_notice(
    state: &sync::Arc<state::State>,
    headers: &http::HeaderMap,
    context: &dialect::RequestContext<'_>,
) {
    let notice = (state.settings.dialect.parse_notice)(headers);
    let before = {
        let mut backend = state.backend.lock();
        // A server that replaced the one that answered has not said so.
        if backend.instance != context.instance || backend.notice == notice {
            return;
        }
        std::mem::replace(&mut backend.notice, notice)
    };
    log::info!(
        target: "decision",
        "backend_notice request={} max_rate={:?} leaving={} before={before:?}",
        context.id,
        notice.max_rate,
        notice.leaving,
    );
    let (shared, instance) = (sync::Arc::clone(state), CompactString::from(context.instance));
    state.pool.submit_or_run(move || backend::apply_notice(&shared, &instance, notice));
}

fn node_status(
    state: &state::State,
    attempts: u8,
    backend: std_time::Duration,
) -> forwarding::NodeStatus {
    let now = state.now();
    let backend_us = u64::try_from(backend.as_micros()).unwrap_or(u64::MAX);
    forwarding::NodeStatus { load: state.admission.lock().load(now), attempts, backend_us }
}

/// Asks for admission of a request to the backend server of this host. To be called on a worker.
pub(crate) fn offer(state: &sync::Arc<state::State>, head: &forwarding::RequestHead) -> Admission {
    let now = state.now();
    if let Some(reason) = check_backend(state, head) {
        return Admission::Refuse(reason);
    }
    let status = state.suspects.lock().status(now, &head.fingerprint);
    if status == suspects::Status::Quarantined {
        return Admission::Refuse(forwarding::NotRun::Quarantined);
    }
    if is_outranked(state, now, head) {
        return Admission::Refuse(forwarding::NotRun::Outranked);
    }
    let work = work::Work {
        route: route_key(state, head),
        team: team_key(state, head),
        rank: head.context.rank,
        weight: head.context.worth,
        class: head.class,
        deadline: head.context.deadline,
        objective: head.context.objective,
        max_wait: head.patience_us.map(std_time::Duration::from_micros),
        movable: head.movable,
        suspect: head.suspect || status == suspects::Status::Suspect,
    };
    let decision = state.admission.lock().offer(now, work);
    log_admission(state, head, &work, &decision);
    let permit = |key| slots::Permit::new(sync::Arc::clone(state), key);
    match decision {
        slots::Decision::Run(key) => Admission::Run(permit(key)),
        slots::Decision::Wait(key, verdict) => Admission::Wait(permit(key), verdict),
        slots::Decision::Refuse(reason) => Admission::Refuse(reason),
    }
}

/// Whether a caller's request is refused because a service that its calls need is full of more
/// urgent work.
fn is_outranked(state: &state::State, now: time::Time, head: &forwarding::RequestHead) -> bool {
    let context = &head.context;
    if head.class == requests::Class::Internal {
        return false;
    }
    let full = state.callees.lock().refuse(now, &head.route, (context.rank, context.worth));
    let Some(full) = full else { return false };
    log::info!(
        target: "decision",
        "admission request={} outcome=refuse reason=\"a service that its calls need is full of more \
         urgent work\" route={} calls={full} team={} rank={}",
        head.id,
        head.route,
        context.team,
        context.rank,
    );
    true
}

/// Refuses a request whose body or answer would wait too long for this host's network link.
/// Otherwise returns what the answer takes of it.
fn check_network_link(
    state: &sync::Arc<state::State>,
    head: &forwarding::RequestHead,
) -> Result<Option<promises::Promise>, forwarding::NotRun> {
    let now = state.now();
    let objective = head.context.objective.since(now);
    let left = head.context.deadline.since(now);
    let arriving = *state.downlink.lock();
    let has_body = headers::body_length(&head.fields) > 0;
    if !has_body || !arriving.is_full(head.class, objective, left) {
        let request = promises::Request {
            id: &head.id,
            place: uplink::Place::Target,
            route: route_key(state, head),
            class: head.class,
            context: &head.context,
        };
        return promises::offer(state, &request).map_err(|_| forwarding::NotRun::LinkFull);
    }
    log::info!(
        target: "decision",
        "admission request={} outcome=refuse reason=\"the host's network link is full\" \
         decided_by=bodies arriving={:?} objective={objective:?}",
        head.id,
        arriving.backlog(),
    );
    Err(forwarding::NotRun::Busy)
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
    if state.routing.lock().rollouts.retires(&entry.service, &entry.version) {
        return Some(forwarding::NotRun::Draining);
    }
    None
}

/// Logs what admission decided and the load that it decided on.
fn log_admission(
    state: &state::State,
    head: &forwarding::RequestHead,
    work: &work::Work,
    decision: &slots::Decision,
) {
    if !log::log_enabled!(target: "decision", log::Level::Info) {
        return;
    }
    let (outcome, reason) = match decision {
        slots::Decision::Run(_) => ("run", None),
        slots::Decision::Wait(..) => ("wait", None),
        slots::Decision::Refuse(reason) => ("refuse", Some(reason)),
    };
    let now = state.now();
    let (load, beside) = {
        let admission = state.admission.lock();
        (admission.load(now), admission.waiting_beside(work))
    };
    log::info!(
        target: "decision",
        "admission request={} outcome={outcome} reason={reason:?} route={} busy={} queued={} \
         slots={} service_time={:?} movable={} patience_us={:?} objective={:?} team={} rank={} \
         flow_queued={beside}",
        head.id,
        head.route,
        load.in_flight,
        load.queued,
        load.slots,
        load.service_time,
        head.movable,
        head.patience_us,
        head.context.objective.since(now),
        head.context.team,
        head.context.rank,
    );
}

/// The key of the sender's route in the version that this node runs. Routes that the version does
/// not have share one key, and thus their measurements.
fn route_key(state: &state::State, head: &forwarding::RequestHead) -> contracts::RouteKey {
    let config = state.running();
    config.and_then(|it| it.find_route_named(&head.route)).unwrap_or_default()
}

/// The key of the sender's team in the version that this node runs. Requests without a team, and
/// those of teams that the version does not have, share one key.
fn team_key(state: &state::State, head: &forwarding::RequestHead) -> contracts::TeamKey {
    let config = state.running();
    config.and_then(|it| it.find_team(&head.context.team)).unwrap_or_default()
}

/// Waits until a request holds its slot or is refused, at most until its deadline.
async fn await_verdict(
    state: &state::State,
    head: &forwarding::RequestHead,
    admission: Admission,
) -> Result<slots::Permit, forwarding::NotRun> {
    let (permit, verdict) = match admission {
        Admission::Refuse(reason) => return Err(reason),
        Admission::Run(permit) => return Ok(permit),
        Admission::Wait(permit, verdict) => (permit, verdict),
    };
    let deadline = state.instant(head.context.deadline);
    let reason = match tokio::time::timeout_at(deadline, verdict).await {
        Ok(Ok(Ok(()))) => return Ok(permit),
        Ok(Ok(Err(reason))) => {
            permit.disarm();
            reason
        }
        // Dropping the permit takes the request out of the queue.
        Ok(Err(_)) => forwarding::NotRun::Absent,
        Err(_) => forwarding::NotRun::Late,
    };
    log::info!(
        target: "decision",
        "admission request={} outcome=refuse reason={reason:?} route={} queued=true team={} rank={}",
        head.id,
        head.route,
        head.context.team,
        head.context.rank,
    );
    Err(reason)
}

fn build_call(
    state: &state::State,
    request: &LocalRequest,
    context: &dialect::RequestContext<'_>,
) -> web::client::Call {
    let head = &request.head;
    let mut fields = headers::decode(&head.fields);
    let dialect = &state.settings.dialect;
    (dialect.add_context)(&mut fields, context);
    let reuse =
        if head.idempotent { web::client::Reuse::Allowed } else { web::client::Reuse::Never };
    web::client::Call {
        addr: context.addr,
        method: head.method.parse().unwrap_or(http::Method::GET),
        path: head.path.clone(),
        headers: fields,
        body: web::body::Body::full(request.body.clone()),
        deadline: state.instant(request.answer_by.min(head.context.deadline + ANSWER_GRACE)),
        close_delimited: dialect.close_delimited,
        reuse,
    }
}
