//! When the refused callers of a service are asked to return, so that those who return are served.
//!
//! A refused caller that returns to a service that is still full is refused again, and its return is
//! one more request that the service has to refuse. So a node promises returns one after the other, at
//! the rate at which the service has admitted its requests at its best of late. While the service
//! refuses a large part of them, what comes leaves room for returns only if it is less than that
//! rate; without room, a later return is better than an earlier one, since the load may have gone.

use std::{fmt, time};

use rand::{Rng as _, rngs};
use world::time::Time;

/// Shortest time after which a caller is asked to return. An earlier return finds the slots as they
/// were.
pub const MIN_PAUSE: time::Duration = time::Duration::from_millis(10);
/// Longest time after which a caller is asked to return. Load changes within seconds, so a later
/// time says nothing about the room then.
pub const MAX_PAUSE: time::Duration = time::Duration::from_secs(2);
/// Callers honour a pause of up to this part of the time that they have left.
pub const HONOURED_PART: u32 = 3;
/// Time that a refusal takes on its way to the caller, who counts what is left on its arrival.
const WAY_TO_CALLER: time::Duration = time::Duration::from_millis(6);
/// How long admissions count for the rate of a service at its best.
pub const WINDOW: time::Duration = time::Duration::from_secs(4);
/// Shortest time that the rates are taken over.
const RATE_TIME: time::Duration = time::Duration::from_secs(1);
/// Part of the pause that is drawn at random, so that the callers of many nodes do not return at the
/// same time.
const JITTER: f32 = 0.1;
/// Ranks that are told apart; less urgent ones count as the last of them.
const RANKS: usize = 4;

/// Lowest rate of returns, in requests per second. Its first turn is later than [`MAX_PAUSE`].
const MIN_RATE: f32 = 0.25;
/// Refusals per hundred requests from which the service counts as overloaded.
const MAX_REFUSED_PERCENT: u32 = 20;

const SLOT_MICROS: u64 = 50_000;
/// Slots of [`WINDOW`] before the present one, the present one, and those of [`MAX_PAUSE`].
const SLOTS: usize = 128;
const PAST: u64 = WINDOW.as_micros() as u64 / SLOT_MICROS;
const RATE_SLOTS: u64 = RATE_TIME.as_micros() as u64 / SLOT_MICROS;
const FUTURE: u64 = MAX_PAUSE.as_micros() as u64 / SLOT_MICROS;

/// What a node knows of the callers of one service: those that come, those that the targets admit,
/// and those that were asked to return.
#[derive(Clone, Debug)]
pub struct Ledger {
    slots: [Slot; SLOTS],
    /// The latest time at which a target reported that most of its slots are free.
    room_at: Option<Time>,
    /// The latest refusal.
    refused_at: Time,
}

/// What happened in one part of the time, or is promised for it.
#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    /// Number of the part, from [`PAST`].
    turn: u64,
    offered: u16,
    admitted: u16,
    refused: u16,
    /// Promised returns by rank.
    promised: [u16; RANKS],
}

/// A refused caller.
#[derive(Clone, Copy, Debug)]
pub struct Refused {
    /// Its rank; 0 is the most urgent.
    pub rank: u32,
    /// The time that it has left.
    pub left: time::Duration,
    /// The time after which an answer no longer meets the latency objective.
    pub objective: time::Duration,
    /// The time that such a request usually runs at a target; zero if unknown.
    pub run: time::Duration,
    /// The shortest wait for a slot that a target which refused it has reported.
    pub wait: time::Duration,
}

/// When a refused caller is asked to return, and why then.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Promise {
    /// The time after which it is asked to return.
    pub pause: time::Duration,
    /// Why.
    pub why: Why,
    /// Returns that were promised before, are due earlier and are not less urgent.
    pub ahead: u32,
}

/// Why a caller is asked to return at a time. The names are part of the log line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Why {
    /// A target has reported that most of its slots are free since the last refusal.
    Room,
    /// There will be room then, after the returns that were promised before.
    Turn,
    /// No room is expected within the time that the caller waits: this is the latest time of use.
    Latest,
}

impl Default for Ledger {
    fn default() -> Ledger {
        Ledger { slots: [Slot::default(); SLOTS], room_at: None, refused_at: Time::ZERO }
    }
}

impl Ledger {
    /// Counts a caller's request that has come, for the first time or again.
    pub fn record_offered(&mut self, now: Time) {
        let slot = self.slot(turn(now));
        slot.offered = slot.offered.saturating_add(1);
    }

    /// Counts a caller's request that a target has admitted.
    pub fn record_admitted(&mut self, now: Time) {
        let slot = self.slot(turn(now));
        slot.admitted = slot.admitted.saturating_add(1);
    }

