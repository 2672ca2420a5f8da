//! A target's load, as it travels back on answers.

use std::time;

use serde::{Deserialize, Serialize};

/// The load of a target when an answer left it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Requests that run.
    pub in_flight: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Slots in force, fewer than configured during a cold start; zero while the target drains.
    pub slots: u32,
    /// Moving mean of the time that a request runs; zero before the first answer.
    pub service_time: time::Duration,
    /// Internal calls that wait.
    pub queued_calls: u32,
    /// The same mean over callers' requests.
    pub caller_time: time::Duration,
    /// The same mean over internal calls.
    pub call_time: time::Duration,
}

impl LoadReport {
    /// How long new work would wait for a slot.
    pub fn expected_wait(&self) -> time::Duration {
        if self.slots == 0 || self.in_flight + self.queued < self.slots {
            return time::Duration::ZERO;
        }
        let before = self.in_flight + self.queued + 1 - self.slots;
        self.service_time * before / self.slots
    }
}
