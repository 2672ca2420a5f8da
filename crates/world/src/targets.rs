//! Targets: backend servers as objects of routing.

use std::time;

use serde::{Deserialize, Serialize};

/// How long a fresh target's share of work grows until it is full.
pub const SLOW_START: time::Duration = time::Duration::from_secs(10);

slotmap::new_key_type! {
    /// Key of a target in a registry's arena.
    pub struct TargetKey;
}

/// What a target may be given.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum State {
    /// A cold start: takes a share of work that grows over [`SLOW_START`].
    Starting,
    /// Takes work up to its slots.
    Serving,
    /// Finishes what it has and takes nothing new.
    Draining,
    /// Left, died, or not heard from within its lease.
    Gone,
}

impl State {
    /// Whether new work may be sent to a target in this state.
    pub fn takes_work(self) -> bool {
        matches!(self, State::Starting | State::Serving)
    }
}
