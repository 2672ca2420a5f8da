//! A node's ports and tasks, from its start to its planned stop.

use std::{net, sync, time as std_time};

use distribution::attach;
use protocol::{operators, streams};
use tokio::{task, time};
use transport::{endpoint, errors, links, pool, wire};

use crate::{
    attaching, backend, callers, controls, explaining, instruments, linking, quotas, reaching,
    rollouts, serving, settings, state,
};

/// How often the timers of the version updater and of the backend server's lease are checked. Also
/// the longest time between two checks of admission, since a timer that is set after a check may
/// expire earlier than those that the check found.
const TICK_INTERVAL: std_time::Duration = std_time::Duration::from_millis(50);
/// Ticks between two heartbeats of the registry, which makes one per second.
const HEARTBEAT_TICKS: u32 = 20;
/// Ticks between two reports about rollouts, which makes one in 250 ms.
const ROLLOUT_TICKS: u32 = 5;
/// Shortest time between two checks of the timers of admission.
const MIN_ADMISSION_INTERVAL: std_time::Duration = std_time::Duration::from_millis(5);
/// How often a planned stop checks whether requests are in flight.
const STOP_CHECK_INTERVAL: std_time::Duration = std_time::Duration::from_millis(20);
/// Most handshakes that other nodes may have in progress with a node. A refused node tries again
/// with a growing delay. Without the limit, a target that many nodes connect to at the same time
/// answers so slowly that their handshakes time out and are repeated.
const MAX_HANDSHAKES: usize = 16;
/// How long before the limit of a planned stop the last requests are answered, so that the answers
/// are written before the process ends.
const STOP_MARGIN: std_time::Duration = std_time::Duration::from_millis(300);
/// Longest time that a stop waits for other nodes to receive the last answers once the host's network
/// link has carried them. An unreachable node receives none and would otherwise delay the stop up to
/// its limit.
const MAX_CLOSE_TIME: std_time::Duration = std_time::Duration::from_millis(500);

