//! The admission controller of one target: an offered request runs, waits or is refused.

use std::time;

use world::{contracts, requests::Class, time::Time};

use crate::{
    counts, limits, load, losses, needs, queue, rate, requests, routes, service_times, shedding,
    short_load, suspects, work,
};

/// The admission controller of one target.
///
/// Methods that return effects, or a [`work::Offered`] with effects, first do everything that is
/// due at `now`, as [`Controller::tick`] does. The owner performs the effects in order, and calls
/// [`Controller::tick`] at [`Controller::next_tick`].
#[derive(Debug)]
pub struct Controller {
    pub(crate) limits: limits::Limits,
    ramp: Option<limits::Ramp>,
    intake: Intake,
    /// The limit on the rate of starts; none while the target asks for none.
    pub(crate) rate: Option<rate::Bucket>,
    pub(crate) toggles: limits::Toggles,
    pub(crate) requests: requests::Requests,
    pub(crate) routes: routes::Routes,
    pub(crate) caller_queue: queue::Queue,
    pub(crate) internal_queue: queue::Queue,
    pub(crate) counts: counts::Counts,
    pub(crate) suspects: suspects::Suspects,
    pub(crate) losses: losses::Losses,
    pub(crate) needs: needs::Needs,
    short_load: short_load::ShortLoad,
    shedding: shedding::Shedding,
    /// Service times of callers' requests.
    caller_times: service_times::MovingMean,
    /// Service times of internal calls.
    call_times: service_times::MovingMean,
    /// When the last internal call was offered.
    pub(crate) last_internal: Option<Time>,
    /// Internal calls started since the last start of a caller's request.
    pub(crate) internal_starts: u32,
}

/// Whether the target takes requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Intake {
    Open,
    Draining,
    /// There is no backend server that could run them.
    Closed,
}

impl Controller {
    /// Creates a controller without requests. A backend server that has just started has a `ramp`.
    pub fn new(
        limits: limits::Limits,
        ramp: Option<limits::Ramp>,
        toggles: limits::Toggles,
    ) -> Controller {
        Controller::with_requests(requests::Requests::default(), limits, ramp, toggles)
    }

    /// Creates a controller that refuses all requests until [`Controller::restart`].
    pub fn closed(toggles: limits::Toggles) -> Controller {
        let limits = limits::Limits { slots: 1, queue: 0 };
        Controller { intake: Intake::Closed, ..Controller::new(limits, None, toggles) }
    }

    fn with_requests(
        requests: requests::Requests,
        limits: limits::Limits,
        ramp: Option<limits::Ramp>,
        toggles: limits::Toggles,
    ) -> Controller {
        Controller {
            limits,
            ramp,
            intake: Intake::Open,
            rate: None,
            toggles,
            requests,
            routes: routes::Routes::default(),
            caller_queue: queue::Queue::default(),
            internal_queue: queue::Queue::default(),
            counts: counts::Counts::default(),
            suspects: suspects::Suspects::default(),
            losses: losses::Losses::default(),
            needs: needs::Needs::default(),
            short_load: short_load::ShortLoad::default(),
            shedding: shedding::Shedding::default(),
            caller_times: service_times::MovingMean::default(),
            call_times: service_times::MovingMean::default(),
            last_internal: None,
            internal_starts: 0,
        }
    }

    /// Begins anew for another process of the backend server: refuses all waiting requests, and
    /// forgets the running ones and all measurements. The keys of forgotten requests are not given
    /// out again, so their ends have no effect.
    pub fn restart(
        &mut self,
        now: Time,
        limits: limits::Limits,
        ramp: Option<limits::Ramp>,
    ) -> Vec<work::Effect> {
        let mut effects = self.advance(now);
        self.refuse_waiting(now, work::RefusalReason::Absent, &mut effects);
        let mut requests = std::mem::take(&mut self.requests);
        requests.clear();
        *self = Controller::with_requests(requests, limits, ramp, self.toggles);
        effects
    }

    /// Takes requests again after [`Controller::drain`] or [`Controller::close`]. It is the same
    /// process of the backend server, so the requests that still run hold their slots.
    pub fn resume(&mut self, now: Time, limits: limits::Limits) -> Vec<work::Effect> {
        self.intake = Intake::Open;
        self.set_limits(now, limits)
    }

    /// Refuses all waiting and all new requests, because the backend server is gone. Running
    /// requests continue: it may have been taken for gone by mistake.
    pub fn close(&mut self, now: Time) -> Vec<work::Effect> {
        let mut effects = self.advance(now);
        self.intake = Intake::Closed;
        self.refuse_waiting(now, work::RefusalReason::Absent, &mut effects);
        effects
    }

