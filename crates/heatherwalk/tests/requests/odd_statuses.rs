//! Backend servers that answer with a status that HTTP does not have.

use serde_json::json;

use crate::{callers, mesh, servers};

/// Statuses that no final answer has.
const STATUSES: [&str; 8] = ["000", "099", "100", "101", "199", "600", "777", "999"];

fn handle(head: &str, _: &[u8]) -> servers::Action {
    let path = head.split(' ').nth(1).unwrap_or_default();
    let status = path.rsplit('/').next().unwrap_or_default();
    servers::Action::Send(servers::answer(&format!("{status} Odd"), "", b"odd bytes"))
}

/// Guards against a status that is not valid in HTTP, or its body, and that reaches a caller as an
/// answer, from the backend server of the caller's own node or of another one.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn odd_statuses_reach_callers() {
    let services = [("logs", json!({}), json!({"timeout_ms": 5_000}))];
    let mesh = mesh::Mesh::spawn(2, mesh::document(&services)).await;
    let _server = servers::Server::spawn(mesh.announce(1), "logs", 12, handle).await;
    for node in [0, 1] {
        mesh.ready(node, &["logs"]).await;
    }
    let mut lines = Vec::new();
    for status in STATUSES {
        let mut line = format!("{status}:");
        for node in [0, 1] {
            let path = format!("/logs/{status}");
            let reply = callers::send(mesh.callers(node), callers::get(&path)).await;
            assert!(!reply.text().contains("odd bytes"), "{status}: {reply}");
            assert!((200..=599).contains(&reply.status), "{status}: {reply}");
            line += &format!(" {reply};");
        }
        lines.push(line);
    }
    insta::assert_snapshot!(lines.join("\n"));
}
