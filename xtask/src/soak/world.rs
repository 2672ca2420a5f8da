//! One run: starts the processes and everything around them, injects the faults of the schedule,
//! checks, and reports.

use std::{fmt::Write as _, io, path, sync, time};

use tokio::task;

use super::{
    backends, callers, checks, history, host_set, hosts, ledger, monitor, network, operators,
    schedule, settings, tcp_relay,
};

/// How long all processes may take to start and to serve.
const MAX_START: time::Duration = time::Duration::from_secs(90);
/// How long processes may take to accept connections after the last fault.
const MAX_RESTART: time::Duration = time::Duration::from_secs(45);
/// The most violations that a report lists.
const MAX_LISTED: usize = 20;
/// A report lists the faults that were in force at most this long before the first violation.
const LISTED_BEFORE: time::Duration = time::Duration::from_secs(10);

/// What a run needs.
pub(crate) struct Options {
    pub(crate) binary: path::PathBuf,
    /// The folder for the controls' data.
    pub(crate) data: path::PathBuf,
    pub(crate) schedule: schedule::Schedule,
    /// The callers of each node.
    pub(crate) callers: usize,
    /// Whether the logs of a run that passes are kept.
    pub(crate) keep: bool,
}

/// The result of a run.
pub(crate) struct Report {
    pub(crate) passed: bool,
    pub(crate) text: String,
}

/// All that a run consists of. Dropping it kills the processes.
pub(crate) struct World {
    pub(crate) network: network::Network,
    pub(crate) hosts: Vec<sync::Arc<hosts::Host>>,
    /// The relays in front of the nodes' ports for callers.
    pub(crate) relays: sync::Arc<Vec<sync::Arc<tcp_relay::Relay>>>,
    /// The backend servers, by node.
    backends: Vec<backends::Backend>,
    pub(crate) operators: operators::Operators,
    pub(crate) history: sync::Arc<history::History>,
    pub(crate) ledger: sync::Arc<ledger::Ledger>,
    pub(crate) client: web::client::Client,
    monitor: sync::Arc<monitor::Monitor>,
    /// Tasks that supervise and watch the processes.
    _tasks: task::JoinSet<()>,
}

impl World {
    async fn start(
        options: &Options,
        folder: &path::Path,
        data: &path::Path,
    ) -> eyre::Result<World> {
        let sizes = options.schedule.sizes;
        let history = sync::Arc::new(history::History::default());
        let ledger = sync::Arc::new(ledger::Ledger::default());
        let addrs: Vec<_> = sizes.hosts().map(|_| hosts::Addrs::allocate()).collect();
        let places: Vec<_> = sizes
            .hosts()
            .zip(&addrs)
            .map(|(host, it)| network::Place { host, listen: it.listen })
            .collect();
        let (network, fronts) = network::Network::spawn(&places, options.schedule.seed).await?;
        let files = settings::write(folder, data, &addrs, &fronts)?;
        let host = |((id, addrs), files): ((host_set::HostId, &hosts::Addrs), hosts::Files)| {
            let (binary, history) = (options.binary.clone(), sync::Arc::clone(&history));
            sync::Arc::new(hosts::Host::new(id, *addrs, files, binary, history))
        };
        let hosts: Vec<_> = sizes.hosts().zip(&addrs).zip(files).map(host).collect();
        let monitor = sync::Arc::new(monitor::Monitor::default());
        let tasks = spawn_tasks(&hosts, &history, &monitor);
        let (relays, backends) =
            spawn_around(&hosts[host_set::CONTROLS..], &ledger, &history).await?;
        let controls = addrs[..host_set::CONTROLS].iter().map(|it| it.clients).collect();
        let operators = operators::Operators::spawn(controls, sync::Arc::clone(&history)).await?;
        let client = web::client::Client::new(web::client::Limits::default());
        let relays = sync::Arc::new(relays);
        Ok(World {
            network,
            hosts,
            relays,
            backends,
            operators,
            history,
            ledger,
            client,
            monitor,
            _tasks: tasks,
        })
    }

