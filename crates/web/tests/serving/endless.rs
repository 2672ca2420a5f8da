//! Callers that send bytes without end.

use std::{fmt::Write as _, time};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    task,
};
use web::server;

use crate::{echo, in_time, open, read_all, start};

/// Longest head of the tests' server, in bytes.
const MAX_HEADER: usize = 16 * 1024;
/// The time limits of the tests' server.
const LIMIT: time::Duration = time::Duration::from_secs(1);
/// Longest time until such a request is cut off: a time limit, the time in which the caller may
/// close, and what a busy machine adds.
const MAX_TIME: time::Duration = time::Duration::from_secs(5);

/// Requests without an end: their first bytes, and those that follow again and again.
const ENDLESS: [(&str, &[u8], &[u8]); 10] = [
    ("request-line", b"GET /", b"a"),
    ("no-http", b"", b"\x16\x03\x01"),
    ("header-line", b"GET / HTTP/1.1\r\nx-long: ", b"y"),
    ("header-lines", b"GET / HTTP/1.1\r\n", b"x-more: y\r\n"),
    ("empty-lines", b"", b"\r\n"),
    ("chunks", CHUNKED, b"5\r\nbytes\r\n"),
    ("chunk-size", CHUNKED, b"0"),
    ("chunk-extension", CHUNKED, b"5;x=y;x=y"),
    ("trailer-line", b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\nx: ", b"y"),
    ("trailer-lines", b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", b"x: y\r\n"),
];

const CHUNKED: &[u8] = b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n";

/// Sends the first bytes, then the others until the connection ends. Returns the status of the
/// answer, if there is one.
async fn send_without_end(mut stream: TcpStream, first: &[u8], repeated: &[u8]) -> String {
    let (mut reading, mut writing) = stream.split();
    let repeated = repeated.repeat(1_000);
    let write = async {
        if writing.write_all(first).await.is_err() {
            return;
        }
        while writing.write(&repeated).await.is_ok() {}
    };
    let mut received = Vec::new();
    let ends = async { tokio::join!(write, reading.read_to_end(&mut received)) };
    in_time(ends).await.1.ok();
    let answer = String::from_utf8_lossy(&received);
    answer.split(' ').nth(1).unwrap_or("none").to_owned()
}

/// Guards against a request without an end that holds its connection, fills the memory, or keeps
/// the requests of other callers waiting.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_requests_are_cut_off() {
    let limits = server::Limits {
        header_timeout: LIMIT,
        idle_timeout: LIMIT,
        max_header: MAX_HEADER,
        ..server::Limits::default()
    };
    let server = start(limits, echo).await;
    let mut out = String::new();
    for (name, first, repeated) in ENDLESS {
        let start = time::Instant::now();
        let mut senders = task::JoinSet::new();
        for _ in 0..4 {
            let stream = TcpStream::connect(server.local_addr()).await.expect("connects");
            senders.spawn(send_without_end(stream, first, repeated));
        }
        let mut other = open(&server, b"GET /other HTTP/1.1\r\nconnection: close\r\n\r\n").await;
        let (answer, _) = read_all(&mut other).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "beside {name}: {answer}");
        let results = senders.join_all().await;
        let took = start.elapsed();
        assert!(took < MAX_TIME, "{name}: {took:?}");
        // The answer may be lost in the reset of a connection with unread bytes.
        let mut statuses: Vec<_> = results.iter().map(String::as_str).collect();
        statuses.retain(|it| *it != "none");
        statuses.sort_unstable();
        statuses.dedup();
        writeln!(out, "{name}: {statuses:?}").expect("text");
    }
    insta::assert_snapshot!(out, @r#"
    request-line: ["431"]
    no-http: ["400"]
    header-line: ["431"]
    header-lines: ["431"]
    empty-lines: []
    chunks: ["413"]
    chunk-size: ["400"]
    chunk-extension: ["400"]
    trailer-line: ["400"]
    trailer-lines: ["400"]
    "#);
    let mut after = open(&server, b"GET /after HTTP/1.1\r\nconnection: close\r\n\r\n").await;
    assert!(read_all(&mut after).await.0.starts_with("HTTP/1.1 200"));
}

/// Guards against a caller that stops within the body of its request and holds the connection, the
/// handler and the memory of the body for good.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stalled_body_holds_its_connection() {
    let limits = server::Limits { idle_timeout: LIMIT, ..server::Limits::default() };
    let server = start(limits, echo).await;
    let heads = [
        "POST / HTTP/1.1\r\ncontent-length: 10\r\n\r\nhalf",
        "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n5\r\nha",
        "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
        "GET /first HTTP/1.1\r\n\r\nPOST / HTTP/1.1\r\ncontent-length: 10\r\n\r\nhalf",
    ];
    let mut lines = Vec::new();
    for head in heads {
        let start = time::Instant::now();
        let mut stream = open(&server, head.as_bytes()).await;
        let (answer, _) = read_all(&mut stream).await;
        let took = start.elapsed();
        assert!(took < MAX_TIME, "{head:?}: {took:?}");
        let statuses: Vec<_> =
            answer.split("HTTP/1.1 ").skip(1).map(|it| it.get(..3).unwrap_or(it)).collect();
        lines.push(statuses.join(", "));
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    400
    400
    400
    200, 400
    ");
}
