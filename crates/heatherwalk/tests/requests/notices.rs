//! What backend servers say of themselves in their answers: the rate that they take, and that they
//! leave.

use std::{
    sync::{Arc, atomic},
    time,
};

use serde_json::json;
use tokio::task;

use crate::{callers, mesh, servers};

/// The rate that the server names, in requests per second.
const RATE: usize = 10;
/// How long requests are sent.
const SENDING: time::Duration = time::Duration::from_secs(4);
/// Longer than a node takes to act on what an answer says.
const NOTICED: time::Duration = time::Duration::from_millis(500);

/// Sends requests through all nodes for [`SENDING`]. Returns how many were answered with each of
/// 200 and 503.
async fn send_many(mesh: &mesh::Mesh) -> (usize, usize) {
    let mut tasks = task::JoinSet::new();
    let until = tokio::time::Instant::now() + SENDING;
    while tokio::time::Instant::now() < until {
        for node in 0..mesh.nodes.len() {
            let addr = mesh.callers(node);
            tasks.spawn(async move { callers::send(addr, callers::get("/logs/1")).await.status });
        }
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    let statuses = tasks.join_all().await;
    let count = |status| statuses.iter().filter(|it| **it == status).count();
    (count(200), count(503))
}

/// Waits until each node serves requests.
async fn ready(mesh: &mesh::Mesh) {
    for node in 0..mesh.nodes.len() {
        mesh.ready(node, &["logs"]).await;
    }
}

/// Guards against a server that gets more requests than it has said that it takes, whatever node
/// they come through, and against refusals that a limit causes after it was lifted.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_server_gets_more_than_it_takes() {
    let document = mesh::document(&[("logs", json!({}), json!({}))]);
    let mesh = mesh::Mesh::spawn(3, document).await;
    let limited = Arc::new(atomic::AtomicBool::new(true));
    let names = Arc::clone(&limited);
    let handle = move |_: &str, _: &[u8]| {
        let limit = format!("heatherwalk-max-rate: {RATE}.0\r\n");
        let fields = if names.load(atomic::Ordering::SeqCst) { limit.as_str() } else { "" };
        servers::Action::Send(servers::answer("200 OK", fields, b"ok"))
    };
    let server = servers::Server::spawn(mesh.announce(1), "logs", 512, handle).await;
    ready(&mesh).await;
    let before = server.counts.runs();
    let (answered, refused) = send_many(&mesh).await;
    let runs = server.counts.runs() - before;
    let allowed = RATE * SENDING.as_secs() as usize * 3 / 2 + 5;
    assert!(runs <= allowed, "{runs} requests ran, {allowed} are allowed");
    assert!(answered >= RATE * 2, "{answered} were answered");
    assert!(refused > 0, "the others are refused as not run");

    limited.store(false, atomic::Ordering::SeqCst);
    ready(&mesh).await;
    tokio::time::sleep(NOTICED).await;
    let before = server.counts.runs();
    send_many(&mesh).await;
    let runs = server.counts.runs() - before;
    assert!(runs > allowed, "only {runs} requests ran without a limit");
}

/// Guards against requests for a server that says in its answers that it leaves, while its
/// announcements still say that it is ready.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_server_that_leaves_gets_requests() {
    let document = mesh::document(&[("logs", json!({}), json!({}))]);
    let mesh = mesh::Mesh::spawn(3, document).await;
    let handle = |fields: &'static str| {
        move |_: &str, _: &[u8]| servers::Action::Send(servers::answer("200 OK", fields, b"ok"))
    };
    let leaving = handle("heatherwalk-leaving: true\r\n");
    let leaving = servers::Server::spawn(mesh.announce(1), "logs", 512, leaving).await;
    mesh.ready(1, &["logs"]).await;
    let staying = servers::Server::spawn(mesh.announce(2), "logs", 512, handle("")).await;
    ready(&mesh).await;
    let until = tokio::time::Instant::now() + mesh::TIMEOUT;
    while leaving.counts.runs() == 0 {
        callers::send(mesh.callers(1), callers::get("/logs/1")).await;
        assert!(tokio::time::Instant::now() < until, "the server gets a first request");
    }
    tokio::time::sleep(NOTICED).await;
    let before = leaving.counts.runs();
    let (answered, refused) = send_many(&mesh).await;
    assert_eq!(leaving.counts.runs(), before);
    assert!(answered > 0 && staying.counts.runs() > 0);
    assert_eq!(refused, 0, "the other server runs them");
}
