//! Tests of the decision whether a host is silent.

use std::{fmt::Write as _, time};

use routing::silence;

/// Guards against a host that counts as silent because its link, or the node's own link, has a full
/// queue, and against one that is gone and found late on a fast link.
#[test]
fn slow_links_count_as_silent_hosts() {
    // Milliseconds: elapsed, allowed quiet time, round trip, median round trip; received.
    let cases = [
        ("just sent", [0, 0, 1, 1], false),
        ("before the limit", [299, 0, 1, 1], false),
        ("at the limit", [300, 0, 1, 1], false),
        ("acknowledged", [300, 0, 1, 1], true),
        ("no round trip known", [300, 0, 0, 0], false),
        ("distant host", [300, 0, 80, 5], false),
        ("full queue, link in use", [300, 0, 400, 5], false),
        ("full queue, waited", [1_200, 0, 400, 5], false),
        ("own queue full, idle link", [300, 0, 1, 350], false),
        ("own queue full, waited", [1_050, 0, 1, 350], false),
        ("very long queue", [1_500, 0, 2_000, 2_000], false),
        ("idle link, fast", [1_100, 1_100, 1, 1], false),
        ("idle link, fast, waited", [1_400, 1_100, 1, 1], false),
        ("idle link, slow", [1_400, 1_100, 400, 5], false),
        ("idle link, keep-alive received", [1_400, 1_100, 1, 1], true),
    ];
    let ms = time::Duration::from_millis;
    let mut out = String::new();
    for (name, [elapsed, quiet, round_trip, typical], received) in cases {
        let signs = silence::Signs {
            elapsed: ms(elapsed),
            quiet: ms(quiet),
            round_trip: ms(round_trip),
            typical_round_trip: ms(typical),
            received,
        };
        let verdict = silence::judge(&signs);
        writeln!(out, "{name}: {verdict:?}").expect("text");
        let slow = name.contains("queue") && !name.contains("waited") && !name.contains("long");
        assert!(!slow || matches!(verdict, silence::Verdict::Wait(_)), "{name}: {verdict:?}");
    }
    insta::assert_snapshot!(out);
}

/// Guards against a limit that is unbounded on a link with a long queue.
#[test]
fn limits_are_bounded() {
    let ms = time::Duration::from_millis;
    let mut out = String::from("round trip: limit for silence, limit to connect\n");
    for round_trip in [0, 1, 100, 150, 300, 500, 5_000].map(ms) {
        let limits = [silence::limit(round_trip), silence::connect_limit(round_trip)];
        writeln!(out, "{round_trip:?}: {limits:?}").expect("text");
        assert!(limits.iter().all(|it| (ms(300)..=ms(1_500)).contains(it)));
    }
    insta::assert_snapshot!(out);
    assert_eq!(silence::median(vec![]), ms(0));
    assert_eq!(silence::median(vec![ms(9), ms(1)]), ms(1));
    assert_eq!(silence::median(vec![ms(9), ms(1), ms(5)]), ms(5));
}
