//! A running control: startup, background tasks and graceful shutdown.

use std::{net, path, sync, time as std_time};

use protocol::{operators, proposals, streams};
use replicated::claims;
use tokio::{sync::mpsc, task, time};
use transport::{endpoint, errors, links, pool, serving};
use world::hosts;

use crate::{
    attaching, controls, departing, directory, distributing, groups, http, instruments, peers,
    proposing, quotas, registering, replica, rollouts, settings, state,
};

/// Interval between ticks of the groups, well below their heartbeat interval of 200 ms.
const GROUP_TICK_INTERVAL: std_time::Duration = std_time::Duration::from_millis(25);
/// Interval between runs of the timers of the registry, the distributor and the claims.
const MAINTENANCE_INTERVAL: std_time::Duration = std_time::Duration::from_millis(500);
/// A wait for such a run that takes this long means that the process did not run meanwhile.
const MIN_PAUSE: std_time::Duration = std_time::Duration::from_secs(2);

/// An error from starting a control or reading its address.
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
    /// The endpoint for other processes cannot be opened, or its address cannot be read.
    #[error(transparent)]
    Link(#[from] errors::Error),
    /// A log cannot be opened, or the state in it cannot be decoded.
    #[error(transparent)]
    Replica(#[from] replica::Error),
    /// The operators' address cannot be bound.
    #[error(transparent)]
    Web(#[from] web::server::Error),
}

/// The result of starting a control or reading its address.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A running control. [`Control::stop`] stops it gracefully; dropping it aborts its tasks.
pub struct Control {
    state: sync::Arc<state::State>,
    endpoint: endpoint::Endpoint,
    operators: web::server::Server,
    tasks: task::JoinSet<()>,
}

/// The other controls that a running control knows, for the process to add some that the seeds
/// name. It outlives the control without effect.
#[derive(Clone)]
pub struct Peers(sync::Weak<state::State>);

impl Peers {
    /// Whether the control knows a leader of the configuration group; none after its stop, or when
    /// the workers' queue is full.
    pub async fn knows_leader(&self) -> Option<bool> {
        let state = self.0.upgrade()?;
        let shared = sync::Arc::clone(&state);
        let job = move || {
            let now = shared.now();
            shared.configuration_replica.lock().group().status(now).leader.is_some()
        };
        state.pool.run(job).await.ok()
    }

    /// Connects to the controls among these that are not known by name. They learn of this one by
    /// that. Nothing proves the records before a link is open, so no known address is replaced.
    pub async fn add(&self, records: Vec<operators::ControlRecord>) {
        let Some(state) = self.0.upgrade().filter(|_| !records.is_empty()) else { return };
        let shared = sync::Arc::clone(&state);
        let job = move || {
            let now = shared.now();
            let mut directory = shared.directory.lock();
            for record in &records {
                if directory.addr(&record.name).is_none() {
                    directory.introduce(now, record);
                }
            }
        };
        if state.pool.run(job).await.is_err() {
            log::warn!("worker queue is full; the controls that the seeds named were not added");
        }
    }
}

impl Control {
    /// Opens the logs, binds the ports and starts the tasks of a control.
    ///
    /// Fails when the data folder cannot be created, a log cannot be opened or a port cannot be
    /// bound.
    pub async fn spawn(
        settings: settings::Settings,
        identity: &transport::identity::Identity,
        instruments: instruments::Instruments,
    ) -> Result<Control> {
        let folder = settings.data_folder.clone();
        std::fs::create_dir_all(&folder).map_err(|source| Error::Folder { folder, source })?;
        let listen = settings.mesh.host(settings.me).map(|it| it.addr);
        let listen = listen.expect("the settings contain this host");
        let limits = transport::limits::Limits::default();
        let endpoint = endpoint::Endpoint::bind(listen, identity, limits)?;
        let (new_peers, peers) = mpsc::unbounded_channel();
        let links = pool::LinkPool::new(endpoint.clone());
        let state = sync::Arc::new(state::State::open(settings, links, new_peers, instruments)?);
        quotas::follow(&state);
        controls::follow(&state);
        let operators = bind_operators(&state).await?;
        let mut tasks = task::JoinSet::new();
        tasks.spawn(send_to_peers(sync::Arc::clone(&state), peers));
        tasks.spawn(controls::maintain(sync::Arc::clone(&state)));
        let shared = sync::Arc::clone(&state);
        tasks.spawn(serving::serve(endpoint.clone(), move |link, sender, receiver| {
            serve_stream(sync::Arc::clone(&shared), link, sender, receiver)
        }));
        tasks.spawn(tick_groups(sync::Arc::clone(&state)));
        tasks.spawn(run_maintenance(sync::Arc::clone(&state)));
        tasks.spawn(departing::run(sync::Arc::clone(&state)));
        tasks.spawn(rollouts::run(sync::Arc::clone(&state)));
        let location = &state.location;
        log::info!("control {} of {} listens on {listen}", location.host, location.data_centre);
        Ok(Control { state, endpoint, operators, tasks })
    }

    /// The other controls that this one knows.
    pub fn peers(&self) -> Peers {
        Peers(sync::Arc::downgrade(&self.state))
    }

    /// The address on which other processes connect.
    pub fn listen(&self) -> Result<net::SocketAddr> {
        Ok(self.endpoint.local_addr()?)
    }

    /// The address of the operators' HTTP server.
    pub fn operators_addr(&self) -> net::SocketAddr {
        self.operators.local_addr()
    }

    /// Stops the control: hands its seats over if another control can take them, lets operators'
    /// requests in flight finish, for at most [`stop_limit`](settings::Settings::stop_limit), then
    /// ends all tasks, closes the logs and closes the streams of other processes at once.
    pub async fn stop(mut self) {
        controls::hand_over(&self.state).await;
        let limit = self.state.settings.stop_limit;
        let stopped = self.operators.stop(limit).await;
        log::info!(
            "closed the operators' port; {} requests finished, {} were cut off by the stop limit",
            stopped.finished,
            stopped.aborted,
        );
        self.tasks.shutdown().await;
        // Jobs that still run hold references to the state, so the files are closed here and not
        // when the state is dropped. Another process can then open them at once.
        let shared = sync::Arc::clone(&self.state);
        if self.state.pool.run(move || groups::close_logs(&shared)).await.is_err() {
            log::warn!(
                "the logs were not closed, since the worker pool's queue is full or the job \
                 failed; their files stay open until the process ends",
            );
        }
        // Other processes resend whatever is lost with their streams, so these are closed without
        // a grace period.
        let closed = self.endpoint.close(std_time::Duration::ZERO).await;
        log::info!("control stopped; {} streams closed", closed.finished + closed.aborted);
    }
}

/// Sends the queued messages to each other control, in a task for each, until it is aborted.
async fn send_to_peers(
    state: sync::Arc<state::State>,
    mut new_peers: mpsc::UnboundedReceiver<directory::NewPeer>,
) {
    let mut tasks = task::JoinSet::new();
    while let Some((host, queue)) = new_peers.recv().await {
        tasks.spawn(peers::send(sync::Arc::clone(&state), host, queue));
        while tasks.try_join_next().is_some() {}
    }
}

async fn bind_operators(state: &sync::Arc<state::State>) -> Result<web::server::Server> {
    let shared = sync::Arc::clone(state);
    let router =
        web::routers::catch_all(move |request| http::handle(sync::Arc::clone(&shared), request));
    let limits = web::server::Limits::default();
    Ok(web::server::Server::bind(state.settings.operators_addr, limits, router).await?)
}

async fn serve_stream(
    state: sync::Arc<state::State>,
    link: links::Link,
    sender: transport::streams::Sender,
    mut receiver: transport::streams::Receiver,
) {
    let result = match receiver.recv().await {
        Ok(Some(open)) => dispatch_stream(&state, &link, open, sender, receiver).await,
        Ok(None) => Ok(()),
        Err(err) => Err(err),
    };
    if let Err(err) = result {
        log::debug!("the stream from {} ended with an error: {err}", link.host());
    }
}

async fn dispatch_stream(
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
            peers::receive(state, link, &mut receiver).await
        }
        (streams::Open::Propose(request), role) => {
            let outcome = match role {
                hosts::Role::Control => propose_for_control(state, link, request).await,
                hosts::Role::Node => propose_for_node(state, link.host(), request).await,
            };
            sender.send(&outcome).await?;
            sender.finish()
        }
        (open, role) => {
            log::warn!(
                "reset a stream from {}: its role {role:?} may not open a stream of this kind: {}",
                link.host(),
                open.kind(),
            );
            sender.reset();
            Ok(())
        }
    }
}

