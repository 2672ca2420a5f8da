//! Figures of nodes and a control that stand in a mesh.

use std::time;

use heatherwalk::example;
use tokio::time as timers;

use super::{Table, stand_in};
use crate::bench::{added_time, processes};

const NODES: [u32; 3] = [10, 40, 120];
const SERVICES: [u32; 3] = [100, 500, 2_300];
const TARGETS: [u32; 3] = [100, 1_000, 25_000];
/// Real nodes beside the sizes that do not count nodes.
const FEW_NODES: u32 = 10;
const CHANGES: u32 = 10;
const CHANGE_PAUSE: time::Duration = time::Duration::from_millis(500);
/// Start-up work is left out of the idle figures. The last of it is an event for each target when
/// its cold start ends after 10 s.
const CALM: time::Duration = time::Duration::from_secs(12);
/// Rate of requests at a node, about that of the target scale.
const REQUEST_RATE: u32 = 350;

/// A mesh with the example backend servers of its nodes.
pub(super) struct Field {
    pub(super) mesh: processes::Mesh,
    servers: Vec<example::Server>,
    version: u64,
}

/// Figures of all processes at one moment.
struct Reading {
    at: time::Instant,
    control: processes::Usage,
    /// Means over the nodes.
    node: processes::Usage,
    /// UDP payload of a node's links to its control, both directions.
    node_bytes: f64,
    /// UDP payload that the control has sent on its links.
    control_bytes: f64,
}

/// What a node and the control use while nothing or little happens.
struct Rates {
    seconds: f64,
    control_cpu: f64,
    node_cpu: f64,
    node_bytes: f64,
    control_bytes: f64,
}

impl Field {
    pub(super) async fn start(options: &processes::Options, nodes: u32) -> eyre::Result<Field> {
        let mesh = processes::Mesh::start(options.clone())?;
        let mut field = Field { mesh, servers: Vec::new(), version: 0 };
        let service = serde_json::json!({"home": "vidzeme", "slots": 64});
        let route = serde_json::json!({"prefix": "/here", "service": "here"});
        let patch = serde_json::json!({"services": {"here": service}, "routes": {"here": route}});
        field.change(&patch).await?;
        field.grow(nodes).await?;
        Ok(field)
    }

    /// Starts nodes, each beside a backend server, until there are `nodes`.
    async fn grow(&mut self, nodes: u32) -> eyre::Result<()> {
        while self.mesh.nodes.len() < nodes as usize {
            self.mesh.start_node()?;
            let announce = self.mesh.nodes.last().map(|it| it.announce);
            let announce = announce.ok_or_else(|| eyre::eyre!("no node was started"))?;
            let name = "here".into();
            let settings = example::Settings { service: "here".into(), name, announce, slots: 64 };
            let server = example::Server::spawn(settings, example::echo("here".into())).await?;
            self.servers.push(server);
        }
        self.mesh.settle(u64::from(nodes)).await
    }

    pub(super) async fn change(&mut self, patch: &serde_json::Value) -> eyre::Result<()> {
        let request = format!("bench-{}", self.version);
        self.mesh.patch(self.version, &request, patch).await?;
        self.version += 1;
        Ok(())
    }

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
            node_bytes += processes::metric(it.metrics, "heatherwalk_node_control").await? / count;
        }
        let page = self.mesh.controls[0].metrics;
        let control_bytes = processes::metric(page, "heatherwalk_control_sent").await?;
        Ok(Reading { at, control, node, node_bytes, control_bytes })
    }

    /// What is used over a time in which nothing is asked of the mesh.
    async fn idle(&self, seconds: u64) -> eyre::Result<(Rates, Reading)> {
        timers::sleep(CALM).await;
        let before = self.read().await?;
        timers::sleep(time::Duration::from_secs(seconds)).await;
        let after = self.read().await?;
        Ok((rates(&before, &after), after))
    }

    /// Idle figures, then figures for each change of the configuration.
    async fn measure(&mut self, table: &mut Table, size: u32, seconds: u64) -> eyre::Result<()> {
        let (idle, reading) = self.idle(seconds).await?;
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
            let begun = time::Instant::now();
            self.change(&patch).await?;
            self.mesh.settle(self.mesh.nodes.len() as u64).await?;
            slowest = slowest.max(begun.elapsed().as_secs_f64());
            timers::sleep(CHANGE_PAUSE).await;
        }
        let after = self.read().await?;
        let busy = rates(&before, &after);
        // What the same time would have taken without changes is left out.
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

