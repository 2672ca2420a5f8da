//! Admission to the backend server of this host, with the tasks that wait for a slot.

use std::sync;

use admission::{controller, limits, load, work};
use protocol::forwarding;
use slotmap::SecondaryMap;
use tokio::sync::oneshot;
use world::{config, contracts, time};

use crate::state;

/// What a waiting request is told.
pub(crate) type Verdict = Result<(), forwarding::NotRun>;

/// What becomes of offered work.
#[derive(Debug)]
pub(crate) enum Offer {
    /// It holds a slot.
    Run(work::RequestKey),
    /// The verdict comes later.
    Wait(work::RequestKey, oneshot::Receiver<Verdict>),
    /// It was not run.
    Refuse(forwarding::NotRun),
}

/// The gate of this host's target.
#[derive(Debug, Default)]
pub(crate) struct Gates {
    gate: Option<controller::Controller>,
    waiting: SecondaryMap<work::RequestKey, oneshot::Sender<Verdict>>,
}

impl Gates {
    /// Offers work.
    pub(crate) fn offer(&mut self, now: time::Time, work: work::Work) -> Offer {
        let Some(gate) = &mut self.gate else { return Offer::Refuse(forwarding::NotRun::Absent) };
        let offered = gate.offer(now, work);
        let offer = match offered.decision {
            work::Decision::Run(key) => Offer::Run(key),
            work::Decision::Wait(key) => {
                let (verdict, receiver) = oneshot::channel();
                self.waiting.insert(key, verdict);
                Offer::Wait(key, receiver)
            }
            work::Decision::Refuse(reason) => Offer::Refuse(convert(reason)),
        };
        self.perform(offered.effects);
        offer
    }

    /// Frees the slot of work that ended.
    pub(crate) fn finish(
        &mut self,
        now: time::Time,
        key: work::RequestKey,
        outcome: work::Outcome,
    ) {
        let Some(gate) = &mut self.gate else { return };
        let effects = gate.finish(now, key, outcome);
        self.perform(effects);
    }

    /// Forgets work whose caller has gone.
    pub(crate) fn cancel(&mut self, now: time::Time, key: work::RequestKey) {
        let Some(gate) = &mut self.gate else { return };
        let effects = gate.cancel(now, key);
        self.waiting.remove(key);
        self.perform(effects);
    }

    /// Does what is due.
    pub(crate) fn tick(&mut self, now: time::Time) {
        let Some(gate) = &mut self.gate else { return };
        let effects = gate.tick(now);
        self.perform(effects);
    }

    /// When something is due next.
    pub(crate) fn next_deadline(&self, now: time::Time) -> Option<time::Time> {
        self.gate.as_ref()?.next_tick(now)
    }

    /// Opens the gate for a backend server that has just started, or changes its limits.
    pub(crate) fn open(
        &mut self,
        now: time::Time,
        limits: limits::Limits,
        ramp: Option<limits::Ramp>,
    ) {
        match &mut self.gate {
            Some(gate) if ramp.is_none() => {
                let effects = gate.set_limits(now, limits);
                self.perform(effects);
            }
            gate => {
                *gate =
                    Some(controller::Controller::new(limits, ramp, limits::Mechanisms::default()));
                self.refuse_waiting(forwarding::NotRun::Absent);
            }
        }
    }

    /// Refuses new and waiting work: the backend server leaves.
    pub(crate) fn drain(&mut self, now: time::Time) {
        let Some(gate) = &mut self.gate else { return };
        let effects = gate.drain(now);
        self.perform(effects);
    }

    /// The backend server is gone.
    pub(crate) fn close(&mut self) {
        self.gate = None;
        self.refuse_waiting(forwarding::NotRun::Absent);
    }

    /// Carries measurements over to a new version, in which routes have other keys.
    pub(crate) fn rename_routes(
        &mut self,
        rename: impl FnMut(contracts::RouteKey) -> Option<contracts::RouteKey>,
    ) {
        if let Some(gate) = &mut self.gate {
            gate.remap_routes(rename);
        }
    }

    /// The load to report.
    pub(crate) fn load(&self, now: time::Time) -> load::LoadReport {
        self.gate.as_ref().map(|it| it.load(now)).unwrap_or_default()
    }

    fn perform(&mut self, effects: Vec<work::Effect>) {
        for effect in effects {
            let Some(waiting) = self.waiting.remove(effect.key()) else { continue };
            let verdict = match effect {
                work::Effect::Start(_) => Ok(()),
                work::Effect::Refuse(_, reason) => Err(convert(reason)),
            };
            // A task that has gone cancels its request itself.
            let _ = waiting.send(verdict);
        }
    }

    fn refuse_waiting(&mut self, reason: forwarding::NotRun) {
        for (_, waiting) in self.waiting.drain() {
            let _ = waiting.send(Err(reason));
        }
    }
}

/// Work that holds a slot, or waits for one, until it is finished or dropped.
pub(crate) struct Held {
    state: sync::Arc<state::State>,
    key: work::RequestKey,
    done: bool,
}

impl Held {
    /// Takes charge of offered work.
    pub(crate) fn new(state: sync::Arc<state::State>, key: work::RequestKey) -> Held {
        Held { state, key, done: false }
    }

    /// Frees the slot.
    pub(crate) fn finish(mut self, outcome: work::Outcome) {
        self.done = true;
        let (state, key) = (sync::Arc::clone(&self.state), self.key);
        self.state.pool.submit_or_run(move || {
            let now = state.now();
            state.admission.lock().finish(now, key, outcome);
        });
    }

    /// The gate has refused the work itself.
    pub(crate) fn forget(mut self) {
        self.done = true;
    }
}

impl Drop for Held {
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

/// The limits of the backend server: what it announced, within the service's contract.
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

fn convert(reason: work::RefusalReason) -> forwarding::NotRun {
    match reason {
        work::RefusalReason::Blocked => forwarding::NotRun::Blocked,
        work::RefusalReason::Busy => forwarding::NotRun::Busy,
        work::RefusalReason::Deadline => forwarding::NotRun::Late,
        work::RefusalReason::Draining => forwarding::NotRun::Draining,
        work::RefusalReason::QueueFull => forwarding::NotRun::Full,
    }
}