/// Proposes a change for another control, which finds the leader itself. Of the list of controls it
/// may change nothing but its own place.
async fn propose_for_control(
    state: &sync::Arc<state::State>,
    link: &links::Link,
    request: proposals::Proposal,
) -> proposals::Outcome {
    if let proposals::Proposal::Controls(command) = &request
        && !controls::may_propose(command, link.host())
    {
        log::warn!("refused a change of the controls that {} proposed", link.host());
        return proposals::Outcome::Unavailable;
    }
    proposing::propose_locally(state, request).await
}

/// Proposes a claim or evidence for a node. Refuses patches, since only operators may change the
/// configuration, and changes of the controls and of rollouts.
async fn propose_for_node(
    state: &sync::Arc<state::State>,
    host: &str,
    request: proposals::Proposal,
) -> proposals::Outcome {
    if matches!(request, proposals::Proposal::Patch(_)) {
        log::warn!("refused a patch that node {host} proposed; patches come from operators only");
        return proposals::Outcome::Unavailable;
    }
    if matches!(request, proposals::Proposal::Controls(_)) {
        log::warn!("refused a change of the controls that node {host} proposed");
        return proposals::Outcome::Unavailable;
    }
    if matches!(request, proposals::Proposal::Rollout(_)) {
        log::warn!("refused a change of a rollout that node {host} proposed");
        return proposals::Outcome::Unavailable;
    }
    let is_claim = matches!(
        &request,
        proposals::Proposal::Claim(it) if matches!(it.action, claims::Action::Claim { .. })
    );
    let outcome = proposing::propose(state, request).await;
    if is_claim {
        state.instruments.count_claim(instruments::ClaimAnswer::from_outcome(&outcome));
    }
    outcome
}

