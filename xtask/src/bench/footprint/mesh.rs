//! CPU time, memory and traffic of the nodes and a control, by the number of nodes, services and
//! targets.

use std::time;

use heatherwalk::example;
use tokio::time as timers;

use super::{Table, stand_in};
use crate::bench::{added_time, processes};

const NODE_COUNTS: [u32; 3] = [10, 40, 120];
const SERVICE_COUNTS: [u32; 3] = [100, 500, 2_300];
const TARGET_COUNTS: [u32; 3] = [100, 1_000, 25_000];
/// Node processes while the number of services or targets varies.
const FIXED_NODES: u32 = 10;
/// Changes over which the cost of one is averaged.
const CHANGES: u32 = 10;
const CHANGE_PAUSE: time::Duration = time::Duration::from_millis(500);
/// Wait before an idle measurement, which leaves out the work of the start. The last of it is an
/// event for each target when its cold start ends after 10 s.
const WARM_UP: time::Duration = time::Duration::from_secs(12);
/// Requests per second at a node, about as many as at the target scale.
const REQUESTS_PER_S: u32 = 350;

/// A running mesh with an example backend server beside each node.
pub(super) struct Testbed {
    pub(super) mesh: processes::Mesh,
    servers: Vec<example::Server>,
    /// Version of the configuration, which is the base of the next patch.
    version: u64,
}

/// Counters of the first control and the nodes at one time.
struct Reading {
    at: time::Instant,
    control: processes::Usage,
    /// Means over the nodes.
    node: processes::Usage,
    /// Mean UDP payload on a node's links to its control in both directions, in bytes.
    node_bytes: f64,
    /// UDP payload that the control has sent on its links, in bytes.
    control_bytes: f64,
}

/// Use of resources per second between two readings: CPU in seconds and traffic in bytes, the
/// node's as a mean over all nodes.
struct Rates {
    /// Time between the readings.
    seconds: f64,
    control_cpu: f64,
    node_cpu: f64,
    node_bytes: f64,
    control_bytes: f64,
}

impl Testbed {
    pub(super) async fn start(options: &processes::Options, nodes: u32) -> eyre::Result<Testbed> {
        let mesh = processes::Mesh::start(options.clone())?;
        let mut testbed = Testbed { mesh, servers: Vec::new(), version: 0 };
        let service = serde_json::json!({"home": "vidzeme", "slots": 64});
        let route = serde_json::json!({"prefix": "/here", "service": "here"});
        let patch = serde_json::json!({"services": {"here": service}, "routes": {"here": route}});
        testbed.patch(&patch).await?;
        testbed.scale_to(nodes).await?;
        Ok(testbed)
    }

    /// Starts nodes, each with a backend server, until there are `nodes`, and waits until all of
    /// them run the control's version.
    async fn scale_to(&mut self, nodes: u32) -> eyre::Result<()> {
        while self.mesh.nodes.len() < nodes as usize {
            self.mesh.start_node()?;
            let announce = self.mesh.nodes.last().map(|it| it.announce);
            let announce = announce.ok_or_else(|| eyre::eyre!("no node was started"))?;
            let name = "here".into();
            let settings = example::Settings { service: "here".into(), name, announce, slots: 64 };
            let server = example::Server::spawn(settings, example::echo("here".into())).await?;
            self.servers.push(server);
        }
        self.mesh.wait_converged(u64::from(nodes)).await
    }

    /// Applies a patch to the current version of the configuration.
    pub(super) async fn patch(&mut self, patch: &serde_json::Value) -> eyre::Result<()> {
        let request = format!("bench-{}", self.version);
        self.mesh.patch(self.version, &request, patch).await?;
        self.version += 1;
        Ok(())
    }

