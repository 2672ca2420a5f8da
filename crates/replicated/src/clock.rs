//! The clock of a replicated state machine.

use serde::{Deserialize, Serialize};

/// The highest wall-clock time of any applied command, in milliseconds since the Unix epoch.
///
/// The wall clock of a new leader can be behind that of the old one. The state's time then does
/// not advance, so that a deadline that has passed stays passed.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Clock(u64);

impl Clock {
    /// Advances to a command's time, unless that is earlier, and returns the state's time.
    pub fn advance(&mut self, at_ms: u64) -> u64 {
        self.0 = self.0.max(at_ms);
        self.0
    }

    /// The state's time, in milliseconds since the Unix epoch; 0 before the first command.
    pub const fn now_ms(self) -> u64 {
        self.0
    }
}
