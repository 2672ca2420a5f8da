//! What a node knows of a team with a quota.

use std::time as std_time;

use compact_str::CompactString;
use world::time;

use crate::{demand, lots, messages};

/// Bounds of the time after which a refused caller may return.
const MIN_RETRY: std_time::Duration = std_time::Duration::from_millis(50);
const MAX_RETRY: std_time::Duration = std_time::Duration::from_secs(1);
/// The longest time after which a caller may return when the control has not given a token yet.
const SHORT_RETRY: std_time::Duration = std_time::Duration::from_millis(200);
/// The longest time after which a caller may return when it is not known whether the quota is used
/// up. A node attaches to another control within a few tenths of a second.
const UNKNOWN_RETRY: std_time::Duration = std_time::Duration::from_millis(500);

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The quota is used up.
    Exhausted,
    /// It is not known whether the quota is used up.
    Unknown,
}

/// The tokens of a team at a node, and what the control has to be told.
#[derive(Debug, Default)]
pub(crate) struct Team {
    pub(crate) name: CompactString,
    pub(crate) lots: lots::Lots,
    pub(crate) demand: demand::Demand,
    /// Whether there is something to report.
    pub(crate) changed: bool,
    /// Whether a request has found no token since the last question.
    pub(crate) short: bool,
    pub(crate) early: Pending,
    pub(crate) unused: Pending,
    pub(crate) late: Pending,
    /// Whether no request may be admitted early.
    pub(crate) closed: bool,
    /// Whether the control that the node is attached to has the team.
    pub(crate) answered: bool,
    pub(crate) exhausted: Option<Exhausted>,
    /// Callers that were refused since the last grant.
    refused: u32,
}

/// A count that the control has not confirmed: what the open question reports, and what came after.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pending {
    pub(crate) sent: u32,
    pub(crate) new: u32,
}

/// What a control said of a team whose quota is used up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Exhausted {
    /// When the node may ask again.
    pub(crate) until: time::Time,
    /// Expected time between two tokens after that.
    pub(crate) pace: std_time::Duration,
}

impl Team {
    pub(crate) fn new(name: &CompactString) -> Team {
        Team { name: name.clone(), ..Team::default() }
    }

    /// The report of the team. Gives up tokens of which the node has twice as many as it needs.
    pub(crate) fn report(&mut self, now: time::Time) -> messages::Report {
        self.lots.expire(now);
        let need = self.demand.tokens(now).max(u32::from(self.short));
        if self.lots.total() > need * 2 {
            self.unused.new += self.lots.limit(u64::MAX, need);
        }
        self.short = false;
        messages::Report {
            team: self.name.clone(),
            left: self.lots.total(),
            need,
            early: self.early.send(),
            unused: self.unused.send(),
            late: self.late.send(),
        }
    }

    /// Takes over what a control answered to the last report.
    pub(crate) fn apply(&mut self, now: time::Time, grant: messages::Grant) {
        for pending in [&mut self.early, &mut self.unused, &mut self.late] {
            pending.sent = 0;
        }
        self.answered = grant != messages::Grant::Unknown;
        self.closed = !matches!(grant, messages::Grant::Given { open: true, .. });
        self.refused = 0;
        let millis = |it: u32| std_time::Duration::from_millis(it.into());
        self.exhausted = match grant {
            messages::Grant::Exhausted { wait_ms, pace_ms } => {
                Some(Exhausted { until: now + millis(wait_ms), pace: millis(pace_ms) })
            }
            messages::Grant::Given { .. } | messages::Grant::Unknown => None,
        };
    }

    /// Whether the quota is used up, as the control said.
    pub(crate) fn is_exhausted(&self, now: time::Time) -> bool {
        self.exhausted.is_some_and(|it| now < it.until)
    }

    /// The reason to refuse a request without a token, and the time after which its caller may
    /// return: as many expected tokens later as callers were refused before.
    pub(crate) fn refuse(&mut self, now: time::Time) -> (Reason, std_time::Duration) {
        let number = self.refused;
        self.refused = number.wrapping_add(1);
        let (reason, longest) = match self.exhausted.filter(|it| now < it.until) {
            Some(it) => {
                let wait = it.until.since(now) + it.pace.saturating_mul(number);
                if wait <= MAX_RETRY {
                    return (Reason::Exhausted, wait.max(MIN_RETRY));
                }
                (Reason::Exhausted, MAX_RETRY)
            }
            None if self.answered => (Reason::Exhausted, SHORT_RETRY),
            None => (Reason::Unknown, UNKNOWN_RETRY),
        };
        (reason, spread(longest, number))
    }
}

impl Pending {
    pub(crate) fn total(self) -> u32 {
        self.sent + self.new
    }

    /// Moves what is new to what the open question reports. What a lost question reported is
    /// reported again: requests may be charged twice, and none is forgotten.
    fn send(&mut self) -> u32 {
        self.sent = self.total();
        self.new = 0;
        self.sent
    }
}

/// Spreads the callers with consecutive numbers over the second half of a time.
fn spread(longest: std_time::Duration, number: u32) -> std_time::Duration {
    /// Multiples of the golden ratio, modulo 1, are spread most evenly.
    const GOLDEN: f64 = 0.618_033_988_75;
    longest.mul_f64(0.5 + (f64::from(number) * GOLDEN).fract() / 2.0)
}
