//! Distribution of versions against full snapshots and unbounded snapshot slots, and its cost.

mod model;

use std::{hint, thread, time};

use distribution::{attach, floor, messages, relay, updater};
use rand::{SeedableRng as _, rngs};
use world::{document, time::Time};

const NODES: [usize; 3] = [50, 200, 800];
const SERVICES: [usize; 3] = [100, 500, 2_300];
/// Routes of a service, which make about 500 B a service with it.
const ROUTES: usize = 3;
/// Patches of the burst, and the time over which they are spread.
const BURST: (usize, time::Duration) = (100, time::Duration::from_secs(1));
/// An accepted configuration is in force everywhere within this time.
const CONVERGENCE: time::Duration = time::Duration::from_secs(5);
/// Control bytes of a node in a second, on average.
const BUDGET: f64 = 6_000.0;
/// How long a fleet may take at most in virtual time.
const LIMIT: time::Duration = time::Duration::from_secs(3_600);
/// Services times nodes that apply deltas in full; the other nodes only confirm them.
const APPLIED: usize = 2_000;
/// Accepted changes in a second: 19,000 a day.
const CHANGES: f64 = 19_000.0 / 86_400.0;
/// The share of a core that a node's control work may take, in percent.
const CORE: f64 = 1.3;
/// Runs of which the median is the cost.
const COST_RUNS: usize = 15;

/// Time to converge and control bytes of the distribution of versions, and its cost.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "distribution")]
pub(super) struct Args {
    /// seed of a run; may be given several times; the default is 1 and 2
    #[argh(option)]
    seed: Vec<u64>,
    /// services of the documents; may be given several times; the default is 100, 500 and 2300
    #[argh(option)]
    services: Vec<usize>,
    /// nodes; may be given several times; the default is 50, 200 and 800
    #[argh(option)]
    nodes: Vec<usize>,
    /// leave out the processor time
    #[argh(switch)]
    no_cost: bool,
}

