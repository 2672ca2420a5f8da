//! Operators' patches: concurrent patches, resends, homes and snapshots of the state.

use std::fmt::Write as _;

use replicated::{toggles, versions};
use world::document;

struct Step {
    base: u64,
    request: &'static str,
    text: &'static str,
    level: u32,
}

fn step(base: u64, request: &'static str, text: &'static str) -> Step {
    Step { base, request, text, level: 1 }
}

fn command(at_ms: u64, step: &Step) -> versions::Command {
    versions::Command {
        at_ms,
        level: step.level,
        patch: versions::Patch {
            base: document::Version(step.base),
            request: step.request.into(),
            text: step.text.into(),
            operator: "ilze".into(),
        },
    }
}

fn restore<T: serde::Serialize + serde::de::DeserializeOwned>(state: &T) -> T {
    let bytes = postcard::to_stdvec(state).expect("the state can be encoded");
    postcard::from_bytes(&bytes).expect("the state can be decoded")
}

fn describe(answer: &versions::Answer) -> String {
    match answer {
        versions::Answer::Conflict { current, since } => {
            let since: Vec<_> = since.iter().map(|it| it.version.0).collect();
            format!("Conflict: current {current}, since {since:?}")
        }
        versions::Answer::Invalid { faults, more } => {
            let faults: Vec<_> = faults.iter().map(|it| it.to_string()).collect();
            format!("Invalid: {faults:?} and {more} more")
        }
        versions::Answer::Accepted { version, digest } => format!("Accepted: {version} {digest}"),
        other => format!("{other:?}"),
    }
}

const A: &str = r#"{"services":{"logbook":{"home":"vidzeme"}}}"#;
const B: &str = r#"{"services":{"sondelab":{}}}"#;
const C: &str = r#"{"services":{"flightrec":{}}}"#;

/// Guards against two accepted patches with the same base, a resend that is evaluated again (also
/// after a restore from a snapshot), an answer of `preview` that differs from that of `apply`, and
/// replicas with different states.
#[test]
fn patches() {
    let steps = [
        step(0, "a", A),
        step(1, "b", B),
        step(1, "c", C),
        step(2, "c2", C),
        step(0, "a", A),
        step(1, "b", C),
        step(1, "c", C),
        step(9, "future", C),
        step(3, "not json", "{"),
        step(3, "faults", r#"{"services":{"x y":{"slots":0}},"routes":{"r":{"prefix":"r"}}}"#),
        step(3, "", C),
        step(3, "remove", r#"{"services":{"logbook":null}}"#),
        step(4, "move home", r#"{"services":{"logbook":{"home":"tas"}}}"#),
        step(4, "same home", A),
        Step { level: 0, ..step(5, "level", r#"{"level":1}"#) },
        step(5, "level again", r#"{"level":1}"#),
    ];
    let mut straight = versions::Versions::default();
    let mut restored = versions::Versions::default();
    let mut out = String::new();
    for (index, step) in steps.iter().enumerate() {
        let command = command(1_000 * index as u64, step);
        let before = straight.current();
        let previewed = restored.preview(&command.patch, command.level);
        let answer = straight.apply(index as u64 + 1, &command);
        assert_eq!(previewed, answer, "preview and apply differ at {}", step.request);
        assert_eq!(restored.apply(index as u64 + 1, &command), answer);
        restored = restore(&restored);
        assert_eq!(restored.apply(index as u64 + 1, &command), versions::Answer::AlreadyApplied);
        let accepted = matches!(answer, versions::Answer::Accepted { .. });
        assert!(straight.current() == before || accepted, "version changed without acceptance");
        let text = describe(&answer);
        writeln!(out, "{} on {}: {text}", step.request, step.base).expect("writing to text");
    }
    let bytes = |it| postcard::to_stdvec(it).expect("encodes");
    assert_eq!(bytes(&straight), bytes(&restored), "replicas differ");
    assert_eq!(straight.digest(), document::digest(straight.document()));
    insta::assert_snapshot!(out);
}

/// Shows that each rule is needed: with its toggle off, the last patch of the case gets another
/// answer.
#[test]
fn toggles_off() {
    let on = toggles::Toggles::default();
    let resend = [step(0, "a", A), step(0, "a", A)];
    let home = [
        step(0, "a", A),
        step(1, "b", r#"{"services":{"logbook":null}}"#),
        step(2, "c", r#"{"services":{"logbook":{"home":"tas"}}}"#),
    ];
    let cases = [
        ("request_dedup", &resend[..], toggles::Toggles { request_dedup: false, ..on }),
        ("fixed_homes", &home[..], toggles::Toggles { fixed_homes: false, ..on }),
    ];
    let mut out = String::new();
    for (name, steps, off) in cases {
        let last = |toggles| {
            let mut state = versions::Versions::default();
            state.set_toggles(toggles);
            let apply = |(at, it)| state.apply(at as u64 + 1, &command(0, it));
            steps.iter().enumerate().map(apply).last().expect("a case has steps")
        };
        assert_ne!(last(on), last(off), "{name} makes no difference");
        writeln!(out, "{name} on: {}\n  off: {}", describe(&last(on)), describe(&last(off)))
            .expect("text");
    }
    insta::assert_snapshot!(out);
}

/// Guards against a history and stored answers that grow without bound, and against a state time
/// that moves back.
#[test]
fn bounds() {
    let mut state = versions::Versions::default();
    let mut at = 0;
    for version in 0..1_100_u64 {
        let text = format!(r#"{{"services":{{"s":{{"slots":{}}}}}}}"#, 1 + version % 7);
        let mut it = command(10_000 - version, &step(version, "", ""));
        it.patch.text = text.as_str().into();
        it.patch.request = format!("r{version}").into();
        at += 1;
        assert!(matches!(state.apply(at, &it), versions::Answer::Accepted { .. }));
    }
    assert_eq!(state.changes().count(), versions::MAX_CHANGES);
    assert!(state.changes().all(|it| it.at_ms == 10_000), "state time moved back");
    // The conflict answer for an old base lists all changes in the history.
    let answer = state.apply(at + 1, &command(0, &step(3, "old", C)));
    let versions::Answer::Conflict { since, .. } = answer else { panic!("{answer:?}") };
    assert_eq!(since.len(), versions::MAX_CHANGES);
    for request in 0..versions::MAX_ANSWERS {
        let mut it = command(0, &step(9_999, "", C));
        it.patch.request = format!("x{request}").into();
        state.apply(at + 2 + request as u64, &it);
    }
    let it = command(0, &step(3, "old", B));
    let answer = state.preview(&it.patch, 1);
    assert!(!matches!(answer, versions::Answer::RequestReused), "an answer was kept too long");
    let kept = command(0, &step(9_999, "x0", B));
    assert_eq!(state.preview(&kept.patch, 1), versions::Answer::RequestReused);
}
