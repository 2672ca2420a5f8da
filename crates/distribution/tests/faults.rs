//! Fault cases against the invariants: no version moves back, none is applied in part, all
//! converge.

use std::fmt::Write as _;

use distribution::mechanisms;
use rand::Rng;

mod sim;

type Script = fn(&mut sim::Sim);
type Switch = fn(&mut mechanisms::Mechanisms);

/// Node 0 runs version 6 from its home, control 0, and its backend server has the token.
fn settle(sim: &mut sim::Sim) {
    sim.accept(5);
    sim.run(3_000);
    assert_eq!(sim.running(0), 6);
}

fn run_to(sim: &mut sim::Sim, version: u64) {
    sim.run_until(12_000, |it| it.running(0) == version);
}

fn foster_then_home(sim: &mut sim::Sim) {
    settle(sim);
    sim.isolate(0, true);
    sim.cut(0, &[0]);
    sim.accept(2);
    run_to(sim, 8);
    sim.restart(0, false);
    sim.cut(0, &[1, 2]);
    sim.run(10_000);
}

fn home_then_isolated_foster(sim: &mut sim::Sim) {
    sim.accept(4);
    sim.cut(0, &[0]);
    sim.run(8_000);
    sim.accept(1);
    sim.run(2_000);
    sim.isolate(2, true);
    sim.cut(0, &[]);
    sim.run(8_000);
    sim.accept(3);
    run_to(sim, 9);
    sim.restart(0, false);
    sim.cut(0, &[0, 1]);
    sim.run(10_000);
}

fn leaves_isolated_home_and_dies(sim: &mut sim::Sim) {
    settle(sim);
    sim.isolate(0, true);
    sim.accept(2);
    run_to(sim, 8);
    sim.restart(0, true);
    sim.cut(0, &[1, 2]);
    sim.run(10_000);
}

fn loses_token_before_home(sim: &mut sim::Sim) {
    settle(sim);
    sim.isolate(0, true);
    sim.cut(0, &[0]);
    sim.accept(2);
    run_to(sim, 8);
    sim.run(2_000);
    sim.restart(0, true);
    sim.cut(0, &[1, 2]);
    sim.run(10_000);
}

fn loses_token_before_old_foster(sim: &mut sim::Sim) {
    settle(sim);
    sim.isolate(2, true);
    sim.accept(2);
    run_to(sim, 8);
    sim.restart(0, true);
    sim.cut(0, &[0, 1]);
    sim.run(10_000);
}

fn duplicates(sim: &mut sim::Sim) {
    sim.duplicate = true;
    sim.accept(5);
    sim.run_until(3_000, |it| it.running(0) == 6);
    sim.accept(2);
    sim.run(3_000);
}

fn wrong_digest(sim: &mut sim::Sim) {
    settle(sim);
    sim.corrupt = true;
    sim.accept(2);
    sim.run(5_000);
    assert_eq!(sim.running(0), 8, "wrong deltas keep the node from running the version");
}

fn unsynced_home(sim: &mut sim::Sim) {
    settle(sim);
    sim.controls[0].syncs = false;
    sim.accept(1);
    sim.run_until(2_000, |it| it.running(0) == 7);
    sim.isolate(0, true);
    sim.restart_control(0, None);
    sim.restart(0, false);
    sim.cut(0, &[1, 2]);
    sim.run(10_000);
}

fn home_lost_disk(sim: &mut sim::Sim) {
    settle(sim);
    sim.accept(1);
    sim.run(2_000);
    sim.accept(1);
    run_to(sim, 8);
    sim.isolate(0, true);
    sim.restart_control(0, Some(7));
    sim.restart(0, false);
    sim.cut(0, &[1, 2]);
    sim.run(10_000);
}

fn partitioned_herd(sim: &mut sim::Sim) {
    settle(sim);
    sim.isolate(0, true);
    sim.cut(0, &[1, 2]);
    sim.accept(2);
    sim.run(5_000);
    sim.restart_control(0, None);
    sim.restart(0, false);
    sim.run(3_000);
    assert_eq!(sim.running(0), 6, "a partitioned data centre does not serve after a restart");
}

fn stays_off_home_behind(sim: &mut sim::Sim) {
    settle(sim);
    sim.isolate(0, true);
    sim.cut(0, &[0]);
    sim.accept(2);
    run_to(sim, 8);
    sim.cut(0, &[1, 2]);
    sim.run(10_000);
    assert_eq!(sim.running(0), 8, "an isolated home moved the node");
}

fn home_catches_up(sim: &mut sim::Sim) {
    settle(sim);
    sim.cut(0, &[1, 2]);
    sim.isolate(0, true);
    sim.restart_control(0, Some(5));
    sim.accept(2);
    sim.run(5_000);
    assert_eq!(sim.running(0), 6, "a control without its disk moved the node");
}

const CASES: [(&str, Script, Switch); 12] = [
    ("floor_token: foster, restart, isolated home behind", foster_then_home, |it| {
        it.floor_token = false
    }),
    ("source_check: home, restart, isolated foster behind", home_then_isolated_foster, |it| {
        it.source_check = false
    }),
    ("quiet_time: leaves isolated home, loses token", leaves_isolated_home_and_dies, |it| {
        it.quiet_time = false
    }),
    ("heard_rule: foster, loses token, isolated home", loses_token_before_home, |it| {
        it.heard_rule = false
    }),
    ("proof: home, loses token, isolated foster behind", loses_token_before_old_foster, |it| {
        it.proof = false
    }),
    ("higher_only: crossed and duplicated messages", duplicates, |it| it.higher_only = false),
    ("digest_check: wrong delta", wrong_digest, |it| it.digest_check = false),
    ("synced_only: home restarts before the sync", unsynced_home, |it| it.synced_only = false),
    ("disk_wait: home lost its disk", home_lost_disk, |it| it.disk_wait = false),
    ("partitioned data centre restarts", partitioned_herd, |_| {}),
    ("foster, then an isolated home behind", stays_off_home_behind, |_| {}),
    ("node waits for a home that lost its disk", home_catches_up, |_| {}),
];

