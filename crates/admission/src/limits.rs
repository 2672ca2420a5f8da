//! How much work a target takes.

use std::time;

use world::time::Time;

/// One slot in this many, and one place of the queue, is the minimum share of callers' work.
const CALLER_SHARE: u32 = 4;

/// Limits of one target.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Requests that run at the same time.
    pub slots: u32,
    /// Requests that may wait.
    pub queue: u32,
}

/// A cold start: the number of slots grows evenly up to the limit.
#[derive(Clone, Copy, Debug)]
pub struct Ramp {
    /// When the backend server started.
    pub since: Time,
    /// How long the growth takes.
    pub duration: time::Duration,
}

/// Which protective mechanisms are in force. For tests, which show that a case fails without one.
#[derive(Clone, Copy, Debug)]
pub struct Mechanisms {
    /// Refuse movable work that would wait behind long work and stragglers.
    pub blocked_refusal: bool,
    /// Refuse what cannot make its deadline.
    pub deadlines: bool,
    /// Run internal calls first, down to the minimum share of callers' work.
    pub internal_priority: bool,
    /// Keep slots free of long work and stragglers.
    pub long_limit: bool,
    /// Refuse what would wait past its objective, or longer than is good for it.
    pub objectives: bool,
    /// Keep suspects apart.
    pub suspect_isolation: bool,
    /// Order by weight; otherwise by arrival.
    pub fair_queueing: bool,
}

impl Default for Mechanisms {
    fn default() -> Mechanisms {
        Mechanisms {
            blocked_refusal: true,
            deadlines: true,
            internal_priority: true,
            long_limit: true,
            objectives: true,
            suspect_isolation: true,
            fair_queueing: true,
        }
    }
}

impl Limits {
    /// The slots in force at `now`.
    pub(crate) fn slots_at(self, ramp: Option<Ramp>, now: Time) -> u32 {
        let Some(ramp) = ramp else {
            return self.slots;
        };
        let gone = now.since(ramp.since).as_micros();
        let duration = ramp.duration.as_micros();
        if gone >= duration {
            return self.slots;
        }
        let grown = u128::from(self.slots) * gone / duration;
        u32::try_from(grown).unwrap_or(self.slots).max(1).min(self.slots)
    }

    /// When the next slot comes into force, if the cold start is not over.
    pub(crate) fn next_step(self, ramp: Option<Ramp>, now: Time) -> Option<Time> {
        let ramp = ramp?;
        let next = self.slots_at(Some(ramp), now) + 1;
        if next > self.slots {
            return None;
        }
        let micros = (ramp.duration.as_micros() * u128::from(next)).div_ceil(self.slots.into());
        let micros = u64::try_from(micros).unwrap_or(u64::MAX);
        Some(ramp.since + time::Duration::from_micros(micros))
    }

    /// Waiting requests that callers may always have.
    pub(crate) fn min_caller_queue(self) -> usize {
        self.queue.div_ceil(CALLER_SHARE) as usize
    }
}

/// Slots that callers' work gets before internal calls.
pub(crate) fn min_caller_slots(slots: u32) -> u32 {
    // With a single slot, callers' work gets a share of its starts instead.
    if slots == 1 { 0 } else { slots.div_ceil(CALLER_SHARE) }
}

/// Internal starts on a single slot after which waiting callers' work is next.
pub(crate) const MAX_INTERNAL_STARTS: u32 = CALLER_SHARE - 1;

/// Slots that long work and stragglers may hold, while short work keeps `short` slots busy.
///
/// A quarter of the slots is always left to short work. Where it needs more, up to half of the
/// slots is left: with 6 slots of which long work held 5, short work that needed 2 waited longer
/// than 8 times its service time (see the measurements).
pub(crate) fn max_slow_slots(slots: u32, short: u32) -> u32 {
    let left = short.min(slots / 2).max(slots / 4).max(1);
    slots.saturating_sub(left).max(1)
}
