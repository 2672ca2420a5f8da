//! Measures how many slots short requests keep busy, which limits the slots of long requests.

use std::time;

use world::time::Time;

/// Length of one measurement window.
const WINDOW: time::Duration = time::Duration::from_secs(1);
/// Number of windows that the moving average is spread over.
const MEAN_WINDOWS: f64 = 4.0;

/// Moving average of the number of slots that short requests keep busy.
#[derive(Debug, Default)]
pub(crate) struct ShortLoad {
    /// Start of the current window.
    since: Time,
    /// Slot time of the short requests that ended in this window, in microseconds.
    busy: u64,
    /// Moving average over the windows before this one.
    slots: f64,
}

impl ShortLoad {
    /// Records that a short request has run for `elapsed`.
    pub(crate) fn record(&mut self, now: Time, elapsed: time::Duration) {
        self.roll_window(now);
        self.busy += u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
    }

    /// Returns the number of slots that short requests need, rounded up.
    pub(crate) fn slots(&self) -> u32 {
        self.slots.ceil() as u32
    }

    /// Ends the current window if it is long enough, and starts the next one.
    fn roll_window(&mut self, now: Time) {
        let length = now.since(self.since);
        if length < WINDOW {
            return;
        }
        let load = self.busy as f64 / length.as_micros() as f64;
        // Without requests, a window can last longer; it then counts as several windows.
        let windows = length.as_secs_f64() / WINDOW.as_secs_f64();
        self.slots += (load - self.slots) * (windows / MEAN_WINDOWS).min(1.0);
        self.since = now;
        self.busy = 0;
    }
}
