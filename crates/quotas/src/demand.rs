//! How many requests of a team arrive at a node.

use std::time as std_time;

use world::time;

/// Time over which arrivals are averaged. It is short, so that the tokens of a node follow a load
/// that grows several times within a second.
const AVERAGING: std_time::Duration = std_time::Duration::from_millis(1_500);
/// Time for whose arrivals a node keeps tokens. It is well below the lifetime of a token, and the
/// tokens that all nodes keep leave half of a quota in hand.
const STOCKED: std_time::Duration = std_time::Duration::from_secs(1);

/// Fewest tokens that a node keeps.
const MIN_STOCK: u32 = 2;

/// The recent rate of arrivals, as an exponentially weighted average.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Demand {
    per_second: f64,
    updated_at: time::Time,
}

impl Demand {
    /// Counts an arrival.
    pub(crate) fn count(&mut self, now: time::Time) {
        self.per_second = self.rate(now) + 1.0 / AVERAGING.as_secs_f64();
        self.updated_at = now;
    }

    /// The tokens that a node keeps for this demand. For a lower one than [`MIN_STOCK`] it keeps
    /// none, since many of them would expire.
    pub(crate) fn tokens(&self, now: time::Time) -> u32 {
        let tokens = (self.rate(now) * STOCKED.as_secs_f64()) as u32;
        if tokens < MIN_STOCK { 0 } else { tokens }
    }

    fn rate(&self, now: time::Time) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64() / AVERAGING.as_secs_f64();
        // The first terms of the exponential function, which give the same result on each platform.
        self.per_second / (1.0 + age * (1.0 + age * (0.5 + age / 6.0)))
    }
}
