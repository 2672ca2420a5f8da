//! Hosts that do not respond, and links that are slow, between the nodes of a mesh.

use std::time;

use serde_json::json;
use tokio::task;

use crate::{callers, mesh};

/// Hosts of the data centre to which no link is open.
const OTHER_HOSTS: usize = 6;
/// Hosts that no link can be opened to.
const UNREACHABLE_HOSTS: usize = 24;
/// The longest delay of a datagram in each direction.
const SLOW_DELAY: time::Duration = time::Duration::from_millis(400);

/// Guards against a storm of handshakes: one silent host made its node open a link to every other
/// host of the data centre, to probe it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_silent_host_starts_no_connection_attempts() {
    let limit = json!({"timeout_ms": 2_000});
    let mesh = mesh::Mesh::spawn(1, mesh::document(&[("logs", json!({}), limit)])).await;
    let mut others = Vec::new();
    for index in 0..OTHER_HOSTS {
        others.push(mesh.stand_in(&format!("skulte-other-{index}"), "archive").await);
    }
    let silent = mesh.stand_in("skulte-silent", "logs").await;
    mesh.ready(0, &["logs"]).await;
    let before = mesh.settled_link_attempts(0).await;
    silent.relay.silence();
    let reply = callers::send(mesh.callers(0), callers::get("/logs/work")).await;
    assert!(reply.status >= 500, "a silent host has answered: {reply}");
    // Probes were sent at once, and the link to the silent host breaks after 3 s.
    tokio::time::sleep(time::Duration::from_millis(1_500)).await;
    let counts = (mesh.link_attempts(0) - before, mesh.unanswered_probes(0) > 0);
    assert_eq!(counts, (0, true), "attempts to open a link; whether the silent host was probed");
    let arrived: Vec<_> = others.iter().map(|it| it.relay.arrived()).collect();
    assert_eq!(arrived, [0; OTHER_HOSTS], "datagrams to hosts without a link");
}

/// Guards against a link that could not be opened and that counts as a sign of a cut data centre:
/// the node opened a link to every other host of it. The request has certainly not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_link_that_is_not_opened_starts_connection_attempts() {
    let limit = json!({"timeout_ms": 2_000});
    let document = mesh::document(&[("logs", json!({}), limit), ("index", json!({}), json!({}))]);
    let mesh = mesh::Mesh::spawn(1, document).await;
    let mut others = Vec::new();
    for index in 0..OTHER_HOSTS {
        others.push(mesh.stand_in(&format!("skulte-other-{index}"), "archive").await);
    }
    let silent = mesh.stand_in("skulte-silent", "logs").await;
    silent.relay.silence();
    // The node knows the targets of the other hosts once it knows this one.
    let linked = mesh.stand_in("skulte-index", "index").await;
    mesh.ready(0, &["index"]).await;
    let before = mesh.settled_link_attempts(0).await;
    let reply = callers::send(mesh.callers(0), callers::get("/logs/work")).await;
    assert!(reply.status >= 500 && reply.is_not_run(), "{reply}");
    tokio::time::sleep(time::Duration::from_millis(1_500)).await;
    let arrived: Vec<_> = others.iter().map(|it| it.relay.arrived()).collect();
    assert_eq!(arrived, [0; OTHER_HOSTS], "datagrams to hosts without a link");
    // An attempt takes a second.
    let attempts = mesh.link_attempts(0) - before;
    assert!((1..=2).contains(&attempts), "{attempts} attempts to reach the silent host");
    drop(linked);
}

/// Guards against a cut data centre whose hosts take all handshakes that a node may have in flight,
/// so that no link to a host that can be reached is opened in time.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn unreachable_hosts_take_all_handshakes() {
    let limit = json!({"timeout_ms": 3_000});
    let document = mesh::document(&[("logs", json!({}), limit), ("index", json!({}), json!({}))]);
    let mesh = mesh::Mesh::spawn(1, document).await;
    let mut targets = vec![mesh.stand_in("skulte-index", "index").await];
    for index in 0..UNREACHABLE_HOSTS {
        let silent = mesh.stand_in(&format!("skulte-silent-{index}"), "logs").await;
        silent.relay.silence();
        targets.push(silent);
    }
    let mut calls = task::JoinSet::new();
    for _ in 0..UNREACHABLE_HOSTS {
        calls.spawn(callers::send(mesh.callers(0), callers::get("/logs/work")));
    }
    for reply in calls.join_all().await {
        assert!(reply.is_not_run(), "{reply}");
    }
    // The handshakes of the requests end after a second.
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    let request = callers::get("/index/work").with("heatherwalk-deadline-ms", "800");
    let reply = callers::send(mesh.callers(0), request).await;
    assert_eq!(reply.status, 200, "{reply}");
}

