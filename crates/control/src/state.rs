//! The tables of a control and the order in which they are locked.

use std::time as std_time;

use compact_str::CompactString;
use membership::registry;
use protocol::{proposals, streams};
use rand::{SeedableRng as _, rngs};
use replicated::{claims, overlay};
use tables::{clock, pool, rank, table};
use tokio::sync::{mpsc, oneshot};
use world::{hosts, time};

use crate::{
    configuration, departing, directory, distributing, instruments, quotas, replica, rollouts,
    settings, state_machines, unknown_values,
};

// The lock order: a thread locks these tables in increasing rank only.
const CONFIGURATION_REPLICA_RANK: rank::Rank = rank::Rank(10);
const CONFIGURATION_QUEUE_RANK: rank::Rank = rank::Rank(15);
const CLAIMS_REPLICA_RANK: rank::Rank = rank::Rank(20);
const CLAIMS_QUEUE_RANK: rank::Rank = rank::Rank(25);
const CONFIGURATION_STATE_RANK: rank::Rank = rank::Rank(30);
const CLAIMS_STATE_RANK: rank::Rank = rank::Rank(40);
const EVIDENCE_RANK: rank::Rank = rank::Rank(45);
const DEPARTURES_RANK: rank::Rank = rank::Rank(46);
const HEARTBEATS_RANK: rank::Rank = rank::Rank(48);
const REGISTRY_RANK: rank::Rank = rank::Rank(50);
const ROLLOUTS_RANK: rank::Rank = rank::Rank(55);
const DISTRIBUTOR_RANK: rank::Rank = rank::Rank(60);
const QUOTAS_RANK: rank::Rank = rank::Rank(65);
const DIRECTORY_RANK: rank::Rank = rank::Rank(70);
const UNKNOWN_VALUES_RANK: rank::Rank = rank::Rank(80);

/// A proposal that waits for the next write to the log, so that one sync covers many.
pub(crate) type QueuedProposal = (proposals::Proposal, oneshot::Sender<proposals::Outcome>);

/// Everything that a control's tasks and workers share.
pub(crate) struct State {
    pub(crate) settings: settings::Settings,
    pub(crate) location: Location,
    pub(crate) pool: pool::Pool,
    pub(crate) links: transport::pool::LinkPool,
    pub(crate) instruments: instruments::Instruments,
    pub(crate) configuration_replica: table::Table<replica::Replica>,
    pub(crate) configuration_queue: table::Table<Vec<QueuedProposal>>,
    /// This host's replica of its region's claims log; none when no host of the region votes on it.
    pub(crate) claims_replica: Option<table::Table<replica::Replica>>,
    pub(crate) claims_queue: table::Table<Vec<QueuedProposal>>,
    pub(crate) configuration_state: table::Table<configuration::State>,
    pub(crate) claims_state: table::Table<claims::Claims>,
    pub(crate) evidence: table::Table<overlay::Overlay>,
    /// The departures of targets on this control's disk.
    pub(crate) departures: table::Table<departing::Journal>,
    /// The heartbeats that have not been answered yet.
    pub(crate) heartbeats: table::Table<departing::Heartbeats>,
    pub(crate) registry: table::Table<registry::Registry>,
    /// What is known of the rollouts in progress.
    pub(crate) rollouts: table::Table<rollouts::Rollouts>,
    pub(crate) distributor: table::Table<distributing::Distributor>,
    /// The tokens of the quotas of teams.
    pub(crate) quotas: table::Table<quotas::Quotas>,
    pub(crate) directory: table::Table<directory::Directory>,
    /// The unknown values of documents that were logged.
    pub(crate) unknown_values: table::Table<unknown_values::UnknownValues>,
    /// Wakes the task that writes departures and answers heartbeats.
    pub(crate) departures_changed: tokio::sync::Notify,
    /// Wakes the task that keeps the list of controls.
    pub(crate) controls_changed: tokio::sync::Notify,
    pub(crate) clock: clock::Clock,
}

/// The names of this control's host, data centre and region.
#[derive(Clone, Debug)]
pub(crate) struct Location {
    pub(crate) host: CompactString,
    pub(crate) data_centre: CompactString,
    pub(crate) region: CompactString,
}

