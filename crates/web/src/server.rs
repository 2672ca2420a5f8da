//! The HTTP server: an accept loop with limits, and a graceful stop.

use std::{io, net, panic, sync, sync::atomic, time};

use gotham::{helpers::http::Body as GothamBody, router, service, state};
use hyper::body;
use tokio::{
    sync::{oneshot, watch},
    task,
};

use crate::{connection, headers};

/// The shortest pause after accept fails, for example because file descriptors have run out.
const MIN_ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(10);
/// The longest pause after accept fails. The pause doubles with each failure in a row.
const MAX_ACCEPT_PAUSE: time::Duration = time::Duration::from_secs(1);
/// The response on a connection above the limit. No request was read, so none was executed.
const BUSY_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nheatherwalk-not-run: true\r\n\
    connection: close\r\ncontent-length: 0\r\n\r\n";

/// Why a server could not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The TCP port could not be bound.
    #[error(
        "cannot bind {addr}: {source}\nnext: stop the program that uses the address, or name another in the settings"
    )]
    Bind {
        /// The address of the port.
        addr: net::SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
}

/// The result of [`Server::bind`].
pub type Result<T> = std::result::Result<T, Error>;

/// Limits of a server's connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The most open connections. Further ones are answered with 503 and closed.
    pub max_connections: usize,
    /// The largest head of a request, in bytes; at least 8 KiB. Larger ones are answered with 431.
    pub max_header: usize,
    /// How long a request's head may take to arrive, counted from the start of the connection or
    /// from the end of the response before. The connection is then closed.
    pub header_timeout: time::Duration,
    /// How long a connection may be open without a request, and how long the caller may take to
    /// send a part of a request's body or to read a part of its response. The connection is then
    /// closed.
    pub idle_timeout: time::Duration,
}

/// The outcome of the requests that were in progress when a server was stopped.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Stopped {
    /// Requests whose responses were sent in full.
    pub finished: usize,
    /// Requests that were aborted at the time limit.
    pub aborted: usize,
}

/// A running server. Dropping it aborts its connections.
pub struct Server {
    addr: net::SocketAddr,
    stop: oneshot::Sender<time::Duration>,
    acceptor: task::JoinHandle<Stopped>,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_connections: 4_096,
            max_header: 32 * 1024,
            header_timeout: time::Duration::from_secs(10),
            idle_timeout: time::Duration::from_secs(60),
        }
    }
}

impl Server {
    /// Binds a TCP port and starts to serve it with `router`. Port 0 binds a free port.
    pub async fn bind(
        addr: net::SocketAddr,
        limits: Limits,
        router: router::Router,
    ) -> Result<Server> {
        let bind_error = |source| Error::Bind { addr, source };
        let listener = tokio::net::TcpListener::bind(addr).await.map_err(bind_error)?;
        let addr = listener.local_addr().map_err(bind_error)?;
        let acceptor = Acceptor {
            listener,
            limits,
            router: sync::Arc::new(router),
            requests: sync::Arc::default(),
            stopping: watch::channel(false).0,
            tasks: task::JoinSet::new(),
            pause: MIN_ACCEPT_PAUSE,
        };
        let (stop, stopped) = oneshot::channel();
        Ok(Server { addr, stop, acceptor: tokio::spawn(acceptor.run(stopped)) })
    }

    /// The address of the bound port.
    pub fn local_addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Closes the port and the idle connections, waits at most `limit` for the requests in
    /// progress, and aborts the remaining ones.
    pub async fn stop(self, limit: time::Duration) -> Stopped {
        let _ = self.stop.send(limit);
        self.acceptor.await.unwrap_or_default()
    }
}

struct Acceptor {
    listener: tokio::net::TcpListener,
    limits: Limits,
    router: sync::Arc<router::Router>,
    requests: sync::Arc<connection::RequestCounts>,
    stopping: watch::Sender<bool>,
    tasks: task::JoinSet<()>,
    pause: time::Duration,
}

