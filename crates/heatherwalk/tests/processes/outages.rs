//! Nodes that reach no control, or none with a majority.

use std::{sync, time};

use crate::{backends, harness, hosts};

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

/// Guards against a control that is replaced by one with another name and other addresses, and
/// whose vote is lost for good: the group then had no majority once another disk was lost.
#[test]
fn a_replaced_control_ends_the_group() {
    harness::run_seeded(&harness::DATA_CENTRES, &no_delay(), async |mesh| {
        mesh.next_version().await;
        mesh.controls[0].kill();
        mesh.set_seeds(&[1, 2]);
        let newcomer = mesh.add_control("skulte-d", "skulte");
        wait_votes(mesh, newcomer).await;
        lose_disk(mesh, 1).await;
    });
}

/// Guards against a planned replacement that loses the vote of the control that stops, and against
/// nodes that stay with it.
#[test]
fn a_planned_replacement_ends_the_group() {
    harness::run_seeded(&harness::DATA_CENTRES, &no_delay(), async |mesh| {
        mesh.next_version().await;
        let newcomer = mesh.add_control("skulte-d", "skulte");
        wait_current(mesh, newcomer).await;
        assert!(mesh.controls[0].stop().await, "the stop is reported as a success");
        wait_votes(mesh, newcomer).await;
        lose_disk(mesh, 1).await;
    });
}

/// Guards against controls that find nobody after a stop of all, when their seeds are those from
/// before a replacement and their stored lists too.
#[test]
fn seeds_of_replaced_controls() {
    harness::run_seeded(&harness::DATA_CENTRES, &no_delay(), async |mesh| {
        mesh.next_version().await;
        mesh.controls[0].kill();
        mesh.set_seeds(&[1, 2]);
        let newcomer = mesh.add_control("skulte-d", "skulte");
        wait_votes(mesh, newcomer).await;
        mesh.set_seeds(&[0]);
        let running = [1, 2, newcomer];
        running.iter().for_each(|it| mesh.controls[*it].kill());
        running.iter().for_each(|it| mesh.start_control(*it));
        mesh.next_version().await;
        mesh.set_seeds(&[newcomer]);
        lose_disk(mesh, 2).await;
    });
}

/// Guards against a mesh that does not start again with seeds that name only controls which came
/// later.
#[test]
fn seeds_of_new_controls() {
    harness::run_seeded(&harness::DATA_CENTRES, &no_delay(), async |mesh| {
        mesh.next_version().await;
        mesh.controls[0].kill();
        mesh.set_seeds(&[1, 2]);
        let newcomer = mesh.add_control("skulte-d", "skulte");
        wait_votes(mesh, newcomer).await;
        mesh.set_seeds(&[newcomer]);
        let running = [1, 2, newcomer];
        running.iter().for_each(|it| mesh.controls[*it].kill());
        mesh.nodes.iter_mut().for_each(hosts::Host::kill);
        running.iter().for_each(|it| mesh.start_control(*it));
        (0..mesh.nodes.len()).for_each(|it| mesh.start_node(it));
        mesh.wait_in_force().await;
        lose_disk(mesh, 1).await;
    });
}

/// Guards against a control that was replaced while it was down, as all others were: its stored
/// list names none that runs, and none of these knows it. It has to take its seeds, also new ones.
#[test]
fn a_stored_list_of_replaced_controls() {
    harness::run_seeded(&harness::DATA_CENTRES, &no_delay(), async |mesh| {
        mesh.next_version().await;
        mesh.controls[1].kill();
        mesh.set_seeds(&[0, 2]);
        let newcomer = mesh.add_control("jugla-d", "jugla");
        wait_votes(mesh, newcomer).await;
        // A control without a seat leaves the list after 10 s of silence.
        tokio::time::sleep(time::Duration::from_secs(13)).await;
        for (control, name) in [(0, "skulte-d"), (2, "imanta-d")] {
            let successor = mesh.add_control(name, harness::DATA_CENTRES[control]);
            wait_current(mesh, successor).await;
            assert!(mesh.controls[control].stop().await, "the stop is reported as a success");
            wait_votes(mesh, successor).await;
        }
        mesh.next_version().await;
        mesh.start_control(1);
        tokio::time::sleep(time::Duration::from_secs(6)).await;
        let status = mesh.read(1, "/v1/status").await;
        assert!(status.is_none_or(|it| it["current"] == false), "nobody knows the control");
        mesh.set_seeds(&[newcomer]);
        mesh.controls[1].reload();
        wait_current(mesh, 1).await;
        mesh.next_version().await;
        mesh.wait_in_force().await;
    });
}

/// A control loses its disk. Patches must be accepted before and after it votes again.
async fn lose_disk(mesh: &mut harness::Mesh, control: usize) {
    mesh.controls[control].kill();
    mesh.delete_data(control);
    mesh.start_control(control);
    mesh.next_version().await;
    wait_votes(mesh, control).await;
    mesh.next_version().await;
    mesh.wait_in_force().await;
    mesh.wait_serving().await;
}

/// Waits until a control votes in the configuration group.
async fn wait_votes(mesh: &harness::Mesh, control: usize) {
    harness::eventually("the control votes", async || {
        let votes = mesh.gauge(&mesh.controls[control], "heatherwalk_control_votes").await;
        votes == Some(1)
    })
    .await;
}

/// Waits until a control knows that it has the last accepted version.
async fn wait_current(mesh: &harness::Mesh, control: usize) {
    harness::eventually("the control is current", async || {
        let status = mesh.read(control, "/v1/status").await;
        status.is_some_and(|it| it["current"] == true && it["version"] == mesh.version)
    })
    .await;
}
