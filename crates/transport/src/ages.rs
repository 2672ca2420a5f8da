//! How long the messages of a peer have waited on the way, in queues of either end or of the
//! network.
//!
//! The clocks of two processes have different origins, so the difference between the time of
//! arrival and the time of sending says nothing by itself. The smallest difference of late is that
//! of a message that did not wait; what a message has beyond it was waiting.

use std::time;

use world::time::Time;

/// How long a smallest difference counts at least; it counts for twice as long at most. Clocks that
/// drift apart by 100 parts per million change a difference by 2 ms in this time, and a queue that
/// lasts longer is no longer seen in full.
pub const WINDOW: time::Duration = time::Duration::from_secs(10);

/// The differences between arrival and sending of the messages of one link. A process that starts
/// anew has new links, so the origin of the peer's clock is the same for all of them.
///
/// Both clocks have to count the time in which their host is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ages {
    /// The smallest difference of this window, in microseconds.
    current: Option<i64>,
    /// The smallest difference of the window before.
    previous: Option<i64>,
    /// When this window began, by this process's clock.
    since: Time,
}

impl Ages {
    /// Records a message that was sent at `sent`, by the peer's clock, and arrived at `arrived`, by
    /// this process's. Returns how much longer it took than the fastest message of late.
    pub fn record(&mut self, sent: Time, arrived: Time) -> time::Duration {
        self.advance(arrived);
        // Any two points in time have a difference modulo 2^64.
        let difference = arrived.as_micros().wrapping_sub(sent.as_micros()).cast_signed();
        self.current = Some(self.current.map_or(difference, |it| it.min(difference)));
        let smallest = self.previous.map_or(difference, |it| it.min(difference));
        let smallest = self.current.map_or(smallest, |it| it.min(smallest));
        time::Duration::from_micros(difference.saturating_sub(smallest).cast_unsigned())
    }

    /// Begins a new window when the current one is over.
    fn advance(&mut self, now: Time) {
        let elapsed = now.since(self.since);
        if elapsed < WINDOW {
            return;
        }
        self.previous = self.current.take().filter(|_| elapsed < 2 * WINDOW);
        self.since = now;
    }
}
