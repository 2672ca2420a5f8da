//! Limits on how often a request is sent: the attempts that are passed along with it, and the
//! retry limit of each node.
//!
//! An extra send is a retry or a hedge, each send of a request beyond the first one.

use std::{collections, time};

use compact_str::CompactString;
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
/// Teams that are told apart, which bounds the memory. All further ones share one budget.
const MAX_TEAMS: usize = 1_024;

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
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
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
///
/// Each team has the percentage of its own first sends, which no other team can use up. What
/// rounding leaves of the percentage of all first sends, at least [`MIN_RETRIES`], is for teams
/// with fewer extra sends than that.
#[derive(Clone, Debug)]
pub struct RetryLimiter {
    percent: u32,
    /// The teams with sends within the window, by name; empty for requests without a team.
    teams: collections::HashMap<CompactString, Sends>,
    /// The second up to which the totals are those of the window.
    second: u64,
    /// First sends of all teams.
    first: u64,
    /// Extra sends that teams have made or have left of their own, of all teams.
    reserved: u64,
}

/// The retry budget of one team.
#[derive(Debug)]
pub struct TeamLimiter<'a> {
    limiter: &'a mut RetryLimiter,
    team: CompactString,
}

/// The sends of one team within the window.
#[derive(Clone, Copy, Debug, Default)]
struct Sends {
    buckets: [Bucket; BUCKETS],
    first: u64,
    /// Internal calls among `first`.
    calls: u64,
    extra: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    second: u64,
    first: u32,
    calls: u32,
    extra: u32,
}

impl Default for RetryLimiter {
    fn default() -> RetryLimiter {
        RetryLimiter::new(RETRY_PERCENT)
    }
}

impl RetryLimiter {
    /// Creates a limiter that allows `percent` extra sends per hundred first sends.
    pub fn new(percent: u32) -> RetryLimiter {
        let teams = collections::HashMap::new();
        RetryLimiter { percent, teams, second: 0, first: 0, reserved: 0 }
    }

    /// Returns the budget of a team; empty for requests without a team.
    pub fn team(&mut self, team: &str) -> TeamLimiter<'_> {
        let known = self.teams.len() < MAX_TEAMS || self.teams.contains_key(team);
        TeamLimiter { limiter: self, team: if known { team.into() } else { "".into() } }
    }

    /// Returns the number of teams that are kept.
    pub fn kept_teams(&self) -> usize {
        self.teams.len()
    }

    /// Adds sends of a team at `now`.
    fn add(&mut self, now: Time, team: &CompactString, first: u32, extra: u32) {
        self.roll(now);
        let sends = self.teams.entry(team.clone()).or_default();
        let before = sends.reserved(self.percent);
        let bucket = sends.bucket(second(now));
        bucket.first = bucket.first.saturating_add(first);
        bucket.extra = bucket.extra.saturating_add(extra);
        sends.first += u64::from(first);
        sends.extra += u64::from(extra);
        self.first += u64::from(first);
        self.reserved += sends.reserved(self.percent) - before;
    }

    /// Returns whether a team may make an extra send. A caller's move leaves a part of the
    /// team's own sends to its calls (`keep_for_calls`).
    fn allows(&mut self, now: Time, team: &CompactString, keep_for_calls: bool) -> bool {
        self.roll(now);
        let sends = self.teams.get(team).copied().unwrap_or_default();
        let own = sends.own(self.percent);
        let kept = if keep_for_calls { own * sends.calls / (2 * sends.first.max(1)) } else { 0 };
        if sends.extra < own - kept {
            return true;
        }
        if kept > 0 {
            return false;
        }
        let min = u64::from(MIN_RETRIES);
        let allowed = (self.first * u64::from(self.percent) / 100).max(min);
        sends.extra < min && self.reserved < allowed
    }

    /// Computes the totals of the window once a second, and removes teams without sends.
    fn roll(&mut self, now: Time) {
        let second = second(now);
        if second == self.second {
            return;
        }
        self.second = second;
        self.teams.retain(|_, it| it.roll(second));
        self.first = self.teams.values().map(|it| it.first).sum();
        self.reserved = self.teams.values().map(|it| it.reserved(self.percent)).sum();
    }
}

impl TeamLimiter<'_> {
    /// Counts the first send of a request.
    pub fn record_first(&mut self, now: Time) {
        self.limiter.add(now, &self.team, 1, 0);
    }

    /// Counts the first send of a request that repeats an earlier one, as an extra send: this node
    /// sends it for the first time, but it may have run elsewhere. It is never refused.
    pub fn record_repeat(&mut self, now: Time) {
        self.limiter.add(now, &self.team, 0, 1);
    }

    /// Counts an extra send if the limit allows one, and returns whether it does.
    pub fn try_extra(&mut self, now: Time, toggles: &toggles::Toggles) -> bool {
        self.try_add(now, false, toggles)
    }

    /// Counts that the first send counted last was an internal call.
    pub fn record_call(&mut self, now: Time) {
        let Some(sends) = self.limiter.teams.get_mut(&self.team) else { return };
        let bucket = sends.bucket(second(now));
        bucket.calls = bucket.calls.saturating_add(1);
        sends.calls += 1;
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
        self.try_add(now, class == requests::Class::Caller, toggles)
    }

    fn try_add(&mut self, now: Time, keep_for_calls: bool, toggles: &toggles::Toggles) -> bool {
        if toggles.retry_limit && !self.limiter.allows(now, &self.team, keep_for_calls) {
            return false;
        }
        self.limiter.add(now, &self.team, 0, 1);
        true
    }
}

impl Sends {
    /// The extra sends that the team's own first sends allow.
    fn own(&self, percent: u32) -> u64 {
        self.first * u64::from(percent) / 100
    }

    fn reserved(&self, percent: u32) -> u64 {
        self.extra.max(self.own(percent))
    }

    /// Computes the sums of the window that ends with `second`. Returns whether there are sends.
    fn roll(&mut self, second: u64) -> bool {
        (self.first, self.calls, self.extra) = (0, 0, 0);
        for bucket in &self.buckets {
            if second - bucket.second.min(second) < BUCKETS as u64 {
                self.first += u64::from(bucket.first);
                self.calls += u64::from(bucket.calls);
                self.extra += u64::from(bucket.extra);
            }
        }
        self.first + self.extra > 0
    }

    fn bucket(&mut self, second: u64) -> &mut Bucket {
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
