//! Decides when a slow request is hedged, that is, sent to a second target. A route has to enable
//! hedging.
//!
//! The second send is counted by [`retry::try_extra_send`], like a retry.

use std::time;

use world::{contracts, time::Time};

use crate::retry;

/// Percentile of a route's latencies after which the second send is due.
pub const PERCENTILE: u64 = 95;
/// Latencies needed for a meaningful percentile: of 20, one lies above the 95th percentile.
pub const MIN_SAMPLES: u64 = 20;
/// Length of a window. A percentile is taken over the current window and the previous one.
pub const WINDOW: time::Duration = time::Duration::from_secs(10);

/// Four buckets for each doubling of the latency, from 64 µs to over an hour.
const BUCKETS: usize = 104;
/// The unit of the buckets is 2 to the power of this, in microseconds.
const UNIT_SHIFT: u32 = 6;

/// Histogram of the recent latencies of one route, in 832 bytes. A percentile is at most 25% too
/// high.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    current: [u32; BUCKETS],
    previous: [u32; BUCKETS],
    started: Time,
}

impl Default for LatencyHistogram {
    fn default() -> LatencyHistogram {
        LatencyHistogram { current: [0; BUCKETS], previous: [0; BUCKETS], started: Time::ZERO }
    }
}

impl LatencyHistogram {
    /// Counts the latency of an answered request.
    pub fn record(&mut self, now: Time, elapsed: time::Duration) {
        if now.since(self.started) >= WINDOW {
            let skipped = now.since(self.started) >= 2 * WINDOW;
            self.previous = if skipped { [0; BUCKETS] } else { self.current };
            self.current = [0; BUCKETS];
            self.started = now;
        }
        let bucket = &mut self.current[bucket_of(elapsed)];
        *bucket = bucket.saturating_add(1);
    }

    /// Returns the 95th percentile; `None` with fewer than [`MIN_SAMPLES`] latencies.
    pub fn percentile(&self) -> Option<time::Duration> {
        let counts = || self.current.iter().zip(&self.previous).map(|(a, b)| u64::from(a + b));
        let total: u64 = counts().sum();
        if total < MIN_SAMPLES {
            return None;
        }
        let rank = (total * PERCENTILE).div_ceil(100);
        let mut seen = 0;
        for (bucket, count) in counts().enumerate() {
            seen += count;
            if seen >= rank {
                return Some(upper_bound(bucket));
            }
        }
        None
    }

    /// Returns when the second send of a request is due that was first sent at `sent`.
    ///
    /// Returns `None` if the route does not enable hedging, the request is not idempotent, there
    /// are too few latencies, or the second send would be due after the deadline.
    pub fn due(
        &self,
        route: &contracts::Route,
        request: &retry::Request,
        sent: Time,
    ) -> Option<Time> {
        if !route.hedge || !request.idempotent {
            return None;
        }
        let due = sent + self.percentile()?;
        (due < request.deadline).then_some(due)
    }
}

fn bucket_of(elapsed: time::Duration) -> usize {
    let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX) >> UNIT_SHIFT;
    if micros < 4 {
        return micros as usize;
    }
    let doubling = micros.ilog2();
    let quarter = (micros >> (doubling - 2)) & 3;
    let bucket = (doubling as usize - 1) * 4 + quarter as usize;
    bucket.min(BUCKETS - 1)
}

fn upper_bound(bucket: usize) -> time::Duration {
    let units = if bucket < 4 {
        bucket as u64 + 1
    } else {
        (4 + bucket as u64 % 4 + 1) << (bucket / 4 - 1)
    };
    time::Duration::from_micros(units << UNIT_SHIFT)
}
