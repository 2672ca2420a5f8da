//! One HTTP/1.1 connection of a caller. Pipelined requests are served concurrently, and their
//! responses are written in the order of the requests.
//!
//! Each request is served by hyper on an in-memory connection of its own. This connection ends
//! after the response, so the end of a response is known without parsing it.

mod responses;

use std::{
    sync::{self, atomic},
    time,
};

use gotham::helpers::http::Body as GothamBody;
use hyper::{body, server::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _, Interest},
    net::{TcpStream, tcp},
    sync::{Notify, mpsc, oneshot, watch},
    task,
};

use crate::{framing, server};

/// The most requests of a connection that are served concurrently. Others wait in the socket.
const MAX_PIPELINED: usize = 32;
/// Bytes of a request or a response that its in-memory connection buffers.
const DUPLEX_BYTES: usize = 64 * 1024;
/// How often a connection whose bytes are not read is checked for whether the caller has left.
const CLOSE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// How long the caller may take to close the connection after the last response. If the server
/// closed first with bytes unread, the connection could be reset before the response is read.
const CLOSE_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Numbers of requests of a server, over all its connections.
#[derive(Default)]
pub(crate) struct RequestCounts {
    /// Requests in progress.
    pub(crate) active: atomic::AtomicUsize,
    /// Requests whose responses were written in full.
    pub(crate) finished: atomic::AtomicUsize,
}

/// State that the requests of one connection share.
pub(crate) struct Shared {
    inner: sync::Mutex<Inner>,
    /// Notified when a response has been written in full.
    changed: Notify,
    requests: sync::Arc<RequestCounts>,
}

struct Inner {
    /// Requests whose responses have not been written in full.
    active: usize,
    /// The number of the newest request. Numbers start at 1.
    newest: u64,
    /// When the connection was accepted, or its last response was written.
    idle_since: time::Instant,
    /// The server is stopping, so the next response should announce that the connection closes.
    closing: bool,
    /// A response announced that the connection closes. Later requests are not served.
    close_sent: bool,
}

/// A request's reference to its connection.
#[derive(Clone)]
pub(crate) struct Handle {
    shared: sync::Arc<Shared>,
    number: u64,
    /// Implementations may disagree on where the request ends, so it must be rejected.
    pub(crate) ambiguous: bool,
}

/// Where the bytes of a request are written for its handler.
type Input = tokio::io::WriteHalf<tokio::io::DuplexStream>;

/// Why reading requests ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReadEnd {
    /// The caller closed the connection, so nobody waits for the responses.
    Disconnected,
    /// No further request is read. The responses may still have to be written.
    Finished,
    /// The body of a request stalls. Its handler gets an error in place of the rest.
    Stalled,
    /// A time limit was exceeded; the text names it.
    Limit(&'static str),
}

impl Shared {
    pub(crate) fn new(requests: sync::Arc<RequestCounts>) -> Shared {
        let inner = Inner {
            active: 0,
            newest: 0,
            idle_since: time::Instant::now(),
            closing: false,
            close_sent: false,
        };
        Shared { inner: sync::Mutex::new(inner), changed: Notify::new(), requests }
    }

    fn lock(&self) -> sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Registers a new request and returns its number, or `None` if it is not served: a response has
    /// announced that the connection closes, or one in progress will do so since the server is
    /// stopping. Otherwise a caller that always has a request in progress would keep the connection
    /// open until the limit of the stop, which cuts its last requests.
    fn begin(&self, stopping: bool) -> Option<u64> {
        let mut inner = self.lock();
        inner.closing |= stopping;
        if inner.close_sent || inner.closing && inner.active > 0 {
            return None;
        }
        inner.active += 1;
        inner.newest += 1;
        self.requests.active.fetch_add(1, atomic::Ordering::Relaxed);
        Some(inner.newest)
    }

    /// Unregisters a request whose response has been written in full.
    fn finish(&self) {
        let mut inner = self.lock();
        inner.active -= 1;
        inner.idle_since = time::Instant::now();
        self.requests.active.fetch_sub(1, atomic::Ordering::Relaxed);
        self.requests.finished.fetch_add(1, atomic::Ordering::Relaxed);
        drop(inner);
        self.changed.notify_one();
    }

    /// When the connection is closed if no bytes arrive, with the reason; `None` while requests are
    /// in progress. `idle` says whether the connection is between two requests.
    fn deadline(
        &self,
        idle: bool,
        limits: &server::Limits,
    ) -> Option<(time::Instant, &'static str)> {
        let inner = self.lock();
        if inner.active > 0 {
            return None;
        }
        let between = idle && inner.newest > 0;
        Some(match between {
            true => (inner.idle_since + limits.idle_timeout, "idle timeout"),
            false => (inner.idle_since + limits.header_timeout, "timeout of a request's head"),
        })
    }
}

impl Drop for Shared {
    fn drop(&mut self) {
        let active = self.lock().active;
        self.requests.active.fetch_sub(active, atomic::Ordering::Relaxed);
    }
}

