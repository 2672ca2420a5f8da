//! Voters that are gone for good, and whose votes other hosts take over.

use std::{fmt::Write as _, time};

use crate::sim;

/// A case: its name, whether the leader is the voter that is replaced, and the faults to inject
/// once the vote has moved from the first host to the second.
type Case = (&'static str, bool, fn(&mut sim::Sim, usize, usize));

fn await_repair(sim: &mut sim::Sim) {
    assert!(sim.run_until(10_000, sim::Sim::is_repaired), "no repair within 10 s");
}

fn lose_another_disk(sim: &mut sim::Sim, successor: usize) {
    let leader = sim.ready_leader().expect("a leader");
    let other = sim.followers().into_iter().find(|it| *it != successor).expect("a follower");
    sim.lose_disk(if leader == successor { other } else { leader });
}

/// Guards against a group that keeps the vote of a host that is gone, and ends with the next disk
/// that is lost.
#[test]
fn a_replaced_voter_ends_the_group() {
    let cases: [Case; 7] = [
        ("gone for good, then a second disk lost", false, |sim, gone, successor| {
            await_repair(sim);
            lose_another_disk(sim, successor);
            await_repair(sim);
            sim.kill(gone);
        }),
        ("the same with the leader", true, |sim, _, successor| {
            await_repair(sim);
            lose_another_disk(sim, successor);
        }),
        ("all killed as the vote moves", false, |sim, _, _| {
            sim.run(40);
            (0..4).for_each(|it| sim.kill(it));
            (0..4).for_each(|it| sim.restart(it));
        }),
        ("the successor dies as the vote moves", false, |sim, gone, successor| {
            sim.run(40);
            sim.kill(successor);
            sim.run(3_000);
            sim.restart(successor);
            sim.kill(gone);
        }),
        ("the old voter was only cut off", false, |sim, gone, _| {
            sim.restart(gone);
            sim.isolate(gone);
            await_repair(sim);
            sim.cut_links.clear();
        }),
        ("a leader loses its vote", false, |sim, gone, _| {
            sim.restart(gone);
            await_repair(sim);
            let leader = sim.ready_leader().expect("a leader");
            sim.move_vote(leader, gone);
            await_repair(sim);
            assert!(sim.run_until(3_000, |it| it.leader() != Some(leader)), "it still leads");
        }),
        ("a third host has missed the move", false, |sim, gone, successor| {
            await_repair(sim);
            let voter = sim.followers().into_iter().find(|it| *it != successor).expect("a voter");
            sim.kill(gone);
            sim.kill(voter);
            sim.run(3_000);
        }),
    ];
    let mut table = String::new();
    for (name, of_leader, script) in cases {
        for seed in 1..=4 {
            let mut sim = sim::Sim::new(seed, 3, 1, |_| {});
            assert!(sim.run_until(10_000, |it| it.ready_leader().is_some()), "no leader");
            sim.run(1_000);
            let leader = sim.leader().expect("a leader");
            let gone = if of_leader { leader } else { sim.followers()[0] };
            sim.kill(gone);
            assert!(sim.run_until(10_000, |it| it.ready_leader().is_some()), "no leader");
            sim.move_vote(gone, 3);
            script(&mut sim, gone, 3);
            sim.recover_and_check();
            writeln!(table, "{name}, seed {seed}: {:?}", sim.counts).expect("text");
            assert_eq!(sim.violations, [""; 0], "{name}, seed {seed}");
        }
    }
    insta::assert_snapshot!(table);
}

/// Guards against a list of voters that loses one voter after the other, down to none, when several
/// votes move before the list has followed the first move.
#[test]
fn votes_that_move_at_once_empty_the_list_of_voters() {
    let mut table = String::new();
    for moves in 1..=3 {
        for seed in 1..=4 {
            let mut sim = sim::Sim::new(seed, 3, 3, |_| {});
            assert!(sim.run_until(10_000, |it| it.ready_leader().is_some()), "no leader");
            sim.run(1_000);
            (0..moves).for_each(|it| sim.move_vote(it, it + 3));
            let mut fewest = 3;
            for _ in 0..200 {
                sim.run(20);
                let voters = sim.hosts.iter().filter_map(|it| it.group.as_ref());
                fewest = voters.map(|it| it.voters().len()).fold(fewest, usize::min);
            }
            sim.recover_and_check();
            writeln!(table, "{moves} moves, seed {seed}: at least {fewest} voters").expect("text");
            assert_eq!(sim.violations, [""; 0], "{moves} moves, seed {seed}");
            assert_eq!(fewest, 2, "{moves} moves, seed {seed}");
        }
    }
    insta::assert_snapshot!(table);
}

/// Guards against a newcomer that counts as silent since the last election, and is removed before
/// it can answer.
#[test]
fn a_newcomer_is_silent_since_the_election() {
    let mut sim = sim::Sim::new(1, 3, 1, |it| it.hosts.truncate(3));
    assert!(sim.run_until(10_000, |it| it.ready_leader().is_some()), "no leader");
    sim.run(12_000);
    sim.kill(3);
    sim.settings.hosts.push(sim.hosts[3].name.clone());
    sim.configure();
    sim.run(100);
    let members = sim.status(sim.ready_leader().expect("a leader")).members;
    let newcomer = members.iter().find(|it| it.host == sim.hosts[3].name).expect("a member");
    assert!(newcomer.silence <= time::Duration::from_millis(200), "{:?}", newcomer.silence);
}
