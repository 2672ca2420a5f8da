//! Nodes without controls.

use std::{sync, time};

use crate::{backends, harness};

fn quick() -> sync::Arc<backends::Work> {
    backends::Work::new(time::Duration::ZERO, None, 0)
}

/// Guards against nodes that serve nothing, or an older version, when all of them are restarted in
/// a data centre whose control cannot reach the others.
#[test]
fn herd_restart() {
    harness::run(&["skulte"; 4], &quick(), async |mesh| {
        for _ in 0..3 {
            mesh.next_version().await;
        }
        mesh.in_force().await;
        for control in &mut mesh.controls[1..] {
            control.kill();
        }
        harness::eventually("the control is isolated", async || {
            mesh.read(0, "/v1/status").await.is_some_and(|it| it["current"] == false)
        })
        .await;
        for _ in 0..2 {
            for node in &mut mesh.nodes {
                node.kill();
            }
            for i in 0..mesh.nodes.len() {
                mesh.start_node(i);
            }
            mesh.in_force().await;
            mesh.all_serve().await;
        }
    });
}

/// Guards against nodes that stop serving without a control, and do not find one again.
#[test]
fn no_control() {
    harness::run(&harness::CENTRES, &quick(), async |mesh| {
        mesh.next_version().await;
        mesh.in_force().await;
        for control in &mut mesh.controls {
            control.kill();
        }
        let begun = time::Instant::now();
        let mut served = 0;
        // Longer than the leases of the registry and of the nodes' heartbeats.
        while begun.elapsed() < time::Duration::from_secs(6) {
            for node in 0..mesh.nodes.len() {
                let reply = mesh.get(node).await.expect("an answer");
                assert_eq!(reply.status, 200, "after {:?}: {reply:?}", begun.elapsed());
                served += 1;
            }
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        assert!(served > 30, "{served} requests served");
        for i in 0..mesh.controls.len() {
            mesh.start_control(i);
        }
        mesh.next_version().await;
        mesh.in_force().await;
    });
}
