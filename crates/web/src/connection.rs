//! One connection of a caller. Requests that arrive behind each other are served at the same time,
//! and their answers go back in the order of the requests.
//!
//! Each request has a lane: an HTTP connection of its own, inside the process, that carries the one
//! request. The lane ends with its answer, which tells where the answer ends without reading it.

use std::{
    io,
    sync::{self, atomic},
    time,
};

use gotham::helpers::http::Body as GothamBody;
use hyper::{body, server::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpStream, tcp},
    sync::{Notify, mpsc, oneshot, watch},
    task,
};

use crate::{framing, server};

/// Requests of one connection that are served at the same time; more wait in the socket.
const MAX_LANES: usize = 32;
/// Bytes of a request or an answer that wait inside a lane.
const LANE_BYTES: usize = 64 * 1024;
/// How long the caller may take to close a connection after the last answer. Closing first, with
/// bytes unread, could reset the connection before the answer is read.
const LAST_BYTES: time::Duration = time::Duration::from_millis(500);

/// Requests of a server, over all its connections.
#[derive(Default)]
pub(crate) struct Requests {
    /// Begun and neither answered in full nor cut off.
    pub(crate) active: atomic::AtomicUsize,
    /// Answered in full.
    pub(crate) finished: atomic::AtomicUsize,
}

/// What the requests of one connection share.
pub(crate) struct Shared {
    inner: sync::Mutex<Inner>,
    changed: Notify,
    requests: sync::Arc<Requests>,
}

struct Inner {
    /// Requests whose answers have not been written in full.
    active: usize,
    /// The number of the newest request.
    newest: u64,
    /// When the connection was accepted, or its last answer was written.
    since: time::Instant,
    /// No further requests are wanted.
    closing: bool,
    /// The answer that tells the caller so has been given.
    closed: bool,
}

/// A request as its lane knows it.
#[derive(Clone)]
pub(crate) struct Turn {
    shared: sync::Arc<Shared>,
    number: u64,
    /// It must be refused, since two readers could disagree on where it ends.
    pub(crate) ambiguous: bool,
}

/// The answer of a lane, and whether it is complete once it has ended.
struct Lane {
    output: tokio::io::ReadHalf<tokio::io::DuplexStream>,
    whole: oneshot::Receiver<bool>,
}

/// Why a connection ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// The caller left; nobody waits for the answers.
    Gone,
    /// No request comes any more; the answers are still to be written.
    Last,
    /// A limit was exceeded.
    Limit(&'static str),
}

impl Shared {
    pub(crate) fn new(requests: sync::Arc<Requests>) -> Shared {
        let inner = Inner {
            active: 0,
            newest: 0,
            since: time::Instant::now(),
            closing: false,
            closed: false,
        };
        Shared { inner: sync::Mutex::new(inner), changed: Notify::new(), requests }
    }

    fn lock(&self) -> sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Begins a request, unless an answer has told the caller that none is taken.
    fn begin(&self) -> Option<u64> {
        let mut inner = self.lock();
        if inner.closed {
            return None;
        }
        inner.active += 1;
        inner.newest += 1;
        self.requests.active.fetch_add(1, atomic::Ordering::Relaxed);
        Some(inner.newest)
    }

    fn finish(&self) {
        let mut inner = self.lock();
        inner.active -= 1;
        inner.since = time::Instant::now();
        self.requests.active.fetch_sub(1, atomic::Ordering::Relaxed);
        self.requests.finished.fetch_add(1, atomic::Ordering::Relaxed);
        drop(inner);
        self.changed.notify_one();
    }

    /// When the connection is to be closed unless bytes arrive; none while it is in use.
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
            true => (inner.since + limits.idle_timeout, "idle"),
            false => (inner.since + limits.header_timeout, "slow header"),
        })
    }
}

impl Drop for Shared {
    fn drop(&mut self) {
        let active = self.lock().active;
        self.requests.active.fetch_sub(active, atomic::Ordering::Relaxed);
    }
}

