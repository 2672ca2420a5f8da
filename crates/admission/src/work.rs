//! Requests as they are offered to a controller, and the controller's decisions on them.

use std::time;

use serde::{Deserialize, Serialize};
use world::{contracts, requests, time::Time};

slotmap::new_key_type! {
    /// Key of a request that runs or waits.
    pub struct RequestKey;
}

/// The properties of a request that admission depends on.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// The route of the request.
    pub route: contracts::RouteKey,
    /// The team of the request; the null key without one.
    pub team: contracts::TeamKey,
    /// Priority of the request from 0, the most urgent one.
    pub rank: u32,
    /// Weight of the request for its share of an overloaded target, from 1 to 100.
    pub weight: u32,
    /// Whether the request comes from a caller or is an internal call.
    pub class: requests::Class,
    /// When the sender stops waiting; a later answer is useless. [`Time::MAX`] for none.
    pub deadline: Time,
    /// Latency objective: a later answer counts as late but is still useful.
    pub objective: Time,
    /// The longest wait for a slot that the sender accepts, since another target is the better
    /// choice beyond it. `None` if there is no other target. Ignored unless `movable`.
    pub max_wait: Option<time::Duration>,
    /// Whether the sender can send the request to another target and keeps an attempt of its budget
    /// for that. A refusal then costs one send and not the answer.
    pub movable: bool,
    /// Whether the request was in flight when a backend server crashed, so that it may be the
    /// cause.
    pub suspect: bool,
}

/// Whether the first of two requests, by rank and weight, is more urgent. A route without a priority
/// has rank 0 and its own weight, so it outranks nothing that has a higher weight.
pub fn outranks(first: (u32, u32), second: (u32, u32)) -> bool {
    first.0 < second.0 && first.1 >= second.1
}

/// The decision on an offered request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request holds a slot. The owner of the controller sends it to the backend server.
    Run(RequestKey),
    /// The request waits. A later [`Effect`] starts or refuses it.
    Wait(RequestKey),
    /// The request is refused: it has not run, and no byte of it was sent to the backend server.
    Refuse(RefusalReason),
}

/// Why a request is refused before it runs. The names are written out in snake case.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// There is no backend server.
    Absent,
    /// Long requests and stragglers hold most slots or all, and the sender can try another target.
    Blocked,
    /// It would wait too long for its objective, or longer than its sender accepts.
    Busy,
    /// It cannot be answered before its deadline.
    Deadline,
    /// A more urgent request has taken its place in the queue.
    Displaced,
    /// The target is draining.
    Draining,
    /// The queue is full, and this request is the one that exceeds its route's share.
    QueueFull,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The backend server answered. The elapsed time is measured.
    Answered,
    /// The backend server failed. The elapsed time is not measured.
    Failed,
    /// The backend server refused it without running it. The elapsed time is not measured.
    Shed,
    /// No answer came in time. The elapsed time is a lower bound of the service time, and is
    /// measured only if it exceeds the route's median.
    TimedOut,
}

/// What the owner of a controller has to do for a request that waited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Send the request to the backend server. It holds a slot.
    Start(RequestKey),
    /// Answer that the request was not run. Its key is no longer valid.
    Refuse(RequestKey, RefusalReason),
}

impl Work {
    /// Returns the rank and the weight.
    pub fn urgency(&self) -> (u32, u32) {
        (self.rank, self.weight)
    }
}

impl Effect {
    /// Returns the key of the request.
    pub fn key(self) -> RequestKey {
        match self {
            Effect::Start(key) | Effect::Refuse(key, _) => key,
        }
    }
}

/// The result of an offer.
#[derive(Debug)]
pub struct Offered {
    /// The decision on the offered request.
    pub decision: Decision,
    /// Effects on other requests that waited.
    pub effects: Vec<Effect>,
}
