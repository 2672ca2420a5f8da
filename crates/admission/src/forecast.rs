//! How long new work would wait, from measured service times.

use std::time;

use world::{requests::Class, time::Time};

use crate::{gate, limits, routes};

impl gate::Gate {
    /// Expected time until a request of the lane starts that would be queued now.
    pub(crate) fn expected_wait(
        &self,
        now: Time,
        lane: routes::LaneKey,
        class: Class,
    ) -> time::Duration {
        let slots = self.free_slots(now, lane, class);
        // On average the first of n busy slots becomes free after the n-th part of a run.
        let micros = self.routes.overall_mean() + self.queue(class).ahead(lane);
        time::Duration::from_micros(micros / u64::from(slots))
    }

    /// Slots that serve the lane's waiting work, without those that stragglers hold.
    fn free_slots(&self, now: Time, lane: routes::LaneKey, class: Class) -> u32 {
        let slots = self.slots(now);
        let own = match class {
            Class::Caller => self.caller_slots(now, slots),
            Class::Internal if self.callers.len() == 0 => slots,
            Class::Internal => limits::internal_slots(slots),
        };
        let long = match class {
            Class::Caller => self.caller_long_slots(now, slots),
            Class::Internal => limits::long_slots(slots),
        };
        let capped = self.mechanisms.long && self.counts_as_long(lane);
        let own = if capped { own.min(long) } else { own };
        own.saturating_sub(self.counts.stragglers).max(1)
    }
}