impl Turn {
    /// Whether this answer has to tell the caller that the connection closes after it. That is the
    /// last answer: what was sent behind it counts as not read.
    pub(crate) fn closes(&self) -> bool {
        let mut inner = self.shared.lock();
        inner.closed |= inner.closing && inner.newest == self.number;
        inner.closed && inner.newest == self.number
    }
}

/// Serves a connection until it ends. `serve` serves a lane's HTTP connection.
pub(crate) async fn serve<S, F>(
    stream: TcpStream,
    limits: server::Limits,
    shared: sync::Arc<Shared>,
    stop: watch::Receiver<bool>,
    service: S,
) -> Result<(), &'static str>
where
    S: Fn(http::Request<body::Incoming>, Turn) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = http::Response<GothamBody>> + Send + 'static,
{
    let (mut reading, writing) = stream.into_split();
    let mut writing = Writing { half: Some(writing), shared: sync::Arc::clone(&shared) };
    let (order, lanes) = mpsc::channel(MAX_LANES);
    let mut tasks = task::JoinSet::new();
    let result = {
        let reader = read(&mut reading, &limits, &shared, stop, order, &mut tasks, service);
        let writer = write(writing.half.as_mut(), lanes, &limits, &shared);
        tokio::pin!(reader, writer);
        tokio::select! {
            end = &mut reader => match end {
                End::Last => writer.await,
                End::Gone => Err("the caller left"),
                End::Limit(reason) => {
                    log::info!("closed a connection: {reason}");
                    Ok(())
                }
            },
            result = &mut writer => result,
        }
    };
    // Dropping a lane drops its handler's future, which cancels its work.
    tasks.shutdown().await;
    result?;
    if let Some(half) = writing.half.take() {
        close(&mut reading, half).await;
    }
    Ok(())
}

/// The side of a connection that answers are written to. Dropped while an answer is not complete,
/// it resets the connection: an orderly end would make a body without declared length look whole.
struct Writing {
    half: Option<tcp::OwnedWriteHalf>,
    shared: sync::Arc<Shared>,
}

