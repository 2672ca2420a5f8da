//! The HTTP client, with a pool of connections.

use std::{error::Error as _, io, net, ops, pin::Pin, task, time};

use bytes::Bytes;
use compact_str::{CompactString, ToCompactString as _};
use gotham::helpers::http::Body as GothamBody;
use http_body_util::BodyExt as _;
use hyper::{body, body::Body as _};
use hyper_util::{
    client::legacy::{self, connect},
    rt::{TokioExecutor, TokioTimer},
};

use crate::{body as bodies, connector, exchange, headers};

/// The statuses of final responses (RFC 9110, section 15).
const FINAL_STATUSES: ops::RangeInclusive<u16> = 200..=599;

/// Why a request got no response. The text is the cause.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Error {
    /// No connection was made, or it closed before the request was begun, so no byte of the request
    /// reached the server.
    #[error("request not sent: {0}")]
    NotSent(CompactString),
    /// Some or all of the request may have reached the server, which may have executed it.
    #[error("no response: {0}")]
    MaybeSent(CompactString),
}

/// The result of [`Client::send`].
pub type Result<T> = std::result::Result<T, Error>;

/// Limits of a client's connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How long establishing a TCP connection may take.
    pub connect_timeout: time::Duration,
    /// How long a pooled connection may be idle. The default is below the idle timeout of common
    /// servers, so that the client closes first.
    pub idle_timeout: time::Duration,
    /// How many idle connections are kept per server address.
    pub max_idle: usize,
    /// The largest head of a response, in bytes; at least 8 KiB.
    pub max_header: usize,
}

/// Whether a request may be sent on a pooled connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reuse {
    /// Uses an idle connection if there is one. The server may be closing it at that moment, which
    /// cannot be told from a crash while it executed the request, so this is for idempotent
    /// requests.
    Allowed,
    /// Opens a new connection, so that the request cannot fail with [`Error::MaybeSent`] only
    /// because the server closed an idle connection.
    Never,
}

/// A request for [`Client::send`].
pub struct Call {
    /// The address of the server.
    pub addr: net::SocketAddr,
    /// The method. The response to `HEAD` needs neither content-length nor chunked encoding.
    pub method: http::Method,
    /// The path and the query.
    pub path: CompactString,
    /// The headers. Hop-by-hop headers are removed before sending.
    pub headers: http::HeaderMap,
    /// The body. It is sent in chunks unless its length is known.
    pub body: bodies::Body,
    /// The time by which the whole response, body included, must have arrived.
    pub deadline: tokio::time::Instant,
    /// Whether a response without content-length and chunked encoding is accepted. Its body is
    /// complete when the server closes the connection without an error.
    pub close_delimited: bool,
    /// Whether a pooled connection may be used.
    pub reuse: Reuse,
}

/// An HTTP client. Clones share one connection pool.
#[derive(Clone)]
pub struct Client {
    pooled: HyperClient,
    single_use: HyperClient,
}

/// The head of a response, and what is known of the connection that it came on.
pub struct Received {
    /// The response; its body may still be on its way.
    pub response: exchange::Response,
    /// Whether the connection has carried a response before. Without a name of its request in the
    /// response, it may then be an extra one for an earlier request.
    pub kept: bool,
    connection: connect::CaptureConnection,
}

impl Received {
    /// Closes the connection after the response, so that what may still come on it is not taken for
    /// the response to another request.
    pub fn discard_connection(&self) {
        if let Some(connected) = self.connection.connection_metadata().as_ref() {
            connected.poison();
        }
    }
}