fn rates(before: &Reading, after: &Reading) -> Rates {
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
    let mut field = Field::start(options, 0).await?;
    for nodes in NODES {
        field.grow(nodes).await?;
        field.measure(&mut table, nodes, seconds).await?;
    }
    table.print("nodes attached");
    Ok(())
}

pub(super) async fn measure_services(
    seconds: u64,
    options: &processes::Options,
) -> eyre::Result<()> {
    let mut table = Table::default();
    let mut field = Field::start(options, FEW_NODES).await?;
    for count in SERVICES {
        let mut services = serde_json::Map::new();
        let mut routes = serde_json::Map::new();
        // The service of the real nodes counts as one.
        for index in 1..count {
            let name = format!("service-{index}");
            let service = serde_json::json!({"slots": 12, "queue": 24, "home": "vidzeme"});
            let route = serde_json::json!({"prefix": format!("/{name}"), "service": name});
            routes.insert(name.clone(), route);
            services.insert(name, service);
        }
        field.change(&serde_json::json!({"services": services, "routes": routes})).await?;
        field.mesh.settle(u64::from(FEW_NODES)).await?;
        field.measure(&mut table, count, seconds).await?;
        let link = stand_in::Follower::attach(&field.mesh, "newcomer").await?;
        let bytes = link.first_version().await?;
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
    let mut field = Field::start(options, FEW_NODES).await?;
    let mut feeder = stand_in::Follower::attach(&field.mesh, "feeder").await?;
    let mut registered = 0;
    for count in TARGETS {
        let (idle, _) = field.idle(seconds).await?;
        let before = field.read().await?;
        feeder.register(registered..count).await?;
        let after = field.read().await?;
        let busy = rates(&before, &after);
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
        field.measure(&mut table, count, seconds).await?;
    }
    let (idle, _) = field.idle(seconds).await?;
    let before = field.read().await?;
    let beats = feeder.beat(seconds).await?;
    let after = field.read().await?;
    let busy = rates(&before, &after);
    let beat_us = (busy.control_cpu - idle.control_cpu) * busy.seconds / beats * 1e6;
    table.print("targets registered");
    super::say(&format!("\nOne heartbeat of a node: {beat_us:.1} us CPU time of the control."));
    Ok(())
}

pub(super) async fn measure_requests(
    seconds: u64,
    options: &processes::Options,
) -> eyre::Result<()> {
    let field = Field::start(options, 1).await?;
    // The target's slots grow for 10 s.
    timers::sleep(time::Duration::from_secs(10)).await;
    let (idle, _) = field.idle(seconds).await?;
    let before = field.read().await?;
    let to = field.mesh.nodes[0].callers;
    added_time::send_for(to, "/here", REQUEST_RATE, time::Duration::from_secs(seconds)).await?;
    let after = field.read().await?;
    let busy = rates(&before, &after);
    let count = f64::from(REQUEST_RATE) * seconds as f64;
    let request_us = (busy.node_cpu - idle.node_cpu) * busy.seconds / count * 1e6;
    super::say(&format!(
        "\nOne request through its own node at {REQUEST_RATE}/s: {request_us:.0} us CPU time of \
         the node; resident {:.1} MB after it.",
        after.node.resident_mb,
    ));
    Ok(())
}
