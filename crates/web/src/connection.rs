//! What one connection is doing, seen from its socket and its handler.
//!
//! hyper's own header timeout also runs while a connection is idle, so it cannot be shorter than
//! the idle time. It also has no limit on a caller that does not read its answer.

use std::{
    pin::Pin,
    sync::{self, atomic},
    task, time,
};

use bytes::Bytes;
use hyper::body;
use tokio::{io, net};

use crate::server;

/// Requests of a server, over all its connections.
#[derive(Default)]
pub(crate) struct Requests {
    /// Begun and neither answered in full nor cut off.
    pub(crate) active: atomic::AtomicUsize,
    /// Answered in full.
    pub(crate) finished: atomic::AtomicUsize,
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Phase {
    /// Waiting for a request.
    Idle,
    /// Inside the head of a request. A new connection begins here.
    Head,
    /// From the end of the head to the end of the answer.
    Work,
    /// The answer is complete but not yet written to the socket.
    Answered,
}

/// The state of one connection.
pub(crate) struct Watch {
    inner: sync::Mutex<Inner>,
    requests: sync::Arc<Requests>,
}

struct Inner {
    phase: Phase,
    since: time::Instant,
    /// Since when the caller's window has been full.
    blocked: Option<time::Instant>,
}

/// The socket of a connection, reporting to its watch.
pub(crate) struct Socket {
    stream: net::TcpStream,
    watch: sync::Arc<Watch>,
}

/// The body of an answer, reporting its end to the watch.
pub(crate) struct Tracked<B> {
    body: B,
    watch: sync::Arc<Watch>,
    /// Bytes still expected by a declared length.
    left: Option<u64>,
    whole: bool,
}

impl Watch {
    pub(crate) fn new(requests: sync::Arc<Requests>) -> Watch {
        let inner = Inner { phase: Phase::Head, since: time::Instant::now(), blocked: None };
        Watch { inner: sync::Mutex::new(inner), requests }
    }

    /// Notes that a request's head is complete.
    pub(crate) fn begin(&self) {
        let mut inner = self.lock();
        if inner.phase == Phase::Answered {
            // A pipelined request was read before the last answer was flushed.
            self.count_finished();
        }
        inner.enter(Phase::Work);
        self.requests.active.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Completes when the connection has been in a phase for longer than its limit.
    pub(crate) async fn expired(&self, limits: &server::Limits) -> &'static str {
        loop {
            let left = match self.lock().left(limits) {
                Ok(left) => left,
                Err(reason) => return reason,
            };
            // The shortest limit, since the phase may change meanwhile.
            let pause = left.min(limits.header_time).min(limits.idle);
            tokio::time::sleep(pause.max(time::Duration::from_millis(1))).await;
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn count_finished(&self) {
        self.requests.active.fetch_sub(1, atomic::Ordering::Relaxed);
        self.requests.finished.fetch_add(1, atomic::Ordering::Relaxed);
    }
}

impl Inner {
    fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        self.since = time::Instant::now();
    }

    fn left(&self, limits: &server::Limits) -> Result<time::Duration, &'static str> {
        let (since, limit, reason) = match (self.phase, self.blocked) {
            (Phase::Idle, _) => (self.since, limits.idle, "idle"),
            (Phase::Head, _) => (self.since, limits.header_time, "slow header"),
            (_, Some(blocked)) => (blocked, limits.idle, "answer not read"),
            (_, None) => return Ok(limits.idle),
        };
        limit.checked_sub(since.elapsed()).filter(|it| !it.is_zero()).ok_or(reason)
    }
}

impl Socket {
    pub(crate) fn new(stream: net::TcpStream, watch: sync::Arc<Watch>) -> Socket {
        Socket { stream, watch }
    }
}

impl io::AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut io::ReadBuf<'_>,
    ) -> task::Poll<Result<(), std::io::Error>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            let mut inner = self.watch.lock();
            if inner.phase == Phase::Idle {
                inner.enter(Phase::Head);
            }
        }
        result
    }
}

impl io::AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<Result<usize, std::io::Error>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.note_write(result.is_pending());
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> task::Poll<Result<usize, std::io::Error>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.note_write(result.is_pending());
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// hyper flushes the socket only when its own buffer is empty.
    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Result<(), std::io::Error>> {
        let result = Pin::new(&mut self.stream).poll_flush(context);
        let mut inner = self.watch.lock();
        if result.is_ready() && inner.phase == Phase::Answered {
            self.watch.count_finished();
            inner.enter(Phase::Idle);
        }
        drop(inner);
        result
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Result<(), std::io::Error>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl Socket {
    fn note_write(&self, pending: bool) {
        let mut inner = self.watch.lock();
        if pending {
            inner.blocked.get_or_insert_with(time::Instant::now);
        } else {
            inner.blocked = None;
        }
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        let phase = self.watch.lock().phase;
        if !matches!(phase, Phase::Work | Phase::Answered) {
            return;
        }
        self.watch.requests.active.fetch_sub(1, atomic::Ordering::Relaxed);
        // An orderly end would make a body without declared length look whole, so the connection
        // is reset.
        if let Err(error) = self.stream.set_zero_linger() {
            log::debug!("cannot reset a connection: {error}");
        }
    }
}

impl<B> Tracked<B> {
    /// Tracks a body of which `left` bytes are declared; `whole` when none of it is sent.
    pub(crate) fn new(
        body: B,
        watch: sync::Arc<Watch>,
        left: Option<u64>,
        whole: bool,
    ) -> Tracked<B> {
        Tracked { body, watch, left, whole }
    }
}

impl<B> body::Body for Tracked<B>
where
    B: body::Body<Data = Bytes> + Unpin,
{
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, B::Error>>> {
        let frame = task::ready!(Pin::new(&mut self.body).poll_frame(context));
        match &frame {
            Some(Ok(frame)) => {
                let length = frame.data_ref().map_or(0, |it| it.len() as u64);
                self.left = self.left.map(|it| it.saturating_sub(length));
                self.whole = self.left == Some(0) || self.body.is_end_stream();
            }
            Some(Err(_)) => self.whole = false,
            None => self.whole = self.left.is_none_or(|it| it == 0),
        }
        task::Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.body.size_hint()
    }
}

impl<B> Drop for Tracked<B> {
    fn drop(&mut self) {
        let mut inner = self.watch.lock();
        if self.whole && inner.phase == Phase::Work {
            inner.enter(Phase::Answered);
        }
    }
}
