//! Scripted and random faults.

use std::fmt::Write as _;

use distribution::toggles;
use rand::Rng;

use crate::sim;

/// Turns one toggle off.
type TurnOff = fn(&mut toggles::Toggles);

/// Runs until node 0 has version 6 from its home control, control 0, and its backend server holds a
/// token for that.
pub fn settle(sim: &mut sim::Sim) {
    sim.accept(5);
    sim.run(3_000);
    assert_eq!(sim.running(0), 6);
}

/// Runs a script of steps, separated by semicolons. They concern node 0:
///
/// - `accept N`: the leader accepts N versions
/// - `await V`: waits until the node runs version V, for 12 s at most
/// - `corrupt`, `duplicate`: changes deltas on the way, or delivers each message twice
/// - `crash C [N]`: restarts a control with the versions on its disk, or only with the first N
/// - `cut C...`: cuts the node off from these controls and no others
/// - `disconnect`: breaks the node's connections
/// - `expect V`: checks that the node runs version V
/// - `find-home C`: at its next start, the node finds a list with control C as its home control
/// - `isolate C`, `isolate C 0`: cuts a control off from the leader, or ends that
/// - `replace-home C`: the node learns that control C has replaced its home control
/// - `restart`, `restart-both`: restarts the node, alone or with its backend server
/// - `run MS`: lets this many milliseconds pass
/// - `settle`: see [`settle`]
/// - `unresponsive`, `announce`: makes the backend server unresponsive, or ends that
/// - `unsync C`: the disk of a control syncs nothing more
fn run_script(sim: &mut sim::Sim, script: &str) {
    for step in script.split("; ") {
        let mut words = step.split(' ');
        let verb = words.next().expect("a verb");
        let numbers: Vec<usize> = words.map(|it| it.parse().expect("a number")).collect();
        let number = numbers.first().map_or(0, |it| *it as u64);
        match verb {
            "settle" => settle(sim),
            "accept" => sim.accept(number),
            "run" => sim.run(number),
            "await" => _ = sim.run_until(12_000, |it| it.running(0) == number),
            "expect" => assert_eq!(sim.running(0), number, "{script}"),
            "isolate" => sim.isolate(numbers[0], numbers.get(1) != Some(&0)),
            "cut" => sim.cut(0, &numbers),
            "find-home" => _ = sim.find_home(0, numbers[0]),
            "replace-home" => sim.replace_home(0, numbers[0]),
            "restart" => sim.restart(0, false),
            "unresponsive" => sim.nodes[0].unresponsive = true,
            "announce" => sim.nodes[0].unresponsive = false,
            "restart-both" => sim.restart(0, true),
            "crash" => sim.restart_control(numbers[0], numbers.get(1).map(|it| *it as u64)),
            "disconnect" => sim.disconnect(0),
            "unsync" => sim.controls[numbers[0]].syncs = false,
            "duplicate" => sim.duplicate = true,
            "corrupt" => sim.corrupt = true,
            _ => panic!("unknown step {step}"),
        }
    }
}

