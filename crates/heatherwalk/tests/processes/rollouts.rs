//! Rollouts while controls are lost.

use std::{sync, sync::atomic, time};

use tokio::task;

use crate::{backends, harness};

const PATH: &str = "/v1/rollouts?service=logbook";
const OVER: time::Duration = time::Duration::from_secs(12);
/// When the leader is killed: near the verdict.
const KILL_AT: time::Duration = time::Duration::from_secs(5);

/// The hosts with the numbers 1 to 3 have the old version.
fn version(host: &str) -> &'static str {
    if host.ends_with(['1', '2', '3']) { "v1" } else { "v2" }
}

/// The state of the order, from the first running control that knows it.
async fn state(mesh: &harness::Mesh) -> Option<String> {
    for control in 0..mesh.controls.len() {
        if let Some(it) = mesh.read(control, PATH).await {
            return it["state"].as_str().map(Into::into);
        }
    }
    None
}

/// Guards against an order that is late because the leader is killed, that a loss of all controls
/// undoes, or whose end comes while an old target gets requests.
#[test]
fn a_lost_leader_delays_a_rollout() {
    let centres = ["skulte", "jugla", "imanta", "skulte", "jugla", "imanta"];
    let servers = backends::State::with_versions(version);
    harness::run(&centres, &servers, async |mesh| {
        let stop = sync::Arc::new(atomic::AtomicBool::new(false));
        let mut callers = task::JoinSet::new();
        for node in &mesh.nodes {
            let (client, addr, stop) = (mesh.client(), node.clients, sync::Arc::clone(&stop));
            callers.spawn(async move {
                let mut failed = Vec::new();
                while !stop.load(atomic::Ordering::SeqCst) {
                    let request = harness::Request::default();
                    let reply = harness::send_request(&client, addr, &request).await;
                    failed.extend(reply.ok().filter(|it| it.status != 200));
                    tokio::time::sleep(time::Duration::from_millis(25)).await;
                }
                failed
            });
        }
        let leader = mesh.leader().await;
        let began = time::Instant::now();
        harness::eventually("the order is accepted", async || {
            let reply = mesh.order_rollout((leader + 1) % 3, "v2", "12s").await;
            reply.is_some_and(|it| it.status == 200)
        })
        .await;
        tokio::time::sleep(KILL_AT.saturating_sub(began.elapsed())).await;
        assert_eq!(state(mesh).await.as_deref(), Some("running"));
        mesh.controls[leader].kill();
        harness::eventually("the order has ended", async || {
            state(mesh).await.is_some_and(|it| it != "running")
        })
        .await;
        assert_eq!(state(mesh).await.as_deref(), Some("complete"));
        assert!(began.elapsed() < OVER, "{:?}", began.elapsed());
        let ended = servers.runs().len();
        tokio::time::sleep(time::Duration::from_secs(1)).await;
        let later = servers.runs().split_off(ended);
        assert!(later.len() > 50, "{} runs", later.len());
        assert!(later.iter().all(|it| version(&it.host) == "v2"), "an old target ran a request");
        stop.store(true, atomic::Ordering::SeqCst);
        let failed: Vec<_> = callers.join_all().await.into_iter().flatten().collect();
        assert!(failed.is_empty(), "{failed:?}");

        for control in &mut mesh.controls {
            if control.process.is_some() {
                control.kill();
            }
        }
        for control in 0..mesh.controls.len() {
            mesh.start_control(control);
        }
        harness::eventually("the order is known again", async || {
            state(mesh).await.as_deref() == Some("complete")
        })
        .await;
    });
}
