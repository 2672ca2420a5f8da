//! How many callers' requests of each rank a target has served and refused of late, and whether it
//! serves calls that are less urgent meanwhile.

use std::time;

use world::{requests::Class, time::Time};

use crate::{load, work};

/// How long an outcome counts.
const WINDOW: time::Duration = time::Duration::from_secs(1);
/// Outcomes that are too few to judge a rank by.
const MIN_OUTCOMES: u32 = 8;
/// Ranks that are told apart; all after the last one count as one.
pub(crate) const RANKS: usize = 8;

const BUCKETS: usize = 4;
const BUCKET_MICROS: u64 = WINDOW.as_micros() as u64 / BUCKETS as u64;

/// The outcomes of one target.
#[derive(Debug, Default)]
pub(crate) struct Losses {
    buckets: [Bucket; BUCKETS],
}

/// The outcomes of one part of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Number of the part, from 1.
    turn: u64,
    ranks: [Outcomes; RANKS],
}

/// The outcomes of one rank.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    /// Callers' requests that have started.
    served: u32,
    /// Callers' requests that were refused and that no other target gets.
    lost: u32,
    /// Highest weight of the callers' requests.
    weight: u32,
    /// Internal calls that have started.
    calls: u32,
    /// Highest weight of the calls.
    call_weight: u32,
}

impl Outcomes {
    /// The lost part of callers' requests, in thousandths, if there is one and it can be judged.
    fn lost_part(&self) -> Option<u16> {
        let total = self.served + self.lost;
        let lost = (total >= MIN_OUTCOMES).then(|| self.lost * 1_000 / total)?;
        u16::try_from(lost).ok().filter(|it| *it > 0)
    }
}

impl Losses {
    /// Records that a request has started.
    pub(crate) fn record_start(&mut self, now: Time, work: &work::Work) {
        let outcomes = self.outcomes(now, work.rank);
        match work.class {
            Class::Caller => {
                outcomes.served += 1;
                outcomes.weight = outcomes.weight.max(work.weight);
            }
            Class::Internal => {
                outcomes.calls += 1;
                outcomes.call_weight = outcomes.call_weight.max(work.weight);
            }
        }
    }

    /// Records that a request was refused for want of slots. One that its sender can send elsewhere
    /// is not lost.
    pub(crate) fn record_refusal(&mut self, now: Time, work: &work::Work) {
        if work.class == Class::Internal || work.movable {
            return;
        }
        let outcomes = self.outcomes(now, work.rank);
        outcomes.lost += 1;
        outcomes.weight = outcomes.weight.max(work.weight);
    }

    /// Returns the rank with the largest part of lost callers' requests, among those that outrank
    /// calls which are served meanwhile.
    pub(crate) fn pressure(&self, now: Time) -> load::Pressure {
        let ranks = self.totals(now);
        let outranks = |urgency| {
            let calls = (0..).zip(&ranks).filter(|it| it.1.calls > 0);
            calls.map(|it| (it.0, it.1.call_weight)).any(|it| work::outranks(urgency, it))
        };
        let pressures = (0..).zip(&ranks).filter_map(|(rank, it)| {
            let lost = it.lost_part().filter(|_| outranks((rank, it.weight)))?;
            Some(load::Pressure { rank, weight: it.weight, lost })
        });
        pressures.max_by_key(|it| it.lost).unwrap_or_default()
    }

    fn totals(&self, now: Time) -> [Outcomes; RANKS] {
        let turn = turn(now);
        let mut totals = [Outcomes::default(); RANKS];
        for bucket in self.buckets.iter().filter(|it| it.turn + BUCKETS as u64 > turn) {
            for (total, it) in totals.iter_mut().zip(&bucket.ranks) {
                total.served += it.served;
                total.lost += it.lost;
                total.weight = total.weight.max(it.weight);
                total.calls += it.calls;
                total.call_weight = total.call_weight.max(it.call_weight);
            }
        }
        totals
    }

    fn outcomes(&mut self, now: Time, rank: u32) -> &mut Outcomes {
        let turn = turn(now);
        let bucket = &mut self.buckets[turn as usize % BUCKETS];
        if bucket.turn != turn {
            *bucket = Bucket { turn, ..Bucket::default() };
        }
        &mut bucket.ranks[index(rank)]
    }
}

/// The place of a rank in an array by rank.
pub(crate) fn index(rank: u32) -> usize {
    (rank as usize).min(RANKS - 1)
}

/// The part of the window that contains `now`. It starts at `BUCKETS`, so that an unused bucket is
/// never in the window.
fn turn(now: Time) -> u64 {
    now.as_micros() / BUCKET_MICROS + BUCKETS as u64
}
