//! Large answers over a host's network link of known rate.

use std::time;

use serde_json::json;

use crate::{callers, mesh, servers};

/// 2 Mbit/s, in bytes per second.
const LINK_RATE: u64 = 250_000;
const LARGE_BYTES: usize = 90_000;
const WORK: time::Duration = time::Duration::from_millis(100);
/// Callers of large answers that ask at the same time: the link takes 4 s for all of them.
const CALLERS: usize = 10;
const DEADLINE_MS: u64 = 3_000;
/// The link sends four or five large answers in this time.
const OBJECTIVE_MS: u64 = 2_000;
/// Longest time of a small answer: its work, its place on the link and what a busy machine adds. The
/// link takes longer for two large ones.
const SMALL_LIMIT: time::Duration = time::Duration::from_millis(600);

fn handle(head: &str, _: &[u8]) -> servers::Action {
    let path = head.split(' ').nth(1).unwrap_or_default();
    let length = if path.starts_with("/exports") { LARGE_BYTES } else { 500 };
    let mut answer = servers::answer("200 OK", "", &vec![b'x'; length]);
    if path.ends_with("/cut") {
        answer.truncate(LARGE_BYTES / 2);
    }
    servers::Action::After(WORK, answer)
}

fn document() -> serde_json::Value {
    let limits = json!({"timeout_ms": 60_000, "objective_ms": OBJECTIVE_MS});
    let mut document = mesh::document(&[("exports", json!({}), limits)]);
    document["routes"]["notes"] = json!({"prefix": "/notes/", "service": "exports"});
    document
}

fn export() -> callers::Request {
    callers::get("/exports/1").with("heatherwalk-deadline-ms", &DEADLINE_MS.to_string())
}

/// Asks for several exports at the same time, and for notes meanwhile. Returns the statuses of the
/// exports, in order, and the longest time of a note.
async fn load(node: std::net::SocketAddr) -> (Vec<u16>, time::Duration) {
    let mut exports = tokio::task::JoinSet::new();
    for _ in 0..CALLERS {
        exports.spawn(callers::send(node, export()));
    }
    let mut longest = time::Duration::ZERO;
    let mut statuses = Vec::new();
    while !exports.is_empty() {
        let started_at = time::Instant::now();
        let note = callers::send(node, callers::get("/notes/1")).await;
        assert_eq!(note.status, 200, "{note}");
        longest = longest.max(started_at.elapsed());
        while let Some(reply) = exports.try_join_next() {
            let reply = reply.expect("the caller does not panic");
            let length = reply.body.as_ref().map(bytes::Bytes::len);
            assert!(
                reply.status != 200 || length == Some(LARGE_BYTES),
                "{reply} cut at {length:?}"
            );
            statuses.push(reply.status);
        }
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    statuses.sort_unstable();
    (statuses, longest)
}

/// A mesh in which the node of the caller (0) or of the target (1) has a narrow link, and both know
/// the size of the answers. Returns also the server and the key of the caller's node.
async fn spawn(limited: usize) -> (mesh::Mesh, servers::Server, usize) {
    let mut mesh = mesh::Mesh::spawn(1, document()).await;
    let listen = mesh.listen;
    let rates = [0, 1].map(|it| (it == limited).then_some(LINK_RATE));
    let entry = mesh.add_node_with(listen, |it| it.link_rate = rates[0]).await;
    let target = mesh.add_node_with(listen, |it| it.link_rate = rates[1]).await;
    let server = servers::Server::spawn(mesh.announce(target), "exports", 12, handle).await;
    mesh.ready(entry, &["exports"]).await;
    let reply = callers::send(mesh.callers(entry), export()).await;
    assert_eq!(reply.status, 200, "{reply}");
    (mesh, server, entry)
}

/// Guards against a large answer that breaks off at the backend server and looks complete, and
/// against one whose bytes count towards the network link for good.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_cut_answer_looks_complete_or_takes_the_link() {
    for limited in [0, 1] {
        let (mesh, _server, entry) = spawn(limited).await;
        for _ in 0..CALLERS {
            let reply = callers::send(mesh.callers(entry), callers::get("/exports/cut")).await;
            let is_whole = reply.status == 200 && reply.body.is_some();
            assert!(!is_whole, "limited {limited}: {reply}");
        }
        let reply = callers::send(mesh.callers(entry), export()).await;
        let length = reply.body.as_ref().map(bytes::Bytes::len);
        assert_eq!((reply.status, length), (200, Some(LARGE_BYTES)), "limited {limited}: {reply}");
    }
}

/// Guards against large answers that are admitted although the link of the target, or of the
/// caller's node, cannot carry them in time, and against small ones that wait behind them.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn large_answers_fill_a_network_link() {
    for limited in [0, 1] {
        let (mesh, _server, entry) = spawn(limited).await;
        let (statuses, longest) = load(mesh.callers(entry)).await;
        let answered = statuses.iter().filter(|it| **it == 200).count();
        assert!(
            statuses.iter().all(|it| [200, 503].contains(it)),
            "limited {limited}: {statuses:?}"
        );
        assert!((3..=7).contains(&answered), "limited {limited}: {statuses:?}");
        assert!(longest <= SMALL_LIMIT, "limited {limited}: a small answer took {longest:?}");
    }
}

/// Guards against small answers that are refused because large ones of the same service were: the
/// caller's node counted these refusals as those of full targets and held back all requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn refused_large_answers_hold_back_small_ones() {
    let (mesh, _server, entry) = spawn(1).await;
    let mut exports = tokio::task::JoinSet::new();
    for _ in 0..CALLERS * 6 {
        exports.spawn(callers::send(mesh.callers(entry), export()));
    }
    let mut refused = 0;
    while refused < CALLERS * 4 {
        let reply = exports.join_next().await.expect("most are refused").expect("no panic");
        refused += usize::from(reply.status == 503);
    }
    let mut statuses = Vec::new();
    for _ in 0..20 {
        statuses.push(callers::send(mesh.callers(entry), callers::get("/notes/1")).await.status);
    }
    assert_eq!(statuses, [200; 20]);
}
