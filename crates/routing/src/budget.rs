//! Limits on how often a request is sent: the attempts that are passed along with it, and the
//! retry limit of each node.
//!
//! An extra send is a retry or a hedge, each send of a request beyond the first one.

use std::time;

use serde::{Deserialize, Serialize};
use world::{requests, time::Time};

use crate::toggles;

/// Largest number of extra sends of one request, over all levels of calls.
pub const MAX_EXTRA_SENDS: u8 = 2;
/// Sliding window over which a node counts its sends.
pub const WINDOW: time::Duration = time::Duration::from_secs(10);
/// Default of the setting `retry-percent`: extra sends per hundred first sends of the window.
pub const RETRY_PERCENT: u32 = 10;
/// Extra sends per window that are allowed regardless of the percentage. Otherwise a node with
/// fewer than ten requests in 10 s could never retry. With 25,000 nodes this adds at most 7,500
/// sends per second, less than 0.1% of the load.
pub const MIN_RETRIES: u32 = 3;

/// Rounding error of a deadline on the wire. The remaining time is sent in whole milliseconds,
/// rounded down, so the target's node can find the deadline passed this much earlier than the
/// sender.
pub const DEADLINE_RESOLUTION: time::Duration = time::Duration::from_millis(1);

/// One bucket for each second of [`WINDOW`].
const BUCKETS: usize = 10;

/// The remaining attempts, call depth and time of a request, passed along with each send.
///
/// The deadline is sent as a remaining duration, since the clocks of two processes differ.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Budget {
    /// Extra sends that remain. The first send of each call needs none.
    pub attempts: u8,
    /// Level in the chain of calls; a caller's request has level 1.
    pub depth: u8,
    /// Time until the deadline, in milliseconds.
    pub remaining_ms: u32,
}

/// Why a request is refused because of its budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The chain of calls is too long, for example because services call one another in a loop.
    #[error("the request exceeds the maximum call depth of {max}", max = requests::MAX_DEPTH)]
    TooDeep,
    /// The deadline has passed.
    #[error("the request's deadline has passed")]
    TooLate,
}

/// The result of a check of a budget.
pub type Result<T> = std::result::Result<T, Error>;

impl Budget {
    /// Creates the budget of a caller's request, at the node that receives it. `targets` is the
    /// number of targets that the route allows it to be sent to, including the first one.
    pub fn new(timeout: time::Duration, targets: Option<u32>) -> Budget {
        let extra = targets.map_or(MAX_EXTRA_SENDS.into(), |it| it.saturating_sub(1));
        let attempts = u8::try_from(extra).unwrap_or(MAX_EXTRA_SENDS).min(MAX_EXTRA_SENDS);
        Budget { attempts, depth: 1, remaining_ms: millis(timeout) }
    }

    /// Checks the budget of a request that has arrived.
    ///
    /// # Errors
    ///
    /// Returns an error if the chain of calls is too long or no time remains.
    pub fn check(&self) -> Result<()> {
        if self.depth > requests::MAX_DEPTH {
            return Err(Error::TooDeep);
        }
        if self.remaining_ms == 0 {
            return Err(Error::TooLate);
        }
        Ok(())
    }

    /// Splits off the budget for a send, which the target's node uses for the calls that the
    /// request makes there. `remaining` is the time until the deadline.
    ///
    /// The send gets half of the attempts, rounded down. They are lost if no answer comes, and this
    /// node must still be able to retry.
    pub fn split_for_send(&mut self, remaining: time::Duration) -> Budget {
        let attempts = self.attempts / 2;
        self.attempts -= attempts;
        Budget { attempts, depth: self.depth, remaining_ms: millis(remaining) }
    }

    /// Takes the budget for a call that the request makes, one level deeper. `remaining` is the
    /// time until the call's deadline.
    ///
    /// The call gets all remaining attempts until they are returned, so concurrent calls do not
    /// multiply the attempts of the request.
    pub fn take_for_call(&mut self, remaining: time::Duration) -> Budget {
        let attempts = self.attempts;
        self.attempts = 0;
        Budget { attempts, depth: self.depth.saturating_add(1), remaining_ms: millis(remaining) }
    }

    /// Returns this budget at one level below `parent`. It keeps its own attempts. `remaining` is
    /// the time until the deadline.
    pub fn child_of(self, parent: &Budget, remaining: time::Duration) -> Budget {
        let depth = parent.depth.saturating_add(1);
        Budget { attempts: self.attempts, depth, remaining_ms: millis(remaining) }
    }

