//! Targets: backend servers that requests can be routed to.

use std::time;

use serde::{Deserialize, Serialize};

/// Time over which the share of work of a target that starts cold grows to its full share.
pub const SLOW_START: time::Duration = time::Duration::from_secs(10);

slotmap::new_key_type! {
    /// Key of a target in the arena of a registry or directory.
    pub struct TargetKey;
}

/// Whether a target may be sent requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum State {
    /// Starts cold: takes a share of work that grows over [`SLOW_START`].
    Starting,
    /// Runs as many requests as it has slots.
    Serving,
    /// Finishes the requests that it has and takes no new ones.
    Draining,
    /// Has left, has crashed, or its lease has expired.
    Gone,
}

impl State {
    /// Whether a target in this state takes new requests.
    pub fn takes_work(self) -> bool {
        matches!(self, State::Starting | State::Serving)
    }
}
