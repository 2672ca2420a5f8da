//! Quotas of teams: what a caller beyond its quota is told, and which requests count.

use std::time;

use serde_json::json;

use crate::{callers, mesh, servers};

/// The rate of the team, in requests per second, and its burst.
const RATE: f64 = 10.0;
const BURST: f64 = 10.0;

fn document() -> serde_json::Value {
    let mut document = mesh::document(&[
        ("logs", json!({}), json!({})),
        ("open", json!({}), json!({"public": true})),
        ("none", json!({}), json!({})),
    ]);
    document["teams"] = json!({"a": {"keys": ["key-of-team-a"], "rate": RATE, "burst": BURST}});
    document
}

/// Starts a mesh with two nodes for callers, and waits until they send requests to targets. Returns
/// the backend server of the service `logs` and that of `open`.
async fn spawn() -> (mesh::Mesh, [servers::Server; 2]) {
    let mesh = mesh::Mesh::spawn(4, document()).await;
    let ok = |_: &str, _: &[u8]| servers::Action::Send(servers::answer("200 OK", "", b"ok"));
    let logs = servers::Server::spawn(mesh.announce(2), "logs", 512, ok).await;
    let open = servers::Server::spawn(mesh.announce(3), "open", 512, ok).await;
    for node in 0..2 {
        mesh.ready(node, &["open"]).await;
        ready(&mesh, node).await;
    }
    (mesh, [logs, open])
}

/// Waits until the team's requests are answered, and until its control has as many tokens as it may.
async fn ready(mesh: &mesh::Mesh, node: usize) {
    let until = tokio::time::Instant::now() + mesh::TIMEOUT;
    while get(mesh, node, "/logs/ready").await.status != 200 {
        assert!(tokio::time::Instant::now() < until, "the team gets no token");
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    tokio::time::sleep(time::Duration::from_secs(4)).await;
}

async fn get(mesh: &mesh::Mesh, node: usize, path: &str) -> callers::Reply {
    let request = callers::get(path).with("authorization", "Bearer key-of-team-a");
    callers::send(mesh.callers(node), request).await
}

/// Sends requests one after the other for some time. Returns how many ran. Each other one has to be
/// refused with 429, and with a time to return after.
async fn flood(mesh: &mesh::Mesh, node: usize, duration: time::Duration) -> usize {
    let until = tokio::time::Instant::now() + duration;
    let mut ran = 0;
    while tokio::time::Instant::now() < until {
        let reply = get(mesh, node, "/logs/1").await;
        if reply.status == 200 {
            ran += 1;
            continue;
        }
        assert_eq!(reply.to_string(), "429, not run (quota)");
        let pause = reply.headers.get("retry-after").and_then(|it| it.to_str().ok());
        let pause: f64 = pause.and_then(|it| it.parse().ok()).expect("a number of seconds");
        assert!((0.05..=1.0).contains(&pause), "{pause}");
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
    ran
}

/// Guards against a quota that each node allows by itself, and against one that a team cannot use
/// in full through one of them.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_team_sends_its_quota_through_each_node() {
    let (mesh, [logs, _open]) = spawn().await;
    let window = time::Duration::from_secs(5);
    let began = tokio::time::Instant::now();
    let (first, second) = tokio::join!(flood(&mesh, 0, window), flood(&mesh, 1, window));
    let elapsed = began.elapsed().as_secs_f64();
    let ran = first + second;
    assert_eq!(ran, logs.counts.runs(), "requests that were refused ran");
    let most = (RATE * elapsed + BURST) * 1.1 + 20.0;
    assert!(ran as f64 <= most, "{ran} requests ran of at most {most} in {elapsed} s");
    let least = RATE * elapsed;
    assert!(ran as f64 >= least, "{ran} requests ran of at least {least} in {elapsed} s");
    assert!(first.min(second) > 0, "one node got no token: {first} and {second}");
}

/// Guards against requests that no backend server ran and that use up a quota.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_that_did_not_run_use_up_a_quota() {
    let (mesh, _servers) = spawn().await;
    // Four times as many as the team may send at once.
    for number in 0..120 {
        let reply = get(&mesh, 0, "/none/1").await;
        assert_eq!(reply.to_string(), "503, not run (no-target)", "request {number}");
    }
    assert_eq!(get(&mesh, 0, "/logs/1").await.to_string(), "200");
}

/// Guards against limits for a team that has none, and against the limit of a version that is not in
/// force any more.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_quota_that_was_removed_still_binds() {
    let (mesh, _servers) = spawn().await;
    mesh.patch(1, json!({"teams": {"a": {"rate": null}}})).await;
    let until = tokio::time::Instant::now() + mesh::TIMEOUT;
    let mut ran = 0;
    // More in a row than the quota allows.
    while ran < 120 {
        assert!(tokio::time::Instant::now() < until, "only {ran} requests ran in a row");
        ran = if get(&mesh, 0, "/logs/1").await.status == 200 { ran + 1 } else { 0 };
    }
}

/// Guards against a node without a control that says that a quota is used up, or that lets requests
/// through.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_node_without_a_control_guesses() {
    let (mut mesh, [logs, _open]) = spawn().await;
    drop(mesh.control.take());
    let until = tokio::time::Instant::now() + mesh::TIMEOUT;
    while get(&mesh, 0, "/logs/1").await.to_string() != "503, not run (quota-unknown)" {
        assert!(tokio::time::Instant::now() < until, "requests still run or get another refusal");
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
    let before = logs.counts.runs();
    for _ in 0..20 {
        let reply = get(&mesh, 0, "/logs/1").await;
        assert_eq!(reply.to_string(), "503, not run (quota-unknown)");
        assert!(reply.headers.contains_key("retry-after"), "{reply:?}");
    }
    assert_eq!(logs.counts.runs(), before, "requests that were refused ran");
}
