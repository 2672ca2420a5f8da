//! Large answers of the targets of one service, beside many small ones, over narrow network links.

use std::{collections, fmt::Write as _, time};

use admission::{answer_sizes, uplink};
use rand::{Rng as _, SeedableRng as _, rngs};
use world::{contracts, requests, time::Time};

const MS: fn(u64) -> time::Duration = time::Duration::from_millis;
/// What the pacer gives messages of a link of 9.8 Mbit/s, in bytes per second.
const RATE: u64 = 9_800_000 / 8 * 92 / 100;
const TARGETS: usize = 8;
/// The targets that are gone during the peak.
const GONE: std::ops::Range<usize> = 6..8;
const PEAK_MS: std::ops::Range<u64> = 12_000..16_000;
/// The peak has effects for this time after its end at most.
const RECOVERY_MS: u64 = 3_000;
/// Requests are sent until then, and the last answers arrive a deadline later.
const END_MS: u64 = 28_000;
const SERVICE_MS: std::ops::Range<u64> = 130..210;
const SIZES: std::ops::Range<u64> = 40_000..140_000;
/// The mean of [`SIZES`], in bytes.
const MEAN_BYTES: u64 = 90_000;
const OBJECTIVE_MS: u64 = 1_000;
const LIMIT_MS: u64 = 2_500;
/// The time of the other links, there and back.
const WAY_MS: u64 = 40;
/// Calls a second at each target, and the bytes of their answers.
const CALLS: u64 = 125;
const CALL_BYTES: u64 = 500;
/// A refused caller comes back once, after this time.
const RETURN_MS: u64 = 300;

/// How a target decides, and in which order its link sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Rule {
    /// By the queue of answers that exist, with one queue for all answers.
    Queue,
    /// By what was promised, with small answers ahead of large ones.
    Promises,
}

/// An export on its way through a target.
#[derive(Clone, Copy)]
struct Export {
    sent_ms: u64,
    ready_ms: u64,
    promised: u64,
    left: u64,
}

struct Target {
    link: uplink::Uplink,
    running: Vec<Export>,
    queue: collections::VecDeque<Export>,
    /// Bytes of calls' answers that wait, and of all that were sent.
    calls: u64,
    passed: u64,
}

#[derive(Default)]
struct Outcome {
    offered: [u32; 3],
    timely: [u32; 3],
    refused: u32,
    late: u32,
    /// The longest wait of a call's answer for the link, in milliseconds.
    call_ms: u64,
    sent: u64,
}

fn phase(ms: u64) -> usize {
    match ms {
        _ if ms < PEAK_MS.start => 0,
        _ if ms < PEAK_MS.end + RECOVERY_MS => 1,
        _ => 2,
    }
}

impl Target {
    fn queued(&self) -> u64 {
        self.queue.iter().map(|it| it.left).sum()
    }

    fn offer(&mut self, rule: Rule, now_ms: u64, sent_ms: u64, ready_ms: u64, bytes: u64) -> bool {
        let elapsed = now_ms - sent_ms + WAY_MS / 2;
        let objective = MS(OBJECTIVE_MS.saturating_sub(elapsed));
        let left = MS(LIMIT_MS.saturating_sub(elapsed));
        let class = requests::Class::Caller;
        let waits = if rule == Rule::Queue { self.queued() + self.calls } else { self.calls };
        let backlog = MS(waits * 1_000 / RATE);
        let promised = if rule == Rule::Queue {
            (!uplink::is_full(backlog, class, objective, left)).then_some(0)
        } else {
            let (place, route) = (uplink::Place::Target, route());
            self.link.measure(Time::ZERO + MS(now_ms), self.passed);
            let request = uplink::Request { place, route, class, objective, left, backlog };
            self.link.offer(&request).ok()
        };
        let Some(promised) = promised else { return false };
        self.running.push(Export { sent_ms, ready_ms, promised, left: bytes });
        true
    }

    /// Ends the requests that are due, and sends what the link carries in a millisecond.
    fn advance(&mut self, rule: Rule, now_ms: u64, outcome: &mut Outcome) {
        let ready = self.running.extract_if(.., |it| it.ready_ms <= now_ms);
        for export in ready.collect::<Vec<_>>() {
            self.link.replace(export.promised, export.left);
            let service = MS(SERVICE_MS.start.midpoint(SERVICE_MS.end));
            self.link.record(uplink::Place::Target, route(), export.left, service);
            self.queue.push_back(export);
        }
        let ahead = if rule == Rule::Queue { self.queued() } else { 0 };
        outcome.call_ms = outcome.call_ms.max((ahead + self.calls) * 1_000 / RATE);
        let mut room = RATE / 1_000;
        let calls = self.calls.min(room);
        (self.calls, self.passed, room) = (self.calls - calls, self.passed + calls, room - calls);
        outcome.sent += calls;
        while let Some(mut export) = self.queue.pop_front() {
            let sent = room.min(export.left);
            (room, export.left) = (room - sent, export.left - sent);
            self.link.remove(sent);
            outcome.sent += sent;
            if export.left == 0 {
                let is_timely = now_ms + WAY_MS / 2 - export.sent_ms <= OBJECTIVE_MS;
                outcome.timely[phase(export.sent_ms)] += u32::from(is_timely);
                outcome.late += u32::from(!is_timely);
            } else {
                self.queue.push_front(export);
            }
            if room == 0 {
                return;
            }
        }
    }
}

fn route() -> contracts::RouteKey {
    let mut arena = slotmap::SlotMap::<contracts::RouteKey, ()>::with_key();
    arena.insert(())
}

