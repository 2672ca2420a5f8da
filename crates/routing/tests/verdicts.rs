//! Verdicts on a new software version.

use std::{fmt::Write as _, time};

use rand::{Rng as _, SeedableRng as _, rngs};
use routing::{tallies, verdicts};
use world::time::Time;

const SEED: u64 = 11;
/// Time between two rounds of reports, in milliseconds.
const ROUND_MS: u64 = 250;
const ROUNDS: u64 = 40;
/// Requests per second.
const RATE: f64 = 300.0;

/// How a version answers a request, by the time in seconds, the route and whether the target is
/// loaded: the probability of a failure, and how many times longer it takes.
type Behaviour = fn(f64, usize, bool) -> (f64, f64);

struct Case {
    name: &'static str,
    old: Behaviour,
    new: Behaviour,
    /// Whether the new version is bad.
    bad: bool,
}

fn good(_: f64, _: usize, _: bool) -> (f64, f64) {
    (0.002, 1.0)
}

const CASES: [Case; 11] = [
    Case { name: "good", old: good, new: good, bad: false },
    Case { name: "good, somewhat slower", old: good, new: |_, _, _| (0.004, 1.5), bad: false },
    Case { name: "fails at once", old: good, new: |_, _, _| (0.3, 1.0), bad: true },
    Case {
        name: "fails later",
        old: good,
        new: |at, _, _| (if at < 4.0 { 0.0 } else { 0.3 }, 1.0),
        bad: true,
    },
    Case {
        name: "fails under load",
        old: good,
        new: |_, _, loaded| (if loaded { 0.4 } else { 0.0 }, 1.0),
        bad: true,
    },
    Case {
        name: "fails on one route",
        old: good,
        new: |_, route, _| (if route == 2 { 0.5 } else { 0.0 }, 1.0),
        bad: true,
    },
    Case { name: "fails seldom", old: good, new: |_, _, _| (0.12, 1.0), bad: true },
    Case {
        name: "is slow now and then",
        old: good,
        new: |at, _, _| (0.0, if at % 0.1 < 0.06 { 5.0 } else { 1.0 }),
        bad: true,
    },
    Case { name: "is slow", old: good, new: |_, _, _| (0.0, 5.0), bad: true },
    Case {
        name: "is slow under load",
        old: good,
        new: |_, _, loaded| (0.0, if loaded { 5.0 } else { 1.0 }),
        bad: true,
    },
    Case {
        name: "both fail for a while, and are slow",
        old: |at, _, _| if (3.0..6.0).contains(&at) { (0.4, 4.0) } else { (0.0, 1.0) },
        new: |at, _, _| if (3.0..6.0).contains(&at) { (0.4, 4.0) } else { (0.0, 1.0) },
        bad: false,
    },
];

/// Counts the answers of one round.
fn run_round(
    case: &Case,
    at: f64,
    share: f64,
    tally: &mut tallies::Tally,
    rng: &mut rngs::SmallRng,
) -> u32 {
    let mut faults = 0;
    let count = (RATE * ROUND_MS as f64 / 1_000.0) as u32;
    for _ in 0..count {
        let candidate = rng.random::<f64>() < share;
        let loaded = rng.random::<f64>() < 0.5;
        // The last route has a tenth of the traffic.
        let route = [0, 0, 0, 0, 0, 1, 1, 1, 1, 2][rng.random_range(0..10)];
        let behaviour = if candidate { case.new } else { case.old };
        let (failure, factor) = behaviour(at, route, loaded);
        let failed = rng.random::<f64>() < failure;
        // Targets differ in speed, and a few requests take long.
        let mut micros = 40_000.0 * factor * rng.random_range(0.6..1.7);
        if rng.random::<f64>() < 0.03 {
            micros *= 6.0;
        }
        faults += u32::from(candidate && (failed || factor > 2.0));
        let name = tallies::CellName { route: ["a", "b", "c"][route].into(), loaded, candidate };
        let time = time::Duration::from_secs_f64(micros / 1e6);
        let answer = if failed { tallies::Answer::Bad } else { tallies::Answer::Timed(time) };
        tally.record(name, answer);
    }
    faults
}

/// Guards against a bad version that goes on, a good one that is rolled back, and a whole service
/// in trouble that counts against the new version.
#[test]
fn wrong_verdicts() {
    let mut table = String::new();
    for case in &CASES {
        for (share, proven) in [(0.08, false), (0.5, true)] {
            let mut rng = rngs::SmallRng::seed_from_u64(SEED);
            let mut judge = verdicts::Judge::default();
            let mut tally = tallies::Tally::default();
            let (mut faults, mut verdict) = (0, None);
            for round in 0..ROUNDS {
                let now = Time::from_millis(round * ROUND_MS);
                let at = now.as_micros() as f64 / 1e6 + 0.01;
                faults += run_round(case, at, share, &mut tally, &mut rng);
                if let Some(fault) = judge.observe(now, tally.clone(), proven) {
                    verdict = Some((round, fault));
                    break;
                }
            }
            let text =
                verdict.as_ref().map_or("none".into(), |it| format!("round {}, {}", it.0, it.1));
            writeln!(table, "{}, share {share}: {text}; {faults} faults", case.name).expect("text");
            assert_eq!(verdict.is_some(), case.bad, "{} share {share} seed {SEED}", case.name);
            assert!(!case.bad || faults < 200, "{} share {share} seed {SEED}", case.name);
            assert!(case.bad || judge.is_enough());
        }
    }
    insta::assert_snapshot!(table);
}

/// Guards against a good version that is rolled back by chance in one of many rollouts.
#[test]
fn good_versions_are_rolled_back_by_chance() {
    let mut wrong = Vec::new();
    for seed in 0..60 {
        let mut rng = rngs::SmallRng::seed_from_u64(seed);
        let mut judge = verdicts::Judge::default();
        let mut tally = tallies::Tally::default();
        for round in 0..ROUNDS {
            let now = Time::from_millis(round * ROUND_MS);
            run_round(&CASES[seed as usize % 2], 0.0, 0.08, &mut tally, &mut rng);
            if judge.observe(now, tally.clone(), false).is_some() {
                wrong.push(seed);
                break;
            }
        }
    }
    assert!(wrong.is_empty(), "seeds {wrong:?}");
}
