//! Nodes that reach no control, or none with a majority.

use std::{sync, time};

use crate::{backends, harness};

fn no_delay() -> sync::Arc<backends::State> {
    backends::State::new(time::Duration::ZERO, None, 0)
}

/// Guards against nodes that don't serve, or serve an older version, after all of them restart in a
/// data centre whose control can't reach the other controls.
#[test]
fn all_nodes_restart() {
    harness::run(&["skulte"; 4], &no_delay(), async |mesh| {
        for _ in 0..3 {
            mesh.next_version().await;
        }
        mesh.wait_in_force().await;
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
            mesh.wait_in_force().await;
            mesh.wait_serving().await;
        }
    });
}

/// Guards against nodes that stop serving when all controls are killed, or that don't attach to a
/// control again after its restart.
#[test]
fn all_controls_killed() {
    harness::run(&harness::DATA_CENTRES, &no_delay(), async |mesh| {
        mesh.next_version().await;
        mesh.wait_in_force().await;
        for control in &mut mesh.controls {
            control.kill();
        }
        let started = time::Instant::now();
        let mut served = 0;
        // Longer than the leases of the registry and of the nodes' heartbeats.
        while started.elapsed() < time::Duration::from_secs(6) {
            for node in 0..mesh.nodes.len() {
                let reply = mesh.get(node).await.expect("an answer");
                assert_eq!(reply.status, 200, "after {:?}: {reply:?}", started.elapsed());
                served += 1;
            }
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        assert!(served > 30, "{served} requests served");
        for i in 0..mesh.controls.len() {
            mesh.start_control(i);
        }
        mesh.next_version().await;
        mesh.wait_in_force().await;
    });
}
