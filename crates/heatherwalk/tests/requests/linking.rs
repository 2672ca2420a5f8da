//! Links between the nodes of a mesh, before and while requests arrive.

use std::time;

use serde_json::json;

use crate::{callers, mesh, servers};

const NODES: usize = 9;
/// Nodes 1 to 8 have targets, and node 0 has none, so it has a link to each of the 8 others.
const PAIRS: u64 = 8 * 7 / 2 + 8;
/// How long the nodes may take to open all links ahead of the first request.
const WARM_UP: time::Duration = time::Duration::from_secs(20);

/// Guards against links that are opened only when the first requests arrive, which then time out
/// behind the handshakes, and against two handshakes for a pair of nodes.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn links_wait_for_the_first_requests() {
    let mesh = mesh::Mesh::spawn(NODES, mesh::document(&[("logs", json!({}), json!({}))])).await;
    let mut running = Vec::new();
    for node in 1..NODES {
        let handle = |_: &str, _: &[u8]| servers::Action::Send(servers::answer("200 OK", "", b""));
        running.push(servers::Server::spawn(mesh.announce(node), "logs", 512, handle).await);
    }
    // Each node also has a link to the control.
    let expected = PAIRS + NODES as u64;
    let until = tokio::time::Instant::now() + WARM_UP;
    while mesh.opened_links() < expected {
        let opened = mesh.opened_links();
        assert!(tokio::time::Instant::now() < until, "{opened} of {expected} links are open");
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    for node in 0..NODES {
        mesh.ready(node, &["logs"]).await;
        for _ in 0..20 {
            let reply = callers::send(mesh.callers(node), callers::get("/logs/a")).await;
            assert_eq!(reply.status, 200, "{reply:?}");
        }
    }
    // The metrics are updated each second.
    tokio::time::sleep(time::Duration::from_millis(1_500)).await;
    let opened = mesh.opened_links();
    assert!(opened <= expected + PAIRS / 4, "{opened} links for {PAIRS} pairs of nodes");
}