    /// Reads the counters of the first control and all nodes.
    async fn read(&self) -> eyre::Result<Reading> {
        let at = time::Instant::now();
        let control = self.mesh.controls[0].process.usage()?;
        let mut node = processes::Usage::default();
        let mut node_bytes = 0.0;
        let count = self.mesh.nodes.len() as f64;
        for it in &self.mesh.nodes {
            let usage = it.process.usage()?;
            node.cpu_s += usage.cpu_s / count;
            node.resident_mb += usage.resident_mb / count;
            node_bytes +=
                processes::metric_sum(it.metrics, "heatherwalk_node_control").await? / count;
        }
        let page = self.mesh.controls[0].metrics;
        let control_bytes = processes::metric_sum(page, "heatherwalk_control_sent").await?;
        Ok(Reading { at, control, node, node_bytes, control_bytes })
    }

    /// Measures a mesh without requests or changes. Returns its rates and the last reading.
    async fn measure_idle(&self, seconds: u64) -> eyre::Result<(Rates, Reading)> {
        timers::sleep(WARM_UP).await;
        let before = self.read().await?;
        timers::sleep(time::Duration::from_secs(seconds)).await;
        let after = self.read().await?;
        Ok((rates_between(&before, &after), after))
    }

    /// Adds the idle figures and the cost of a change of the configuration to `table`.
    async fn measure(&mut self, table: &mut Table, size: u32, seconds: u64) -> eyre::Result<()> {
        let (idle, reading) = self.measure_idle(seconds).await?;
        table.add("node, CPU", "% of a core", size, idle.node_cpu * 100.0);
        table.add("node, resident", "MB", size, reading.node.resident_mb);
        table.add("node, control traffic", "B/s", size, idle.node_bytes);
        table.add("control, CPU", "% of a core", size, idle.control_cpu * 100.0);
        table.add("control, resident", "MB", size, reading.control.resident_mb);
        table.add("control, sent to all its nodes", "B/s", size, idle.control_bytes);
        let before = self.read().await?;
        let mut slowest: f64 = 0.0;
        for index in 0..CHANGES {
            let slots = 64 + index % 2;
            let patch = serde_json::json!({"services": {"here": {"slots": slots}}});
            let start = time::Instant::now();
            self.patch(&patch).await?;
            self.mesh.wait_converged(self.mesh.nodes.len() as u64).await?;
            slowest = slowest.max(start.elapsed().as_secs_f64());
            timers::sleep(CHANGE_PAUSE).await;
        }
        let after = self.read().await?;
        let busy = rates_between(&before, &after);
        // The idle use over the same time is subtracted.
        let per_change = |busy_rate: f64, idle_rate: f64| {
            (busy_rate - idle_rate) * busy.seconds / f64::from(CHANGES)
        };
        let node_ms = per_change(busy.node_cpu, idle.node_cpu) * 1e3;
        let control_ms = per_change(busy.control_cpu, idle.control_cpu) * 1e3;
        let bytes = per_change(busy.node_bytes, idle.node_bytes);
        table.add("change, node CPU", "ms", size, node_ms);
        table.add("change, control CPU, polling included", "ms", size, control_ms);
        table.add("change, bytes of a node", "B", size, bytes);
        let sent = per_change(busy.control_bytes, idle.control_bytes);
        table.add("change, sent to all nodes", "B", size, sent);
        table.add("change, slowest until in force", "s", size, slowest);
        Ok(())
    }
}

fn rates_between(before: &Reading, after: &Reading) -> Rates {
    let seconds = (after.at - before.at).as_secs_f64();
    Rates {
        seconds,
        control_cpu: (after.control.cpu_s - before.control.cpu_s) / seconds,
        node_cpu: (after.node.cpu_s - before.node.cpu_s) / seconds,
        node_bytes: (after.node_bytes - before.node_bytes) / seconds,
        control_bytes: (after.control_bytes - before.control_bytes) / seconds,
    }
}

pub(super) async fn measure_nodes(seconds: u64, options: &processes::Options) -> eyre::Result<()> {
    let mut table = Table::default();
    let mut testbed = Testbed::start(options, 0).await?;
    for nodes in NODE_COUNTS {
        testbed.scale_to(nodes).await?;
        testbed.measure(&mut table, nodes, seconds).await?;
    }
    table.print("nodes attached");
    Ok(())
}

