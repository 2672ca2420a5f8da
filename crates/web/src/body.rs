//! Bodies of requests and answers, read or sent in chunks.

use std::{io, pin::Pin, task, time};

use bytes::{Bytes, BytesMut};
use compact_str::{CompactString, ToCompactString as _};
use http_body_util::{BodyExt as _, Empty, Full};
use hyper::body;
use tokio::sync::mpsc;

/// How long the rest of a body that is too large is read and discarded. A caller that is still
/// sending when its connection closes may lose the answer that says so.
const DISCARD_TIME: time::Duration = time::Duration::from_millis(500);

/// Why a body could not be read or sent.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// Nobody reads the body any more.
    #[error("the receiver of the body is gone")]
    Gone,
    /// The body is larger than its reader allows.
    #[error("the body exceeds {limit} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The body ended before it was complete.
    #[error("the body is incomplete: {0}")]
    Truncated(CompactString),
}

/// The result of reading or sending a body.
pub type Result<T> = std::result::Result<T, Error>;

/// A body. A clean end is told from a truncated one, which is an error.
pub struct Body(gotham::helpers::http::Body);

/// Sends the chunks of a [`Body`]. Dropping it before [`Sender::finish`] fails the body, so that a
/// truncated answer resets its connection.
pub struct Sender(mpsc::Sender<Event>);

enum Event {
    Chunk(Bytes),
    End,
}

struct Channel {
    events: mpsc::Receiver<Event>,
    ended: bool,
}

impl Body {
    /// A body of no bytes.
    pub fn empty() -> Body {
        Body::new(Empty::new().map_err(|it| match it {}))
    }

    /// A body of these bytes.
    pub fn full(bytes: Bytes) -> Body {
        Body::new(Full::new(bytes).map_err(|it| match it {}))
    }

    /// A body whose chunks come from a sender, which waits while `capacity` chunks are unread.
    pub fn channel(capacity: usize) -> (Sender, Body) {
        let (sender, events) = mpsc::channel(capacity.max(1));
        (Sender(sender), Body::new(Channel { events, ended: false }))
    }

    /// The next chunk, or `None` at the end of a complete body.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>> {
        while let Some(frame) = self.0.frame().await {
            let frame = frame.map_err(|it| Error::Truncated(it.to_compact_string()))?;
            match frame.into_data() {
                Ok(bytes) if bytes.is_empty() => {}
                Ok(bytes) => return Ok(Some(bytes)),
                // Trailers are hop-by-hop here.
                Err(_) => {}
            }
        }
        Ok(None)
    }

    /// The whole body, when it has at most `limit` bytes.
    pub async fn collect(mut self, limit: usize) -> Result<Bytes> {
        let declared = body::Body::size_hint(&self.0).lower();
        if usize::try_from(declared).is_ok_and(|it| it <= limit)
            && let Some(bytes) = self.try_collect(limit).await?
        {
            return Ok(bytes);
        }
        let discard = self.discard(limit);
        let _ = tokio::time::timeout(DISCARD_TIME, discard).await;
        Err(Error::TooLarge { limit })
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

    async fn try_collect(&mut self, limit: usize) -> Result<Option<Bytes>> {
        let mut all = BytesMut::new();
        while let Some(chunk) = self.chunk().await? {
            if all.len() + chunk.len() > limit {
                return Ok(None);
            }
            all.extend_from_slice(&chunk);
        }
        Ok(Some(all.freeze()))
    }

    /// Reads on for at most `limit` bytes more.
    async fn discard(&mut self, limit: usize) {
        let mut left = limit;
        while let Ok(Some(chunk)) = self.chunk().await {
            let Some(rest) = left.checked_sub(chunk.len()) else { return };
            left = rest;
        }
    }
}

impl Sender {
    /// Sends a chunk, waiting while the channel is full.
    pub async fn send(&self, bytes: Bytes) -> Result<()> {
        self.0.send(Event::Chunk(bytes)).await.map_err(|_| Error::Gone)
    }

    /// Ends the body as complete.
    pub async fn finish(self) -> Result<()> {
        self.0.send(Event::End).await.map_err(|_| Error::Gone)
    }

    /// Ends the body as incomplete.
    pub fn abort(self) {
        drop(self);
    }

    /// Completes when nobody reads the body any more.
    pub async fn closed(&self) {
        self.0.closed().await;
    }
}

impl body::Body for Channel {
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
                let error = io::Error::new(io::ErrorKind::ConnectionAborted, "body abandoned");
                task::Poll::Ready(Some(Err(error)))
            }
        }
    }
}
