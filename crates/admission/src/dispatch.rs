//! Decides which waiting request gets a free slot.

use std::time;

use world::{requests::Class, time::Time};

use crate::{controller, limits, queue, requests, routes, work};

/// How long a slot is reserved for internal calls after the last one. Services that call one
/// another do so all the time; at a target without internal calls, callers' requests may use every
/// slot.
const INTERNAL_RESERVE: time::Duration = time::Duration::from_secs(60);

impl controller::Controller {
    /// Starts waiting requests while there are free slots, and refuses those that are past their
    /// latest start or blocked.
    pub(crate) fn dispatch(&mut self, now: Time, effects: &mut Vec<work::Effect>) {
        let slots = self.slots(now);
        while self.counts.running() < slots {
            let Some((flow, key)) = self.next(now, slots) else {
                break;
            };
            if self.is_late(now, flow, key) {
                self.refuse(key, work::RefusalReason::Deadline, effects);
                continue;
            }
            if self.rate.as_mut().is_some_and(|it| !it.take(now)) {
                break;
            }
            self.start(now, flow, key);
            effects.push(work::Effect::Start(key));
        }
        self.refuse_blocked(now, slots, effects);
    }

    /// Returns when the slot that is reserved for internal calls becomes available to callers.
    pub(crate) fn reserve_end(&self) -> Option<Time> {
        self.last_internal.map(|it| it + INTERNAL_RESERVE)
    }

    /// Returns the number of slots that callers' requests may hold. One slot is reserved for
    /// internal calls: callers' requests that hold all slots and wait for internal calls to the
    /// same target would be in a deadlock.
    pub(crate) fn max_caller_slots(&self, now: Time, slots: u32) -> u32 {
        let recent = self.reserve_end().is_some_and(|it| now < it);
        let reserved = self.toggles.internal_priority && slots > 1 && recent;
        slots - u32::from(reserved)
    }

    fn next(&self, now: Time, slots: u32) -> Option<(routes::FlowKey, work::RequestKey)> {
        let callers = self.max_caller_slots(now, slots);
        let max_slow = self.max_caller_slow(now, slots);
        let caller = || {
            let free = !self.toggles.internal_priority || self.counts.callers < callers;
            free.then(|| self.next_in(Class::Caller, self.counts.slow < max_slow)).flatten()
        };
        // The first internal call may be long even if callers' stragglers hold all slots for slow
        // requests, since they may be waiting for it.
        let may_be_long =
            self.counts.internal == 0 || self.counts.slow < self.max_slow_slots(slots);
        let internal = || self.next_in(Class::Internal, may_be_long);
        if self.toggles.internal_priority && !self.callers_below_min(slots) {
            return internal().or_else(caller);
        }
        caller().or_else(internal)
    }

    /// Returns the number of slots that callers' long requests and stragglers may hold. The slot
    /// that is reserved for internal calls does not count as one left to short requests.
    pub(crate) fn max_caller_slow(&self, now: Time, slots: u32) -> u32 {
        let reserved = slots - self.max_caller_slots(now, slots);
        self.max_slow_slots(slots).saturating_sub(reserved).max(1)
    }

    /// Returns whether callers' requests have less than their minimum share.
    fn callers_below_min(&self, slots: u32) -> bool {
        if slots == 1 {
            return self.internal_starts >= limits::MAX_INTERNAL_STARTS;
        }
        self.counts.callers < limits::min_caller_slots(slots)
    }

    fn next_in(
        &self,
        class: Class,
        may_be_long: bool,
    ) -> Option<(routes::FlowKey, work::RequestKey)> {
        let open = |flow| !self.toggles.long_limit || may_be_long || !self.counts_as_long(flow);
        let ready = |key| {
            let suspect = self.requests.get(key).is_some_and(|it| it.work.suspect);
            !self.toggles.suspect_isolation || self.suspects.may_start(suspect)
        };
        self.queue(class).next(self.order(), open, ready)
    }

    /// Returns whether a request of the flow that starts now counts as long. Of a route without
    /// measurements, one request at a time runs as a short one, to measure the route; further ones
    /// count as long because they might be.
    pub(crate) fn counts_as_long(&self, flow: routes::FlowKey) -> bool {
        match self.routes.length(flow) {
            routes::Length::Long => true,
            routes::Length::Short => false,
            routes::Length::Unmeasured => self.routes.running(flow) > 0,
        }
    }

    pub(crate) fn order(&self) -> queue::Order {
        if self.toggles.fair_queueing { queue::Order::Weight } else { queue::Order::Arrival }
    }

    fn is_late(&self, now: Time, flow: routes::FlowKey, key: work::RequestKey) -> bool {
        let Some(it) = self.requests.get(key) else {
            return true;
        };
        self.toggles.deadlines && now > self.routes.latest_start(flow, it.work.deadline)
    }

    fn start(&mut self, now: Time, flow: routes::FlowKey, key: work::RequestKey) {
        let long = self.counts_as_long(flow);
        let mean = self.routes.mean(flow);
        let Some(it) = self.requests.get_mut(key) else {
            return;
        };
        let level = self.counts.running() + 1;
        let run = requests::Run { started: now, long, straggler: false, level };
        it.state = requests::State::Running(run);
        let work = it.work;
        self.queue_mut(work.class).start(flow, key, mean);
        self.counts.start(work.class, long);
        self.suspects.add(work.suspect);
        self.routes.start(flow);
        self.internal_starts = match work.class {
            Class::Caller => 0,
            Class::Internal => self.internal_starts.saturating_add(1),
        };
        self.set_straggler_timer(key);
    }

    /// Sets the time from which a running request is a straggler, if its route has a median.
    pub(crate) fn set_straggler_timer(&mut self, key: work::RequestKey) {
        let Some(it) = self.requests.get(key) else {
            return;
        };
        let requests::State::Running(run) = it.state else {
            return;
        };
        let at = self.routes.median(it.flow).map(|it| {
            let micros = u64::from(it) * u64::from(routes::LONG_FACTOR);
            run.started + time::Duration::from_micros(micros + 1)
        });
        self.requests.set_timer(key, at);
    }

    /// Refuses movable requests when stragglers hold every slot that these requests could get. It
    /// is unknown when one becomes free, so another target is the better choice.
    fn refuse_blocked(&mut self, now: Time, slots: u32, effects: &mut Vec<work::Effect>) {
        if !self.toggles.blocked_refusal
            || self.counts.stragglers < self.max_caller_slots(now, slots)
        {
            return;
        }
        let mut keys: Vec<work::RequestKey> = self.caller_queue.keys().collect();
        if self.counts.stragglers >= slots {
            keys.extend(self.internal_queue.keys());
        }
        keys.retain(|&it| self.requests.get(it).is_some_and(|it| it.work.movable));
        for key in keys {
            self.refuse(key, work::RefusalReason::Blocked, effects);
        }
    }
}
