//! Time and bytes until all nodes run a new version, compared with full snapshots and with
//! unbounded snapshot slots, and the processing time of a change at the relay and at a node.
//!
//! The loads are a restart of all nodes at once ("herd"), one change, and a burst of changes, with
//! one relay in one data centre. Message loss, failures and an isolated control are left out.

mod model;

use std::{hint, thread, time};

use distribution::{attach, floor, messages, relay, updater};
use rand::{SeedableRng as _, rngs};
use world::{document, time::Time};

const NODE_COUNTS: [usize; 3] = [50, 200, 800];
const SERVICE_COUNTS: [usize; 3] = [100, 500, 2_300];
/// Routes per service. A service and its routes take about 500 B of the document.
const ROUTES_PER_SERVICE: usize = 3;
/// Number of patches in the burst, and the time over which they are spread.
const BURST: (usize, time::Duration) = (100, time::Duration::from_secs(1));
/// Design goal: the time within which all nodes run an accepted configuration.
const CONVERGENCE_BOUND: time::Duration = time::Duration::from_secs(5);
/// Design goal: control traffic of a node in bytes per second, sent and received, as a mean over
/// time.
const RATE_BOUND: f64 = 6_000.0;
/// Virtual time after which a run ends even if the nodes haven't converged.
const RUN_LIMIT: time::Duration = time::Duration::from_secs(3_600);
/// Product of the services and of the nodes that apply deltas, of which there are at least four.
/// The other nodes only confirm deltas, which keeps the bench short.
const APPLIED_SERVICES: usize = 2_000;
/// Accepted changes per second, which are 19,000 a day.
const CHANGES_PER_S: f64 = 19_000.0 / 86_400.0;
/// Design goal: the share of a core that a node's control work may take, in percent.
const CORE_PERCENT: f64 = 1.3;
/// Number of timed runs; the cost is their median.
const COST_RUNS: usize = 15;

/// Measure time to converge, control traffic and processing time of the distribution of versions.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "distribution")]
pub(super) struct Args {
    /// random seed; may be given several times (default 1 and 2)
    #[argh(option)]
    seed: Vec<u64>,
    /// number of services in the configuration; may be given several times (default 100, 500 and
    /// 2300)
    #[argh(option)]
    services: Vec<usize>,
    /// number of nodes; may be given several times (default 50, 200 and 800)
    #[argh(option)]
    nodes: Vec<usize>,
    /// skip the measurement of processing time
    #[argh(switch)]
    no_cost: bool,
}

