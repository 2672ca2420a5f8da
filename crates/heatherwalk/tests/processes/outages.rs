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

/// Guards against a control that is replaced by one with another name and other addresses, and whose
/// vote is lost for good: the group then had no majority once another disk was lost.
#[test]
fn a_replaced_control_ends_the_group() {
    harness::run_seeded(&harness::DATA_CENTRES, &no_delay(), async |mesh| {
        mesh.next_version().await;
        mesh.controls[0].kill();
        mesh.set_seeds(&[1, 2]);
        let newcomer = mesh.add_control("skulte-d", "skulte");
        wait_votes(mesh, newcomer).await;
        mesh.controls[1].kill();
        mesh.delete_data(1);
        mesh.start_control(1);
        mesh.next_version().await;
        wait_votes(mesh, 1).await;
        mesh.next_version().await;
        mesh.wait_in_force().await;
        mesh.wait_serving().await;
    });
}

/// Waits until a control votes in the configuration group.
async fn wait_votes(mesh: &harness::Mesh, control: usize) {
    harness::eventually("the control votes", async || {
        let votes = mesh.gauge(&mesh.controls[control], "heatherwalk_control_votes").await;
        votes == Some(1)
    })
    .await;
}
