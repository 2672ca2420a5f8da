//! How often a request may be sent: the attempts that travel with it, and a node's share of
//! retries.

use std::time;

use serde::{Deserialize, Serialize};
use world::{requests, time::Time};

use crate::mechanisms;

/// Sends of a request beyond the first one, over all levels of calls.
pub const MAX_EXTRA_SENDS: u8 = 2;
/// Window over which a node counts its sends.
pub const WINDOW: time::Duration = time::Duration::from_secs(10);
/// Retries and hedges per hundred first sends of the window, unless the settings say otherwise.
pub const RETRY_PERCENT: u32 = 10;
/// Extra sends that a node may always make in a window. A node with fewer than ten requests in
/// 10 s could otherwise never retry; over 25,000 nodes it is at most 7,500 sends a second, under
/// 0.1% of the load.
pub const MIN_RETRIES: u32 = 3;

/// The time that is left goes along in whole milliseconds, so a target's node can find the
/// deadline passed this much before the sender does.
pub const DEADLINE_RESOLUTION: time::Duration = time::Duration::from_millis(1);

const BUCKETS: usize = 10;

/// The limits of a request, passed down with each send.
///
/// Time is sent as a duration, since the clocks of two processes are not comparable.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Budget {
    /// Sends that remain beyond the first one of each call.
    pub attempts: u8,
    /// Levels of calls, this one included; a request of a caller is at level 1.
    pub depth: u8,
    /// Time until the deadline, in milliseconds.
    pub remaining_ms: u32,
}

/// Why a request may not be sent at all.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A loop between services, or a chain that is too long.
    #[error("the request is more than {max} calls deep", max = requests::MAX_DEPTH)]
    TooDeep,
    /// The deadline has passed.
    #[error("the request's deadline has passed")]
    TooLate,
}

/// The result of checks on budgets.
pub type Result<T> = std::result::Result<T, Error>;

impl Budget {
    /// The budget that the first node gives a caller's request. `targets` is how many targets its
    /// route lets it be sent to, the first one included.
    pub fn new(timeout: time::Duration, targets: Option<u32>) -> Budget {
        let extra = targets.map_or(MAX_EXTRA_SENDS.into(), |it| it.saturating_sub(1));
        let attempts = u8::try_from(extra).unwrap_or(MAX_EXTRA_SENDS).min(MAX_EXTRA_SENDS);
        Budget { attempts, depth: 1, remaining_ms: millis(timeout) }
    }

    /// Checks a request as it arrives.
    pub fn check(&self) -> Result<()> {
        if self.depth > requests::MAX_DEPTH {
            return Err(Error::TooDeep);
        }
        if self.remaining_ms == 0 {
            return Err(Error::TooLate);
        }
        Ok(())
    }

    /// The budget that goes with a send to the target's node, which keeps it for the calls that
    /// the request makes there. Half of the attempts, if uneven the smaller half, goes along: an
    /// answer that never comes takes them with it, and this node must still be able to retry.
    pub fn split_for_send(&mut self, remaining: time::Duration) -> Budget {
        let attempts = self.attempts / 2;
        self.attempts -= attempts;
        Budget { attempts, depth: self.depth, remaining_ms: millis(remaining) }
    }

    /// The budget of a call that the request makes, one level deeper. It holds all attempts until
    /// it is settled, so calls at the same time share what the request has.
    pub fn take_for_call(&mut self, remaining: time::Duration) -> Budget {
        let attempts = self.attempts;
        self.attempts = 0;
        Budget { attempts, depth: self.depth.saturating_add(1), remaining_ms: millis(remaining) }
    }

    /// This budget one level below `parent`, whose attempts it does not share.
    pub fn child_of(self, parent: &Budget, remaining: time::Duration) -> Budget {
        let depth = parent.depth.saturating_add(1);
        Budget { attempts: self.attempts, depth, remaining_ms: millis(remaining) }
    }

    /// Takes back the attempts that a send or a call did not use, as its answer says.
    pub fn return_unused(&mut self, unused: u8) {
        self.attempts = self.attempts.saturating_add(unused).min(MAX_EXTRA_SENDS);
    }

    /// Uses an attempt, if one remains.
    pub fn try_spend(&mut self, mechanisms: &mechanisms::Mechanisms) -> bool {
        if !mechanisms.budget {
            return true;
        }
        let spent = self.attempts > 0;
        self.attempts = self.attempts.saturating_sub(1);
        spent
    }
}

/// A node's sends of the last [`WINDOW`], which limit its retries and hedges.
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
    extra: u32,
}

impl RetryLimiter {
    /// A share of `percent` retries and hedges per hundred first sends.
    pub fn new(percent: u32) -> RetryLimiter {
        RetryLimiter { buckets: [Bucket::default(); BUCKETS], percent }
    }

    /// Counts a first send.
    pub fn record_first(&mut self, now: Time) {
        let bucket = self.bucket(now);
        bucket.first = bucket.first.saturating_add(1);
    }

    /// Counts a send that repeats work although its sender has not sent it before.
    pub fn record_repeat(&mut self, now: Time) {
        let bucket = self.bucket(now);
        bucket.extra = bucket.extra.saturating_add(1);
    }

    /// Counts a retry or a hedge, if the share allows one.
    pub fn try_extra(&mut self, now: Time, mechanisms: &mechanisms::Mechanisms) -> bool {
        if mechanisms.retry_limit && !self.allows(now) {
            return false;
        }
        let bucket = self.bucket(now);
        bucket.extra = bucket.extra.saturating_add(1);
        true
    }

    fn allows(&self, now: Time) -> bool {
        let second = second(now);
        let (mut first, mut extra) = (0_u64, 0_u64);
        for bucket in &self.buckets {
            if second - bucket.second.min(second) < BUCKETS as u64 {
                first += u64::from(bucket.first);
                extra += u64::from(bucket.extra);
            }
        }
        let allowed = (first * u64::from(self.percent) / 100).max(MIN_RETRIES.into());
        extra < allowed
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
    // A bucket's default is second zero, which must not look like a second of the window.
    now.as_micros() / 1_000_000 + BUCKETS as u64
}

fn millis(duration: time::Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
