//! Backend servers that have left, whose nodes and controls are killed, and whose announcements from
//! before that arrive late.

use std::time;

use serde_json::{Value, json};

use crate::{backends, harness, hosts};

/// The node whose backend server leaves, and the control of its data centre.
const NODE: usize = 0;
const HOME: usize = 0;
/// How long late announcements arrive. It is longer than a control waits for the others.
const LATE: time::Duration = time::Duration::from_secs(6);

/// Announces the backend server of [`NODE`] under this name. Returns the status; none when its node
/// does not run.
async fn announce(mesh: &harness::Mesh, instance: &str, incarnation: u64) -> Option<u16> {
    let body = json!({"service": "logbook", "addr": "127.0.0.1:1", "slots": 6, "cold_ms": 0,
        "incarnation": incarnation, "instance": instance, "sequence": 1});
    post(mesh, &format!("/announce?of={instance}"), &body.to_string()).await
}

async fn post(mesh: &harness::Mesh, path: &str, body: &str) -> Option<u16> {
    let call = harness::call(mesh.nodes[NODE].announce, http::Method::POST, path, body);
    mesh.client().send(call).await.ok().map(|it| it.status.as_u16())
}

/// The state of the target on [`NODE`] according to each control that answers.
async fn states(mesh: &harness::Mesh) -> Vec<String> {
    let mut states = Vec::new();
    for control in 0..mesh.controls.len() {
        let Some(Value::Array(targets)) = mesh.read(control, "/v1/targets").await else { continue };
        let host = mesh.nodes[NODE].name.as_str();
        let target = targets.iter().find(|it| it["host"] == host);
        states.extend(target.and_then(|it| it["state"].as_str()).map(String::from));
    }
    states
}

fn takes_work(state: &str) -> bool {
    state == "serving" || state == "starting"
}

/// Runs a case: the backend server of [`NODE`] leaves, `fail` kills and starts processes, and
/// announcements from before the leave arrive. The next process of the server gets requests.
fn run(fail: impl AsyncFnOnce(&mut harness::Mesh)) {
    run_after(async |_| {}, fail);
}

/// Like [`run`], with what happens before the leave.
fn run_after(
    before: impl AsyncFnOnce(&mut harness::Mesh),
    fail: impl AsyncFnOnce(&mut harness::Mesh),
) {
    let state = backends::State::new(time::Duration::ZERO, None, 0);
    harness::run(&["skulte", "jugla", "imanta"], &state, async |mesh| {
        mesh.backends.remove(NODE);
        harness::eventually("the server is announced", async || {
            announce(mesh, "logbook-1", 100).await;
            states(mesh).await == ["serving"; 3]
        })
        .await;
        before(mesh).await;
        harness::eventually("the leave is acknowledged", async || {
            post(mesh, "/leave?of=logbook-1", "").await == Some(200)
        })
        .await;
        fail(mesh).await;
        let until = time::Instant::now() + LATE;
        let mut taken = 0;
        while time::Instant::now() < until {
            taken += usize::from(announce(mesh, "logbook-1", 100).await == Some(200));
            let states = states(mesh).await;
            assert!(!states.iter().any(|it| takes_work(it)), "the target is back: {states:?}");
            tokio::time::sleep(time::Duration::from_millis(100)).await;
        }
        assert!(taken > 0, "no late announcement reached the node");
        harness::eventually("the next process gets requests", async || {
            announce(mesh, "logbook-2", 101).await;
            states(mesh).await.iter().any(|it| takes_work(it))
        })
        .await;
    });
}

fn kill_all(mesh: &mut harness::Mesh) {
    mesh.controls.iter_mut().filter(|it| it.process.is_some()).for_each(hosts::Host::kill);
    mesh.nodes[NODE].kill();
}

fn start_all(mesh: &mut harness::Mesh) {
    (0..mesh.controls.len()).for_each(|it| mesh.start_control(it));
    mesh.start_node(NODE);
}

/// Guards against an acknowledged leave that is forgotten when all controls and the node of the
/// backend server are killed at the same moment.
#[test]
fn a_kill_of_all_revokes_a_leave() {
    run(async |mesh| {
        kill_all(mesh);
        start_all(mesh);
    });
}

/// Guards against a leave that stands on one disk only, which is lost when all processes are killed.
#[test]
fn a_lost_disk_revokes_a_leave() {
    run(async |mesh| {
        kill_all(mesh);
        mesh.delete_data(HOME);
        start_all(mesh);
    });
}

/// Guards against a leave that only the control which acknowledged it knows, and which does not come
/// back.
#[test]
fn a_lost_control_revokes_a_leave() {
    run(async |mesh| {
        kill_all(mesh);
        mesh.start_control(1);
        mesh.start_control(2);
        mesh.start_node(NODE);
    });
}

/// Guards against a control that was down at the leave and answers the restarted node before it has
/// heard from the others.
#[test]
fn a_control_that_missed_a_leave_revokes_it() {
    run_after(
        async |mesh| mesh.controls[HOME].kill(),
        async |mesh| {
            mesh.nodes[NODE].kill();
            mesh.start_control(HOME);
            mesh.start_node(NODE);
        },
    );
}

/// Guards against a leave that a cut-off control never acknowledges, and against one that it forgets:
/// the other controls do not run.
#[test]
fn a_control_without_others_revokes_a_leave() {
    run_after(
        async |mesh| {
            mesh.controls[1].kill();
            mesh.controls[2].kill();
        },
        async |mesh| {
            kill_all(mesh);
            mesh.start_control(HOME);
            mesh.start_node(NODE);
        },
    );
}
