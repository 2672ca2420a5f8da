//! The client for backend servers, with a pool of connections.

use std::{error::Error as _, io, net, pin::Pin, task, time};

use bytes::Bytes;
use compact_str::{CompactString, ToCompactString as _};
use gotham::helpers::http::Body as GothamBody;
use http_body_util::BodyExt as _;
use hyper::{body, body::Body as _};
use hyper_util::{
    client::legacy::{self, connect},
    rt::{TokioExecutor, TokioTimer},
};

use crate::{body as bodies, exchange, headers};

/// Why a request got no answer.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Error {
    /// No connection was made, so no byte of the request reached the backend server.
    #[error("not sent: {0}")]
    NotSent(CompactString),
    /// Any part of the request may have reached the backend server.
    #[error("no answer: {0}")]
    MaybeSent(CompactString),
}

/// The result of sending a request.
pub type Result<T> = std::result::Result<T, Error>;

/// Limits of a client.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How long a TCP connect may take.
    pub connect_timeout: time::Duration,
    /// How long a pooled connection may be idle. It is below the idle time of usual servers, so
    /// that the client closes first.
    pub idle_timeout: time::Duration,
    /// Idle connections kept per backend server.
    pub max_idle: usize,
    /// Bytes of an answer's head, at least 8 KiB.
    pub max_header: usize,
}

/// Which connection carries a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reuse {
    /// An idle connection when there is one. The backend server may be closing it just then, which
    /// looks the same as a crash while it worked; this suits idempotent requests.
    Allowed,
    /// A new connection, so that the request does not fail as [`Error::MaybeSent`] only because an
    /// idle connection was closed.
    Never,
}

/// A request to a backend server.
pub struct Call {
    /// The backend server.
    pub addr: net::SocketAddr,
    /// The method.
    pub method: http::Method,
    /// The path with its query.
    pub path: CompactString,
    /// The headers; hop-by-hop ones are removed.
    pub headers: http::HeaderMap,
    /// The body.
    pub body: bodies::Body,
    /// When the whole answer must be there.
    pub deadline: tokio::time::Instant,
    /// Whether an answer whose body ends with its connection counts as whole when the end is in
    /// order.
    pub close_delimited: bool,
    /// Which connection to use.
    pub reuse: Reuse,
}

/// A client. Clones share one pool.
#[derive(Clone)]
pub struct Client {
    pooled: Connections,
    fresh: Connections,
}

type Connections = legacy::Client<connect::HttpConnector, GothamBody>;

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connect_timeout: time::Duration::from_secs(1),
            idle_timeout: time::Duration::from_secs(15),
            max_idle: 64,
            max_header: 32 * 1024,
        }
    }
}

impl Client {
    /// A client without connections.
    pub fn new(limits: Limits) -> Client {
        Client { pooled: build(&limits, limits.max_idle), fresh: build(&limits, 0) }
    }

    /// Sends a request and waits for the head of its answer. Dropping the future, or the answer's
    /// body before its end, closes the connection, which cancels the work.
    pub async fn send(&self, call: Call) -> Result<exchange::Response> {
        let (deadline, reuse) = (call.deadline, call.reuse);
        let close_delimited = call.close_delimited || call.method == http::Method::HEAD;
        let mut request = build_request(call)?;
        let capture = connect::capture_connection(&mut request);
        let connections = match reuse {
            Reuse::Allowed => &self.pooled,
            Reuse::Never => &self.fresh,
        };
        let response = connections.request(request);
        let response = match tokio::time::timeout_at(deadline, response).await {
            Ok(result) => result.map_err(convert_error)?,
            Err(_) if capture.connection_metadata().is_none() => {
                return Err(Error::NotSent("deadline passed while connecting".into()));
            }
            Err(_) => return Err(Error::MaybeSent("deadline passed".into())),
        };
        check_framing(&response, close_delimited)?;
        Ok(to_answer(response, deadline))
    }
}

fn build(limits: &Limits, pooled: usize) -> Connections {
    let mut connector = connect::HttpConnector::new();
    connector.set_connect_timeout(Some(limits.connect_timeout));
    connector.set_nodelay(true);
    legacy::Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(limits.idle_timeout)
        .pool_max_idle_per_host(pooled)
        .http1_max_buf_size(limits.max_header)
        // A request must not be sent twice without the caller's knowledge.
        .retry_canceled_requests(false)
        .build(connector)
}

fn build_request(call: Call) -> Result<http::Request<GothamBody>> {
    let not_sent = |it: http::Error| Error::NotSent(it.to_compact_string());
    let uri = http::Uri::builder()
        .scheme(http::uri::Scheme::HTTP)
        .authority(call.addr.to_string())
        .path_and_query(call.path.as_str())
        .build()
        .map_err(not_sent)?;
    let mut request = http::Request::new(call.body.into_inner());
    *request.method_mut() = call.method;
    *request.uri_mut() = uri;
    *request.headers_mut() = call.headers;
    headers::strip_hop_by_hop(request.headers_mut());
    Ok(request)
}

/// Refuses a body that ends with its connection: it would look whole after a crash as well.
fn check_framing(response: &http::Response<body::Incoming>, close_delimited: bool) -> Result<()> {
    let headers = response.headers();
    let framed = headers.contains_key(http::header::CONTENT_LENGTH)
        || headers.contains_key(http::header::TRANSFER_ENCODING);
    if framed || close_delimited || response.body().is_end_stream() {
        return Ok(());
    }
    Err(Error::MaybeSent("the answer declares neither a length nor chunks".into()))
}

fn to_answer(
    response: http::Response<body::Incoming>,
    deadline: tokio::time::Instant,
) -> exchange::Response {
    let (mut head, incoming) = response.into_parts();
    headers::strip_hop_by_hop(&mut head.headers);
    let timer = Box::pin(tokio::time::sleep_until(deadline));
    let body = bodies::Body::new(Timed { incoming: incoming.map_err(io::Error::other), timer });
    exchange::Response { status: head.status, headers: head.headers, body }
}

fn convert_error(error: legacy::Error) -> Error {
    let reason = match error.source() {
        Some(source) => compact_str::format_compact!("{error}: {source}"),
        None => error.to_compact_string(),
    };
    if error.is_connect() { Error::NotSent(reason) } else { Error::MaybeSent(reason) }
}

/// A body that fails at a deadline.
struct Timed<B> {
    incoming: B,
    timer: Pin<Box<tokio::time::Sleep>>,
}

impl<B> body::Body for Timed<B>
where
    B: body::Body<Data = Bytes, Error = io::Error> + Unpin,
{
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<io::Result<body::Frame<Bytes>>>> {
        let frame = Pin::new(&mut self.incoming).poll_frame(context);
        if frame.is_pending() && self.timer.as_mut().poll(context).is_ready() {
            let error = io::Error::new(io::ErrorKind::TimedOut, "deadline passed");
            return task::Poll::Ready(Some(Err(error)));
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.incoming.size_hint()
    }
}