impl Acceptor {
    async fn run(mut self, mut stop: oneshot::Receiver<time::Duration>) -> Stopped {
        loop {
            tokio::select! {
                limit = &mut stop => return self.stop(limit.unwrap_or_default()).await,
                Some(_) = self.tasks.join_next() => {}
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, remote)) => self.spawn_connection(stream, remote),
                    Err(error) if is_transient(&error) => {}
                    Err(error) => {
                        log::warn!("accept failed, retrying in {:?}: {error}", self.pause);
                        let pause = tokio::time::sleep(self.pause);
                        self.pause = MAX_ACCEPT_PAUSE.min(self.pause * 2);
                        tokio::select! {
                            limit = &mut stop => return self.stop(limit.unwrap_or_default()).await,
                            () = pause => {}
                        }
                    }
                },
            }
        }
    }

    fn spawn_connection(&mut self, stream: tokio::net::TcpStream, remote: net::SocketAddr) {
        self.pause = MIN_ACCEPT_PAUSE;
        if self.tasks.len() >= self.limits.max_connections {
            log::warn!("refused a connection from {remote}: {} are open already", self.tasks.len());
            // The response may be lost, but waiting for the caller would hold resources.
            let _ = stream.try_write(BUSY_RESPONSE);
            return;
        }
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("cannot set TCP_NODELAY for {remote}: {error}");
        }
        let stop = self.stopping.subscribe();
        let (limits, router, requests) = (self.limits, self.router.clone(), self.requests.clone());
        self.tasks.spawn(serve(stream, remote, limits, router, requests, stop));
    }

    async fn stop(self, limit: time::Duration) -> Stopped {
        let Acceptor { listener, requests, stopping, mut tasks, .. } = self;
        drop(listener);
        let before = requests.finished.load(atomic::Ordering::Relaxed);
        stopping.send_replace(true);
        let drained = async { while tasks.join_next().await.is_some() {} };
        let completed = tokio::time::timeout(limit, drained).await.is_ok();
        let aborted = if completed { 0 } else { requests.active.load(atomic::Ordering::Relaxed) };
        let after = requests.finished.load(atomic::Ordering::Relaxed);
        tasks.shutdown().await;
        Stopped { finished: after - before, aborted }
    }
}

/// Whether an error of accept concerns only one connection, so that no pause is needed.
fn is_transient(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionAborted
            | io::ErrorKind::ConnectionRefused
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::Interrupted
    )
}

async fn serve(
    stream: tokio::net::TcpStream,
    remote: net::SocketAddr,
    limits: Limits,
    router: sync::Arc<router::Router>,
    requests: sync::Arc<connection::RequestCounts>,
    stop: watch::Receiver<bool>,
) {
    let shared = sync::Arc::new(connection::Shared::new(requests));
    let service = move |request, handle| respond(request, handle, remote, limits, router.clone());
    if let Err(reason) = connection::serve(stream, limits, shared, stop, service).await {
        log::debug!("connection from {remote} ended: {reason}");
    }
}

async fn respond(
    request: http::Request<body::Incoming>,
    handle: connection::Handle,
    remote: net::SocketAddr,
    limits: Limits,
    router: sync::Arc<router::Router>,
) -> http::Response<GothamBody> {
    let mut response = if handle.ambiguous {
        reject(http::StatusCode::BAD_REQUEST)
    } else if head_size(&request) > limits.max_header {
        reject(http::StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE)
    } else {
        let state = state::State::from_request(request, remote);
        let response = service::call_handler(router, panic::AssertUnwindSafe(state)).await;
        response.unwrap_or_else(|error| {
            log::error!("the router failed: {error}");
            empty_response(http::StatusCode::INTERNAL_SERVER_ERROR)
        })
    };
    if handle.closes() || handle.ambiguous {
        let close = http::HeaderValue::from_static("close");
        response.headers_mut().insert(http::header::CONNECTION, close);
    }
    response
}

/// The response to a request that is rejected before any handler is called.
fn reject(status: http::StatusCode) -> http::Response<GothamBody> {
    let mut response = empty_response(status);
    response.headers_mut().insert(headers::NOT_RUN, http::HeaderValue::from_static("true"));
    response
}

/// The size of a request's head on the wire in bytes, without the version and the spaces around
/// values.
///
/// hyper applies its buffer limit only to a head that is still incomplete after a read, so a head
/// that arrives in one read may be larger.
fn head_size<B>(request: &http::Request<B>) -> usize {
    // Each field also has a colon, a space and a CRLF.
    let fields = request.headers().iter().map(|(name, it)| name.as_str().len() + it.len() + 4);
    let target = request.uri().path_and_query().map_or(0, |it| it.as_str().len());
    request.method().as_str().len() + target + fields.sum::<usize>()
}

fn empty_response(status: http::StatusCode) -> http::Response<GothamBody> {
    let mut response = http::Response::new(GothamBody::default());
    *response.status_mut() = status;
    response
}
