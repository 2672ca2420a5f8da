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
            if self.is_late(now, flow.route, key) {
                self.refuse(now, key, work::RefusalReason::Deadline, effects);
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

    fn next(&self, now: Time, slots: u32) -> Option<(queue::FlowId, work::RequestKey)> {
        let callers = self.max_caller_slots(now, slots);
        let max_slow = self.max_caller_slow(now, slots);
        let caller = |outranked: Option<(u32, u32)>| {
            let free = !self.toggles.internal_priority || self.counts.callers < callers;
            let may_be_long = self.counts.slow < max_slow;
            free.then(|| self.next_in(Class::Caller, may_be_long, outranked)).flatten()
        };
        // The first internal call may be long even if callers' stragglers hold all slots for slow
        // requests, since they may be waiting for it.
        let may_be_long =
            self.counts.internal == 0 || self.counts.slow < self.max_slow_slots(slots);
        let call = self.next_in(Class::Internal, may_be_long, None);
        if !self.toggles.internal_priority || self.callers_below_min(slots) {
            return caller(None).or(call);
        }
        let urgency = call.and_then(|it| self.requests.get(it.1)).map(|it| it.work.urgency());
        let outranked =
            urgency.filter(|it| self.counts.calls_from(it.0) >= limits::max_outranked_calls(slots));
        outranked.and_then(|it| caller(Some(it))).or(call).or_else(|| caller(None))
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

    /// Returns the next request of a class; with `outranked`, only one that outranks this urgency.
    fn next_in(
        &self,
        class: Class,
        may_be_long: bool,
        outranked: Option<(u32, u32)>,
    ) -> Option<(queue::FlowId, work::RequestKey)> {
        let may_start =
            |route| !self.toggles.long_limit || may_be_long || !self.counts_as_long(route);
        let open = |flow: queue::FlowId, weight| {
            let first = outranked.is_none_or(|it| work::outranks((flow.rank, weight), it));
            first && may_start(flow.route)
        };
        let ready = |key| {
            let suspect = self.requests.get(key).is_some_and(|it| it.work.suspect);
            !self.toggles.suspect_isolation || self.suspects.may_start(suspect)
        };
        self.queue(class).next(self.order(class), open, ready)
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

    /// Callers' requests share the slots by weight, so that the less urgent ones are not starved.
    /// Calls go by rank, since a late call is worth nothing.
    pub(crate) fn order(&self, class: Class) -> queue::Order {
        match class {
            _ if !self.toggles.fair_queueing => queue::Order::Arrival,
            Class::Caller => queue::Order::Weight,
            Class::Internal => queue::Order::Rank,
        }
    }

    fn is_late(&self, now: Time, flow: routes::FlowKey, key: work::RequestKey) -> bool {
        let Some(it) = self.requests.get(key) else {
            return true;
        };
        self.toggles.deadlines && now > self.routes.latest_start(flow, it.work.deadline)
    }

    fn start(&mut self, now: Time, flow: queue::FlowId, key: work::RequestKey) {
        let long = self.counts_as_long(flow.route);
        let mean = self.routes.mean(flow.route);
        let Some(it) = self.requests.get_mut(key) else {
            return;
        };
        let level = self.counts.running() + 1;
        let run = requests::Run { started: now, long, straggler: false, level };
        it.state = requests::State::Running(run);
        let work = it.work;
        self.queue_mut(work.class).start(flow, key, mean);
        self.counts.start(&work, long);
        self.losses.record_start(now, &work);
        self.suspects.add(work.suspect);
        self.routes.start(flow.route);
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
            self.refuse(now, key, work::RefusalReason::Blocked, effects);
        }
    }
}
