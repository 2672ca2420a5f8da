//! Paces what an endpoint sends on its links to the rate of the host's network link.
//!
//! Each QUIC connection looks for the rate of the network by itself. With dozens of them, each of
//! which seldom sends, a full network link is noticed only by lost packets, and most of what is sent
//! is sent again. Here the messages of all links wait in one queue before they are sent, so that
//! acknowledgements and control messages pass it, and its length is known.

use std::{
    sync::{self, atomic},
    time,
};

/// The share of the network link, in percent, that messages may take. The rest is for the headers of
/// packets, acknowledgements, handshakes and packets that are sent again.
const MESSAGE_PERCENT: u64 = 70;
/// How much may be sent at once after a pause, in time at the full rate.
const BURST: time::Duration = time::Duration::from_millis(20);
/// Longest queue. Messages that do not wait could otherwise lengthen it without end, and the node
/// would refuse requests long after the load.
const MAX_BACKLOG: time::Duration = time::Duration::from_secs(2);
/// Messages of at most this size, such as refusals and probes, count but do not wait: they take less
/// than half a packet, and relieve the queue.
const UNDELAYED_BYTES: usize = 512;
/// Longer messages are sent in pieces of at most this size, so that others get their turn.
pub(crate) const PIECE_BYTES: usize = 4 * 1_024;

/// The queue of an endpoint's messages. Without a rate, nothing waits.
pub struct Pacer {
    /// Bytes of messages per second.
    rate: Option<u64>,
    start: time::Instant,
    /// When the queue will be empty, in microseconds since `start`.
    idle_at: atomic::AtomicU64,
}

/// The queue of a link, which is none for a link to a control: its messages go first.
pub(crate) type LinkPacer = Option<sync::Arc<Pacer>>;

/// A place in the queue. If it is dropped before its message is sent, the place is given back.
struct Place<'a> {
    pacer: &'a Pacer,
    cost_us: u64,
    used: bool,
}

impl Pacer {
    /// Creates an empty queue for a network link with this rate, in bytes per second.
    pub fn new(link_rate: Option<u64>) -> Pacer {
        let rate = link_rate.map(|it| (it * MESSAGE_PERCENT / 100).max(1));
        Pacer { rate, start: time::Instant::now(), idle_at: atomic::AtomicU64::new(0) }
    }

    /// Bytes of messages that the network link carries in a second, if its rate is known.
    pub fn rate(&self) -> Option<u64> {
        self.rate
    }

    /// How long a message would wait now.
    pub fn backlog(&self) -> time::Duration {
        let idle_at = self.idle_at.load(atomic::Ordering::Relaxed);
        time::Duration::from_micros(idle_at.saturating_sub(self.now_us()))
    }

    /// Waits until a piece of a message may be sent.
    pub(crate) async fn pace(&self, bytes: usize) {
        let Some(rate) = self.rate else { return };
        let cost_us = u64::try_from(bytes).unwrap_or(u64::MAX).saturating_mul(1_000_000) / rate;
        let wait = self.reserve(self.now_us(), cost_us);
        let mut place = Place { pacer: self, cost_us, used: false };
        if bytes > UNDELAYED_BYTES && !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        place.used = true;
    }

    /// Adds a message to the queue and returns how long it waits.
    fn reserve(&self, now_us: u64, cost_us: u64) -> time::Duration {
        let burst_us = u64::try_from(BURST.as_micros()).unwrap_or(0);
        let latest = now_us + u64::try_from(MAX_BACKLOG.as_micros()).unwrap_or(0);
        let add = |idle_at: u64| Some((idle_at.max(now_us) + cost_us).min(latest));
        let order = atomic::Ordering::Relaxed;
        let before = self.idle_at.fetch_update(order, order, add).unwrap_or(now_us);
        time::Duration::from_micros(before.saturating_sub(now_us + burst_us))
    }

    fn now_us(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX)
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if !self.used {
            let subtract = |idle_at: u64| Some(idle_at.saturating_sub(self.cost_us));
            let order = atomic::Ordering::Relaxed;
            let _ = self.pacer.idle_at.fetch_update(order, order, subtract);
        }
    }
}
