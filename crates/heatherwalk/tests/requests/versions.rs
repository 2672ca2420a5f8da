//! What callers are told by a node that may run an old version of the configuration.

use std::time;

use serde_json::json;

use crate::{callers, mesh, servers};

/// Longer than the time after which a version that no control has confirmed counts as old.
const SILENCE: time::Duration = time::Duration::from_millis(2_500);

/// Asks until the answer has this status, since a busy machine may delay a confirmation. Returns
/// the last answer.
async fn await_status(
    mesh: &mesh::Mesh,
    node: usize,
    request: callers::Request,
    status: u16,
) -> callers::Reply {
    let until = tokio::time::Instant::now() + mesh::TIMEOUT;
    loop {
        let reply = callers::send(mesh.callers(node), request.clone()).await;
        if reply.status == status || tokio::time::Instant::now() >= until {
            return reply;
        }
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
}

/// Guards against a node without its control that denies requests by limits and routes which an
/// operator may have changed since: callers do not send a request again after a 404 or a 413.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_version_that_may_be_old_denies_requests() {
    let document = mesh::document(&[("logs", json!({}), json!({}))]);
    let mut mesh = mesh::Mesh::spawn(1, document).await;
    let change = |it: &mut node::settings::Settings| {
        it.dialect = platform::callers::DIALECT;
        it.floor_tokens = false;
    };
    mesh.add_node_with(mesh.listen, change).await;
    let handle = |_: &str, _: &[u8]| servers::Action::Send(servers::answer("200 OK", "", b"ok"));
    let server = servers::Server::spawn(mesh.announce(0), "logs", 512, handle).await;
    mesh.ready(0, &["logs"]).await;
    let mut large = callers::post("/logs/1", "large");
    large.body = vec![b'x'; 1_200_000].into();
    let cases = [("a route", callers::get("/unknown"), 404), ("a limit", large, 413)];
    let mut lines = Vec::new();
    for (name, request, status) in &cases {
        let reply = await_status(&mesh, 1, request.clone(), *status).await;
        lines.push(format!("{name}, confirmed: {reply}"));
    }
    mesh.control.take().expect("runs").stop().await;
    tokio::time::sleep(SILENCE).await;
    for (name, request, _) in &cases {
        let reply = callers::send(mesh.callers(1), request.clone()).await;
        let pause = reply.headers.contains_key("retry-after");
        lines.push(format!("{name}, old: {reply}; says when to ask again: {pause}"));
    }
    let reply = callers::send(mesh.callers(0), callers::get("/logs/1")).await;
    lines.push(format!("a route that it has, old: {reply}"));
    drop(server);
    insta::assert_snapshot!(lines.join("\n"), @r"
    a route, confirmed: 404
    a limit, confirmed: 413
    a route, old: 503; says when to ask again: true
    a limit, old: 503; says when to ask again: true
    a route that it has, old: 200
    ");
}

/// Guards against requests that are routed by a version which is old by then: callers reached the
/// service of a route that an operator had moved 2.7 s before. The control answers other messages,
/// so the node is not cut off from it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_version_that_may_be_old_routes_requests() {
    let document = mesh::document(&[("logs", json!({}), json!({}))]);
    let mut mesh = mesh::Mesh::spawn(0, document.clone()).await;
    let control = mesh.stand_in_control(document);
    let node = mesh.add_node_with(control.addr, |it| it.floor_tokens = false).await;
    let handle = |_: &str, _: &[u8]| servers::Action::Send(servers::answer("200 OK", "", b"ok"));
    let _server = servers::Server::spawn(mesh.announce(node), "logs", 512, handle).await;
    let mut lines = Vec::new();
    let steps = [("latest", Some(1), 200), ("unconfirmed", None, 503), ("older", Some(2), 503)];
    for (name, acknowledged, status) in steps.into_iter().chain([("latest", Some(1), 200)]) {
        control.acknowledge(acknowledged);
        let until = tokio::time::Instant::now() + mesh::TIMEOUT;
        let reply = loop {
            let reply = callers::send(mesh.callers(node), callers::get("/logs/1")).await;
            if reply.status == status || tokio::time::Instant::now() >= until {
                break reply;
            }
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        };
        let not_run = reply.headers.contains_key("heatherwalk-not-run");
        lines.push(format!("{name}: {reply}; not run: {not_run}"));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against a node that denies requests for good before operators have created the first
/// version: callers do not send a request again after a 404 or a 413.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_node_without_a_configuration_denies_requests() {
    let mut mesh = mesh::Mesh::spawn_empty().await;
    let change = |it: &mut node::settings::Settings| {
        it.dialect = platform::callers::DIALECT;
        it.floor_tokens = false;
    };
    mesh.add_node_with(mesh.listen, change).await;
    let mut large = callers::post("/logs/1", "large");
    large.body = vec![b'x'; 1_200_000].into();
    let cases = [("a route", callers::get("/unknown")), ("a limit", large)];
    let mut lines = std::collections::BTreeSet::new();
    // Longer than the node takes to attach to the control.
    let until = tokio::time::Instant::now() + SILENCE;
    while tokio::time::Instant::now() < until {
        for (name, request) in &cases {
            let reply = callers::send(mesh.callers(0), request.clone()).await;
            let pause = reply.headers.contains_key("retry-after");
            lines.insert(format!("{name}: {reply}; says when to ask again: {pause}"));
        }
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    let mut lines = Vec::from_iter(lines);
    mesh.create(mesh::document(&[("logs", json!({}), json!({}))])).await;
    let reply = await_status(&mesh, 0, callers::get("/unknown"), 404).await;
    lines.push(format!("a route, first version: {reply}"));
    insta::assert_snapshot!(lines.join("\n"), @r"
    a limit: 503; says when to ask again: true
    a route: 503; says when to ask again: true
    a route, first version: 404
    ");
}
