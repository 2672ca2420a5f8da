//! The two directions of a stream, which carry messages and after them optionally raw bytes.
//!
//! The receiver sees the end of a stream only if the sender has finished it. Otherwise it gets an
//! error.

use std::sync::{self, atomic};

use bytes::{Bytes, BytesMut};
use serde::{Serialize, de};
use tokio::sync::watch;

use crate::{codec, codes, errors, pacer, wire};

/// The most bytes that one call of [`Receiver::recv_bytes`] returns.
const MAX_CHUNK: usize = 64 * 1024;

/// Counts a stream as active while it exists, so that a graceful close waits for the stream.
pub(crate) type ActiveGuard = sync::Arc<watch::Receiver<()>>;

/// The sending direction of a stream. Dropping it without [`Sender::finish`] resets the stream.
pub struct Sender {
    stream: quinn::SendStream,
    state: State,
    guard: ActiveGuard,
    outlet: Outlet,
}

/// Where the messages of a stream wait for the host's network link and are counted.
pub(crate) struct Outlet {
    pub(crate) pacer: pacer::LinkPacer,
    pub(crate) wire: sync::Arc<wire::Wire>,
    pub(crate) kind: wire::Kind,
    /// The place that messages have at least, however short they are.
    pub(crate) size: pacer::Size,
}

/// The receiving direction of a stream. Dropping it asks the sender to stop.
pub struct Receiver {
    stream: quinn::RecvStream,
    partial: PartialFrame,
    /// How the stream ended. It is kept because quinn reports a reset only once, and after it an
    /// orderly end.
    end: Option<errors::Result<()>>,
    connection: quinn::Connection,
    _guard: ActiveGuard,
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum State {
    /// No write is in progress.
    Open,
    /// A write is in progress, has failed, or its future was dropped.
    Writing,
    /// The stream is finished.
    Ended,
}

/// The received bytes of an incomplete frame. They count towards the limit of the link.
struct PartialFrame {
    bytes: BytesMut,
    /// Bytes of incomplete frames, over all streams of the link.
    total: sync::Arc<atomic::AtomicUsize>,
    /// The largest `total`.
    limit: usize,
}

impl Sender {
    pub(crate) fn new(stream: quinn::SendStream, guard: ActiveGuard, outlet: Outlet) -> Sender {
        Sender { stream, state: State::Open, guard, outlet }
    }

    /// Sends a message, waiting while the receiver's window is full.
    ///
    /// If the future is dropped or fails, the stream can only be reset: later calls fail with
    /// [`errors::Error::Partial`].
    pub async fn send<T: Serialize>(&mut self, message: &T) -> errors::Result<()> {
        let frame = codec::encode(message)?;
        self.send_bytes(frame).await
    }

    /// Sends a message followed by raw bytes, like [`Sender::send`] and [`Sender::send_bytes`]. On a
    /// full network link both wait together, once.
    pub async fn send_with<T: Serialize>(
        &mut self,
        message: &T,
        bytes: &[u8],
    ) -> errors::Result<()> {
        self.send_counted(message, bytes, |_| {}).await
    }

    /// Does the same as [`Sender::send_with`], and calls `on_sent` with the size of each piece that
    /// was passed to the link.
    pub async fn send_counted<T: Serialize>(
        &mut self,
        message: &T,
        bytes: &[u8],
        on_sent: impl FnMut(usize),
    ) -> errors::Result<()> {
        let mut frame = BytesMut::from(codec::encode(message)?);
        frame.extend_from_slice(bytes);
        self.send_pieces(frame.freeze(), on_sent).await
    }

    /// Sends raw bytes, which the peer reads with [`Receiver::recv_bytes`]. No message may follow
    /// them. A dropped or failed future has the same effect as for [`Sender::send`].
    pub async fn send_bytes(&mut self, bytes: Bytes) -> errors::Result<()> {
        self.send_pieces(bytes, |_| {}).await
    }

    async fn send_pieces(
        &mut self,
        bytes: Bytes,
        mut on_sent: impl FnMut(usize),
    ) -> errors::Result<()> {
        if self.state != State::Open {
            return Err(errors::Error::Partial);
        }
        self.state = State::Writing;
        match self.outlet.pacer.clone() {
            None => self.write(bytes).await?,
            Some(pacer) => {
                let size = match self.outlet.size {
                    pacer::Size::Small => pacer::Size::of(bytes.len()),
                    pacer::Size::Large => pacer::Size::Large,
                };
                let mut pieces = pacer.queue(bytes, size);
                while let Some(piece) = pieces.next().await {
                    let length = piece.len();
                    self.write(piece).await?;
                    on_sent(length);
                }
            }
        }
        self.state = State::Open;
        Ok(())
    }

    /// Gives all that follows the place of large messages, since it is a part of one.
    pub fn make_large(&mut self) {
        self.outlet.size = pacer::Size::Large;
    }

    async fn write(&mut self, bytes: Bytes) -> errors::Result<()> {
        let Outlet { wire, kind, .. } = &self.outlet;
        wire.count_message(*kind, bytes.len());
        Ok(self.stream.write_chunk(bytes).await?)
    }

    /// Ends the stream as complete. If an earlier write was dropped or has failed, it resets the
    /// stream and fails with [`errors::Error::Partial`].
    pub fn finish(mut self) -> errors::Result<()> {
        if self.state != State::Open {
            return Err(errors::Error::Partial);
        }
        let finished = self.stream.finish();
        if finished.is_err() {
            return Err(errors::Error::Partial);
        }
        self.state = State::Ended;
        // Closing the link discards data that the peer has not acknowledged, so the stream counts
        // as active until all of it is acknowledged.
        let guard = self.guard.clone();
        let stopped = self.stream.stopped();
        tokio::spawn(async move {
            let _ = stopped.await;
            drop(guard);
        });
        Ok(())
    }