#[rustfmt::skip]
const CASES: [(&str, &str, TurnOff); 21] = [
    ("floor_token: fallback, restart, isolated home behind",
        "settle; isolate 0; cut 0; run 6000; accept 2; await 8; restart; cut 1 2; run 10000", |it| it.floor_token = false),
    ("offer_check: loses fallback between offer and renewal, then gets the version again",
        "settle; isolate 0; cut 0; run 6000; accept 1; run 550; cut 0 1 2; disconnect; run 600; cut 0; await 7; restart; cut 1 2; run 10000",
        |it| it.offer_check = false),
    ("floor_token: unresponsive backend server, fallback, old token, isolated home behind",
        "settle; unresponsive; isolate 0; cut 0; restart; accept 2; run 10000; restart; announce; cut 1 2; run 10000",
        |it| it.floor_token = false),
    ("fallback_proof: home, restart, isolated fallback behind",
        "accept 4; cut 0; run 8000; accept 1; run 2000; isolate 2; cut; run 8000; accept 3; await 9; restart; cut 0 1; run 10000",
        |it| it.fallback_proof = false),
    ("fallback_proof: fallback, unresponsive backend server, home, old token, isolated fallback behind",
        "settle; isolate 0; cut 0; accept 2; await 8; isolate 2; unresponsive; cut; restart; isolate 0 0; accept 2; await 10; restart; announce; cut 0 1; run 10000",
        |it| it.fallback_proof = false),
    ("announcement_wait: no announcement", "settle; unresponsive; restart; accept 1; run 4900; expect 0; await 7", |it| it.announcement_wait = false),
    ("unresponsive backend server, isolated home",
        "settle; unresponsive; restart; isolate 0; accept 1; run 10000; expect 0; announce; await 7", |_| {}),
    ("contact_expiry: leaves isolated home, loses token",
        "settle; isolate 0; accept 2; await 8; restart-both; cut 1 2; run 10000", |it| it.contact_expiry = false),
    ("contact_check: fallback, loses token, isolated home",
        "settle; isolate 0; cut 0; accept 2; await 8; run 2000; restart-both; cut 1 2; run 10000", |it| it.contact_check = false),
    ("proof: home, loses token, isolated fallback behind",
        "settle; isolate 2; accept 2; await 8; restart-both; cut 0 1; run 10000", |it| it.proof = false),
    ("higher_only: crossed and duplicated messages",
        "duplicate; accept 5; await 6; accept 2; run 3000", |it| it.higher_only = false),
    ("digest_check: wrong delta", "settle; corrupt; accept 2; run 5000; expect 8", |it| it.digest_check = false),
    ("synced_only: home restarts before the sync",
        "settle; unsync 0; accept 1; run 300; isolate 0; crash 0; restart; cut 1 2; run 10000", |it| it.synced_only = false),
    ("catch_up_wait: home lost its disk",
        "settle; accept 1; run 2000; accept 1; await 8; isolate 0; crash 0 7; restart; cut 1 2; run 10000", |it| it.catch_up_wait = false),
    ("partitioned data centre restarts",
        "settle; isolate 0; cut 1 2; accept 2; run 5000; crash 0; restart; run 3000; expect 6", |_| {}),
    ("home_identity: home, restart, its successor is isolated and behind",
        "settle; isolate 1; accept 1; await 7; find-home 1; restart; cut 0 2; run 10000", |it| it.home_identity = false),
    ("home_identity: successor of home, restart with the former home, isolated and behind",
        "settle; isolate 0; run 4000; replace-home 1; run 4000; cut 0 2; find-home 0; accept 1; await 7; restart; cut 1 2; run 10000",
        |it| it.home_identity = false),
    ("home_identity: successor of home, loses token, restart with the former home, isolated and behind",
        "settle; unsync 0; replace-home 1; accept 1; run 600; find-home 0; isolate 0; restart-both; cut 1 2; run 10000",
        |it| it.home_identity = false),
    ("a replaced home, no announcement",
        "settle; unresponsive; restart; run 6000; replace-home 1; accept 1; run 4000; expect 7", |_| {}),
    ("fallback, then an isolated home behind",
        "settle; isolate 0; cut 0; accept 2; await 8; cut 1 2; run 10000; expect 8", |_| {}),
    ("node waits for a home that lost its disk",
        "settle; cut 1 2; isolate 0; crash 0 5; accept 2; run 5000; expect 6", |_| {}),
];

/// Guards against a breach of an invariant in each fault case, against nodes that do not run the
/// latest version afterwards, and against a toggle that makes no difference when it is off.
#[test]
fn fault_cases() {
    let on = toggles::Toggles::default();
    let mut out = String::new();
    for (title, script, turn_off) in CASES {
        let mut with = sim::Sim::new(1, &[0], on);
        run_script(&mut with, script);
        writeln!(out, "{title}\n  runs {}, ran {}", with.running(0), with.nodes[0].highest)
            .expect("text");
        with.heal();
        let converged = with.run_until(15_000, sim::Sim::all_run_latest);
        assert!(converged, "{title}: node runs {} of {}", with.running(0), with.latest());
        assert_eq!(with.breaches, Vec::<String>::new(), "{title}");

        let mut off = on;
        turn_off(&mut off);
        if off == on {
            continue;
        }
        let mut without = sim::Sim::new(1, &[0], off);
        run_script(&mut without, script);
        let mut seen = without.breaches.first().cloned();
        if seen.is_none() {
            without.heal();
            let converged = without.run_until(15_000, sim::Sim::all_run_latest);
            seen = (!converged).then(|| format!("node 0 stays at {}", without.running(0)));
        }
        let seen = seen.unwrap_or_else(|| panic!("{title}: no difference"));
        writeln!(out, "  off: {seen}").expect("text");
    }
    insta::assert_snapshot!(out);
}

