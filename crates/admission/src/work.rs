//! Work as it is offered to a gate, and what the gate says about it.

use std::time;

use serde::{Deserialize, Serialize};
use world::{contracts, requests, time::Time};

slotmap::new_key_type! {
    /// Key of a request that runs or waits at a gate.
    pub struct RequestKey;
}

/// A request as admission sees it.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// The route that it came by.
    pub route: contracts::RouteKey,
    /// Share of a crowded target, against other routes: 1..=100.
    pub weight: u32,
    /// Who asked for it.
    pub class: requests::Class,
    /// When its answer is of no more use.
    pub deadline: Time,
    /// Until when an answer has its full worth.
    pub objective: Time,
    /// The wait from which on another target is better for it; none when there is no other.
    pub patience: Option<time::Duration>,
    /// Whether the sender can try another target and keeps an attempt of its budget for that, so
    /// that a refusal costs one send and not the answer.
    pub movable: bool,
    /// Whether it was in flight when a backend server crashed.
    pub suspect: bool,
}

/// What becomes of offered work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It holds a slot and is sent to the backend server now.
    Run(RequestKey),
    /// It waits; an effect starts or refuses it later.
    Wait(RequestKey),
    /// It was not run, and no byte of it was sent to the backend server.
    Refuse(RefusalReason),
}

/// Why work was refused before it ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// Long work and stragglers hold most slots or all, and another target may be free.
    Blocked,
    /// It would wait for longer than its objective or its sender allows.
    Busy,
    /// It could not be answered by its deadline.
    Deadline,
    /// The target takes no new work.
    Draining,
    /// As much work waits as may wait, and this exceeds its route's share.
    QueueFull,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The backend server answered; the time it took is measured.
    Answered,
    /// The backend server failed; the time says nothing about the work.
    Failed,
    /// No answer came in time; the time is a lower bound of what the work takes.
    TimedOut,
}

/// What a gate's driver does for a request that waited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Send it to the backend server; it holds a slot.
    Start(RequestKey),
    /// Answer that it was not run; its key is no longer valid.
    Refuse(RequestKey, RefusalReason),
}

impl Effect {
    /// The request it is about.
    pub fn key(self) -> RequestKey {
        match self {
            Effect::Start(key) | Effect::Refuse(key, _) => key,
        }
    }
}

/// The result of an offer.
#[derive(Debug)]
pub struct Offered {
    /// What becomes of the offered work.
    pub decision: Decision,
    /// What becomes of other work that waited.
    pub effects: Vec<Effect>,
}
