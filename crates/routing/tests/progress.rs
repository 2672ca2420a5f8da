//! The steps of a rollout.

use std::{fmt::Write as _, time};

use routing::{progress, verdicts};
use world::{
    rollouts::{Order, OrderId, Stage, State},
    time::Time,
};

const ROUND_MS: u64 = 250;

fn order(over_ms: u64) -> Order {
    Order {
        id: OrderId(7),
        service: "desk".into(),
        target: "v2".into(),
        current: None,
        rejected: Vec::new(),
        started_ms: 0,
        over_ms,
        state: State::Running(Stage::First),
    }
}

/// Adds the answers of one round: 12 of the old version and one of the new one.
fn add_answers(tally: &mut verdicts::Tally, bad: bool) {
    for index in 0..13 {
        let candidate = index == 0;
        let name = verdicts::CellName { route: "a".into(), loaded: false, candidate };
        let elapsed = (!candidate || !bad).then_some(time::Duration::from_millis(40));
        for _ in 0..6 {
            tally.record(name.clone(), elapsed);
        }
    }
}

/// Runs an order until its end and returns its steps with their times. `node_at` says whether a node
/// has moved, by the time in milliseconds and the stage; none when it is not heard of.
fn run(
    over_ms: u64,
    bad_from: u64,
    lost: std::ops::Range<u64>,
    node_at: fn(u64, Stage) -> Option<bool>,
) -> (String, Order, u64) {
    let mut order = order(over_ms);
    // Each control follows the order, so another leader knows as much.
    let mut watch = progress::Watch::new(Time::ZERO);
    let mut tally = verdicts::Tally::default();
    let mut steps = String::new();
    for round in 0..200 {
        let ms = round * ROUND_MS;
        let now = Time::from_millis(ms);
        let Some(stage) = order.state.stage() else { return (steps, order, ms) };
        add_answers(&mut tally, ms >= bad_from);
        watch.record_answers(now, &order, tally.clone());
        if let Some(moved) = node_at(ms, stage) {
            watch.record_node("node-1", moved, now);
        }
        watch.record_node("node-2", stage == Stage::Whole, now);
        let leads = !lost.contains(&ms);
        let Some(step) = watch.next(now, ms, &order, leads) else { continue };
        order.state = match step {
            progress::Step::Advance(stage) => State::Running(stage),
            progress::Step::Complete => State::Complete,
            progress::Step::RollBack(_) => State::RolledBack,
        };
        write!(steps, "{ms} {:?}, ", order.state).expect("text");
    }
    (steps, order, u64::MAX)
}

/// Guards against a good version that is not complete in time, also without a leader for 3 s, and
/// against an end while a node may still send to the old version.
#[test]
fn late_or_early_ends() {
    let moves = |_: u64, stage: Stage| Some(stage == Stage::Whole);
    let slow = |ms: u64, _: Stage| Some(ms >= 11_000);
    let cut_off = |ms: u64, stage: Stage| (ms < 2_000).then_some(stage == Stage::Whole);
    let silent_late = |ms: u64, stage: Stage| (ms < 6_500).then_some(stage == Stage::Whole);
    let cases: [(&str, u64, u64, std::ops::Range<u64>, fn(u64, Stage) -> Option<bool>, u64); 9] = [
        ("good", 12_000, u64::MAX, 0..0, moves, 0),
        ("no leader at first", 12_000, u64::MAX, 0..3_000, moves, 0),
        ("no leader at the verdict", 12_000, u64::MAX, 5_000..8_000, moves, 0),
        ("no leader at the end", 12_000, u64::MAX, 7_000..10_000, moves, 0),
        ("16 s", 16_000, u64::MAX, 9_000..12_000, moves, 0),
        ("a node has requests in flight", 12_000, u64::MAX, 0..0, slow, 11_000),
        ("a node is cut off early", 12_000, u64::MAX, 0..0, cut_off, 0),
        ("a node is lost at the last stage", 12_000, u64::MAX, 0..0, silent_late, 10_250),
        ("bad from 4 s", 12_000, 4_000, 0..0, moves, 0),
    ];
    let mut table = String::new();
    for (name, over, bad_from, lost, node_at, earliest) in cases {
        let (steps, order, end) = run(over, bad_from, lost, node_at);
        writeln!(table, "{name}: {steps}").expect("text");
        let wanted = if bad_from == u64::MAX { State::Complete } else { State::RolledBack };
        assert_eq!(order.state, wanted, "{name}");
        assert!(end <= over && end >= earliest, "{name}: {end}");
    }
    insta::assert_snapshot!(table);
}

/// Guards against an end that loses work on old targets.
#[test]
fn work_on_old_targets() {
    let order = order(12_000);
    let mut table = String::new();
    for (now_ms, stage, busy, unsafe_busy) in [
        (7_000, Stage::Half, 0, 0),
        (7_000, Stage::Whole, 0, 0),
        (7_000, Stage::Whole, 3, 0),
        (9_500, Stage::Whole, 3, 0),
        (9_500, Stage::Whole, 3, 1),
        (60_000, Stage::Whole, 3, 1),
    ] {
        let moved = progress::has_moved(&order, now_ms, stage, busy, unsafe_busy);
        writeln!(table, "{now_ms} {stage:?} busy {busy}, not idempotent {unsafe_busy}: {moved}")
            .expect("text");
    }
    insta::assert_snapshot!(table);
}
