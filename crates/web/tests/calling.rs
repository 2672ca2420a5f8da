//! The client against a server that replies with fixed bytes.

use std::{fmt::Write as _, net, time};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
};
use web::{body, client, headers};

/// What the test server sends after a request, and whether it then closes the connection or stalls.
#[derive(Clone, Copy)]
enum Reply {
    Close(&'static str),
    Stall(&'static str),
}

const CHUNK: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n";
const CHUNKS: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
/// Requests on connections that the server closes.
const ROUNDS: u64 = 500;
const SHORT: time::Duration = time::Duration::from_millis(300);
const TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Starts a server that sends `reply` to each request. Returns its address and the requests that
/// it reads.
async fn backend(reply: Reply) -> (net::SocketAddr, tokio::sync::mpsc::UnboundedReceiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let addr = listener.local_addr().expect("bound");
    let (sender, requests) = tokio::sync::mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let sender = sender.clone();
            tokio::spawn(async move {
                let mut buffer = vec![0; 4_096];
                let count = stream.read(&mut buffer).await.unwrap_or(0);
                let _ = sender.send(String::from_utf8_lossy(&buffer[..count]).into_owned());
                let (Reply::Close(text) | Reply::Stall(text)) = reply;
                let _ = stream.write_all(text.as_bytes()).await;
                if matches!(reply, Reply::Stall(_)) {
                    // Completes when the client closes the connection.
                    let count = stream.read(&mut buffer).await.unwrap_or(0);
                    let _ = sender.send(format!("{count} bytes more"));
                }
            });
        }
    });
    (addr, requests)
}

fn call(addr: net::SocketAddr, limit: time::Duration, reuse: client::Reuse) -> client::Call {
    client::Call {
        addr,
        method: http::Method::GET,
        path: "/a?b=c".into(),
        headers: http::HeaderMap::new(),
        body: body::Body::empty(),
        deadline: tokio::time::Instant::now() + limit,
        close_delimited: false,
        reuse,
    }
}

async fn outcome(client: &client::Client, call: client::Call) -> String {
    match client.send(call).await {
        Err(client::Error::NotSent(_)) => "not sent".into(),
        Err(client::Error::MaybeSent(_)) => "maybe sent".into(),
        Ok(response) => match response.body.collect(100).await {
            Ok(bytes) => format!("{} with {bytes:?}", response.status),
            Err(body::Error::Truncated(_)) => format!("{} truncated", response.status),
            Err(error) => format!("{} {error}", response.status),
        },
    }
}

/// Guards against taking a truncated response for a complete one, and a request that may have been
/// executed for one that was not.
#[tokio::test]
async fn responses() {
    let cases = [
        ("length", Reply::Close("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")),
        ("length, short", Reply::Close("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok")),
        ("chunks", Reply::Close(CHUNKS)),
        ("chunks, no end", Reply::Close(CHUNK)),
        ("neither", Reply::Close("HTTP/1.1 200 OK\r\n\r\nok")),
        ("no body", Reply::Close("HTTP/1.1 204 No Content\r\n\r\n")),
        ("part of a head", Reply::Close("HTTP/1.1 200 OK\r\ncont")),
        ("closed without an answer", Reply::Close("")),
        ("not HTTP", Reply::Close("hello\r\n\r\n")),
        ("silent", Reply::Stall("")),
        ("silent after the head", Reply::Stall("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok")),
    ];
    let client = client::Client::new(client::Limits::default());
    let mut out = String::new();
    for (name, reply) in cases {
        let (addr, _requests) = backend(reply).await;
        let limit = if matches!(reply, Reply::Stall(_)) { SHORT } else { TIMEOUT };
        let result = outcome(&client, call(addr, limit, client::Reuse::Allowed)).await;
        writeln!(out, "{name}: {result}").expect("text");
    }
    let free = TcpListener::bind("127.0.0.1:0").await.expect("binds").local_addr().expect("bound");
    let result = outcome(&client, call(free, TIMEOUT, client::Reuse::Allowed)).await;
    writeln!(out, "no listener: {result}").expect("text");
    insta::assert_snapshot!(out);
}

/// Guards against leaving the connection open after the deadline, so that the server would not
/// notice that nobody waits for the response.
#[tokio::test]
async fn cancellation_closes_the_connection() {
    let client = client::Client::new(client::Limits::default());
    let (addr, mut requests) = backend(Reply::Stall("")).await;
    let result = outcome(&client, call(addr, SHORT, client::Reuse::Never)).await;
    assert_eq!(result, "maybe sent");
    let sent = tokio::time::timeout(TIMEOUT, requests.recv()).await.expect("in time");
    assert!(sent.expect("a report").starts_with("GET /a?b=c HTTP/1.1\r\n"));
    let more = tokio::time::timeout(TIMEOUT, requests.recv()).await.expect("in time");
    assert_eq!(more.as_deref(), Some("0 bytes more"));
}

