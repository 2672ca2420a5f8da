//! Limits on log lines whose number another process decides.

use std::time as std_time;

use crate::time;

/// The shortest time between two lines.
const INTERVAL: std_time::Duration = std_time::Duration::from_secs(1);

/// Lets one event in a second be logged.
#[derive(Debug, Default)]
pub struct LogLimit {
    next_at: time::Time,
    skipped: u64,
}

impl LogLimit {
    /// Counts an event. Returns how many were skipped since the last line if this one is logged.
    pub fn count(&mut self, now: time::Time) -> Option<u64> {
        if now < self.next_at {
            self.skipped += 1;
            return None;
        }
        self.next_at = now + INTERVAL;
        Some(std::mem::take(&mut self.skipped))
    }
}