    /// Decides whether a new request runs, waits or is refused.
    pub fn offer(&mut self, now: Time, work: work::Work) -> work::Offered {
        let mut effects = self.advance(now);
        let decision = self.admit(now, work, &mut effects);
        work::Offered { decision, effects }
    }

    /// Frees the slot of a request that has ended, and measures how long it ran. An unknown key and
    /// that of a waiting request have no effect: a waiting request ends with an [`work::Effect`] or
    /// by [`Controller::cancel`], so that its owner always gets a verdict.
    pub fn finish(
        &mut self,
        now: Time,
        key: work::RequestKey,
        outcome: work::Outcome,
    ) -> Vec<work::Effect> {
        let mut effects = self.advance(now);
        if !self.is_waiting(key) {
            self.end(now, key, outcome);
        }
        self.fill_slots(now, &mut effects);
        effects
    }

    /// Removes a running or waiting request whose caller no longer waits for the answer. An unknown
    /// key has no effect.
    pub fn cancel(&mut self, now: Time, key: work::RequestKey) -> Vec<work::Effect> {
        let mut effects = self.advance(now);
        // The elapsed time is a lower bound of the service time, as with a timeout.
        self.end(now, key, work::Outcome::TimedOut);
        self.fill_slots(now, &mut effects);
        effects
    }

    /// Removes a request, and measures it if it ran.
    fn end(&mut self, now: Time, key: work::RequestKey, outcome: work::Outcome) {
        let Some((flow, class, run)) = self.remove(key) else {
            return;
        };
        let elapsed = now.since(run.started);
        self.record_taken(now, run, outcome);
        if outcome == work::Outcome::Answered {
            self.class_times(class).record(service_times::as_micros(elapsed));
        }
        if !run.long && !run.straggler && outcome != work::Outcome::Shed {
            self.short_load.record(now, elapsed);
        }
        self.measure(flow, elapsed, outcome);
        self.routes.remove_request(flow);
    }

    /// Starts waiting requests after one has ended. A route's first median may reveal stragglers,
    /// which must be counted before the slot is reassigned.
    fn fill_slots(&mut self, now: Time, effects: &mut Vec<work::Effect>) {
        self.fire_timers(now, effects);
        self.dispatch(now, effects);
    }

    /// Does everything that is due: marks stragglers, refuses waiting requests that can no longer
    /// meet their deadline, and starts waiting requests in slots that have become available.
    pub fn tick(&mut self, now: Time) -> Vec<work::Effect> {
        self.advance(now)
    }

    /// Returns when [`Controller::tick`] must be called next, unless another method is called
    /// earlier. `None` if nothing is scheduled.
    pub fn next_tick(&self, now: Time) -> Option<Time> {
        let waits = self.waiting() > 0;
        let step = self.limits.next_step(self.ramp, now).filter(|_| waits);
        let reserve = self.reserve_end().filter(|&it| waits && it > now);
        let token = self.rate.filter(|_| waits).map(|it| now + it.wait(now, 0));
        let token = token.filter(|&it| it > now);
        let slots = self.limits.slots_at(self.ramp, now);
        let shed = self.shedding.next_step(now, slots).filter(|_| waits);
        [self.requests.next_timer(), step, reserve, token, shed].into_iter().flatten().min()
    }

    /// Sets the requests per second that the target takes, or ends the limit. Requests that run
    /// continue.
    pub fn set_rate(&mut self, now: Time, rate: Option<f64>) -> Vec<work::Effect> {
        match (&mut self.rate, rate) {
            (Some(bucket), Some(rate)) => bucket.set_rate(now, rate),
            (bucket, rate) => *bucket = rate.map(|it| rate::Bucket::new(now, it)),
        }
        self.advance(now)
    }

    /// Changes the limits. Running requests continue even if there are fewer slots; waiting
    /// requests beyond the new limit are refused.
    pub fn set_limits(&mut self, now: Time, limits: limits::Limits) -> Vec<work::Effect> {
        let mut effects = self.advance(now);
        self.limits = limits;
        self.dispatch(now, &mut effects);
        self.trim_queue(now, &mut effects);
        effects
    }

    /// Starts draining: refuses all waiting and all new requests. Running requests continue.
    pub fn drain(&mut self, now: Time) -> Vec<work::Effect> {
        let mut effects = self.advance(now);
        if self.intake == Intake::Open {
            self.intake = Intake::Draining;
        }
        self.refuse_waiting(now, work::RefusalReason::Draining, &mut effects);
        effects
    }

