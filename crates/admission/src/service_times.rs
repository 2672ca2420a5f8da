//! Measured service times of one route: a moving average, and the median of the latest answers.

use std::time;

/// Number of latest answers that the median is taken over.
const WINDOW: usize = 31;
/// Answers needed before the median is used, since fewer could all be outliers.
const MIN_ANSWERS: usize = 5;
/// Number of answers that the moving average is spread over. With 16, one answer that took 50 times
/// longer made its route's cost four times as high for a while, and requests of the route waited
/// longer than they would have in order of arrival.
const MEAN_ANSWERS: u32 = 256;

/// Service times of one route, in microseconds.
#[derive(Clone, Debug)]
pub(crate) struct ServiceTimes {
    recent: [u32; WINDOW],
    filled: usize,
    next: usize,
    mean: MovingMean,
    median: u32,
}

impl Default for ServiceTimes {
    fn default() -> ServiceTimes {
        ServiceTimes {
            recent: [0; WINDOW],
            filled: 0,
            next: 0,
            mean: MovingMean::default(),
            median: 0,
        }
    }
}

/// A moving average of times, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MovingMean {
    mean: f64,
    answers: u32,
}

impl MovingMean {
    pub(crate) fn record(&mut self, micros: u32) {
        // The first `MEAN_ANSWERS` answers have equal weights, so that the very first one does not
        // dominate.
        self.answers = (self.answers + 1).min(MEAN_ANSWERS);
        self.mean += (f64::from(micros) - self.mean) / f64::from(self.answers);
    }

    pub(crate) fn get(self) -> Option<u64> {
        (self.answers > 0).then_some(self.mean as u64)
    }
}

impl ServiceTimes {
    /// Records the service time of an answer. Returns whether the median became known with it.
    pub(crate) fn record(&mut self, micros: u32) -> bool {
        self.recent[self.next] = micros;
        self.next = (self.next + 1) % WINDOW;
        self.filled = (self.filled + 1).min(WINDOW);
        self.mean.record(micros);
        let mut sorted = self.recent;
        let sorted = &mut sorted[..self.filled];
        let (_, &mut median, _) = sorted.select_nth_unstable((self.filled - 1) / 2);
        let known = self.filled == MIN_ANSWERS && self.median == 0;
        if self.filled >= MIN_ANSWERS {
            // Zero means "unknown", so a median of less than 1 µs counts as 1 µs.
            self.median = median.max(1);
        }
        known
    }

    /// Returns the median; `None` with fewer than [`MIN_ANSWERS`] answers.
    pub(crate) fn median(&self) -> Option<u32> {
        (self.median > 0).then_some(self.median)
    }

    /// Returns the moving average; `None` without answers.
    pub(crate) fn mean(&self) -> Option<u64> {
        self.mean.get()
    }
}

/// Converts a duration to microseconds. It saturates at 71 minutes, longer than any timeout.
pub(crate) fn as_micros(duration: time::Duration) -> u32 {
    u32::try_from(duration.as_micros()).unwrap_or(u32::MAX)
}
