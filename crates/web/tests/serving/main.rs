//! The server over raw sockets: limits, cancellation, truncated responses and stopping.

mod endless;
mod pipelining;

use std::{fmt::Write as _, net, sync::Arc, time};

use bytes::Bytes;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    sync::{Notify, mpsc},
};
use web::{body, exchange, routers, server};

/// Longer than any step takes, also on a busy machine.
const TIMEOUT: time::Duration = time::Duration::from_secs(20);

const SHORT: time::Duration = time::Duration::from_millis(200);

fn local() -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], 0))
}

fn limits() -> server::Limits {
    server::Limits::default()
}

async fn in_time<T>(future: impl Future<Output = T>) -> T {
    tokio::time::timeout(TIMEOUT, future).await.expect("in time")
}

async fn echo(request: exchange::Request) -> exchange::Response {
    let head = format!("{} {} {:?} ", request.method, request.path, request.query);
    match request.body.collect(1_000).await {
        Ok(bytes) => {
            let text = format!("{head}{} bytes", bytes.len());
            exchange::Response::text(http::StatusCode::OK, &text)
        }
        Err(error) => exchange::Response::body_error(&error),
    }
}

async fn start<H, F>(limits: server::Limits, handler: H) -> server::Server
where
    H: Fn(exchange::Request) -> F + Send + Sync + 'static,
    F: Future<Output = exchange::Response> + Send + 'static,
{
    server::Server::bind(local(), limits, routers::catch_all(handler)).await.expect("binds")
}

async fn open(server: &server::Server, text: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(server.local_addr()).await.expect("connects");
    // The server may respond and close the connection before it has read everything.
    let _ = stream.write_all(text).await;
    stream
}

/// Reads until the connection ends. Returns the text, and whether it was closed without a reset.
async fn read_all(stream: &mut TcpStream) -> (String, bool) {
    let mut bytes = Vec::new();
    let clean = in_time(stream.read_to_end(&mut bytes)).await.is_ok();
    (String::from_utf8_lossy(&bytes).into_owned(), clean)
}

/// Reads until the text ends with `end`, without waiting for the connection to close.
async fn read_until(stream: &mut TcpStream, end: &str) {
    let mut text = Vec::new();
    let mut buffer = [0; 1_024];
    while !String::from_utf8_lossy(&text).ends_with(end) {
        let count = in_time(stream.read(&mut buffer)).await.expect("readable");
        assert!(count > 0, "closed after {:?}", String::from_utf8_lossy(&text));
        text.extend_from_slice(&buffer[..count]);
    }
}

/// Guards against passing invalid or oversized requests to a handler, and against leaving them
/// without a response.
#[tokio::test]
async fn requests() {
    let server = start(limits(), echo).await;
    let get = |rest: &str| format!("GET {rest} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n");
    let post = |rest: &str| format!("POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n{rest}");
    let cases = [
        ("whole", get("/a//b%2fc/?x=1&y") + "\r\n"),
        ("unknown method", "BREW / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n".into()),
        ("malformed", "nonsense\r\n\r\n".into()),
        ("bad version", "GET / HTTP/7.1\r\n\r\n".into()),
        ("body", post("content-length: 3\r\n\r\nabc")),
        ("chunked body", post("transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")),
        ("declared too large", post("content-length: 1001\r\n\r\n") + &"b".repeat(1_001)),
        (
            "chunked too large",
            post("transfer-encoding: chunked\r\n\r\n5dc\r\n")
                + &"b".repeat(1_500)
                + "\r\n0\r\n\r\n",
        ),
        ("bad chunk", post("transfer-encoding: chunked\r\n\r\nzz\r\n")),
        (
            "length and chunks",
            post("content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"),
        ),
        (
            "two codings",
            post("transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"),
        ),
        ("signed length", post("content-length: +3\r\n\r\nabc")),
        ("two lengths", post("content-length: 3\r\ncontent-length: 4\r\n\r\nabcd")),
    ];
    let mut out = String::new();
    for (name, text) in cases {
        let mut stream = open(&server, text.as_bytes()).await;
        let (response, _) = read_all(&mut stream).await;
        let status = response.lines().next().unwrap_or("no answer");
        let body = response.split_once("\r\n\r\n").map_or("", |it| it.1);
        writeln!(out, "{name}: {status}: {body}").expect("text");
    }
    insta::assert_snapshot!(out);
    for size in [33_000, 200_000] {
        let text = format!("{}x: {}\r\n\r\n", get("/"), "y".repeat(size));
        let (response, clean) = read_all(&mut open(&server, text.as_bytes()).await).await;
        // The server closes the connection before it has read everything, which may reset it.
        assert!(
            response.starts_with("HTTP/1.1 431") || response.is_empty() && !clean,
            "{response}"
        );
    }
}

