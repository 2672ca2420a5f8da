//! Callers and the replies that they receive.

use std::{fmt, net};

use bytes::Bytes;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

use crate::mesh;

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: http::Method,
    pub path: String,
    pub headers: http::HeaderMap,
    pub body: Bytes,
}

/// A node's reply to a caller.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// The HTTP status, or 0 without a reply.
    pub status: u16,
    pub headers: http::HeaderMap,
    /// The body, if it is complete.
    pub body: Option<Bytes>,
}

/// A request without a body.
pub fn get(path: &str) -> Request {
    let headers = http::HeaderMap::new();
    Request { method: http::Method::GET, path: path.into(), headers, body: Bytes::new() }
}

/// A non-idempotent request with an idempotency key.
pub fn post(path: &str, key: &str) -> Request {
    let mut request = get(path).with("idempotency-key", key);
    request.method = http::Method::POST;
    request.body = Bytes::from_static(b"sounding 17");
    request
}

impl Request {
    /// The request with one more header field.
    pub fn with(mut self, name: &'static str, value: &str) -> Request {
        let value = http::HeaderValue::from_str(value).expect("a value");
        self.headers.append(name, value);
        self
    }
}

impl Reply {
    fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Whether the reply says that the request was not run.
    pub fn is_not_run(&self) -> bool {
        self.header("heatherwalk-not-run") == Some("true")
    }

    /// The complete body as text.
    pub fn text(&self) -> &str {
        let body = self.body.as_ref().expect("a whole body");
        std::str::from_utf8(body).expect("text")
    }
}

/// Status, outcome headers, and whether the body is complete.
impl fmt::Display for Reply {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.status == 0 {
            return write!(out, "no answer");
        }
        write!(out, "{}", self.status)?;
        for (name, text) in [
            ("heatherwalk-not-run", "not run"),
            ("heatherwalk-outcome", "outcome unknown"),
            ("heatherwalk-stored", "stored"),
        ] {
            if self.headers.contains_key(name) {
                write!(out, ", {text}")?;
            }
        }
        if let Some(reason) = self.header("heatherwalk-reason") {
            write!(out, " ({reason})")?;
        }
        let whole = if self.body.is_some() { "" } else { ", broken body" };
        write!(out, "{whole}")
    }
}

/// A caller that keeps its connection open and sends its requests one after the other.
pub struct Kept {
    addr: net::SocketAddr,
    client: web::client::Client,
}

impl Kept {
    /// A caller of the node with this address.
    pub fn new(addr: net::SocketAddr) -> Kept {
        Kept { addr, client: web::client::Client::new(web::client::Limits::default()) }
    }

    /// Sends a request on the open connection, if there is one, and reads the reply to its end.
    pub async fn send(&self, request: Request) -> Reply {
        send_by(&self.client, self.addr, request, web::client::Reuse::Allowed).await
    }
}

/// Sends a request on a new connection and reads the reply to its end.
pub async fn send(addr: net::SocketAddr, request: Request) -> Reply {
    let client = web::client::Client::new(web::client::Limits::default());
    send_by(&client, addr, request, web::client::Reuse::Never).await
}

async fn send_by(
    client: &web::client::Client,
    addr: net::SocketAddr,
    request: Request,
    reuse: web::client::Reuse,
) -> Reply {
    let call = web::client::Call {
        addr,
        method: request.method,
        path: request.path.as_str().into(),
        headers: request.headers,
        body: web::body::Body::full(request.body),
        deadline: tokio::time::Instant::now() + mesh::TIMEOUT,
        close_delimited: false,
        reuse,
    };
    let Ok(answer) = client.send(call).await else { return Reply::default() };
    let body = answer.body.collect(16 * 1024 * 1024).await.ok();
    Reply { status: answer.status.as_u16(), headers: answer.headers, body }
}

/// Sends bytes and returns all that comes back before the connection ends.
pub async fn exchange(addr: net::SocketAddr, bytes: &[u8]) -> String {
    let mut stream = open(addr, bytes).await;
    let mut received = Vec::new();
    let read = stream.read_to_end(&mut received);
    let _ = tokio::time::timeout(mesh::TIMEOUT, read).await.expect("in time");
    String::from_utf8_lossy(&received).into_owned()
}

/// Sends bytes and keeps the connection open.
pub async fn open(addr: net::SocketAddr, bytes: &[u8]) -> tokio::net::TcpStream {
    let mut stream = tokio::net::TcpStream::connect(addr).await.expect("connects");
    // The node may have replied and closed the connection before it read everything.
    let _ = stream.write_all(bytes).await;
    stream
}