/// A row of the printed table.
struct Row {
    load: &'static str,
    /// Numbers of nodes and services.
    size: (usize, usize),
    seed: u64,
    measure: &'static str,
    value: f64,
    unit: &'static str,
    /// Upper bound of the value, and the design goal that it comes from.
    bound: Option<(f64, &'static str)>,
    baseline: String,
}

pub(super) fn run(args: &Args) -> eyre::Result<()> {
    let seeds = if args.seed.is_empty() { &[1, 2][..] } else { &args.seed };
    let services = if args.services.is_empty() { &SERVICE_COUNTS[..] } else { &args.services };
    let nodes = if args.nodes.is_empty() { &NODE_COUNTS[..] } else { &args.nodes };
    let mut rows = Vec::new();
    for &seed in seeds {
        for &services in services {
            let changes = changes(services)?;
            let results = thread::scope(|scope| {
                let start = |nodes| {
                    let changes = &changes;
                    scope.spawn(move || measure_size(seed, nodes, services, changes))
                };
                let handles: Vec<_> = nodes.iter().copied().map(start).collect();
                handles.into_iter().map(thread::ScopedJoinHandle::join).collect::<Vec<_>>()
            });
            for result in results {
                rows.extend(result.map_err(|_| eyre::eyre!("a simulation panicked"))?);
            }
        }
    }
    print_rows(&rows);
    if !args.no_cost {
        print_cost()?;
    }
    let failed = rows.iter().filter(|it| !it.passes()).count();
    eyre::ensure!(failed == 0, "{failed} of {} rows failed", rows.len());
    Ok(())
}

fn measure_size(seed: u64, nodes: usize, services: usize, changes: &[model::Change]) -> Vec<Row> {
    let mut rows = Vec::new();
    let size = (nodes, services);
    let Some(first) = changes.first() else { return rows };
    let snapshot = snapshot_size(first);
    let slow = model::Delay::Rate(RATE_BOUND);
    let mut fleet = model::Fleet::start(seed, nodes, first, slow);
    let latest = first.head.of.version;
    let outcome = fleet.measure(latest, CONVERGENCE_BOUND, RUN_LIMIT);
    herd_rows("herd, 6 KB/s", size, seed, &outcome, slow.of(snapshot), snapshot, &mut rows);

    let fast = model::Delay::Fixed(time::Duration::from_secs(1));
    let mut fleet = model::Fleet::start(seed, nodes, first, fast);
    let outcome = fleet.measure(latest, CONVERGENCE_BOUND, RUN_LIMIT);
    herd_rows("herd, 1 s", size, seed, &outcome, fast.of(snapshot), snapshot, &mut rows);

    fleet.confirm_only_after((APPLIED_SERVICES / services).max(4));
    for (load, batch, span) in [
        ("one change", &changes[1..2], time::Duration::ZERO),
        ("burst of 100", &changes[2..], BURST.1),
    ] {
        let Some(last) = batch.last() else { continue };
        fleet.start_measuring();
        fleet.commit(batch, span);
        let outcome = fleet.measure(last.head.of.version, CONVERGENCE_BOUND, RUN_LIMIT);
        change_rows(load, size, seed, &outcome, batch, span, &mut rows);
    }
    rows
}

/// Adds the rows of a restart of all nodes. In the baseline with unbounded slots, every node gets
/// its snapshot at once, which takes `alone`.
fn herd_rows(
    load: &'static str,
    size: (usize, usize),
    seed: u64,
    outcome: &model::Outcome,
    alone: time::Duration,
    snapshot: u64,
    rows: &mut Vec<Row>,
) {
    let unbounded = format!("unbounded slots: {:.3}", alone.as_secs_f64());
    rows.extend(common_rows(load, size, seed, outcome, unbounded, snapshot as f64));
    rows.push(Row {
        load,
        size,
        seed,
        measure: "relay's snapshots at once",
        value: outcome.peak_snapshots as f64,
        unit: "",
        bound: Some((relay::SNAPSHOT_SLOTS as f64, "slots")),
        baseline: format!("unbounded slots: {}", size.0),
    });
    rows.push(Row {
        load,
        size,
        seed,
        measure: "snapshots per node",
        value: f64::from(outcome.snapshots) / size.0 as f64,
        unit: "",
        bound: None,
        baseline: "unbounded slots: 1".into(),
    });
}

/// Adds the rows of a batch of changes. The baseline sends each version in full, one after the
/// other, at the rate of the traffic goal. Unbounded slots make no difference, since no snapshot is
/// sent.
fn change_rows(
    load: &'static str,
    size: (usize, usize),
    seed: u64,
    outcome: &model::Outcome,
    batch: &[model::Change],
    span: time::Duration,
    rows: &mut Vec<Row>,
) {
    let mut end = time::Duration::ZERO;
    let mut bytes = 0;
    for (index, change) in batch.iter().enumerate() {
        let at = span.mul_f64(index as f64 / batch.len() as f64);
        let snapshot = snapshot_size(change);
        end = end.max(at) + model::Delay::Rate(RATE_BOUND).of(snapshot);
        bytes += snapshot;
    }
    let baseline =
        format!("full snapshots at 6 KB/s: {:.1}; unbounded slots: same", end.as_secs_f64());
    rows.extend(common_rows(load, size, seed, outcome, baseline, bytes as f64));
}

fn common_rows(
    load: &'static str,
    size: (usize, usize),
    seed: u64,
    outcome: &model::Outcome,
    baseline: String,
    baseline_bytes: f64,
) -> [Row; 3] {
    let seconds = outcome.converged_after.map_or(f64::INFINITY, |it| it.as_secs_f64());
    let rate = outcome.max_bytes as f64 / outcome.window.as_secs_f64();
    let base = format!("snapshots alone: {baseline_bytes:.0}");
    let row = |measure, value, unit, bound, baseline| Row {
        load,
        size,
        seed,
        measure,
        value,
        unit,
        bound,
        baseline,
    };
    let bound_s = Some((CONVERGENCE_BOUND.as_secs_f64(), "in force within 5 s"));
    [
        row("time to converge", seconds, "s", bound_s, baseline),
        row("control bytes per node", outcome.mean_bytes, "B", None, base),
        row("rate of the worst node", rate, "B/s", Some((RATE_BOUND, "6 KB/s a node")), "-".into()),
    ]
}

fn snapshot_size(change: &model::Change) -> u64 {
    let head = &change.head;
    let snapshot = messages::Snapshot { of: head.of, document: head.document.clone() };
    let session = messages::SessionId(u64::MAX);
    model::size(&messages::ToNode::Snapshot(session, messages::Proof::None, snapshot))
}

/// The versions of a run: the first with all services, then one change, then the burst.
fn changes(services: usize) -> eyre::Result<Vec<model::Change>> {
    let first = first_patch(services);
    let mut base = document::Document::default();
    let mut changes = Vec::new();
    for step in 0..BURST.0 + 2 {
        let patch = match step {
            0 => first.clone(),
            _ => {
                let name = format!("service-{:04}", step * 7 % services);
                serde_json::json!({ "services": { name: { "slots": 8 + step, "queue": 32 } } })
            }
        };
        base = document::merge(&base, &patch).map_err(|it| eyre::eyre!("{it:?}"))?;
        let version = document::Version(step as u64 + 1);
        let of = messages::Numbered { version, digest: document::digest(&base) };
        let text = document::to_value(&base).to_string();
        let head = relay::Head { of, document: text.into(), level: 0 };
        let delta = messages::Delta { to: of, patch: patch.to_string().into() };
        changes.push(model::Change { delta, head });
    }
    Ok(changes)
}

fn first_patch(services: usize) -> serde_json::Value {
    let mut all = serde_json::Map::new();
    let mut routes = serde_json::Map::new();
    for service in 0..services {
        let name = format!("service-{service:04}");
        for route in 0..ROUTES_PER_SERVICE {
            let prefix = format!("/{name}/v{route}");
            let spec = serde_json::json!({
                "prefix": prefix, "service": name, "timeout_ms": 1_500, "weight": 20,
            });
            routes.insert(format!("{name}-v{route}"), spec);
        }
        all.insert(name, serde_json::json!({ "home": "vidzeme", "timeout_ms": 2_000 }));
    }
    serde_json::json!({ "services": all, "routes": routes })
}

impl Row {
    fn passes(&self) -> bool {
        self.bound.is_none_or(|(bound, _)| self.value <= bound)
    }
}

#[expect(clippy::print_stdout, reason = "the table is the bench's output")]
fn print_rows(rows: &[Row]) {
    println!(
        "| load | nodes | services | seed | measure | value | unit | bound | source of the bound | baseline | result |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for it in rows {
        let Row { load, size: (nodes, services), seed, measure, value, unit, baseline, .. } = it;
        let (bound, source) = match it.bound {
            Some((bound, source)) => (format!("<= {bound}"), format!("design page: {source}")),
            None => ("-".into(), "-".into()),
        };
        let result = match it.bound {
            None => "-",
            Some(_) if it.passes() => "pass",
            Some(_) => "FAIL",
        };
        println!(
            "| {load} | {nodes} | {services} | {seed} | {measure} | {value:.3} | {unit} | {bound} | {source} | {baseline} | {result} |"
        );
    }
    let failed = rows.iter().filter(|it| !it.passes()).count();
    println!("\n{} rows, {failed} failed", rows.len());
}

/// Prints the processing time of a change at the relay by number of nodes, and at a node by number
/// of services.
#[expect(clippy::print_stdout, reason = "the table is the bench's output")]
fn print_cost() -> eyre::Result<()> {
    println!(
        "\n| nodes | services | relay per change, us | node per change, us | node per snapshot, us | node's share of a core at 19,000 changes a day, % | <= {CORE_PERCENT}, design page | node's time for a burst of 100, s | <= 5, design page |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for services in SERVICE_COUNTS {
        let changes = changes(services)?;
        let [delta, snapshot] = node_cost(&changes);
        let share = delta / 1e6 * CHANGES_PER_S * 100.0;
        let result = if share <= CORE_PERCENT { "pass" } else { "FAIL" };
        let burst = delta / 1e6 * BURST.0 as f64;
        let in_time = if burst <= CONVERGENCE_BOUND.as_secs_f64() { "pass" } else { "FAIL" };
        for nodes in NODE_COUNTS {
            let relay = relay_cost(nodes, &changes);
            println!(
                "| {nodes} | {services} | {relay:.1} | {delta:.1} | {snapshot:.1} | {share:.2} | {result} | {burst:.2} | {in_time} |"
            );
        }
    }
    Ok(())
}

/// Median time in microseconds that a relay takes for a change, the nodes' confirmations included.
fn relay_cost(nodes: usize, changes: &[model::Change]) -> f64 {
    let now = Time::from_millis(60_000);
    let mut rng = rngs::StdRng::seed_from_u64(1);
    let first = &changes[0];
    let mut relay = relay::Relay::new(1, first.head.clone(), [first.delta.clone()], true);
    let keys: Vec<_> = (0..nodes)
        .map(|node| {
            let hello = hello(node, Some(first.head.of));
            (hello.session, relay.hello(now, hello, &mut rng).0)
        })
        .collect();
    let costs = changes[1..].iter().take(COST_RUNS).map(|change| {
        let of = change.head.of;
        let start = time::Instant::now();
        hint::black_box(relay.committed(now, change.delta.clone(), change.head.clone(), &mut rng));
        hint::black_box(relay.synced(now, of.version, &mut rng));
        for &(session, key) in &keys {
            let confirm = messages::ToControl::Confirm(session, of);
            hint::black_box(relay.message(now, key, confirm, &mut rng));
        }
        start.elapsed().as_secs_f64() * 1e6
    });
    median(costs.collect())
}

/// Median time in microseconds that a node takes to apply a delta and to apply a snapshot; NaN if
/// it did not apply all of them.
fn node_cost(changes: &[model::Change]) -> [f64; 2] {
    let now = Time::from_millis(60_000);
    let mut rng = rngs::StdRng::seed_from_u64(1);
    let first = &changes[0].head;
    let mut deltas = Vec::new();
    let mut snapshots = Vec::new();
    let Some((mut node, control, session)) = attached_node(now, first, &mut rng) else {
        return [f64::NAN; 2];
    };
    let snapshot = messages::Snapshot { of: first.of, document: first.document.clone() };
    let message = messages::ToNode::Snapshot(session, messages::Proof::None, snapshot);
    for _ in 0..COST_RUNS {
        let mut fresh = node.clone();
        let start = time::Instant::now();
        hint::black_box(fresh.message(now, control, message.clone(), &mut rng));
        snapshots.push(start.elapsed().as_secs_f64() * 1e6);
    }
    node.message(now, control, message, &mut rng);
    for change in changes[1..].iter().take(COST_RUNS) {
        let message = messages::ToNode::Delta(session, change.delta.clone());
        let start = time::Instant::now();
        hint::black_box(node.message(now, control, message, &mut rng));
        deltas.push(start.elapsed().as_secs_f64() * 1e6);
    }
    // A rejected version costs less than an applied one and would lower the median.
    let applied = node.running().is_some_and(|it| it.version().0 == COST_RUNS as u64 + 1);
    if applied { [median(deltas), median(snapshots)] } else { [f64::NAN; 2] }
}

/// A node that is attached and waits for its first version.
fn attached_node(
    now: Time,
    head: &relay::Head,
    rng: &mut rngs::StdRng,
) -> Option<(updater::Updater, attach::ControlKey, messages::SessionId)> {
    let settings = updater::Settings {
        node: "node".into(),
        data_centre: "skulte".into(),
        level: document::LEVEL,
        epoch: 2,
        tokens: true,
    };
    let home = "control-skulte";
    let attachment = attach::Attachment::new(home.into(), Vec::new());
    let mut node = updater::Updater::new(settings, attachment, now);
    let token = floor::Token { version: head.of.version, epoch: 1 };
    let token = floor::StoredToken { token, home: floor::HomeId::of(home) };
    node.renewal(now, Some(&token.encode()), rng);
    node.tick(now, rng);
    let control = node.attachment().keys().next()?;
    let effects = node.connected(control, rng);
    let session = effects.iter().find_map(|it| match it {
        updater::Effect::SendHello(_, hello) => Some(hello.session),
        _ => None,
    })?;
    let stamp = messages::Timestamp { epoch: 1, at: now };
    let ack =
        messages::Ack { session, stamp, isolated: false, version: head.of.version, age_ms: 100 };
    node.message(now, control, messages::ToNode::Ack(ack), rng);
    Some((node, control, session))
}

fn hello(node: usize, running: Option<messages::Numbered>) -> messages::Hello {
    messages::Hello {
        session: messages::SessionId(node as u64),
        node: format!("node-{node}").into(),
        data_centre: "skulte".into(),
        home: true,
        level: document::LEVEL,
        running,
        floor: floor::Floor::Absent,
    }
}

fn median(mut costs: Vec<f64>) -> f64 {
    costs.sort_by(f64::total_cmp);
    costs.get(costs.len() / 2).copied().unwrap_or(f64::NAN)
}
