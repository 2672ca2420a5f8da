//! The pieces of a message that waits in the queue of a [`pacer::Pacer`].

use std::time;

use bytes::Bytes;

use crate::pacer;

/// Messages of at most this size, such as refusals and probes, count but do not wait: they take less
/// than half a packet, and relieve the queue.
const UNDELAYED_BYTES: usize = 512;
/// Bytes of a message that get a place in the queue together. A longer message waits again, so that
/// others get their turn.
const RESERVED_BYTES: usize = 256 * 1_024;

/// A message in the queue.
pub(crate) struct Pieces<'a> {
    pacer: &'a pacer::Pacer,
    rest: Bytes,
    /// The part of the message that has a place, less what was returned.
    part: Bytes,
    reservation: Option<Reservation<'a>>,
    size: pacer::Size,
    waits: bool,
}

/// The place of a message, or of a part of it, in the queue. What has not been sent when it is
/// dropped is given back.
pub(crate) struct Reservation<'a> {
    pub(crate) pacer: &'a pacer::Pacer,
    pub(crate) rate: u64,
    pub(crate) size: pacer::Size,
    /// The place among large messages.
    pub(crate) place: u64,
    /// When the next piece may be sent.
    pub(crate) at: tokio::time::Instant,
    /// What of the part was not sent, in microseconds at `rate`.
    pub(crate) unsent_us: u64,
}

impl<'a> Pieces<'a> {
    /// The pieces of a message.
    pub(crate) fn new(pacer: &'a pacer::Pacer, message: Bytes, size: pacer::Size) -> Pieces<'a> {
        let waits = message.len() > UNDELAYED_BYTES || size == pacer::Size::Large;
        Pieces { pacer, rest: message, part: Bytes::new(), reservation: None, size, waits }
    }

    /// Waits until the next piece may be sent. Returns none after the last one.
    pub(crate) async fn next(&mut self) -> Option<Bytes> {
        if self.rest.is_empty() && self.part.is_empty() {
            return None;
        }
        let Some(rate) = self.pacer.rate() else { return Some(std::mem::take(&mut self.rest)) };
        if self.part.is_empty() {
            self.part = self.rest.split_to(self.rest.len().min(RESERVED_BYTES));
            self.reservation = Some(self.pacer.join(self.part.len(), rate, self.size));
        }
        let reservation = self.reservation.as_mut()?;
        let length = self.part.len().min(pacer::PIECE_BYTES);
        if self.waits {
            tokio::time::sleep_until(reservation.at).await;
            self.pacer.wait_for_link(length, self.size, reservation.place).await;
        } else {
            self.pacer.add_to_link(length);
        }
        reservation.take(length);
        let piece = self.part.split_to(length);
        Some(piece)
    }
}

impl Reservation<'_> {
    /// Records that a piece is sent, and sets when the next one may follow.
    fn take(&mut self, bytes: usize) {
        let cost_us = pacer::cost_us(bytes as u64, self.rate);
        self.at += time::Duration::from_micros(cost_us);
        self.unsent_us = self.unsent_us.saturating_sub(cost_us);
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.pacer.give_back(self.unsent_us, self.size);
    }
}
