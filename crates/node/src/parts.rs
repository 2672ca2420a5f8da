//! Sends an answer to another node in parts that take turns with others on the host's network link.

use admission::uplink;
use bytes::Bytes;
use protocol::forwarding;
use transport::errors;

use crate::promises;

/// Largest part of a large answer. With its frame, the head stays in the same place of the queue.
const PART_BYTES: usize = 14 * 1024;

/// An answer that is being sent.
pub(crate) struct Parts {
    sender: transport::streams::Sender,
    promise: Option<promises::Promise>,
    sent: u64,
}

impl Parts {
    /// An answer of this length, if it is known.
    pub(crate) fn new(
        mut sender: transport::streams::Sender,
        promise: Option<promises::Promise>,
        length: Option<u64>,
    ) -> Parts {
        if length.is_some_and(|it| it > uplink::SMALL_BYTES) {
            sender.make_large();
        }
        Parts { sender, promise, sent: 0 }
    }

    /// Sends the head with the first bytes of the body. A small answer waits once for both.
    pub(crate) async fn send_head(
        &mut self,
        head: &forwarding::AnswerHead,
        mut bytes: Bytes,
    ) -> errors::Result<()> {
        let is_small = bytes.len() as u64 <= uplink::SMALL_BYTES;
        let length = if is_small { bytes.len() } else { PART_BYTES };
        let first = bytes.split_to(length);
        self.sender.send_with(head, &first).await?;
        self.count(first.len());
        self.send(bytes).await
    }

    /// Sends further bytes of the body.
    pub(crate) async fn send(&mut self, mut bytes: Bytes) -> errors::Result<()> {
        while !bytes.is_empty() {
            let part = bytes.split_to(bytes.len().min(PART_BYTES));
            let length = part.len();
            self.sender.send_bytes(part).await?;
            self.count(length);
        }
        Ok(())
    }

    /// Ends the answer as complete.
    pub(crate) fn finish(self) -> errors::Result<()> {
        if let Some(promise) = self.promise {
            promise.finish();
        }
        self.sender.finish()
    }

    /// Ends the answer as incomplete.
    pub(crate) fn reset(self) {
        self.sender.reset();
    }

    fn count(&mut self, bytes: usize) {
        self.sent += bytes as u64;
        // An answer of unknown length is large from here on.
        if self.sent > uplink::SMALL_BYTES {
            self.sender.make_large();
        }
        if let Some(promise) = &mut self.promise {
            promise.sent(bytes);
        }
    }
}
