//! What a node announces for its backend server.

use std::fmt::Write as _;

use membership::{local_target, messages, toggles};
use world::{targets::State, time::Time};

fn location() -> local_target::Location {
    local_target::Location {
        host: "skulte-1".into(),
        data_centre: "skulte".into(),
        addr: "127.0.0.1:9000".parse().expect("an address"),
    }
}

fn announcement(incarnation: u64) -> messages::Announcement {
    messages::Announcement {
        service: "logbook".into(),
        addr: "127.0.0.1:8000".parse().expect("an address"),
        incarnation,
        sequence: 0,
        slots: 6,
        drain: false,
        cold_ms: None,
        version: "".into(),
        instance: 0,
        dated: true,
    }
}

fn node(toggles: toggles::Toggles) -> local_target::LocalTarget {
    local_target::LocalTarget::new(location(), "skulte".into(), toggles)
}

enum Step {
    Announce(u64),
    Drain(u64),
    Tick,
    Lose,
    Stop,
    Attach(&'static str),
    Answer(Option<(u64, u64)>, bool),
}

fn apply(local: &mut local_target::LocalTarget, now: Time, step: &Step) -> local_target::Outcome {
    let event = |event| local_target::Outcome { transition: None, event };
    match step {
        Step::Announce(incarnation) => local.announce(now, &announcement(*incarnation)),
        Step::Drain(incarnation) => {
            let drain = messages::Announcement { drain: true, ..announcement(*incarnation) };
            local.announce(now, &drain)
        }
        Step::Tick => local.tick(now),
        Step::Lose => local.backend_lost(now),
        Step::Stop => local.node_stopping(now),
        Step::Attach(registrar) => event(local.attach(now, (*registrar).into())),
        Step::Answer(known, wanted) => {
            let order = |(incarnation, sequence)| messages::Order { incarnation, sequence };
            let (known, wanted) = (known.map(order), *wanted);
            let answer = messages::HeartbeatAnswer { known, wanted, ..Default::default() };
            local.heartbeat_answered(now, &answer)
        }
    }
}

/// Guards against a restart or an unresponsive backend server that the node does not notice,
/// against an order that goes back, and against a late renewal of a replaced process that counts as
/// a restart.
#[test]
fn announcements() {
    use Step::*;
    let cases: [(&str, &[(u64, Step)]); 7] = [
        (
            "cold start",
            &[(0, Announce(50)), (500, Announce(50)), (9_900, Announce(50)), (10_000, Tick)],
        ),
        (
            "crash and restart",
            &[(0, Announce(50)), (700, Lose), (900, Announce(90)), (950, Announce(50))],
        ),
        (
            "restart seen by incarnation",
            &[(0, Announce(50)), (700, Announce(90)), (800, Announce(50))],
        ),
        (
            "clock set back",
            &[(0, Announce(90)), (2_000, Tick), (3_000, Announce(50)), (3_500, Announce(50))],
        ),
        ("stall", &[(0, Announce(50)), (1_999, Tick), (2_000, Tick), (2_600, Announce(50))]),
        (
            "drains",
            &[
                (0, Announce(50)),
                (500, Drain(50)),
                (900, Announce(50)),
                (950, Stop),
                (999, Announce(50)),
            ],
        ),
        (
            "node restarts beside a running backend server, then moves to a fallback control",
            &[
                (0, Announce(50)),
                (10, Answer(Some((50, 7)), true)),
                (20, Answer(Some((50, 8)), false)),
                (30, Attach("jugla")),
                (40, Answer(Some((50, 8)), true)),
                (50, Answer(Some((60, 2)), true)),
            ],
        ),
    ];
    let mut out = String::new();
    for (name, steps) in cases {
        writeln!(out, "{name}").expect("text");
        let mut local = node(toggles::Toggles::default());
        let mut last = messages::Order::default();
        for (millis, step) in steps {
            let outcome = apply(&mut local, Time::from_millis(*millis), step);
            let entry = local.entry().expect("each case begins with an announcement");
            assert!(entry.order >= last, "{name}: the order went back");
            last = entry.order;
            let sent = if outcome.event.is_some() { "event" } else { "-" };
            let transition = outcome.transition.map(|it| format!("{it:?}")).unwrap_or_default();
            writeln!(
                out,
                "  {millis:>6} ms {transition:<10} {sent:<5} {:?} {}.{} at {}",
                entry.state, entry.order.incarnation, entry.order.sequence, entry.registrar,
            )
            .expect("text");
        }
    }
    insta::assert_snapshot!(out);
}

/// Guards against a node that still sends work to a dead backend server. Without leases it does.
#[test]
fn expired_lease_ends_work() {
    for (leases, takes_work) in [(true, false), (false, true)] {
        let mut local = node(toggles::Toggles { leases, ..Default::default() });
        local.announce(Time::ZERO, &announcement(50));
        local.tick(Time::ZERO + local_target::ANNOUNCEMENT_LEASE);
        assert_eq!(local.takes_work(), takes_work, "leases: {leases}");
    }
}

/// Guards against an announcement that arrives after a later one and revokes its drain, and against
/// an announcement that brings back a backend server that shut down permanently.
#[test]
fn late_announcements_and_leaving() {
    let say = |sequence, drain| messages::Announcement { sequence, drain, ..announcement(50) };
    let mut local = node(toggles::Toggles::default());
    let mut out = String::new();
    let mut note = |name: &str, local: &local_target::LocalTarget| {
        writeln!(out, "{name}: {:?}", local.entry().map(|it| it.state)).expect("text");
    };
    local.announce(Time::ZERO, &messages::Announcement { cold_ms: Some(0), ..say(4, false) });
    note("warm from the start", &local);
    local.announce(Time::from_millis(10), &say(6, true));
    note("it drains", &local);
    local.announce(Time::from_millis(20), &say(5, false));
    note("an older announcement comes late", &local);
    local.announce(Time::from_millis(30), &say(7, false));
    note("it no longer drains", &local);
    local.backend_leaving(Time::from_millis(40));
    note("it leaves", &local);
    local.announce(Time::from_millis(50), &say(8, false));
    note("it announces itself after it left", &local);
    local.announce(
        Time::from_millis(60),
        &messages::Announcement { incarnation: 60, ..say(1, false) },
    );
    note("the next process", &local);
    insta::assert_snapshot!(out);
}

/// Guards against a cold start that never ends since the first announcement named a time of years.
/// The next announcements of the same process say that it is warm.
#[test]
fn an_odd_cold_start_outlasts_the_next_announcements() {
    let cold = |cold_ms| messages::Announcement { cold_ms: Some(cold_ms), ..announcement(50) };
    let mut local = node(toggles::Toggles::default());
    local.announce(Time::ZERO, &cold(u64::MAX));
    local.announce(Time::from_millis(500), &cold(1_000));
    local.announce(Time::from_millis(1_000), &cold(500));
    assert_eq!(local.entry().map(|it| it.state), Some(State::Starting));
    local.tick(Time::from_millis(1_500));
    assert_eq!(local.entry().map(|it| it.state), Some(State::Serving));
}

/// Guards against an announcement of another writer, with values that no later one reaches, that
/// hides the backend server for good. The next proper announcements must bring it back once the odd
/// one's lease has ended.
#[test]
fn an_odd_announcement_hides_the_next_ones() {
    let proper = |sequence| messages::Announcement { sequence, ..announcement(50) };
    let odd = [
        ("sequence", messages::Announcement { sequence: u64::MAX, ..announcement(50) }),
        ("drain", messages::Announcement { sequence: u64::MAX, drain: true, ..announcement(50) }),
        ("start", announcement(u64::MAX)),
    ];
    let mut out = String::new();
    for (name, odd) in odd {
        let mut local = node(toggles::Toggles::default());
        let mut last = messages::Order::default();
        let warm = |sequence| messages::Announcement { cold_ms: Some(0), ..proper(sequence) };
        local.announce(Time::ZERO, &warm(4));
        local.announce(Time::from_millis(100), &odd);
        let mut hidden = 0;
        for sequence in 5..20 {
            let now = Time::from_millis((sequence - 4) * 500);
            local.tick(now);
            local.announce(now, &warm(sequence));
            let entry = local.entry().expect("an entry");
            assert!(entry.order >= last, "{name}: the order went back to {:?}", entry.order);
            last = entry.order;
            hidden += u32::from(entry.state != State::Serving);
        }
        let state = local.entry().map(|it| it.state);
        writeln!(out, "odd {name}: hidden for {hidden} announcements, then {state:?}")
            .expect("text");
        assert_eq!(state, Some(State::Serving), "odd {name}");
    }
    insta::assert_snapshot!(out);
}

/// Guards against an order at the end of its range that ends the job which raises it, or wraps to a
/// low one, so that the registry takes no later entry of the host.
#[test]
fn an_order_wraps() {
    let mut local = node(toggles::Toggles::default());
    local.announce(Time::ZERO, &announcement(50));
    for known in [(50, u64::MAX), (51, messages::MAX_ORDER), (u64::MAX, u64::MAX)] {
        let order = messages::Order { incarnation: known.0, sequence: known.1 };
        let answer =
            messages::HeartbeatAnswer { known: Some(order), wanted: true, ..Default::default() };
        let outcome = local.heartbeat_answered(Time::from_millis(10), &answer);
        let event = outcome.event.expect("an event");
        assert_eq!(event.entry.check(), Ok(()), "known {known:?}: {:?}", event.entry.order);
    }
    let order = local.entry().map(|it| (it.order.incarnation, it.order.sequence));
    assert_eq!(order, Some((52, 0)), "only an order within the range has to be passed");
}