    /// Why no request is taken; none when requests are.
    pub(crate) fn shut_reason(&self) -> Option<work::RefusalReason> {
        match self.intake {
            Intake::Open => None,
            Intake::Draining => Some(work::RefusalReason::Draining),
            Intake::Closed => Some(work::RefusalReason::Absent),
        }
    }

    /// Marks a request as a suspect or clears the mark. Suspects that already run concurrently
    /// continue. An unknown key has no effect.
    pub fn set_suspect(
        &mut self,
        now: Time,
        key: work::RequestKey,
        suspect: bool,
    ) -> Vec<work::Effect> {
        let mut effects = self.advance(now);
        if let Some(it) = self.requests.get_mut(key) {
            if let requests::State::Running(_) = it.state {
                self.suspects.remove(it.work.suspect);
                self.suspects.add(suspect);
            }
            it.work.suspect = suspect;
        }
        self.dispatch(now, &mut effects);
        effects
    }

    /// Keeps the measurements of routes whose keys change with a new version of the configuration.
    /// `remap` returns the new key of a route, or `None` if the route is gone.
    ///
    /// Must be called after the last offer with an old key and before the first with a new one.
    pub fn remap_routes(
        &mut self,
        remap: impl FnMut(contracts::RouteKey) -> Option<contracts::RouteKey>,
    ) {
        self.routes.remap(remap);
        self.caller_queue.forget_teams();
        self.internal_queue.forget_teams();
        self.needs.clear();
    }

    /// Returns the load to report on answers; all zero while the controller is closed.
    pub fn load(&self, now: Time) -> load::LoadReport {
        if self.intake == Intake::Closed {
            return load::LoadReport::default();
        }
        let load = load::LoadReport {
            in_flight: self.counts.running(),
            queued: u32::try_from(self.waiting()).unwrap_or(u32::MAX),
            slots: if self.intake == Intake::Draining {
                0
            } else {
                self.limits.slots_at(self.ramp, now)
            },
            service_time: time::Duration::from_micros(self.routes.overall_mean()),
            queued_calls: u32::try_from(self.internal_queue.len()).unwrap_or(u32::MAX),
            caller_time: time::Duration::from_micros(self.caller_times.get().unwrap_or(0)),
            call_time: time::Duration::from_micros(self.call_times.get().unwrap_or(0)),
            pressure: self.losses.pressure(now),
        };
        // Senders know the announced slots; those that are not usable have to look taken.
        let usable = self.slots(now);
        match &self.rate {
            Some(rate) => load
                .with_free_slots(rate.busy_slots(load.service_time).min(usable))
                .with_wait(rate.wait(now, self.waiting())),
            None => load.with_free_slots(usable),
        }
    }

    /// Returns the number of slots with a long request or a straggler.
    pub fn slow_slots(&self) -> u32 {
        self.counts.slow
    }

    /// Returns the number of waiting requests of the same team, route, rank and class.
    pub fn waiting_beside(&self, work: &work::Work) -> usize {
        let Some(route) = self.routes.find(work.route) else {
            return 0;
        };
        let flow = queue::FlowId { rank: work.rank, team: work.team, route };
        self.queue(work.class).waiting(flow)
    }

    /// Returns the number of flows that are kept: those with waiting requests, and a bounded number
    /// of idle ones.
    pub fn kept_flows(&self) -> usize {
        self.caller_queue.kept_flows() + self.internal_queue.kept_flows()
    }

    /// Returns whether no request runs or waits. Draining is then complete.
    pub fn is_idle(&self) -> bool {
        self.counts.running() == 0 && self.waiting() == 0
    }

    pub(crate) fn slots(&self, now: Time) -> u32 {
        self.shedding.usable(now, self.limits.slots_at(self.ramp, now))
    }

    /// Returns the number of slots that long requests and stragglers may hold.
    pub(crate) fn max_slow_slots(&self, slots: u32) -> u32 {
        limits::max_slow_slots(slots, self.short_load.slots())
    }

    pub(crate) fn queue(&self, class: Class) -> &queue::Queue {
        match class {
            Class::Caller => &self.caller_queue,
            Class::Internal => &self.internal_queue,
        }
    }

    pub(crate) fn queue_mut(&mut self, class: Class) -> &mut queue::Queue {
        match class {
            Class::Caller => &mut self.caller_queue,
            Class::Internal => &mut self.internal_queue,
        }
    }

    fn refuse_waiting(
        &mut self,
        now: Time,
        reason: work::RefusalReason,
        effects: &mut Vec<work::Effect>,
    ) {
        let keys: Vec<_> = self.caller_queue.keys().chain(self.internal_queue.keys()).collect();
        for key in keys {
            self.refuse(now, key, reason, effects);
        }
    }

