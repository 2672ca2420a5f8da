//! The bounds of a control's relay, and rules that need no mesh: the text of floor tokens, proofs,
//! the backoff and the encoding of messages.

use std::{collections, fmt::Write as _, time};

use distribution::{attach, floor, messages, relay, subscribers, updater};
use rand::{SeedableRng, rngs};
use world::{document, time::Time};

fn numbered(version: u64) -> messages::Numbered {
    let digest = document::DocumentDigest([version as u8; 32]);
    messages::Numbered { version: document::Version(version), digest }
}

fn delta(version: u64) -> messages::Delta {
    messages::Delta { to: numbered(version), patch: "{}".into() }
}

fn head(version: u64, level: u32) -> relay::Head {
    relay::Head { of: numbered(version), document: "{}".into(), level }
}

fn hello(node: usize, running: Option<u64>, level: u32) -> messages::Hello {
    messages::Hello {
        session: messages::SessionId(node as u64),
        node: format!("n{node}").into(),
        data_centre: "skulte".into(),
        home: true,
        level,
        running: running.map(numbered),
        floor: floor::Floor::Absent,
    }
}

/// The number of effects of each kind, with messages counted by their kind.
fn count(effects: &[relay::Effect]) -> String {
    let mut counts = collections::BTreeMap::<String, u32>::new();
    for effect in effects {
        let text = match effect {
            relay::Effect::Send(_, message) => format!("{message:?}"),
            other => format!("{other:?}"),
        };
        let kind = text.split(['(', ' ']).next().unwrap_or_default();
        *counts.entry(kind.into()).or_default() += 1;
    }
    format!("{counts:?}")
}

/// Guards against a node that is sent deltas after a gap, against more snapshots than slots,
/// against slots that are never freed, and against a refused node that holds back the feature
/// level.
#[test]
fn bounds() {
    let mut rng = rngs::StdRng::seed_from_u64(3);
    let rng = &mut rng;
    let mut now = Time::from_millis(60_000);
    let mut relay = relay::Relay::new(1, head(1, 0), [delta(1)], true);
    let until = Time::from_millis(1_000_000_000);
    relay.update_contact(now, relay::Contact { known_at: now, until }, rng);
    let mut out = String::new();
    for version in 2..=1_500 {
        relay.committed(now, delta(version), head(version, 1), rng);
    }
    assert_eq!(relay.version(), document::Version(1), "handed out before the sync");
    relay.synced(now, document::Version(1_500), rng);
    for (title, running, level) in [
        ("oldest in the window", Some(476), 1),
        ("just before the window", Some(475), 1),
        ("current", Some(1_500), 1),
        ("ahead", Some(1_501), 1),
        ("runs nothing", None, 1),
        ("lower level", Some(1_499), 0),
    ] {
        let (_, effects) = relay.hello(now, hello(0, running, level), rng);
        writeln!(out, "{title}: {}, lowest level {:?}", count(&effects), relay.lowest_level())
            .expect("text");
    }
    let mut keys = Vec::new();
    let mut effects = Vec::new();
    for node in 1..=40 {
        let (key, more) = relay.hello(now, hello(node, Some(3), 1), rng);
        keys.push(key);
        effects.extend(more);
    }
    writeln!(out, "40 nodes that are far behind: {}", count(&effects)).expect("text");
    assert_eq!(relay.subscribers().slots_used(), relay::SNAPSHOT_SLOTS);
    let session = |node: usize| messages::SessionId(node as u64 + 1);
    for (node, &key) in keys.iter().enumerate().take(2) {
        let received = messages::ToControl::Received(session(node), document::Version(1_500));
        relay.message(now, key, received, rng);
        let confirm = messages::ToControl::Confirm(session(node), numbered(1_500));
        relay.message(now, key, confirm, rng);
    }
    let mut ask = |relay: &mut relay::Relay, now, nodes: std::ops::Range<usize>| {
        let mut effects = Vec::new();
        for node in nodes {
            let message = messages::ToControl::AskSnapshot(session(node));
            effects.extend(relay.message(now, keys[node], message, rng));
        }
        count(&effects)
    };
    writeln!(out, "8 ask again, 2 are done: {}", ask(&mut relay, now, 32..40)).expect("text");
    now = now + relay::SLOT_TIMEOUT;
    let mut rng = rngs::StdRng::seed_from_u64(4);
    for (node, &key) in keys.iter().enumerate() {
        let beat =
            messages::Beat { session: session(node), echo: None, highest: document::Version(3) };
        relay.message(now, key, messages::ToControl::Beat(beat), &mut rng);
    }
    let effects = relay.tick(now, &mut rng);
    writeln!(out, "slots time out: {}", count(&effects)).expect("text");
    let subscribers::Summary { counts, idle, laggards } = relay.summary();
    writeln!(out, "counts {counts:?}, {idle} idle, {} behind", laggards.len()).expect("text");
    writeln!(out, "first behind: {:?}", laggards.first()).expect("text");
    let effects = relay.tick(now + relay::NODE_TIMEOUT, &mut rng);
    assert_eq!(effects.len(), 40, "unresponsive nodes stay attached");
    insta::assert_snapshot!(out);
}

