//! Rollouts: the traffic of a service moves to targets with another software version.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Identifies an order: the index of its entry in the log.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct OrderId(pub u64);

/// How much of the service's traffic the new version gets.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Stage {
    /// Few requests, which show whether the new version answers at all.
    First,
    /// As many requests as an unproven version may get, with a margin.
    Trial,
    /// A quarter; the new version has proved good.
    Quarter,
    /// Half.
    Half,
    /// All requests. The nodes of old targets refuse new work.
    Whole,
}

/// The state of an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum State {
    /// The traffic is moving.
    Running(Stage),
    /// All traffic has moved, and the old targets may be stopped.
    Complete,
    /// The new version was bad and gets nothing.
    RolledBack,
}

/// An order to move the traffic of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Identifies the order.
    pub id: OrderId,
    /// The name of the service.
    pub service: CompactString,
    /// The new software version.
    pub target: CompactString,
    /// The version to which the service was moved before; none if it never was. Then all versions
    /// but the new one count as old.
    pub current: Option<CompactString>,
    /// Versions that were rolled back since; they get nothing.
    pub rejected: Vec<CompactString>,
    /// When it was accepted, by the clock of the log in milliseconds.
    pub started_ms: u64,
    /// The time within which the traffic is to move, in milliseconds.
    pub over_ms: u64,
    /// How far it is.
    pub state: State,
}

/// What a target with a certain software version may get.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// Requests of the service; in a running order, those that the new version does not get.
    Serving,
    /// The new version's share of the requests.
    Candidate,
    /// Requests only while no target of the service's version exists.
    Spare,
    /// Nothing.
    Barred,
}

impl Stage {
    /// The part of the requests that the new version gets, per mille. An unproven version may get
    /// at most a tenth.
    pub const fn share(self) -> u32 {
        match self {
            Stage::First => 50,
            Stage::Trial => 80,
            Stage::Quarter => 250,
            Stage::Half => 500,
            Stage::Whole => 1_000,
        }
    }

    /// Whether the new version has proved good.
    pub fn is_proven(self) -> bool {
        self >= Stage::Quarter
    }

    /// The stage after this one; none after the last.
    pub const fn next(self) -> Option<Stage> {
        match self {
            Stage::First => Some(Stage::Trial),
            Stage::Trial => Some(Stage::Quarter),
            Stage::Quarter => Some(Stage::Half),
            Stage::Half => Some(Stage::Whole),
            Stage::Whole => None,
        }
    }
}

impl State {
    /// The stage of a running order; none for one that has ended.
    pub const fn stage(self) -> Option<Stage> {
        match self {
            State::Running(stage) => Some(stage),
            State::Complete | State::RolledBack => None,
        }
    }

    /// Whether this state comes after `other` in the life of an order.
    pub fn is_after(self, other: State) -> bool {
        match (self, other) {
            (State::Running(new), State::Running(old)) => new > old,
            (_, State::Running(_)) => true,
            _ => false,
        }
    }
}

impl Order {
    /// What a target with this software version may get.
    pub fn side(&self, version: &str) -> Side {
        if version == self.target {
            return match self.state {
                State::Running(_) => Side::Candidate,
                State::Complete => Side::Serving,
                State::RolledBack => Side::Barred,
            };
        }
        if self.rejected.iter().any(|it| it == version) {
            return Side::Barred;
        }
        match self.state {
            State::Complete => Side::Spare,
            _ if self.was_serving(version) => Side::Serving,
            _ => Side::Spare,
        }
    }

    /// Whether the node of a target with this software version refuses new work: the traffic has
    /// moved to the new version, and the target may be stopped without notice.
    pub fn retires(&self, version: &str) -> bool {
        let moved = matches!(self.state, State::Running(Stage::Whole) | State::Complete);
        moved && version != self.target && self.was_serving(version)
    }

    fn was_serving(&self, version: &str) -> bool {
        self.current.as_ref().is_none_or(|it| it == version)
    }
}
