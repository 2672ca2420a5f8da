//! The two directions of a stream: messages, then optionally raw bytes up to its end.
//!
//! A stream that was not finished by its sender never looks finished to its receiver.

use std::sync::{self, atomic};

use bytes::{Bytes, BytesMut};
use serde::{Serialize, de};
use tokio::sync::watch;

use crate::{codec, codes, errors};

/// Bytes returned by one call of [`Receiver::recv_bytes`] at most.
const MAX_CHUNK: usize = 64 * 1024;

/// Marks a stream as in flight, so that a graceful close can wait for it.
pub(crate) type Flight = sync::Arc<watch::Receiver<()>>;

/// The sending direction of a stream. Dropping it before [`Sender::finish`] resets the stream.
pub struct Sender {
    stream: quinn::SendStream,
    state: State,
    flight: Flight,
}

/// The receiving direction of a stream. Dropping it tells the sender to stop.
pub struct Receiver {
    stream: quinn::RecvStream,
    partial: Partial,
    /// How the stream ended. quinn reports a reset once and an end after it.
    end: Option<errors::Result<()>>,
    connection: quinn::Connection,
    _flight: Flight,
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum State {
    /// Between two writes.
    Open,
    /// Inside a write; it stays so when the write's future is dropped or fails.
    Writing,
    /// Finished or reset.
    Ended,
}

/// Bytes of an incomplete frame, counted in its link's total.
struct Partial {
    bytes: BytesMut,
    total: sync::Arc<atomic::AtomicUsize>,
    limit: usize,
}

impl Sender {
    pub(crate) fn new(stream: quinn::SendStream, flight: Flight) -> Sender {
        Sender { stream, state: State::Open, flight }
    }

    /// Sends a message, waiting while the receiver's window is full.
    ///
    /// A dropped future leaves the stream unusable: it can then only be reset.
    pub async fn send<T: Serialize>(&mut self, message: &T) -> errors::Result<()> {
        let frame = codec::encode(message)?;
        self.send_bytes(frame).await
    }

    /// Sends raw bytes, which the peer reads with [`Receiver::recv_bytes`]. No message may follow.
    pub async fn send_bytes(&mut self, bytes: Bytes) -> errors::Result<()> {
        if self.state != State::Open {
            return Err(errors::Error::Partial);
        }
        self.state = State::Writing;
        self.stream.write_chunk(bytes).await?;
        self.state = State::Open;
        Ok(())
    }

    /// Ends the stream as complete. A stream with an abandoned or failed write is reset instead.
    pub fn finish(mut self) -> errors::Result<()> {
        if self.state != State::Open {
            return Err(errors::Error::Partial);
        }
        let finished = self.stream.finish();
        if finished.is_err() {
            return Err(errors::Error::Partial);
        }
        self.state = State::Ended;
        // Closing the link discards what the peer has not acknowledged yet, so the stream counts
        // as in flight until then.
        let flight = self.flight.clone();
        let stopped = self.stream.stopped();
        tokio::spawn(async move {
            let _ = stopped.await;
            drop(flight);
        });
        Ok(())
    }

    /// Ends the stream as incomplete.
    pub fn reset(self) {
        drop(self);
    }

    /// Completes when the peer stops reading the stream or the link breaks, which cancels work for
    /// an answer that nobody waits for.
    pub fn cancelled(&self) -> impl Future<Output = ()> + Send + Sync + use<> {
        let stopped = self.stream.stopped();
        async move {
            let _ = stopped.await;
        }
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        // quinn finishes a stream that is dropped, which would make a truncated one look whole.
        if self.state != State::Ended {
            let _ = self.stream.reset(codes::Code::Cancelled.to_varint());
        }
    }
}

impl Receiver {
    pub(crate) fn new(
        stream: quinn::RecvStream,
        connection: quinn::Connection,
        total: sync::Arc<atomic::AtomicUsize>,
        limit: usize,
        flight: Flight,
    ) -> Receiver {
        let partial = Partial { bytes: BytesMut::new(), total, limit };
        Receiver { stream, partial, end: None, connection, _flight: flight }
    }

    /// Receives the next message, or `None` when the sender has finished the stream.
    ///
    /// A dropped future loses nothing. A frame that cannot be decoded closes the link.
    pub async fn recv<T: de::DeserializeOwned>(&mut self) -> errors::Result<Option<T>> {
        loop {
            let missing = self.partial.missing().map_err(|it| self.close(it))?;
            if missing == 0 {
                let frame = self.partial.take();
                return codec::decode(&frame).map(Some).map_err(|it| self.close(it));
            }
            match self.read(missing).await? {
                Some(bytes) if self.partial.add(&bytes) => {}
                Some(_) => {
                    self.connection.close(codes::Code::Memory.to_varint(), b"incomplete frames");
                    return Err(errors::Error::Memory);
                }
                None if self.partial.bytes.is_empty() => return Ok(None),
                None => return Err(self.close(codec::Error::Truncated)),
            }
        }
    }

    /// Receives raw bytes, or `None` when the sender has finished the stream.
    pub async fn recv_bytes(&mut self) -> errors::Result<Option<Bytes>> {
        if !self.partial.bytes.is_empty() {
            return Err(errors::Error::Partial);
        }
        self.read(MAX_CHUNK).await
    }

    async fn read(&mut self, limit: usize) -> errors::Result<Option<Bytes>> {
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

    fn close(&self, error: codec::Error) -> errors::Error {
        let code = codes::Code::for_frame(error);
        log::warn!("closing the link to {}: {error}", self.connection.remote_address());
        self.connection.close(code.to_varint(), b"bad frame");
        errors::Error::Codec(error)
    }
}

impl Partial {
    /// Bytes that the frame still needs, or that its length needs while that is incomplete.
    fn missing(&self) -> codec::Result<usize> {
        let Some((prefix, body)) = self.bytes.split_first_chunk() else {
            return Ok(codec::LENGTH_SIZE - self.bytes.len());
        };
        Ok(codec::read_length(*prefix)? - body.len())
    }

    /// Adds bytes, unless the link holds too many already. Memory grows with what has arrived,
    /// not with the length that the peer announces.
    fn add(&mut self, bytes: &[u8]) -> bool {
        let before = self.total.fetch_add(bytes.len(), atomic::Ordering::Relaxed);
        self.bytes.extend_from_slice(bytes);
        before + bytes.len() <= self.limit
    }

    fn take(&mut self) -> BytesMut {
        self.total.fetch_sub(self.bytes.len(), atomic::Ordering::Relaxed);
        self.bytes.split()
    }
}

impl Drop for Partial {
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
