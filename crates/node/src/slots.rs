//! Admission to the slots of this host's backend server, and the tasks that wait for one.

use std::sync;

use admission::{controller, limits, load, work};
use protocol::forwarding;
use slotmap::SecondaryMap;
use tokio::sync::oneshot;
use world::{config, contracts, time};

use crate::{promises, state};

/// The outcome of a queued request: a slot, or the reason why it was not run.
pub(crate) type Verdict = Result<(), forwarding::NotRun>;

/// What the admission controller decided on offered work.
#[derive(Debug)]
pub(crate) enum Decision {
    /// The work holds a slot.
    Run(work::RequestKey),
    /// The work is queued, and the receiver gets the verdict.
    Wait(work::RequestKey, oneshot::Receiver<Verdict>),
    /// The work is refused and was not run.
    Refuse(forwarding::NotRun),
}

/// The admission controller of this host's backend server, and the tasks that wait for a slot. There
/// is one controller for the life of the process: permits keep keys of its requests across losses and
/// restarts of the backend server, and another controller would give the same keys out again.
#[derive(Debug)]
pub(crate) struct LocalController {
    controller: controller::Controller,
    /// The tasks of exactly the requests that wait in the controller.
    waiters: SecondaryMap<work::RequestKey, oneshot::Sender<Verdict>>,
}

impl LocalController {
    /// A controller that is closed, since no backend server has announced itself.
    pub(crate) fn closed() -> LocalController {
        let controller = controller::Controller::closed(limits::Toggles::default());
        LocalController { controller, waiters: SecondaryMap::new() }
    }

    /// Asks for a slot. Work is refused while the controller is closed.
    pub(crate) fn offer(&mut self, now: time::Time, work: work::Work) -> Decision {
        let offered = self.controller.offer(now, work);
        let decision = match offered.decision {
            work::Decision::Run(key) => Decision::Run(key),
            work::Decision::Wait(key) => {
                let (verdict, receiver) = oneshot::channel();
                self.waiters.insert(key, verdict);
                Decision::Wait(key, receiver)
            }
            work::Decision::Refuse(reason) => Decision::Refuse(to_not_run(reason)),
        };
        self.notify(offered.effects);
        decision
    }

    /// Frees the slot of work that ended, which may start queued work.
    pub(crate) fn finish(
        &mut self,
        now: time::Time,
        key: work::RequestKey,
        outcome: work::Outcome,
    ) {
        let effects = self.controller.finish(now, key, outcome);
        self.notify(effects);
    }

    /// Removes work whose caller has left, and frees its slot if it holds one.
    pub(crate) fn cancel(&mut self, now: time::Time, key: work::RequestKey) {
        let effects = self.controller.cancel(now, key);
        self.waiters.remove(key);
        self.notify(effects);
    }

    /// Starts and refuses the queued work whose timers have expired.
    pub(crate) fn tick(&mut self, now: time::Time) {
        let effects = self.controller.tick(now);
        self.notify(effects);
    }

    /// When [`LocalController::tick`] has something to do next; none when no timer is set.
    pub(crate) fn next_deadline(&self, now: time::Time) -> Option<time::Time> {
        self.controller.next_tick(now)
    }

    /// Opens the controller for a process of the backend server that has just announced itself, and
    /// refuses the work that waited for the former one.
    pub(crate) fn restart(&mut self, now: time::Time, limits: limits::Limits, ramp: limits::Ramp) {
        let effects = self.controller.restart(now, limits, Some(ramp));
        self.notify(effects);
    }

    /// Opens the controller for the process that it was drained or closed for. What still runs there
    /// holds its slots.
    pub(crate) fn resume(&mut self, now: time::Time, limits: limits::Limits) {
        let effects = self.controller.resume(now, limits);
        self.notify(effects);
    }

    /// Changes the limits, and refuses queued work beyond them.
    pub(crate) fn set_limits(&mut self, now: time::Time, limits: limits::Limits) {
        let effects = self.controller.set_limits(now, limits);
        self.notify(effects);
    }

    /// Sets the requests per second that the backend server takes, or ends the limit.
    pub(crate) fn set_rate(&mut self, now: time::Time, rate: Option<f64>) {
        let effects = self.controller.set_rate(now, rate);
        self.notify(effects);
    }

    /// Refuses new and queued work, because the backend server is leaving.
    pub(crate) fn drain(&mut self, now: time::Time) {
        let effects = self.controller.drain(now);
        self.notify(effects);
    }

