//! Decides whether the peer of a link has stopped responding, from what the link itself shows.
//!
//! A host is silent when nothing comes back for several round trips, whatever they take: on a link
//! with a full queue, a fixed limit takes each host for silent, and the probes and repeated requests
//! that follow lengthen the queue.

use std::time;

/// Least time without any packet after something was sent, from which the peer counts as silent. A
/// peer acknowledges within a round trip and 25 ms, so this tolerates several lost packets in a row.
pub const MIN_LIMIT: time::Duration = time::Duration::from_millis(300);
/// Greatest such time. A request that waits longer for a peer that may be gone is of little use.
pub const MAX_LIMIT: time::Duration = time::Duration::from_millis(1_500);
/// The limit in round trips: one for the acknowledgement, and two for lost packets.
pub const LIMIT_ROUND_TRIPS: u32 = 3;
/// Least time that a link may take to open: two round trips and some work at a busy peer.
pub const MIN_CONNECT_LIMIT: time::Duration = time::Duration::from_millis(400);

/// What a link shows while an answer is awaited.
#[derive(Clone, Copy, Debug)]
pub struct Signs {
    /// Time since something was sent, or since the last packet was received if that was later.
    pub elapsed: time::Duration,
    /// How long a responsive peer may send nothing: zero after something was sent.
    pub quiet: time::Duration,
    /// The link's estimate of its round-trip time.
    pub round_trip: time::Duration,
    /// The median round trip of the node's links. It shows a queue on the node's own side before
    /// the estimate of a link that was idle does. Zero if unknown.
    pub typical_round_trip: time::Duration,
    /// Whether a packet was received from the peer within `elapsed`.
    pub received: bool,
}

/// The state of a link's peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The peer has sent something.
    Responsive,
    /// Nothing was received yet; the next verdict is due after this time.
    Wait(time::Duration),
    /// Nothing was received for too long.
    Silent,
}

/// Returns the longest time without any packet after something was sent over a link with this round
/// trip.
pub fn limit(round_trip: time::Duration) -> time::Duration {
    (LIMIT_ROUND_TRIPS * round_trip).clamp(MIN_LIMIT, MAX_LIMIT)
}

/// Returns the longest time that a request waits for a link to open, from the median round trip of
/// the node's links.
pub fn connect_limit(typical_round_trip: time::Duration) -> time::Duration {
    (LIMIT_ROUND_TRIPS * typical_round_trip).clamp(MIN_CONNECT_LIMIT, MAX_LIMIT)
}

/// Judges the peer of a link.
///
/// What other hosts have sent meanwhile does not count. A node that hears from no host at all is
/// cut off itself, and its callers are served best in the same way: requests for other hosts are
/// refused at once, and the target of its own host goes on.
pub fn judge(signs: &Signs) -> Verdict {
    if signs.received {
        return Verdict::Responsive;
    }
    let limit = signs.quiet + limit(signs.round_trip.max(signs.typical_round_trip));
    match limit.saturating_sub(signs.elapsed) {
        time::Duration::ZERO => Verdict::Silent,
        left => Verdict::Wait(left),
    }
}

/// Returns the median, the lower one of two; zero without values.
pub fn median(mut round_trips: Vec<time::Duration>) -> time::Duration {
    let Some(middle) = round_trips.len().checked_sub(1).map(|it| it / 2) else {
        return time::Duration::ZERO;
    };
    *round_trips.select_nth_unstable(middle).1
}
