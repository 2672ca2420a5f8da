//! The shared state of a node: its tables, and the order in which they are locked.

use std::{collections, net, sync};

use admission::{callees, downlink, uplink};
use compact_str::CompactString;
use distribution::{attach, updater};
use membership::{directory, local_target};
use protocol::{forwarding, streams};
use rand::{SeedableRng as _, rngs};
use routing::{balancer, budget, hedge, prober, returns, spillover, throttle};
use tables::{clock, pool, rank, table};
use tokio::sync::mpsc;
use world::{config, contracts, document, log_limits, mesh, requests, time};

use crate::{
    bodies, controls, dialect, in_flight, instruments, linking, quotas, rollouts, settings, slots,
    suspects,
};

// A table may be locked only while all tables that are held have lower ranks.

const CONFIGURATION: rank::Rank = rank::Rank(10);
const MESH: rank::Rank = rank::Rank(15);
const DIRECTORY: rank::Rank = rank::Rank(20);
const BACKEND: rank::Rank = rank::Rank(25);
const ROUTING: rank::Rank = rank::Rank(30);
const QUOTAS: rank::Rank = rank::Rank(35);
const ADMISSION: rank::Rank = rank::Rank(40);
const DOWNLINK: rank::Rank = rank::Rank(45);
const UPLINK: rank::Rank = rank::Rank(47);
const IN_FLIGHT: rank::Rank = rank::Rank(50);
const CALLEES: rank::Rank = rank::Rank(55);
const SUSPECTS: rank::Rank = rank::Rank(60);
const SESSIONS: rank::Rank = rank::Rank(70);

/// The state that a node's tasks and workers share.
pub(crate) struct State {
    pub(crate) settings: settings::Settings,
    pub(crate) location: Location,
    pub(crate) pool: pool::Pool,
    pub(crate) links: transport::pool::LinkPool,
    pub(crate) client: web::client::Client,
    /// The memory for answers that are read ahead.
    pub(crate) buffers: bodies::Buffers,
    /// The memory for the bodies of requests, of this host's callers and of other nodes.
    pub(crate) request_bodies: bodies::Buffers,
    pub(crate) instruments: instruments::Instruments,
    pub(crate) configuration: table::Table<Configuration>,
    /// The mesh of the settings, with the controls as the node knows them now.
    pub(crate) mesh: table::Table<mesh::Mesh>,
    pub(crate) directory: table::Table<directory::Directory>,
    pub(crate) backend: table::Table<Backend>,
    pub(crate) routing: table::Table<Routing>,
    /// The tokens of the quotas of teams.
    pub(crate) quotas: table::Table<quotas::Quotas>,
    pub(crate) admission: table::Table<slots::LocalController>,
    /// The bodies that other nodes are sending to this host.
    pub(crate) downlink: table::Table<downlink::Downlink>,
    /// What answers take of the host's network link.
    pub(crate) uplink: table::Table<uplink::Uplink>,
    pub(crate) in_flight: table::Table<in_flight::Requests>,
    /// Which services the requests that run here call, and the pressure there.
    pub(crate) callees: table::Table<callees::Callees>,
    pub(crate) suspects: table::Table<suspects::Suspects>,
    pub(crate) sessions: table::Table<Sessions>,
    /// Wakes the announcements that wait until a control has recorded the entry of the backend
    /// server.
    pub(crate) registered: tokio::sync::Notify,
    /// Wakes the requests that wait for a confirmation of the running version.
    pub(crate) acknowledged: tokio::sync::Notify,
    /// Wakes the requests that wait for a token of their team's quota.
    pub(crate) tokens_arrived: tokio::sync::Notify,
    /// When requests that are still in progress are answered by the node, once a planned stop has
    /// begun.
    pub(crate) stop_at: tokio::sync::watch::Sender<Option<tokio::time::Instant>>,
    /// Wakes the task that probes unresponsive hosts when a probe may be due earlier than it knows.
    pub(crate) probe_wakeup: sync::Arc<tokio::sync::Notify>,
    pub(crate) clock: clock::Clock,
    /// A random number that tells this process from the former ones of the node.
    pub(crate) epoch: u32,
}

/// The node's host and data centre.
#[derive(Clone, Debug)]
pub(crate) struct Location {
    pub(crate) host: CompactString,
    pub(crate) data_centre: CompactString,
    pub(crate) centre_key: world::data_centres::DataCentreKey,
}

/// The version of the configuration that the node runs, and the updater that gets the next one.
pub(crate) struct Configuration {
    pub(crate) updater: updater::Updater,
    pub(crate) running: Option<sync::Arc<config::Config>>,
    /// The floor token for the next answer to an announcement.
    pub(crate) floor_token: Option<CompactString>,
    pub(crate) rng: rngs::StdRng,
}