/// Guards against a breach in each fault case, against nodes that do not converge afterwards, and
/// against a mechanism that protects from nothing.
#[test]
fn fault_cases() {
    let on = mechanisms::Mechanisms::default();
    let mut out = String::new();
    for (title, script, switch) in CASES {
        let mut with = sim::Sim::new(1, &[0], on);
        script(&mut with);
        writeln!(out, "{title}\n  runs {}, ran {}", with.running(0), with.nodes[0].highest)
            .expect("text");
        with.heal();
        let converged = with.run_until(15_000, sim::Sim::all_run_latest);
        assert!(converged, "{title}: node runs {} of {}", with.running(0), with.latest());
        assert_eq!(with.breaches, Vec::<String>::new(), "{title}");

        let mut off = on;
        switch(&mut off);
        if off == on {
            continue;
        }
        let mut without = sim::Sim::new(1, &[0], off);
        script(&mut without);
        let breach = without.breaches.first().unwrap_or_else(|| panic!("{title}: no difference"));
        writeln!(out, "  off: {breach}").expect("text");
    }
    insta::assert_snapshot!(out);
}

/// Guards against a moment in a move between home and foster at which a restart breaks an invariant.
#[test]
fn restart_at_each_step() {
    let on = mechanisms::Mechanisms::default();
    for at in (0..14_000).step_by(200) {
        for backend in [false, true] {
            let mut sim = sim::Sim::new(at, &[0], on);
            settle(&mut sim);
            let mut left = at;
            let mut pass = |sim: &mut sim::Sim, millis: u64| {
                if left < millis {
                    sim.run(left);
                    sim.restart(0, backend);
                    sim.run(millis - left);
                    left = u64::MAX;
                } else {
                    sim.run(millis);
                    left = left.saturating_sub(millis);
                }
            };
            sim.isolate(0, true);
            sim.accept(1);
            pass(&mut sim, 5_000);
            sim.cut(0, &[0]);
            sim.accept(1);
            pass(&mut sim, 4_000);
            sim.cut(0, &[1, 2]);
            pass(&mut sim, 3_000);
            sim.heal();
            sim.accept(1);
            pass(&mut sim, 2_000);
            let converged = sim.run_until(15_000, sim::Sim::all_run_latest);
            assert!(converged, "restart at {at} ms, backend {backend}: runs {}", sim.running(0));
            assert_eq!(sim.breaches, Vec::<String>::new(), "at {at} ms, backend {backend}");
        }
    }
}

/// Guards against breaches in combinations of faults that nobody thought of.
#[test]
fn random_faults() {
    for seed in 0..60 {
        let mut sim = sim::Sim::new(seed, &[0, 0, 1], mechanisms::Mechanisms::default());
        sim.duplicate = seed % 2 == 0;
        for _ in 0..100 {
            let node = sim.rng.random_range(0..3);
            let control = sim.rng.random_range(0..3);
            let flag = sim.rng.random_bool(0.4);
            match sim.rng.random_range(0..10) {
                0..3 => sim.accept(1),
                3 => sim.isolate(control, flag),
                4 => sim.cut(node, &[control]),
                5 => sim.cut(node, if flag { &[] } else { &[1, 2] }),
                6 => sim.restart(node, flag),
                7 => sim.controls[control].syncs = !flag,
                8 => sim.restart_control(control, None),
                _ => {
                    let kept = sim.controls[control].relay.version().0 - 1;
                    sim.restart_control(control, Some(kept));
                }
            }
            let millis = sim.rng.random_range(0..1_500);
            sim.run(millis);
        }
        assert_eq!(sim.breaches, Vec::<String>::new(), "seed {seed}");
        sim.heal();
        let converged = sim.run_until(20_000, sim::Sim::all_run_latest);
        let running: Vec<_> = (0..3).map(|it| sim.running(it)).collect();
        assert!(converged, "seed {seed}: {running:?} of {}", sim.latest());
        assert_eq!(sim.breaches, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against more snapshots at once than there are slots, and against nodes that are never
/// served, when all nodes of a partitioned data centre restart together.
#[test]
fn herd() {
    let mut out = String::new();
    for (title, partitioned, backend) in
        [("partitioned, with tokens", true, false), ("current, without tokens", false, true)]
    {
        let mut sim = sim::Sim::new(7, &[0; 300], mechanisms::Mechanisms::default());
        sim.accept(1);
        assert!(sim.run_until(60_000, sim::Sim::all_run_latest));
        sim.run(2_000);
        sim.isolate(0, partitioned);
        (0..300).for_each(|it| sim.cut(it, &[1, 2]));
        (0..300).for_each(|it| sim.restart(it, backend));
        sim.snapshot_ms = 1_000;
        (sim.peers_asked, sim.most_slots) = (0, 0);
        let from = sim.now();
        assert!(sim.run_until(60_000, sim::Sim::all_run_latest), "{title}");
        let took = sim.now().since(from);
        assert!(sim.most_slots <= distribution::relay::SLOTS);
        assert_eq!(sim.breaches, Vec::<String>::new());
        sim.run(2_000);
        writeln!(
            out,
            "{title}: all run after {took:?}, {} slots at most, {} peers asked, {:?}, age {:?}",
            sim.most_slots,
            sim.peers_asked,
            sim.controls[0].relay.summary(),
            sim::oldest(&sim),
        )
        .expect("text");
    }
    insta::assert_snapshot!(out);
}