    /// Records that a target has reported that most of its slots are free.
    pub fn record_room(&mut self, now: Time) {
        self.room_at = Some(now);
    }

    /// Promises a refused caller a time to return.
    pub fn promise(&mut self, now: Time, refused: &Refused, rng: &mut rngs::SmallRng) -> Promise {
        let latest = refused.longest_pause();
        let ahead = self.ahead(now, refused.rank);
        let has_room = self.room_at.is_some_and(|it| it >= self.refused_at);
        self.refused_at = now;
        let slot = self.slot(turn(now));
        slot.refused = slot.refused.saturating_add(1);
        let jitter = 1.0 - JITTER * rng.random::<f32>();
        let due = self.next_room(turn(now), ahead);
        let (pause, why) = match () {
            () if has_room => (refused.wait, Why::Room),
            () if due < latest => (due.max(refused.wait), Why::Turn),
            () => (latest, Why::Latest),
        };
        let pause = pause.min(latest).mul_f32(jitter).max(MIN_PAUSE);
        let slot = self.slot(turn(now + pause));
        let promised = &mut slot.promised[index(refused.rank)];
        *promised = promised.saturating_add(1);
        Promise { pause, why, ahead }
    }

    /// Returns the returns that are due from now on and that are as urgent or more.
    fn ahead(&self, now: Time, rank: u32) -> u32 {
        let turn = turn(now);
        let due = self.slots.iter().filter(|it| it.turn >= turn);
        due.flat_map(|it| &it.promised[..=index(rank)]).map(|&it| u32::from(it)).sum()
    }

    /// Returns the time until the service is expected to have room behind so many returns. While it
    /// does not count as overloaded, the first return needs no turn.
    fn next_room(&self, turn: u64, ahead: u32) -> time::Duration {
        let recent = self.slots.iter().filter(|it| it.turn <= turn && it.turn + RATE_SLOTS > turn);
        let (mut offered, mut refused) = (0, 0);
        for it in recent {
            offered += u32::from(it.offered);
            refused += u32::from(it.refused);
        }
        let overloaded = refused * 100 > offered * MAX_REFUSED_PERCENT && refused > 1;
        let (taken, before) = if overloaded { (offered, ahead + 1) } else { (0, ahead) };
        let rate = self.best_rate(turn) - taken as f32 / RATE_TIME.as_secs_f32();
        time::Duration::from_secs_f32(before as f32 / rate.max(MIN_RATE))
    }

    /// Returns the highest rate of admissions in [`WINDOW`], in requests per second.
    fn best_rate(&self, turn: u64) -> f32 {
        let (mut sum, mut best) = (0, 0);
        for it in turn - PAST..turn {
            sum += self.admitted(it);
            if it >= turn - PAST + RATE_SLOTS {
                sum -= self.admitted(it - RATE_SLOTS);
            }
            best = best.max(sum);
        }
        best as f32 / RATE_TIME.as_secs_f32()
    }

    fn admitted(&self, turn: u64) -> u32 {
        let slot = &self.slots[turn as usize % SLOTS];
        if slot.turn == turn { slot.admitted.into() } else { 0 }
    }

    fn slot(&mut self, turn: u64) -> &mut Slot {
        let slot = &mut self.slots[turn as usize % SLOTS];
        if slot.turn != turn {
            *slot = Slot { turn, ..Slot::default() };
        }
        slot
    }
}

impl Refused {
    /// Returns the longest useful pause: the caller still honours it, and its answer can still meet
    /// its objective. If none can, the objective does not count.
    pub fn longest_pause(&self) -> time::Duration {
        let honoured = self.left.saturating_sub(WAY_TO_CALLER) / HONOURED_PART;
        let on_time = self.objective.saturating_sub(self.run + self.wait + 2 * WAY_TO_CALLER);
        let latest = if on_time < MIN_PAUSE { honoured } else { honoured.min(on_time) };
        latest.clamp(MIN_PAUSE, MAX_PAUSE)
    }
}

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Why::Room => "a target has free slots",
            Why::Turn => "room after the returns promised before",
            Why::Latest => "no room within the time that the caller waits",
        })
    }
}

fn index(rank: u32) -> usize {
    (rank as usize).min(RANKS - 1)
}

/// The part of the time that contains `now`. It starts at [`PAST`], so that an unused slot is never
/// in the window.
fn turn(now: Time) -> u64 {
    now.as_micros() / SLOT_MICROS + PAST + 1
}

const _: () = assert!(PAST + 1 + FUTURE < SLOTS as u64);