    /// Takes back the attempts that a send or a call has not used, according to its answer.
    pub fn return_unused(&mut self, unused: u8) {
        self.attempts = self.attempts.saturating_add(unused).min(MAX_EXTRA_SENDS);
    }

    /// Uses one attempt. Returns whether one remained; always true if the toggle is off.
    pub fn try_spend(&mut self, toggles: &toggles::Toggles) -> bool {
        if !toggles.budget {
            return true;
        }
        let spent = self.attempts > 0;
        self.attempts = self.attempts.saturating_sub(1);
        spent
    }
}

/// Limits a node's extra sends to a percentage of its first sends within [`WINDOW`]; also known as
/// a retry budget.
#[derive(Clone, Debug)]
pub struct RetryLimiter {
    buckets: [Bucket; BUCKETS],
    percent: u32,
}

impl Default for RetryLimiter {
    fn default() -> RetryLimiter {
        RetryLimiter::new(RETRY_PERCENT)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    second: u64,
    first: u32,
    /// Internal calls among `first`.
    calls: u32,
    extra: u32,
}

/// The sends of the whole window.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    first: u64,
    calls: u64,
    extra: u64,
}

impl RetryLimiter {
    /// Creates a limiter that allows `percent` extra sends per hundred first sends.
    pub fn new(percent: u32) -> RetryLimiter {
        RetryLimiter { buckets: [Bucket::default(); BUCKETS], percent }
    }

    /// Counts the first send of a request.
    pub fn record_first(&mut self, now: Time) {
        let bucket = self.bucket(now);
        bucket.first = bucket.first.saturating_add(1);
    }

    /// Counts the first send of a request that repeats an earlier one, as an extra send: this node
    /// sends it for the first time, but it may have run elsewhere. It is never refused.
    pub fn record_repeat(&mut self, now: Time) {
        let bucket = self.bucket(now);
        bucket.extra = bucket.extra.saturating_add(1);
    }

    /// Counts an extra send if the limit allows one, and returns whether it does.
    pub fn try_extra(&mut self, now: Time, toggles: &toggles::Toggles) -> bool {
        if toggles.retry_limit && !self.allows(now) {
            return false;
        }
        let bucket = self.bucket(now);
        bucket.extra = bucket.extra.saturating_add(1);
        true
    }

    /// Counts that the first send counted last was an internal call.
    pub fn record_call(&mut self, now: Time) {
        let bucket = self.bucket(now);
        bucket.calls = bucket.calls.saturating_add(1);
    }

    /// Counts the move of a request that a target has shed if the limit allows one, and returns
    /// whether it does.
    ///
    /// The moves of callers' requests leave a part of the limit to calls, half as large as the part
    /// of calls among the first sends: a call that fails loses the work of the request that it is
    /// made for, and a caller's request only itself.
    pub fn try_move(
        &mut self,
        now: Time,
        class: requests::Class,
        toggles: &toggles::Toggles,
    ) -> bool {
        let totals = self.totals(now);
        let reserved = match class {
            requests::Class::Caller => {
                self.allowed(totals) * totals.calls.min(totals.first) / (2 * totals.first.max(1))
            }
            requests::Class::Internal => 0,
        };
        if toggles.retry_limit && totals.extra + reserved >= self.allowed(totals) {
            return false;
        }
        self.record_repeat(now);
        true
    }

    fn allows(&self, now: Time) -> bool {
        let totals = self.totals(now);
        totals.extra < self.allowed(totals)
    }

    /// Returns the extra sends that the limit allows in a window with these sends.
    fn allowed(&self, totals: Totals) -> u64 {
        (totals.first * u64::from(self.percent) / 100).max(MIN_RETRIES.into())
    }

    fn totals(&self, now: Time) -> Totals {
        let second = second(now);
        let mut totals = Totals::default();
        for bucket in &self.buckets {
            if second - bucket.second.min(second) < BUCKETS as u64 {
                totals.first += u64::from(bucket.first);
                totals.calls += u64::from(bucket.calls);
                totals.extra += u64::from(bucket.extra);
            }
        }
        totals
    }

    fn bucket(&mut self, now: Time) -> &mut Bucket {
        let second = second(now);
        let bucket = &mut self.buckets[second as usize % BUCKETS];
        if bucket.second != second {
            *bucket = Bucket { second, ..Bucket::default() };
        }
        bucket
    }
}

fn second(now: Time) -> u64 {
    // Starts at `BUCKETS`, so that an unused bucket, whose second is 0, is never in the window.
    now.as_micros() / 1_000_000 + BUCKETS as u64
}

fn millis(duration: time::Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