type HyperClient = legacy::Client<connector::Connector, GothamBody>;

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
    /// Creates a client with an empty pool.
    pub fn new(limits: Limits) -> Client {
        Client { pooled: new_pool(&limits, limits.max_idle), single_use: new_pool(&limits, 0) }
    }

    /// Sends a request and waits for the head of its response. The request is never retried. The
    /// body fails if it is incomplete at the deadline.
    ///
    /// Dropping the future, or the response's body before its end, closes the connection, so that
    /// the server can stop working on the request.
    pub async fn send(&self, call: Call) -> Result<exchange::Response> {
        let deadline = call.deadline;
        let response = self.send_for_head(call).await?.response;
        let timer = Box::pin(tokio::time::sleep_until(deadline));
        let body = DeadlineBody { incoming: response.body.into_inner(), timer };
        Ok(exchange::Response { body: bodies::Body::new(body), ..response })
    }

    /// Does the same as [`Client::send`], but the deadline is that of the head alone. Whoever reads
    /// the body limits its time.
    pub async fn send_for_head(&self, call: Call) -> Result<Received> {
        let (deadline, reuse) = (call.deadline, call.reuse);
        let close_delimited = call.close_delimited || call.method == http::Method::HEAD;
        let mut request = build_request(call)?;
        let capture = connect::capture_connection(&mut request);
        let client = match reuse {
            Reuse::Allowed => &self.pooled,
            Reuse::Never => &self.single_use,
        };
        let response = client.request(request);
        let response = match tokio::time::timeout_at(deadline, response).await {
            Ok(result) => result.map_err(convert_error)?,
            Err(_) if capture.connection_metadata().is_none() => {
                return Err(Error::NotSent("deadline passed while connecting".into()));
            }
            Err(_) => return Err(Error::MaybeSent("deadline passed".into())),
        };
        let kept = capture.connection_metadata().as_ref().is_none_or(connector::record_response);
        if let Err(err) = check_status(response.status()) {
            if let Some(connected) = capture.connection_metadata().as_ref() {
                connected.poison();
            }
            return Err(err);
        }
        check_framing(&response, close_delimited)?;
        Ok(Received { response: to_response(response), kept, connection: capture })
    }
}

fn new_pool(limits: &Limits, pooled: usize) -> HyperClient {
    let connector = connector::Connector::new(limits.connect_timeout);
    legacy::Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(limits.idle_timeout)
        .pool_max_idle_per_host(pooled)
        .http1_max_buf_size(limits.max_header)
        // Only the caller may decide to send a request twice.
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

/// Rejects a status that a final response cannot have: HTTP ends at 599, and 101 answers an upgrade,
/// which is never asked for.
fn check_status(status: http::StatusCode) -> Result<()> {
    if FINAL_STATUSES.contains(&status.as_u16()) {
        return Ok(());
    }
    Err(Error::MaybeSent(compact_str::format_compact!("response with status {}", status.as_u16())))
}

/// Rejects a body that is delimited only by the end of its connection: after a crash of the server
/// it would look complete as well.
fn check_framing(response: &http::Response<body::Incoming>, close_delimited: bool) -> Result<()> {
    let headers = response.headers();
    let framed = headers.contains_key(http::header::CONTENT_LENGTH)
        || headers.contains_key(http::header::TRANSFER_ENCODING);
    if framed || close_delimited || response.body().is_end_stream() {
        return Ok(());
    }
    Err(Error::MaybeSent("response with neither content-length nor chunks".into()))
}

fn to_response(response: http::Response<body::Incoming>) -> exchange::Response {
    let (mut head, incoming) = response.into_parts();
    headers::strip_hop_by_hop(&mut head.headers);
    let body = bodies::Body::new(incoming.map_err(io::Error::other));
    exchange::Response { status: head.status, headers: head.headers, body }
}

fn convert_error(error: legacy::Error) -> Error {
    let reason = match error.source() {
        Some(source) => compact_str::format_compact!("{error}: {source}"),
        None => error.to_compact_string(),
    };
    if error.is_connect() || is_canceled(&error) {
        Error::NotSent(reason)
    } else {
        Error::MaybeSent(reason)
    }
}

/// Whether a pooled connection closed before hyper took the request from its queue. hyper reports
/// this kind of error only for requests of which it has written nothing.
fn is_canceled(error: &legacy::Error) -> bool {
    let source = error.source().and_then(|it| it.downcast_ref::<hyper::Error>());
    source.is_some_and(hyper::Error::is_canceled)
}

/// A body that fails if it is incomplete at a deadline.
struct DeadlineBody<B> {
    incoming: B,
    timer: Pin<Box<tokio::time::Sleep>>,
}

impl<B> body::Body for DeadlineBody<B>
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
