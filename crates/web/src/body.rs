//! Bodies of requests and responses, read or sent in chunks.

use std::{io, pin::Pin, task, time};

use bytes::{Bytes, BytesMut};
use compact_str::{CompactString, ToCompactString as _};
use http_body_util::{BodyExt as _, Empty, Full};
use hyper::body;
use tokio::sync::mpsc;

/// How long the rest of an oversized body is read and discarded. A caller that is still sending
/// when its connection closes may never read the response with the error.
const DISCARD_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Why a body could not be read or sent.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
pub enum Error {
    /// The [`Body`] at the other end of the channel was dropped.
    #[error("the reader of the body has stopped reading")]
    Gone,
    /// The body is larger than the limit passed to [`Body::collect`].
    #[error("the body exceeds {limit} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The reader has no memory for the body.
    #[error("no memory is left for the body")]
    NoMemory,
    /// The body ended before it was complete, or could not be read. The text is the cause.
    #[error("the body is incomplete: {0}")]
    Truncated(CompactString),
}

/// The result of reading or sending a body.
pub type Result<T> = std::result::Result<T, Error>;

/// The body of a request or a response. A body that ends early is an error, never a shorter body.
pub struct Body(gotham::helpers::http::Body);

/// Sends the chunks of a [`Body`]. Dropping it before [`Sender::finish`] makes the body fail, so
/// that the connection of a truncated response is reset.
pub struct Sender(mpsc::Sender<Event>);

enum Event {
    Chunk(Bytes),
    End,
}

struct ChannelBody {
    events: mpsc::Receiver<Event>,
    ended: bool,
}

impl Body {
    /// An empty body.
    pub fn empty() -> Body {
        Body::new(Empty::new().map_err(|it| match it {}))
    }

    /// A body of known length that consists of `bytes`.
    pub fn full(bytes: Bytes) -> Body {
        Body::new(Full::new(bytes).map_err(|it| match it {}))
    }

    /// A body of unknown length whose chunks come from the returned sender. The sender waits while
    /// `capacity` chunks (at least 1) are unread.
    pub fn channel(capacity: usize) -> (Sender, Body) {
        let (sender, events) = mpsc::channel(capacity.max(1));
        (Sender(sender), Body::new(ChannelBody { events, ended: false }))
    }

    /// The bytes that the body has at least; all of them if its length is known.
    pub fn least_length(&self) -> u64 {
        body::Body::size_hint(&self.0).lower()
    }

    /// The next chunk, never empty, or `None` at the end of a complete body. Trailers are skipped.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>> {
        while let Some(frame) = self.0.frame().await {
            let frame = frame.map_err(|it| Error::Truncated(it.to_compact_string()))?;
            match frame.into_data() {
                Ok(bytes) if bytes.is_empty() => {}
                Ok(bytes) => return Ok(Some(bytes)),
                // Trailers count as hop-by-hop and are not forwarded.
                Err(_) => {}
            }
        }
        Ok(None)
    }

    /// Reads the whole body, or fails with [`Error::TooLarge`] if it has more than `limit` bytes.
    /// Up to `limit` further bytes are then read and discarded, for at most half a second.
    pub async fn collect(self, limit: usize) -> Result<Bytes> {
        self.collect_within(limit, |_| true).await
    }

    /// Reads the whole body like [`Body::collect`]. `reserve` is called with the size of each chunk
    /// before it is kept; when it returns false, the call fails with [`Error::NoMemory`].
    pub async fn collect_within(
        mut self,
        limit: usize,
        reserve: impl FnMut(usize) -> bool,
    ) -> Result<Bytes> {
        let collected = match usize::try_from(self.least_length()) {
            Ok(declared) if declared <= limit => self.try_collect(limit, reserve).await,
            _ => Err(Error::TooLarge { limit }),
        };
        if let Err(Error::TooLarge { .. } | Error::NoMemory) = collected {
            let _ = tokio::time::timeout(DISCARD_TIMEOUT, self.discard(limit)).await;
        }
        collected
    }

    pub(crate) fn new<B>(body: B) -> Body
    where
        B: body::Body<Data = Bytes, Error = io::Error> + Send + 'static,
    {
        Body(gotham::helpers::http::Body::new(body))
    }

    pub(crate) fn into_inner(self) -> gotham::helpers::http::Body {
        self.0
    }

    async fn try_collect(
        &mut self,
        limit: usize,
        mut reserve: impl FnMut(usize) -> bool,
    ) -> Result<Bytes> {
        let mut all = BytesMut::new();
        while let Some(chunk) = self.chunk().await? {
            if all.len() + chunk.len() > limit {
                return Err(Error::TooLarge { limit });
            }
            if !reserve(chunk.len()) {
                return Err(Error::NoMemory);
            }
            all.extend_from_slice(&chunk);
        }
        Ok(all.freeze())
    }

    /// Reads and drops chunks until the body ends or they exceed `limit` bytes.
    async fn discard(&mut self, limit: usize) {
        let mut remaining = limit;
        while let Ok(Some(chunk)) = self.chunk().await {
            let Some(rest) = remaining.checked_sub(chunk.len()) else { return };
            remaining = rest;
        }
    }
}

impl Sender {
    /// Sends a chunk, waiting while the channel is full. Fails with [`Error::Gone`] once the body
    /// was dropped.
    pub async fn send(&self, bytes: Bytes) -> Result<()> {
        self.0.send(Event::Chunk(bytes)).await.map_err(|_| Error::Gone)
    }

    /// Ends the body as complete. Fails with [`Error::Gone`] if the body was dropped.
    pub async fn finish(self) -> Result<()> {
        self.0.send(Event::End).await.map_err(|_| Error::Gone)
    }

    /// Ends the body as incomplete, the same as dropping the sender.
    pub fn abort(self) {
        drop(self);
    }

    /// Completes when the body is dropped.
    pub async fn closed(&self) {
        self.0.closed().await;
    }
}

impl body::Body for ChannelBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<io::Result<body::Frame<Bytes>>>> {
        if self.ended {
            return task::Poll::Ready(None);
        }
        match task::ready!(self.events.poll_recv(context)) {
            Some(Event::Chunk(bytes)) => task::Poll::Ready(Some(Ok(body::Frame::data(bytes)))),
            Some(Event::End) => {
                self.ended = true;
                task::Poll::Ready(None)
            }
            None => {
                self.ended = true;
                let error = io::Error::new(io::ErrorKind::ConnectionAborted, "body not finished");
                task::Poll::Ready(Some(Err(error)))
            }
        }
    }
}