    /// Refuses a waiting request.
    pub(crate) fn refuse(
        &mut self,
        now: Time,
        key: work::RequestKey,
        reason: work::RefusalReason,
        effects: &mut Vec<work::Effect>,
    ) {
        let work = self.requests.get(key).map(|it| it.work);
        // A target that is leaving or gone has lost no request by its load.
        let by_load =
            !matches!(reason, work::RefusalReason::Absent | work::RefusalReason::Draining);
        if let Some(work) = work.filter(|_| by_load) {
            self.losses.record_refusal(now, &work);
        }
        self.remove(key);
        effects.push(work::Effect::Refuse(key, reason));
    }

    /// Records whether the backend server took a request. Of one that failed, this is not known.
    fn record_taken(&mut self, now: Time, run: requests::Run, outcome: work::Outcome) {
        let slots = self.limits.slots_at(self.ramp, now);
        match outcome {
            work::Outcome::Answered | work::Outcome::TimedOut => {
                self.shedding.record_taken(now, run.level, slots);
            }
            work::Outcome::Shed => {
                let running = self.running_above(now, run);
                self.shedding.record_shed(now, run.level, running, slots);
            }
            work::Outcome::Failed => {}
        }
    }

    /// Returns how many requests run that started at the level of this one, which was shed, or at a
    /// higher one, and that run for so long that the backend server would have shed them by now.
    fn running_above(&self, now: Time, shed: requests::Run) -> u32 {
        let answer_time = now.since(shed.started);
        let taken = self.requests.iter().filter(|(_, it)| match it.state {
            requests::State::Running(run) => {
                run.level >= shed.level && now.since(run.started) >= 2 * answer_time
            }
            requests::State::Waiting => false,
        });
        u32::try_from(taken.count()).unwrap_or(u32::MAX)
    }

    pub(crate) fn is_waiting(&self, key: work::RequestKey) -> bool {
        self.requests.get(key).is_some_and(|it| matches!(it.state, requests::State::Waiting))
    }

    fn advance(&mut self, now: Time) -> Vec<work::Effect> {
        let mut effects = Vec::new();
        self.fire_timers(now, &mut effects);
        if self.waiting() > 0 {
            self.dispatch(now, &mut effects);
        }
        effects
    }

    /// Marks stragglers, and refuses waiting requests that can no longer meet their deadline.
    fn fire_timers(&mut self, now: Time, effects: &mut Vec<work::Effect>) {
        while let Some(key) = self.requests.pop_timer(now) {
            if self.is_waiting(key) {
                self.refuse(now, key, work::RefusalReason::Deadline, effects);
                continue;
            }
            let Some(it) = self.requests.get_mut(key) else {
                continue;
            };
            if let requests::State::Running(run) = &mut it.state {
                run.straggler = true;
                self.counts.stragglers += 1;
                self.counts.slow += u32::from(!run.long);
            }
        }
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.caller_queue.len() + self.internal_queue.len()
    }

    fn class_times(&mut self, class: Class) -> &mut service_times::MovingMean {
        match class {
            Class::Caller => &mut self.caller_times,
            Class::Internal => &mut self.call_times,
        }
    }

    /// Removes a request. If it was running, returns its run; the calling method must then measure
    /// it and remove the request from its flow, in this order.
    fn remove(&mut self, key: work::RequestKey) -> Option<(routes::FlowKey, Class, requests::Run)> {
        let it = self.requests.remove(key)?;
        let requests::State::Running(run) = it.state else {
            self.queue_mut(it.work.class).remove(it.flow_id(), key);
            self.routes.remove_request(it.flow);
            return None;
        };
        self.counts.stop(&it.work, run);
        self.suspects.remove(it.work.suspect);
        self.routes.stop(it.flow);
        Some((it.flow, it.work.class, run))
    }

    fn measure(&mut self, flow: routes::FlowKey, elapsed: time::Duration, outcome: work::Outcome) {
        let micros = service_times::as_micros(elapsed);
        let counts = match outcome {
            work::Outcome::Answered => true,
            work::Outcome::Failed | work::Outcome::Shed => false,
            work::Outcome::TimedOut => self.routes.median(flow).is_some_and(|it| micros > it),
        };
        if !counts || !self.routes.record(flow, micros) {
            return;
        }
        // The route has its first median, so its running requests need a straggler timer now.
        let of_flow = self.requests.iter().filter(|(_, it)| it.flow == flow);
        let keys: Vec<work::RequestKey> = of_flow.map(|(key, _)| key).collect();
        for key in keys {
            self.set_straggler_timer(key);
        }
    }
}