/// Guards against connections that stay open without a complete request for longer than their
/// timeout, and against closing them too early.
#[tokio::test]
async fn slow_callers() {
    let limits = server::Limits { header_timeout: SHORT, idle_timeout: SHORT * 5, ..limits() };
    let server = start(limits, echo).await;
    let cases =
        [("nothing sent", ""), ("slow header", "GET / HT"), ("idle", "GET / HTTP/1.1\r\n\r\n")];
    for (name, text) in cases {
        let start = time::Instant::now();
        let mut stream = open(&server, text.as_bytes()).await;
        let (response, _) = read_all(&mut stream).await;
        assert_eq!(response.starts_with("HTTP/1.1 200"), name == "idle", "{name}: {response}");
        let least = if name == "idle" { limits.idle_timeout } else { limits.header_timeout };
        assert!(start.elapsed() >= least, "{name}: closed after {:?}", start.elapsed());
    }
}

/// Guards against a caller that keeps its connection and handler alive by never reading the
/// response.
#[tokio::test]
async fn unread_answer() {
    let (closed, mut was_closed) = mpsc::channel(1);
    let limits = server::Limits { idle_timeout: SHORT, ..limits() };
    let server = start(limits, move |_| {
        let closed = closed.clone();
        async move {
            let (sender, body) = body::Body::channel(1);
            tokio::spawn(async move {
                while sender.send(Bytes::from(vec![0; 1 << 20])).await.is_ok() {}
                let _ = closed.send(()).await;
            });
            exchange::Response { body, ..exchange::Response::empty(http::StatusCode::OK) }
        }
    })
    .await;
    let _stream = open(&server, b"GET / HTTP/1.1\r\n\r\n").await;
    in_time(was_closed.recv()).await.expect("the body was given up");
}

