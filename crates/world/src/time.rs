//! Monotonic time as a value, so that decisions take it as an argument.

use std::{fmt, ops, time};

use serde::{Deserialize, Serialize};

/// A point on one process's monotonic clock, in microseconds since an arbitrary origin.
///
/// Points of two processes are not comparable; messages between processes carry durations.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Time(u64);

impl Time {
    /// The origin of the clock.
    pub const ZERO: Time = Time(0);
    /// A point that is never reached; a deadline of work without a deadline.
    pub const MAX: Time = Time(u64::MAX);

    /// The point `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Time {
        Time(micros)
    }

    /// The point `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Time {
        Time(millis * 1_000)
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The duration from `earlier` to this point, or zero when `earlier` is later.
    pub const fn since(self, earlier: Time) -> time::Duration {
        time::Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add<time::Duration> for Time {
    type Output = Time;

    fn add(self, rhs: time::Duration) -> Time {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_add(micros))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
