//! A running node: its tasks, from start to planned stop.

use std::{net, sync, time as std_time};

use protocol::streams;
use tokio::{task, time};
use transport::{endpoint, errors, links, pool};

use crate::{attaching, backend, callers, instruments, reaching, serving, settings, state};

/// How often the versions, the backend server's lease and the gate do what is due.
const TICK: std_time::Duration = std_time::Duration::from_millis(50);
/// Ticks between two heartbeats of the registry.
const HEARTBEAT_TICKS: u32 = 20;
/// The longest time between two looks at the gate, which may have got an earlier timer meanwhile.
const GATE_TICK: std_time::Duration = std_time::Duration::from_millis(5);
/// How often a planned stop looks whether work is in flight.
const STOP_CHECK: std_time::Duration = std_time::Duration::from_millis(20);
/// How long a stop waits for answers that are on their way to other nodes. A node that cannot be
/// reached takes none, and would hold the stop up to its limit.
const LAST_ANSWERS: std_time::Duration = std_time::Duration::from_millis(500);

/// An error of this module.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The port for other processes cannot be used.
    #[error(transparent)]
    Link(#[from] errors::Error),
    /// A port for HTTP cannot be used.
    #[error(transparent)]
    Web(#[from] web::server::Error),
}

/// A result of this module.
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
    /// Do what is due.
    ticks: task::JoinSet<()>,
}

impl Node {
    /// Binds the ports and starts to serve.
    pub async fn spawn(
        mut settings: settings::Settings,
        identity: &transport::identity::Identity,
        instruments: instruments::Instruments,
    ) -> Result<Node> {
        let listen = settings.mesh.host(settings.me).map(|it| it.addr);
        let listen = listen.expect("the settings contain this host");
        let limits = transport::limits::Limits::default();
        let endpoint = endpoint::Endpoint::bind(listen, identity, limits)?;
        // With port 0 the system chooses; the others need to know the port.
        let listen = endpoint.local_addr()?;
        settings.listen(listen);
        let links = pool::LinkPool::new(endpoint.clone());
        let state = sync::Arc::new(state::State::new(settings, links, instruments));
        let callers = bind_callers(&state).await?;
        let announce = bind_announce(&state).await?;
        let ready = bind_ready(&state).await?;
        let mut serving = task::JoinSet::new();
        let shared = sync::Arc::clone(&state);
        serving.spawn(transport::serving::serve(
            endpoint.clone(),
            move |link, sender, receiver| {
                serve_stream(sync::Arc::clone(&shared), link, sender, receiver)
            },
        ));
        let mut ticks = task::JoinSet::new();
        ticks.spawn(tick(sync::Arc::clone(&state)));
        ticks.spawn(tick_gate(sync::Arc::clone(&state)));
        ticks.spawn(reaching::run(sync::Arc::clone(&state)));
        log::info!(
            "node {} of {} listens on {listen}, callers on {}, announcements on {}",
            state.place.host,
            state.place.data_centre,
            callers.local_addr(),
            announce.local_addr(),
        );
        Ok(Node { state, endpoint, callers, announce, ready, serving, ticks })
    }

    /// Where other processes connect.
    pub fn listen(&self) -> Result<net::SocketAddr> {
        Ok(self.endpoint.local_addr()?)
    }

    /// Where callers' requests arrive.
    pub fn callers(&self) -> net::SocketAddr {
        self.callers.local_addr()
    }

    /// Where the backend server announces itself.
    pub fn announce(&self) -> net::SocketAddr {
        self.announce.local_addr()
    }

