//! What nodes send to a new software version.

use std::fmt::Write as _;

use routing::rollouts::{self, Pick};
use world::rollouts::{Order, OrderId, Stage, State};

const NODES: usize = 65;

fn order(state: State) -> Order {
    Order {
        id: OrderId(7),
        service: "desk".into(),
        target: "v2".into(),
        current: None,
        rejected: Vec::new(),
        started_ms: 0,
        over_ms: 12_000,
        state,
    }
}

fn following(state: State, seed: f32) -> rollouts::Rollouts {
    let mut rollouts = rollouts::Rollouts::default();
    rollouts.follow(&[order(state)], true, seed);
    rollouts
}

fn sends(node: &mut rollouts::Rollouts, count: usize, first: bool) -> usize {
    let followed = node.get_mut("desk").expect("an order");
    (0..count).filter(|_| followed.pick(first) == Pick::Candidate).count()
}

/// Guards against an unproven version that gets more than a tenth of the requests and 50, over all
/// nodes and although some restart.
#[test]
fn an_unproven_version_gets_too_much() {
    let mut table = String::new();
    for (requests, restarts) in [(0, 0), (1, 0), (5, 0), (40, 0), (400, 0), (40, 4)] {
        for seed in [0.0, 0.5, 0.999] {
            let mut new = 0;
            for node in 0..NODES {
                let lives = if node < 20 { restarts + 1 } else { 1 };
                for _ in 0..lives {
                    let mut node = following(State::Running(Stage::Trial), seed);
                    new += sends(&mut node, requests / lives, true);
                    new += sends(&mut node, requests, false);
                }
            }
            let all = requests * NODES;
            writeln!(table, "{requests} x {NODES}, {restarts} restarts, seed {seed}: {new}")
                .expect("text");
            assert!(new * 10 <= all + 500, "{new} of {all}");
        }
    }
    insta::assert_snapshot!(table);
}

/// Guards against a share that a retry, a lack of old targets or an old list of orders exceeds.
#[test]
fn sends_beyond_the_share() {
    let mut table = String::new();
    let ended = [State::Complete, State::RolledBack];
    let stages = [Stage::First, Stage::Trial, Stage::Quarter, Stage::Half, Stage::Whole];
    for state in stages.map(State::Running).into_iter().chain(ended) {
        let mut node = following(state, 0.0);
        let (first, again) = (sends(&mut node, 1_000, true), sends(&mut node, 1_000, false));
        let followed = node.get("desk").expect("an order");
        let others = [Pick::Candidate, Pick::Serving].map(|it| followed.other(it));
        writeln!(table, "{state:?}: first {first}, again {again}, without a target {others:?}")
            .expect("text");
        let unproven = state.stage().is_some_and(|it| !it.is_proven());
        assert!(!unproven || first <= 100 && again == 0 && others[1].is_none());
    }
    insta::assert_snapshot!(table);
}

/// Guards against a node that raises a share by the word of a control that may be cut off, or that
/// forgets an end.
#[test]
fn an_old_list_raises_a_share() {
    use Stage::{First, Half, Trial, Whole};
    let mut table = String::new();
    let mut node = rollouts::Rollouts::default();
    let steps = [
        (State::Running(Whole), false),
        (State::Running(Trial), true),
        (State::Running(First), true),
        (State::Running(Half), false),
        (State::Running(Half), true),
        (State::RolledBack, false),
        (State::Running(Whole), true),
        (State::Complete, true),
    ];
    for (state, current) in steps {
        node.follow(&[order(state)], current, 0.0);
        let followed = node.get("desk").map(|it| it.order().state);
        writeln!(table, "told {state:?}, current {current}: {followed:?}").expect("text");
    }
    insta::assert_snapshot!(table);
}

/// Guards against a node that goes on sending to a version that it has seen to be bad, and against
/// one that blocks an order which the whole mesh finds good.
#[test]
fn a_held_version_gets_requests() {
    let mut node = following(State::Running(Stage::Trial), 0.9);
    node.hold(OrderId(7));
    assert_eq!(sends(&mut node, 1_000, true), 0);
    node.follow(&[order(State::Running(Stage::Whole))], true, 0.0);
    assert_eq!(sends(&mut node, 10, true), 10);
}

/// Guards against requests for targets whose version the service does not allow.
#[test]
fn targets_of_other_versions() {
    let target = |host, version, ready| rollouts::Target { host, version, ready, warm: ready };
    let cold = |host| rollouts::Target { host, version: "v2", ready: true, warm: false };
    let targets = [
        target("a", "v1", true),
        target("b", "", true),
        target("c", "v2", true),
        target("d", "v2", false),
        target("e", "v2", true),
        target("f", "v2", true),
        target("g", "v3", true),
        target("h", "bad", true),
        cold("i"),
    ];
    let mut table = String::new();
    let states = [
        State::Running(Stage::Trial),
        State::Running(Stage::Whole),
        State::Complete,
        State::RolledBack,
    ];
    for current in [None, Some("v1".into()), Some("v0".into())] {
        for state in states {
            let rejected = vec!["bad".into()];
            let order = Order { current: current.clone(), rejected, ..order(state) };
            let mut node = rollouts::Rollouts::default();
            node.follow(&[order], true, 0.0);
            let followed = node.get("desk").expect("an order");
            let hosts = [Pick::Serving, Pick::Candidate].map(|pick| {
                let usable = followed.usable(pick, &targets);
                let hosts = targets.iter().zip(usable).filter(|it| it.1).map(|it| it.0.host);
                hosts.collect::<String>()
            });
            let retired: String = targets
                .iter()
                .filter(|it| followed.order().retires(it.version))
                .map(|it| it.host)
                .collect();
            writeln!(table, "{current:?} {state:?}: old {hosts:?} retired {retired}")
                .expect("text");
        }
    }
    insta::assert_snapshot!(table);
}