/// One measured value.
struct Row {
    load: &'static str,
    size: (usize, usize),
    seed: u64,
    measure: &'static str,
    value: f64,
    unit: &'static str,
    bound: Option<(f64, &'static str)>,
    baseline: String,
}

/// Runs the bench and prints its tables.
pub(super) fn run(args: &Args) -> eyre::Result<()> {
    let seeds = if args.seed.is_empty() { &[1, 2][..] } else { &args.seed };
    let services = if args.services.is_empty() { &SERVICES[..] } else { &args.services };
    let nodes = if args.nodes.is_empty() { &NODES[..] } else { &args.nodes };
    let mut rows = Vec::new();
    for &seed in seeds {
        for &services in services {
            let changes = changes(services)?;
            let cells = thread::scope(|scope| {
                let start = |nodes| {
                    let changes = &changes;
                    scope.spawn(move || cell(seed, nodes, services, changes))
                };
                let handles: Vec<_> = nodes.iter().copied().map(start).collect();
                handles.into_iter().map(thread::ScopedJoinHandle::join).collect::<Vec<_>>()
            });
            for cell in cells {
                rows.extend(cell.map_err(|_| eyre::eyre!("a run panicked"))?);
            }
        }
    }
    report(&rows);
    if !args.no_cost {
        report_cost()?;
    }
    let failed = rows.iter().filter(|it| !it.passes()).count();
    eyre::ensure!(failed == 0, "{failed} of {} rows failed", rows.len());
    Ok(())
}

fn cell(seed: u64, nodes: usize, services: usize, changes: &[model::Change]) -> Vec<Row> {
    let mut rows = Vec::new();
    let size = (nodes, services);
    let Some(first) = changes.first() else { return rows };
    let snapshot = snapshot_size(first);
    let slow = model::Delay::Rate(BUDGET);
    let mut fleet = model::Fleet::start(seed, nodes, first, slow);
    let latest = first.head.of.version;
    let outcome = fleet.measure(latest, CONVERGENCE, LIMIT);
    herd_rows("herd, 6 KB/s", size, seed, &outcome, slow.of(snapshot), snapshot, &mut rows);

    let fast = model::Delay::Fixed(time::Duration::from_secs(1));
    let mut fleet = model::Fleet::start(seed, nodes, first, fast);
    let outcome = fleet.measure(latest, CONVERGENCE, LIMIT);
    herd_rows("herd, 1 s", size, seed, &outcome, fast.of(snapshot), snapshot, &mut rows);

    fleet.shadow_after((APPLIED / services).max(4));
    for (load, part, span) in [
        ("one change", &changes[1..2], time::Duration::ZERO),
        ("burst of 100", &changes[2..], BURST.1),
    ] {
        let Some(last) = part.last() else { continue };
        fleet.start_measuring();
        fleet.learn(part, span);
        let outcome = fleet.measure(last.head.of.version, CONVERGENCE, LIMIT);
        change_rows(load, size, seed, &outcome, part, span, &mut rows);
    }
    rows
}

/// Rows of a restart of all nodes. With unbounded slots every node gets its snapshot at once.
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
        value: outcome.most_slots as f64,
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

/// Rows of changes. The baseline sends each version in full at the node's budget, one after the
/// other; unbounded slots make no difference, since no snapshot is sent.
fn change_rows(
    load: &'static str,
    size: (usize, usize),
    seed: u64,
    outcome: &model::Outcome,
    part: &[model::Change],
    span: time::Duration,
    rows: &mut Vec<Row>,
) {
    let mut end = time::Duration::ZERO;
    let mut bytes = 0;
    for (index, change) in part.iter().enumerate() {
        let at = span.mul_f64(index as f64 / part.len() as f64);
        let snapshot = snapshot_size(change);
        end = end.max(at) + model::Delay::Rate(BUDGET).of(snapshot);
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
    let took = outcome.took.map_or(f64::INFINITY, |it| it.as_secs_f64());
    let rate = outcome.most_bytes as f64 / outcome.window.as_secs_f64();
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
    let five = Some((CONVERGENCE.as_secs_f64(), "in force within 5 s"));
    [
        row("time to converge", took, "s", five, baseline),
        row("control bytes per node", outcome.mean_bytes, "B", None, base),
        row("rate of the worst node", rate, "B/s", Some((BUDGET, "6 KB/s a node")), "-".into()),
    ]
}

fn snapshot_size(change: &model::Change) -> u64 {
    let head = &change.head;
    let snapshot = messages::Snapshot { of: head.of, document: head.document.clone() };
    let session = messages::SessionId(u64::MAX);
    model::size(&messages::ToNode::Snapshot(session, messages::Proof::None, snapshot))
}

/// The first version of so many services, one change and a burst.
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
        for route in 0..ROUTES {
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
fn report(rows: &[Row]) {
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

/// Prints the processor time of a change at the relay, by nodes, and at a node, by services.
#[expect(clippy::print_stdout, reason = "the table is the bench's output")]
fn report_cost() -> eyre::Result<()> {
    println!(
        "\n| nodes | services | relay per change, us | node per change, us | node per snapshot, us | node's share of a core at 19,000 changes a day, % | <= {CORE}, design page | node's time for a burst of 100, s | <= 5, design page |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for services in SERVICES {
        let changes = changes(services)?;
        let [delta, snapshot] = node_cost(&changes);
        let share = delta / 1e6 * CHANGES * 100.0;
        let result = if share <= CORE { "pass" } else { "FAIL" };
        let burst = delta / 1e6 * BURST.0 as f64;
        let in_time = if burst <= CONVERGENCE.as_secs_f64() { "pass" } else { "FAIL" };
        for nodes in NODES {
            let relay = relay_cost(nodes, &changes);
            println!(
                "| {nodes} | {services} | {relay:.1} | {delta:.1} | {snapshot:.1} | {share:.2} | {result} | {burst:.2} | {in_time} |"
            );
        }
    }
    Ok(())
}

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
        let begun = time::Instant::now();
        hint::black_box(relay.committed(now, change.delta.clone(), change.head.clone(), &mut rng));
        hint::black_box(relay.synced(now, of.version, &mut rng));
        for &(session, key) in &keys {
            let confirm = messages::ToControl::Confirm(session, of);
            hint::black_box(relay.message(now, key, confirm, &mut rng));
        }
        begun.elapsed().as_secs_f64() * 1e6
    });
    median(costs.collect())
}

/// The cost of a delta and of a snapshot.
fn node_cost(changes: &[model::Change]) -> [f64; 2] {
    let now = Time::from_millis(60_000);
    let mut rng = rngs::StdRng::seed_from_u64(1);
    let first = &changes[0].head;
    let mut deltas = Vec::new();
    let mut snapshots = Vec::new();
    let Some((mut node, control, session)) = attached(now, first, &mut rng) else {
        return [f64::NAN; 2];
    };
    let snapshot = messages::Snapshot { of: first.of, document: first.document.clone() };
    let message = messages::ToNode::Snapshot(session, messages::Proof::None, snapshot);
    for _ in 0..COST_RUNS {
        let mut fresh = node.clone();
        let begun = time::Instant::now();
        hint::black_box(fresh.message(now, control, message.clone(), &mut rng));
        snapshots.push(begun.elapsed().as_secs_f64() * 1e6);
    }
    node.message(now, control, message, &mut rng);
    for change in changes[1..].iter().take(COST_RUNS) {
        let message = messages::ToNode::Delta(session, change.delta.clone());
        let begun = time::Instant::now();
        hint::black_box(node.message(now, control, message, &mut rng));
        deltas.push(begun.elapsed().as_secs_f64() * 1e6);
    }
    // A version that was not applied would make the cost look low.
    let applied = node.running().is_some_and(|it| it.version().0 == COST_RUNS as u64 + 1);
    if applied { [median(deltas), median(snapshots)] } else { [f64::NAN; 2] }
}

/// A node that waits for its first version.
fn attached(
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
    let attachment = attach::Attachment::new("control-skulte".into(), Vec::new());
    let mut node = updater::Updater::new(settings, attachment, now);
    let token = floor::Token { version: head.of.version, epoch: 1 }.encode();
    node.renewal(now, Some(&token), rng);
    node.tick(now, rng);
    let control = node.attachment().keys().next()?;
    let effects = node.connected(control, rng);
    let session = effects.iter().find_map(|it| match it {
        updater::Effect::SendHello(_, hello) => Some(hello.session),
        _ => None,
    })?;
    let stamp = messages::Timestamp { epoch: 1, at: now };
    let ack = messages::Ack { session, stamp, isolated: false, version: head.of.version };
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
