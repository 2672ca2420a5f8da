//! What a node that restarted makes of the first announcement that reaches it.

use std::{fmt::Write as _, time};

use membership::{local_target, messages, registry, targets, toggles};
use world::{targets as objects, time::Time};

/// A node and the registry of its control.
struct Pair {
    node: local_target::LocalTarget,
    control: registry::Registry,
    now: Time,
}

fn announcement(incarnation: u64, sequence: u64, drain: bool) -> messages::Announcement {
    messages::Announcement {
        service: "logbook".into(),
        addr: "127.0.0.1:8000".parse().expect("an address"),
        incarnation,
        sequence,
        slots: 6,
        drain,
        cold_ms: Some(0),
        version: "".into(),
    }
}

fn start_node() -> local_target::LocalTarget {
    let location = local_target::Location {
        host: "skulte-1".into(),
        data_centre: "skulte".into(),
        addr: "127.0.0.1:9000".parse().expect("an address"),
    };
    local_target::LocalTarget::new(location, "skulte".into(), toggles::Toggles::default())
}

impl Pair {
    fn start() -> Pair {
        let toggles = toggles::Toggles::default();
        let control = registry::Registry::new(Time::ZERO, "skulte".into(), toggles);
        let mut pair = Pair { node: start_node(), control, now: Time::ZERO };
        pair.beat();
        pair
    }

    fn step(&mut self) {
        self.now = self.now + time::Duration::from_millis(100);
    }

    /// An announcement reaches the node, and its change the control.
    fn announce(&mut self, announcement: &messages::Announcement) {
        self.step();
        let outcome = self.node.announce(self.now, announcement);
        self.send(outcome);
    }

    /// The backend server leaves, and the control hears of it.
    fn leave(&mut self) {
        self.step();
        let outcome = self.node.backend_leaving(self.now);
        self.send(outcome);
        self.beat();
        assert!(self.node.is_registered(), "the control has recorded the leave");
    }

    fn send(&mut self, outcome: local_target::Outcome) {
        if let Some(event) = outcome.event.filter(|_| self.node.knows_registry()) {
            self.control.apply_event(self.now, &event);
        }
    }

    /// A heartbeat, its answer and the change that the answer asks for.
    fn beat(&mut self) {
        self.step();
        let answer = self.control.heartbeat(self.now, &self.node.heartbeat());
        let outcome = self.node.heartbeat_answered(self.now, &answer);
        self.send(outcome);
    }

    fn restart_node(&mut self) {
        self.node = start_node();
    }

    /// Ends the node's lease at the control.
    fn expire(&mut self) {
        self.now = self.now + registry::NODE_LEASE;
        self.control.tick(self.now);
    }

    fn summary(&self) -> String {
        let node = self.node.entry().map(|it| it.state);
        let held = self.control.targets().held_entry("skulte-1");
        format!("node {node:?}, registry {:?}", held.map(|it| it.state))
    }

    /// Whether other nodes may send requests to the target.
    fn in_use(&self) -> bool {
        let target = self.control.targets().find_host("skulte-1");
        target.is_some_and(|it| it.entry.state.takes_work())
    }
}

/// Guards against a restarted node that takes a late announcement for a new one, so that a backend
/// server that leaves or drains gets requests again, and against one that keeps the next process,
/// or one that did not leave, out of use.
#[test]
fn a_restarted_node_revokes_a_leave() {
    type Case = (&'static str, bool, fn(&mut Pair));
    let cases: [Case; 11] = [
        ("late report after the registry's answer", false, |it| {
            it.leave();
            it.restart_node();
            it.beat();
            it.announce(&announcement(50, 2, false));
        }),
        ("late report before the registry's answer", false, |it| {
            it.leave();
            it.restart_node();
            it.announce(&announcement(50, 2, false));
        }),
        ("late report with the highest sequence", false, |it| {
            it.leave();
            it.restart_node();
            it.announce(&announcement(50, 9, false));
        }),
        ("late report after the node's lease ended", false, |it| {
            it.leave();
            it.restart_node();
            it.expire();
            it.beat();
            it.announce(&announcement(50, 2, false));
        }),
        ("the node restarts twice", false, |it| {
            it.leave();
            it.restart_node();
            it.announce(&announcement(50, 2, false));
            it.beat();
            it.restart_node();
            it.announce(&announcement(50, 3, false));
        }),
        ("late report from before a drain", false, |it| {
            it.announce(&announcement(50, 5, true));
            it.beat();
            it.restart_node();
            it.announce(&announcement(50, 4, false));
        }),
        ("the backend server stops draining", true, |it| {
            it.announce(&announcement(50, 5, true));
            it.beat();
            it.restart_node();
            it.announce(&announcement(50, 6, false));
        }),
        ("late report of a replaced process", true, |it| {
            it.announce(&announcement(90, 1, false));
            it.beat();
            it.restart_node();
            it.beat();
            it.announce(&announcement(50, 2, false));
            it.announce(&announcement(90, 2, false));
        }),
        ("the next process at the same address", true, |it| {
            it.leave();
            it.restart_node();
            it.announce(&announcement(50, 2, false));
            it.announce(&announcement(90, 1, false));
        }),
        ("a process that was started after the clock was set back", true, |it| {
            it.leave();
            it.restart_node();
            it.beat();
            it.expire();
            it.announce(&announcement(40, 1, false));
        }),
        ("no leave", true, |it| {
            it.restart_node();
            it.announce(&announcement(50, 2, false));
        }),
    ];
    let mut out = String::new();
    for (name, used, run) in cases {
        let mut pair = Pair::start();
        pair.announce(&announcement(50, 1, false));
        pair.beat();
        run(&mut pair);
        // Controls and nodes agree after the next heartbeats.
        pair.beat();
        pair.beat();
        writeln!(out, "{name}: {}", pair.summary()).expect("text");
        assert_eq!(pair.in_use(), used, "{name}: {}", pair.summary());
    }
    insta::assert_snapshot!(out);
}

/// Guards against a restarted node whose backend server gets no requests for want of a control:
/// the other nodes still know the target.
#[test]
fn a_restarted_node_without_a_control_serves_nothing() {
    let mut node = start_node();
    node.announce(Time::ZERO, &announcement(50, 2, false));
    assert!(node.takes_work());
    assert!(!node.knows_registry(), "its entry is not to be sent yet");
}

/// Guards against a control or a node that takes the entry of a late announcement for the newer one
/// when it has the higher order, in either sequence of their arrival.
#[test]
fn an_entry_from_before_a_leave_replaces_it() {
    let entry = |sequence, state, leaving| messages::Entry {
        host: "skulte-1".into(),
        data_centre: "skulte".into(),
        service: "logbook".into(),
        addr: "127.0.0.1:9000".parse().expect("an address"),
        order: messages::Order { incarnation: 50, sequence },
        slots: 6,
        state,
        announced: messages::Announced { incarnation: 50, sequence: 1, leaving },
        registrar: "skulte".into(),
        version: "".into(),
    };
    let left = entry(3, objects::State::Draining, true);
    let late = entry(7, objects::State::Serving, false);
    for events in [[&left, &late], [&late, &left]] {
        let mut targets = targets::Targets::new(toggles::Toggles::default());
        for entry in events {
            targets.merge(Time::ZERO, &messages::Event { entry: entry.clone(), age_ms: 0 });
        }
        let held = targets.find_host("skulte-1").expect("a target");
        assert_eq!(held.entry, left);
    }
}
