//! Nodes whose controls are replaced.

use std::{net, time};

use heatherwalk::discovery;
use protocol::operators;
use serde_json::json;
use tokio::sync::watch;

use crate::{mesh, stand_in_controls};

fn record(name: &str, addr: net::SocketAddr) -> operators::ControlRecord {
    operators::ControlRecord {
        name: name.into(),
        region: "vidzeme".into(),
        data_centre: "skulte".into(),
        addr,
        operators: None,
        votes: true,
    }
}

fn stand_in(mesh: &mesh::Mesh, host: &str) -> stand_in_controls::StandInControl {
    mesh.stand_in_control_of(host, mesh::document(&[("logs", json!({}), json!({}))]))
}

async fn attached(control: &stand_in_controls::StandInControl, what: &str) {
    let until = time::Instant::now() + mesh::TIMEOUT;
    while control.sessions() == 0 {
        assert!(time::Instant::now() < until, "not within {:?}: {what}", mesh::TIMEOUT);
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
}

/// Starts an HTTP server that answers each request with this list.
async fn spawn_seed(hosts: operators::ControlList) -> web::server::Server {
    let body = serde_json::to_vec(&hosts).expect("JSON");
    let router = web::routers::catch_all(move |_| {
        let (ok, body) = (http::StatusCode::OK, body.clone().into());
        let answer = web::exchange::Response::full(ok, &mime::APPLICATION_JSON, body);
        std::future::ready(answer)
    });
    let bound = web::server::Server::bind(mesh::loopback(), web::server::Limits::default(), router);
    bound.await.expect("binds")
}

/// Guards against a node that knows only the controls of its start: it stayed with one that had
/// been replaced, and was lost with it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_node_does_not_learn_of_a_new_control() {
    let mut mesh = mesh::Mesh::spawn(0, json!({})).await;
    let (first, second) = (stand_in(&mesh, "skulte-c"), stand_in(&mesh, "skulte-d"));
    mesh.add_node_with(first.addr, |it| it.floor_tokens = false).await;
    attached(&first, "the node attaches to the control of its settings").await;
    let both = vec![record("skulte-c", first.addr), record("skulte-d", second.addr)];
    first.list_controls(both);
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    assert_eq!(second.sessions(), 0, "the node leaves its home control without need");
    first.list_controls(vec![record("skulte-d", second.addr)]);
    attached(&second, "the node leaves a control that has been replaced").await;
    second.list_controls(vec![record("skulte-d", second.addr)]);
    let third = stand_in(&mesh, "skulte-e");
    second.list_controls(vec![record("skulte-d", second.addr), record("skulte-e", third.addr)]);
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    drop((first, second));
    attached(&third, "the node attaches to the one control that is left").await;
}

/// Guards against a node for which all controls of its start are gone: it asked no seed again, and
/// did not take the seeds of new settings.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_node_without_controls_asks_no_seed() {
    let mut mesh = mesh::Mesh::spawn(0, json!({})).await;
    let (first, second) = (stand_in(&mesh, "skulte-c"), stand_in(&mesh, "skulte-d"));
    let node = mesh.add_node_with(first.addr, |it| it.floor_tokens = false).await;
    attached(&first, "the node attaches to the control of its settings").await;
    let controls = vec![record("skulte-d", second.addr)];
    let forming = operators::ControlList { formed: false, controls: controls.clone() };
    let unformed = spawn_seed(forming).await;
    let formed = spawn_seed(operators::ControlList { formed: true, controls }).await;
    let seeds = |it: &web::server::Server| discovery::Seeds {
        addrs: vec![it.local_addr()],
        bootstrap: false,
        claims: false,
    };
    let (settings, current) = watch::channel(seeds(&unformed));
    let following = tokio::spawn(discovery::follow_node(mesh.controls(node), current));
    drop(first);
    tokio::time::sleep(time::Duration::from_secs(5)).await;
    assert_eq!(second.sessions(), 0, "the list of a mesh that is not formed counts");
    settings.send_replace(seeds(&formed));
    attached(&second, "the node attaches to the control that the new seed names").await;
    following.abort();
}
