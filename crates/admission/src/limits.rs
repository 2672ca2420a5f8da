//! Limits of a target, and the feature toggles of admission.

use std::time;

use world::{contracts, time::Time};

use crate::work;

/// One in this many slots and queue places is guaranteed to callers' requests, rounded up.
const CALLER_SHARE: u32 = 4;

/// Limits of one target.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Requests that may run at the same time.
    pub slots: u32,
    /// Requests that may wait for a slot.
    pub queue: u32,
}

/// One in this many slots goes to internal calls before more urgent callers' requests, rounded down.
/// The request that makes a call holds a slot elsewhere, so calls need a part in any case.
const CALL_SHARE: u32 = 4;

/// A cold start, in which the number of usable slots grows linearly from 1 to the limit.
#[derive(Clone, Copy, Debug)]
pub struct Ramp {
    /// When the backend server started.
    pub since: Time,
    /// Time from the start until all slots are usable.
    pub duration: time::Duration,
}

/// Feature toggles of the admission rules. Production code uses the default, all on. Tests turn one
/// off to show that a case fails without the rule.
#[derive(Clone, Copy, Debug)]
pub struct Toggles {
    /// Movable requests are refused if they would wait too long behind long requests and
    /// stragglers.
    pub blocked_refusal: bool,
    /// Requests that cannot meet their deadline are refused.
    pub deadlines: bool,
    /// Internal calls start before callers' requests, except for the callers' minimum share.
    pub internal_priority: bool,
    /// Long requests start only while some slots are left to short ones.
    pub long_limit: bool,
    /// Requests are refused if they would miss their objective, or wait longer than is useful.
    pub objectives: bool,
    /// No two suspects run at the same time.
    pub suspect_isolation: bool,
    /// Routes share the slots by weight; otherwise requests start in order of arrival.
    pub fair_queueing: bool,
    /// More urgent requests go first, and less urgent ones are refused first.
    pub ranks: bool,
    /// The teams of a route share its slots; otherwise a route's requests start in order of arrival.
    pub teams: bool,
}

impl Toggles {
    /// Returns the work without what admission does not tell apart.
    pub(crate) fn reduce(self, work: work::Work) -> work::Work {
        let team = if self.teams { work.team } else { contracts::TeamKey::default() };
        work::Work { rank: if self.ranks { work.rank } else { 0 }, team, ..work }
    }
}

impl Default for Toggles {
    fn default() -> Toggles {
        Toggles {
            blocked_refusal: true,
            deadlines: true,
            internal_priority: true,
            long_limit: true,
            objectives: true,
            suspect_isolation: true,
            fair_queueing: true,
            ranks: true,
            teams: true,
        }
    }
}

impl Limits {
    /// Returns the number of usable slots at `now`, at least 1 unless the limit is 0.
    pub(crate) fn slots_at(self, ramp: Option<Ramp>, now: Time) -> u32 {
        let Some(ramp) = ramp else {
            return self.slots;
        };
        let elapsed = now.since(ramp.since).as_micros();
        let duration = ramp.duration.as_micros();
        if elapsed >= duration {
            return self.slots;
        }
        let usable = u128::from(self.slots) * elapsed / duration;
        u32::try_from(usable).unwrap_or(self.slots).max(1).min(self.slots)
    }

    /// Returns when the next slot becomes usable; `None` unless there is a cold start at `now`.
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

    /// Returns the number of queue places that are guaranteed to callers' requests.
    pub(crate) fn min_caller_queue(self) -> usize {
        self.queue.div_ceil(CALLER_SHARE) as usize
    }
}

/// Returns the number of slots that callers' requests get before internal calls.
pub(crate) fn min_caller_slots(slots: u32) -> u32 {
    // A single slot cannot be shared; callers' requests get a share of its starts instead.
    if slots == 1 { 0 } else { slots.div_ceil(CALLER_SHARE) }
}

/// Returns the number of slots that internal calls hold before more urgent callers' requests, at
/// least 1. The rest is what the more urgent ones are guaranteed.
pub(crate) fn max_outranked_calls(slots: u32) -> u32 {
    (slots / CALL_SHARE).max(1)
}

/// Internal calls that may start in a row on a single slot while callers' requests wait.
pub(crate) const MAX_INTERNAL_STARTS: u32 = CALLER_SHARE - 1;

/// Returns the number of slots that long requests and stragglers may hold, at least 1, while short
/// requests keep `short` slots busy on average.
///
/// A quarter of the slots is always left to short requests, and up to half of the slots if they
/// need more. With 6 slots of which long requests held 5, short requests that needed 2 slots waited
/// longer than 8 times their service time; see docs/measurements.md.
pub(crate) fn max_slow_slots(slots: u32, short: u32) -> u32 {
    let left = short.min(slots / 2).max(slots / 4).max(1);
    slots.saturating_sub(left).max(1)
}
