//! The orders to roll a service out to another software version, as replicated state.
//!
//! A service has at most one order in progress. The last one is kept after its end, since it says
//! which versions may serve.

use std::collections;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use world::rollouts;

use crate::clock;

/// How long after its start a rolled back order that is sent again counts as the same one. An
/// operator's call sends an order again for 4 s.
pub const RESEND_MS: u64 = 10_000;
/// The shortest time of an order, in milliseconds.
pub const MIN_OVER_MS: u64 = 1_000;
/// The longest time of an order, in milliseconds.
pub const MAX_OVER_MS: u64 = 24 * 60 * 60 * 1_000;
/// Most versions of a service that are known as rolled back; the oldest is forgotten.
const MAX_REJECTED: usize = 8;

/// A change of the orders.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Command {
    /// The wall clock of the leader that proposed it, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// What to change.
    pub action: Action,
}

/// What a command changes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Action {
    /// An operator orders a rollout.
    Start {
        /// The service.
        service: CompactString,
        /// The new software version.
        target: CompactString,
        /// The time within which the traffic is to move, in milliseconds.
        over_ms: u64,
    },
    /// Moves an order to a later stage.
    Advance(rollouts::OrderId, rollouts::Stage),
    /// Ends an order at its last stage: no node sends to the old version.
    Complete(rollouts::OrderId),
    /// Ends an order, because the new version is bad.
    RollBack(rollouts::OrderId),
}

/// The result of a command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Answer {
    /// The order is new, or was sent again; this is its state.
    Accepted(rollouts::Order),
    /// Another order for the service is in progress.
    Conflict(rollouts::Order),
    /// The order has moved on.
    Changed(rollouts::Order),
    /// The order is not in a state that allows the change.
    Unchanged,
}

/// The last order of each service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Rollouts {
    clock: clock::Clock,
    orders: collections::BTreeMap<CompactString, rollouts::Order>,
}

impl Rollouts {
    /// The last order of a service.
    pub fn get(&self, service: &str) -> Option<&rollouts::Order> {
        self.orders.get(service)
    }

    /// The last orders of all services.
    pub fn iter(&self) -> impl Iterator<Item = &rollouts::Order> {
        self.orders.values()
    }

    /// Applies the command of the log entry with this index.
    pub fn apply(&mut self, index: u64, command: &Command) -> Answer {
        let now_ms = self.clock.advance(command.at_ms);
        match &command.action {
            Action::Start { service, target, over_ms } => {
                self.start(rollouts::OrderId(index), now_ms, service, target, *over_ms)
            }
            Action::Advance(id, stage) => self.change(*id, rollouts::State::Running(*stage)),
            Action::Complete(id) => self.change(*id, rollouts::State::Complete),
            Action::RollBack(id) => self.change(*id, rollouts::State::RolledBack),
        }
    }

    fn start(
        &mut self,
        id: rollouts::OrderId,
        now_ms: u64,
        service: &CompactString,
        target: &CompactString,
        over_ms: u64,
    ) -> Answer {
        let last = self.orders.get(service);
        if let Some(last) = last {
            if is_repeat(last, now_ms, target, over_ms) {
                return Answer::Accepted(last.clone());
            }
            if last.state.stage().is_some() {
                return Answer::Conflict(last.clone());
            }
        }
        let order = rollouts::Order {
            id,
            service: service.clone(),
            target: target.clone(),
            current: last.and_then(serving_version),
            rejected: last.map(|it| rejected(it, target)).unwrap_or_default(),
            started_ms: now_ms,
            over_ms,
            state: rollouts::State::Running(rollouts::Stage::First),
        };
        self.orders.insert(service.clone(), order.clone());
        Answer::Accepted(order)
    }

    fn change(&mut self, id: rollouts::OrderId, state: rollouts::State) -> Answer {
        let Some(order) = self.orders.values_mut().find(|it| it.id == id) else {
            return Answer::Unchanged;
        };
        let Some(stage) = order.state.stage() else { return Answer::Unchanged };
        let early = state == rollouts::State::Complete && stage != rollouts::Stage::Whole;
        if early || !state.is_after(order.state) {
            return Answer::Unchanged;
        }
        order.state = state;
        Answer::Changed(order.clone())
    }
}

/// Whether an order is the last one of its service, sent again. One that was rolled back a while
/// ago may be ordered anew, for example after the new version was mended.
fn is_repeat(last: &rollouts::Order, now_ms: u64, target: &str, over_ms: u64) -> bool {
    if last.target != target {
        return false;
    }
    match last.state {
        rollouts::State::Complete => true,
        rollouts::State::Running(_) => last.over_ms == over_ms,
        rollouts::State::RolledBack => {
            last.over_ms == over_ms && now_ms < last.started_ms + last.over_ms.max(RESEND_MS)
        }
    }
}

/// The version that serves after an order has ended.
fn serving_version(last: &rollouts::Order) -> Option<CompactString> {
    match last.state {
        rollouts::State::Complete => Some(last.target.clone()),
        _ => last.current.clone(),
    }
}

/// The versions that stay rolled back when the service moves to `target`.
fn rejected(last: &rollouts::Order, target: &str) -> Vec<CompactString> {
    let mut list = last.rejected.clone();
    if last.state == rollouts::State::RolledBack {
        list.push(last.target.clone());
    }
    list.retain(|it| it != target);
    let surplus = list.len().saturating_sub(MAX_REJECTED);
    list.drain(..surplus);
    list
}
