//! Time in the replicated state.

use serde::{Deserialize, Serialize};

/// The highest wall-clock time seen in a command, in milliseconds since the Unix epoch.
///
/// A new leader's wall clock can be behind the old one's. The state's time then stands still, so
/// that a deadline that has passed stays passed.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Clock(u64);

impl Clock {
    /// Takes in a command's time and returns the state's time.
    pub fn advance(&mut self, at_ms: u64) -> u64 {
        self.0 = self.0.max(at_ms);
        self.0
    }

    /// The state's time.
    pub const fn now_ms(self) -> u64 {
        self.0
    }
}
