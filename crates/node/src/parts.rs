//! Sends an answer to another node, and gives back its share of the host's network link meanwhile.

use admission::uplink;
use bytes::Bytes;
use protocol::forwarding;
use transport::errors;

use crate::promises;

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

    /// Sends the head with the first bytes of the body. Both wait once for the link.
    pub(crate) async fn send_head(
        &mut self,
        head: &forwarding::AnswerHead,
        bytes: &Bytes,
    ) -> errors::Result<()> {
        let promise = &mut self.promise;
        let on_sent = |count| promise.iter_mut().for_each(|it| it.sent(count));
        self.sender.send_counted(head, bytes, on_sent).await?;
        self.count(bytes.len());
        Ok(())
    }

    /// Sends further bytes of the body.
    pub(crate) async fn send(&mut self, bytes: Bytes) -> errors::Result<()> {
        let length = bytes.len();
        self.sender.send_bytes(bytes).await?;
        self.promise.iter_mut().for_each(|it| it.sent(length));
        self.count(length);
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
    }
}
