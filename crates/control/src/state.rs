//! The tables of a control and the order in which they are locked.

use std::{collections, time as std_time};

use compact_str::CompactString;
use membership::registry;
use protocol::{proposals, streams};
use rand::{SeedableRng as _, rngs};
use replicated::{claims, overlay};
use tables::{pool, rank, table};
use tokio::sync::{mpsc, oneshot};
use world::{hosts, time};

use crate::{distributing, instruments, machines, replica, settings};

/// Messages that may wait for a link to another control; more are dropped, which every protocol
/// between controls tolerates.
pub(crate) const PEER_QUEUE: usize = 1_024;

const CONFIGURATION: rank::Rank = rank::Rank(10);
const CONFIGURATION_QUEUE: rank::Rank = rank::Rank(15);
const CLAIMS: rank::Rank = rank::Rank(20);
const CLAIMS_QUEUE: rank::Rank = rank::Rank(25);
const MACHINE: rank::Rank = rank::Rank(30);
const CLAIMS_MACHINE: rank::Rank = rank::Rank(40);
const EVIDENCE: rank::Rank = rank::Rank(45);
const REGISTRY: rank::Rank = rank::Rank(50);
const RELAY: rank::Rank = rank::Rank(60);

/// A proposal that waits for the next write to the log, so that one sync covers many.
pub(crate) type Queued = (proposals::Request, oneshot::Sender<proposals::Outcome>);

/// Everything that a control's tasks and workers share.
pub(crate) struct State {
    pub(crate) settings: settings::Settings,
    pub(crate) place: Place,
    pub(crate) pool: pool::Pool,
    pub(crate) links: transport::pool::Links,
    pub(crate) peers: collections::BTreeMap<CompactString, mpsc::Sender<streams::PeerMessage>>,
    pub(crate) instruments: instruments::Instruments,
    pub(crate) configuration: table::Table<replica::Replica>,
    pub(crate) configuration_queue: table::Table<Vec<Queued>>,
    pub(crate) claims: Option<table::Table<replica::Replica>>,
    pub(crate) claims_queue: table::Table<Vec<Queued>>,
    pub(crate) machine: table::Table<machines::Configuration>,
    pub(crate) claims_machine: table::Table<claims::Claims>,
    pub(crate) evidence: table::Table<overlay::Overlay>,
    pub(crate) registry: table::Table<registry::Registry>,
    pub(crate) relay: table::Table<distributing::Distributing>,
    pub(crate) started: std_time::Instant,
}

/// Where the control stands, by name.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    pub(crate) host: CompactString,
    pub(crate) data_centre: CompactString,
    pub(crate) region: CompactString,
}

impl State {
    /// Opens the logs and restores the state.
    pub(crate) fn open(
        settings: settings::Settings,
        links: transport::pool::Links,
        peers: collections::BTreeMap<CompactString, mpsc::Sender<streams::PeerMessage>>,
        instruments: instruments::Instruments,
    ) -> replica::Result<State> {
        let place = Place::of(&settings);
        let mut machine = machines::Configuration::default();
        let configuration = replica::Replica::open(
            &settings.data.join("configuration"),
            "configuration",
            &place.host,
            configuration_group(&settings),
            machines::CONFIGURATION,
            &mut machine,
        )?;
        let mut claims_machine = claims::Claims::new(claims::Limits::default());
        let claims = match claims_group(&settings, &place.region) {
            None => None,
            Some(group) => Some(replica::Replica::open(
                &settings.data.join("claims"),
                &format!("claims-{}", place.region),
                &place.host,
                group,
                machines::CLAIMS,
                &mut claims_machine,
            )?),
        };
        let started = std_time::Instant::now();
        let registry = registry::Registry::new(
            time::Time::ZERO,
            place.data_centre.clone(),
            membership::mechanisms::Mechanisms::default(),
        );
        // A disk that was lost and joined the cluster again may still lack versions.
        let caught_up = configuration.is_caught_up();
        let rng = rngs::StdRng::from_os_rng();
        let relay = distributing::Distributing::new(&machine, caught_up, rng);
        Ok(State {
            place,
            pool: pool::Pool::spawn(settings.workers, 16_384),
            links,
            peers,
            instruments,
            configuration: table::Table::new(CONFIGURATION, "configuration", configuration),
            configuration_queue: table::Table::new(
                CONFIGURATION_QUEUE,
                "configuration queue",
                Vec::new(),
            ),
            claims: claims.map(|it| table::Table::new(CLAIMS, "claims", it)),
            claims_queue: table::Table::new(CLAIMS_QUEUE, "claims queue", Vec::new()),
            machine: table::Table::new(MACHINE, "configuration state", machine),
            claims_machine: table::Table::new(CLAIMS_MACHINE, "claims state", claims_machine),
            evidence: table::Table::new(EVIDENCE, "evidence", overlay::Overlay::default()),
            registry: table::Table::new(REGISTRY, "registry", registry),
            relay: table::Table::new(RELAY, "relay", relay),
            started,
            settings,
        })
    }

