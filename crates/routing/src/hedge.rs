//! When a slow request of a route that asks for it is sent a second time.
//!
//! The second send is counted by [`retry::try_extra_send`], like a retry.

use std::time;

use world::{contracts, time::Time};

use crate::retry;

/// The percentile of a route's request times after which a second send is due.
pub const PERCENTILE: u64 = 95;
/// Request times needed before a percentile means something: with 20, one lies above the 95th.
pub const MIN_SAMPLES: u64 = 20;
/// How long request times count: a window is replaced after this time, and the one before it
/// counts along.
pub const WINDOW: time::Duration = time::Duration::from_secs(10);

/// Four buckets for each doubling of the time, from 64 µs to over an hour.
const BUCKETS: usize = 104;
const UNIT_SHIFT: u32 = 6;

/// Recent request times of one route in a fixed space of 832 bytes. A percentile is at most a
/// fourth too high.
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
    /// Counts the time of a request that was answered.
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

    /// The 95th percentile, once there are enough request times.
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

    /// When the second send of a request is due that was first sent at `sent`; never for a route
    /// that does not ask for it, or for a request that must not run twice.
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
