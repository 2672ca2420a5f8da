//! The bodies that other nodes send to this host after their requests were admitted.

use std::sync;

use bytes::{Bytes, BytesMut};
use transport::errors;

use crate::{bodies, headers, state, working};

/// A body that is on its way, with the memory for it. Dropping it gives back its place on the
/// network link.
pub(crate) struct Arrival {
    state: sync::Arc<state::State>,
    memory: bodies::Reservation,
    /// Bytes that have not arrived, of those that the sender declared.
    left: u64,
}

impl Arrival {
    /// Counts the body that belongs to a request. Returns none when other bodies take the memory.
    pub(crate) fn expect(
        state: &sync::Arc<state::State>,
        request: &working::LocalRequest,
    ) -> Option<Arrival> {
        let left = headers::body_length(&request.head.fields);
        let mut memory = state.request_bodies.reserve_none()?;
        if !memory.grow(usize::try_from(left).ok()?) {
            return None;
        }
        state.downlink.lock().add(left);
        Some(Arrival { state: sync::Arc::clone(state), memory, left })
    }

    /// Receives the body. Fails if it ends early, or is larger than the memory that is left.
    pub(crate) async fn receive(
        mut self,
        receiver: &mut transport::streams::Receiver,
    ) -> errors::Result<Bytes> {
        let mut body = BytesMut::new();
        let mut reserved = usize::try_from(self.left).unwrap_or(usize::MAX);
        while let Some(bytes) = receiver.recv_bytes().await? {
            body.extend_from_slice(&bytes);
            self.remove(bytes.len() as u64);
            let more = body.len().saturating_sub(reserved);
            if body.len() > transport::codec::MAX_LENGTH || !self.memory.grow(more) {
                return Err(errors::Error::Memory);
            }
            reserved += more;
        }
        self.remove(self.left);
        let empty = self.state.request_bodies.reserve_none().ok_or(errors::Error::Memory)?;
        let memory = std::mem::replace(&mut self.memory, empty);
        Ok(memory.hold(body.freeze()))
    }

    fn remove(&mut self, bytes: u64) {
        let bytes = bytes.min(self.left);
        self.left -= bytes;
        self.state.downlink.lock().remove(bytes);
    }
}

impl Drop for Arrival {
    fn drop(&mut self) {
        self.remove(self.left);
    }
}
