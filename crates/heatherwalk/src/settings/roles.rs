//! The settings of nodes and controls: their keys, defaults and bounds.

use std::{net, path, time};

use compact_str::{CompactString, format_compact};
use world::{bounds, hosts, mesh};

use super::{Result, ini_reader};
use crate::{dialects, discovery};

/// The most control hosts that may vote on the configuration.
const MAX_CONFIG_VOTERS: usize = 5;
/// The most control hosts of one region that may vote on its claims.
const MAX_CLAIMS_VOTERS: usize = 3;
const BYTES_PER_MB: usize = 1_024 * 1_024;
/// The default of `stop-limit-ms`.
const DEFAULT_STOP_LIMIT_MS: u64 = node::settings::DEFAULT_STOP_LIMIT.as_millis() as u64;
/// The shortest election timeout, by default. It must be several times the latency between regions
/// plus the time of a slow disk sync.
const DEFAULT_ELECTION_MS: u64 = 1_000;

/// The checked settings of one process.
#[derive(Clone)]
pub enum Settings {
    /// The settings of a control.
    Control(Box<control::settings::Settings>, Process),
    /// The settings of a node.
    Node(Box<node::settings::Settings>, Process),
}

impl Settings {
    /// The seeds; none when the file lists the controls.
    pub fn seeds(&self) -> Option<&discovery::Seeds> {
        let (Settings::Control(_, process) | Settings::Node(_, process)) = self;
        process.seeds.as_ref()
    }
}

/// The settings of the process itself, which both roles have.
#[derive(Clone, Debug)]
pub struct Process {
    /// How the process proves its identity to others.
    pub identity: Identity,
    /// Which log lines the process writes.
    pub log: Log,
    /// The settings of discovery; `None` if the file lists the controls.
    pub seeds: Option<discovery::Seeds>,
    /// Runtime threads, which own sockets and timers, 1 to 64; `None` stands for the role's
    /// default.
    pub threads: Option<usize>,
}

/// How a process proves its identity to others.
#[derive(Clone, Debug)]
pub enum Identity {
    /// By a certificate that the mesh's authority issued for it. All files are PEM.
    Files {
        /// The certificate of the mesh's authority.
        authority: path::PathBuf,
        /// The certificate of this process.
        certificate: path::PathBuf,
        /// The private key of this process.
        key: path::PathBuf,
    },
    /// By a secret that all processes of the mesh share, from which certificates are derived.
    Secret(CompactString),
}

/// Which log lines are written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Log {
    /// The most detailed level that is written.
    pub level: log::LevelFilter,
    /// Whether routing and placement decisions are written.
    pub decisions: bool,
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// The file cannot be read, is not valid INI, or has faults. All faults are reported together.
pub fn load(file: &str) -> Result<Settings> {
    let mut reader = ini_reader::Reader::open(file)?;
    let settings = read(&mut reader);
    reader.finish()?;
    Ok(settings.expect("a missing value is a fault, and `finish` fails on faults"))
}

/// The controls that vote in each kind of group.
struct Votes {
    config: Vec<hosts::HostKey>,
    claims: Vec<hosts::HostKey>,
}

/// The settings of the section `[host]`, which both roles have.
struct Common {
    me: hosts::HostKey,
    metrics: net::SocketAddr,
    workers: usize,
    stop_limit: time::Duration,
}

fn read(reader: &mut ini_reader::Reader) -> Option<Settings> {
    let mut mesh = mesh::Mesh::default();
    let seeds = read_seeds(reader);
    let votes = match &seeds {
        None => read_controls(reader, &mut mesh),
        Some(_) => Votes { config: Vec::new(), claims: Vec::new() },
    };
    let role = reader.required("host", "role", "node or control", parse_role);
    let common = read_host(reader, &mut mesh, role, seeds.is_some());
    let threads =
        reader.optional("host", "threads", "1 to 64", None, |it| parse_range(it, 1, 64).map(Some));
    read_links(reader, &mut mesh);
    let identity = read_identity(reader);
    let log = read_log(reader);
    let process =
        |identity: Option<Identity>| Some(Process { identity: identity?, log, seeds, threads });
    match role {
        Some(hosts::Role::Control) => {
            let settings = read_control(reader, mesh, common, votes);
            Some(Settings::Control(Box::new(settings?), process(identity)?))
        }
        Some(hosts::Role::Node) => {
            let settings = read_node(reader, mesh, common);
            Some(Settings::Node(Box::new(settings?), process(identity)?))
        }
        None => {
            // The role is missing or invalid. The section of the role that was probably meant is
            // checked, so that its faults are reported as well.
            if !reader.keys("control").is_empty() {
                read_control(reader, mesh, None, votes);
            } else if !reader.keys("node").is_empty() {
                read_node(reader, mesh, None);
            }
            None
        }
    }
}

