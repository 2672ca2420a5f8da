//! Decides whether a new request runs, waits or is refused, and which waiting request gives way.

use std::time;

use world::{requests::Class, time::Time};

use crate::{controller, queue, routes, work};

/// Longest expected wait for a slot, as a fraction of the time until the objective. A few waiting
/// requests keep all slots busy. In overload, a longer queue does not increase the throughput and
/// only delays all requests.
pub(crate) const MAX_WAIT_SHARE: f32 = 0.15;

impl controller::Controller {
    /// Decides on a new request.
    pub(crate) fn admit(
        &mut self,
        now: Time,
        work: work::Work,
        effects: &mut Vec<work::Effect>,
    ) -> work::Decision {
        if let Some(reason) = self.shut_reason() {
            return work::Decision::Refuse(reason);
        }
        let work = self.toggles.reduce(work);
        let route = self.routes.flow(work.route);
        let latest = self.routes.latest_start(route, work.deadline);
        if self.toggles.deadlines && now > latest {
            return work::Decision::Refuse(work::RefusalReason::Deadline);
        }
        if work.class == Class::Internal {
            self.last_internal = Some(now);
        }
        let flow = queue::FlowId { rank: work.rank, team: work.team, route };
        self.displace(now, flow, &work, effects);
        let wait = self.expected_wait(now, flow, &work);
        let blocked = work.movable && self.is_blocked(route, wait);
        let key = self.enqueue(now, work, route, latest);
        self.dispatch(now, effects);
        let late = self.toggles.deadlines && now + wait > latest;
        let busy =
            self.misses_objective(now, route, &work, wait) || self.exceeds_max_wait(&work, wait);
        let reason = match () {
            _ if !self.is_waiting(key) => None,
            _ if late => Some(work::RefusalReason::Deadline),
            _ if busy => Some(work::RefusalReason::Busy),
            _ if blocked => Some(work::RefusalReason::Blocked),
            _ => None,
        };
        if let Some(reason) = reason {
            self.refuse(now, key, reason, effects);
        }
        self.trim_queue(now, effects);
        take_decision(key, effects)
    }

    /// Whether a caller's request would wait too long for its objective. An internal call is exempt:
    /// the request that makes it already holds a slot, and all its work would be lost with the call.
    /// Only the deadline ends the wait of a call.
    fn misses_objective(
        &self,
        now: Time,
        route: routes::FlowKey,
        work: &work::Work,
        wait: time::Duration,
    ) -> bool {
        if !self.toggles.objectives || work.class == Class::Internal {
            return false;
        }
        let latest = self.routes.latest_start(route, work.objective);
        now + wait > latest || wait > work.objective.since(now).mul_f32(MAX_WAIT_SHARE)
    }

    fn exceeds_max_wait(&self, work: &work::Work, wait: time::Duration) -> bool {
        let exceeds = work.movable && work.max_wait.is_some_and(|it| wait > it);
        self.toggles.objectives && exceeds
    }

    /// Refuses less urgent callers' requests that wait above the share of their flows, until a new
    /// caller's request is expected to start in time. Refuses none if that is not enough.
    fn displace(
        &mut self,
        now: Time,
        flow: queue::FlowId,
        work: &work::Work,
        effects: &mut Vec<work::Effect>,
    ) {
        if self.caller_queue.len() == 0 || work.class == Class::Internal {
            return;
        }
        let firm = self.caller_queue.firm_cost(work.urgency());
        let least = self.wait_behind(now, flow.route, work, firm);
        if self.misses_objective(now, flow.route, work, least) {
            return;
        }
        while self.misses_objective(now, flow.route, work, self.expected_wait(now, flow, work)) {
            let Some(key) = self.caller_queue.displaceable(work.urgency()) else {
                return;
            };
            self.refuse(now, key, work::RefusalReason::Displaced, effects);
        }
    }

    fn enqueue(
        &mut self,
        now: Time,
        work: work::Work,
        flow: routes::FlowKey,
        latest: Time,
    ) -> work::RequestKey {
        let key = self.requests.insert(work, flow);
        self.routes.add_request(flow);
        let cost = self.routes.mean(flow);
        let id = queue::FlowId { rank: work.rank, team: work.team, route: flow };
        let weight = self.needs.record(now, work.team, work.weight);
        self.queue_mut(work.class).push(id, (work.weight, weight), key, cost);
        if self.toggles.deadlines && work.deadline < Time::MAX {
            self.requests.set_timer(key, Some(latest));
        }
        key
    }

    /// Refuses waiting requests beyond the queue's limit: first callers' requests beyond their
    /// guaranteed part of the queue, then internal calls.
    pub(crate) fn trim_queue(&mut self, now: Time, effects: &mut Vec<work::Effect>) {
        while self.waiting() > self.limits.queue as usize {
            let callers = self.caller_queue.len() > self.limits.min_caller_queue();
            let (first, second) = match callers {
                true => (Class::Caller, Class::Internal),
                false => (Class::Internal, Class::Caller),
            };
            let last = |class| self.queue(class).drop_candidate(self.order(class));
            let Some(key) = last(first).or_else(|| last(second)) else {
                return;
            };
            self.refuse(now, key, work::RefusalReason::QueueFull, effects);
        }
    }
}

/// Takes the effect on the offered request out of `effects` and returns it as the decision. Without
/// one, the request waits.
fn take_decision(key: work::RequestKey, effects: &mut Vec<work::Effect>) -> work::Decision {
    let Some(index) = effects.iter().position(|it| it.key() == key) else {
        return work::Decision::Wait(key);
    };
    match effects.remove(index) {
        work::Effect::Start(key) => work::Decision::Run(key),
        work::Effect::Refuse(_, reason) => work::Decision::Refuse(reason),
    }
}
