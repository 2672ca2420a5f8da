//! Targets that limit the rate of their requests.

mod support;

use std::fmt::Write as _;

use admission::limits;
use support::{Event, Target, ms};
use world::requests::Class;

/// The window in which a target's requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// The most and the fewest requests that start within a window.
fn starts_in_windows(target: &Target, from: u64, to: u64) -> (usize, usize) {
    let starts: Vec<u64> = target
        .jobs
        .iter()
        .filter_map(|it| it.at(Event::Start))
        .map(|it| it.as_micros() / 1_000)
        .collect();
    let count = |at: u64| starts.iter().filter(|&&it| at <= it && it < at + WINDOW_MS).count();
    let counts: Vec<_> = (from..=to - WINDOW_MS).step_by(50).map(count).collect();
    (*counts.iter().max().expect("windows"), *counts.iter().min().expect("windows"))
}

/// Guards against a target that gets more requests than it has said that it takes: on the users' days
/// it got up to one and a half times as many. Offers 100 callers' requests and 50 internal calls a
/// second, which each take 76 ms.
#[test]
fn a_target_gets_more_than_it_takes() {
    let mut out = String::new();
    for rate in [None, Some(0.0), Some(0.5), Some(2.0), Some(10.9), Some(37.5), Some(500.0)] {
        let mut target = Target::new(6, 24, limits::Toggles::default());
        target.measure(0, ms(76), 4);
        let from = target.now.as_micros() / 1_000;
        let effects = target.controller.set_rate(target.now, rate);
        target.perform(effects);
        for at in 0..2_000 {
            let mut work = target.work(0);
            if at % 3 == 2 {
                work.class = Class::Internal;
            }
            work.deadline = target.now + ms(800);
            work.objective = target.now + ms(300);
            target.offer(work, ms(76));
            target.run_until(target.now + ms(20 / 3));
        }
        let (most, fewest) = starts_in_windows(&target, from, target.now.as_micros() / 1_000);
        writeln!(out, "{rate:?} a second: {fewest} to {most} in 4 s").expect("text");
        let Some(rate) = rate else { continue };
        let allowed = (1.5 * 4.0 * rate) as usize + 5;
        assert!(most <= allowed, "{rate} a second: {most} in 4 s, {allowed} allowed");
    }
    insta::assert_snapshot!(out);
}

/// Guards against a limit that stays when the target names none any more, and against a lower one
/// that is not kept at once.
#[test]
fn a_limit_changes() {
    let mut target = Target::new(6, 24, limits::Toggles::default());
    target.measure(0, ms(76), 4);
    let mut out = String::new();
    for rate in [Some(20.0), Some(5.0), None, Some(5.0)] {
        let effects = target.controller.set_rate(target.now, rate);
        target.perform(effects);
        let from = target.now.as_micros() / 1_000;
        for _ in 0..400 {
            let mut work = target.work(0);
            work.deadline = target.now + ms(800);
            work.objective = target.now + ms(300);
            target.offer(work, ms(76));
            target.run_until(target.now + ms(10));
        }
        let (most, _) = starts_in_windows(&target, from, from + WINDOW_MS);
        writeln!(out, "{rate:?} a second: {most} in 4 s").expect("text");
    }
    insta::assert_snapshot!(out);
}

/// Guards against a limited target that looks free to other nodes, which then send it requests that
/// it must refuse.
#[test]
fn a_limited_target_looks_free() {
    let mut out = String::from("rate, requests before: busy of 6, expected wait\n");
    for rate in [None, Some(40.0), Some(10.0), Some(2.0)] {
        for before in [0, 1, 3] {
            let mut target = Target::new(6, 24, limits::Toggles::default());
            target.measure(0, ms(76), 4);
            let effects = target.controller.set_rate(target.now, rate);
            target.perform(effects);
            for _ in 0..before {
                target.offer(target.work(0), ms(76));
            }
            let load = target.controller.load(target.now);
            let wait = load.expected_wait();
            writeln!(out, "{rate:?}, {before}: {}, {wait:?}", load.in_flight).expect("text");
        }
    }
    insta::assert_snapshot!(out);
}