/// Guards against more connections than the limit, and against counting closed connections.
#[tokio::test]
async fn connection_cap() {
    let server = start(server::Limits { max_connections: 2, ..limits() }, echo).await;
    let request = b"GET / HTTP/1.1\r\n\r\n";
    let mut first = open(&server, request).await;
    read_until(&mut first, "0 bytes").await;
    let mut second = open(&server, request).await;
    read_until(&mut second, "0 bytes").await;
    let mut third = open(&server, b"").await;
    let (response, _) = read_all(&mut third).await;
    assert!(response.starts_with("HTTP/1.1 503") && response.contains("heatherwalk-not-run: true"));
    drop(first);
    let freed = async {
        loop {
            let mut stream = open(&server, b"GET / HTTP/1.1\r\nconnection: close\r\n\r\n").await;
            if read_all(&mut stream).await.0.starts_with("HTTP/1.1 200") {
                return;
            }
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
    };
    in_time(freed).await;
}

struct DropSignal(mpsc::UnboundedSender<&'static str>);

impl Drop for DropSignal {
    fn drop(&mut self) {
        let _ = self.0.send("dropped");
    }
}

/// Guards against handlers that keep running after the caller has disconnected.
#[tokio::test]
async fn disconnect_cancels() {
    let (sender, mut events) = mpsc::unbounded_channel();
    let server = start(limits(), move |request: exchange::Request| {
        let sender = sender.clone();
        async move {
            request.body.collect(100).await.expect("whole");
            let _ = sender.send("begun");
            let _guard = DropSignal(sender);
            std::future::pending().await
        }
    })
    .await;
    for text in ["GET / HTTP/1.1\r\n\r\n", "POST / HTTP/1.1\r\ncontent-length: 2\r\n\r\nab"] {
        let stream = open(&server, text.as_bytes()).await;
        assert_eq!(in_time(events.recv()).await, Some("begun"));
        let start = time::Instant::now();
        drop(stream);
        assert_eq!(in_time(events.recv()).await, Some("dropped"));
        // Well below every timeout of the server, so that no timer can be the cause.
        assert!(start.elapsed() < time::Duration::from_secs(5));
    }
}

/// Guards against a response that looks complete although its handler did not complete it.
#[tokio::test]
async fn truncated_responses() {
    let server = start(limits(), |request: exchange::Request| async move {
        let (sender, body) = body::Body::channel(4);
        let mut response =
            exchange::Response { body, ..exchange::Response::empty(http::StatusCode::OK) };
        if request.path.contains("length") {
            response.headers.insert(http::header::CONTENT_LENGTH, 10.into());
        }
        tokio::spawn(async move {
            sender.send(Bytes::from_static(b"12345")).await.expect("sends");
            // The head and the first chunk are sent before the body ends.
            tokio::time::sleep(time::Duration::from_millis(50)).await;
            match request.path.as_str() {
                "/finish" | "/length-short" => sender.finish().await.expect("finishes"),
                "/length-whole" => sender.send(Bytes::from_static(b"67890")).await.expect("sends"),
                _ => sender.abort(),
            }
        });
        response
    })
    .await;
    let mut out = String::new();
    for path in ["/finish", "/fail", "/length-whole", "/length-short", "/length-fail"] {
        for version in ["1.0", "1.1"] {
            let text = format!("GET {path} HTTP/{version}\r\nconnection: close\r\n\r\n");
            let mut stream = open(&server, text.as_bytes()).await;
            let (_, clean) = read_all(&mut stream).await;
            let whole = path == "/finish" || path == "/length-whole";
            assert_eq!(clean, whole, "{path} {version}");
            writeln!(out, "{path} HTTP/{version}: {}", if clean { "whole" } else { "reset" })
                .expect("text");
        }
    }
    insta::assert_snapshot!(out);
}

/// Guards against a caller that leaves a stopping server unnoticed while its response, which has
/// announced the close, is still in progress.
#[tokio::test]
async fn disconnect_cancels_while_stopping() {
    let (closed, mut was_closed) = mpsc::channel(1);
    let begun = Arc::new(Notify::new());
    let go = Arc::new(Notify::new());
    let (started, resume) = (begun.clone(), go.clone());
    let server = start(limits(), move |_| {
        let (closed, started, resume) = (closed.clone(), started.clone(), resume.clone());
        async move {
            started.notify_one();
            resume.notified().await;
            let (sender, body) = body::Body::channel(1);
            tokio::spawn(async move {
                sender.send(Bytes::from_static(b"begun")).await.expect("sends");
                sender.closed().await;
                let _ = closed.send(()).await;
            });
            exchange::Response { body, ..exchange::Response::empty(http::StatusCode::OK) }
        }
    })
    .await;
    let mut stream = open(&server, b"GET / HTTP/1.1\r\n\r\n").await;
    in_time(begun.notified()).await;
    let stopping = tokio::spawn(server.stop(TIMEOUT));
    tokio::time::sleep(SHORT).await;
    go.notify_one();
    read_until(&mut stream, "begun\r\n").await;
    // Wakes the reader, which then knows that the response has announced the close.
    stream.write_all(b"GET /behind HTTP/1.1\r\n\r\n").await.expect("written");
    tokio::time::sleep(SHORT).await;
    drop(stream);
    let limit = time::Duration::from_secs(5);
    tokio::time::timeout(limit, was_closed.recv()).await.expect("cancelled");
    in_time(stopping).await.expect("stops");
}

/// Guards against a planned stop that aborts a request before the limit, or accepts new requests.
#[tokio::test]
async fn graceful_stop() {
    let (sender, mut begun) = mpsc::unbounded_channel();
    let go = Arc::new(Notify::new());
    let handler_go = go.clone();
    let server = start(limits(), move |request: exchange::Request| {
        let (sender, go) = (sender.clone(), handler_go.clone());
        async move {
            let _ = sender.send(());
            match request.path.as_str() {
                "/held" => std::future::pending().await,
                _ => go.notified().await,
            }
            exchange::Response::text(http::StatusCode::OK, "done")
        }
    })
    .await;
    let addr = server.local_addr();
    let mut slow = open(&server, b"GET /slow HTTP/1.1\r\n\r\n").await;
    let mut held = open(&server, b"GET /held HTTP/1.1\r\n\r\n").await;
    in_time(begun.recv()).await.expect("begun");
    in_time(begun.recv()).await.expect("begun");
    let mut idle = open(&server, b"").await;
    let stopping = tokio::spawn(server.stop(time::Duration::from_secs(2)));
    assert_eq!(read_all(&mut idle).await.0, "", "an idle connection is closed");
    assert!(TcpStream::connect(addr).await.is_err(), "new connections are refused");
    go.notify_one();
    let (response, clean) = read_all(&mut slow).await;
    assert!(clean && response.ends_with("done"), "{response}");
    let (response, clean) = read_all(&mut held).await;
    assert!(!clean && response.is_empty(), "{response}");
    let stopped = in_time(stopping).await.expect("stops");
    assert_eq!(stopped, server::Stopped { finished: 1, aborted: 1 });
}

/// Guards against fixed routers that accept other paths or methods than those of their routes.
#[tokio::test]
async fn fixed_routers() {
    let text = |text: &str| exchange::Response::text(http::StatusCode::OK, text);
    let several = [
        (http::Method::GET, "/config", "read"),
        (http::Method::POST, "/config/patches", "patch"),
        (http::Method::GET, "/status", "state"),
        (http::Method::POST, "/status", "change"),
    ];
    let routers = [
        (
            "announce",
            routers::fixed(&[(http::Method::POST, "/announce", ())], move |(), _| async move {
                text("announced")
            }),
        ),
        ("several", routers::fixed(&several, move |it, _| async move { text(it) })),
        (
            "operations",
            routers::operations(move |page, _| async move { text(&format!("{page:?}")) }),
        ),
    ];
    let mut out = String::new();
    for (name, router) in routers {
        let server = server::Server::bind(local(), limits(), router).await.expect("binds");
        for call in [
            "POST /announce",
            "GET /announce",
            "GET /config",
            "POST /config/patches",
            "GET /status",
            "POST /status",
            "GET /metrics",
        ] {
            let text = format!("{call} HTTP/1.1\r\nconnection: close\r\n\r\n");
            let (response, _) = read_all(&mut open(&server, text.as_bytes()).await).await;
            let body = response.split_once("\r\n\r\n").map_or("", |it| it.1);
            writeln!(out, "{name} {call}: {} {body}", &response[9..12]).expect("text");
        }
    }
    insta::assert_snapshot!(out);
}