pub(super) async fn measure_services(
    seconds: u64,
    options: &processes::Options,
) -> eyre::Result<()> {
    let mut table = Table::default();
    let mut testbed = Testbed::start(options, FIXED_NODES).await?;
    for count in SERVICE_COUNTS {
        let mut services = serde_json::Map::new();
        let mut routes = serde_json::Map::new();
        // The service of the node processes is one of them.
        for index in 1..count {
            let name = format!("service-{index}");
            let service = serde_json::json!({"slots": 12, "queue": 24, "home": "vidzeme"});
            let route = serde_json::json!({"prefix": format!("/{name}"), "service": name});
            routes.insert(name.clone(), route);
            services.insert(name, service);
        }
        testbed.patch(&serde_json::json!({"services": services, "routes": routes})).await?;
        testbed.mesh.wait_converged(u64::from(FIXED_NODES)).await?;
        testbed.measure(&mut table, count, seconds).await?;
        let link = stand_in::Node::attach(&testbed.mesh, "newcomer").await?;
        let bytes = link.snapshot_bytes().await?;
        table.add("attach with a snapshot, bytes to the node", "B", count, bytes as f64);
    }
    table.print("services, each with one route");
    Ok(())
}

pub(super) async fn measure_targets(
    seconds: u64,
    options: &processes::Options,
) -> eyre::Result<()> {
    let mut table = Table::default();
    let mut testbed = Testbed::start(options, FIXED_NODES).await?;
    let mut registrar = stand_in::Node::attach(&testbed.mesh, "feeder").await?;
    let mut registered = 0;
    for count in TARGET_COUNTS {
        let (idle, _) = testbed.measure_idle(seconds).await?;
        let before = testbed.read().await?;
        registrar.register(registered..count).await?;
        let after = testbed.read().await?;
        let busy = rates_between(&before, &after);
        let events = f64::from(count - registered);
        registered = count;
        let per_event =
            |busy_rate: f64, idle_rate: f64| (busy_rate - idle_rate) * busy.seconds / events;
        let node_us = per_event(busy.node_cpu, idle.node_cpu) * 1e6;
        let control_us = per_event(busy.control_cpu, idle.control_cpu) * 1e6;
        let bytes = per_event(busy.node_bytes, idle.node_bytes);
        table.add("registry event, node CPU", "us", count, node_us);
        table.add("registry event, control CPU, 11 nodes", "us", count, control_us);
        table.add("registry event, bytes of a node", "B", count, bytes);
        testbed.measure(&mut table, count, seconds).await?;
    }
    let (idle, _) = testbed.measure_idle(seconds).await?;
    let before = testbed.read().await?;
    let heartbeats = registrar.send_heartbeats(seconds).await?;
    let after = testbed.read().await?;
    let busy = rates_between(&before, &after);
    let cpu_us = (busy.control_cpu - idle.control_cpu) * busy.seconds / heartbeats * 1e6;
    table.print("targets registered");
    super::print(&format!("\nOne heartbeat of a node: {cpu_us:.1} us CPU time of the control."));
    Ok(())
}

pub(super) async fn measure_requests(
    seconds: u64,
    options: &processes::Options,
) -> eyre::Result<()> {
    let testbed = Testbed::start(options, 1).await?;
    // A new target gets its full number of slots only after a cold start of 10 s.
    timers::sleep(time::Duration::from_secs(10)).await;
    let (idle, _) = testbed.measure_idle(seconds).await?;
    let before = testbed.read().await?;
    let to = testbed.mesh.nodes[0].callers;
    added_time::send_for(to, "/here", REQUESTS_PER_S, time::Duration::from_secs(seconds)).await?;
    let after = testbed.read().await?;
    let busy = rates_between(&before, &after);
    let count = f64::from(REQUESTS_PER_S) * seconds as f64;
    let request_us = (busy.node_cpu - idle.node_cpu) * busy.seconds / count * 1e6;
    super::print(&format!(
        "\nOne request through its own node at {REQUESTS_PER_S}/s: {request_us:.0} us CPU time of \
         the node; resident {:.1} MB after it.",
        after.node.resident_mb,
    ));
    Ok(())
}