    /// The nodes in their order.
    pub(crate) fn nodes(&self) -> impl Iterator<Item = &sync::Arc<hosts::Host>> {
        self.hosts.iter().skip(host_set::CONTROLS)
    }

    /// The hosts that a fault affects.
    pub(crate) fn hosts(&self, fault: &schedule::Fault) -> impl Iterator<Item = &hosts::Host> {
        fault.hosts.iter().map(|it| &*self.hosts[it.0])
    }

    /// The relays of the callers of the nodes that a fault affects.
    pub(crate) fn caller_relays(
        &self,
        fault: &schedule::Fault,
    ) -> impl Iterator<Item = &sync::Arc<tcp_relay::Relay>> {
        fault.hosts.iter().filter_map(|it| Some(&self.relays[it.node()?]))
    }

    /// The backend servers of the nodes that a fault affects.
    pub(crate) fn backends(
        &self,
        fault: &schedule::Fault,
    ) -> impl Iterator<Item = &backends::Backend> {
        fault.hosts.iter().filter_map(|it| Some(&self.backends[it.node()?]))
    }

    /// Begins and ends the faults in their order.
    async fn inject(&self, faults: &[schedule::Fault], started: time::Instant) {
        let mut steps: Vec<_> = faults.iter().map(|it| (it.start, false, it)).collect();
        steps.extend(faults.iter().map(|it| (it.end(), true, it)));
        steps.sort_by_key(|it| (it.0, it.2.id, it.1));
        for (at, ends, fault) in steps {
            tokio::time::sleep_until((started + at).into()).await;
            if ends {
                (fault.kind.end)(self, fault);
                self.history.end(fault.id);
            } else {
                if let Some(cause) = fault.kind.cause {
                    self.history.begin(cause, fault.hosts, Some(fault.id));
                }
                (fault.kind.begin)(self, fault);
            }
        }
    }
}

fn spawn_tasks(
    hosts: &[sync::Arc<hosts::Host>],
    history: &sync::Arc<history::History>,
    monitor: &sync::Arc<monitor::Monitor>,
) -> task::JoinSet<()> {
    let mut tasks = task::JoinSet::new();
    for host in hosts {
        let supervised = sync::Arc::clone(host);
        tasks.spawn(async move { supervised.supervise().await });
        let (host, history) = (sync::Arc::clone(host), sync::Arc::clone(history));
        let monitor = sync::Arc::clone(monitor);
        tasks.spawn(async move { monitor.watch(&host, &history).await });
    }
    tasks
}

/// Starts the relays for callers and the backend servers of the nodes.
async fn spawn_around(
    nodes: &[sync::Arc<hosts::Host>],
    ledger: &sync::Arc<ledger::Ledger>,
    history: &sync::Arc<history::History>,
) -> io::Result<(Vec<sync::Arc<tcp_relay::Relay>>, Vec<backends::Backend>)> {
    let (mut relays, mut backends) = (Vec::new(), Vec::new());
    for (index, host) in nodes.iter().enumerate() {
        let relay = tcp_relay::Relay::spawn(host.addrs.clients).await?;
        relays.push(sync::Arc::new(relay));
        let (service, ledger) = (settings::service_of(index), sync::Arc::clone(ledger));
        let history = sync::Arc::clone(history);
        backends.push(backends::Backend::spawn(service, host, ledger, history).await?);
    }
    Ok((relays, backends))
}