    /// Closes the controller and refuses queued work, because the backend server is gone.
    pub(crate) fn close(&mut self, now: time::Time) {
        let effects = self.controller.close(now);
        self.notify(effects);
    }

    /// Moves the measurements of routes to their keys in a new version of the configuration.
    pub(crate) fn remap_routes(
        &mut self,
        remap: impl FnMut(contracts::RouteKey) -> Option<contracts::RouteKey>,
    ) {
        self.controller.remap_routes(remap);
    }

    /// The load to report to other nodes; all zero while the controller is closed.
    pub(crate) fn load(&self, now: time::Time) -> load::LoadReport {
        self.controller.load(now)
    }

    /// The number of queued requests of the same team, route and rank.
    pub(crate) fn waiting_beside(&self, work: &work::Work) -> usize {
        self.controller.waiting_beside(work)
    }

    fn notify(&mut self, effects: Vec<work::Effect>) {
        for effect in effects {
            let Some(waiter) = self.waiters.remove(effect.key()) else { continue };
            let verdict = match effect {
                work::Effect::Start(_) => Ok(()),
                work::Effect::Refuse(_, reason) => Err(to_not_run(reason)),
            };
            // A task that was dropped cancels its request through its permit.
            let _ = waiter.send(verdict);
        }
        debug_assert_eq!(
            self.waiters.len(),
            self.controller.waiting(),
            "a waiting request has no task, or a task waits without a request",
        );
    }
}

/// A slot, or a place in the queue, of admitted work. Dropping it cancels the work.
pub(crate) struct Permit {
    state: sync::Arc<state::State>,
    key: work::RequestKey,
    done: bool,
    /// What the answer takes of the host's network link.
    pub(crate) promise: Option<promises::Promise>,
}

impl Permit {
    /// Takes ownership of the slot or queue place of offered work.
    pub(crate) fn new(state: sync::Arc<state::State>, key: work::RequestKey) -> Permit {
        Permit { state, key, done: false, promise: None }
    }

    /// Frees the slot and records how the work ended.
    pub(crate) fn finish(mut self, outcome: work::Outcome) {
        self.done = true;
        let (state, key) = (sync::Arc::clone(&self.state), self.key);
        self.state.pool.submit_or_run(move || {
            let now = state.now();
            state.admission.lock().finish(now, key, outcome);
        });
    }

    /// Frees the slot and records how the work ended. Returns when this is done.
    pub(crate) async fn finish_and_wait(mut self, outcome: work::Outcome) {
        self.done = true;
        let (state, key) = (sync::Arc::clone(&self.state), self.key);
        let (done, finished) = oneshot::channel();
        self.state.pool.submit_or_run(move || {
            let now = state.now();
            state.admission.lock().finish(now, key, outcome);
            let _ = done.send(());
        });
        let _ = finished.await;
    }

    /// Drops the permit without cancelling, after the controller itself has refused the work.
    pub(crate) fn disarm(mut self) {
        self.done = true;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        let (state, key) = (sync::Arc::clone(&self.state), self.key);
        self.state.pool.submit_or_run(move || {
            let now = state.now();
            state.admission.lock().cancel(now, key);
        });
    }
}

/// The limits of a backend server: the slots that it announced, at most those of the service's
/// contract and at least one, and the contract's queue.
pub(crate) fn limits(
    config: Option<&config::Config>,
    service: &str,
    announced: u32,
) -> limits::Limits {
    let service =
        config.and_then(|it| it.service(it.find_service(service)?).map(|it| (it.slots, it.queue)));
    let (slots, queue) = service.unwrap_or((announced, 0));
    limits::Limits { slots: slots.min(announced).max(1), queue }
}

fn to_not_run(reason: work::RefusalReason) -> forwarding::NotRun {
    match reason {
        work::RefusalReason::Absent => forwarding::NotRun::Absent,
        work::RefusalReason::Blocked => forwarding::NotRun::Blocked,
        work::RefusalReason::Busy => forwarding::NotRun::Busy,
        work::RefusalReason::Deadline => forwarding::NotRun::Late,
        work::RefusalReason::Displaced => forwarding::NotRun::Displaced,
        work::RefusalReason::Draining => forwarding::NotRun::Draining,
        work::RefusalReason::QueueFull => forwarding::NotRun::Full,
    }
}
