//! Several requests on one connection, which are sent before the first response.

use std::{sync::Arc, time};

use bytes::Bytes;
use tokio::{
    io::AsyncWriteExt as _,
    sync::{Notify, mpsc},
};
use web::{body, exchange, server};

use crate::{DropSignal, SHORT, TIMEOUT, echo, in_time, limits, open, read_all, read_until, start};

/// Guards against a pipelined request that waits for the response to the previous one, and against
/// responses in another order than the requests.
#[tokio::test]
async fn pipelined_requests() {
    let go = Arc::new(Notify::new());
    let handler_go = go.clone();
    let server = start(limits(), move |request: exchange::Request| {
        let go = handler_go.clone();
        async move {
            match request.path.as_str() {
                // The first request ends only once the last one has started.
                "/first" => go.notified().await,
                "/last" => go.notify_one(),
                _ => {}
            }
            echo(request).await
        }
    })
    .await;
    let text = "GET /first HTTP/1.1\r\n\r\n\
                POST /body HTTP/1.1\r\ncontent-length: 4\r\n\r\nGET \
                POST /chunks HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n\
                GET /last HTTP/1.1\r\nconnection: close\r\n\r\nGET /behind HTTP/1.1\r\n\r\n";
    for size in [text.len(), 7, 1] {
        let mut stream = open(&server, b"").await;
        for part in text.as_bytes().chunks(size) {
            stream.write_all(part).await.expect("written");
        }
        let (responses, clean) = read_all(&mut stream).await;
        let bodies: Vec<_> = responses.split("\r\n\r\n").skip(1).collect();
        let paths: Vec<_> = bodies.iter().filter_map(|it| it.split(' ').nth(1)).collect();
        assert_eq!(paths, ["/first", "/body", "/chunks", "/last"], "{size}: {responses}");
        assert!(clean, "{size}");
        assert!(bodies[1].contains("4 bytes") && bodies[2].contains("2 bytes"), "{responses}");
        assert_eq!(responses.matches("connection: close").count(), 1, "{responses}");
    }
}

/// Guards against a request that is hidden in the body of another one and is served: the lines of
/// the head before end with a bare LF, so that its end is taken for somewhere else.
#[tokio::test]
async fn a_head_with_bare_line_feeds_hides_a_request() {
    let hidden = "POST /hidden HTTP/1.1\r\ncontent-length: 0\r\n\r\n";
    let length = hidden.len();
    for line_end in ["\n", "\r\n"] {
        let server = start(limits(), echo).await;
        // The body begins with an empty line, which must not count as the end of the head.
        let first = "POST /first HTTP/1.1\ncontent-length: 8\n\n\r\n\r\nbody";
        let first = first.replacen('\n', line_end, 3);
        let second = format!("POST /second HTTP/1.1\r\ncontent-length: {length}\r\n\r\n{hidden}");
        let last = "GET /last HTTP/1.1\r\nconnection: close\r\n\r\n";
        let text = format!("{first}{second}{last}");
        let mut stream = open(&server, text.as_bytes()).await;
        let (responses, _) = read_all(&mut stream).await;
        let bodies: Vec<_> = responses.split("\r\n\r\n").skip(1).collect();
        let paths: Vec<_> = bodies.iter().filter_map(|it| it.split(' ').nth(1)).collect();
        assert_eq!(paths, ["/first", "/second", "/last"], "{line_end:?}: {responses}");
    }
}

/// Guards against a response that fails before any byte of it was sent and resets the connection,
/// which costs the responses before and behind it.
#[tokio::test]
async fn a_response_that_fails_unsent_costs_no_other() {
    let go = Arc::new(Notify::new());
    let handler_go = go.clone();
    let server = start(limits(), move |request: exchange::Request| {
        let go = handler_go.clone();
        async move {
            match request.path.as_str() {
                "/first" => go.notified().await,
                "/broken" => {
                    let (sender, body) = body::Body::channel(4);
                    tokio::spawn(async move {
                        sender.send(Bytes::from_static(b"12345")).await.expect("sends");
                        tokio::time::sleep(time::Duration::from_millis(50)).await;
                        sender.abort();
                        // The server has noticed when the response's turn comes.
                        tokio::time::sleep(time::Duration::from_millis(50)).await;
                        go.notify_one();
                    });
                    let empty = exchange::Response::empty(http::StatusCode::OK);
                    return exchange::Response { body, ..empty };
                }
                _ => {}
            }
            echo(request).await
        }
    })
    .await;
    for close in ["/behind", "/broken"] {
        let text = format!(
            "GET /first HTTP/1.1\r\n\r\nGET /broken HTTP/1.1\r\n\r\n\
             GET {close} HTTP/1.1\r\nconnection: close\r\n\r\n"
        );
        let mut stream = open(&server, text.as_bytes()).await;
        let (responses, clean) = read_all(&mut stream).await;
        let statuses: Vec<_> =
            responses.split("HTTP/1.1 ").skip(1).filter_map(|it| it.lines().next()).collect();
        let last = if close == "/broken" { "502 Bad Gateway" } else { "200 OK" };
        assert_eq!(statuses, ["200 OK", "502 Bad Gateway", last], "{responses}");
        assert!(clean, "{responses}");
        assert_eq!(responses.matches("connection: close").count(), 1, "{responses}");
    }
}