    /// Ends the stream as incomplete, the same as dropping the sender.
    pub fn reset(self) {
        drop(self);
    }

    /// Completes when the peer stops reading the stream or the link breaks, so that work on the
    /// response can be cancelled. It also completes when the peer has received a finished stream.
    pub fn cancelled(&self) -> impl Future<Output = ()> + Send + Sync + use<> {
        let stopped = self.stream.stopped();
        async move {
            let _ = stopped.await;
        }
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        // quinn finishes a dropped stream, which would make a truncated one look complete.
        if self.state != State::Ended {
            let _ = self.stream.reset(codes::Code::Cancelled.value());
        }
    }
}

impl Receiver {
    pub(crate) fn new(
        stream: quinn::RecvStream,
        connection: quinn::Connection,
        total: sync::Arc<atomic::AtomicUsize>,
        limit: usize,
        guard: ActiveGuard,
    ) -> Receiver {
        let partial = PartialFrame { bytes: BytesMut::new(), total, limit };
        Receiver { stream, partial, end: None, connection, _guard: guard }
    }

    /// Receives the next message, or `None` when the sender has finished the stream.
    ///
    /// The future may be dropped without losing data. A frame that cannot be decoded, or too many
    /// bytes of incomplete frames, close the link.
    pub async fn recv<T: de::DeserializeOwned>(&mut self) -> errors::Result<Option<T>> {
        loop {
            let missing = self.partial.missing().map_err(|it| self.close_link(it))?;
            if missing == 0 {
                let frame = self.partial.take();
                return codec::decode(&frame).map(Some).map_err(|it| self.close_link(it));
            }
            match self.read_chunk(missing).await? {
                Some(bytes) if self.partial.add(&bytes) => {}
                Some(_) => {
                    self.connection.close(codes::Code::Memory.value(), b"incomplete frames");
                    return Err(errors::Error::Memory);
                }
                None if self.partial.bytes.is_empty() => return Ok(None),
                None => return Err(self.close_link(codec::Error::Truncated)),
            }
        }
    }

    /// Receives up to 64 KiB of raw bytes, or `None` when the sender has finished the stream. Fails
    /// with [`errors::Error::Partial`] inside a message.
    pub async fn recv_bytes(&mut self) -> errors::Result<Option<Bytes>> {
        if !self.partial.bytes.is_empty() {
            return Err(errors::Error::Partial);
        }
        self.read_chunk(MAX_CHUNK).await
    }

    async fn read_chunk(&mut self, limit: usize) -> errors::Result<Option<Bytes>> {
        if let Some(end) = &self.end {
            return end.clone().map(|()| None);
        }
        match self.stream.read_chunk(limit, true).await {
            Ok(Some(chunk)) => return Ok(Some(chunk.bytes)),
            Ok(None) => self.end = Some(Ok(())),
            Err(error) => self.end = Some(Err(error.into())),
        }
        self.end.clone().unwrap_or(Ok(())).map(|()| None)
    }

    /// Closes the link because of a frame that cannot be decoded.
    fn close_link(&self, error: codec::Error) -> errors::Error {
        let code = codes::Code::for_frame(error);
        log::warn!(
            "closing the link to {} after a bad frame: {error}",
            self.connection.remote_address()
        );
        self.connection.close(code.value(), b"bad frame");
        errors::Error::Codec(error)
    }
}

impl PartialFrame {
    /// How many bytes are missing from the frame, or from its length field while that is
    /// incomplete.
    fn missing(&self) -> codec::Result<usize> {
        let Some((prefix, body)) = self.bytes.split_first_chunk() else {
            return Ok(codec::LENGTH_SIZE - self.bytes.len());
        };
        Ok(codec::read_length(*prefix)? - body.len())
    }

    /// Adds received bytes. Returns `false` if the link now exceeds its limit. Memory grows with
    /// the bytes received, not with the length that the peer declares.
    fn add(&mut self, bytes: &[u8]) -> bool {
        let before = self.total.fetch_add(bytes.len(), atomic::Ordering::Relaxed);
        self.bytes.extend_from_slice(bytes);
        before + bytes.len() <= self.limit
    }

    /// Removes and returns all bytes.
    fn take(&mut self) -> BytesMut {
        self.total.fetch_sub(self.bytes.len(), atomic::Ordering::Relaxed);
        self.bytes.split()
    }
}

impl Drop for PartialFrame {
    fn drop(&mut self) {
        self.take();
    }
}

impl From<quinn::WriteError> for errors::Error {
    fn from(error: quinn::WriteError) -> errors::Error {
        match error {
            quinn::WriteError::Stopped(code) => errors::Error::Stopped { code: code.into_inner() },
            quinn::WriteError::ConnectionLost(it) => errors::Error::Lost(it),
            quinn::WriteError::ClosedStream | quinn::WriteError::ZeroRttRejected => {
                errors::Error::Partial
            }
        }
    }
}

impl From<quinn::ReadError> for errors::Error {
    fn from(error: quinn::ReadError) -> errors::Error {
        match error {
            quinn::ReadError::Reset(code) => errors::Error::Reset { code: code.into_inner() },
            quinn::ReadError::ConnectionLost(it) => errors::Error::Lost(it),
            quinn::ReadError::ClosedStream
            | quinn::ReadError::IllegalOrderedRead
            | quinn::ReadError::ZeroRttRejected => errors::Error::Partial,
        }
    }
}
