//! Explanations of where a node would send a request.

use std::sync;

use heatherwalk::{args, explaining, metrics, pages};
use serde_json::json;

use crate::{callers, mesh, servers};

/// The address of a node's pages, whose server ends with the returned handle.
async fn serve_pages(mesh: &mesh::Mesh, node: usize) -> web::server::Server {
    let cell = pages::ExplainerCell::default();
    assert!(cell.set(mesh.explainer(node)).is_ok());
    let metrics = sync::Arc::new(metrics::Metrics::new().expect("opens"));
    pages::serve(mesh::loopback(), metrics, cell).await.expect("binds")
}

fn question(node: std::net::SocketAddr, line: &str) -> args::Explain {
    let line = format!("explain --node {node} {line}");
    match args::parse(&line.split_whitespace().collect::<Vec<_>>()) {
        Ok(args::Command::Explain(it)) => it,
        other => panic!("not explain: {other:?}"),
    }
}

/// Guards against an explanation that names another target than the one that gets the request, that
/// sends the request, or that hides why there is none.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_explanation_differs_from_the_decision() {
    let mut document = mesh::document(&[
        ("logs", json!({}), json!({})),
        ("open", json!({}), json!({"public": true})),
    ]);
    document["teams"] = json!({"a": {"keys": ["key"], "priority": 3}});
    let mesh = mesh::Mesh::spawn(2, document).await;
    let handle = |_: &str, _: &[u8]| servers::Action::Send(servers::answer("200 OK", "", b"ok"));
    let server = servers::Server::spawn(mesh.announce(1), "open", 4, handle).await;
    mesh.ready(0, &["open"]).await;
    let runs = server.counts.runs();
    let page = serve_pages(&mesh, 0).await;
    let lines = [
        "--path /open/1",
        "--path /open/1 --method POST --team a",
        "--path /logs/1 --team a",
        "--path /logs/1",
        "--path /logs/1 --team b",
        "--path /unknown",
        "--path /open/1 --host Any.example",
        "--path unknown",
    ];
    let mut out = Vec::new();
    for line in lines {
        let text = match explaining::ask(&question(page.local_addr(), line)).await {
            Err(err) => format!("{err}, exit code {}", err.exit_code()),
            Ok(it) => {
                let targets = it.services.iter().flat_map(|it| &it.targets);
                let chosen: Vec<_> =
                    targets.filter(|it| it.chosen).map(|it| it.host.as_str()).collect();
                let rank = it.route.as_ref().map(|it| (it.name.as_str(), it.idempotent, it.rank));
                let refusal = it.refusal.as_ref().map(|it| (it.status, it.reason.as_str()));
                let code = explaining::check(&it).map_err(|it| it.exit_code());
                assert_eq!(it.refusal.is_some(), code.is_err());
                format!("chosen {chosen:?}, route {rank:?}, refusal {refusal:?}, result {code:?}")
            }
        };
        out.push(format!("{line}: {text}"));
    }
    assert_eq!(server.counts.runs(), runs, "nothing was sent");
    let reply = callers::send(mesh.callers(0), callers::get("/open/1")).await;
    out.push(format!("the request itself: {reply}, runs on the host of node 1"));
    assert_eq!(server.counts.runs(), runs + 1);
    page.stop(std::time::Duration::ZERO).await;
    insta::assert_snapshot!(out.join("\n"));
}

/// Guards against a node that cannot be reached and looks like one that refuses.
#[tokio::test]
async fn an_unreachable_node_explains_nothing() {
    let port = tokio::net::TcpListener::bind(mesh::loopback()).await.expect("binds");
    let addr = port.local_addr().expect("has an address");
    drop(port);
    let result = explaining::ask(&question(addr, "--path /logs/1")).await;
    let err = result.expect_err("nobody answers");
    assert_eq!(err.exit_code(), heatherwalk::exit_codes::UNAVAILABLE, "{err}");
}