/// Guards against limits of time, and a request that is rejected, that cost the responses which are
/// still in progress on the connection.
#[tokio::test]
async fn limits_cost_no_response_in_progress() {
    let limits = server::Limits { header_timeout: SHORT, idle_timeout: SHORT, ..limits() };
    let server = start(limits, |request: exchange::Request| async move {
        tokio::time::sleep(SHORT * 4).await;
        echo(request).await
    })
    .await;
    let large = format!("GET /large HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(40_000));
    let cases = [
        ("no more requests", "", "200"),
        ("part of a head", "GET /behind HT", "200"),
        ("large head", large.as_str(), "200, 431"),
        ("malformed", "nonsense\r\n\r\n", "200, 400"),
        ("bad chunk", "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n", "200, 400"),
    ];
    for (name, behind, expected) in cases {
        let text = format!("GET /first HTTP/1.1\r\n\r\n{behind}");
        let (responses, _) = read_all(&mut open(&server, text.as_bytes()).await).await;
        let statuses: Vec<_> = responses.split("HTTP/1.1 ").skip(1).map(|it| &it[..3]).collect();
        assert_eq!(statuses.join(", "), expected, "{name}: {responses}");
        assert!(responses.contains("GET /first None 0 bytes"), "{name}: {responses}");
    }
}

/// Guards against a planned stop that loses pipelined responses.
#[tokio::test]
async fn a_stop_finishes_pipelined_requests() {
    let (sender, mut begun) = mpsc::unbounded_channel();
    let go = Arc::new(Notify::new());
    let handler_go = go.clone();
    let server = start(limits(), move |request: exchange::Request| {
        let (sender, go) = (sender.clone(), handler_go.clone());
        async move {
            let _ = sender.send(());
            if request.path == "/first" {
                go.notified().await;
            }
            echo(request).await
        }
    })
    .await;
    let text = "GET /first HTTP/1.1\r\n\r\nGET /second HTTP/1.1\r\n\r\nGET /third HTTP/1.1\r\n\r\n";
    let mut stream = open(&server, text.as_bytes()).await;
    for _ in 0..3 {
        in_time(begun.recv()).await.expect("begun");
    }
    let stopping = tokio::spawn(server.stop(TIMEOUT));
    tokio::time::sleep(SHORT).await;
    go.notify_one();
    let (responses, clean) = read_all(&mut stream).await;
    assert_eq!(responses.matches("HTTP/1.1 200 OK").count(), 3, "{responses}");
    assert!(clean && responses.ends_with("GET /third None 0 bytes"), "{responses}");
    assert_eq!(
        in_time(stopping).await.expect("stops"),
        server::Stopped { finished: 3, aborted: 0 }
    );
}

/// Guards against requests that go on, or are started, behind a response that fails after its first
/// bytes were sent, which resets their connection.
#[tokio::test]
async fn a_reset_cancels_the_requests_behind() {
    let (events, mut seen) = mpsc::unbounded_channel();
    let go = Arc::new(Notify::new());
    let handler_go = go.clone();
    let server = start(limits(), move |request: exchange::Request| {
        let (events, go) = (events.clone(), handler_go.clone());
        async move {
            if request.path == "/behind" {
                let _ = events.send("begun");
                let _guard = DropSignal(events);
                return std::future::pending().await;
            }
            let (sender, body) = body::Body::channel(4);
            tokio::spawn(async move {
                sender.send(Bytes::from_static(b"12345")).await.expect("sends");
                go.notified().await;
                sender.abort();
            });
            exchange::Response { body, ..exchange::Response::empty(http::StatusCode::OK) }
        }
    })
    .await;
    let text = b"GET /fail HTTP/1.1\r\n\r\nGET /behind HTTP/1.1\r\n\r\nGET /behind HTTP/1.1\r\n";
    let mut stream = open(&server, text).await;
    read_until(&mut stream, "12345\r\n").await;
    assert_eq!(in_time(seen.recv()).await, Some("begun"));
    go.notify_one();
    assert_eq!(in_time(seen.recv()).await, Some("dropped"));
    let (_, clean) = read_all(&mut stream).await;
    assert!(!clean, "a failed response looks complete");
    assert!(seen.try_recv().is_err(), "a request was started behind the reset");
}

/// Guards against handlers that keep running for a caller that has disconnected, when more requests
/// than the server takes at a time wait on its connection, or when the server is stopping.
#[tokio::test]
async fn disconnect_cancels_all_requests() {
    let (sender, mut events) = mpsc::unbounded_channel();
    let server = start(limits(), move |_| {
        let sender = sender.clone();
        async move {
            let _ = sender.send("begun");
            let _guard = DropSignal(sender);
            std::future::pending().await
        }
    })
    .await;
    let stream = open(&server, "GET / HTTP/1.1\r\n\r\n".repeat(80).as_bytes()).await;
    assert_eq!(in_time(events.recv()).await, Some("begun"));
    tokio::time::sleep(SHORT).await;
    drop(stream);
    let dropped = async { while events.recv().await != Some("dropped") {} };
    tokio::time::timeout(time::Duration::from_secs(5), dropped).await.expect("cancelled");
}
