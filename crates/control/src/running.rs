//! A running control: its tasks, from start to planned stop.

use std::{collections, net, path, sync, time as std_time};

use protocol::{proposals, streams};
use replicated::claims;
use tokio::{sync::mpsc, task, time};
use transport::{endpoint, errors, links, pool, serving};
use world::hosts;

use crate::{
    attaching, distributing, groups, http, instruments, peers, proposing, registering, replica,
    settings, state,
};

/// How often the logs are stepped. It is well below the heartbeat of 200 ms.
const GROUP_TICK: std_time::Duration = std_time::Duration::from_millis(25);
/// How often the registry and the relay do what is due.
const SLOW_TICK: std_time::Duration = std_time::Duration::from_millis(500);

/// An error of this module.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The data folder cannot be created.
    #[error(
        "cannot create the data folder {folder}: {source}\nnext: correct [control] data, or the permissions of the folder above"
    )]
    Folder {
        /// The folder.
        folder: path::PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The port for other processes cannot be used.
    #[error(transparent)]
    Link(#[from] errors::Error),
    /// A log cannot be opened.
    #[error(transparent)]
    Replica(#[from] replica::Error),
    /// The operators' port cannot be used.
    #[error(transparent)]
    Web(#[from] web::server::Error),
}

/// A result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A running control. [`Control::stop`] ends it as planned; dropping it ends it at once.
pub struct Control {
    state: sync::Arc<state::State>,
    endpoint: endpoint::Endpoint,
    operators: web::server::Server,
    tasks: task::JoinSet<()>,
}

impl Control {
    /// Opens the logs, binds the ports and starts to serve.
    pub async fn spawn(
        settings: settings::Settings,
        identity: &transport::identity::Identity,
        instruments: instruments::Instruments,
    ) -> Result<Control> {
        let folder = settings.data.clone();
        std::fs::create_dir_all(&folder).map_err(|source| Error::Folder { folder, source })?;
        let listen = settings.mesh.host(settings.me).map(|it| it.addr);
        let listen = listen.expect("the settings contain this host");
        let limits = transport::limits::Limits::default();
        let endpoint = endpoint::Endpoint::bind(listen, identity, limits)?;
        let (outboxes, queues) = peer_queues(&settings);
        let links = pool::LinkPool::new(endpoint.clone());
        let state = sync::Arc::new(state::State::open(settings, links, outboxes, instruments)?);
        let operators = bind_operators(&state).await?;
        let mut tasks = task::JoinSet::new();
        for (host, queue) in queues {
            tasks.spawn(peers::send(sync::Arc::clone(&state), host, queue));
        }
        let shared = sync::Arc::clone(&state);
        tasks.spawn(serving::serve(endpoint.clone(), move |link, sender, receiver| {
            serve_stream(sync::Arc::clone(&shared), link, sender, receiver)
        }));
        tasks.spawn(tick_groups(sync::Arc::clone(&state)));
        tasks.spawn(tick_slowly(sync::Arc::clone(&state)));
        let place = &state.place;
        log::info!("control {} of {} listens on {listen}", place.host, place.data_centre);
        Ok(Control { state, endpoint, operators, tasks })
    }

    /// Where other processes connect.
    pub fn listen(&self) -> Result<net::SocketAddr> {
        Ok(self.endpoint.local_addr()?)
    }

    /// Where operators' requests arrive.
    pub fn operators(&self) -> net::SocketAddr {
        self.operators.local_addr()
    }

    /// Ends the control as planned: requests of operators and streams in flight are finished, at
    /// most for the limit in the settings.
    pub async fn stop(mut self) {
        let limit = self.state.settings.stop_limit;
        let stopped = self.operators.stop(limit).await;
        log::info!(
            "operators' port closed; {} requests finished, {} cut off",
            stopped.finished,
            stopped.aborted,
        );
        self.tasks.shutdown().await;
        // A job that still runs holds the state for a moment longer; the files are free at once.
        let shared = sync::Arc::clone(&self.state);
        if self.state.pool.run(move || groups::close(&shared)).await.is_err() {
            log::warn!("too much work; the files are given free with the process");
        }
        // Streams between processes carry nothing that their owners do not send again.
        let closed = self.endpoint.close(std_time::Duration::ZERO).await;
        log::info!("control stopped; {} streams closed", closed.finished + closed.aborted);
    }
}

type PeerQueues = Vec<(compact_str::CompactString, mpsc::Receiver<streams::PeerMessage>)>;

fn peer_queues(
    settings: &settings::Settings,
) -> (
    collections::BTreeMap<compact_str::CompactString, mpsc::Sender<streams::PeerMessage>>,
    PeerQueues,
) {
    let mut outboxes = collections::BTreeMap::new();
    let mut queues = Vec::new();
    for (key, host) in settings.mesh.hosts() {
        if key != settings.me && host.role == hosts::Role::Control {
            let (outbox, queue) = mpsc::channel(state::PEER_QUEUE);
            outboxes.insert(host.name.clone(), outbox);
            queues.push((host.name.clone(), queue));
        }
    }
    (outboxes, queues)
}

async fn bind_operators(state: &sync::Arc<state::State>) -> Result<web::server::Server> {
    let shared = sync::Arc::clone(state);
    let router =
        web::routers::catch_all(move |request| http::answer(sync::Arc::clone(&shared), request));
    let limits = web::server::Limits::default();
    Ok(web::server::Server::bind(state.settings.operators, limits, router).await?)
}

async fn serve_stream(
    state: sync::Arc<state::State>,
    link: links::Link,
    sender: transport::streams::Sender,
    mut receiver: transport::streams::Receiver,
) {
    let result = match receiver.recv().await {
        Ok(Some(open)) => serve_open(&state, &link, open, sender, receiver).await,
        Ok(None) => Ok(()),
        Err(err) => Err(err),
    };
    if let Err(err) = result {
        log::debug!("stream of {} ended: {err}", link.host());
    }
}

async fn serve_open(
    state: &sync::Arc<state::State>,
    link: &links::Link,
    open: streams::Open,
    mut sender: transport::streams::Sender,
    mut receiver: transport::streams::Receiver,
) -> errors::Result<()> {
    match (open, link.role()) {
        (streams::Open::Attach, hosts::Role::Node) => {
            attaching::serve(state, link, sender, receiver).await
        }
        (streams::Open::Peer, hosts::Role::Control) => {
            peers::receive(state, link.host(), &mut receiver).await
        }
        (streams::Open::Propose(request), role) => {
            let outcome = match role {
                // A control has looked for the leader itself; a node leaves that to its control.
                hosts::Role::Control => proposing::propose_here(state, request).await,
                hosts::Role::Node => propose_for_node(state, link.host(), request).await,
            };
            sender.send(&outcome).await?;
            sender.finish()
        }
        (open, role) => {
            log::warn!("{} with role {role:?} opened a stream for {open:?}", link.host());
            sender.reset();
            Ok(())
        }
    }
}

/// A node claims and reports; only operators change the configuration.
async fn propose_for_node(
    state: &sync::Arc<state::State>,
    host: &str,
    request: proposals::Request,
) -> proposals::Outcome {
    if matches!(request, proposals::Request::Patch(_)) {
        log::warn!("refused a patch that node {host} proposed; patches come from operators only");
        return proposals::Outcome::Unavailable;
    }
    let claims = matches!(
        &request,
        proposals::Request::Claim(it) if matches!(it.action, claims::Action::Claim { .. })
    );
    let outcome = proposing::propose(state, request).await;
    if claims {
        state.instruments.count_claim(instruments::ClaimAnswer::of(&outcome));
    }
    outcome
}

async fn tick_groups(state: sync::Arc<state::State>) {
    let mut ticks = ticks(GROUP_TICK);
    loop {
        ticks.tick().await;
        let shared = sync::Arc::clone(&state);
        // Waiting for the job keeps ticks from piling up behind a slow disk.
        if state.pool.run(move || groups::tick(&shared)).await.is_err() {
            log::warn!("too much work; a tick of the logs was left out");
        }
    }
}

async fn tick_slowly(state: sync::Arc<state::State>) {
    let mut ticks = ticks(SLOW_TICK);
    loop {
        ticks.tick().await;
        let shared = sync::Arc::clone(&state);
        let job = move || {
            registering::tick(&shared);
            registering::report(&shared);
            registering::measure(&shared);
            distributing::tick(&shared);
            distributing::publish_standings(&shared);
            groups::expire_claims(&shared);
            groups::keep_caught_up(&shared);
            if distributing::is_catching_up(&shared) {
                groups::confirm_read(&shared, distributing::Reader::Control);
            }
        };
        if state.pool.run(job).await.is_err() {
            log::warn!("too much work; a tick of the registry was left out");
        }
        attaching::propose_evidence(&state).await;
    }
}

fn ticks(period: std_time::Duration) -> time::Interval {
    let mut ticks = time::interval(period);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    ticks
}