/// Guards against sending a request twice, and against reusing a connection when that is not
/// allowed.
#[tokio::test]
async fn connections() {
    let whole = Reply::Stall("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
    for (reuse, second, expected) in [
        // The server reads the second request on the first connection and does not reply. The
        // client must not send it again on another connection.
        (client::Reuse::Allowed, "maybe sent", 1),
        (client::Reuse::Never, "200 OK with b\"ok\"", 2),
    ] {
        let client = client::Client::new(client::Limits::default());
        let (addr, mut requests) = backend(whole).await;
        let limit = time::Duration::from_millis(500);
        assert_eq!(outcome(&client, call(addr, limit, reuse)).await, "200 OK with b\"ok\"");
        assert_eq!(outcome(&client, call(addr, limit, reuse)).await, second);
        let mut sent = 0;
        while let Ok(Some(text)) = tokio::time::timeout(limit, requests.recv()).await {
            sent += usize::from(text.starts_with("GET"));
        }
        assert_eq!(sent, expected, "{reuse:?}");
    }
}

/// Guards against reporting a request as not sent although the server has read it, when the server
/// closes pooled connections just as they are used again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pooled_connections_close_while_they_are_reused() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let addr = listener.local_addr().expect("bound");
    let (sender, mut requests) = tokio::sync::mpsc::unbounded_channel();
    tokio::spawn(async move {
        for index in 0_u64.. {
            let Ok((mut stream, _)) = listener.accept().await else { continue };
            let sender = sender.clone();
            tokio::spawn(async move {
                let mut buffer = vec![0; 4_096];
                // Some connections serve one request and are closed around the time of the next.
                let pause = time::Duration::from_micros(index * 7 % 400);
                let mut next = stream.read(&mut buffer);
                while let Ok(count @ 1..) = next.await {
                    let text = String::from_utf8_lossy(&buffer[..count]).into_owned();
                    let _ = sender.send(text.split(' ').nth(1).unwrap_or_default().to_owned());
                    let whole = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                    let _ = stream.write_all(whole).await;
                    tokio::time::sleep(pause).await;
                    if index % 2 == 0 {
                        return;
                    }
                    next = stream.read(&mut buffer);
                }
            });
        }
    });
    let client = client::Client::new(client::Limits::default());
    let mut not_sent = Vec::new();
    for index in 0..ROUNDS {
        let path = format!("/{index}");
        let get = client::Call {
            path: path.as_str().into(),
            ..call(addr, TIMEOUT, client::Reuse::Allowed)
        };
        if outcome(&client, get).await == "not sent" {
            not_sent.push(path);
        }
        tokio::time::sleep(time::Duration::from_micros(index * 13 % 300)).await;
    }
    while let Ok(read) = requests.try_recv() {
        assert!(!not_sent.contains(&read), "{read} was read by the server");
    }
}

/// Guards against forwarding hop-by-hop headers.
#[test]
fn hop_by_hop() {
    let text = "connection: close, X-Private|x-private: 1|keep-alive: timeout=5|te: trailers|\
        transfer-encoding: chunked|upgrade: h2c|expect: 100-continue|proxy-authorization: x|\
        content-length: 3|idempotency-key: k|connection: content-length";
    let mut map = http::HeaderMap::new();
    for (name, value) in text.split('|').filter_map(|it| it.split_once(": ")) {
        map.append(name, value.parse().expect("a value"));
    }
    headers::strip_hop_by_hop(&mut map);
    let mut left: Vec<_> = map.keys().map(http::HeaderName::as_str).collect();
    left.sort_unstable();
    assert_eq!(left, ["content-length", "idempotency-key"]);
}

/// Guards against a response whose head breaks off that is taken for a whole one: callers got a 200
/// with an empty or a short body, framed as whole. It cuts the head of each response after each byte.
#[tokio::test]
async fn heads_that_end_early() {
    let heads = [
        "HTTP/1.1 200 OK\r\ncontent-length: 10\r\nx: y\r\n\r\n",
        "HTTP/1.1 200 OK\r\nx: y\r\ntransfer-encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nx: y\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n",
        "HTTP/1.0 200 OK\r\nx: y\r\n\r\n",
        "HTTP/1.1 200 OK\nx: y\n\n",
    ];
    let client = client::Client::new(client::Limits::default());
    for head in heads {
        for end in 0..head.len() {
            let (addr, _requests) = backend(Reply::Close(&head[..end])).await;
            for reuse in [client::Reuse::Allowed, client::Reuse::Never] {
                let call = client::Call { close_delimited: true, ..call(addr, TIMEOUT, reuse) };
                let outcome = outcome(&client, call).await;
                assert_eq!(outcome, "maybe sent", "{reuse:?}: {:?}", &head[..end]);
            }
        }
    }
}

/// Guards against a status that no final response can have and that reaches a caller as an answer:
/// some faulty servers send 000.
#[tokio::test]
async fn odd_statuses() {
    let client = client::Client::new(client::Limits::default());
    let mut out = String::new();
    for status in ["000", "099", "100", "101", "199", "600", "999", "1000", "20", "-20", "200"] {
        let text = format!("HTTP/1.1 {status} Odd\r\ncontent-length: 2\r\n\r\nok");
        let (addr, _requests) = backend(Reply::Close(text.leak())).await;
        let result = outcome(&client, call(addr, TIMEOUT, client::Reuse::Allowed)).await;
        writeln!(out, "{status}: {result}").expect("text");
    }
    insta::assert_snapshot!(out);
}
