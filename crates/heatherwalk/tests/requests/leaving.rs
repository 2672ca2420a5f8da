//! Callers that disconnect, and nodes and targets that stop, while requests are in flight.

use std::{
    sync::{Arc, atomic},
    time,
};

use serde_json::json;
use tokio::task;

use crate::{callers, faults, mesh, servers};

const BODY: &[u8] = b"the whole answer";

/// Guards against a slot or a connection to the backend server that is leaked when a caller
/// disconnects. The target has one slot, so the next request needs it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn callers_disconnect() {
    let document = mesh::document(&[("logs", json!({"slots": 1}), json!({"timeout_ms": 60_000}))]);
    let mesh = mesh::Mesh::spawn(2, document).await;
    let partly = b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\nthe beginning".to_vec();
    let handle = move |head: &str, _: &[u8]| match head.split(' ').nth(1) {
        Some("/logs/freeze") => servers::Action::Freeze,
        Some("/logs/partly") => servers::Action::Partly(partly.clone()),
        _ => servers::Action::Send(servers::answer("200 OK", "", BODY)),
    };
    let server = servers::Server::spawn(mesh.announce(1), "logs", 1, handle).await;
    mesh.ready(0, &["logs"]).await;
    let mut lines = Vec::new();
    let mut count = 0;
    for (place, entry) in [("forwarded", 0), ("here", 1)] {
        let requests = [
            ("GET", "freeze", String::new()),
            ("GET", "partly", String::new()),
            ("POST", "freeze", format!("idempotency-key: freeze-{place}\r\n")),
            ("POST", "partly", format!("idempotency-key: partly-{place}\r\n")),
        ];
        for (method, path, key) in requests {
            let text = format!("{method} /logs/{path} HTTP/1.1\r\nhost: logs\r\n{key}\r\n");
            count += 1;
            let mut stream = callers::open(mesh.callers(entry), text.as_bytes()).await;
            // The slot of the previous request may be freed a moment after its answer; until then,
            // this one can be refused and is resent.
            let until = tokio::time::Instant::now() + mesh::TIMEOUT;
            while server.counts.runs() < 2 * count - 1 {
                assert!(tokio::time::Instant::now() < until, "no slot: {lines:#?}");
                tokio::time::sleep(time::Duration::from_millis(20)).await;
                let answered = stream.try_read(&mut [0]).is_ok();
                if answered && server.counts.runs() < 2 * count - 1 {
                    stream = callers::open(mesh.callers(entry), text.as_bytes()).await;
                }
            }
            drop(stream);
            server.counts.wait(servers::Counts::cancelled, count).await;
            let reply = callers::send(mesh.callers(entry), callers::get("/logs/work")).await;
            lines.push(format!("{place}, {method} {path} cancelled; next: {reply}"));
            assert_eq!(reply.status, 200, "the slot is not free: {lines:#?}, {:?}", reply.body);
        }
    }
    for node in [0, 1] {
        let cancelled = || usize::try_from(mesh.cancelled(node)).unwrap_or(usize::MAX);
        wait_count(&cancelled, 4).await;
        lines.push(format!("node {node} counted {} cancelled", cancelled()));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against requests that a planned stop of a target's node cuts off or refuses.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_node_stops_while_requests_are_in_flight() {
    let (mut mesh, running) = slow_mesh(3).await;
    let total = || running.iter().map(|it| it.counts.runs()).sum::<usize>();
    let calls = start_calls(&mesh, "stop", 12);
    wait_count(&total, 12).await;
    let stopping = mesh.nodes[1].take().expect("runs");
    let later = start_calls(&mesh, "later", 12);
    let (calls, later, ()) = tokio::join!(calls.join_all(), later.join_all(), stopping.stop());
    let whole = |it: &[(callers::Request, callers::Reply)]| {
        it.iter().filter(|(_, reply)| reply.status == 200 && reply.body.is_some()).count()
    };
    // The node's retry budget may refuse some of the later ones, as not run.
    let refused = later.iter().filter(|it| it.1.is_not_run()).count();
    assert_eq!(whole(&calls), 12, "the stop cut off requests: {calls:#?}");
    assert_eq!(whole(&later) + refused, 12, "{later:#?}");
    assert_eq!(total(), 24 - refused, "a request reported as not run has run, or one ran twice");
}

