//! The orders of rollouts as replicated state.

use std::fmt::Write as _;

use replicated::rollouts::{self, Action};
use world::rollouts::{OrderId, Stage};

fn start(service: &str, target: &str, over_ms: u64) -> Action {
    Action::Start { service: service.into(), target: target.into(), over_ms }
}

fn text(answer: &rollouts::Answer) -> String {
    let (kind, order) = match answer {
        rollouts::Answer::Accepted(it) => ("accepted", it),
        rollouts::Answer::Conflict(it) => ("conflict", it),
        rollouts::Answer::Changed(it) => ("changed", it),
        rollouts::Answer::Unchanged => return "unchanged".to_owned(),
    };
    format!(
        "{kind} {} {} to {} from {:?} without {:?}: {:?}",
        order.id.0, order.service, order.target, order.current, order.rejected, order.state
    )
}

/// Guards against an order that a resend starts twice, that another one replaces, or that leaves its
/// end, and against replicas that differ after a change of the leader.
#[test]
fn resends_conflicts_and_ends() {
    let (first, second, third) = (OrderId(1), OrderId(11), OrderId(14));
    let commands = [
        (1_000, start("desk", "v2", 12_000)),
        (1_500, start("desk", "v2", 12_000)),
        (1_500, start("desk", "v2", 13_000)),
        (1_500, start("desk", "v3", 12_000)),
        (2_000, Action::Advance(first, Stage::Trial)),
        (2_000, Action::Advance(first, Stage::First)),
        (2_500, Action::Complete(first)),
        (3_000, Action::RollBack(first)),
        (3_000, Action::Advance(first, Stage::Whole)),
        // The clock of another leader is behind.
        (900, start("desk", "v2", 12_000)),
        (20_000, start("desk", "v3", 12_000)),
        (21_000, Action::Advance(second, Stage::Whole)),
        (22_000, Action::Complete(second)),
        (23_000, start("desk", "v2", 12_000)),
        (24_000, Action::RollBack(third)),
        (24_000, Action::RollBack(third)),
        (60_000, start("desk", "v2", 12_000)),
        (60_000, start("lamp", "v2", 12_000)),
        (60_000, Action::Complete(OrderId(99))),
    ];
    let (mut state, mut table) = (rollouts::Rollouts::default(), String::new());
    let mut replica = rollouts::Rollouts::default();
    for (index, (at_ms, action)) in (1..).zip(commands) {
        let command = rollouts::Command { at_ms, action };
        let answer = state.apply(index, &command);
        writeln!(table, "{index} {:?}: {}", command.action, text(&answer)).expect("text");
        // A replica that restarted continues from a snapshot, and decodes the command from its log.
        let snapshot = postcard::to_stdvec(&replica).expect("a snapshot");
        replica = postcard::from_bytes(&snapshot).expect("a state");
        let entry = postcard::to_stdvec(&command).expect("an entry");
        replica.apply(index, &postcard::from_bytes(&entry).expect("a command"));
        assert_eq!(state, replica);
    }
    insta::assert_snapshot!(table);
}
