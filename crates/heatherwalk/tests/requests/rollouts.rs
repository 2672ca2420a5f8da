//! Services that move to another software version.

use std::{
    sync::{Arc, atomic},
    time,
};

use serde_json::{Value, json};
use tokio::task;

use crate::{callers, mesh, servers};

const PATH: &str = "/v1/rollouts";
const SHOW: &str = "/v1/rollouts?service=logs";
/// The pause between two requests.
const PAUSE: time::Duration = time::Duration::from_millis(8);
/// How long an order takes at most.
const OVER: time::Duration = time::Duration::from_secs(8);

/// Nodes 1 and 2 have targets of version `v1`, nodes 3 and 4 of `v2`.
struct Fleet {
    mesh: mesh::Mesh,
    old: Vec<servers::Server>,
    new: Vec<servers::Server>,
}

/// Requests that are sent until the sender is stopped.
struct Load {
    stop: Arc<atomic::AtomicBool>,
    task: task::JoinHandle<Vec<u16>>,
}

fn runs(servers: &[servers::Server]) -> usize {
    servers.iter().map(|it| it.counts.runs()).sum()
}

async fn spawn(failures_percent: usize) -> Fleet {
    let document = mesh::document(&[("logs", json!({}), json!({"idempotent": true}))]);
    let mesh = mesh::Mesh::spawn(5, document).await;
    let count = Arc::new(atomic::AtomicUsize::new(0));
    let handle = move |failures: usize| {
        let count = Arc::clone(&count);
        move |_: &str, _: &[u8]| {
            let fails = count.fetch_add(37, atomic::Ordering::SeqCst) % 100 < failures;
            let status = if fails { "500 Internal Server Error" } else { "200 OK" };
            servers::Action::Send(servers::answer(status, "", b"ok"))
        }
    };
    let (mut old, mut new) = (Vec::new(), Vec::new());
    for (node, version) in [(1, "v1"), (2, "v1"), (3, "v2"), (4, "v2")] {
        let (list, failures) =
            if version == "v1" { (&mut old, 0) } else { (&mut new, failures_percent) };
        let (announce, handle) = (mesh.announce(node), handle(failures));
        list.push(servers::Server::spawn_version(announce, "logs", 64, version, handle).await);
    }
    for node in 0..5 {
        mesh.ready(node, &["logs"]).await;
    }
    Fleet { mesh, old, new }
}

fn send_requests(mesh: &mesh::Mesh) -> Load {
    let stop = Arc::new(atomic::AtomicBool::new(false));
    let nodes: Vec<_> = (0..mesh.nodes.len()).map(|it| mesh.callers(it)).collect();
    let stopped = Arc::clone(&stop);
    let task = tokio::spawn(async move {
        let mut tasks = task::JoinSet::new();
        for addr in nodes.into_iter().cycle() {
            if stopped.load(atomic::Ordering::SeqCst) {
                break;
            }
            tasks.spawn(async move { callers::send(addr, callers::get("/logs/1")).await.status });
            tokio::time::sleep(PAUSE).await;
        }
        tasks.join_all().await
    });
    Load { stop, task }
}

impl Load {
    async fn stop(self) -> Vec<u16> {
        self.stop.store(true, atomic::Ordering::SeqCst);
        self.task.await.expect("ends")
    }
}

impl Fleet {
    async fn order(&self, target: &str) -> (u16, Value) {
        let over = format!("{}s", OVER.as_secs());
        let body = json!({"service": "logs", "target": target, "over": over});
        self.mesh.operate(http::Method::POST, PATH, Some(body)).await
    }

    /// Waits until the order has ended. Returns its state and the time that it took.
    async fn end(&self) -> (Value, time::Duration) {
        let began = tokio::time::Instant::now();
        loop {
            let (status, body) = self.mesh.operate(http::Method::GET, SHOW, None).await;
            assert_eq!(status, 200, "{body}");
            if body["state"] != "running" {
                return (body["state"].clone(), began.elapsed());
            }
            assert!(began.elapsed() < mesh::TIMEOUT, "{body}");
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
    }
}

/// Guards against a rollout of a good version that is not complete in time or loses requests, and
/// against requests for old targets after its end.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_good_version_is_late_or_loses_requests() {
    let fleet = spawn(0).await;
    assert_eq!(fleet.mesh.operate(http::Method::GET, SHOW, None).await.0, 404);
    let load = send_requests(&fleet.mesh);
    assert_eq!(fleet.order("v2").await, (200, json!({"state": "running", "target": "v2"})));
    assert_eq!(fleet.order("v2").await.0, 200, "the same order, sent again");
    assert_eq!(fleet.order("v1").await.0, 409);
    let (state, elapsed) = fleet.end().await;
    assert_eq!((state, elapsed < OVER), (json!("complete"), true), "{elapsed:?}");
    let before = (runs(&fleet.old), runs(&fleet.new));
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    let statuses = load.stop().await;
    assert!(statuses.iter().all(|it| *it == 200), "{statuses:?}");
    assert_eq!(runs(&fleet.old), before.0, "an old target gets a request after the end");
    assert!(runs(&fleet.new) > before.1);
}

/// Guards against a bad version that gets more than a tenth of the requests and 50, or that gets any
/// after it was rolled back.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_bad_version_gets_requests() {
    let fleet = spawn(30).await;
    // Without an order, all versions get requests.
    let before = (runs(&fleet.old), runs(&fleet.new));
    let load = send_requests(&fleet.mesh);
    assert_eq!(fleet.order("v2").await.0, 200);
    let (state, elapsed) = fleet.end().await;
    assert_eq!((state, elapsed < OVER), (json!("rolled_back"), true), "{elapsed:?}");
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    let new = runs(&fleet.new);
    tokio::time::sleep(OVER.saturating_sub(elapsed)).await;
    load.stop().await;
    assert_eq!(runs(&fleet.new), new, "a request after it was rolled back");
    let (old, new) = (runs(&fleet.old) - before.0, new - before.1);
    assert!(new * 10 <= old + new + 500, "{new} of {}", old + new);
}
