//! Replacement of the whole document: resends, conflicts and faults.

use std::fmt::Write as _;

use replicated::{replacement, versions};
use world::document;

fn replacement(base: u64, revision: u64, slots: u32) -> replacement::Replacement {
    let mut document = document::Document { revision, ..document::Document::default() };
    let text = format!(r#"{{"slots":{slots}}}"#);
    let service = serde_json::from_str(&text).expect("a service");
    document.services.insert("logbook".into(), service);
    replacement::Replacement { base, document, unknown: Vec::new() }
}

/// Guards against a resent document that gets another answer than the first time, and against two
/// accepted documents with the same base revision.
#[test]
fn plans() {
    let mut versions = versions::Versions::default();
    let mut out = String::new();
    let mut index = 0;
    let steps = [
        ("first", replacement(0, 3, 1)),
        ("first again", replacement(0, 3, 1)),
        ("other on the same base, same number", replacement(0, 3, 2)),
        ("next", replacement(3, 7, 2)),
        ("first again, later", replacement(0, 3, 1)),
        ("number not above", replacement(7, 7, 3)),
        ("lower number", replacement(7, 5, 3)),
        ("faulty", replacement(7, 9, 0)),
        ("faulty again", replacement(7, 9, 0)),
        ("back to old content", replacement(7, 12, 1)),
        ("base of the future", replacement(99, 100, 1)),
    ];
    for (name, replacement) in steps {
        let (proposed, answer) = match replacement::plan(&versions, &replacement, "test") {
            replacement::Plan::Answer(answer) => (false, answer),
            replacement::Plan::Propose(patch) => {
                index += 1;
                let command = versions::Command { at_ms: index, level: 1, patch };
                (true, versions.apply(index, &command))
            }
        };
        let text = match answer {
            versions::Answer::Accepted { version, .. } => format!("accepted as {version}"),
            versions::Answer::Conflict { current, .. } => format!("conflict with {current}"),
            versions::Answer::Invalid { .. } => "invalid".to_owned(),
            other => format!("{other:?}"),
        };
        let how = if proposed { "proposed" } else { "known" };
        writeln!(out, "{name}: {how}, {text}, revision {}", versions.document().revision)
            .expect("text");
    }
    insta::assert_snapshot!(out);
}

/// Guards against two accepted documents with the same base revision when two controls propose them
/// at the same time.
#[test]
fn race() {
    let mut versions = versions::Versions::default();
    let plans = [replacement(0, 3, 1), replacement(0, 4, 2)]
        .map(|it| replacement::plan(&versions, &it, "test"));
    let mut accepted = 0;
    for (index, plan) in plans.into_iter().enumerate() {
        let replacement::Plan::Propose(patch) = plan else { panic!("both are proposed") };
        let command = versions::Command { at_ms: 1, level: 1, patch };
        let answer = versions.apply(index as u64 + 1, &command);
        accepted += usize::from(matches!(answer, versions::Answer::Accepted { .. }));
    }
    assert_eq!(accepted, 1);
    assert_eq!(versions.document().revision, 3);
}
