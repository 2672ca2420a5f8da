//! Measured service times of one route: a moving mean and the median of the latest answers.

use std::time;

/// Answers that the median is taken over.
const WINDOW: usize = 31;
/// Answers before the median is used. Fewer could all be outliers.
const MIN_ANSWERS: usize = 5;
/// Answers that the moving mean is spread over. Over 16, one answer that took 50 times longer made
/// its route four times dearer for a while, and work of the route waited longer than in order of
/// arrival.
const MEAN_ANSWERS: u32 = 256;

/// Service times of one route in microseconds.
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

/// A moving mean in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MovingMean {
    mean: f64,
    answers: u32,
}

impl MovingMean {
    pub(crate) fn record(&mut self, micros: u32) {
        // The first answers have equal weights, so that the first one alone decides nothing.
        self.answers = (self.answers + 1).min(MEAN_ANSWERS);
        self.mean += (f64::from(micros) - self.mean) / f64::from(self.answers);
    }

    pub(crate) fn get(self) -> Option<u64> {
        (self.answers > 0).then_some(self.mean as u64)
    }
}

impl ServiceTimes {
    /// Adds an answer. Returns whether the median is known from now on.
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
            // Zero stands for "not known"; a median below the clock's step counts as one step.
            self.median = median.max(1);
        }
        known
    }

    /// The median in microseconds, once it is known.
    pub(crate) fn median(&self) -> Option<u32> {
        (self.median > 0).then_some(self.median)
    }

    /// The moving mean in microseconds.
    pub(crate) fn mean(&self) -> Option<u64> {
        self.mean.get()
    }
}

/// A duration in microseconds, cut off at 71 minutes; no timeout is that long.
pub(crate) fn as_micros(duration: time::Duration) -> u32 {
    u32::try_from(duration.as_micros()).unwrap_or(u32::MAX)
}
