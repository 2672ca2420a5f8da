//! How often a target has refused requests of late.

use std::time;

use world::{requests, time::Time};

/// Weight of the newest outcome, in an exponentially weighted moving average.
const NEWEST_WEIGHT: f32 = 0.3;
/// Age at which the outcomes no longer count, so that the target is tried again.
const MAX_AGE: time::Duration = time::Duration::from_secs(2);
/// Largest number of refusals that are expected before an admission.
const MAX_REFUSALS: f32 = 4.0;

/// What the share of refused requests is at least set to when the backend server sheds one. With
/// this share, [`MAX_REFUSALS`] refusals are expected.
const SHED_SHARE: f32 = MAX_REFUSALS / (MAX_REFUSALS + 1.0);

/// The recent outcomes of a node's sends to one target. Callers' requests and internal calls are
/// told apart, since calls get slots first.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Admissions {
    callers: Outcomes,
    calls: Outcomes,
    /// The requests of both classes that the backend server itself has shed.
    sheds: Outcomes,
}

/// The outcomes of one class.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    /// Moving average: 1 when all were refused.
    refused: f32,
    updated: Time,
}

impl Admissions {
    /// Records that the target admitted a request or refused it for want of room.
    pub(crate) fn record(&mut self, now: Time, class: requests::Class, admitted: bool) {
        let outcomes = match class {
            requests::Class::Caller => &mut self.callers,
            requests::Class::Internal => &mut self.calls,
        };
        outcomes.record(now, admitted);
        if admitted {
            self.sheds.record(now, admitted);
        }
    }

    /// Records that the backend server itself refused a request. The target's node had a slot for it,
    /// so neither class has room there.
    pub(crate) fn record_shed(&mut self, now: Time) {
        for outcomes in [&mut self.callers, &mut self.calls, &mut self.sheds] {
            outcomes.refused = outcomes.refused(now).max(SHED_SHARE);
            outcomes.updated = now;
        }
    }

    /// Returns how many refusals are expected before the target admits a request.
    pub(crate) fn expected_refusals(&self, now: Time, class: requests::Class) -> f32 {
        match class {
            requests::Class::Caller => self.callers.expected(now),
            requests::Class::Internal => self.calls.expected(now),
        }
    }

    /// Returns how often the backend server is expected to shed a request before it takes one.
    pub(crate) fn expected_sheds(&self, now: Time) -> f32 {
        self.sheds.expected(now)
    }
}

impl Outcomes {
    fn record(&mut self, now: Time, admitted: bool) {
        let refused = self.refused(now);
        let newest = if admitted { 0.0 } else { 1.0 };
        self.refused = refused + NEWEST_WEIGHT * (newest - refused);
        self.updated = now;
    }

    /// How many refusals are expected before an admission.
    fn expected(&self, now: Time) -> f32 {
        let refused = self.refused(now);
        (refused / (1.0 - refused).max(f32::EPSILON)).min(MAX_REFUSALS)
    }

    /// The share of refused requests. It falls evenly to zero as the outcomes get older.
    fn refused(&self, now: Time) -> f32 {
        let age = now.since(self.updated).as_secs_f32() / MAX_AGE.as_secs_f32();
        self.refused * (1.0 - age).max(0.0)
    }
}