    /// The process's monotonic clock.
    pub(crate) fn now(&self) -> time::Time {
        time::Time::ZERO + self.started.elapsed()
    }

    /// Sends a message to another control, or drops it when the link is too slow.
    pub(crate) fn send_peer(&self, host: &str, message: streams::PeerMessage) {
        let Some(peer) = self.peers.get(host) else { return };
        if peer.try_send(message).is_err() {
            log::debug!("the queue to control {host} is full; a message was dropped");
        }
    }

    /// Sends a message to all other controls.
    pub(crate) fn send_peers(&self, message: &streams::PeerMessage) {
        for host in self.peers.keys() {
            self.send_peer(host, message.clone());
        }
    }

    /// The data centre of a control host.
    pub(crate) fn data_centre_of(&self, host: &str) -> Option<&CompactString> {
        let mesh = &self.settings.mesh;
        let host = mesh.host(mesh.find_host(host)?)?;
        Some(&mesh.data_centre(host.data_centre)?.name)
    }
}

impl Place {
    fn of(settings: &settings::Settings) -> Place {
        let mesh = &settings.mesh;
        let host = mesh.host(settings.me).expect("the settings contain this host");
        let centre = mesh.data_centre(host.data_centre).expect("a host has a data centre");
        let region = mesh.region(centre.region).expect("a data centre has a region");
        Place {
            host: host.name.clone(),
            data_centre: centre.name.clone(),
            region: region.name.clone(),
        }
    }
}

/// The wall clock, in milliseconds since the Unix epoch.
pub(crate) fn wall_ms() -> u64 {
    let since = std_time::SystemTime::now().duration_since(std_time::UNIX_EPOCH);
    since.map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX))
}

/// Every control holds the configuration log; some of them vote.
fn configuration_group(settings: &settings::Settings) -> agreement::settings::Settings {
    let hosts = controls(settings).map(|(_, it)| it.name.clone()).collect();
    let voters = names(settings, &settings.config_voters);
    let mut group = agreement::settings::Settings::new(hosts, voters);
    group.set_election_timeout(settings.election);
    group
}

/// The controls of a region hold its claims log; some of them vote.
fn claims_group(
    settings: &settings::Settings,
    region: &str,
) -> Option<agreement::settings::Settings> {
    let mesh = &settings.mesh;
    let region = mesh.find_region(region)?;
    let inside = |host: &hosts::Host| {
        mesh.data_centre(host.data_centre).is_some_and(|it| it.region == region)
    };
    let hosts = controls(settings).filter(|(_, it)| inside(it)).map(|(_, it)| it.name.clone());
    let voters: Vec<_> = settings
        .claims_voters
        .iter()
        .copied()
        .filter(|&it| mesh.host(it).is_some_and(inside))
        .collect();
    if voters.is_empty() {
        return None;
    }
    let mut group = agreement::settings::Settings::new(hosts.collect(), names(settings, &voters));
    group.set_election_timeout(settings.election);
    // Claims are answered by a leader with a lease only, so no state is handed out in isolation.
    group.persist_commit = false;
    Some(group)
}

fn controls(settings: &settings::Settings) -> impl Iterator<Item = (hosts::HostKey, &hosts::Host)> {
    settings.mesh.hosts().filter(|(_, it)| it.role == hosts::Role::Control)
}

fn names(settings: &settings::Settings, keys: &[hosts::HostKey]) -> Vec<CompactString> {
    keys.iter().filter_map(|&it| Some(settings.mesh.host(it)?.name.clone())).collect()
}