async fn tick_groups(state: sync::Arc<state::State>) {
    let mut interval = tick_interval(GROUP_TICK_INTERVAL);
    loop {
        interval.tick().await;
        if let Some(duration) = state.clock.take_suspension() {
            log::warn!(
                "the machine was suspended for {duration:?}; what was known before is older"
            );
        }
        let shared = sync::Arc::clone(&state);
        // Waiting for the job keeps ticks from queueing up behind a slow disk.
        if state.pool.run(move || groups::tick(&shared)).await.is_err() {
            log::warn!(
                "skipped a tick of the groups, since the worker pool's queue is full or the job \
                 failed; heartbeats may be late and cause an election",
            );
        }
    }
}

async fn run_maintenance(state: sync::Arc<state::State>) {
    let mut interval = tick_interval(MAINTENANCE_INTERVAL);
    loop {
        let waiting_since = state.now();
        interval.tick().await;
        let shared = sync::Arc::clone(&state);
        let job = move || {
            let pause = shared.now().since(waiting_since);
            if pause >= MIN_PAUSE {
                registering::resume(&shared, pause);
            }
            registering::tick(&shared);
            registering::send_report(&shared);
            registering::record_metrics(&shared);
            quotas::record_metrics(&shared);
            distributing::tick(&shared);
            distributing::publish_statuses(&shared);
            groups::expire_claims(&shared);
            groups::record_caught_up(&shared);
            if distributing::needs_catch_up_read(&shared) {
                groups::confirm_read(&shared, distributing::ReadRequester::Control);
            }
        };
        if state.pool.run(job).await.is_err() {
            log::warn!(
                "skipped a maintenance tick, since the worker pool's queue is full or the job \
                 failed; leases, reports and expired claims are handled with the next one",
            );
        }
        attaching::propose_pending_evidence(&state).await;
    }
}

fn tick_interval(period: std_time::Duration) -> time::Interval {
    let mut interval = time::interval(period);
    interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    interval
}
