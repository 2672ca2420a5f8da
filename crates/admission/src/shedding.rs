//! The slots that a target really has, when its backend server sheds requests though its node has
//! given them slots.
//!
//! A backend server that sheds at its capacity takes every request that starts below some number of
//! running ones, and none above it. One that sheds at random takes most requests whatever the
//! number; fewer slots would not help it.

use std::time;

use world::time::Time;

/// Time after a shed for which the slots stay limited.
const HOLD: time::Duration = time::Duration::from_secs(1);
/// Time after which one more slot is tried, from [`HOLD`] on. A backend server whose capacity does
/// not change sheds about one request in each [`HOLD`] then.
const STEP: time::Duration = time::Duration::from_millis(250);
/// One in this many slots is always usable, rounded up.
const MIN_SHARE: u32 = 4;
/// Slots that are always usable, if there are as many: one for callers' requests, and one for the
/// calls that they may wait for.
const MIN_SLOTS: u32 = 2;
/// Time after which older outcomes count half.
const HALF_LIFE: time::Duration = time::Duration::from_millis(500);
/// Sheds beyond the requests taken at the same levels that limit the slots. A single one at a level
/// that is seldom reached does not tell a full server from one that sheds at random.
const MIN_SHEDS: u32 = 2;
/// Groups of levels whose outcomes are counted. The level of a request is the number of requests
/// that ran when it started, itself included.
const GROUPS: usize = 16;

/// Limits the slots of a target that sheds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shedding {
    groups: [Outcomes; GROUPS],
    halved: Time,
    limit: Option<Limit>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    taken: u32,
    shed: u32,
}

#[derive(Clone, Copy, Debug)]
struct Limit {
    slots: u32,
    /// Time of the last shed that counted.
    since: Time,
}

impl Shedding {
    /// Records that the backend server took a request that had started at this level.
    pub(crate) fn record_taken(&mut self, now: Time, level: u32, slots: u32) {
        self.age(now);
        self.groups[group(level, slots)].taken += 1;
    }

    /// Records that the backend server shed a request that had started at this level. Limits the
    /// slots if it has shed most requests that started at this level or a higher one. `running`
    /// are those of them that it has taken and that still run.
    pub(crate) fn record_shed(&mut self, now: Time, level: u32, running: u32, slots: u32) {
        self.age(now);
        let first = group(level, slots);
        self.groups[first].shed += 1;
        let above = &self.groups[first..];
        let shed: u32 = above.iter().map(|it| it.shed).sum();
        let taken: u32 = above.iter().map(|it| it.taken).sum();
        if shed < taken + running + MIN_SHEDS {
            return;
        }
        let usable = self.usable(now, slots);
        let least = slots.div_ceil(MIN_SHARE).max(MIN_SLOTS).min(slots);
        let slots = usable.min(level.saturating_sub(1)).max(least);
        self.limit = Some(Limit { slots, since: now });
    }

    /// Returns how many of `slots` are usable.
    pub(crate) fn usable(&self, now: Time, slots: u32) -> u32 {
        let Some(limit) = self.limit else { return slots };
        let steps = match now.since(limit.since).checked_sub(HOLD) {
            Some(over) => 1 + over.as_millis() / STEP.as_millis(),
            None => 0,
        };
        let steps = u32::try_from(steps).unwrap_or(u32::MAX);
        limit.slots.saturating_add(steps).min(slots)
    }

    /// Returns when one more slot becomes usable; `None` while all are.
    pub(crate) fn next_step(&self, now: Time, slots: u32) -> Option<Time> {
        let limit = self.limit?;
        if self.usable(now, slots) >= slots {
            return None;
        }
        let first = limit.since + HOLD;
        let steps = now.since(first).as_millis() / STEP.as_millis();
        let steps = u32::try_from(steps).unwrap_or(u32::MAX);
        Some(if now < first { first } else { first + STEP * steps.saturating_add(1) })
    }

    fn age(&mut self, now: Time) {
        let age = now.since(self.halved);
        if age < HALF_LIFE {
            return;
        }
        let halvings = (age.as_millis() / HALF_LIFE.as_millis()).min(31);
        for it in &mut self.groups {
            it.taken >>= halvings;
            it.shed >>= halvings;
        }
        self.halved = now;
    }
}

fn group(level: u32, slots: u32) -> usize {
    let below = u64::from(level.saturating_sub(1).min(slots.saturating_sub(1)));
    (below * GROUPS as u64 / u64::from(slots.max(1))) as usize
}
