//! Sends the bodies of answers to callers, large ones in turn with all else that the host's network
//! link carries.

use std::time;

use admission::uplink;
use bytes::Bytes;

use crate::{promises, state};

/// How long a chunk waits for its reader until the rest no longer counts as queued for the link. It
/// covers the round trip to a caller.
const SLOW_READER: time::Duration = time::Duration::from_millis(50);

/// Where the chunks of a body go.
pub(crate) struct Outlet<'a> {
    sender: web::body::Sender,
    /// The link that the body takes, if it is paced.
    link: Option<&'a transport::endpoint::Endpoint>,
    promise: Option<promises::Promise>,
}

/// Whether the body of an answer to a caller waits for its turn on the link. Small ones are counted
/// only, since they would pass the large ones in any case.
pub(crate) fn is_paced(state: &state::State, is_call: bool, length: Option<u64>) -> bool {
    let is_limited = state.links.endpoint().paced_rate().is_some();
    is_limited && !is_call && length.is_none_or(|it| it > uplink::SMALL_BYTES)
}

impl<'a> Outlet<'a> {
    /// An outlet that does not wait for the link.
    pub(crate) fn unpaced(sender: web::body::Sender) -> Outlet<'a> {
        Outlet { sender, link: None, promise: None }
    }

    /// An outlet to a caller whose chunks wait for the link, unless it is none.
    pub(crate) fn to_caller(
        sender: web::body::Sender,
        link: Option<&'a transport::endpoint::Endpoint>,
        promise: Option<promises::Promise>,
    ) -> Outlet<'a> {
        Outlet { sender, link, promise }
    }

    /// Sends a chunk when the link and the reader have room for it.
    pub(crate) async fn send(&mut self, bytes: Bytes) -> web::body::Result<()> {
        let length = bytes.len();
        if let Some(link) = self.link {
            link.send_other(bytes.clone()).await;
        }
        let mut sending = std::pin::pin!(self.sender.send(bytes));
        let sent = match tokio::time::timeout(SLOW_READER, &mut sending).await {
            Ok(it) => it,
            Err(_) => {
                if let Some(promise) = &mut self.promise {
                    promise.pause();
                }
                sending.await
            }
        };
        if let Some(promise) = &mut self.promise {
            promise.sent(length);
        }
        sent
    }

    /// Completes when the reader has gone.
    pub(crate) async fn closed(&self) {
        self.sender.closed().await;
    }

    /// Ends the body as complete.
    pub(crate) async fn finish(self) -> web::body::Result<()> {
        if let Some(promise) = self.promise {
            promise.finish();
        }
        self.sender.finish().await
    }

    /// Ends the body as incomplete.
    pub(crate) fn abort(self) {
        self.sender.abort();
    }
}
