//! How many slots short work keeps busy, which decides how many long work may hold.

use std::time;

use world::time::Time;

/// Length of one measurement.
const WINDOW: time::Duration = time::Duration::from_secs(1);
/// Measurements that the moving mean is spread over.
const MEAN_WINDOWS: f64 = 4.0;

/// Slots that short work keeps busy on average.
#[derive(Debug, Default)]
pub(crate) struct ShortLoad {
    since: Time,
    /// Slot time of the short work that ended in this window, in microseconds.
    busy: u64,
    slots: f64,
}

impl ShortLoad {
    /// Notes that short work has run for `elapsed`.
    pub(crate) fn record(&mut self, now: Time, elapsed: time::Duration) {
        self.roll_window(now);
        self.busy += u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
    }

    /// Slots that short work needs.
    pub(crate) fn slots(&self) -> u32 {
        self.slots.ceil() as u32
    }

    fn roll_window(&mut self, now: Time) {
        let length = now.since(self.since);
        if length < WINDOW {
            return;
        }
        let load = self.busy as f64 / length.as_micros() as f64;
        // A window that is longer for lack of work counts as the windows that it covers.
        let windows = length.as_secs_f64() / WINDOW.as_secs_f64();
        self.slots += (load - self.slots) * (windows / MEAN_WINDOWS).min(1.0);
        self.since = now;
        self.busy = 0;
    }
}
