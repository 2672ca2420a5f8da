//! What callers are told when a backend server writes an earlier refusal once more.

use std::sync::{Arc, atomic};

use heatherwalk::example;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    task,
};

use crate::{callers, mesh};

const REFUSAL: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nheatherwalk-not-run: true\r\ncontent-length: 0\r\n\r\n";
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Serves a connection: refuses its first request, and runs each later one, but writes the refusal
/// once more before the answer.
async fn serve(mut stream: TcpStream, runs: Arc<atomic::AtomicUsize>) {
    let mut refused = false;
    while let Some(head) = read_head(&mut stream).await {
        let answer = if head.contains(" /logs/ready ") { ANSWER } else { REFUSAL };
        if answer == REFUSAL && refused {
            runs.fetch_add(1, atomic::Ordering::SeqCst);
        }
        let repeated = answer == REFUSAL && refused;
        refused |= answer == REFUSAL;
        let _ = stream.write_all(answer).await;
        if repeated {
            let _ = stream.write_all(ANSWER).await;
        }
    }
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        let read = stream.read_buf(&mut bytes).await.ok()?;
        if read == 0 {
            return None;
        }
    }
    String::from_utf8(bytes).ok()
}

/// Guards against callers who are told "not run, send it again" for a request that ran: the refusal
/// belongs to an earlier request on the same connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_earlier_refusal_is_taken_for_a_later_one() {
    let document = mesh::document(&[("logs", json!({}), json!({}))]);
    let mut mesh = mesh::Mesh::spawn(1, document).await;
    let node = mesh.add_node(mesh.listen).await;
    let listener = TcpListener::bind(mesh::loopback()).await.expect("binds");
    let addr = listener.local_addr().expect("has an address");
    let runs = Arc::new(atomic::AtomicUsize::new(0));
    let counter = Arc::clone(&runs);
    let mut tasks = task::JoinSet::new();
    tasks.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, Arc::clone(&counter)));
        }
    });
    let announce = mesh.announce(node);
    let settings =
        example::Settings { service: "logs".into(), name: "logs".into(), announce, slots: 1 };
    tasks.spawn(example::announce(settings, addr));
    mesh.ready(node, &["logs"]).await;
    let mut lines = Vec::new();
    for _ in 0..6 {
        let before = runs.load(atomic::Ordering::SeqCst);
        let reply = callers::send(mesh.callers(node), callers::get("/logs/work")).await;
        let ran = runs.load(atomic::Ordering::SeqCst) > before;
        lines.push(format!("{reply}; ran: {ran}"));
    }
    lines.sort_unstable();
    lines.dedup();
    insta::assert_snapshot!(lines.join("\n"));
}
