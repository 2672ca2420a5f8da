//! Paces what an endpoint sends to the rate of the host's network link.
//!
//! Each QUIC connection looks for the rate of the network by itself. With dozens of them, each of
//! which seldom sends, a full network link is noticed only by lost packets, and most of what is sent
//! is sent again. Here the messages of all links wait in one queue before they are sent, so that
//! acknowledgements and control messages pass it, and its length is known.
//!
//! Messages of up to 16 KiB have their own place ahead of larger ones. A larger message keeps one
//! place for up to 256 KiB: when several large answers took turns instead, later ones delayed those
//! that were about to end, and most of them became late.
//!
//! Messages get what is left by all else that the host sends on the link: headers, acknowledgements, handshakes,
//! packets that are sent again, answers to callers. All of it counts as [`wire`] has seen it. When
//! the link is full all the same, large datagrams are dropped here: in the queue of the link they
//! would delay the small ones, on which it depends that hosts and links count as alive.

use std::{
    sync::{self, atomic},
    time,
};

use bytes::Bytes;

use crate::{pieces, turns, wire};

/// The share of the network link, in percent, that datagrams may use. The rest is for what is not
/// counted, such as acknowledgements of TCP.
const LINK_PERCENT: u64 = 95;
/// The share up to which messages are sent. It is lower, so that the queue of the link drains while
/// messages wait.
const USABLE_PERCENT: u64 = 92;
/// The share of the network link, in percent, that messages usually get.
const MESSAGE_PERCENT: u64 = 70;
/// Longest queue of datagrams on the network link, beside a piece of a message, from which on large
/// ones are dropped.
const MAX_LINK_QUEUE: time::Duration = time::Duration::from_millis(40);
/// Longest queue of the network link up to which messages are passed to it.
const MAX_PIECE_QUEUE: time::Duration = time::Duration::from_millis(25);
/// The same for pieces of large messages. It is shorter, so that small ones that are due go first.
const MAX_LARGE_PIECE_QUEUE: time::Duration = time::Duration::from_millis(10);
/// Datagrams of at most this size are never dropped: acknowledgements, probes, refusals.
const SMALL_DATAGRAM: usize = 512;
/// How much may be sent at once after a pause, in time at the full rate.
const BURST: time::Duration = time::Duration::from_millis(20);
/// Longest queue. Messages that do not wait could otherwise lengthen it without end, and the node
/// would refuse requests long after the load.
const MAX_BACKLOG: time::Duration = time::Duration::from_secs(2);
/// Longer messages are written to their link in pieces of at most this size, each when the link has
/// room for it.
pub(crate) const PIECE_BYTES: usize = 4 * 1_024;
/// The largest message that has a place ahead of large ones.
pub const SMALL_BYTES: usize = 16 * 1_024;
/// Which place a message has in the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Size {
    /// Ahead of large messages.
    Small,
    /// Behind all others.
    Large,
}

impl Size {
    /// The size of a message of `bytes`.
    pub fn of(bytes: usize) -> Size {
        if bytes > SMALL_BYTES { Size::Large } else { Size::Small }
    }
}

/// The queues of an endpoint's messages and datagrams. Without a rate, nothing waits.
pub struct Pacer {
    /// Bytes per second up to which messages are sent.
    rate: Option<u64>,
    /// Bytes per second that the network link carries.
    link_rate: u64,
    start: time::Instant,
    /// When the queue of messages will be empty, in microseconds since `start`.
    idle_at: atomic::AtomicU64,
    /// When its part without large messages will be empty.
    small_idle_at: atomic::AtomicU64,
    /// Bytes that were added to that part.
    small_bytes: atomic::AtomicU64,
    /// When the queue of datagrams will be empty.
    link_idle_at: atomic::AtomicU64,
    /// Bytes of `wire`, other than messages, that were added to the queues.
    charged: atomic::AtomicU64,
    /// The large messages that wait for the network link.
    turns: turns::Turns,
    wire: sync::Arc<wire::Wire>,
}

/// The queue of a link, which is none for a link to a control: its messages go first.
pub(crate) type LinkPacer = Option<sync::Arc<Pacer>>;

