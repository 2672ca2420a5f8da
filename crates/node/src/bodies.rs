//! Limits of the time and the memory that the bodies of requests and answers take.

use std::{sync, time as std_time};

use bytes::Bytes;
use tokio::{sync as tokio_sync, time};

use crate::headers;

/// Largest body of an answer, in bytes, that is read to its end before the answer is begun.
pub(crate) const MAX_BUFFERED: usize = 64 * 1024;
/// Largest body of an answer, in bytes, that the node of its target reads to its end before the link
/// has sent it, so that the slot is free meanwhile.
pub(crate) const MAX_HELD: usize = 256 * 1024;
/// Most bytes that a process buffers so at once. Further answers are begun as their heads arrive.
/// All connections of callers together could otherwise ask for 4,096 times [`MAX_BUFFERED`].
const MAX_BUFFERED_TOTAL: usize = 16 * 1024 * 1024;
/// Longest time without a byte of a late answer, from which it counts as stalled. A link that lost
/// packets is quiet for two or three round trips.
const STALL_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(500);
/// How much longer than its time limit an answer may take that was begun and makes progress. Its
/// connection serves nothing else meanwhile, and it holds a slot.
const MAX_LATE: std_time::Duration = std_time::Duration::from_secs(5);

/// Why an answer's body could not be read or passed on to its end.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The deadline passed, or the body made no progress after it.
    #[error("the deadline passed")]
    DeadlinePassed,
    /// The body ended early, or its reader is gone.
    #[error(transparent)]
    Body(#[from] web::body::Error),
    /// The stream to the target's node ended early.
    #[error(transparent)]
    Link(#[from] transport::errors::Error),
}

/// A result of reading or passing on a body.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// Memory for bodies, shared by all requests of a process.
pub(crate) struct Buffers(sync::Arc<tokio_sync::Semaphore>);

/// Memory for one body. It is given back when this is dropped.
pub(crate) struct Reservation(tokio_sync::OwnedSemaphorePermit);

/// A body that was read ahead, with the memory that it takes.
struct Buffered {
    bytes: Bytes,
    _reservation: Reservation,
}

/// Until when the rest of a body is waited for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limit {
    /// A body must be complete by then, unless its length is known.
    soft: time::Instant,
    /// A body of known length must be complete by then.
    hard: time::Instant,
    /// The rest of a body must be taken by its reader by then.
    unread: time::Instant,
}

impl Buffers {
    /// The memory for answers that are read ahead, in a process that has just started.
    pub(crate) fn for_answers() -> Buffers {
        Buffers::with_bytes(MAX_BUFFERED_TOTAL)
    }

    /// Memory of this size.
    pub(crate) fn with_bytes(bytes: usize) -> Buffers {
        Buffers(sync::Arc::new(tokio_sync::Semaphore::new(bytes)))
    }

    /// Reserves the memory for an answer with this declared length, or for the largest one that may
    /// be buffered. Returns none for a larger one, or when other bodies take the memory.
    pub(crate) fn reserve(&self, length: Option<u64>) -> Option<Reservation> {
        let length = length.map_or(Ok(MAX_BUFFERED), usize::try_from);
        self.try_acquire(length.ok().filter(|it| *it <= MAX_BUFFERED)?)
    }

    /// Reserves the memory for an answer of this length that waits for the network link.
    pub(crate) fn reserve_held(&self, length: u64) -> Option<Reservation> {
        self.try_acquire(usize::try_from(length).ok().filter(|it| *it <= MAX_HELD)?)
    }

    /// Reserves nothing yet, for a body whose length is not known.
    pub(crate) fn reserve_none(&self) -> Option<Reservation> {
        self.try_acquire(0)
    }

    fn try_acquire(&self, bytes: usize) -> Option<Reservation> {
        let count = u32::try_from(bytes).ok()?;
        let permit = sync::Arc::clone(&self.0).try_acquire_many_owned(count).ok()?;
        Some(Reservation(permit))
    }
}

impl Reservation {
    /// Reserves more. Returns false when other bodies take the memory.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        let Ok(count) = u32::try_from(bytes) else { return false };
        let more = sync::Arc::clone(self.0.semaphore()).try_acquire_many_owned(count);
        more.map(|it| self.0.merge(it)).is_ok()
    }

    /// Gives back what `bytes` do not take, and the rest when they are dropped.
    pub(crate) fn hold(mut self, bytes: Bytes) -> Bytes {
        if bytes.is_empty() {
            return bytes;
        }
        let unused = self.0.num_permits().saturating_sub(bytes.len());
        drop(self.0.split(unused));
        Bytes::from_owner(Buffered { bytes, _reservation: self })
    }
}

impl AsRef<[u8]> for Buffered {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Limit {
    /// The limit of a body that must be complete at a point in time.
    pub(crate) fn strict(at: time::Instant) -> Limit {
        Limit { soft: at, hard: at, unread: at + MAX_LATE }
    }

    /// The limit of a body that has been begun. If its length is known, it may be late as long as
    /// it makes progress.
    pub(crate) fn begun(at: time::Instant, length: Option<u64>) -> Limit {
        let hard = if length.is_some() { at + MAX_LATE } else { at };
        Limit { hard, ..Limit::strict(at) }
    }

    /// The limit of a body that was read to its end, and that only its reader can delay.
    pub(crate) fn ended() -> Limit {
        Limit::strict(time::Instant::now() + MAX_LATE)
    }

    /// Waits for the next chunk of a body.
    pub(crate) async fn read<T, E>(&self, chunk: impl Future<Output = Result<T, E>>) -> Result<T>
    where
        Error: From<E>,
    {
        let now = time::Instant::now();
        let until = self.soft.max(self.hard.min(now + STALL_TIMEOUT));
        // A stream without end may always have a chunk ready, so a timeout alone might not end it.
        if now >= until {
            return Err(Error::DeadlinePassed);
        }
        let chunk = time::timeout_at(until, chunk).await;
        Ok(chunk.map_err(|_| Error::DeadlinePassed)??)
    }

    /// Waits until the reader of a body takes a chunk.
    pub(crate) async fn write<E>(&self, sent: impl Future<Output = Result<(), E>>) -> Result<()>
    where
        Error: From<E>,
    {
        let sent = time::timeout_at(self.unread, sent).await;
        Ok(sent.map_err(|_| Error::DeadlinePassed)??)
    }
}

/// The value of an answer's `content-length` field, in bytes.
pub(crate) fn content_length(headers: &http::HeaderMap) -> Option<u64> {
    headers::text(headers, http::header::CONTENT_LENGTH.as_str())?.parse().ok()
}
