//! Counts the bodies of requests that are on their way to a host over its network link, and refuses
//! further ones that would wait too long for it.
//!
//! Large bodies fill the link of a host while its backend server still has free slots. Without a
//! bound, all of them arrive late, hold slots meanwhile, and small requests wait behind them.

use std::time;

use world::requests;

/// Longest wait of a body for the link, as a fraction of the time until the objective of its
/// request. Bodies come in bursts, so the bound is above that of a wait for a slot; small requests
/// wait about as long.
const MAX_WAIT_SHARE: f32 = 0.25;

/// The bodies of admitted requests that have not arrived yet.
#[derive(Clone, Copy, Debug)]
pub struct Downlink {
    /// Bytes of bodies that the link carries in a second; none if its rate is not known.
    rate: Option<u64>,
    /// Bytes that have not arrived.
    pending: u64,
}

impl Downlink {
    /// A link over which no body is on its way.
    pub fn new(rate: Option<u64>) -> Downlink {
        Downlink { rate: rate.map(|it| it.max(1)), pending: 0 }
    }

    /// Returns how long a further body would wait for those that are on their way. Zero if the rate
    /// is not known.
    pub fn backlog(&self) -> time::Duration {
        let Some(rate) = self.rate else { return time::Duration::ZERO };
        time::Duration::from_micros(self.pending.saturating_mul(1_000_000) / rate)
    }

    /// Whether to refuse a request because its body would wait too long. `objective` and `left` are
    /// the times until its objective and its deadline. A call is refused only when it cannot be
    /// answered in time: the work of the request that it is made for would be lost.
    pub fn is_full(
        &self,
        class: requests::Class,
        objective: time::Duration,
        left: time::Duration,
    ) -> bool {
        match class {
            requests::Class::Caller => self.backlog() > objective.mul_f32(MAX_WAIT_SHARE),
            requests::Class::Internal => self.backlog() >= left,
        }
    }

    /// Adds the body of a request that was admitted.
    pub fn add(&mut self, bytes: u64) {
        self.pending = self.pending.saturating_add(bytes);
    }

    /// Removes bytes that have arrived, or that will not be sent.
    pub fn remove(&mut self, bytes: u64) {
        self.pending = self.pending.saturating_sub(bytes);
    }
}