impl Pacer {
    /// Creates empty queues for a network link with this rate, in bytes per second, on which `wire`
    /// counts.
    pub(crate) fn new(link_rate: Option<u64>, wire: sync::Arc<wire::Wire>) -> Pacer {
        Pacer {
            rate: link_rate.map(|it| (it * USABLE_PERCENT / 100).max(1)),
            link_rate: link_rate.map_or(u64::MAX, |it| (it * LINK_PERCENT / 100).max(1)),
            start: time::Instant::now(),
            idle_at: atomic::AtomicU64::new(0),
            small_idle_at: atomic::AtomicU64::new(0),
            small_bytes: atomic::AtomicU64::new(0),
            link_idle_at: atomic::AtomicU64::new(0),
            charged: atomic::AtomicU64::new(0),
            turns: turns::Turns::default(),
            wire,
        }
    }

    /// Bytes of messages that the network link usually carries in a second, if its rate is known.
    pub fn message_rate(&self) -> Option<u64> {
        self.rate.map(|it| it * MESSAGE_PERCENT / USABLE_PERCENT)
    }

    /// Bytes of messages that the network link carries in a second when it carries nothing else, if
    /// its rate is known.
    pub fn rate(&self) -> Option<u64> {
        self.rate
    }

    /// How long a large message would wait now.
    pub fn backlog(&self) -> time::Duration {
        self.time_until(&self.idle_at)
    }

    /// How long a small message would wait now.
    pub fn small_backlog(&self) -> time::Duration {
        self.time_until(&self.small_idle_at)
    }

    /// The bytes that have passed ahead of large messages, or wait there.
    pub fn small_bytes(&self) -> u64 {
        self.small_bytes.load(atomic::Ordering::Relaxed)
    }

    /// Whether to send a datagram of `bytes`.
    pub(crate) fn admits_datagram(&self, bytes: usize) -> bool {
        if self.rate.is_none() || bytes <= SMALL_DATAGRAM {
            return true;
        }
        let piece_us = cost_us(PIECE_BYTES as u64, self.link_rate);
        self.link_queue() <= MAX_LINK_QUEUE + time::Duration::from_micros(piece_us)
    }

    /// Counts bytes that the process sends on the network link by other means than datagrams.
    pub(crate) fn count_other(&self, bytes: u64) {
        self.wire.count_other(bytes);
        self.charge_overhead();
    }

