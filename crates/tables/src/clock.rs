//! The clock of a process.

use std::{sync::atomic, time};

use world::time::Time;

/// The time on a clock when it starts. It is an hour after the origin, so that there are times for
/// what other processes knew before this one started.
const START: Time = Time::from_millis(3_600_000);
/// The shortest suspension that is reported. Shorter ones cannot be told from a delay between two
/// readings.
const MIN_SUSPENSION: time::Duration = time::Duration::from_millis(50);

/// The clock that all decisions of a process are dated by. It never steps, and it counts the time
/// for which the machine is suspended: [`time::Instant`] does not, so that a lease which ended
/// meanwhile would still be valid.
#[derive(Debug)]
pub struct Clock {
    steady_start: time::Instant,
    boot_start: time::Duration,
    /// How long the machine had been suspended at the last report, in microseconds.
    reported_us: atomic::AtomicU64,
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Clock {
        Clock {
            steady_start: time::Instant::now(),
            boot_start: since_boot(),
            reported_us: atomic::AtomicU64::new(0),
        }
    }

    /// The current time.
    pub fn now(&self) -> Time {
        START + since_boot().saturating_sub(self.boot_start)
    }

    /// Converts a time to an instant for timers, as of now: timers stand still while the machine is
    /// suspended. A time that has passed becomes the present.
    pub fn instant(&self, at: Time) -> time::Instant {
        time::Instant::now() + at.since(self.now())
    }

    /// For how long the machine was suspended since the last call that returned this; none when it
    /// was not.
    pub fn take_suspension(&self) -> Option<time::Duration> {
        let total = since_boot().saturating_sub(self.boot_start);
        // A delay between the two readings makes the difference smaller, not larger.
        let suspended = total.saturating_sub(self.steady_start.elapsed());
        let reported =
            time::Duration::from_micros(self.reported_us.load(atomic::Ordering::Relaxed));
        let new = suspended.saturating_sub(reported);
        if new < MIN_SUSPENSION {
            return None;
        }
        let micros = u64::try_from(suspended.as_micros()).unwrap_or(u64::MAX);
        self.reported_us.store(micros, atomic::Ordering::Relaxed);
        Some(new)
    }
}

/// The time since the machine was started, with the time for which it was suspended.
fn since_boot() -> time::Duration {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    time::Duration::try_from(now).unwrap_or_default()
}