impl State {
    /// Opens the logs and restores the state from their files.
    pub(crate) fn open(
        settings: settings::Settings,
        links: transport::pool::LinkPool,
        new_peers: mpsc::UnboundedSender<directory::NewPeer>,
        instruments: instruments::Instruments,
    ) -> replica::Result<State> {
        let location = Location::from_settings(&settings);
        let mut configuration_state = configuration::State::default();
        let configuration_replica = replica::Replica::open(
            &settings.data_folder.join("configuration"),
            "configuration",
            &location.host,
            configuration_group_settings(&settings),
            state_machines::CONFIGURATION,
            &mut configuration_state,
        )?;
        let mut claims_state = claims::Claims::new(claims::Limits::default());
        let claims_replica = match claims_group_settings(&settings, &location.region) {
            None => None,
            Some(group) => Some(replica::Replica::open(
                &settings.data_folder.join("claims"),
                &format!("claims-{}", location.region),
                &location.host,
                group,
                state_machines::CLAIMS,
                &mut claims_state,
            )?),
        };
        let clock = clock::Clock::start();
        let now = clock.now();
        let toggles = membership::toggles::Toggles::default();
        let mut registry = registry::Registry::new(now, location.host.clone(), toggles);
        let (departures, events) = departing::Journal::open(&settings.data_folder);
        for event in &events {
            registry.restore_departure(now, event);
            registry.departures_mut().record_written(&event.entry);
        }
        // A host that lost its disk and joined the group again may still lack versions.
        let caught_up = configuration_replica.is_caught_up();
        let rng = rngs::StdRng::from_os_rng();
        let distributor = distributing::Distributor::new(&configuration_state, caught_up, rng);
        Ok(State {
            location,
            pool: pool::Pool::spawn(settings.workers, 16_384),
            links,
            instruments,
            configuration_replica: table::Table::new(
                CONFIGURATION_REPLICA_RANK,
                "configuration replica",
                configuration_replica,
            ),
            configuration_queue: table::Table::new(
                CONFIGURATION_QUEUE_RANK,
                "configuration queue",
                Vec::new(),
            ),
            claims_replica: claims_replica
                .map(|it| table::Table::new(CLAIMS_REPLICA_RANK, "claims replica", it)),
            claims_queue: table::Table::new(CLAIMS_QUEUE_RANK, "claims queue", Vec::new()),
            configuration_state: table::Table::new(
                CONFIGURATION_STATE_RANK,
                "configuration state",
                configuration_state,
            ),
            claims_state: table::Table::new(CLAIMS_STATE_RANK, "claims state", claims_state),
            evidence: table::Table::new(EVIDENCE_RANK, "evidence", overlay::Overlay::default()),
            departures: table::Table::new(DEPARTURES_RANK, "departures on disk", departures),
            heartbeats: table::Table::new(
                HEARTBEATS_RANK,
                "heartbeats",
                departing::Heartbeats::default(),
            ),
            registry: table::Table::new(REGISTRY_RANK, "registry", registry),
            rollouts: table::Table::new(ROLLOUTS_RANK, "rollouts", rollouts::Rollouts::default()),
            distributor: table::Table::new(DISTRIBUTOR_RANK, "distributor", distributor),
            quotas: table::Table::new(QUOTAS_RANK, "quotas", quotas::Quotas::new(clock.now())),
            directory: table::Table::new(
                DIRECTORY_RANK,
                "directory",
                directory::Directory::open(&settings, new_peers),
            ),
            unknown_values: table::Table::new(
                UNKNOWN_VALUES_RANK,
                "unknown values",
                unknown_values::UnknownValues::default(),
            ),
            departures_changed: tokio::sync::Notify::new(),
            controls_changed: tokio::sync::Notify::new(),
            clock,
            settings,
        })
    }

    /// The time on this process's clock.
    pub(crate) fn now(&self) -> time::Time {
        self.clock.now()
    }

    /// Queues a message for another control. Drops it when the queue is full or the host is not
    /// known.
    pub(crate) fn send_peer(&self, host: &str, message: streams::PeerMessage) {
        self.directory.lock().send(host, message);
    }

    /// Queues a message for each of the other controls.
    pub(crate) fn send_peers(&self, message: &streams::PeerMessage) {
        let directory = self.directory.lock();
        for host in directory.peers() {
            directory.send(host, message.clone());
        }
    }
}

impl Location {
    fn from_settings(settings: &settings::Settings) -> Location {
        let mesh = &settings.mesh;
        let host = mesh.host(settings.me).expect("the settings contain this host");
        let centre = mesh.data_centre(host.data_centre).expect("a host has a data centre");
        let region = mesh.region(centre.region).expect("a data centre has a region");
        Location {
            host: host.name.clone(),
            data_centre: centre.name.clone(),
            region: region.name.clone(),
        }
    }
}

/// The wall-clock time, in milliseconds since the Unix epoch.
pub(crate) fn unix_time_ms() -> u64 {
    let since = std_time::SystemTime::now().duration_since(std_time::UNIX_EPOCH);
    since.map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX))
}

/// The configuration group: all controls hold its log, and `config_voters` vote.
fn configuration_group_settings(settings: &settings::Settings) -> agreement::settings::Settings {
    let hosts = control_hosts(settings).map(|(_, it)| it.name.clone()).collect();
    let voters = host_names(settings, &settings.config_voters);
    let mut group = agreement::settings::Settings::new(hosts, voters);
    group.set_election_timeout(settings.election_timeout);
    group
}

/// The claims group of a region: the controls of the region hold its log, and those in
/// `claims_voters` vote. Returns `None` when none of them votes.
fn claims_group_settings(
    settings: &settings::Settings,
    region: &str,
) -> Option<agreement::settings::Settings> {
    let mesh = &settings.mesh;
    let region = mesh.find_region(region)?;
    let inside = |host: &hosts::Host| {
        mesh.data_centre(host.data_centre).is_some_and(|it| it.region == region)
    };
    let hosts = control_hosts(settings).filter(|(_, it)| inside(it)).map(|(_, it)| it.name.clone());
    let voters: Vec<_> = settings
        .claims_voters
        .iter()
        .copied()
        .filter(|&it| mesh.host(it).is_some_and(inside))
        .collect();
    if voters.is_empty() {
        return None;
    }
    let mut group =
        agreement::settings::Settings::new(hosts.collect(), host_names(settings, &voters));
    group.set_election_timeout(settings.election_timeout);
    // Only a leader with a lease answers claims. An isolated host hands out none of this state, so
    // the commit index need not be synced before entries are applied.
    group.persist_commit = false;
    Some(group)
}

/// The number of controls in the settings.
pub(crate) fn control_count(settings: &settings::Settings) -> usize {
    control_hosts(settings).count()
}

fn control_hosts(
    settings: &settings::Settings,
) -> impl Iterator<Item = (hosts::HostKey, &hosts::Host)> {
    settings.mesh.hosts().filter(|(_, it)| it.role == hosts::Role::Control)
}

fn host_names(settings: &settings::Settings, keys: &[hosts::HostKey]) -> Vec<CompactString> {
    keys.iter().filter_map(|&it| Some(settings.mesh.host(it)?.name.clone())).collect()
}
