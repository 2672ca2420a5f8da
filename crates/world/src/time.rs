//! Monotonic time as a value, so that functions take the current time as an argument instead of
//! reading a clock.

use std::{fmt, ops, time};

use serde::{Deserialize, Serialize};

/// A point on one process's monotonic clock, in microseconds since an arbitrary origin.
///
/// The times of two processes are not comparable, so messages between processes carry durations, or
/// a time that is only compared with others of the same sender.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Time(u64);

impl Time {
    /// The origin of the clock.
    pub const ZERO: Time = Time(0);
    /// The latest point, which is never reached. It stands for a missing deadline.
    pub const MAX: Time = Time(u64::MAX);

    /// Creates the point `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Time {
        Time(micros)
    }

    /// Creates the point `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Time {
        Time(millis * 1_000)
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the duration from `earlier` to this point, or zero if `earlier` is later.
    pub const fn since(self, earlier: Time) -> time::Duration {
        time::Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the point that is `duration` earlier, unless that is before the origin.
    pub fn checked_sub(self, duration: time::Duration) -> Option<Time> {
        let micros = u64::try_from(duration.as_micros()).ok()?;
        self.0.checked_sub(micros).map(Time)
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

/// Parses a duration in `ms` or `s`, as in `250ms` or `0.8s`, to whole milliseconds; `None` if it is
/// negative, has no unit or is above `u32::MAX` milliseconds.
pub fn parse_millis(text: &str) -> Option<u32> {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 1e-3),
        None => (text.strip_suffix('s')?, 1.0),
    };
    let number: f64 = number.parse().ok()?;
    let time = time::Duration::try_from_secs_f64(number * unit).ok()?;
    // Rounded to the nearest millisecond: 0.8 s has no exact binary representation.
    let millis = (time + time::Duration::from_micros(500)).as_millis();
    u32::try_from(millis).ok()
}