/// Runs one seed. Fails only if the run cannot be made; what the checks find is in the report.
pub(crate) async fn run(options: Options) -> eyre::Result<Report> {
    let seed = options.schedule.seed;
    let mut folder = tempfile::Builder::new().prefix(&format!("soak-{seed}-")).tempdir()?;
    folder.disable_cleanup(true);
    let data = tempfile::Builder::new().prefix("soak-data-").tempdir_in(&options.data)?;
    let world = World::start(&options, folder.path(), data.path()).await?;
    let mut started = time::Instant::now();
    let mut text = String::new();
    if checks::wait_serving(&world, MAX_START).await {
        started = time::Instant::now();
        let record = run_faults(&world, &options, started, &mut text).await;
        checks::check_versions(&world, &record).await;
        checks::check_keys(&world, &record).await;
        let _ = write!(
            text,
            ", patches: {} accepted, {} refused, {} unknown",
            record.accepted.len(),
            record.refused.len(),
            record.unknown.len(),
        );
    }
    checks::check_records(&world);
    let (node, control) = world.monitor.memory();
    let _ = write!(text, ", at most {node:.1} MB a node, {control:.1} MB a control");
    let violations = world.history.violations();
    drop(world);
    let passed = violations.is_empty();
    let verdict = if passed { "passed" } else { "FAILED" };
    text = format!("seed {seed}: {verdict}{text}");
    if !passed {
        let _ = write!(text, "\n{}", describe(&options, &violations, started));
    }
    folder.disable_cleanup(!passed || options.keep);
    if !passed || options.keep {
        let _ = write!(text, "\nsettings and logs: {}", folder.path().display());
    }
    Ok(Report { passed, text })
}

/// Runs the callers, injects the faults and measures the recovery. Returns what became of the
/// patches.
async fn run_faults(
    world: &World,
    options: &Options,
    started: time::Instant,
    text: &mut String,
) -> operators::Record {
    let schedule = &options.schedule;
    let context = callers::Context {
        relays: sync::Arc::clone(&world.relays),
        nodes: world.nodes().cloned().collect(),
        history: sync::Arc::clone(&world.history),
        ledger: sync::Arc::clone(&world.ledger),
        stopping: sync::Arc::default(),
        lag_us: sync::Arc::default(),
    };
    let mut lag = task::JoinSet::new();
    lag.spawn(callers::measure_lag(sync::Arc::clone(&context.lag_us)));
    let callers = spawn_callers(&context, options);
    world.inject(&schedule.faults, started).await;
    checks::wait_up(world, MAX_RESTART).await;
    let under_faults = world.ledger.counts();
    let recovery = checks::measure_recovery(world).await;
    checks::stop_callers(&context, callers).await;
    let _ = write!(
        text,
        ", under {} faults {under_faults}, afterwards {}, at most {} attempts to open links a \
         node, threads of nodes waited {:.2} s at most for a processor, soak late by {} ms at most",
        schedule.faults.len(),
        recovery.counts,
        recovery.link_attempts,
        recovery.starved.as_secs_f64(),
        context.lag_us.load(sync::atomic::Ordering::Relaxed) / 1_000,
    );
    world.operators.finish().await
}

fn spawn_callers(context: &callers::Context, options: &Options) -> task::JoinSet<()> {
    let mut tasks = task::JoinSet::new();
    for node in 0..options.schedule.sizes.nodes {
        for index in 0..options.callers {
            let index = u64::try_from(node * options.callers + index).unwrap_or_default();
            let seed = options.schedule.seed;
            tasks.spawn(callers::Caller::new(context.clone(), seed, index, node).run());
        }
    }
    tasks
}

/// Lists the violations, and the faults around the first one.
fn describe(
    options: &Options,
    violations: &[history::Violation],
    started: time::Instant,
) -> String {
    let mut text = String::new();
    for violation in violations.iter().take(MAX_LISTED) {
        let at = violation.at.saturating_duration_since(started).as_secs_f64();
        let _ = writeln!(text, "  {at:.2} s: {}", violation.text);
    }
    let more = violations.len().saturating_sub(MAX_LISTED);
    if more > 0 {
        let _ = writeln!(text, "  and {more} more");
    }
    let Some(first) = violations.first() else { return text };
    let at = first.at.saturating_duration_since(started);
    let _ = writeln!(text, "faults in the {LISTED_BEFORE:?} before the first one:");
    let near = |it: &&schedule::Fault| it.start <= at && it.end() + LISTED_BEFORE >= at;
    for fault in options.schedule.faults.iter().filter(near) {
        let _ = writeln!(text, "  {fault}");
    }
    text
}
