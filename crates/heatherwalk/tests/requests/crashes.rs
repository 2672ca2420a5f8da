//! Requests that crash backend servers in quiet services, at each point of their answers.

use std::time;

use serde_json::json;
use tokio::task;

use crate::{callers, mesh, servers};

/// The limit of crashes until a request is quarantined. The second crash is sufficient evidence.
const MAX_CRASHES: usize = 3;
/// The lease of announcements, as some deployments set it.
const LEASE: time::Duration = time::Duration::from_secs(5);
/// The time from a crash of a server to its restart.
const RESTART_DELAY: time::Duration = time::Duration::from_millis(3_500);

/// Longer than the evidence of a crash takes to reach all nodes.
const REPORT_DELAY: time::Duration = time::Duration::from_millis(500);

const LENGTH: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\nthe beginning";
const CHUNKS: &[u8] = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nbegin\r\n";
const CRASHING: &str = "/work";

/// How much of its answer a server sends before it ends, and what the caller does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    BeforeHead,
    InLength,
    InChunks,
    /// The caller leaves, and the server ends a moment later.
    CallerLeft,
}

const WAYS: [(&str, Way); 4] = [
    ("before", Way::BeforeHead),
    ("length", Way::InLength),
    ("chunks", Way::InChunks),
    ("left", Way::CallerLeft),
];

fn answer_of(way: Way) -> impl Fn(&str, &[u8]) -> servers::Action + Clone {
    move |head: &str, _: &[u8]| match way {
        _ if !head.contains(CRASHING) => {
            servers::Action::Send(servers::answer("200 OK", "", b"ok"))
        }
        Way::BeforeHead | Way::CallerLeft => servers::Action::Freeze,
        Way::InLength => servers::Action::Partly(LENGTH.into()),
        Way::InChunks => servers::Action::Partly(CHUNKS.into()),
    }
}

/// A mesh in which each service has one node, beside the first node.
async fn spawn(services: &[String], lease: time::Duration) -> mesh::Mesh {
    let entries: Vec<_> =
        services.iter().map(|it| (it.as_str(), json!({}), json!({"timeout_ms": 20_000}))).collect();
    let mut mesh = mesh::Mesh::spawn(1, mesh::document(&entries)).await;
    for _ in services {
        mesh.add_node_with(mesh.listen, |settings| settings.lease = lease).await;
    }
    mesh
}

/// Sends the crashing request of a service until it is quarantined. Returns how often it ended the
/// server.
async fn crash_until_quarantined(
    mesh: &mesh::Mesh,
    service: &str,
    node: usize,
    entry: usize,
    way: Way,
) -> usize {
    let mut crashes = 0;
    loop {
        let server =
            servers::Server::spawn(mesh.announce(node), service, 512, answer_of(way)).await;
        mesh.ready(entry, &[service]).await;
        // The node reports the crash when the next process announces itself, if not before.
        tokio::time::sleep(REPORT_DELAY).await;
        let request = callers::get(&format!("/{service}{CRASHING}"));
        let mut answer = task::JoinSet::new();
        let addr = mesh.callers(entry);
        answer.spawn(async move { callers::send(addr, request).await });
        tokio::select! {
            reply = answer.join_next() => {
                let reply = reply.expect("a reply").expect("no panic");
                assert!(reply.to_string().contains("quarantined"), "{service}: {reply}");
                return crashes;
            }
            () = server.counts.wait(servers::Counts::runs, 1) => {}
        }
        if way == Way::CallerLeft {
            answer.shutdown().await;
            server.counts.wait(servers::Counts::cancelled, 1).await;
        }
        drop(server);
        crashes += 1;
        assert!(crashes <= MAX_CRASHES, "{service}: {crashes} crashes");
        tokio::time::sleep(RESTART_DELAY).await;
    }
}

/// Guards against a request that crashes backend servers without end since no evidence is kept: the
/// crash breaks off the answer's body, or comes after the caller has left, and nothing else is in
/// work there.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_crash_leaves_no_evidence_in_a_quiet_service() {
    let services: Vec<String> = ["forwarded", "here"]
        .iter()
        .flat_map(|place| WAYS.iter().map(move |(name, _)| format!("{name}-{place}")))
        .collect();
    let mesh = std::sync::Arc::new(spawn(&services, LEASE).await);
    let mut tasks = task::JoinSet::new();
    for (index, service) in services.into_iter().enumerate() {
        let mesh = std::sync::Arc::clone(&mesh);
        let node = index + 1;
        let entry = if index < WAYS.len() { 0 } else { node };
        let way = WAYS[index % WAYS.len()].1;
        tasks.spawn(async move {
            let crashes = crash_until_quarantined(&mesh, &service, node, entry, way).await;
            assert!(crashes >= 2, "{service}: quarantined after {crashes} crashes");
        });
    }
    tasks.join_all().await;
}

/// Guards against a request that is refused for an hour since two backend servers that ran it have
/// ended as announced, and left it unfinished.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_end_of_a_backend_server_that_leaves_is_evidence() {
    let services = ["leaves".to_owned()];
    let mesh = spawn(&services, LEASE).await;
    for run in 0..MAX_CRASHES {
        let handle = answer_of(Way::BeforeHead);
        let server = servers::Server::spawn(mesh.announce(1), "leaves", 512, handle).await;
        mesh.ready(0, &["leaves"]).await;
        tokio::time::sleep(REPORT_DELAY).await;
        let request = callers::get(&format!("/leaves{CRASHING}"));
        let mut answer = task::JoinSet::new();
        let addr = mesh.callers(0);
        answer.spawn(async move { callers::send(addr, request).await });
        tokio::select! {
            reply = answer.join_next() => panic!("run {run}: {reply:?}"),
            () = server.counts.wait(servers::Counts::runs, 1) => {}
        }
        let leave = b"POST /leave HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        let left = callers::exchange(mesh.announce(1), leave).await;
        assert!(left.starts_with("HTTP/1.1 200"), "{left}");
        drop(server);
        let reply = answer.join_next().await.expect("a reply").expect("no panic");
        assert!(reply.status >= 500, "{reply}");
    }
}

/// Guards against an innocent request that is refused for an hour: its answers break off though the
/// server lives, or it ended long before the server did.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_broken_answer_without_a_crash_is_evidence() {
    let services: Vec<String> = WAYS.iter().map(|it| it.0.to_owned()).collect();
    let lease = time::Duration::from_secs(2);
    let mesh = spawn(&services, lease).await;
    for (index, (service, way)) in WAYS.iter().enumerate() {
        let node = index + 1;
        for run in 0..MAX_CRASHES {
            let server =
                servers::Server::spawn(mesh.announce(node), service, 512, answer_of(*way)).await;
            mesh.ready(0, &[service]).await;
            let addr = mesh.callers(0);
            let text = format!("GET /{service}{CRASHING} HTTP/1.1\r\nhost: a\r\n\r\n");
            let stream = callers::open(addr, text.as_bytes()).await;
            server.counts.wait(servers::Counts::runs, 1).await;
            drop(stream);
            server.counts.wait(servers::Counts::cancelled, 1).await;
            // The server renews its announcement for longer than its lease, and then restarts.
            tokio::time::sleep(lease + time::Duration::from_millis(1_500)).await;
            assert_eq!(server.counts.runs(), 1, "{service}, run {run}");
        }
    }
}