/// An error that prevents a node from starting.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The port for other nodes and controls cannot be bound.
    #[error(transparent)]
    Link(#[from] errors::Error),
    /// A port for HTTP cannot be bound.
    #[error(transparent)]
    Web(#[from] web::server::Error),
}

/// A result of starting a node.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A running node. [`Node::stop`] ends it as planned; dropping it ends it at once.
pub struct Node {
    state: sync::Arc<state::State>,
    endpoint: endpoint::Endpoint,
    callers: web::server::Server,
    announce: web::server::Server,
    ready: Option<web::server::Server>,
    /// Serves the streams of other nodes.
    serving: task::JoinSet<()>,
    /// Tasks that run timers and probes, and that open links.
    ticks: task::JoinSet<()>,
}

/// The controls of a running node, for the process to add some that the seeds name. It outlives the
/// node without effect.
#[derive(Clone)]
pub struct Controls(sync::Weak<state::State>);

impl Controls {
    /// What the node reaches; none after its stop, or when the workers' queue is full.
    pub async fn reach(&self) -> Option<attach::Reach> {
        let state = self.0.upgrade()?;
        let shared = sync::Arc::clone(&state);
        let job = move || shared.configuration.lock().updater.attachment().reach();
        state.pool.run(job).await.ok()
    }

    /// Adds controls to those that the node knows.
    pub async fn add(&self, records: Vec<operators::ControlRecord>) {
        let Some(state) = self.0.upgrade().filter(|_| !records.is_empty()) else { return };
        let shared = sync::Arc::clone(&state);
        let job = attaching::in_runtime(move || controls::add(&shared, &records));
        if state.pool.run(job).await.is_err() {
            log::warn!("worker queue is full; the controls that the seeds named were not added");
        }
    }
}

impl Node {
    /// Binds the ports and starts to serve. The settings must contain the node's own host. Fails
    /// when a port cannot be bound.
    pub async fn spawn(
        mut settings: settings::Settings,
        identity: &transport::identity::Identity,
        instruments: instruments::Instruments,
    ) -> Result<Node> {
        let listen = settings.mesh.host(settings.me).map(|it| it.addr);
        let listen = listen.expect("the settings contain this host");
        let limits = transport::limits::Limits::default();
        // Only other nodes connect to a node.
        let limits = transport::limits::Limits {
            max_handshakes: MAX_HANDSHAKES,
            accept_timeout: limits.node_timeout,
            link_rate: settings.link_rate,
            ..limits
        };
        let endpoint = endpoint::Endpoint::bind(listen, identity, limits)?;
        // With port 0 the operating system chooses a port, which other processes have to know.
        let listen = endpoint.local_addr()?;
        settings.set_listen_addr(listen);
        let (links, dialled) = pool::LinkPool::bidirectional(endpoint.clone());
        let state = sync::Arc::new(state::State::new(settings, links, instruments));
        let callers = bind_callers(&state).await?;
        let announce = bind_announce(&state).await?;
        let ready = bind_ready(&state).await?;
        let mut serving = task::JoinSet::new();
        let shared = sync::Arc::clone(&state);
        serving.spawn(transport::serving::serve_pool(
            state.links.clone(),
            dialled,
            move |link, sender, receiver| {
                serve_stream(sync::Arc::clone(&shared), link, sender, receiver)
            },
        ));
        let mut ticks = task::JoinSet::new();
        ticks.spawn(run_ticks(sync::Arc::clone(&state)));
        ticks.spawn(run_admission_ticks(sync::Arc::clone(&state)));
        ticks.spawn(reaching::run(sync::Arc::clone(&state)));
        ticks.spawn(linking::run(sync::Arc::clone(&state)));
        log::info!(
            "node {} of {} listens on {listen}, callers on {}, announcements on {}",
            state.location.host,
            state.location.data_centre,
            callers.local_addr(),
            announce.local_addr(),
        );
        Ok(Node { state, endpoint, callers, announce, ready, serving, ticks })
    }

    /// The controls that the node knows.
    pub fn controls(&self) -> Controls {
        Controls(sync::Arc::downgrade(&self.state))
    }

    /// Explains where the node would send a request.
    pub fn explainer(&self) -> explaining::Explainer {
        explaining::Explainer::new(&self.state)
    }

    /// The address that other nodes and controls connect to.
    pub fn listen(&self) -> Result<net::SocketAddr> {
        Ok(self.endpoint.local_addr()?)
    }

    /// The address for callers' HTTP requests.
    pub fn callers(&self) -> net::SocketAddr {
        self.callers.local_addr()
    }

    /// The address for the backend server's announcements.
    pub fn announce(&self) -> net::SocketAddr {
        self.announce.local_addr()
    }

    /// Stops the node as planned: it reports itself as not ready and goes on serving for `linger`,
    /// then refuses new requests, reporting that they were not run, and waits for requests in
    /// flight. Takes at most about the `stop_limit` of the settings.
    pub async fn stop(mut self) {
        let limit = self.state.settings.stop_limit;
        let deadline = time::Instant::now() + limit;
        let answers = limit.saturating_sub(STOP_MARGIN);
        let stop_by = self.state.now() + answers;
        self.state.backend.lock().stop_by = Some(stop_by);
        self.state.stop_at.send_replace(Some(self.state.instant(stop_by)));
        // Load balancers send callers here until they have seen that the node is not ready. The
        // backend server keeps working meanwhile.
        time::sleep(self.state.settings.linger.min(limit)).await;
        let shared = sync::Arc::clone(&self.state);
        if self.state.pool.run(move || backend::drain(&shared)).await.is_err() {
            log::warn!(
                "worker queue is full; the drain was not announced, so other nodes learn of the \
                 stop only from refusals and silence"
            );
        }
        let callers =
            self.callers.stop(deadline.saturating_duration_since(time::Instant::now())).await;
        while self.state.in_flight.lock().len() > 0 && time::Instant::now() < deadline {
            time::sleep(STOP_CHECK_INTERVAL).await;
        }
        let time_left = || deadline.saturating_duration_since(time::Instant::now());
        let announce = self.announce.stop(time_left().min(std_time::Duration::from_secs(1))).await;
        if let Some(ready) = self.ready.take() {
            ready.stop(std_time::Duration::ZERO).await;
        }
        self.ticks.shutdown().await;
        // Closes the streams to controls, so that only streams of other nodes remain. A request
        // stops counting as in flight here before the other node has received the last bytes of its
        // answer.
        self.state.sessions.lock().outboxes.clear();
        let close_time = self.endpoint.backlog() + MAX_CLOSE_TIME;
        let closed = self.endpoint.close(time_left().min(close_time)).await;
        self.serving.shutdown().await;
        log::info!(
            "node stopped; callers' requests: {} finished, {} cut off; streams of other processes \
             closed: {}; announcements answered: {}",
            callers.finished,
            callers.aborted,
            closed.finished + closed.aborted,
            announce.finished,
        );
    }
}

async fn bind_callers(state: &sync::Arc<state::State>) -> Result<web::server::Server> {
    let shared = sync::Arc::clone(state);
    let router =
        web::routers::catch_all(move |request| callers::answer(sync::Arc::clone(&shared), request));
    let limits = web::server::Limits::default();
    Ok(web::server::Server::bind(state.settings.callers, limits, router).await?)
}

async fn bind_announce(state: &sync::Arc<state::State>) -> Result<web::server::Server> {
    let shared = sync::Arc::clone(state);
    let places = [
        (http::Method::POST, "/announce", backend::Command::Announce),
        (http::Method::POST, "/leave", backend::Command::Leave),
    ];
    let router = web::routers::fixed(&places, move |command, request| {
        backend::answer(sync::Arc::clone(&shared), command, request)
    });
    let limits = web::server::Limits::default();
    Ok(web::server::Server::bind(state.settings.announce, limits, router).await?)
}

/// Binds the port where load balancers ask whether the node serves callers, if one is set.
async fn bind_ready(state: &sync::Arc<state::State>) -> Result<Option<web::server::Server>> {
    let Some(addr) = state.settings.ready else { return Ok(None) };
    let shared = sync::Arc::clone(state);
    let router = web::routers::ready(move |_| std::future::ready(readiness(&shared)));
    Ok(Some(web::server::Server::bind(addr, web::server::Limits::default(), router).await?))
}

/// A node is ready while it runs a version of the configuration that it may route by, and is not
/// stopping.
fn readiness(state: &state::State) -> web::exchange::Response {
    let (status, text) = if state.backend.lock().stop_by.is_some() {
        (http::StatusCode::SERVICE_UNAVAILABLE, "stopping\n")
    } else if state.running().is_none() {
        (http::StatusCode::SERVICE_UNAVAILABLE, "no version of the configuration yet\n")
    } else if !state.configuration.lock().updater.is_ready(state.now()) {
        (http::StatusCode::SERVICE_UNAVAILABLE, "no control has confirmed the version yet\n")
    } else {
        (http::StatusCode::OK, "ready\n")
    };
    web::exchange::Response::text(status, text)
}

async fn serve_stream(
    state: sync::Arc<state::State>,
    link: links::Link,
    sender: transport::streams::Sender,
    mut receiver: transport::streams::Receiver,
) {
    let result = match receiver.recv::<streams::Open>().await {
        Ok(Some(open)) => serving::serve(&state, &link, open, sender, receiver).await,
        Ok(None) => Ok(()),
        Err(err) => Err(err),
    };
    if let Err(err) = result {
        log::debug!("stream of {} broke: {err}", link.host());
    }
}

async fn run_ticks(state: sync::Arc<state::State>) {
    let mut ticks = time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut count: u32 = 0;
    let mut recorded = RecordedLinks::default();
    loop {
        ticks.tick().await;
        count = count.wrapping_add(1);
        if let Some(duration) = state.clock.take_suspension() {
            log::warn!(
                "the machine was suspended for {duration:?}; what was known before is older"
            );
        }
        if count.is_multiple_of(HEARTBEAT_TICKS) {
            recorded = record_links(&state, recorded);
        }
        let shared = sync::Arc::clone(&state);
        let job = move || {
            attaching::tick(&shared);
            backend::tick(&shared);
            quotas::tick(&shared);
            if count.is_multiple_of(HEARTBEAT_TICKS) {
                attaching::heartbeat(&shared);
            }
            if count.is_multiple_of(ROLLOUT_TICKS) {
                rollouts::report(&shared);
            }
        };
        if state.pool.run(attaching::in_runtime(job)).await.is_err() {
            log::warn!(
                "worker queue is full; skipped a check of the configuration's and the backend \
                 server's timers"
            );
        }
    }
}

/// What was recorded of the node's links at the last heartbeat.
#[derive(Clone, Copy, Default)]
struct RecordedLinks {
    attempts: pool::Counts,
    traffic: links::Traffic,
    counts: wire::Counts,
}

/// Records in metrics and in the log what the node's links did since the last heartbeat.
fn record_links(state: &state::State, recorded: RecordedLinks) -> RecordedLinks {
    let attempts = state.links.counts();
    let endpoint = state.links.endpoint();
    let (open, traffic) = endpoint.traffic();
    let counts = endpoint.counts();
    let added = traffic.since(recorded.traffic);
    let sent = counts.since(recorded.counts);
    state.instruments.count_links(attempts.since(recorded.attempts));
    state.instruments.count_traffic(added);
    state.instruments.count_wire(sent);
    let promised = state.uplink.lock().promised();
    state.instruments.record_promised(promised);
    log::info!(
        target: "decision",
        "links open={open} sent_bytes={} received_bytes={} datagrams={} answers_bytes={} \
         requests_bytes={} control_bytes={} handshake_bytes={} other_bytes={} dropped_bytes={} resent_bytes={} \
         lost_packets={} backlog={:?} promised={promised:?} typical_round_trip={:?}",
        sent.sent,
        sent.received,
        sent.datagrams,
        sent.answers,
        sent.requests,
        sent.control,
        sent.handshakes,
        sent.other,
        sent.dropped,
        added.lost_bytes,
        added.lost,
        endpoint.backlog(),
        reaching::typical_round_trip(state),
    );
    RecordedLinks { attempts, traffic, counts }
}

/// Starts and refuses queued work when the timers of admission expire.
async fn run_admission_ticks(state: sync::Arc<state::State>) {
    loop {
        let shared = sync::Arc::clone(&state);
        let job = move || {
            let now = shared.now();
            let mut admission = shared.admission.lock();
            admission.tick(now);
            admission.next_deadline(now)
        };
        let Ok(next) = state.pool.run(job).await else {
            time::sleep(TICK_INTERVAL).await;
            continue;
        };
        let latest = state.now() + TICK_INTERVAL;
        let earliest = state.now() + MIN_ADMISSION_INTERVAL;
        time::sleep_until(state.instant(next.map_or(latest, |it| it.max(earliest)).min(latest)))
            .await;
    }
}