    /// Puts a message into the queue, which returns its pieces when they may be sent.
    pub(crate) fn queue(&self, message: Bytes, size: Size) -> pieces::Pieces<'_> {
        pieces::Pieces::new(self, message, size)
    }

    /// Waits until bytes that the process sends on the network link by other means may be sent, as a
    /// part of a large message, and counts them.
    pub(crate) async fn send_other(&self, bytes: Bytes) {
        let mut pieces = self.queue(bytes, Size::Large);
        while let Some(piece) = pieces.next().await {
            self.wire.count_paced_other(piece.len() as u64);
        }
    }

    /// Puts a part of a message at the end of its place in the queue.
    pub(crate) fn join(&self, bytes: usize, rate: u64, size: Size) -> pieces::Reservation<'_> {
        let now_us = self.now_us();
        let unsent_us = cost_us(bytes as u64, rate);
        let behind_all = add_cost(&self.idle_at, now_us, unsent_us);
        let before = match size {
            Size::Small => self.add_small(bytes as u64, now_us, unsent_us),
            Size::Large => behind_all,
        };
        let burst_us = u64::try_from(BURST.as_micros()).unwrap_or(0);
        let wait = time::Duration::from_micros(before.saturating_sub(now_us + burst_us));
        let at = tokio::time::Instant::now() + wait;
        let place = self.turns.join();
        pieces::Reservation { pacer: self, rate, size, place, at, unsent_us }
    }

    /// Takes what will not be sent out of the queue, in microseconds at the rate of messages.
    pub(crate) fn give_back(&self, unsent_us: u64, size: Size) {
        let subtract = |idle_at: u64| Some(idle_at.saturating_sub(unsent_us));
        let order = atomic::Ordering::Relaxed;
        let _ = self.idle_at.fetch_update(order, order, subtract);
        if size == Size::Small {
            let _ = self.small_idle_at.fetch_update(order, order, subtract);
        }
    }

    /// Adds what passes ahead of large messages. Returns when the queue there would have been empty.
    fn add_small(&self, bytes: u64, now_us: u64, cost_us: u64) -> u64 {
        self.small_bytes.fetch_add(bytes, atomic::Ordering::Relaxed);
        add_cost(&self.small_idle_at, now_us, cost_us)
    }

    fn time_until(&self, idle_at: &atomic::AtomicU64) -> time::Duration {
        let idle_at = idle_at.load(atomic::Ordering::Relaxed);
        time::Duration::from_micros(idle_at.saturating_sub(self.now_us()))
    }

    /// Lengthens both queues by what was sent since the last call other than messages. A message
    /// counts when it is passed to its link, so the difference is too low until the link has sent it.
    pub(crate) fn charge_overhead(&self) {
        let Some(rate) = self.rate else { return };
        let counts = self.wire.counts();
        let paced = counts.answers + counts.requests + counts.paced_other;
        let others = (counts.sent + counts.other).saturating_sub(paced);
        let before = self.charged.fetch_max(others, atomic::Ordering::Relaxed);
        if others > before {
            let now_us = self.now_us();
            let cost = cost_us(others - before, rate);
            add_cost(&self.idle_at, now_us, cost);
            self.add_small(others - before, now_us, cost);
            add_cost(&self.link_idle_at, now_us, cost_us(others - before, self.link_rate));
        }
    }

    /// How long a datagram would wait now on the network link.
    fn link_queue(&self) -> time::Duration {
        self.time_until(&self.link_idle_at)
    }

    /// Adds a piece to the queue of the network link.
    pub(crate) fn add_to_link(&self, bytes: usize) {
        add_cost(&self.link_idle_at, self.now_us(), cost_us(bytes as u64, self.link_rate));
    }

    /// Waits until the queue of the network link is short, and adds a piece to it. A message that
    /// had its place before an overhead was charged waits for that overhead here.
    pub(crate) async fn wait_for_link(&self, bytes: usize, size: Size, place: u64) {
        let cost_us = cost_us(bytes as u64, self.link_rate);
        let (longest, due) = match size {
            Size::Small => (MAX_PIECE_QUEUE, None),
            Size::Large => (MAX_LARGE_PIECE_QUEUE, Some(self.turns.add(place))),
        };
        loop {
            if due.as_ref().is_some_and(|it| !it.is_first()) {
                // Shorter than the queue that the first one keeps up.
                tokio::time::sleep(time::Duration::from_micros(2 * cost_us)).await;
                continue;
            }
            let latest = self.now_us() + u64::try_from(longest.as_micros()).unwrap_or(0);
            let add = |it: u64| (it <= latest).then(|| it.max(self.now_us()) + cost_us);
            let order = atomic::Ordering::Relaxed;
            match self.link_idle_at.fetch_update(order, order, add) {
                Ok(_) => return,
                Err(idle_at) => {
                    tokio::time::sleep(time::Duration::from_micros(idle_at - latest)).await;
                }
            }
        }
    }

    fn now_us(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX)
    }
}

/// How long the network link takes to carry `bytes`, in microseconds.
pub(crate) fn cost_us(bytes: u64, rate: u64) -> u64 {
    bytes.saturating_mul(1_000_000) / rate
}

/// Adds a cost to a queue that will be empty at `idle_at`. Returns when it would have been empty.
fn add_cost(idle_at: &atomic::AtomicU64, now_us: u64, cost_us: u64) -> u64 {
    let latest = now_us + u64::try_from(MAX_BACKLOG.as_micros()).unwrap_or(0);
    let add = |it: u64| Some((it.max(now_us) + cost_us).min(latest));
    let order = atomic::Ordering::Relaxed;
    idle_at.fetch_update(order, order, add).unwrap_or(now_us)
}