impl Handle {
    /// Whether the response must announce that the connection closes after it, because the server
    /// is stopping and no newer request has started. Requests behind it are not executed.
    pub(crate) fn closes(&self) -> bool {
        let mut inner = self.shared.lock();
        inner.close_sent |= inner.closing && inner.newest == self.number;
        inner.close_sent && inner.newest == self.number
    }
}

/// Serves a connection until it ends, calling `service` for each request. Returns why it ended
/// early, if it did.
pub(crate) async fn serve<S, F>(
    stream: TcpStream,
    limits: server::Limits,
    shared: sync::Arc<Shared>,
    stop: watch::Receiver<bool>,
    service: S,
) -> Result<(), &'static str>
where
    S: Fn(http::Request<body::Incoming>, Handle) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = http::Response<GothamBody>> + Send + 'static,
{
    let (mut socket, writing) = stream.into_split();
    let mut writing = ResetOnDrop { half: Some(writing), shared: sync::Arc::clone(&shared) };
    let (queue, responses) = mpsc::channel(MAX_PIPELINED);
    let mut tasks = task::JoinSet::new();
    let result = {
        let reader = read_requests(&mut socket, &limits, &shared, stop, queue, &mut tasks, service);
        let writer = responses::write_responses(writing.half.as_mut(), responses, &limits, &shared);
        tokio::pin!(reader, writer);
        tokio::select! {
            end = &mut reader => match end {
                ReadEnd::Finished | ReadEnd::Stalled => writer.await,
                ReadEnd::Disconnected => Err("the caller disconnected"),
                ReadEnd::Limit(reason) => {
                    log::info!("closed a connection: {reason}");
                    Ok(())
                }
            },
            result = &mut writer => result,
        }
    };
    // Aborting a task drops its handler's future, which cancels the work.
    tasks.shutdown().await;
    result?;
    if let Some(half) = writing.half.take() {
        close_gracefully(&mut socket, half).await;
    }
    Ok(())
}

/// The writing half of a connection. Resets the connection if it is dropped while a response is
/// incomplete: after an orderly end, a body without a declared length would look complete.
struct ResetOnDrop {
    half: Option<tcp::OwnedWriteHalf>,
    shared: sync::Arc<Shared>,
}

impl Drop for ResetOnDrop {
    fn drop(&mut self) {
        let Some(half) = self.half.take() else { return };
        if self.shared.lock().active == 0 {
            return;
        }
        if let Err(error) = half.as_ref().set_zero_linger() {
            log::debug!("cannot reset a connection: {error}");
        }
        half.forget();
    }
}

/// Closes the connection for writing and waits until the caller closes it, for at most
/// [`CLOSE_TIMEOUT`].
async fn close_gracefully(socket: &mut tcp::OwnedReadHalf, mut writing: tcp::OwnedWriteHalf) {
    if writing.shutdown().await.is_err() {
        return;
    }
    let mut rest = [0; 1_024];
    let drain = async { while matches!(socket.read(&mut rest).await, Ok(count) if count > 0) {} };
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, drain).await;
}

/// Reads requests and starts them, until the connection ends or no further request is wanted.
async fn read_requests<S, F>(
    socket: &mut tcp::OwnedReadHalf,
    limits: &server::Limits,
    shared: &sync::Arc<Shared>,
    mut stop: watch::Receiver<bool>,
    queue: mpsc::Sender<responses::Pending>,
    tasks: &mut task::JoinSet<()>,
    service: S,
) -> ReadEnd
where
    S: Fn(http::Request<body::Incoming>, Handle) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = http::Response<GothamBody>> + Send + 'static,
{
    let mut framer = framing::Framer::new(limits.max_header);
    let mut input = None;
    let mut last = false;
    loop {
        match framer.next() {
            framing::Event::More if last && shared.lock().active == 0 => return ReadEnd::Finished,
            framing::Event::More => {
                match read_more(socket, &mut framer, limits, shared, &mut stop).await {
                    None => {}
                    Some(ReadEnd::Finished) => return await_responses(socket, shared).await,
                    Some(ReadEnd::Stalled) => {
                        log::info!("a request's body stalls; no further request is read");
                        end_input(&mut input).await;
                        return await_responses(socket, shared).await;
                    }
                    Some(end) => return end,
                }
            }
            framing::Event::Start(start) => {
                while tasks.try_join_next().is_some() {}
                let room = tokio::select! {
                    it = queue.reserve() => it.ok(),
                    () = wait_for_close(socket) => None,
                };
                let Some(room) = room else { return ReadEnd::Disconnected };
                let Some(number) = shared.begin(*stop.borrow()) else {
                    return await_responses(socket, shared).await;
                };
                last = start.last;
                let handle =
                    Handle { shared: sync::Arc::clone(shared), number, ambiguous: start.ambiguous };
                let (pending, sink) = start_request(limits, handle, last, tasks, service.clone());
                room.send(pending);
                input = Some(sink);
            }
            framing::Event::Data(bytes) => {
                let Some(sink) = &mut input else { continue };
                let written = tokio::select! {
                    it = sink.write_all(&bytes) => it,
                    () = wait_for_close(socket) => return ReadEnd::Disconnected,
                };
                // The response is complete already, so the rest of the request is skipped.
                if written.is_err() {
                    input = None;
                }
            }
            framing::Event::Malformed => {
                end_input(&mut input).await;
                return await_responses(socket, shared).await;
            }
            framing::Event::End => {
                end_input(&mut input).await;
                if last {
                    drop(queue);
                    return await_responses(socket, shared).await;
                }
            }
        }
    }
}

