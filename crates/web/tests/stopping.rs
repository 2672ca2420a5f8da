//! What a planned stop does to callers that go on sending requests on open connections.

use std::{
    sync::{Arc, atomic},
    time,
};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};
use web::{exchange, routers, server};

/// How long a request takes.
const SERVICE: time::Duration = time::Duration::from_millis(300);
/// The time between two requests of a connection.
const GAP: time::Duration = time::Duration::from_millis(40);
/// The limit of the stop. A stop that waits for callers to pause would take as long.
const STOP_LIMIT: time::Duration = time::Duration::from_secs(20);
/// Longer than a stop takes that only finishes what was begun, also on a busy machine.
const STOPPED: time::Duration = time::Duration::from_secs(10);

/// Sends a request each [`GAP`] without waiting for the responses, until the server closes the
/// connection. Returns the responses as text.
async fn send_without_pause(addr: std::net::SocketAddr) -> String {
    let stream = TcpStream::connect(addr).await.expect("connects");
    let (mut reading, mut writing) = stream.into_split();
    let sending = tokio::spawn(async move {
        while writing.write_all(b"GET /slow HTTP/1.1\r\n\r\n").await.is_ok() {
            tokio::time::sleep(GAP).await;
        }
    });
    let mut text = Vec::new();
    // The server closes with requests unread, which may reset the connection after the responses.
    let _ = reading.read_to_end(&mut text).await;
    sending.abort();
    String::from_utf8_lossy(&text).into_owned()
}

/// Guards against a planned stop that begins requests until its limit and then cuts them: callers
/// with pipelined requests were cut at the end of the grace without an answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_stop_begins_requests_until_its_limit() {
    let begun = Arc::new(atomic::AtomicUsize::new(0));
    let counter = Arc::clone(&begun);
    let router = routers::catch_all(move |_: exchange::Request| {
        counter.fetch_add(1, atomic::Ordering::SeqCst);
        async {
            tokio::time::sleep(SERVICE).await;
            exchange::Response::text(http::StatusCode::OK, "done")
        }
    });
    let server =
        server::Server::bind(([127, 0, 0, 1], 0).into(), server::Limits::default(), router);
    let server = server.await.expect("binds");
    let addr = server.local_addr();
    let callers: Vec<_> = (0..4).map(|_| tokio::spawn(send_without_pause(addr))).collect();
    tokio::time::sleep(SERVICE * 3).await;
    let from = time::Instant::now();
    let stopped = server.stop(STOP_LIMIT).await;
    assert_eq!(stopped.aborted, 0, "requests were cut");
    assert!(from.elapsed() < STOPPED, "the stop took {:?}", from.elapsed());
    let mut answered = 0;
    for caller in callers {
        let text = caller.await.expect("runs");
        answered += text.matches("done").count();
        assert!(text.matches("connection: close").count() <= 1, "announced once: {text}");
    }
    assert_eq!(answered, begun.load(atomic::Ordering::SeqCst), "each begun request is answered");
}
