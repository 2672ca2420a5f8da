//! Holds requests back from a backend server that sheds them although its node counts free slots.
//!
//! Otherwise each node that sends to the target learns of it by its own sends, and each request
//! that is shed costs an attempt. The target's node refuses them at no cost.

use std::time;

use world::time::Time;

/// Requests that the backend server sheds in a row, with no answer between them, until further ones
/// are held back.
const MAX_SHEDS: u32 = 3;
/// The pause between two requests that test whether the backend server takes work again.
const TRIAL_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// What a backend server has shed of late, and how many requests it takes at the same time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Shedding {
    /// Requests that were shed since the last answer.
    sheds: u32,
    /// None while the server takes what its node sends.
    limit: Option<Limit>,
}

/// The limit on a server that sheds.
#[derive(Clone, Copy, Debug)]
struct Limit {
    /// Requests that ran when the server shed another one.
    running: u32,
    /// When one more request may test whether the server takes it.
    trial_at: Time,
}

impl Shedding {
    /// Records that the backend server shed a request while `running` others ran. Returns whether
    /// requests are held back from now on that were not before.
    pub(crate) fn record_shed(&mut self, now: Time, running: u32) -> bool {
        self.sheds = self.sheds.saturating_add(1);
        if let Some(limit) = &mut self.limit {
            limit.running = limit.running.min(running);
            return false;
        }
        if self.sheds < MAX_SHEDS {
            return false;
        }
        self.limit = Some(Limit { running, trial_at: now + TRIAL_INTERVAL });
        true
    }

    /// Records that the backend server answered a request while `running` others ran. An answer
    /// beyond the limit ends it.
    pub(crate) fn record_answer(&mut self, running: u32) {
        self.sheds = 0;
        self.limit = self.limit.filter(|it| running < it.running);
    }

    /// Whether a new request may be sent to the backend server while `running` others run. When it
    /// is a trial, the next one is due after a pause, whatever comes of this one.
    pub(crate) fn try_send(&mut self, now: Time, running: u32) -> bool {
        let Some(limit) = &mut self.limit else { return true };
        if running < limit.running {
            return true;
        }
        if now < limit.trial_at {
            return false;
        }
        limit.trial_at = now + TRIAL_INTERVAL;
        true
    }

    /// The requests that the server takes at the same time, and how long further ones are held back
    /// from now on; none without a limit.
    pub(crate) fn limit(&self, now: Time) -> Option<(u32, time::Duration)> {
        self.limit.map(|it| (it.running, it.trial_at.since(now)))
    }
}
