//! What a node that restarted makes of the first announcement that reaches it.

use std::{fmt::Write as _, time};

use membership::{departures, local_target, messages, registry, targets, toggles};
use world::{targets as objects, time::Time};

/// The hash of the backend server's name.
const INSTANCE: u32 = 7;

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
        instance: INSTANCE,
        dated: true,
    }
}

/// An announcement that names no start, to which the node gives an incarnation.
fn undated(incarnation: u64, sequence: u64) -> messages::Announcement {
    messages::Announcement { dated: false, ..announcement(incarnation, sequence, false) }
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
        let heartbeat = self.node.heartbeat();
        self.control.heartbeat(self.now, &heartbeat.host);
        self.write();
        let answer = self.control.answer(self.now, &heartbeat, &[]).expect("an answer");
        let outcome = self.node.heartbeat_answered(self.now, &answer);
        self.send(outcome);
    }

    /// The control writes the departures to its disk.
    fn write(&mut self) {
        for event in self.control.departures().unwritten(self.now) {
            self.control.departures_mut().record_written(&event.entry);
        }
    }

    /// The control starts again with its disk.
    fn restart_control(&mut self) {
        let written = self.control.departures().events(self.now);
        let toggles = toggles::Toggles::default();
        self.control = registry::Registry::new(self.now, "skulte".into(), toggles);
        for event in &written {
            self.control.restore_departure(self.now, event);
            self.control.departures_mut().record_written(&event.entry);
        }
    }

    fn restart_all(&mut self) {
        self.restart_control();
        self.restart_node();
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

/// What happens to a backend server that is announced, and whether it may get requests afterwards.
type Case = (&'static str, bool, fn(&mut Pair));

/// Runs cases and describes how each one ends.
fn run_cases(cases: &[Case]) -> String {
    let mut out = String::new();
    for &(name, used, run) in cases {
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
    out
}

/// Guards against a restarted node that takes a late announcement for a new one, so that a backend
/// server that leaves or drains gets requests again, and against one that keeps the next process,
/// or one that did not leave, out of use.
#[test]
fn a_restarted_node_revokes_a_leave() {
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
    insta::assert_snapshot!(run_cases(&cases));
}

/// Guards against a leave or a drain that is forgotten when the control and the node restart at the
/// same moment, and against a process that is kept out of use by the end of another one.
#[test]
fn a_restart_of_all_revokes_a_leave() {
    let cases: [Case; 11] = [
        ("late report without a start before the first heartbeat", false, |it| {
            it.leave();
            it.restart_all();
            it.announce(&undated(70, 2));
            it.beat();
            it.announce(&undated(50, 3));
        }),
        ("the next process without a start and with another name", true, |it| {
            it.leave();
            it.restart_all();
            it.announce(&messages::Announcement { instance: INSTANCE + 1, ..undated(70, 1) });
        }),
        ("late report before the first heartbeat", false, |it| {
            it.leave();
            it.restart_all();
            it.announce(&announcement(50, 2, false));
        }),
        ("late report with the highest sequence", false, |it| {
            it.leave();
            it.restart_all();
            it.beat();
            it.announce(&announcement(50, 9, false));
        }),
        ("two restarts of all", false, |it| {
            it.leave();
            it.restart_all();
            it.announce(&announcement(50, 2, false));
            it.beat();
            it.restart_all();
            it.announce(&announcement(50, 3, false));
        }),
        ("late report from before a drain", false, |it| {
            it.announce(&announcement(50, 5, true));
            it.beat();
            it.restart_all();
            it.announce(&announcement(50, 4, false));
        }),
        ("late report from before a drain, after the node's lease ended", false, |it| {
            it.announce(&announcement(50, 5, true));
            it.beat();
            it.restart_node();
            it.expire();
            it.beat();
            it.announce(&announcement(50, 4, false));
        }),
        ("the backend server stops draining", true, |it| {
            it.announce(&announcement(50, 5, true));
            it.beat();
            it.restart_all();
            it.announce(&announcement(50, 6, false));
        }),
        ("the next process", true, |it| {
            it.leave();
            it.restart_all();
            it.announce(&announcement(50, 2, false));
            it.announce(&announcement(90, 1, false));
        }),
        ("the next process is the first to announce itself", true, |it| {
            it.leave();
            it.restart_all();
            it.announce(&announcement(90, 1, false));
        }),
        ("no leave", true, |it| {
            it.restart_all();
            it.announce(&announcement(50, 2, false));
        }),
    ];
    insta::assert_snapshot!(run_cases(&cases));
}

/// Guards against a leave that reaches a restarted node before any announcement and is forgotten with
/// the next restart, and against a later process of the same name that is kept out of use by it.
#[test]
fn a_restart_revokes_a_leave_that_came_first() {
    let mut out = String::new();
    for (name, controls_restart) in [("the node restarts", false), ("all restart", true)] {
        for (report, incarnation, used) in [("late", 50, false), ("of a later process", 90, true)] {
            let mut pair = Pair::start();
            pair.announce(&announcement(50, 1, false));
            pair.beat();
            pair.restart_node();
            pair.step();
            let outcome = pair.node.unannounced_leaving(pair.now, INSTANCE, 60);
            assert!(outcome.event.is_none(), "the newest order is not known yet");
            assert!(!pair.node.is_left_recorded());
            pair.beat();
            pair.beat();
            assert!(pair.node.is_left_recorded(), "{name}");
            assert!(!pair.in_use(), "{name}");
            if controls_restart {
                pair.restart_all();
            } else {
                pair.restart_node();
            }
            pair.announce(&announcement(incarnation, 2, false));
            pair.beat();
            pair.beat();
            writeln!(out, "{name}, report {report}: {}", pair.summary()).expect("text");
            assert_eq!(pair.in_use(), used, "{name}, report {report}");
        }
    }
    insta::assert_snapshot!(out);
}

/// Guards against a control that has started without its disk and answers for the others before it
/// has heard from them, and against one that never answers since another one is lost.
#[test]
fn a_control_that_knows_nothing_answers() {
    let toggles = toggles::Toggles::default();
    let others = ["jugla-c".into(), "imanta-c".into()];
    let heartbeat = start_node().heartbeat();
    let mut control = registry::Registry::new(Time::ZERO, "skulte".into(), toggles);
    let at = |it: time::Duration| Time::ZERO + it;
    assert!(control.answer(Time::ZERO, &heartbeat, &others).is_none());
    control.record_informed("jugla-c");
    assert!(control.answer(Time::ZERO, &heartbeat, &others).is_none());
    assert!(control.answer(at(registry::DEPARTURES_TIMEOUT), &heartbeat, &others).is_some());
    control.record_informed("imanta-c");
    assert!(control.answer(Time::ZERO, &heartbeat, &others).is_some());
    let now = at(registry::DEPARTURES_TIMEOUT * 4);
    control.resume(now);
    assert!(control.answer(now, &heartbeat, &others).is_none(), "it has missed messages");
}

/// Guards against a node that is not told of a leave which its control learns of late, after it has
/// taken the entry of a late report: both agree on that entry.
#[test]
fn a_leave_that_is_learned_late_is_not_kept_to() {
    let mut pair = Pair::start();
    pair.announce(&announcement(50, 1, false));
    pair.leave();
    let left = pair.control.departures().events(pair.now);
    let toggles = toggles::Toggles::default();
    pair.control = registry::Registry::new(pair.now, "skulte".into(), toggles);
    pair.restart_node();
    pair.beat();
    pair.announce(&announcement(50, 2, false));
    pair.beat();
    assert!(pair.in_use(), "the control has lost its disk and reaches no other");
    left.iter().for_each(|it| pair.control.restore_departure(pair.now, it));
    pair.beat();
    pair.beat();
    assert!(!pair.in_use(), "{}", pair.summary());
    assert!(pair.node.is_registered());
}

/// Guards against a leave that is acknowledged before it outlasts the loss of a disk, and against one
/// that a control which is cut off never acknowledges.
#[test]
fn a_leave_on_one_disk_is_acknowledged() {
    let mut out = String::new();
    let timeout = departures::COPY_TIMEOUT;
    let cases: [(&str, bool, &[&str], usize); 6] = [
        ("no disk", false, &[], 2),
        ("the own disk", true, &[], 2),
        ("the own disk, no other control", true, &[], 0),
        ("the own disk and another", true, &["jugla-c"], 2),
        ("another disk", false, &["jugla-c"], 2),
        ("two other disks", false, &["jugla-c", "imanta-c"], 2),
    ];
    for (name, written, copies, others) in cases {
        let mut pair = Pair::start();
        pair.announce(&announcement(50, 1, false));
        pair.step();
        let outcome = pair.node.backend_leaving(pair.now);
        pair.send(outcome);
        let entry = pair.node.entry().expect("an entry").clone();
        let departures = pair.control.departures_mut();
        if written {
            departures.record_written(&entry);
        }
        copies.iter().for_each(|it| departures.record_copy(it, &entry.host, entry.digest()));
        let standing = |at| pair.control.departures().standing(at, &entry, others);
        let (soon, late) = (standing(pair.now), standing(pair.now + timeout));
        writeln!(out, "{name}, {others} more controls: {soon:?}, later {late:?}").expect("text");
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
        announced: messages::Announced { incarnation: 50, sequence: 1, leaving, instance: 0 },
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
