//! The controls of the mesh: which commands change them, and when a seat moves.

use std::{fmt::Write as _, time};

use compact_str::{CompactString, format_compact};
use replicated::controls::{self, Command};

fn place(data_centre: &str, host: u8) -> controls::Place {
    controls::Place {
        region: "vidzeme".into(),
        data_centre: data_centre.into(),
        addr: ([10, 0, 0, host], 7400).into(),
    }
}

fn voter(name: &str, data_centre: &str, host: u8) -> controls::Control {
    let seats = controls::Seats { configuration: true, claims: false };
    controls::Control { name: name.into(), place: place(data_centre, host), seats }
}

fn formed() -> controls::Controls {
    let mut controls = controls::Controls::default();
    let list = vec![voter("s1", "skulte", 1), voter("j1", "jugla", 2), voter("i1", "imanta", 3)];
    assert_eq!(controls.apply(&Command::Form(list)), controls::Answer::Changed);
    controls
}

fn join(name: &str, data_centre: &str, host: u8) -> Command {
    Command::Join { name: name.into(), place: place(data_centre, host) }
}

fn moved(from: &str, to: &str) -> Command {
    Command::Move { from: from.into(), to: to.into() }
}

fn text(controls: &controls::Controls) -> CompactString {
    let mut text = CompactString::default();
    for it in controls.iter() {
        let seat = if it.seats.configuration { "*" } else { "" };
        write!(text, "{}{seat}@{} ", it.name, it.place.addr.ip()).expect("text");
    }
    text
}

/// Guards against a list of controls that an odd command empties, or whose number of seats changes.
#[test]
fn commands() {
    let mut controls = formed();
    let commands = [
        Command::Form(vec![voter("x", "skulte", 9)]),
        join("j2", "jugla", 4),
        join("j2", "jugla", 4),
        join("j2", "jugla", 5),
        moved("s1", "j2"),
        moved("j2", "j1"),
        moved("j1", "j2"),
        moved("j1", "j2"),
        Command::Remove("j2".into()),
        Command::Remove("j1".into()),
        Command::Remove("j1".into()),
        join("s1", "liepaja", 6),
    ];
    let mut table = String::new();
    for command in commands {
        let answer = controls.apply(&command);
        writeln!(table, "{answer:?} {}", text(&controls)).expect("text");
        let seats = controls.iter().filter(|it| it.seats.configuration).count();
        assert_eq!(seats, 3);
    }
    let mut empty = controls::Controls::default();
    assert_eq!(empty.apply(&join("j2", "jugla", 4)), controls::Answer::Rejected);
    insta::assert_snapshot!(table);
}

fn observed(name: &str, silence_ms: u64, current: bool, leaving: bool) -> controls::Observation {
    let silence = time::Duration::from_millis(silence_ms);
    controls::Observation { name: name.into(), silence, current, leaving }
}

/// Guards against a seat that stays with a control that is gone, and against one that moves without
/// need or to a control that cannot vote.
#[test]
fn changes() {
    let mut controls = formed();
    controls.apply(&join("j2", "jugla", 4));
    let cases = [
        ("all answer", observed("j1", 100, true, false), observed("j2", 100, true, false)),
        ("a short pause", observed("j1", 1_900, true, false), observed("j2", 100, true, false)),
        ("gone", observed("j1", 2_000, false, false), observed("j2", 100, true, false)),
        ("successor lags", observed("j1", 5_000, false, false), observed("j2", 100, false, false)),
        ("both silent", observed("j1", 5_000, false, false), observed("j2", 2_500, true, false)),
        ("stops", observed("j1", 100, true, true), observed("j2", 100, true, false)),
        ("successor stops", observed("j1", 5_000, true, false), observed("j2", 100, true, true)),
        ("other data centre", observed("i1", 5_000, true, false), observed("j2", 100, true, false)),
        ("newcomer gone", observed("j1", 100, true, false), observed("j2", 10_000, true, false)),
    ];
    let mut table = String::new();
    for (name, first, second) in cases {
        let change = controls.next_change(&[first, second]);
        let change = change.map_or("none".into(), |it| format_compact!("{it:?}"));
        writeln!(table, "{name}: {change}").expect("text");
    }
    insta::assert_snapshot!(table);
}

/// Guards against a control that is removed while it is down, still finds itself in the list on its
/// disk, and never joins again.
#[test]
fn a_removed_control_that_returns_never_joins() {
    let mut controls = formed();
    controls.apply(&join("j2", "jugla", 4));
    let silences = [None, Some(0), Some(9_999), Some(10_000)];
    let cases = [
        ("listed", CompactString::from("j2"), place("jugla", 4)),
        ("at another address", "j2".into(), place("jugla", 5)),
        ("not listed", "s2".into(), place("skulte", 6)),
    ];
    let mut table = String::new();
    for (case, name, place) in &cases {
        for silence in silences {
            let silence = silence.map(time::Duration::from_millis);
            let joins = controls.next_join(name, place, silence).is_some();
            writeln!(table, "{case}, last heard of a leader {silence:?} ago: {joins}")
                .expect("text");
        }
    }
    insta::assert_snapshot!(table);
}