fn read_host(
    reader: &mut ini_reader::Reader,
    mesh: &mut mesh::Mesh,
    role: Option<hosts::Role>,
    finds_controls: bool,
) -> Option<Common> {
    let name = reader.required("host", "name", NAME, parse_name);
    let region = reader.required("host", "region", NAME, parse_name);
    let centre = reader.required("host", "data-centre", NAME, parse_name);
    let addr = reader.required("host", "listen", ADDR, parse_addr);
    let metrics = reader.required("host", "metrics", ADDR, parse_addr);
    let workers =
        reader.optional("host", "workers", "1 to 64", node::settings::DEFAULT_WORKERS, |it| {
            parse_range(it, 1, 64)
        });
    let stop_limit =
        reader.optional("host", "stop-limit-ms", "0 to 600000", DEFAULT_STOP_LIMIT_MS, |it| {
            parse_range(it, 0, 600_000)
        });
    let (name, role, addr) = (name?, role?, addr?);
    let region = mesh.add_region(&region?);
    let data_centre = mesh.add_data_centre(&centre?, region);
    let listed = finds_controls || role != hosts::Role::Control;
    if !listed && !reader.sections("control").contains(&name) {
        let allowed = format_compact!("a section [control.{name}] for this control itself");
        reader.add_fault("host", "name", Some(name.clone()), allowed);
    }
    let me = mesh.put_host(hosts::Host { name, addr, data_centre, role });
    let stop_limit = time::Duration::from_millis(stop_limit);
    Some(Common { me, metrics: metrics?, workers, stop_limit })
}

/// Reads the section `[discovery]`, which takes the place of the sections `[control.NAME]`; returns
/// `None` if the file does not have it.
fn read_seeds(reader: &mut ini_reader::Reader) -> Option<discovery::Seeds> {
    if reader.keys("discovery").is_empty() {
        return None;
    }
    let addrs = reader.required("discovery", "seeds", SEEDS, |text| {
        text.split(',').map(|it| parse_addr(it.trim())).collect::<Option<Vec<_>>>()
    });
    let bootstrap =
        reader.optional("discovery", "bootstrap", "true or false", false, |it| it.parse().ok());
    let claims = reader.optional("discovery", "claims", "on or off", true, parse_switch);
    Some(discovery::Seeds { addrs: addrs.unwrap_or_default(), bootstrap, claims })
}

fn read_controls(reader: &mut ini_reader::Reader, mesh: &mut mesh::Mesh) -> Votes {
    let mut votes = Votes { config: Vec::new(), claims: Vec::new() };
    let names = reader.sections("control");
    if names.is_empty() {
        let allowed = "at least one section [control.NAME]".into();
        reader.add_fault("control.NAME", "", None, allowed);
    }
    let mut complete = true;
    for name in names {
        complete &= read_control_host(reader, mesh, &mut votes, name).is_some();
    }
    if !complete {
        // Without the votes of every control, the counts could be wrong.
        return votes;
    }
    if votes.config.is_empty() || votes.config.len() > MAX_CONFIG_VOTERS {
        let found = format_compact!("{} controls", votes.config.len());
        let allowed =
            format_compact!("votes with \"configuration\" in 1 to {MAX_CONFIG_VOTERS} controls");
        reader.add_fault("control.NAME", "votes", Some(found), allowed);
    }
    check_claims_voters(reader, mesh, &votes);
    votes
}

fn read_control_host(
    reader: &mut ini_reader::Reader,
    mesh: &mut mesh::Mesh,
    votes: &mut Votes,
    name: CompactString,
) -> Option<()> {
    let section = format_compact!("control.{name}");
    let region = reader.required(&section, "region", NAME, parse_name);
    let centre = reader.required(&section, "data-centre", NAME, parse_name);
    let addr = reader.required(&section, "address", ADDR, parse_addr);
    let groups = reader.required(&section, "votes", VOTES, parse_votes);
    let region = mesh.add_region(&region?);
    let data_centre = mesh.add_data_centre(&centre?, region);
    let host = hosts::Host { name, addr: addr?, data_centre, role: hosts::Role::Control };
    let key = mesh.put_host(host);
    let groups = groups?;
    votes.config.extend(groups.config.then_some(key));
    votes.claims.extend(groups.claims.then_some(key));
    Some(())
}

