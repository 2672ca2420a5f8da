//! Forecasts how long a new request would wait, from measured service times.

use std::time;

use world::{requests::Class, time::Time};

use crate::{controller, limits, queue, routes, work};

/// Longest expected wait of a short movable request behind slow ones, as a multiple of its route's
/// median. The forecast is a mean, and many waits are about twice as long. With half of the
/// multiple that makes a request a straggler, these waits stay below that multiple, too.
const MAX_WAIT_FACTOR: u64 = routes::LONG_FACTOR as u64 / 2;

impl controller::Controller {
    /// Returns the expected time until a request of the flow starts if it is queued now.
    pub(crate) fn expected_wait(
        &self,
        now: Time,
        flow: queue::FlowId,
        work: &work::Work,
    ) -> time::Duration {
        let ahead = self.queue(work.class).cost_ahead(self.order(work.class), flow);
        self.wait_behind(now, flow.route, work, ahead)
    }

    /// Returns the expected time until a request of the route starts behind waiting requests that
    /// need a slot for this time, in microseconds.
    pub(crate) fn wait_behind(
        &self,
        now: Time,
        flow: routes::FlowKey,
        work: &work::Work,
        ahead: u64,
    ) -> time::Duration {
        let class = work.class;
        let serving = self.serving_slots(now, flow, work);
        // On average, the first of n busy slots becomes free after 1/n of the mean service time.
        let micros = self.routes.overall_mean() + ahead;
        time::Duration::from_micros(micros / u64::from(serving)).max(self.rate_wait(now, class))
    }

    /// Returns the time until the target's limit on the rate lets a request of the class start if it
    /// is queued now. Internal calls start first.
    fn rate_wait(&self, now: Time, class: Class) -> time::Duration {
        let ahead = match class {
            Class::Caller => self.caller_queue.len() + self.internal_queue.len(),
            Class::Internal => self.internal_queue.len(),
        };
        self.rate.map_or(time::Duration::ZERO, |it| it.wait(now, ahead))
    }

    /// Returns whether a short request would wait too long for the slots that long requests and
    /// stragglers leave.
    pub(crate) fn is_blocked(&self, flow: routes::FlowKey, wait: time::Duration) -> bool {
        if !self.toggles.blocked_refusal || self.counts.slow == 0 || self.counts_as_long(flow) {
            return false;
        }
        let limit = self.routes.median(flow).map(|it| u64::from(it) * MAX_WAIT_FACTOR);
        limit.is_some_and(|it| wait > time::Duration::from_micros(it))
    }

    /// Returns the number of slots that serve the waiting requests of the flow, at least 1. Slots
    /// with slow requests do not count, since they become free late.
    fn serving_slots(&self, now: Time, flow: routes::FlowKey, work: &work::Work) -> u32 {
        let class = work.class;
        let slots = self.slots(now);
        let class_slots = match class {
            // Internal calls start first, and those that run now show how many slots they take.
            Class::Caller => {
                let left = slots.saturating_sub(self.counts.internal);
                self.max_caller_slots(now, slots)
                    .min(left)
                    .max(limits::min_caller_slots(slots))
                    .max(1)
            }
            Class::Internal if self.caller_queue.len() == 0 => slots,
            Class::Internal if self.caller_queue.has_outranking(work.urgency()) => {
                limits::max_outranked_calls(slots)
            }
            Class::Internal => slots - limits::min_caller_slots(slots),
        };
        if !self.counts_as_long(flow) {
            return class_slots.saturating_sub(self.counts.slow).max(1);
        }
        let max_slow = match class {
            Class::Caller => self.max_caller_slow(now, slots),
            Class::Internal => self.max_slow_slots(slots),
        };
        let class_slots =
            if self.toggles.long_limit { class_slots.min(max_slow) } else { class_slots };
        class_slots.saturating_sub(self.counts.stragglers).max(1)
    }
}
