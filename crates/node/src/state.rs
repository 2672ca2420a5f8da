//! The tables of a node and the order in which they are locked.

use std::{collections, net, sync, time as std_time};

use compact_str::CompactString;
use distribution::{attach, updater};
use membership::{directory, local_target};
use protocol::{forwarding, streams};
use rand::{SeedableRng as _, rngs};
use routing::{balancer, budget, hedge, prober};
use tables::{pool, rank, table};
use tokio::sync::mpsc;
use world::{config, contracts, document, hosts, requests, time};

use crate::{flights, gates, instruments, settings, suspicion};

const CONFIGURATION: rank::Rank = rank::Rank(10);
const DIRECTORY: rank::Rank = rank::Rank(20);
const BACKEND: rank::Rank = rank::Rank(25);
const ROUTING: rank::Rank = rank::Rank(30);
const ADMISSION: rank::Rank = rank::Rank(40);
const FLIGHTS: rank::Rank = rank::Rank(50);
const SUSPICION: rank::Rank = rank::Rank(60);
const SESSIONS: rank::Rank = rank::Rank(70);

/// Everything that a node's tasks and workers share.
pub(crate) struct State {
    pub(crate) settings: settings::Settings,
    pub(crate) place: Place,
    pub(crate) pool: pool::Pool,
    pub(crate) links: transport::pool::Links,
    pub(crate) client: web::client::Client,
    pub(crate) instruments: instruments::Instruments,
    pub(crate) configuration: table::Table<Configuration>,
    pub(crate) directory: table::Table<directory::Directory>,
    pub(crate) backend: table::Table<Backend>,
    pub(crate) routing: table::Table<Routing>,
    pub(crate) admission: table::Table<gates::Gates>,
    pub(crate) flights: table::Table<flights::Flights>,
    pub(crate) suspicion: table::Table<suspicion::Suspicion>,
    pub(crate) sessions: table::Table<Sessions>,
    /// Wakes the task that probes silent hosts.
    pub(crate) lost: sync::Arc<tokio::sync::Notify>,
    pub(crate) started: std_time::Instant,
}

/// Where the node stands, by name.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    pub(crate) host: CompactString,
    pub(crate) data_centre: CompactString,
    pub(crate) centre: world::data_centres::DataCentreKey,
}

/// The versions: what the node runs and how it gets the next one.
pub(crate) struct Configuration {
    pub(crate) follower: updater::Updater,
    pub(crate) running: Option<sync::Arc<config::Config>>,
    /// The token to put into the next answer to an announcement.
    pub(crate) token: Option<CompactString>,
    pub(crate) rng: rngs::StdRng,
}

/// The backend server of this host.
pub(crate) struct Backend {
    pub(crate) local: local_target::LocalTarget,
    /// Where it listens; none before the first announcement.
    pub(crate) addr: Option<net::SocketAddr>,
    /// The name under which it announced itself; empty when it has none.
    pub(crate) instance: CompactString,
    /// The node is about to stop, and says so to whoever sends callers to it.
    pub(crate) leaving: bool,
    /// The node is stopping and takes no new work.
    pub(crate) stopping: bool,
}

/// The choice of targets.
pub(crate) struct Routing {
    pub(crate) router: balancer::Balancer,
    /// The targets that are probed.
    pub(crate) reach: prober::Prober,
    /// The sends to each service, which limit its retries.
    pub(crate) retry_percent: u32,
    pub(crate) shares: collections::HashMap<CompactString, budget::RetryLimiter>,
    pub(crate) times: collections::HashMap<contracts::RouteKey, hedge::LatencyHistogram>,
    /// Numbers the requests of split routes, from a random start.
    pub(crate) split_turn: u64,
    pub(crate) rng: rngs::SmallRng,
}

/// The streams to controls.
#[derive(Default)]
pub(crate) struct Sessions {
    pub(crate) outboxes:
        collections::BTreeMap<attach::ControlKey, mpsc::Sender<streams::NodeMessage>>,
    /// The control that the node is attached to.
    pub(crate) attached: Option<attach::ControlKey>,
}