/// Checks that no region has too many voters on claims.
fn check_claims_voters(reader: &mut ini_reader::Reader, mesh: &mesh::Mesh, votes: &Votes) {
    let region = |key: &hosts::HostKey| {
        let centre = mesh.data_centre(mesh.host(*key)?.data_centre)?;
        Some(centre.region)
    };
    for key in &votes.claims {
        let voters = votes.claims.iter().filter(|it| region(it) == region(key)).count();
        let Some(host) = mesh.host(*key) else { continue };
        if voters > MAX_CLAIMS_VOTERS {
            let section = format_compact!("control.{}", host.name);
            let found = format_compact!("{voters} controls of the region");
            let allowed =
                format_compact!("votes with \"claims\" in at most {MAX_CLAIMS_VOTERS} per region");
            reader.add_fault(&section, "votes", Some(found), allowed);
            return;
        }
    }
}

fn read_links(reader: &mut ini_reader::Reader, mesh: &mut mesh::Mesh) {
    let allowed = "one-way latency of DATA-CENTRE/DATA-CENTRE in microseconds, 1 to 10000000";
    for key in reader.keys("links") {
        let micros = reader.required("links", &key, allowed, |it| parse_range(it, 1, 10_000_000));
        let ends = key.split_once('/').and_then(|(a, b)| {
            Some((mesh.find_data_centre(a.trim())?, mesh.find_data_centre(b.trim())?))
        });
        match (ends, micros) {
            (Some((a, b)), Some(micros)) => {
                mesh.put_link(a, b, time::Duration::from_micros(micros));
            }
            (None, _) => {
                reader.add_fault("links", &key, None, "two known data centres as NAME/NAME".into());
            }
            (Some(_), None) => {}
        }
    }
}

fn read_identity(reader: &mut ini_reader::Reader) -> Option<Identity> {
    if reader.keys("identity").iter().any(|it| it == "secret") {
        return reader.required("identity", "secret", TOKEN, parse_token).map(Identity::Secret);
    }
    let mut path = |key| reader.required("identity", key, "the path of a PEM file", parse_path);
    let authority = path("authority");
    let certificate = path("certificate");
    let key = path("key");
    Some(Identity::Files { authority: authority?, certificate: certificate?, key: key? })
}

fn read_log(reader: &mut ini_reader::Reader) -> Log {
    let level = reader.optional("log", "level", LEVELS, log::LevelFilter::Info, parse_level);
    let decisions = reader.optional("log", "decisions", "on or off", true, parse_switch);
    Log { level, decisions }
}

fn read_node(
    reader: &mut ini_reader::Reader,
    mesh: mesh::Mesh,
    common: Option<Common>,
) -> Option<node::settings::Settings> {
    let callers = reader.required("node", "callers", ADDR, parse_addr);
    let announce = reader.required("node", "announce", ADDR, parse_addr);
    let advertise = reader.optional("node", "advertise", ADDR, None, |it| parse_addr(it).map(Some));
    let ready = reader.optional("node", "ready", ADDR, None, |it| parse_addr(it).map(Some));
    let names = dialects::NODE.map(|it| it.name).join(" or ");
    let dialect = reader.optional("node", "dialect", &names, node::dialect::OWN, |text| {
        dialects::NODE.into_iter().find(|it| it.name == text)
    });
    let service = reader.optional("node", "service", NAME, CompactString::default(), |it| {
        if it.is_empty() { Some(CompactString::default()) } else { parse_name(it) }
    });
    let lease = reader.optional(
        "node",
        "announce-lease-ms",
        "500 to 60000",
        u64::try_from(membership::local_target::ANNOUNCEMENT_LEASE.as_millis()).unwrap_or(u64::MAX),
        |it| parse_range(it, 500, 60_000),
    );
    let names = routing::policy::ALL.map(|it| it.name).join(" or ");
    let policy = reader.optional("node", "policy", &names, routing::policy::DEFAULT, |it| {
        routing::policy::find(it).copied()
    });
    let linger =
        reader.optional("node", "linger-ms", "0 to 60000", 0, |it| parse_range(it, 0, 60_000));
    let retry_percent = reader.optional(
        "node",
        "retry-percent",
        "0 to 100",
        routing::budget::RETRY_PERCENT,
        |it| parse_range(it, 0, 100),
    );
    let link_rate = reader
        .optional("node", "link-mbps", "0.01 to 1000000", None, |it| parse_link_rate(it).map(Some));
    let body_memory = reader.optional(
        "node",
        "body-memory-mb",
        "8 to 65536",
        node::settings::DEFAULT_BODY_MEMORY / BYTES_PER_MB,
        |it| parse_range(it, 8, 65_536),
    );
    let floor_tokens = reader.optional("node", "floor-tokens", "on or off", true, parse_switch);
    let Common { me, metrics, workers, stop_limit } = common?;
    Some(node::settings::Settings {
        mesh,
        me,
        advertise,
        callers: callers?,
        announce: announce?,
        ready,
        dialect,
        service,
        lease: time::Duration::from_millis(lease),
        floor_tokens,
        policy,
        linger: time::Duration::from_millis(linger),
        retry_percent,
        link_rate,
        body_memory: body_memory * BYTES_PER_MB,
        metrics,
        workers,
        stop_limit,
    })
}