/// Guards against requests that are repeated or reported as not run when a target's node ends
/// without a planned stop, and against idempotent ones that are not answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_node_is_dropped_while_requests_are_in_flight() {
    let (mut mesh, running) = slow_mesh(3).await;
    let total = || running.iter().map(|it| it.counts.runs()).sum::<usize>();
    let calls = start_calls(&mesh, "drop", 6);
    wait_count(&total, 6).await;
    drop(mesh.nodes[2].take());
    let calls = calls.join_all().await;
    let mut lines = Vec::new();
    for (request, reply) in &calls {
        lines.push(format!("{}: {reply} {:?}", request.method, reply.body));
        assert_eq!(faults::violation(request, reply, 1), None);
        assert!(!reply.is_not_run(), "{lines:#?}");
        let allowed: &[u16] = match request.method {
            http::Method::GET => &[200],
            _ => &[200, 502, 504],
        };
        assert!(allowed.contains(&reply.status), "{lines:#?}");
    }
    let posts = calls.iter().filter(|it| it.0.method == http::Method::POST).count();
    let reads = calls.len() - posts;
    // Each read may run a second time at another target.
    assert!(total() <= posts + 2 * reads, "ran {} times: {lines:#?}", total());
}

/// A mesh with a slow target at each node but the first.
async fn slow_mesh(nodes: usize) -> (mesh::Mesh, Vec<servers::Server>) {
    let limit = json!({"timeout_ms": 30_000});
    let mesh = mesh::Mesh::spawn(nodes, mesh::document(&[("logs", json!({}), limit)])).await;
    let mut running = Vec::new();
    for node in 1..nodes {
        let handle = |_: &str, _: &[u8]| {
            let whole = servers::answer("200 OK", "", BODY);
            servers::Action::After(time::Duration::from_millis(1_500), whole)
        };
        running.push(servers::Server::spawn(mesh.announce(node), "logs", 512, handle).await);
        mesh.ready(node, &["logs"]).await;
    }
    mesh.ready(0, &["logs"]).await;
    (mesh, running)
}

type Calls = task::JoinSet<(callers::Request, callers::Reply)>;

/// Starts slow requests, of which every third is a read.
fn start_calls(mesh: &mesh::Mesh, name: &str, count: usize) -> Calls {
    let mut calls = task::JoinSet::new();
    for index in 0..count {
        let request = match index % 3 {
            0 => callers::get("/logs/slow"),
            _ => callers::post("/logs/slow", &format!("{name}-{index}")),
        };
        let addr = mesh.callers(0);
        calls.spawn(async move { (request.clone(), callers::send(addr, request).await) });
    }
    calls
}