/// Replays `rate` exports a second, twice as many in the peak, in steps of 1 ms. Senders choose the
/// better of two targets by their load reports and try one other after a refusal.
fn replay(rule: Rule, rate: u64, seed: u64) -> Outcome {
    let mut rng = rngs::StdRng::seed_from_u64(seed);
    let target = || Target {
        link: uplink::Uplink::new(Some(RATE)),
        running: Vec::new(),
        queue: collections::VecDeque::new(),
        calls: 0,
        passed: 0,
    };
    let mut targets: Vec<_> = (0..TARGETS).map(|_| target()).collect();
    let mut outcome = Outcome::default();
    let mut returns = collections::VecDeque::new();
    for now_ms in 0..END_MS + LIMIT_MS {
        let is_peak = PEAK_MS.contains(&now_ms);
        let usable = if is_peak { GONE.start } else { TARGETS };
        if is_peak {
            targets[GONE].iter_mut().for_each(|it| *it = target());
        }
        let mut due = Vec::new();
        while returns.front().is_some_and(|it: &(u64, u64)| it.0 <= now_ms) {
            due.extend(returns.pop_front().map(|it| (it.1, true)));
        }
        let per_second = if is_peak { 2 * rate } else { rate };
        // Two draws in a step make the arrivals bursty.
        for _ in 0..2 {
            if now_ms < END_MS && rng.random_ratio(per_second as u32, 2_000) {
                due.push((now_ms, false));
                outcome.offered[phase(now_ms)] += 1;
            }
        }
        for (sent_ms, is_return) in due {
            let (ready_ms, bytes) =
                (now_ms + rng.random_range(SERVICE_MS), rng.random_range(SIZES));
            let mut chosen = rand::seq::index::sample(&mut rng, usable, 2).into_vec();
            chosen.sort_by_key(|it| targets[*it].link.expected_wait());
            let is_admitted = chosen
                .into_iter()
                .any(|it| targets[it].offer(rule, now_ms, sent_ms, ready_ms, bytes));
            match (is_admitted, is_return) {
                (true, _) => {}
                (false, false) => returns.push_back((now_ms + RETURN_MS, sent_ms)),
                (false, true) => outcome.refused += 1,
            }
        }
        for target in &mut targets[..usable] {
            if rng.random_ratio(CALLS as u32, 1_000) {
                target.calls += CALL_BYTES;
            }
            target.advance(rule, now_ms, &mut outcome);
        }
    }
    outcome
}

/// Guards against links on which large answers are refused although there is room, are admitted and
/// arrive late, or delay the answers of calls, at the usual load and after a peak.
#[test]
fn large_answers_are_refused_late_or_in_the_way() {
    let mut out =
        String::from("rule, exports a second: usual, peak, after; late, refused, longest call\n");
    for rule in [Rule::Queue, Rule::Promises] {
        for rate in [60, 90, 121] {
            let seed = 7 + rate;
            let it = replay(rule, rate, seed);
            let worth = |index| f64::from(it.timely[index]) / f64::from(it.offered[index]);
            let [usual, peak, after] = [worth(0), worth(1), worth(2)];
            writeln!(
                out,
                "{rule:?}, {rate}: {usual:.2}, {peak:.2}, {after:.2}; {}, {}, {} ms",
                it.late, it.refused, it.call_ms
            )
            .expect("text");
            if rule == Rule::Queue {
                continue;
            }
            // The part of the load that the links carry beside the calls.
            let carried = (RATE - CALLS * CALL_BYTES) * TARGETS as u64;
            let possible = (carried as f64 / (rate * MEAN_BYTES) as f64).min(1.0);
            assert!(usual >= 0.95 * possible, "seed {seed}: {usual} of {possible}");
            assert!(after >= 0.95 * possible, "seed {seed}: {after} of {possible}");
            assert!(it.late * 50 <= it.timely.iter().sum(), "seed {seed}: {} late", it.late);
            assert!(it.call_ms <= 5, "seed {seed}: a call waited {} ms", it.call_ms);
            let room = RATE * (END_MS + LIMIT_MS) / 1_000 * TARGETS as u64;
            assert!(it.sent <= room, "seed {seed}: {} bytes, room for {room}", it.sent);
        }
    }
    insta::assert_snapshot!(out);
}

/// Guards against estimates without a bound or of another route, promises that are not given back,
/// and a link of unknown rate that refuses.
#[test]
fn promises() {
    let (place, class) = (uplink::Place::Target, requests::Class::Caller);
    let request = |objective_ms| uplink::Request {
        place,
        route: route(),
        class,
        objective: MS(objective_ms),
        left: MS(LIMIT_MS),
        backlog: time::Duration::ZERO,
    };
    let mut unknown = uplink::Uplink::new(None);
    unknown.record(place, route(), 1 << 40, MS(100));
    assert_eq!(unknown.offer(&request(0)).ok(), Some(0));
    let mut link = uplink::Uplink::new(Some(RATE));
    assert_eq!(link.offer(&request(1_000)).ok(), Some(0), "a route without answers");
    link.record(place, route(), 1 << 40, MS(100));
    // However short the objective, a link without promises takes one request.
    assert_eq!(link.offer(&request(10)).ok(), Some(answer_sizes::MAX_BYTES));
    let refusal = link.offer(&request(1_000)).expect_err("is full");
    let expected = "expected_bytes=1048576 running_bytes=1048576 queued_bytes=0 sent_in=";
    assert!(format!("{refusal}").starts_with(expected), "{refusal}");
    assert!(refusal.room_in >= MS(850), "{refusal:?}");
    link.cancel(answer_sizes::MAX_BYTES);
    assert_eq!(link.promised(), (0, 0));
    link.remap_routes(|_| None);
    assert_eq!(link.offer(&request(1_000)).ok(), Some(0), "a route that is gone");
}
