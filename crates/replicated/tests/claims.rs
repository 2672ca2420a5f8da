//! Claims of non-idempotent requests: sequences of node actions, and which attempts may run the
//! request.

use std::{collections, fmt::Write as _};

use bytes::Bytes;
use rand::{Rng, SeedableRng, rngs};
use replicated::{claims, toggles};
use world::requests;

#[derive(Clone, Copy)]
enum Op {
    Claim(u128),
    ClaimOther(u128),
    Complete(u128),
    Release(u128),
    Expire,
}

const LIMIT: u64 = 2_000;

fn name(key: &str) -> claims::ClaimName {
    claims::ClaimName { service: "logbook".into(), key: key.into() }
}

fn stored(attempt: u128, body: usize) -> claims::StoredAnswer {
    let headers = vec![("attempt".into(), Bytes::from(attempt.to_string()))];
    claims::StoredAnswer { status: 201, headers, body: vec![b'x'; body].into(), cut: false }
}

fn command(at_ms: u64, key: &str, op: Op) -> claims::Command {
    let request = |path| requests::Fingerprint::of("logbook", "POST", path, b"");
    let claim = |path| claims::Action::Claim { fingerprint: request(path), limit_ms: LIMIT };
    let (attempt, action) = match op {
        Op::Claim(it) => (it, claim("/logs")),
        Op::ClaimOther(it) => (it, claim("/other")),
        Op::Complete(it) => (it, claims::Action::Complete(stored(it, 10))),
        Op::Release(it) => (it, claims::Action::Release),
        Op::Expire => return claims::Command::Expire { at_ms },
    };
    claims::Command::Act { at_ms, name: name(key), attempt: claims::AttemptId(attempt), action }
}

fn describe(answer: &claims::Answer) -> String {
    let claims::Answer::Completed(it) = answer else { return format!("{answer:?}") };
    let text = String::from_utf8_lossy(&it.headers[0].1);
    format!("Completed by {text}, {} bytes, cut {}", it.body.len(), it.cut)
}

/// The attempts that may have run the request: their claim was granted, and they did not release
/// it. A second one breaks invariant 6: the request may have run twice.
#[derive(Default)]
struct Executions(collections::BTreeSet<u128>);

impl Executions {
    fn record(&mut self, op: Op, answer: &claims::Answer) {
        match (op, answer) {
            (Op::Claim(it) | Op::ClaimOther(it), claims::Answer::Granted) => self.0.insert(it),
            // A node releases a claim only if the request certainly did not run.
            (Op::Release(it), _) => self.0.remove(&it),
            _ => return,
        };
    }
}

#[rustfmt::skip]
const CASES: [(&str, &str); 14] = [
    ("resend gets the stored answer", "0 claim 1; 5 complete 1; 9 claim 2"),
    ("claim sent twice", "0 claim 1; 5 claim 1; 6 claim 2"),
    ("other request", "0 claim 1; 5 other 2; 6 complete 1; 7 other 2"),
    ("released", "0 claim 1; 5 release 1; 6 claim 2; 7 complete 2"),
    ("stale release by an old attempt", "0 claim 1; 1 release 1; 2 claim 2; 3 release 1; 4 claim 3"),
    ("stale complete by an old attempt", "0 claim 1; 1 release 1; 2 claim 2; 3 complete 1; 4 claim 3"),
    ("late duplicate of a claim", "0 claim 1; 1 release 1; 2 claim 1; 3 claim 2"),
    ("release overtakes the claim", "0 release 1; 1 claim 1; 2 claim 2"),
    ("node dies before the answer", "0 claim 1; 7000 claim 2; 7001 claim 3"),
    ("late answer", "0 claim 1; 7001 claim 2; 8000 complete 1; 8001 claim 3"),
    ("late release", "0 claim 1; 7001 release 1; 7002 claim 2"),
    ("release after complete", "0 claim 1; 1 complete 1; 2 release 1; 3 claim 2"),
    ("clock moves back", "9000 claim 1; 16001 expire 0; 3000 claim 2"),
    ("expiry", "0 claim 1; 86399999 claim 2; 86400000 expire 0; 86400001 claim 3"),
];

fn parse(step: &str) -> (u64, Op) {
    let words: Vec<_> = step.split(' ').collect();
    let attempt = words[2].parse().expect("an attempt");
    let op = match words[1] {
        "claim" => Op::Claim(attempt),
        "other" => Op::ClaimOther(attempt),
        "complete" => Op::Complete(attempt),
        "release" => Op::Release(attempt),
        _ => Op::Expire,
    };
    (words[0].parse().expect("a time"), op)
}

fn run(steps: &str, toggles: toggles::Toggles, out: &mut String) -> Executions {
    let mut runs = Executions::default();
    let mut state = claims::Claims::default();
    for (at, (at_ms, op)) in steps.split("; ").map(parse).enumerate() {
        // A replica restored from a snapshot applies each step.
        let bytes = postcard::to_stdvec(&state).expect("encodes");
        state = postcard::from_bytes(&bytes).expect("decodes");
        state.set_toggles(toggles);
        let answer = state.apply(at as u64 + 1, &command(at_ms, "k", op));
        runs.record(op, &answer);
        write!(out, " {}", describe(&answer)).expect("text");
        out.push(';');
    }
    runs
}