/// Guards against malformed tokens that are accepted, against versions that rule R3 does not allow,
/// against nodes that reconnect at the same time, and against messages that do not survive their
/// encoding.
#[test]
fn tokens_proofs_and_backoff() {
    let mut out = String::new();
    for text in [
        "2.1f.a.3",
        "2.0.0.0",
        "",
        "2.1f",
        "2.1f.a",
        "2.1f.a.b.c",
        "1.1f.a",
        "1.1.1.1",
        "3.1.1.1",
        "2.x.1.1",
        "2.-1.1.1",
        "2.1.1.x",
        "2.1.1.",
    ] {
        writeln!(out, "{text:?}: {:?}", text.parse::<floor::StoredToken>()).expect("text");
    }
    let token = floor::Token { version: document::Version(7), epoch: 1 };
    let floors = [
        ("unknown", floor::Floor::Unknown),
        ("absent", floor::Floor::Absent),
        ("token 7", floor::Floor::Held(token)),
    ];
    let proofs = [messages::Proof::None, messages::Proof::Heard, messages::Proof::Current];
    for (title, floor) in floors {
        for source in [floor::Source::Home, floor::Source::Foster] {
            let taken = |it: &messages::Proof| floor.allows(document::Version(7), source, *it);
            let taken: Vec<_> = proofs.iter().copied().filter(taken).collect();
            writeln!(out, "{title}, from {source:?}: with {taken:?}").expect("text");
            assert!(proofs.iter().all(|it| {
                floor.version() == document::Version(0)
                    || !floor.allows(document::Version(6), source, *it)
            }));
        }
    }
    for failures in [0, 1, 3, 6, 40] {
        let waits = |seed| attach::backoff(failures, &mut rngs::StdRng::seed_from_u64(seed));
        let waits: Vec<_> = (0..1_000).map(waits).collect();
        let most = attach::BACKOFF_BASE * (1 << failures.min(10));
        let most = most.min(attach::BACKOFF_CAP);
        assert!(waits.iter().all(|it| *it <= most), "a wait is too long");
        let spread = |low: f64| waits.iter().filter(|it| **it < most.mul_f64(low)).count();
        let mean = waits.iter().sum::<time::Duration>() / 1_000;
        writeln!(
            out,
            "{failures} failures: at most {most:?}, mean {} ms, {} of 1000 below a tenth",
            mean.as_millis(),
            spread(0.1)
        )
        .expect("text");
    }
    let message = messages::ToControl::Hello(hello(1, Some(4), 1));
    let bytes = postcard::to_stdvec(&message).expect("encodes");
    assert_eq!(postcard::from_bytes::<messages::ToControl>(&bytes).expect("decodes"), message);
    let snapshot = messages::Snapshot { of: numbered(3), document: "{}".into() };
    let message =
        messages::ToNode::Snapshot(messages::SessionId(1), messages::Proof::None, snapshot);
    let bytes = postcard::to_stdvec(&message).expect("encodes");
    assert_eq!(postcard::from_bytes::<messages::ToNode>(&bytes).expect("decodes"), message);
    insta::assert_snapshot!(out);
    // Jobs on several workers call the updater in turn, so it must be `Send`.
    fn is_send<T: Send>() {}
    is_send::<updater::Updater>();
}
