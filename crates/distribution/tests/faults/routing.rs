//! Whether a node routes by a version that may be old, and whether it serves while it is cut off.

use std::fmt::Write as _;

use distribution::toggles;

use crate::sim;

/// Changes something in the simulation.
type Inject = fn(&mut sim::Sim);

fn without_guard() -> toggles::Toggles {
    toggles::Toggles { confirmed_routing: false, ..toggles::Toggles::default() }
}

/// Runs for `millis` while a version is accepted each 250 ms in the first 2 s. Returns the time, in
/// milliseconds, in which node 0 would route by an old version.
fn run_series(sim: &mut sim::Sim, millis: u64) -> u64 {
    let mut old = 0;
    for at in (0..millis).step_by(sim::STEP_MS as usize) {
        if at < 2_000 && at.is_multiple_of(250) {
            sim.accept(1);
        }
        sim.run(sim::STEP_MS);
        old += u64::from(sim.routes_by_old(0)) * sim::STEP_MS;
    }
    old
}

fn restarted(toggles: toggles::Toggles, snapshot_ms: u64) -> sim::Sim {
    let mut sim = sim::Sim::new(1, &[0], toggles);
    sim.tokens = false;
    sim.snapshot_ms = snapshot_ms;
    sim.restart(0, false);
    sim
}

/// Guards against a node that routes by the snapshot that it has just received, although the
/// versions after it were accepted while the snapshot was on its way over a full link.
#[test]
fn a_snapshot_is_old_when_it_arrives() {
    let mut out = String::new();
    for delay in [500, 1_500, 3_000, 5_000] {
        let mut sim = restarted(toggles::Toggles::default(), delay);
        // A delta that follows the snapshot waits on the same link.
        sim.answer_ms = 150;
        let old = run_series(&mut sim, 8_000);
        assert_eq!(old, 0, "snapshot of {delay} ms");
        assert!(sim.may_route(0) && sim.all_run_latest(), "snapshot of {delay} ms");
        let mut without = restarted(without_guard(), delay);
        without.answer_ms = 150;
        let old = run_series(&mut without, 8_000);
        writeln!(out, "snapshot of {delay} ms: old for {old} ms without the guard").expect("text");
    }
    insta::assert_snapshot!(out);
}

/// Guards against a running node that routes by its version while the next ones wait for seconds on
/// a full link.
#[test]
fn versions_arrive_late() {
    let mut out = String::new();
    for toggles in [toggles::Toggles::default(), without_guard()] {
        for delay in [300, 600, 1_200, 2_400, 3_600] {
            let mut sim = restarted(toggles, 2);
            sim.run(3_000);
            // The link fills, so that answers take ever longer and the control is not silent.
            for step in 1..=4 {
                sim.answer_ms = delay * step / 4;
                sim.run(3_000);
            }
            let old = run_series(&mut sim, 8_000);
            let guard = if toggles.confirmed_routing { "with" } else { "without" };
            writeln!(out, "answers after {delay} ms: old for {old} ms {guard} the guard")
                .expect("text");
            assert!(!toggles.confirmed_routing || old == 0, "answers after {delay} ms: {old} ms");
            // Messages of one stream do not overtake each other, so the link empties slowly.
            while sim.answer_ms > 2 {
                sim.answer_ms = sim.answer_ms.saturating_sub(250).max(2);
                sim.run(1_000);
            }
            sim.run(4_000);
            assert!(sim.may_route(0) && sim.all_run_latest(), "answers after {delay} ms");
        }
    }
    insta::assert_snapshot!(out);
}

/// Guards against a node that refuses requests because nobody confirms its version, while it is cut
/// off, while its control stops, or while no control has a leader: it serves what it has.
#[test]
fn a_node_that_is_cut_off_refuses_requests() {
    let faults: [(&str, Inject); 4] = [
        ("cut off from all controls", |sim| sim.cut(0, &[0, 1, 2])),
        ("cut off from its home control", |sim| sim.cut(0, &[0])),
        ("no control has a leader", |sim| (0..3).for_each(|it| sim.isolate(it, true))),
        ("its connections break", |sim| sim.disconnect(0)),
    ];
    let mut out = String::new();
    for (name, inject) in faults {
        let mut worst = 0;
        for phase in (0..1_000).step_by(50) {
            let mut sim = restarted(toggles::Toggles::default(), 2);
            sim.run(10_000 + phase);
            inject(&mut sim);
            let mut refused = 0;
            for _ in 0..200 {
                sim.run(sim::STEP_MS);
                refused += u64::from(!sim.may_route(0)) * sim::STEP_MS;
            }
            worst = worst.max(refused);
        }
        writeln!(out, "{name}: refuses for at most {worst} ms in 10 s").expect("text");
    }
    insta::assert_snapshot!(out);
}

/// Guards against a control that confirms its version as the latest although its log lags behind
/// what the leader has committed: its nodes routed by the old version for as long as it lagged.
#[test]
fn a_control_that_lags_confirms_its_version() {
    for phase in (0..1_000).step_by(50) {
        let mut sim = restarted(toggles::Toggles::default(), 2);
        sim.run(10_000 + phase);
        sim.controls[0].learns = false;
        sim.accept(1);
        for _ in 0..100 {
            sim.run(sim::STEP_MS);
            assert!(!sim.routes_by_old(0), "phase {phase}: runs {}", sim.running(0));
        }
        assert!(sim.all_run_latest(), "phase {phase}");
    }
}

/// Guards against a node that takes what its control knew a while ago for what it knows now: the
/// messages of the leader wait on their way to the control.
#[test]
fn a_control_that_knows_late_confirms_an_old_version() {
    for lag in [100, 400, 700] {
        for phase in (0..1_000).step_by(50) {
            let mut sim = restarted(toggles::Toggles::default(), 2);
            sim.run(10_000 + phase);
            sim.controls[0].lag_ms = lag;
            let old = run_series(&mut sim, 5_000);
            assert_eq!(old, 0, "messages wait for {lag} ms, phase {phase}");
            assert_eq!(sim.breaches, Vec::<String>::new(), "{lag} ms, phase {phase}");
            assert!(sim.all_run_latest(), "{lag} ms, phase {phase}");
        }
    }
}
