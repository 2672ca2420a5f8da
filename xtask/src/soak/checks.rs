//! The checks after the last fault: service returns, no storm goes on, and each accepted version is
//! in force and no other.

use std::{fs, sync, time};

use compact_str::CompactString;

use super::{callers, host_set, hosts, ledger, monitor, operators, settings, teams, world};

/// How long after the last fault nearly all requests have to be served again.
pub(crate) const RECOVERY_TIME: time::Duration = time::Duration::from_secs(15);
/// How long the service is then measured.
const MEASURED_TIME: time::Duration = time::Duration::from_secs(5);
/// The longest time that a node's threads may wait for a processor in a measurement that counts.
const MAX_STARVED: time::Duration = time::Duration::from_millis(500);
/// The most measurements; the last one counts in any case.
const MAX_MEASUREMENTS: usize = 4;
/// The least part of the requests that has to be served then.
const MIN_SERVED: f64 = 0.95;
/// The most attempts to open links that a node may start in the measured time.
const MAX_LINK_ATTEMPTS: u64 = 3;
/// How long a patch may take to be in force at all nodes, once the last fault is over.
const MAX_CONVERGENCE: time::Duration = time::Duration::from_secs(10);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// The most routes that are probed at each node.
const MAX_PROBES: usize = 40;
/// The most replaced keys that are probed at each node.
const MAX_KEYS: usize = 10;

/// What the keys of teams have in common.
const KEY_MARK: &str = "soak-steady-key";

/// The state of the service while no fault is in force.
pub(crate) struct Recovery {
    pub(crate) counts: ledger::Counts,
    /// The most attempts to open links of one node.
    pub(crate) link_attempts: u64,
    /// The longest time that a thread of a node waited for a processor.
    pub(crate) starved: time::Duration,
}

/// Waits until the time for recovery is over, then measures the service. A measurement while the
/// machine kept a node from running is repeated.
pub(crate) async fn measure_recovery(world: &world::World) -> Recovery {
    tokio::time::sleep(RECOVERY_TIME).await;
    let mut recovery = measure(world).await;
    for _ in 1..MAX_MEASUREMENTS {
        if recovery.starved <= MAX_STARVED {
            break;
        }
        recovery = measure(world).await;
    }
    check_recovery(world, &recovery);
    recovery
}

async fn measure(world: &world::World) -> Recovery {
    let started = time::Instant::now();
    let before = (world.ledger.counts(), link_attempts(world).await);
    tokio::time::sleep(MEASURED_TIME).await;
    let counts = world.ledger.counts().since(before.0);
    let after = link_attempts(world).await;
    // A process that was restarted meanwhile begins to count anew; it is found as one that ended.
    let attempts = before.1.iter().zip(&after).map(|(before, after)| after.saturating_sub(*before));
    let starved = world.nodes().map(|it| it.starved(started)).max().unwrap_or_default();
    Recovery { counts, link_attempts: attempts.max().unwrap_or(0), starved }
}

fn check_recovery(world: &world::World, recovery: &Recovery) {
    let Recovery { counts, link_attempts, starved } = recovery;
    if *link_attempts > MAX_LINK_ATTEMPTS {
        let text = format!("a node tries to open {link_attempts} links in {MEASURED_TIME:?}");
        world.history.violate(text);
    }
    #[expect(clippy::cast_precision_loss, reason = "the counts are small")]
    let served = counts.served as f64 / counts.total().max(1) as f64;
    if served < MIN_SERVED {
        world.history.violate(format!(
            "{served:.3} served from {RECOVERY_TIME:?} after the last fault on: {counts}; threads \
             of nodes waited at most {starved:?} for a processor"
        ));
    }
}

/// The attempts of each node to open links. A node that does not show its metrics is a violation.
async fn link_attempts(world: &world::World) -> Vec<u64> {
    let mut attempts = Vec::new();
    for host in world.nodes() {
        let page = monitor::Page::read(&world.client, host).await;
        if page.is_none() {
            world.history.violate(format!("{} does not show its metrics", host.id));
        }
        attempts.push(page.map_or(0, |it| it.link_attempts()));
    }
    attempts
}