impl Drop for Writing {
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

/// Ends the connection in good order.
async fn close(reading: &mut tcp::OwnedReadHalf, mut writing: tcp::OwnedWriteHalf) {
    if writing.shutdown().await.is_err() {
        return;
    }
    let mut rest = [0; 1_024];
    let drain = async { while matches!(reading.read(&mut rest).await, Ok(count) if count > 0) {} };
    let _ = tokio::time::timeout(LAST_BYTES, drain).await;
}

async fn read<S, F>(
    reading: &mut tcp::OwnedReadHalf,
    limits: &server::Limits,
    shared: &sync::Arc<Shared>,
    mut stop: watch::Receiver<bool>,
    order: mpsc::Sender<Lane>,
    tasks: &mut task::JoinSet<()>,
    service: S,
) -> End
where
    S: Fn(http::Request<body::Incoming>, Turn) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = http::Response<GothamBody>> + Send + 'static,
{
    let mut framer = framing::Framer::new(limits.max_header);
    let mut input = None;
    let mut last = false;
    loop {
        match framer.next() {
            framing::Event::More if last && shared.lock().active == 0 => return End::Last,
            framing::Event::More => {
                match receive(reading, &mut framer, limits, shared, &mut stop).await {
                    None => {}
                    Some(end) => return end,
                }
            }
            framing::Event::Start(start) => {
                while tasks.try_join_next().is_some() {}
                let Some(number) = shared.begin() else { return End::Last };
                last = start.last;
                let turn =
                    Turn { shared: sync::Arc::clone(shared), number, ambiguous: start.ambiguous };
                let (lane, sink) = open(limits, turn, tasks, service.clone());
                if order.send(lane).await.is_err() {
                    return End::Gone;
                }
                input = Some(sink);
            }
            framing::Event::Data(bytes) => {
                let Some(sink) = &mut input else { continue };
                // A lane that has answered takes no more; what remains of its request is skipped.
                if sink.write_all(&bytes).await.is_err() {
                    input = None;
                }
            }
            framing::Event::End => {
                if let Some(mut sink) = input.take() {
                    let _ = sink.shutdown().await;
                }
                if last {
                    drop(order);
                    return linger(reading, shared).await;
                }
            }
        }
    }
}

/// Reads bytes. Returns when the connection ends instead.
async fn receive(
    reading: &mut tcp::OwnedReadHalf,
    framer: &mut framing::Framer,
    limits: &server::Limits,
    shared: &Shared,
    stop: &mut watch::Receiver<bool>,
) -> Option<End> {
    let deadline = shared.deadline(framer.is_idle(), limits);
    if *stop.borrow_and_update() {
        let idle = framer.is_idle();
        let mut inner = shared.lock();
        inner.closing = true;
        if inner.closed || idle && inner.active == 0 {
            return Some(End::Last);
        }
    }
    let expired = async {
        match deadline {
            Some((at, _)) => tokio::time::sleep_until(at.into()).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        count = reading.read_buf(framer.buffer()) => match count {
            Ok(count) if count > 0 => None,
            _ => Some(End::Gone),
        },
        () = expired => deadline.map(|it| End::Limit(it.1)),
        // The answers written meanwhile may have made the connection idle.
        () = shared.changed.notified() => None,
        changed = stop.changed() => match changed {
            Ok(()) => None,
            Err(_) => Some(End::Gone),
        },
    }
}

/// Waits for the answers after the last request, as long as the caller is there.
async fn linger(reading: &mut tcp::OwnedReadHalf, shared: &Shared) -> End {
    let mut rest = [0; 1_024];
    loop {
        if shared.lock().active == 0 {
            return End::Last;
        }
        tokio::select! {
            count = reading.read(&mut rest) => match count {
                Ok(count) if count > 0 => {}
                _ => return End::Gone,
            },
            () = shared.changed.notified() => {}
        }
    }
}

/// Starts a lane for one request. Returns its answer and where its bytes go.
fn open<S, F>(
    limits: &server::Limits,
    turn: Turn,
    tasks: &mut task::JoinSet<()>,
    service: S,
) -> (Lane, tokio::io::WriteHalf<tokio::io::DuplexStream>)
where
    S: Fn(http::Request<body::Incoming>, Turn) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = http::Response<GothamBody>> + Send + 'static,
{
    let (near, far) = tokio::io::duplex(LANE_BYTES);
    let (output, input) = tokio::io::split(near);
    let (done, whole) = oneshot::channel();
    let mut builder = http1::Builder::new();
    // The lane's input ends with its request, while the answer is still to come.
    builder.half_close(true).max_buf_size(limits.max_header);
    let handle = hyper::service::service_fn(move |request| {
        let answer = service(request, turn.clone());
        async move { Ok::<_, std::convert::Infallible>(answer.await) }
    });
    tasks.spawn(async move {
        let result = builder.serve_connection(TokioIo::new(far), handle).await;
        if let Err(error) = &result {
            log::debug!("a request ended early: {error}");
        }
        // What hyper answers to a malformed request is whole as well.
        let whole = result.as_ref().map_or_else(hyper::Error::is_parse, |()| true);
        let _ = done.send(whole);
    });
    (Lane { output, whole }, input)
}

/// Writes the answers in the order of their requests.
async fn write(
    writing: Option<&mut tcp::OwnedWriteHalf>,
    mut lanes: mpsc::Receiver<Lane>,
    limits: &server::Limits,
    shared: &Shared,
) -> Result<(), &'static str> {
    let Some(writing) = writing else { return Ok(()) };
    let mut buffer = bytes::BytesMut::with_capacity(8 * 1024);
    while let Some(mut lane) = lanes.recv().await {
        loop {
            buffer.clear();
            let count = lane.output.read_buf(&mut buffer).await.unwrap_or(0);
            if count == 0 {
                break;
            }
            let written =
                tokio::time::timeout(limits.idle_timeout, writing.write_all(&buffer)).await;
            match written.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())) {
                Ok(()) => {}
                Err(_) => return Err("the answer was not read"),
            }
        }
        match lane.whole.await {
            Ok(true) => shared.finish(),
            _ => return Err("the answer is not complete"),
        }
    }
    Ok(())
}
