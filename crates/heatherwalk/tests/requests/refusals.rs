//! What callers are told when a backend server writes an earlier refusal once more.

use std::sync::{Arc, atomic};

use heatherwalk::example;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    task,
};

use crate::{callers, mesh, servers};

const REFUSAL: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nheatherwalk-not-run: true\r\ncontent-length: 0\r\n\r\n";
/// Requests of a test that counts them.
const REQUESTS: usize = 200;
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Serves a connection: refuses its first request, and runs each later one, but writes the refusal
/// once more before the answer. All answers but the repeated refusal name their request, so that the
/// connection is used again.
async fn serve(mut stream: TcpStream, runs: Arc<atomic::AtomicUsize>) {
    let mut refused = false;
    while let Some(head) = read_head(&mut stream).await {
        let answer = if head.contains(" /logs/ready ") { ANSWER } else { REFUSAL };
        if answer == REFUSAL && refused {
            runs.fetch_add(1, atomic::Ordering::SeqCst);
        }
        let repeated = answer == REFUSAL && refused;
        refused |= answer == REFUSAL;
        if repeated {
            let _ = stream.write_all(REFUSAL).await;
            let _ = stream.write_all(&named(ANSWER, &head)).await;
        } else {
            let _ = stream.write_all(&named(answer, &head)).await;
        }
    }
}

/// The answer with the name of the request that has this head.
fn named(answer: &[u8], head: &str) -> Vec<u8> {
    let parent = head.lines().find(|it| it.starts_with("heatherwalk-parent")).expect("a name");
    let text = std::str::from_utf8(answer).expect("text");
    text.replacen("\r\n", &format!("\r\n{parent}\r\n"), 1).into_bytes()
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

/// Serves a connection: answers each other request with a second copy of the answer before. The
/// first copy names its request if `names`.
async fn serve_twice(mut stream: TcpStream, names: bool) {
    while let Some(head) = read_head(&mut stream).await {
        let path = head.split(' ').nth(1).unwrap_or_default();
        let length = path.len();
        let plain = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{path}");
        let first = if names { named(plain.as_bytes(), &head) } else { plain.clone().into() };
        let _ = stream.write_all(&first).await;
        // The copy is not written before the next request has been sent on the connection.
        if read_head(&mut stream).await.is_none() {
            return;
        }
        let _ = stream.write_all(plain.as_bytes()).await;
    }
}

/// Guards against a second copy of an answer that comes on a connection which is in use again, and
/// reaches the next caller as the answer to its own request.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_second_copy_of_an_answer_reaches_the_next_caller() {
    let document = mesh::document(&[("logs", json!({}), json!({}))]);
    let mut mesh = mesh::Mesh::spawn(1, document).await;
    for names in [false, true] {
        let node = mesh.add_node(mesh.listen).await;
        let listener = TcpListener::bind(mesh::loopback()).await.expect("binds");
        let addr = listener.local_addr().expect("has an address");
        let mut tasks = task::JoinSet::new();
        tasks.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve_twice(stream, names));
            }
        });
        let announce = mesh.announce(node);
        let settings =
            example::Settings { service: "logs".into(), name: "logs".into(), announce, slots: 1 };
        tasks.spawn(example::announce(settings, addr));
        let mut served = 0;
        let until = tokio::time::Instant::now() + mesh::TIMEOUT;
        for number in 0.. {
            let path = format!("/logs/work-{number}");
            let reply = callers::send(mesh.callers(node), callers::get(&path)).await;
            let own = reply.status != 200 || reply.text() == path;
            assert!(own, "names {names}, {path}: the answer is that to {}", reply.text());
            served += usize::from(reply.status == 200);
            if served >= 6 {
                break;
            }
            assert!(tokio::time::Instant::now() < until, "names {names}: {reply}");
        }
    }
}

/// Guards against refused callers that are not told when to return, or later than they honour: a
/// third of the time that they have left.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_refused_caller_is_not_told_when_to_return() {
    let mesh = mesh::Mesh::spawn(2, mesh::document(&[("logs", json!({}), json!({}))])).await;
    let shed = |_: &str, _: &[u8]| servers::Action::Shed;
    let _server = servers::Server::spawn(mesh.announce(1), "logs", 4, shed).await;
    mesh.ready(0, &["logs"]).await;
    for _ in 0..20 {
        let request = callers::get("/logs/work").with("heatherwalk-deadline-ms", "900");
        let reply = callers::send(mesh.callers(0), request).await;
        let pause = reply.headers.get("retry-after").and_then(|it| it.to_str().ok()?.parse().ok());
        let pause: f64 = pause.unwrap_or_else(|| panic!("{reply} has no time"));
        assert!(reply.status == 503 && (0.01..=0.3).contains(&pause), "{reply}: {pause}");
    }
}

/// Guards against requests that end at a target that sheds while another one has room, and against
/// a target that sheds and gets as many requests as the others.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_target_that_sheds_gets_requests() {
    let mesh = mesh::Mesh::spawn(3, mesh::document(&[("logs", json!({}), json!({}))])).await;
    let shed = |_: &str, _: &[u8]| servers::Action::Shed;
    let shedding = servers::Server::spawn(mesh.announce(1), "logs", 8, shed).await;
    let answer = |_: &str, _: &[u8]| servers::Action::Send(ANSWER.into());
    let serving = servers::Server::spawn(mesh.announce(2), "logs", 8, answer).await;
    mesh.ready(0, &["logs"]).await;
    let before = shedding.counts.shed.load(atomic::Ordering::SeqCst);
    let mut statuses = Vec::new();
    for _ in 0..REQUESTS {
        statuses.push(callers::send(mesh.callers(0), callers::get("/logs/work")).await.status);
    }
    let shed = shedding.counts.shed.load(atomic::Ordering::SeqCst) - before;
    let runs = serving.counts.runs.load(atomic::Ordering::SeqCst);
    let answered = statuses.iter().filter(|&&it| it == 200).count();
    assert!(answered == REQUESTS && shed * 10 <= REQUESTS, "{answered}, {shed} shed, {runs} run");
}