impl State {
    /// The state of a node that has just started.
    pub(crate) fn new(
        settings: settings::Settings,
        links: transport::pool::Links,
        instruments: instruments::Instruments,
    ) -> State {
        let place = Place::of(&settings);
        let follower = updater::Updater::new(
            updater::Settings {
                node: place.host.clone(),
                data_centre: place.data_centre.clone(),
                level: document::LEVEL,
                epoch: rand::random(),
                tokens: settings.tokens,
            },
            attachment(&settings, &place),
            time::Time::ZERO,
        );
        let configuration = Configuration {
            follower,
            running: None,
            token: None,
            rng: rngs::StdRng::from_os_rng(),
        };
        let mechanisms = membership::mechanisms::Mechanisms::default();
        let directory = directory::Directory::new(place.data_centre.clone(), mechanisms);
        let addr = settings.mesh.host(settings.me).map(|it| it.addr);
        let at = local_target::Location {
            host: place.host.clone(),
            data_centre: place.data_centre.clone(),
            addr: addr.expect("the settings contain this host"),
        };
        let mut local = local_target::LocalTarget::new(at, place.data_centre.clone(), mechanisms);
        local.set_lease(settings.lease);
        let policy = settings.policy;
        let routing = Routing {
            router: balancer::Balancer::new(policy, routing::mechanisms::Mechanisms::default()),
            reach: prober::Prober::default(),
            retry_percent: settings.retry_percent,
            shares: collections::HashMap::new(),
            times: collections::HashMap::new(),
            split_turn: rand::random(),
            rng: rngs::SmallRng::from_os_rng(),
        };
        let backend =
            Backend { local, addr: None, instance: "".into(), leaving: false, stopping: false };
        let suspicion = suspicion::Suspicion::default();
        State {
            pool: pool::Pool::spawn(settings.workers, 16_384),
            links,
            client: web::client::Client::new(web::client::Limits::default()),
            instruments,
            configuration: table::Table::new(CONFIGURATION, "configuration", configuration),
            directory: table::Table::new(DIRECTORY, "directory", directory),
            backend: table::Table::new(BACKEND, "backend server", backend),
            routing: table::Table::new(ROUTING, "routing", routing),
            admission: table::Table::new(ADMISSION, "admission", gates::Gates::default()),
            flights: table::Table::new(FLIGHTS, "requests in flight", flights::Flights::default()),
            suspicion: table::Table::new(SUSPICION, "suspicion", suspicion),
            sessions: table::Table::new(SESSIONS, "sessions", Sessions::default()),
            lost: sync::Arc::default(),
            started: std_time::Instant::now(),
            settings,
            place,
        }
    }

    /// The process's monotonic clock.
    pub(crate) fn now(&self) -> time::Time {
        time::Time::ZERO + self.started.elapsed()
    }

    /// A point of the process's clock as tokio's timers take it.
    pub(crate) fn instant(&self, at: time::Time) -> tokio::time::Instant {
        let since = at.since(time::Time::ZERO);
        tokio::time::Instant::from_std(self.started + since)
    }

    /// The running version.
    pub(crate) fn running(&self) -> Option<sync::Arc<config::Config>> {
        self.configuration.lock().running.clone()
    }

    /// Sends a message to the control that the node is attached to. Returns whether it was queued.
    pub(crate) fn send_control(&self, message: streams::NodeMessage) -> bool {
        let sessions = self.sessions.lock();
        let Some(control) = sessions.attached else { return false };
        let Some(outbox) = sessions.outboxes.get(&control) else { return false };
        outbox.try_send(message).is_ok()
    }
}

impl Routing {
    /// The sends to a service.
    pub(crate) fn share(&mut self, service: &CompactString) -> &mut budget::RetryLimiter {
        let percent = self.retry_percent;
        self.shares.entry(service.clone()).or_insert_with(|| budget::RetryLimiter::new(percent))
    }

    /// Carries measurements over to a new version, in which routes have other keys.
    pub(crate) fn rename_routes(
        &mut self,
        rename: impl Fn(contracts::RouteKey) -> Option<contracts::RouteKey>,
    ) {
        let times = std::mem::take(&mut self.times);
        self.times = times.into_iter().filter_map(|(key, it)| Some((rename(key)?, it))).collect();
    }
}

impl Place {
    fn of(settings: &settings::Settings) -> Place {
        let mesh = &settings.mesh;
        let host = mesh.host(settings.me).expect("the settings contain this host");
        let centre = mesh.data_centre(host.data_centre).expect("a host has a data centre");
        Place {
            host: host.name.clone(),
            data_centre: centre.name.clone(),
            centre: host.data_centre,
        }
    }
}

/// The controls: the one of this data centre first, then the others by distance.
fn attachment(settings: &settings::Settings, place: &Place) -> attach::Attachment {
    let mesh = &settings.mesh;
    let mut controls: Vec<_> = mesh
        .hosts()
        .filter(|(_, it)| it.role == hosts::Role::Control)
        .map(|(_, it)| (mesh.latency(place.centre, it.data_centre), it))
        .map(|(latency, it)| (it.data_centre != place.centre, latency, it.name.clone()))
        .collect();
    controls.sort();
    let mut names = controls.into_iter().map(|it| it.2);
    let home = names.next().unwrap_or_default();
    attach::Attachment::new(home, names.collect())
}

/// A request's way through the node, as the log lines of decisions name it.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// The version that the request sees from start to end.
    pub(crate) config: sync::Arc<config::Config>,
    pub(crate) route: contracts::RouteKey,
    pub(crate) head: forwarding::RequestHead,
    pub(crate) deadline: time::Time,
    /// Until when an answer has its full worth.
    pub(crate) objective: time::Time,
    pub(crate) body: bytes::Bytes,
}

impl Job {
    /// The route's contract.
    pub(crate) fn route(&self) -> Option<&contracts::Route> {
        self.config.route(self.route)
    }

    /// What the retry rules need to know.
    pub(crate) fn retry(&self) -> routing::retry::Request {
        routing::retry::Request { idempotent: self.head.idempotent, deadline: self.deadline }
    }

    /// Identifies requests that do the same.
    pub(crate) fn fingerprint(&self) -> requests::Fingerprint {
        self.head.fingerprint
    }
}