/// Guards against a link with a full queue that counts as a silent host: requests over it are
/// answered, and no host is probed. The delay grows as a queue does, so that the node can measure
/// it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_slow_link_counts_as_a_silent_host() {
    let limit = json!({"timeout_ms": 10_000});
    let mesh = mesh::Mesh::spawn(1, mesh::document(&[("logs", json!({}), limit)])).await;
    let slow = mesh.stand_in("skulte-slow", "logs").await;
    mesh.ready(0, &["logs"]).await;
    let mut lines = Vec::new();
    for (divisor, requests) in [(4, 12), (2, 10), (1, 5)] {
        slow.relay.delay(SLOW_DELAY / divisor);
        let mut answered = 0;
        for _ in 0..requests {
            let reply = callers::send(mesh.callers(0), callers::get("/logs/work")).await;
            answered += usize::from(reply.status == 200);
        }
        let delay = SLOW_DELAY / divisor;
        lines.push(format!("delay {delay:?}: {answered} of {requests} answered"));
    }
    // Attempts and probes are counted with each heartbeat.
    tokio::time::sleep(time::Duration::from_millis(1_500)).await;
    let probes = (mesh.unanswered_probes(0), mesh.answered_probes(0));
    lines.push(format!("probes unanswered and answered: {probes:?}"));
    insta::assert_snapshot!(lines.join("\n"), @r"
    delay 100ms: 12 of 12 answered
    delay 200ms: 10 of 10 answered
    delay 400ms: 5 of 5 answered
    probes unanswered and answered: (0, 0)
    ");
}

/// Guards against a request that is given up when its target seems silent, though no other target
/// could take it and its answer is on the way.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_only_target_is_given_up_when_it_seems_silent() {
    let limit = json!({"timeout_ms": 10_000});
    let mesh = mesh::Mesh::spawn(1, mesh::document(&[("logs", json!({}), limit)])).await;
    let slow = mesh.stand_in("skulte-slow", "logs").await;
    mesh.ready(0, &["logs"]).await;
    slow.relay.delay(SLOW_DELAY);
    let reply = callers::send(mesh.callers(0), callers::get("/logs/work")).await;
    assert_eq!(reply.status, 200, "{reply}");
    // The link was fast until now, so that the host seemed silent.
    tokio::time::sleep(time::Duration::from_millis(1_500)).await;
    assert!(mesh.unanswered_probes(0) + mesh.answered_probes(0) > 0, "the host was not probed");
}

/// A dialect whose refusals show how long the caller is asked to wait.
const SHOWS_RETRY: node::dialect::Dialect = node::dialect::Dialect {
    write_refusal: |refusal| {
        let text = format!("{} {:?}", refusal.reason, refusal.retry_after);
        web::exchange::Response::text(http::StatusCode::SERVICE_UNAVAILABLE, &text)
    },
    ..node::dialect::OWN
};

/// Guards against callers that come back after 10 ms although no target has said that it has a free
/// slot, and against callers of a node without a configuration that come back at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn callers_come_back_at_once_without_a_load_report() {
    let limit = json!({"timeout_ms": 5_000});
    let mut mesh = mesh::Mesh::spawn(1, mesh::document(&[("logs", json!({}), limit)])).await;
    let shows_retry = |settings: &mut node::settings::Settings| {
        settings.dialect = SHOWS_RETRY;
        settings.floor_tokens = false;
    };
    let node = mesh.add_node_with(mesh.listen, shows_retry).await;
    let silent = mesh.stand_in("skulte-silent", "logs").await;
    silent.relay.silence();
    let until = tokio::time::Instant::now() + mesh::TIMEOUT;
    let reply = loop {
        let reply = callers::send(mesh.callers(node), callers::get("/logs/work")).await;
        // The node does not know the version or the target at first.
        let starting = ["no-version", "no targets"].iter().any(|it| reply.text().contains(it));
        if !starting || tokio::time::Instant::now() >= until {
            break reply;
        }
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    };
    assert_eq!(reply.text(), "no-target None", "{reply}");
    let nowhere = mesh::loopback();
    let alone = mesh.add_node_with(nowhere, shows_retry).await;
    let reply = callers::send(mesh.callers(alone), callers::get("/logs/work")).await;
    assert_eq!(reply.text(), "no-version Some(300ms)", "{reply}");
}
