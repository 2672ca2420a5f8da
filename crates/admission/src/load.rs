//! The load report that a target sends with its answers.

use std::time;

use serde::{Deserialize, Serialize};

/// The load of a target at the time when the answer was sent.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Requests that are running.
    pub in_flight: u32,
    /// Requests that are waiting for a slot.
    pub queued: u32,
    /// Usable slots: fewer than configured during a cold start, zero while the target drains.
    pub slots: u32,
    /// Moving average of the time that a request runs; zero before the first answer.
    pub service_time: time::Duration,
    /// Internal calls among the waiting requests.
    pub queued_calls: u32,
    /// Moving average of the time that a caller's request runs; zero before the first answer.
    pub caller_time: time::Duration,
    /// Moving average of the time that an internal call runs; zero before the first answer.
    pub call_time: time::Duration,
    /// Whether more urgent requests are refused while less urgent calls are served.
    pub pressure: Pressure,
}

/// Callers' requests that a target refuses while it serves less urgent calls. The nodes that take
/// the requests which make these calls refuse a part of them. All zero when there is no need.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pressure {
    /// The rank of these requests.
    pub rank: u32,
    /// The weight of these requests.
    pub weight: u32,
    /// The part of these requests that is refused and that no other target gets, in thousandths.
    pub lost: u16,
}

impl LoadReport {
    /// Returns how long a new request is expected to wait for a slot. Zero if the target drains.
    pub fn expected_wait(&self) -> time::Duration {
        if self.slots == 0 || self.in_flight + self.queued < self.slots {
            return time::Duration::ZERO;
        }
        let before = self.in_flight + self.queued + 1 - self.slots;
        self.service_time * before / self.slots
    }

    /// Returns whether at most half of the slots are taken by other requests than the one that the
    /// report answers. A full target has a free slot at times, but not half of them.
    pub fn is_half_free(&self) -> bool {
        let others = self.in_flight.saturating_sub(1).saturating_add(self.queued);
        others.saturating_mul(2) <= self.slots && self.slots > 0
    }

    /// The report of a target of which only `usable` slots can be kept busy: the others count as
    /// busy, so that senders see no room there.
    pub(crate) fn with_free_slots(self, usable: u32) -> LoadReport {
        LoadReport { in_flight: self.in_flight + self.slots.saturating_sub(usable), ..self }
    }

    /// The report of a target where a new request waits for at least `wait`, for the target's limit
    /// on the rate. It counts as many waiting requests as make a new request wait as long.
    pub fn with_wait(self, wait: time::Duration) -> LoadReport {
        self.with_queue(wait, self.service_time)
    }

    /// The report of a target where a new request, or its answer, waits for at least `wait` until
    /// its host's network link has room. Senders multiply the queue by the time of a caller's
    /// request, which is longer than the mean at a target with many calls.
    pub fn with_link_wait(self, wait: time::Duration) -> LoadReport {
        self.with_queue(wait, self.service_time.max(self.caller_time))
    }

    fn with_queue(self, wait: time::Duration, per_request: time::Duration) -> LoadReport {
        if self.slots == 0 || per_request.is_zero() || wait <= self.expected_wait() {
            return self;
        }
        let before = wait.div_duration_f32(per_request) * self.slots as f32;
        let total = (before as u32).saturating_add(self.slots - 1);
        LoadReport { queued: total.saturating_sub(self.in_flight).max(self.queued), ..self }
    }
}
