//! Requests that are taken for others from which they differ in one respect: those that crash backend
//! servers, and those that name an idempotency key.

use std::time;

use serde_json::json;

use crate::{callers, mesh, servers};

/// The limit of crashes until a request is quarantined. The second crash is sufficient evidence;
/// one or two more may begin before all nodes know of it.
const MAX_CRASHES: usize = 4;
/// The time from a crash of the server to its restart.
const RESTART_DELAY: time::Duration = time::Duration::from_millis(500);

/// A request that crashes backend servers, and one that does not.
struct Case {
    name: &'static str,
    /// The node that takes the crashing request, and its text.
    crashing: (usize, &'static str),
    /// The same of the other request.
    other: (usize, &'static str),
    /// Whether a request, by its head and its body, is the crashing one.
    crashes: fn(&str, &[u8]) -> bool,
}

const CASES: [Case; 4] = [
    Case {
        name: "caller",
        crashing: (2, "DELETE /logs/caller HTTP/1.1\r\nhost: a.example\r\n"),
        other: (3, "DELETE /logs/caller HTTP/1.1\r\nhost: a.example\r\n"),
        crashes: |head, _| head.contains("/logs/caller") && head.contains("x-origin: desk"),
    },
    Case {
        name: "query",
        crashing: (2, "DELETE /logs/query?n=1 HTTP/1.1\r\nhost: a.example\r\n"),
        other: (2, "DELETE /logs/query?n=2 HTTP/1.1\r\nhost: a.example\r\n"),
        crashes: |head, _| head.contains("/logs/query?n=1"),
    },
    Case {
        name: "host",
        crashing: (2, "DELETE /logs/host HTTP/1.1\r\nhost: a.example\r\n"),
        other: (2, "DELETE /logs/host HTTP/1.1\r\nhost: b.example\r\n"),
        crashes: |head, _| head.contains("/logs/host") && head.contains("host: a.example"),
    },
    Case {
        name: "body",
        crashing: (2, "PUT /logs/body HTTP/1.1\r\nhost: a.example\r\ncontent-length: 1\r\n"),
        other: (2, "PUT /logs/body HTTP/1.1\r\nhost: a.example\r\ncontent-length: 2\r\n"),
        crashes: |head, body| head.contains("/logs/body") && body == b"x",
    },
];

/// A mesh with a node for the server, and two that tell it of the callers `desk` and `book`.
async fn spawn() -> mesh::Mesh {
    let route = |host: &str| json!({"prefix": "/logs", "service": "logs", "host": host});
    let document = mesh::document(&[
        ("logs", json!({}), json!({})),
        ("a", json!({}), route("a.example")),
        ("b", json!({}), route("b.example")),
    ]);
    let mut mesh = mesh::Mesh::spawn(2, document).await;
    for service in ["desk", "book"] {
        let change = |settings: &mut node::settings::Settings| {
            settings.service = service.into();
            settings.dialect.add_origin = |fields, origin| {
                let value = http::HeaderValue::from_str(origin.service).expect("a name");
                fields.insert("x-origin", value);
            };
        };
        mesh.add_node_with(mesh.listen, change).await;
    }
    mesh
}

/// Sends a request with a body of the length that its head names. Returns the answer.
async fn send(mesh: &mesh::Mesh, (node, head): (usize, &str)) -> String {
    let length = head.split("content-length: ").nth(1).and_then(|it| it.trim().parse().ok());
    let body = "x".repeat(length.unwrap_or(0));
    let text = format!("{head}connection: close\r\n\r\n{body}");
    callers::exchange(mesh.callers(node), text.as_bytes()).await
}

/// Sends a request until it is answered with 200, as a server that has just started may refuse it.
async fn send_until_answered(mesh: &mesh::Mesh, request: (usize, &str)) {
    let until = tokio::time::Instant::now() + mesh::TIMEOUT;
    loop {
        let answer = send(mesh, request).await;
        if answer.starts_with("HTTP/1.1 200") {
            return;
        }
        assert!(tokio::time::Instant::now() < until, "{request:?}: {answer}");
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}

/// Guards against a request that crashes backend servers without end since others, which are not
/// the same, are answered and clear it, and against those others being refused in its place.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_answer_to_another_request_clears_a_crashing_one() {
    let mesh = spawn().await;
    for case in CASES {
        let mut crashes = 0;
        loop {
            let handle = move |head: &str, body: &[u8]| match (case.crashes)(head, body) {
                true => servers::Action::Freeze,
                false => servers::Action::Send(servers::answer("200 OK", "", b"ok")),
            };
            let server = servers::Server::spawn(mesh.announce(1), "logs", 512, handle).await;
            send_until_answered(&mesh, case.other).await;
            let before = server.counts.runs();
            let answer = send(&mesh, case.crashing);
            let crash = async {
                server.counts.wait(servers::Counts::runs, before + 1).await;
                drop(server);
            };
            let answer = tokio::select! {
                it = answer => it,
                () = crash => {
                    crashes += 1;
                    assert!(crashes <= MAX_CRASHES, "{}: {crashes} crashes", case.name);
                    tokio::time::sleep(RESTART_DELAY).await;
                    continue;
                }
            };
            if answer.contains("quarantined") {
                break;
            }
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
        assert!(crashes >= 2, "{}: quarantined after {crashes} crashes", case.name);
        let ok = |_: &str, _: &[u8]| servers::Action::Send(servers::answer("200 OK", "", b"ok"));
        let _server = servers::Server::spawn(mesh.announce(1), "logs", 512, ok).await;
        send_until_answered(&mesh, case.other).await;
    }
}

/// Guards against a request that gets the stored answer to another one: both have the same
/// idempotency key and path, and differ in the query.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_key_names_two_requests_with_other_queries() {
    let mesh = mesh::Mesh::spawn(2, mesh::document(&[("logs", json!({}), json!({}))])).await;
    let ok = |_: &str, _: &[u8]| servers::Action::Send(servers::answer("200 OK", "", b"ok"));
    let server = servers::Server::spawn(mesh.announce(1), "logs", 512, ok).await;
    mesh.ready(0, &["logs"]).await;
    let mut lines = Vec::new();
    for path in ["/logs/lodge?n=1", "/logs/lodge?n=1", "/logs/lodge?n=2", "/logs/lodge"] {
        let reply = callers::send(mesh.callers(0), callers::post(path, "key")).await;
        lines.push(format!("{path}: {reply}"));
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    /logs/lodge?n=1: 200
    /logs/lodge?n=1: 200, stored
    /logs/lodge?n=2: 422, not run (key-mismatch)
    /logs/lodge: 422, not run (key-mismatch)
    ");
    assert_eq!(server.counts.runs(), 1);
}