async fn wait_count(count: &impl Fn() -> usize, value: usize) {
    let until = tokio::time::Instant::now() + mesh::TIMEOUT;
    while count() < value {
        assert!(tokio::time::Instant::now() < until, "{} of {value}", count());
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
}

/// Guards against requests that fail because the node still knows a target that has left: each may
/// cost one retry.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_target_that_has_moved_costs_one_retry() {
    let mesh = mesh::Mesh::spawn(3, mesh::document(&[("logs", json!({}), json!({}))])).await;
    let counted = Arc::new(atomic::AtomicUsize::new(0));
    let mut running = Vec::new();
    for node in [1, 2] {
        let counted = Arc::clone(&counted);
        let handle = move |_: &str, _: &[u8]| {
            counted.fetch_add(1, atomic::Ordering::SeqCst);
            servers::Action::Send(servers::answer("200 OK", "", BODY))
        };
        running.push(servers::Server::spawn(mesh.announce(node), "logs", 512, handle).await);
        mesh.ready(node, &["logs"]).await;
    }
    mesh.ready(0, &["logs"]).await;
    drop(running.remove(0));
    let mut lines = Vec::new();
    for index in 0..20 {
        let request = match index % 2 {
            0 => callers::get("/logs/work"),
            _ => callers::post("/logs/work", &format!("moved-{index}")),
        };
        lines.push(callers::send(mesh.callers(0), request).await.to_string());
    }
    lines.dedup();
    lines.push(format!("ran {} times", counted.load(atomic::Ordering::SeqCst)));
    insta::assert_snapshot!(lines.join("\n"), @r"
    200
    ran 20 times
    ");
}

/// Guards against a target that gets no requests while its stopping node lingers for last callers.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_lingering_node_keeps_serving() {
    let document = mesh::document(&[("logs", json!({}), json!({"timeout_ms": 60_000}))]);
    let mut mesh = mesh::Mesh::spawn(1, document).await;
    let linger = time::Duration::from_secs(3);
    let node = mesh.add_node_with(mesh.listen, |it| it.linger = linger).await;
    let handle = |_: &str, _: &[u8]| servers::Action::Send(servers::answer("200 OK", "", BODY));
    let server = servers::Server::spawn(mesh.announce(node), "logs", 4, handle).await;
    mesh.ready(node, &["logs"]).await;
    mesh.ready(0, &["logs"]).await;
    let addr = mesh.callers(node);
    let stopping = tokio::spawn(mesh.nodes[node].take().expect("runs").stop());
    let started = tokio::time::Instant::now();
    let mut answered = 0;
    while started.elapsed() < linger / 2 {
        for entry in [addr, mesh.callers(0)] {
            let reply = callers::send(entry, callers::get("/logs/work")).await;
            assert_eq!(reply.status, 200, "{:?} after the stop began", started.elapsed());
            answered += 1;
        }
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    assert!(answered > 2 && server.counts.runs() == answered, "{answered} answered");
    stopping.await.expect("stops");
    let reply = callers::send(mesh.callers(0), callers::get("/logs/work")).await;
    assert_ne!(reply.status, 200, "the node has stopped");
}

/// Guards against requests that are cut without an answer at the end of a planned stop, among them
/// some that must not be repeated: a node takes requests while it lingers, and a target may work on
/// them for longer than the rest of the stop.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_stop_cuts_requests_without_an_answer() {
    let document = mesh::document(&[("logs", json!({}), json!({"timeout_ms": 60_000}))]);
    let mut mesh = mesh::Mesh::spawn(2, document).await;
    let linger = time::Duration::from_secs(2);
    let change = |it: &mut node::settings::Settings| {
        (it.linger, it.stop_limit) = (linger, linger * 2);
    };
    let node = mesh.add_node_with(mesh.listen, change).await;
    let handle = |_: &str, _: &[u8]| servers::Action::Freeze;
    let _server = servers::Server::spawn(mesh.announce(1), "logs", 64, handle).await;
    mesh.ready(node, &["logs"]).await;
    let addr = mesh.callers(node);
    let mut calls = task::JoinSet::new();
    let send = move |index: usize| async move {
        let request = match index % 2 {
            0 => callers::get("/logs/frozen"),
            _ => callers::post("/logs/frozen", &format!("frozen-{index}")),
        };
        callers::send(addr, request).await.to_string()
    };
    (0..4).for_each(|it| _ = calls.spawn(send(it)));
    tokio::time::sleep(linger / 4).await;
    let stopping = tokio::spawn(mesh.nodes[node].take().expect("runs").stop());
    tokio::time::sleep(linger / 4).await;
    (4..8).for_each(|it| _ = calls.spawn(send(it)));
    let mut replies = calls.join_all().await;
    replies.sort_unstable();
    stopping.await.expect("stops");
    insta::assert_snapshot!(replies.join("\n"));
}
