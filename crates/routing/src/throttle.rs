//! Limits what a node sends to the targets of a service that refuse most of it, also known as
//! adaptive throttling.
//!
//! A refusal costs a message each way, and the body of the request. When the targets are full,
//! these messages take the network links from the requests that could be served, whose calls and
//! answers are then late, so that the targets are full for longer. So a node that is refused too
//! often refuses a part of the requests itself: the less urgent ones first, and those of the team
//! that sends most.

use std::time;

use rand::{Rng as _, rngs};
use world::time::Time;

use crate::senders;

/// How long an outcome counts. Load changes within seconds, and after its end requests are held
/// back for as long, unless a target reports that it has room.
pub const WINDOW: time::Duration = time::Duration::from_secs(1);
/// Sends per admitted request up to which nothing is held back.
const SENDS_PER_ADMISSION: f32 = 3.0;
/// The same for a request that another target has just refused: it is the first to be held back.
const RESENDS_PER_ADMISSION: f32 = 2.0;
/// Longest time without a send while there are requests, so that the end of the load is noticed.
const SEND_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Outcomes that are too few to judge a service by.
const MIN_OUTCOMES: u32 = 8;

const BUCKETS: usize = 8;
const BUCKET_MICROS: u64 = WINDOW.as_micros() as u64 / BUCKETS as u64;

/// The recent outcomes of a node's sends to one service.
#[derive(Clone, Debug, Default)]
pub struct Throttle {
    buckets: [Bucket; BUCKETS],
    /// Whose requests the outcomes are of.
    senders: senders::Senders,
    /// The part of the window in which the held requests were last distributed among the senders.
    distributed: u64,
    /// When a request was last sent.
    sent_at: Time,
}

/// The outcomes of one part of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Number of the part, from 1.
    turn: u64,
    /// Requests that a target admitted or refused, and requests that were held back.
    offered: u32,
    admitted: u32,
}

impl Throttle {
    /// Records that a target admitted a request or refused it for want of room.
    pub fn record(&mut self, now: Time, sender: senders::Sender<'_>, admitted: bool) {
        self.senders.record(sender);
        let bucket = self.bucket(now);
        bucket.offered = bucket.offered.saturating_add(1);
        bucket.admitted = bucket.admitted.saturating_add(admitted.into());
    }

    /// Forgets the outcomes so far: a target has reported that most of its slots are free, so the
    /// load is over.
    pub fn clear(&mut self) {
        self.buckets = Default::default();
        self.senders = Default::default();
    }

    /// Returns whether a request may be sent, and records it if it is held back. `again` says that
    /// another target has refused it.
    ///
    /// The share that is held back leaves a fixed number of sends for each admitted request.
    pub fn try_send(
        &mut self,
        now: Time,
        sender: senders::Sender<'_>,
        again: bool,
        rng: &mut rngs::SmallRng,
    ) -> bool {
        self.distribute(now);
        let share = self.senders.held(sender, again);
        let share = share.unwrap_or_else(|| self.share_held(now, again));
        let due = now.since(self.sent_at) >= SEND_INTERVAL;
        if due || rng.random::<f32>() >= share {
            self.sent_at = now;
            return true;
        }
        self.record(now, sender, false);
        false
    }

    /// Distributes the requests that are held back among the senders, once for each bucket.
    fn distribute(&mut self, now: Time) {
        let turns = turn(now).saturating_sub(self.distributed);
        if turns == 0 {
            return;
        }
        self.distributed = turn(now);
        let kept = (1.0 - 1.0 / BUCKETS as f32).powf(turns as f32);
        let (held, again) = (self.share_held(now, false), self.share_held(now, true));
        self.senders.distribute(held, again, kept);
    }

    /// Returns the share of all requests that is held back now.
    fn share_held(&self, now: Time, again: bool) -> f32 {
        let turn = turn(now);
        let recent = self.buckets.iter().filter(|it| it.turn + BUCKETS as u64 > turn);
        let (mut offered, mut admitted) = (0, 0);
        for bucket in recent {
            offered += bucket.offered;
            admitted += bucket.admitted;
        }
        if offered < MIN_OUTCOMES {
            return 0.0;
        }
        let sends = if again { RESENDS_PER_ADMISSION } else { SENDS_PER_ADMISSION };
        let excess = offered as f32 - sends * admitted as f32;
        (excess / (offered as f32 + 1.0)).max(0.0)
    }

    fn bucket(&mut self, now: Time) -> &mut Bucket {
        let turn = turn(now);
        let bucket = &mut self.buckets[turn as usize % BUCKETS];
        if bucket.turn != turn {
            *bucket = Bucket { turn, ..Bucket::default() };
        }
        bucket
    }
}

/// The part of the window that contains `now`. It starts at `BUCKETS`, so that an unused bucket is
/// never in the window.
fn turn(now: Time) -> u64 {
    now.as_micros() / BUCKET_MICROS + BUCKETS as u64
}
