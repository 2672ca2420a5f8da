//! Large bodies that are sent to one host faster than its network link carries them.

use std::{fmt::Write as _, time};

use admission::downlink;
use world::requests;

/// What the link carries, in bytes per second: 70% of 7.7 Mbit/s.
const LINK_RATE: u64 = 673_750;
/// The size of a large body, in bytes.
const BODY_BYTES: u64 = 60_000;
const OBJECTIVE: time::Duration = time::Duration::from_millis(1_500);
/// How long the load lasts, in milliseconds.
const LENGTH_MS: u64 = 20_000;
/// A request without a body arrives each so many milliseconds.
const SMALL_INTERVAL_MS: u64 = 20;

/// What came of a load.
struct Outcome {
    admitted: usize,
    refused: usize,
    /// Bodies that arrived within the objective.
    timely: usize,
    /// How long small requests waited behind bodies, in milliseconds, in ascending order.
    waits: Vec<u64>,
}

/// Replays bodies that arrive at `percent` of the link's rate, in bursts of four, in steps of 1 ms.
/// The link is a queue in order of arrival.
fn replay(percent: u64, is_bounded: bool) -> Outcome {
    let mut link = downlink::Downlink::new(Some(LINK_RATE));
    let mut queue = std::collections::VecDeque::new();
    let mut outcome = Outcome { admitted: 0, refused: 0, timely: 0, waits: Vec::new() };
    let per_ms = LINK_RATE / 1_000;
    let mut offered = 0;
    for now_ms in 0..LENGTH_MS {
        let due = now_ms * per_ms * percent / 100;
        if due >= offered + 4 * BODY_BYTES {
            offered += 4 * BODY_BYTES;
            for _ in 0..4 {
                let left = 2 * OBJECTIVE;
                let class = requests::Class::Caller;
                if is_bounded && link.is_full(class, OBJECTIVE, left) {
                    outcome.refused += 1;
                    continue;
                }
                outcome.admitted += 1;
                link.add(BODY_BYTES);
                queue.push_back((now_ms, BODY_BYTES));
            }
        }
        if now_ms % SMALL_INTERVAL_MS == 0 {
            let waiting: u64 = queue.iter().map(|it: &(u64, u64)| it.1).sum();
            outcome.waits.push(waiting / per_ms);
        }
        let mut room = per_ms;
        while let Some((sent_ms, left)) = queue.front_mut() {
            let arrived = room.min(*left);
            *left -= arrived;
            room -= arrived;
            link.remove(arrived);
            if *left > 0 {
                break;
            }
            let elapsed = time::Duration::from_millis(now_ms - *sent_ms);
            outcome.timely += usize::from(elapsed <= OBJECTIVE);
            queue.pop_front();
        }
    }
    outcome.waits.sort_unstable();
    outcome
}

/// Guards against small requests that wait behind large bodies for longer than their objective, and
/// against large bodies that all arrive late, when a link gets more of them than it carries.
#[test]
fn small_requests_wait_behind_large_bodies() {
    let mut out = String::from("load, bound: admitted, refused, in time, wait p50, p99 in ms\n");
    for percent in [50, 90, 140, 200] {
        for is_bounded in [false, true] {
            let it = replay(percent, is_bounded);
            let wait = |share: usize| it.waits[it.waits.len() * share / 100];
            writeln!(
                out,
                "{percent}%, {is_bounded}: {}, {}, {}, {}, {}",
                it.admitted,
                it.refused,
                it.timely,
                wait(50),
                wait(99),
            )
            .expect("text");
            if is_bounded {
                let body_ms = BODY_BYTES * 1_000 / LINK_RATE + 1;
                let limit = OBJECTIVE.as_millis() as u64 / 4 + body_ms;
                assert!(wait(99) <= limit, "{} ms", wait(99));
            }
        }
    }
    insta::assert_snapshot!(out);
}

/// Guards against a link without a known rate that refuses requests, and against bytes that are
/// removed twice.
#[test]
fn backlogs() {
    let mut unknown = downlink::Downlink::new(None);
    unknown.add(BODY_BYTES);
    assert_eq!(unknown.backlog(), time::Duration::ZERO);
    let mut link = downlink::Downlink::new(Some(LINK_RATE));
    link.add(LINK_RATE);
    assert_eq!(link.backlog(), time::Duration::from_secs(1));
    link.remove(LINK_RATE / 2);
    assert_eq!(link.backlog(), time::Duration::from_millis(500));
    link.remove(LINK_RATE);
    assert_eq!(link.backlog(), time::Duration::ZERO);
}