/// The backend server of this host.
pub(crate) struct Backend {
    pub(crate) local: local_target::LocalTarget,
    /// The address that it listens on; none before its first announcement.
    pub(crate) addr: Option<net::SocketAddr>,
    /// Whether one of its announcements has named its start.
    pub(crate) dated: bool,
    /// The name under which it announced itself, or empty.
    pub(crate) instance: CompactString,
    /// What it said of itself in its last answer.
    pub(crate) notice: dialect::Notice,
    /// Limits the log lines about refused announcements.
    pub(crate) refusals: log_limits::LogLimit,
    /// By when requests have to be answered, once a planned stop has begun. The node is not ready
    /// any more, but still serves.
    pub(crate) stop_by: Option<time::Time>,
    /// Whether the node refuses new work, after the linger time of a planned stop.
    pub(crate) stopping: bool,
}

/// What the choice of targets and the retries depend on.
pub(crate) struct Routing {
    pub(crate) balancer: balancer::Balancer,
    /// The targets whose hosts are probed.
    pub(crate) prober: prober::Prober,
    /// The targets that this node uses, and the links that it opens to them.
    pub(crate) links: linking::Links,
    /// Retries and hedges of a service, as a percentage of the requests for it.
    pub(crate) retry_percent: u32,
    /// The recent attempts at each service, which limit its retries and hedges.
    pub(crate) retry_limiters: collections::HashMap<CompactString, budget::RetryLimiter>,
    /// The recent outcomes of each service's sends to other hosts, which limit further ones.
    pub(crate) throttles: collections::HashMap<CompactString, throttle::Throttle>,
    /// How much of each service's load leaves the data centre.
    pub(crate) spillovers: collections::HashMap<CompactString, spillover::Spillover>,
    /// The recent requests of each service's callers and the returns that were promised to them.
    pub(crate) returns: collections::HashMap<CompactString, returns::Ledger>,
    /// The latencies of routes that allow hedges.
    pub(crate) latencies: collections::HashMap<contracts::RouteKey, hedge::LatencyHistogram>,
    /// The software versions that services move to.
    pub(crate) rollouts: rollouts::Followers,
    /// Counts the requests of routes that are split among services, from a random start.
    pub(crate) split_counter: u64,
    pub(crate) rng: rngs::SmallRng,
}

/// The sessions with controls.
#[derive(Default)]
pub(crate) struct Sessions {
    pub(crate) outboxes:
        collections::BTreeMap<attach::ControlKey, mpsc::Sender<streams::NodeMessage>>,
    /// The control that the node is attached to, if any.
    pub(crate) attached: Option<attach::ControlKey>,
}

impl State {
    /// The state of a node that has just started.
    pub(crate) fn new(
        settings: settings::Settings,
        links: transport::pool::LinkPool,
        instruments: instruments::Instruments,
    ) -> State {
        let clock = clock::Clock::start();
        let location = Location::of(&settings);
        let updater = updater::Updater::new(
            updater::Settings {
                node: location.host.clone(),
                data_centre: location.data_centre.clone(),
                level: document::LEVEL,
                epoch: rand::random(),
                tokens: settings.floor_tokens,
            },
            controls::attachment(&settings.mesh, &location),
            clock.now(),
        );
        let configuration = Configuration {
            updater,
            running: None,
            floor_token: None,
            rng: rngs::StdRng::from_os_rng(),
        };
        let toggles = membership::toggles::Toggles::default();
        let directory = directory::Directory::new(location.data_centre.clone(), toggles);
        let addr = settings.mesh.host(settings.me).map(|it| it.addr);
        let own_location = local_target::Location {
            host: location.host.clone(),
            data_centre: location.data_centre.clone(),
            addr: addr.expect("the settings contain this host"),
        };
        let controls = configuration.updater.attachment();
        let home = controls.keys().next().and_then(|it| controls.control(it));
        let home = home.map(|it| it.name.clone()).unwrap_or_default();
        let mut local = local_target::LocalTarget::new(own_location, home, toggles);
        local.set_lease(settings.lease);
        let policy = settings.policy;
        let routing = Routing {
            balancer: balancer::Balancer::new(policy, routing::toggles::Toggles::default()),
            prober: prober::Prober::new(rand::random()),
            links: linking::Links::default(),
            retry_percent: settings.retry_percent,
            retry_limiters: collections::HashMap::new(),
            throttles: collections::HashMap::new(),
            spillovers: collections::HashMap::new(),
            returns: collections::HashMap::new(),
            latencies: collections::HashMap::new(),
            rollouts: rollouts::Followers::default(),
            split_counter: rand::random(),
            rng: rngs::SmallRng::from_os_rng(),
        };
        let backend = Backend {
            local,
            addr: None,
            dated: false,
            instance: "".into(),
            notice: dialect::Notice::default(),
            refusals: log_limits::LogLimit::default(),
            stop_by: None,
            stopping: false,
        };
        let suspects = suspects::Suspects::default();
        let downlink = downlink::Downlink::new(links.endpoint().message_rate());
        let uplink = uplink::Uplink::new(links.endpoint().paced_rate());
        State {
            pool: pool::Pool::spawn(settings.workers, 16_384),
            links,
            client: web::client::Client::new(web::client::Limits::default()),
            buffers: bodies::Buffers::for_answers(),
            request_bodies: bodies::Buffers::with_bytes(settings.body_memory),
            instruments,
            configuration: table::Table::new(CONFIGURATION, "configuration", configuration),
            mesh: table::Table::new(MESH, "mesh", settings.mesh.clone()),
            directory: table::Table::new(DIRECTORY, "directory", directory),
            backend: table::Table::new(BACKEND, "backend server", backend),
            routing: table::Table::new(ROUTING, "routing", routing),
            quotas: table::Table::new(QUOTAS, "quotas", quotas::Quotas::default()),
            admission: table::Table::new(ADMISSION, "admission", slots::LocalController::closed()),
            downlink: table::Table::new(DOWNLINK, "downlink", downlink),
            uplink: table::Table::new(UPLINK, "uplink", uplink),
            in_flight: table::Table::new(
                IN_FLIGHT,
                "requests in flight",
                in_flight::Requests::default(),
            ),
            callees: table::Table::new(CALLEES, "callees", callees::Callees::default()),
            suspects: table::Table::new(SUSPECTS, "suspicion", suspects),
            sessions: table::Table::new(SESSIONS, "sessions", Sessions::default()),
            acknowledged: tokio::sync::Notify::new(),
            tokens_arrived: tokio::sync::Notify::new(),
            registered: tokio::sync::Notify::new(),
            stop_at: tokio::sync::watch::channel(None).0,
            probe_wakeup: sync::Arc::default(),
            clock,
            epoch: rand::random(),
            settings,
            location,
        }
    }

