//! Decides which handshakes of peers the host's network link has room for.
//!
//! When targets leave or links break, many hosts connect to one at the same time. On a full link
//! their handshakes time out and are made again, so that they fill the link for as long as anyone
//! wants to connect. A peer that is refused at once costs a small packet and comes back later.

use std::{sync, time};

/// Bytes that a host sends to accept a handshake, most of them for its certificate.
const HANDSHAKE_BYTES: u64 = 3_000;
/// The share of the network link, in percent, that handshakes may always take, so that hosts without
/// a link get one in the end.
const LEAST_PERCENT: u32 = 5;
/// Handshakes that may be accepted at once within that share.
const BURST: u32 = 3;
/// Longest queue of the link, with the handshakes in progress, up to which further ones are
/// accepted. It is shorter than the wait from which on requests are refused, so that handshakes do
/// not take the place of answers.
const MAX_WAIT: time::Duration = time::Duration::from_millis(50);

/// Limits the handshakes that are accepted to what a link of known rate has room for.
pub(crate) struct Limiter {
    /// How long the link takes to carry a handshake; none if its rate is not known.
    cost: Option<time::Duration>,
    /// When the next handshake beyond a burst is due within the share that they may always take.
    due: sync::Mutex<time::Instant>,
}

impl Limiter {
    /// Creates the limiter of a network link with this rate, in bytes per second.
    pub(crate) fn new(link_rate: Option<u64>) -> Limiter {
        let cost = |rate: u64| {
            time::Duration::from_micros(HANDSHAKE_BYTES.saturating_mul(1_000_000) / rate.max(1))
        };
        Limiter { cost: link_rate.map(cost), due: sync::Mutex::new(time::Instant::now()) }
    }

    /// Whether to accept a handshake while `in_progress` others are in progress and messages wait
    /// for the link for `backlog`.
    pub(crate) fn admits(
        &self,
        now: time::Instant,
        in_progress: usize,
        backlog: time::Duration,
    ) -> bool {
        let Some(cost) = self.cost else { return true };
        let in_progress = u32::try_from(in_progress).unwrap_or(u32::MAX);
        let wait = backlog.saturating_add(cost.saturating_mul(in_progress.saturating_add(1)));
        wait <= MAX_WAIT || self.take_share(now, cost)
    }

    /// Takes a handshake from the share that they may always take.
    fn take_share(&self, now: time::Instant, cost: time::Duration) -> bool {
        let interval = cost * 100 / LEAST_PERCENT;
        // A panic cannot leave a point in time inconsistent, so a poisoned lock can be used.
        let mut due = self.due.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let next = (*due).max(now) + interval;
        let admitted = next <= now + BURST * interval;
        if admitted {
            *due = next;
        }
        admitted
    }
}