/// Guards against a restart that breaks an invariant at some moment of a node's move from its home
/// control to a fallback control and back. It restarts the node at each 200 ms of the move, alone
/// or with its backend server.
#[test]
fn restart_at_each_step() {
    let on = toggles::Toggles::default();
    for at in (0..14_000).step_by(200) {
        for backend in [false, true] {
            let mut sim = sim::Sim::new(at, &[0], on);
            settle(&mut sim);
            let mut left = at;
            let mut run_or_restart = |sim: &mut sim::Sim, millis: u64| {
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
            run_or_restart(&mut sim, 5_000);
            sim.cut(0, &[0]);
            sim.accept(1);
            run_or_restart(&mut sim, 4_000);
            sim.cut(0, &[1, 2]);
            run_or_restart(&mut sim, 3_000);
            sim.heal();
            sim.accept(1);
            run_or_restart(&mut sim, 2_000);
            let converged = sim.run_until(15_000, sim::Sim::all_run_latest);
            assert!(converged, "restart at {at} ms, backend {backend}: runs {}", sim.running(0));
            assert_eq!(sim.breaches, Vec::<String>::new(), "at {at} ms, backend {backend}");
        }
    }
}

/// The home controls of the nodes of a random simulation.
const HOMES: [usize; 3] = [0, 0, 1];

/// How many seeds `random_faults` runs.
const SEEDS: u64 = 500;

/// How many seeds `random_faults_without` tries for each toggle, which is enough that each makes a
/// difference.
const SEEDS_WITHOUT: u64 = 4_000;

/// A simulation of three nodes and three controls after 100 random faults.
fn random_sim(seed: u64, toggles: toggles::Toggles) -> sim::Sim {
    let mut sim = sim::Sim::new(seed, &HOMES, toggles);
    sim.duplicate = seed.is_multiple_of(2);
    for _ in 0..100 {
        let node = sim.rng.random_range(0..3);
        let control = sim.rng.random_range(0..3);
        let home = HOMES[node];
        let others: Vec<_> = (0..3).filter(|it| *it != control).collect();
        let flag = sim.rng.random_bool(0.4);
        match sim.rng.random_range(0..17) {
            0..3 => sim.accept(1),
            3 => sim.isolate(control, flag),
            4 => sim.cut(node, &[control]),
            5 => sim.cut(node, if flag { &[] } else { &[1, 2] }),
            6 => sim.restart(node, flag),
            7 => sim.controls[control].syncs = !flag,
            8 => sim.restart_control(control, None),
            9 | 10 => sim.nodes[node].unresponsive = flag,
            11 => sim.disconnect(node),
            // The home control is behind, and the node gets newer versions from the others.
            12 => {
                sim.isolate(home, true);
                sim.cut(node, &[home]);
            }
            // After a restart, the node can reach only an isolated control.
            13 => {
                sim.isolate(control, true);
                sim.cut(node, &others);
                sim.restart(node, flag);
            }
            // Without this, most controls would be isolated most of the time.
            14 | 15 => {
                sim.heal();
                sim.duplicate = seed.is_multiple_of(2);
            }
            _ => {
                let kept = sim.controls[control].relay.version().0 - 1;
                sim.restart_control(control, Some(kept));
            }
        }
        let long = sim.rng.random_bool(0.1);
        let millis = sim.rng.random_range(0..if long { 8_000 } else { 1_500 });
        sim.run(millis);
    }
    sim
}

/// Guards against breaches in combinations of faults that `fault_cases` does not list.
#[test]
fn random_faults() {
    for seed in 0..SEEDS {
        let mut sim = random_sim(seed, toggles::Toggles::default());
        assert_eq!(sim.breaches, Vec::<String>::new(), "seed {seed}");
        sim.heal();
        let converged = sim.run_until(20_000, sim::Sim::all_run_latest);
        let running: Vec<_> = (0..3).map(|it| sim.running(it)).collect();
        assert!(converged, "seed {seed}: {running:?} of {}", sim.latest());
        assert_eq!(sim.breaches, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against random faults that are too weak to cause a failure when a toggle is off.
#[test]
fn random_faults_without() {
    let mut out = String::new();
    let cases: [(&str, TurnOff); 3] = [
        ("announcement_wait", |it| it.announcement_wait = false),
        ("floor_token", |it| it.floor_token = false),
        ("fallback_proof", |it| it.fallback_proof = false),
    ];
    for (title, turn_off) in cases {
        let mut off = toggles::Toggles::default();
        turn_off(&mut off);
        let seen = (0..SEEDS_WITHOUT).find_map(|seed| {
            let mut sim = random_sim(seed, off);
            if let Some(breach) = sim.breaches.first() {
                return Some(format!("seed {seed}: {breach}"));
            }
            sim.heal();
            let converged = sim.run_until(20_000, sim::Sim::all_run_latest);
            (!converged).then(|| format!("seed {seed}: does not converge"))
        });
        writeln!(out, "{title}: {}", seen.unwrap_or_else(|| panic!("{title}: no difference")))
            .expect("text");
    }
    insta::assert_snapshot!(out);
}

/// Guards against more snapshots at once than there are slots, and against nodes that never get a
/// version, when all nodes of a data centre restart at the same time.
#[test]
fn data_centre_restarts() {
    let mut out = String::new();
    for (title, partitioned, backend) in
        [("partitioned, with tokens", true, false), ("current, without tokens", false, true)]
    {
        let mut sim = sim::Sim::new(7, &[0; 300], toggles::Toggles::default());
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
        assert!(sim.most_slots <= distribution::relay::SNAPSHOT_SLOTS);
        assert_eq!(sim.breaches, Vec::<String>::new());
        sim.run(2_000);
        writeln!(
            out,
            "{title}: all run after {took:?}, {} slots at most, {} peers asked, {:?}, age {:?}",
            sim.most_slots,
            sim.peers_asked,
            sim.controls[0].relay.summary(),
            sim::max_age(&sim),
        )
        .expect("text");
    }
    insta::assert_snapshot!(out);
}