/// Guards against a second run of a request, in sequences of actions of several attempts with the
/// same key.
#[test]
fn sequences() {
    let mut out = String::new();
    for (title, steps) in CASES {
        write!(out, "{title}:").expect("text");
        let runs = run(steps, toggles::Toggles::default(), &mut out);
        // After 24 h the claim is gone, but the node refuses the request by its first-sent time.
        assert!(runs.0.len() <= 1 || title == "expiry", "{title}: ran as {:?}", runs.0);
        out.push('\n');
    }
    insta::assert_snapshot!(out);
}

/// Shows that each rule is needed: with its toggle off, a sequence runs a request twice or returns
/// the response to another request.
#[test]
fn toggles_off() {
    let on = toggles::Toggles::default();
    let cases = [
        ("attempt_check", 4, toggles::Toggles { attempt_check: false, ..on }),
        ("unknown_state", 8, toggles::Toggles { unknown_state: false, ..on }),
        ("fingerprint_check", 2, toggles::Toggles { fingerprint_check: false, ..on }),
    ];
    let mut out = String::new();
    for (title, case, off) in cases {
        write!(out, "{title} off, {}:", CASES[case].0).expect("text");
        let from = out.len();
        let runs = run(CASES[case].1, off, &mut out);
        let foreign = title == "fingerprint_check" && out[from..].contains("Completed by 1");
        assert!(runs.0.len() > 1 || foreign, "{title} makes no difference: {}", &out[from..]);
        out.push('\n');
    }
    insta::assert_snapshot!(out);
}

/// Guards against a second run of a request in random sequences of actions.
#[test]
fn random_sequences() {
    for seed in 0..300 {
        let mut rng = rngs::StdRng::seed_from_u64(seed);
        let mut state = claims::Claims::default();
        let mut runs = Executions::default();
        let mut at_ms = 0_u64;
        // A node either completes or releases an attempt, never both.
        let completes: Vec<bool> = (0..8).map(|_| rng.random()).collect();
        for index in 1..200 {
            at_ms += rng.random_range(0..1_500);
            let attempt = rng.random_range(0..8);
            let op = match rng.random_range(0..4) {
                0 | 1 => Op::Claim(attempt),
                2 if completes[attempt as usize] => Op::Complete(attempt),
                3 if !completes[attempt as usize] => Op::Release(attempt),
                _ => Op::Expire,
            };
            let skewed = at_ms.saturating_sub(rng.random_range(0..3_000));
            let answer = state.apply(index, &command(skewed, "k", op));
            runs.record(op, &answer);
            // An attempt that is released does not run even if it is granted again, because its
            // node has given up.
            runs.0.retain(|it| completes[*it as usize] || matches!(op, Op::Claim(a) if a == *it));
            let ran = runs.0.iter().filter(|it| completes[**it as usize]).count();
            assert!(ran <= 1, "seed {seed}: {:?} ran", runs.0);
        }
    }
}

/// Guards against a table that grows without bound, and against a refusal other than `Full` when it
/// is full.
#[test]
fn bounds() {
    let limits = claims::Limits { claims: 1_000, bytes: 100_000 };
    let mut state = claims::Claims::new(limits);
    let mut index = 0;
    let mut apply = |state: &mut claims::Claims, at_ms, key: &str, op| {
        index += 1;
        state.apply(index, &command(at_ms, key, op))
    };
    for key in 0..1_000 {
        assert_eq!(apply(&mut state, key, &key.to_string(), Op::Claim(1)), claims::Answer::Granted);
    }
    assert_eq!(apply(&mut state, 1_000, "one more", Op::Claim(1)), claims::Answer::Full);
    assert_eq!(apply(&mut state, 1_000, "7", Op::Claim(1)), claims::Answer::Granted);
    for (key, body) in [("1", 64 * 1024), ("2", 64 * 1024 + 1), ("3", 40_000), ("4", 30)] {
        index += 1;
        let action = claims::Action::Complete(stored(1, body));
        let attempt = claims::AttemptId(1);
        let complete = claims::Command::Act { at_ms: 1_000, name: name(key), attempt, action };
        assert_eq!(state.apply(index, &complete), claims::Answer::Stored);
    }
    let mut out = String::new();
    for key in ["1", "2", "3", "4"] {
        index += 1;
        let answer = state.apply(index, &command(1_000, key, Op::Claim(2)));
        writeln!(out, "{key}: {}", describe(&answer)).expect("text");
    }
    let mut left = Vec::new();
    for _ in 0..5 {
        index += 1;
        state.apply(index, &command(86_401_000, "", Op::Expire));
        left.push(state.len());
    }
    writeln!(out, "left while expiring: {left:?}").expect("text");
    assert!(state.is_empty());
    insta::assert_snapshot!(out);
}