/// Ends the input of the current request. When its body is incomplete, its handler gets an error.
async fn end_input(input: &mut Option<Input>) {
    if let Some(mut sink) = input.take() {
        // This fails when the request has been answered already.
        let _ = sink.shutdown().await;
    }
}

/// Completes when the caller has closed the connection, also when bytes before the close have not
/// been read.
async fn wait_for_close(socket: &tcp::OwnedReadHalf) {
    loop {
        // Unread bytes make the socket ready at once, so it is checked at intervals.
        tokio::time::sleep(CLOSE_CHECK_INTERVAL).await;
        let ready = socket.ready(Interest::READABLE).await;
        if ready.is_ok_and(|it| it.is_read_closed()) {
            return;
        }
    }
}

/// Reads more bytes into the framer. Returns an end if no further request is to be read.
async fn read_more(
    socket: &mut tcp::OwnedReadHalf,
    framer: &mut framing::Framer,
    limits: &server::Limits,
    shared: &Shared,
    stop: &mut watch::Receiver<bool>,
) -> Option<ReadEnd> {
    let stall = tokio::time::Instant::now() + limits.idle_timeout;
    let in_body = framer.is_in_body();
    let deadline = shared.deadline(framer.is_idle(), limits);
    if *stop.borrow_and_update() {
        let idle = framer.is_idle();
        let mut inner = shared.lock();
        inner.closing = true;
        if inner.close_sent || idle && inner.active == 0 {
            return Some(ReadEnd::Finished);
        }
    }
    let expired = async {
        match deadline {
            Some((at, _)) => tokio::time::sleep_until(at.into()).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        count = socket.read_buf(framer.buffer()) => match count {
            Ok(count) if count > 0 => None,
            _ => Some(ReadEnd::Disconnected),
        },
        () = expired => deadline.map(|it| ReadEnd::Limit(it.1)),
        () = tokio::time::sleep_until(stall), if in_body => Some(ReadEnd::Stalled),
        // A response was written, which may have made the connection idle.
        () = shared.changed.notified() => None,
        changed = stop.changed() => match changed {
            Ok(()) => None,
            Err(_) => Some(ReadEnd::Disconnected),
        },
    }
}

/// Waits until all responses are written or the caller disconnects. Received bytes are discarded.
async fn await_responses(socket: &mut tcp::OwnedReadHalf, shared: &Shared) -> ReadEnd {
    let mut rest = [0; 1_024];
    loop {
        if shared.lock().active == 0 {
            return ReadEnd::Finished;
        }
        tokio::select! {
            count = socket.read(&mut rest) => match count {
                Ok(count) if count > 0 => {}
                _ => return ReadEnd::Disconnected,
            },
            () = shared.changed.notified() => {}
        }
    }
}

/// Starts a task that serves one request. Returns the response in progress, and where to write the
/// bytes of the request.
fn start_request<S, F>(
    limits: &server::Limits,
    handle: Handle,
    last: bool,
    tasks: &mut task::JoinSet<()>,
    service: S,
) -> (responses::Pending, Input)
where
    S: Fn(http::Request<body::Incoming>, Handle) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = http::Response<GothamBody>> + Send + 'static,
{
    let (near, far) = tokio::io::duplex(DUPLEX_BYTES);
    let (output, input) = tokio::io::split(near);
    let (done, complete) = oneshot::channel();
    let pending = responses::Pending { output, complete, handle: handle.clone(), last };
    let mut builder = http1::Builder::new();
    // The input ends with the request, while the response is still to come.
    builder.half_close(true).max_buf_size(limits.max_header);
    let handler = hyper::service::service_fn(move |request| {
        let response = service(request, handle.clone());
        async move { Ok::<_, std::convert::Infallible>(response.await) }
    });
    tasks.spawn(async move {
        let result = builder.serve_connection(TokioIo::new(far), handler).await;
        if let Err(error) = &result {
            log::debug!("serving a request failed: {error}");
        }
        // The error response of hyper to a malformed request is complete as well.
        let complete = result.as_ref().map_or_else(hyper::Error::is_parse, |()| true);
        let _ = done.send(complete);
    });
    (pending, input)
}
