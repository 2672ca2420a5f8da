//! The steps of a rollout.

use std::{fmt::Write as _, ops, time};

use routing::{progress, tallies};
use world::{
    rollouts::{Order, OrderId, Stage, State},
    time::Time,
};

const ROUND_MS: u64 = 250;

/// What happens to an order.
#[derive(Clone, Debug)]
struct Case {
    name: &'static str,
    over_ms: u64,
    /// When the new version begins to fail, in milliseconds.
    bad_from: u64,
    /// When there is no leader.
    lost: ops::Range<u64>,
    /// Whether a node has moved, by the time in milliseconds and the stage; none when it is not
    /// heard of.
    node_at: fn(u64, Stage) -> Option<bool>,
    /// The earliest end.
    earliest: u64,
}

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
fn add_answers(tally: &mut tallies::Tally, bad: bool) {
    for index in 0..13 {
        let candidate = index == 0;
        let name = tallies::CellName { route: "a".into(), loaded: false, candidate };
        let answer = match candidate && bad {
            true => tallies::Answer::Bad,
            false => tallies::Answer::Timed(time::Duration::from_millis(40)),
        };
        for _ in 0..6 {
            tally.record(name.clone(), answer);
        }
    }
}

/// Runs an order until its end and returns its steps with their times.
fn run(case: &Case) -> (String, Order, u64) {
    let mut order = order(case.over_ms);
    // Each control follows the order, so another leader knows as much.
    let mut watch = progress::Watch::new(Time::ZERO);
    let mut tally = tallies::Tally::default();
    let mut steps = String::new();
    for round in 0..200 {
        let ms = round * ROUND_MS;
        let now = Time::from_millis(ms);
        let Some(stage) = order.state.stage() else { return (steps, order, ms) };
        add_answers(&mut tally, ms >= case.bad_from);
        watch.record_answers(now, &order, tally.clone());
        if let Some(moved) = (case.node_at)(ms, stage) {
            watch.record_node("node-1", moved, now);
        }
        watch.record_node("node-2", stage == Stage::Whole, now);
        let leads = !case.lost.contains(&ms);
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
    let good = Case {
        name: "good",
        over_ms: 12_000,
        bad_from: u64::MAX,
        lost: 0..0,
        node_at: |_, stage| Some(stage == Stage::Whole),
        earliest: 0,
    };
    let cases = [
        Case { name: "no leader at first", lost: 0..3_000, ..good.clone() },
        Case { name: "no leader at the verdict", lost: 5_000..8_000, ..good.clone() },
        Case { name: "no leader at the end", lost: 7_000..10_000, ..good.clone() },
        Case { name: "16 s", over_ms: 16_000, lost: 9_000..12_000, ..good.clone() },
        Case {
            name: "a node has requests in flight",
            node_at: |ms, _| Some(ms >= 11_000),
            earliest: 11_000,
            ..good.clone()
        },
        Case {
            name: "a node is cut off early",
            node_at: |ms, _| (ms < 2_000).then_some(false),
            ..good.clone()
        },
        Case {
            name: "a node is lost at the last stage",
            node_at: |ms, _| (ms < 6_500).then_some(false),
            earliest: 10_250,
            ..good.clone()
        },
        Case { name: "bad from 4 s", bad_from: 4_000, ..good.clone() },
        good,
    ];
    let mut table = String::new();
    for case in cases {
        let (steps, order, end) = run(&case);
        writeln!(table, "{}: {steps}", case.name).expect("text");
        let good = case.bad_from == u64::MAX;
        let wanted = if good { State::Complete } else { State::RolledBack };
        assert_eq!(order.state, wanted, "{}", case.name);
        assert!(end <= case.over_ms && end >= case.earliest, "{}: {end}", case.name);
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