fn read_control(
    reader: &mut ini_reader::Reader,
    mesh: mesh::Mesh,
    common: Option<Common>,
    votes: Votes,
) -> Option<control::settings::Settings> {
    let operators = reader.required("control", "operators", ADDR, parse_addr);
    let open = reader.optional("control", "access", "token or network", false, |it| match it {
        "network" => Some(true),
        "token" => Some(false),
        _ => None,
    });
    let token = match open {
        true => Some(None),
        false => reader.required("control", "token", TOKEN, parse_token).map(Some),
    };
    let election =
        reader.optional("control", "election-ms", "400 to 10000", DEFAULT_ELECTION_MS, |it| {
            parse_range(it, 400, 10_000)
        });
    let names = dialects::CONTROL.map(|it| it.name).join(" or ");
    let dialect = reader.optional("control", "dialect", &names, control::dialect::OWN, |text| {
        dialects::CONTROL.into_iter().find(|it| it.name == text)
    });
    let data = reader.required("control", "data", "the path of a folder", parse_path);
    let Common { me, metrics, workers, stop_limit } = common?;
    Some(control::settings::Settings {
        mesh,
        me,
        config_voters: votes.config,
        claims_voters: votes.claims,
        operators_addr: operators?,
        token: token?,
        dialect,
        election_timeout: time::Duration::from_millis(election),
        metrics,
        data_folder: data?,
        workers,
        stop_limit,
    })
}

const ADDR: &str = "an IP address and a port, as 127.0.0.1:7000";
const LEVELS: &str = "off, error, warn, info, debug or trace";
const NAME: &str = "1 to 64 letters, digits, '-', '_' or '.'";
const SEEDS: &str = "addresses with ports, separated by commas";
const TOKEN: &str = "at least 16 visible ASCII characters";
const VOTES: &str = "any of the words configuration, claims; or none";

/// The kinds of group in which a control votes.
#[derive(Clone, Copy, Default)]
struct VoterGroups {
    config: bool,
    claims: bool,
}

fn parse_name(text: &str) -> Option<CompactString> {
    bounds::is_name(text).then(|| text.into())
}

fn parse_level(text: &str) -> Option<log::LevelFilter> {
    text.parse().ok().filter(|_| text.bytes().all(|it| it.is_ascii_lowercase()))
}

fn parse_switch(text: &str) -> Option<bool> {
    match text {
        "off" => Some(false),
        "on" => Some(true),
        _ => None,
    }
}

fn parse_role(text: &str) -> Option<hosts::Role> {
    match text {
        "control" => Some(hosts::Role::Control),
        "node" => Some(hosts::Role::Node),
        _ => None,
    }
}

fn parse_addr(text: &str) -> Option<net::SocketAddr> {
    text.parse().ok()
}

fn parse_path(text: &str) -> Option<path::PathBuf> {
    (!text.is_empty()).then(|| text.into())
}

fn parse_token(text: &str) -> Option<CompactString> {
    let valid = text.len() >= 16 && text.chars().all(|it| it.is_ascii_graphic());
    valid.then(|| text.into())
}

fn parse_range<T: Copy + Ord + std::str::FromStr>(text: &str, low: T, high: T) -> Option<T> {
    text.parse().ok().filter(|it| (low..=high).contains(it))
}

/// Reads a rate in Mbit/s and returns bytes per second.
fn parse_link_rate(text: &str) -> Option<u64> {
    let mbps = text.parse::<f64>().ok().filter(|it| (0.01..=1e6).contains(it))?;
    Some((mbps * 1e6 / 8.0) as u64)
}

fn parse_votes(text: &str) -> Option<VoterGroups> {
    let mut groups = VoterGroups::default();
    for word in text.split_whitespace() {
        match word {
            "claims" => groups.claims = true,
            "configuration" => groups.config = true,
            "none" => {}
            _ => return None,
        }
    }
    (!text.trim().is_empty()).then_some(groups)
}
