//! Hedged requests: second sends of slow ones.

use std::{
    sync::{Arc, atomic},
    time,
};

use serde_json::json;

use crate::{callers, mesh, servers};

/// The number of requests until the node knows a latency percentile.
const WARMUP_REQUESTS: usize = 40;
/// The time that a stalled request takes.
const STALL_TIME: time::Duration = time::Duration::from_secs(20);

/// Guards against a hedged request that waits for a slow target, a slower send that isn't
/// cancelled, and a second send on a route without hedging.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_first_answer_wins() {
    let document = mesh::document(&[
        ("hedged", json!({}), json!({"hedge": true})),
        ("plain", json!({}), json!({"timeout_ms": 1_500})),
    ]);
    let mesh = mesh::Mesh::spawn(5, document).await;
    let stall = Arc::new(atomic::AtomicBool::new(false));
    let mut servers = Vec::new();
    for (node, service) in [(1, "hedged"), (2, "hedged"), (3, "plain"), (4, "plain")] {
        let stall = Arc::clone(&stall);
        // The next request stalls, whichever target it reaches.
        let handle = move |_: &str, _: &[u8]| {
            let whole = servers::answer("200 OK", "", b"work");
            match stall.swap(false, atomic::Ordering::SeqCst) {
                true => servers::Action::After(STALL_TIME, whole),
                false => servers::Action::Send(whole),
            }
        };
        let server = servers::Server::spawn(mesh.announce(node), service, 512, handle).await;
        mesh.ready(node, &[service]).await;
        servers.push(server);
    }
    mesh.ready(0, &["hedged", "plain"]).await;
    let mut lines = Vec::new();
    for (service, first) in [("hedged", 0), ("plain", 2)] {
        let path = format!("/{service}/work");
        for _ in 0..WARMUP_REQUESTS {
            let reply = callers::send(mesh.callers(0), callers::get(&path)).await;
            assert_eq!(reply.status, 200);
        }
        let runs = || servers[first].counts.runs() + servers[first + 1].counts.runs();
        let before = runs();
        stall.store(true, atomic::Ordering::SeqCst);
        let started = time::Instant::now();
        let reply = callers::send(mesh.callers(0), callers::get(&path)).await;
        let fast = started.elapsed() < STALL_TIME / 2;
        let cancelled =
            || servers[first].counts.cancelled() + servers[first + 1].counts.cancelled();
        let until = tokio::time::Instant::now() + mesh::TIMEOUT;
        while cancelled() == 0 {
            assert!(tokio::time::Instant::now() < until, "the slow send was not cancelled");
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
        lines.push(format!(
            "{service}: {reply}, before the slow target answers: {fast}; \
             ran {} times, {} cancelled",
            runs() - before,
            cancelled(),
        ));
    }
    insta::assert_snapshot!(lines.join("\n"));
}
