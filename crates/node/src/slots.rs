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

/// The admission controller of this host's backend server, and the tasks that wait for a slot. It
/// is closed while there is no backend server.
#[derive(Debug, Default)]
pub(crate) struct LocalController {
    controller: Option<controller::Controller>,
    waiters: SecondaryMap<work::RequestKey, oneshot::Sender<Verdict>>,
}

impl LocalController {
    /// Asks for a slot. Work is refused while the controller is closed.
    pub(crate) fn offer(&mut self, now: time::Time, work: work::Work) -> Decision {
        let Some(controller) = &mut self.controller else {
            return Decision::Refuse(forwarding::NotRun::Absent);
        };
        let offered = controller.offer(now, work);
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
        let Some(controller) = &mut self.controller else { return };
        let effects = controller.finish(now, key, outcome);
        self.notify(effects);
    }

    /// Removes work whose caller has left, and frees its slot if it holds one.
    pub(crate) fn cancel(&mut self, now: time::Time, key: work::RequestKey) {
        let Some(controller) = &mut self.controller else { return };
        let effects = controller.cancel(now, key);
        self.waiters.remove(key);
        self.notify(effects);
    }

    /// Starts and refuses the queued work whose timers have expired.
    pub(crate) fn tick(&mut self, now: time::Time) {
        let Some(controller) = &mut self.controller else { return };
        let effects = controller.tick(now);
        self.notify(effects);
    }

    /// When [`LocalController::tick`] has something to do next; none when no timer is set.
    pub(crate) fn next_deadline(&self, now: time::Time) -> Option<time::Time> {
        self.controller.as_ref()?.next_tick(now)
    }

    /// Opens the controller for a backend server that has announced itself. With a ramp, a new
    /// controller replaces an open one and queued work is refused; without one, an open controller
    /// only changes its limits.
    pub(crate) fn open(
        &mut self,
        now: time::Time,
        limits: limits::Limits,
        ramp: Option<limits::Ramp>,
    ) {
        match &mut self.controller {
            Some(controller) if ramp.is_none() => {
                let effects = controller.set_limits(now, limits);
                self.notify(effects);
            }
            controller => {
                *controller =
                    Some(controller::Controller::new(limits, ramp, limits::Toggles::default()));
                self.refuse_waiting(forwarding::NotRun::Absent);
            }
        }
    }

    /// Sets the requests per second that the backend server takes, or ends the limit.
    pub(crate) fn set_rate(&mut self, now: time::Time, rate: Option<f64>) {
        let Some(controller) = &mut self.controller else { return };
        let effects = controller.set_rate(now, rate);
        self.notify(effects);
    }

    /// Refuses new and queued work, because the backend server is leaving.
    pub(crate) fn drain(&mut self, now: time::Time) {
        let Some(controller) = &mut self.controller else { return };
        let effects = controller.drain(now);
        self.notify(effects);
    }

    /// Closes the controller and refuses queued work, because the backend server is gone.
    pub(crate) fn close(&mut self) {
        self.controller = None;
        self.refuse_waiting(forwarding::NotRun::Absent);
    }

    /// Moves the measurements of routes to their keys in a new version of the configuration.
    pub(crate) fn remap_routes(
        &mut self,
        remap: impl FnMut(contracts::RouteKey) -> Option<contracts::RouteKey>,
    ) {
        if let Some(controller) = &mut self.controller {
            controller.remap_routes(remap);
        }
    }

    /// The load to report to other nodes; all zero while the controller is closed.
    pub(crate) fn load(&self, now: time::Time) -> load::LoadReport {
        self.controller.as_ref().map(|it| it.load(now)).unwrap_or_default()
    }

    /// The number of queued requests of the same team, route and rank.
    pub(crate) fn waiting_beside(&self, work: &work::Work) -> usize {
        self.controller.as_ref().map_or(0, |it| it.waiting_beside(work))
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
    }

    fn refuse_waiting(&mut self, reason: forwarding::NotRun) {
        for (_, waiter) in self.waiters.drain() {
            let _ = waiter.send(Err(reason));
        }
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
        work::RefusalReason::Blocked => forwarding::NotRun::Blocked,
        work::RefusalReason::Busy => forwarding::NotRun::Busy,
        work::RefusalReason::Deadline => forwarding::NotRun::Late,
        work::RefusalReason::Displaced => forwarding::NotRun::Displaced,
        work::RefusalReason::Draining => forwarding::NotRun::Draining,
        work::RefusalReason::QueueFull => forwarding::NotRun::Full,
    }
}