    /// Ends the node as planned: new work is refused as not run, and requests in flight are
    /// finished, at most for the limit in the settings.
    pub async fn stop(mut self) {
        let limit = self.state.settings.stop_limit;
        let until = time::Instant::now() + limit;
        self.state.backend.lock().leaving = true;
        // Callers come on until whoever sends them here has seen that this node is not ready. Its
        // backend server goes on working meanwhile.
        time::sleep(self.state.settings.linger.min(limit)).await;
        let shared = sync::Arc::clone(&self.state);
        if self.state.pool.run(move || backend::drain(&shared)).await.is_err() {
            log::warn!("too much work; the drain of this node was not announced");
        }
        let callers =
            self.callers.stop(until.saturating_duration_since(time::Instant::now())).await;
        while self.state.flights.lock().len() > 0 && time::Instant::now() < until {
            time::sleep(STOP_CHECK).await;
        }
        let left = || until.saturating_duration_since(time::Instant::now());
        let announce = self.announce.stop(left().min(std_time::Duration::from_secs(1))).await;
        if let Some(ready) = self.ready.take() {
            ready.stop(std_time::Duration::ZERO).await;
        }
        self.ticks.shutdown().await;
        // Ends the streams to controls. What remains are answers on their way to other nodes: the
        // backend server is done with them before their last bytes have arrived there.
        self.state.sessions.lock().outboxes.clear();
        let closed = self.endpoint.close(left().min(LAST_ANSWERS)).await;
        self.serving.shutdown().await;
        log::info!(
            "node stopped; callers' requests: {} finished, {} cut off; streams closed: {}; \
             announcements: {}",
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
        (http::Method::POST, "/announce", backend::Word::Announce),
        (http::Method::POST, "/leave", backend::Word::Leave),
    ];
    let router = web::routers::fixed(&places, move |word, request| {
        backend::answer(sync::Arc::clone(&shared), word, request)
    });
    let limits = web::server::Limits::default();
    Ok(web::server::Server::bind(state.settings.announce, limits, router).await?)
}

/// Tells whoever sends callers here whether the node serves them.
async fn bind_ready(state: &sync::Arc<state::State>) -> Result<Option<web::server::Server>> {
    let Some(addr) = state.settings.ready else { return Ok(None) };
    let shared = sync::Arc::clone(state);
    let router = web::routers::ready(move |_| std::future::ready(readiness(&shared)));
    Ok(Some(web::server::Server::bind(addr, web::server::Limits::default(), router).await?))
}

/// A node is ready when it runs a version, which it has from a control, and is not stopping.
fn readiness(state: &state::State) -> web::exchange::Response {
    let (status, text) = if state.backend.lock().leaving {
        (http::StatusCode::SERVICE_UNAVAILABLE, "stopping\n")
    } else if state.running().is_none() {
        (http::StatusCode::SERVICE_UNAVAILABLE, "no version of the configuration yet\n")
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
        Ok(Some(open)) => serving::serve(&state, open, sender, receiver).await,
        Ok(None) => Ok(()),
        Err(err) => Err(err),
    };
    if let Err(err) = result {
        log::debug!("stream of {} ended: {err}", link.host());
    }
}

async fn tick(state: sync::Arc<state::State>) {
    let mut ticks = time::interval(TICK);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut count: u32 = 0;
    loop {
        ticks.tick().await;
        count = count.wrapping_add(1);
        let shared = sync::Arc::clone(&state);
        let job = move || {
            attaching::tick(&shared);
            backend::tick(&shared);
            if count.is_multiple_of(HEARTBEAT_TICKS) {
                attaching::heartbeat(&shared);
            }
        };
        if state.pool.run(attaching::in_runtime(job)).await.is_err() {
            log::warn!("too much work; a tick was left out");
        }
    }
}

/// Lets the gate refuse and start waiting work when its timers are due.
async fn tick_gate(state: sync::Arc<state::State>) {
    loop {
        let shared = sync::Arc::clone(&state);
        let job = move || {
            let now = shared.now();
            let mut gates = shared.admission.lock();
            gates.tick(now);
            gates.next_deadline(now)
        };
        let Ok(next) = state.pool.run(job).await else {
            time::sleep(TICK).await;
            continue;
        };
        let idle = state.now() + TICK;
        let soon = state.now() + GATE_TICK;
        time::sleep_until(state.instant(next.map_or(idle, |it| it.max(soon)).min(idle))).await;
    }
}