/// Checks that each accepted version is kept and in force at all nodes, and that no refused patch
/// shows. No more patches may be sent.
pub(crate) async fn check_versions(world: &world::World, record: &operators::Record) {
    let history = &world.history;
    let last = record.accepted.keys().last().copied().unwrap_or(1);
    for host in world.nodes() {
        let until = time::Instant::now() + MAX_CONVERGENCE;
        loop {
            let page = monitor::Page::read(&world.client, host).await;
            let version = page.and_then(|it| it.value("heatherwalk_node_version"));
            if version.is_some_and(|it| it >= last) {
                break;
            }
            if time::Instant::now() > until {
                history.violate(format!("{} runs {version:?} in place of {last}", host.id));
                break;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    for (node, host) in world.nodes().enumerate() {
        let accepted = record.accepted.values().rev().take(MAX_PROBES);
        for patch in accepted {
            check_route(world, node, host, *patch, true).await;
        }
        for patch in record.refused.iter().rev().take(MAX_PROBES) {
            check_route(world, node, host, *patch, false).await;
        }
    }
}

/// Checks that each node takes the newest key of the team `rotating` and none that was replaced. No
/// more patches may be sent.
pub(crate) async fn check_keys(world: &world::World, record: &operators::Record) {
    if record.unknown.iter().any(|it| it.rotates()) {
        // It is not known which key is the newest one.
        return;
    }
    let accepted = record.accepted.values().filter(|it| it.rotates()).map(|it| it.0);
    let mut keys: Vec<u64> = [0].into_iter().chain(accepted).collect();
    let newest = keys.pop().unwrap_or_default();
    let replaced = keys.iter().rev().take(MAX_KEYS);
    for (node, host) in world.nodes().enumerate() {
        for number in replaced.clone().chain([&newest]) {
            let expected = if *number == newest { 200 } else { 401 };
            let key = teams::rotating_key(*number);
            let path = settings::SERVICES[0].prefix.into();
            let found = probe_until(world, node, &path, &key, &[200, 401]).await;
            if found.as_ref().is_none_or(|it| it.0 != expected) {
                let text = format!("key {number} of {newest} at {}: {found:?}", host.id);
                world.history.violate(text);
            }
        }
    }
}

/// Sends a probe until it has one of these statuses. A refusal without a target tells nothing.
async fn probe_until(
    world: &world::World,
    node: usize,
    path: &CompactString,
    key: &str,
    statuses: &[u16],
) -> Option<(u16, CompactString)> {
    let mut found = None;
    for _ in 0..5 {
        found = probe(world, node, path, key).await;
        if found.as_ref().is_some_and(|it| statuses.contains(&it.0)) {
            break;
        }
    }
    found
}

/// Checks whether a node has the route that a patch adds.
async fn check_route(
    world: &world::World,
    node: usize,
    host: &hosts::Host,
    patch: operators::PatchId,
    accepted: bool,
) {
    let key = teams::Team::Steady.key();
    let found = probe_until(world, node, &patch.path(), key, &[200, 404]).await;
    let expected = if accepted { 200 } else { 404 };
    if found.as_ref().is_none_or(|it| it.0 != expected) {
        world
            .history
            .violate(format!("{patch:?} (accepted: {accepted}) at {}: {found:?}", host.id));
    }
}

async fn probe(
    world: &world::World,
    node: usize,
    path: &CompactString,
    key: &str,
) -> Option<(u16, CompactString)> {
    let mut headers = http::HeaderMap::new();
    let key = http::HeaderValue::from_str(&format!("Bearer {key}")).ok()?;
    headers.insert(http::header::AUTHORIZATION, key);
    let call = web::client::Call {
        addr: world.relays[node].addr(),
        method: http::Method::GET,
        path: path.clone(),
        headers,
        body: web::body::Body::empty(),
        deadline: tokio::time::Instant::now() + time::Duration::from_secs(6),
        close_delimited: false,
        reuse: web::client::Reuse::Allowed,
    };
    let answer = world.client.send(call).await.ok()?;
    let body = answer.body.collect(64 * 1024).await.ok()?;
    Some((answer.status.as_u16(), CompactString::from_utf8_lossy(&body)))
}

/// Checks the record of runs, and the logs for panics.
pub(crate) fn check_records(world: &world::World) {
    for text in world.ledger.violations() {
        world.history.violate(text.into());
    }
    if let Some(text) = world.ledger.limited.excess() {
        world.history.violate(text.into());
    }
    for host in &world.hosts {
        let log = fs::read(&host.files.log).unwrap_or_default();
        if log.windows(KEY_MARK.len()).any(|it| it == KEY_MARK.as_bytes()) {
            world.history.violate(format!("{}: a key is in its log", host.id));
        }
        if let Some(line) = String::from_utf8_lossy(&log).lines().find(|it| it.contains("panicked"))
        {
            world.history.violate(format!("{}: {line}", host.id));
        }
    }
}

/// Waits until all processes accept connections. Records those that do not.
pub(crate) async fn wait_up(world: &world::World, limit: time::Duration) {
    let until = time::Instant::now() + limit;
    for host in &world.hosts {
        while !host.is_up() {
            if time::Instant::now() > until {
                world.history.violate(format!("{} does not accept connections", host.id));
                break;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Waits until each node runs a version and serves a request. Returns whether they do.
pub(crate) async fn wait_serving(world: &world::World, limit: time::Duration) -> bool {
    let until = time::Instant::now() + limit;
    for node in 0..world.nodes().count() {
        for service in settings::SERVICES {
            let path = format!("{}/ready", service.prefix).into();
            let key = teams::Team::Steady.key();
            while probe(world, node, &path, key).await.is_none_or(|it| it.0 != 200) {
                if time::Instant::now() > until {
                    let host = host_set::HostId(host_set::CONTROLS + node);
                    world.history.violate(format!("{host} does not serve {path}"));
                    return false;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }
    true
}

/// Tells the callers to stop and waits for them.
pub(crate) async fn stop_callers(
    context: &callers::Context,
    mut callers: tokio::task::JoinSet<()>,
) {
    context.stopping.store(true, sync::atomic::Ordering::Relaxed);
    while callers.join_next().await.is_some() {}
}