    /// The time on this process's clock.
    pub(crate) fn now(&self) -> time::Time {
        self.clock.now()
    }

    /// Converts a time of this node to an instant for tokio's timers.
    pub(crate) fn instant(&self, at: time::Time) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.clock.instant(at))
    }

    /// The version of the configuration that the node runs, if any. Version 0, the empty document
    /// from before the first configuration, counts as none: it would deny all requests for good.
    pub(crate) fn running(&self) -> Option<sync::Arc<config::Config>> {
        let running = self.configuration.lock().running.clone();
        running.filter(|it| it.version() > document::Version::default())
    }

    /// Queues a message for the control that the node is attached to. Returns false when there is
    /// none or its queue is full; the message is dropped then.
    pub(crate) fn send_control(&self, message: streams::NodeMessage) -> bool {
        let sessions = self.sessions.lock();
        let Some(control) = sessions.attached else { return false };
        let Some(outbox) = sessions.outboxes.get(&control) else { return false };
        outbox.try_send(message).is_ok()
    }
}

impl Routing {
    /// The recent attempts at a service, which limit its retries and hedges.
    pub(crate) fn retry_limiter(&mut self, service: &CompactString) -> &mut budget::RetryLimiter {
        let percent = self.retry_percent;
        self.retry_limiters
            .entry(service.clone())
            .or_insert_with(|| budget::RetryLimiter::new(percent))
    }

    /// The recent outcomes of sends to a service, which limit further ones.
    pub(crate) fn throttle(&mut self, service: &CompactString) -> &mut throttle::Throttle {
        self.throttles.entry(service.clone()).or_default()
    }

    /// The recent requests of a service's callers, and the returns that were promised to them.
    pub(crate) fn returns(&mut self, service: &CompactString) -> &mut returns::Ledger {
        self.returns.entry(service.clone()).or_default()
    }

    /// Moves the latencies of routes to their keys in a new version of the configuration.
    pub(crate) fn remap_routes(
        &mut self,
        remap: impl Fn(contracts::RouteKey) -> Option<contracts::RouteKey>,
    ) {
        let latencies = std::mem::take(&mut self.latencies);
        self.latencies =
            latencies.into_iter().filter_map(|(key, it)| Some((remap(key)?, it))).collect();
    }
}

impl Location {
    fn of(settings: &settings::Settings) -> Location {
        let mesh = &settings.mesh;
        let host = mesh.host(settings.me).expect("the settings contain this host");
        let centre = mesh.data_centre(host.data_centre).expect("a host has a data centre");
        Location {
            host: host.name.clone(),
            data_centre: centre.name.clone(),
            centre_key: host.data_centre,
        }
    }
}

/// A request with its route and everything that forwarding needs.
#[derive(Clone, Debug)]
pub(crate) struct RoutedRequest {
    /// The version of the configuration that applies to the request from start to end.
    pub(crate) config: sync::Arc<config::Config>,
    pub(crate) route: contracts::RouteKey,
    pub(crate) head: forwarding::RequestHead,
    /// The fingerprint of the content, which a resend at another host shares.
    pub(crate) content: requests::Fingerprint,
    /// Until when an answer is waited for. Then the caller gets one of the node's own.
    pub(crate) answer_by: time::Time,
    pub(crate) body: bytes::Bytes,
}

impl RoutedRequest {
    /// The contract of the request's route.
    pub(crate) fn route(&self) -> Option<&contracts::Route> {
        self.config.route(self.route)
    }

    /// When the caller stops waiting.
    pub(crate) fn deadline(&self) -> time::Time {
        self.head.context.deadline
    }

    /// The properties that the retry rules depend on.
    pub(crate) fn retry(&self) -> routing::retry::Request {
        routing::retry::Request { idempotent: self.head.idempotent, deadline: self.deadline() }
    }
}
