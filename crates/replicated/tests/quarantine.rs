//! Requests that crash backend servers: how many crashes they cause until they are quarantined, and
//! which other requests are refused.

use std::{collections, fmt::Write as _};

use rand::{Rng, SeedableRng, rngs, seq::IndexedRandom};
use replicated::{overlay, quarantine, toggles};
use world::requests;

fn fingerprint(path: &str) -> requests::Fingerprint {
    requests::Fingerprint::of("logbook", "POST", path, b"")
}

fn crash(host: &str, incarnation: u64, paths: &[&str]) -> quarantine::Evidence {
    quarantine::Evidence::Crashed {
        crash: quarantine::CrashId { host: host.into(), incarnation },
        fingerprints: paths.iter().map(|it| fingerprint(it)).collect(),
    }
}

fn finished(path: &str) -> quarantine::Evidence {
    quarantine::Evidence::Finished(fingerprint(path))
}

fn command(at_ms: u64, evidence: quarantine::Evidence) -> quarantine::Command {
    quarantine::Command { at_ms, age_ms: 0, evidence }
}

fn statuses(state: &quarantine::Quarantine, now_ms: u64) -> String {
    let status = |path: &&str| match state.status(&fingerprint(path), now_ms) {
        quarantine::Status::Free => format!("{path} free"),
        quarantine::Status::Suspect => format!("{path} suspect"),
        quarantine::Status::Quarantined { until_ms } => format!("{path} until {until_ms}"),
    };
    ["bad", "a", "b"].iter().map(status).collect::<Vec<_>>().join(", ")
}

type Case = (&'static str, Vec<(u64, quarantine::Evidence)>);

fn cases() -> Vec<Case> {
    const HOUR: u64 = 3_600_000;
    let two = |paths| vec![(0, crash("h1", 1, &["bad", "a"])), (9, crash("h2", 1, paths))];
    let mut renewed = two(&["bad"]);
    renewed.push((HOUR - 1, crash("h3", 1, &["bad", "a"])));
    let mut next_day = two(&["bad"]);
    next_day.extend([(24 * HOUR, crash("h3", 1, &["bad"])), (24 * HOUR + 1, finished("bad"))]);
    let resent = vec![(0, crash("h1", 1, &["bad"])), (5, crash("h1", 1, &["bad"]))];
    let cleared = vec![
        (0, crash("h1", 1, &["bad", "a"])),
        (5, finished("a")),
        (9, crash("h2", 1, &["other", "a"])),
    ];
    vec![
        ("singled out", two(&["bad", "b"])),
        ("two suspects together", two(&["bad", "a"])),
        ("resent report", resent),
        ("cleared", cleared),
        ("renewed", renewed),
        ("next afternoon", next_day),
    ]
}

fn run(steps: &[(u64, quarantine::Evidence)], toggles: toggles::Toggles) -> String {
    let mut state = quarantine::Quarantine::default();
    let mut end = 0;
    for (index, (at_ms, evidence)) in steps.iter().enumerate() {
        let bytes = postcard::to_stdvec(&state).expect("encodes");
        state = postcard::from_bytes(&bytes).expect("decodes");
        state.set_toggles(toggles);
        state.apply(index as u64 + 1, &command(*at_ms, evidence.clone()));
        end = *at_ms;
    }
    statuses(&state, end)
}

/// Guards against a crashing request that is not quarantined, and against a harmless one that is.
/// Shows that each rule is needed by turning its toggle off.
#[test]
fn evidence() {
    let on = toggles::Toggles::default();
    let cases = cases();
    let mut out = String::new();
    for (title, steps) in &cases {
        writeln!(out, "{title}: {}", run(steps, on)).expect("text");
    }
    let offs = [
        ("single_suspect", 1, toggles::Toggles { single_suspect: false, ..on }),
        ("report_dedup", 2, toggles::Toggles { report_dedup: false, ..on }),
        ("suspect_clearing", 3, toggles::Toggles { suspect_clearing: false, ..on }),
    ];
    for (title, case, off) in offs {
        let text = run(&cases[case].1, off);
        assert_ne!(text, run(&cases[case].1, on), "{title} makes no difference");
        writeln!(out, "{title} off, {}: {text}", cases[case].0).expect("text");
    }
    insta::assert_snapshot!(out);
}

/// Guards against evidence that counts twice when a control proposes it after a partition, and
/// against late evidence that starts a new hour of quarantine.
#[test]
fn partition() {
    let mut log = quarantine::Quarantine::default();
    let mut overlay = overlay::Overlay::default();
    log.apply(1, &command(0, crash("h1", 1, &["bad", "a"])));
    overlay.rebase(&log, 0);
    overlay.record(10, crash("h2", 1, &["bad"]));
    overlay.record(11, crash("h2", 1, &["bad"]));
    overlay.record(12, crash("h3", 1, &["b"]));
    let mut out = format!("log: {}\n", statuses(&log, 12));
    writeln!(out, "local: {}", statuses(overlay.view(), 12)).expect("text");
    // The node's report also reaches the log through another control, twice.
    log.apply(2, &command(20, crash("h3", 1, &["b"])));
    log.apply(3, &command(21, crash("h3", 1, &["b"])));
    overlay.rebase(&log, 500_000);
    writeln!(out, "local, rebased: {}", statuses(overlay.view(), 500_000)).expect("text");
    let pending: Vec<_> = overlay.pending(500_000).collect();
    assert_eq!(pending.len(), 1, "evidence that the log has was kept");
    for (index, (sequence, command)) in pending.into_iter().enumerate() {
        log.apply(4 + 2 * index as u64, &command);
        // The command is committed a second time after a lost answer.
        log.apply(5 + 2 * index as u64, &command);
        overlay.mark_committed(sequence);
    }
    overlay.rebase(&log, 500_001);
    writeln!(out, "log, merged: {}", statuses(&log, 500_001)).expect("text");
    assert_eq!(statuses(&log, 500_001), statuses(overlay.view(), 500_001));
    insta::assert_snapshot!(out);
}

/// Interval at which nodes receive new evidence.
const DISTRIBUTION_MS: u64 = 200;
/// Interval at which the caller resends the crashing request.
const RESEND_MS: u64 = 40;
/// Copies that start before the nodes have the evidence crash their targets: the copies of one
/// interval make the request a suspect, and those of a second one put it into quarantine.
const MAX_CRASHES: u64 = 2 * (DISTRIBUTION_MS / RESEND_MS);

/// Simulates a caller that resends the crashing request with a new key through a random node, while
/// harmless requests run on all targets. With a companion, the caller also sends a slow harmless
/// request to the same target each time. With `separate`, targets run suspects one at a time.
/// Returns the number of crashes and of refused harmless requests.
fn storm(
    seed: u64,
    with_companion: bool,
    separate: bool,
    toggles: toggles::Toggles,
) -> (u64, usize) {
    const SLOTS: usize = 6;
    let mut rng = rngs::StdRng::seed_from_u64(seed);
    let mut state = quarantine::Quarantine::default();
    state.set_toggles(toggles);
    let harmless: Vec<_> = (0..12).map(|it| fingerprint(&it.to_string())).collect();
    let (bad, slow) = (fingerprint("bad"), fingerprint("slow"));
    let mut targets = vec![Vec::<(requests::Fingerprint, u64)>::new(); 4];
    let (mut crashes, mut index) = (0, 0);
    let mut refused = collections::BTreeSet::new();
    let mut distributed = state.clone();
    for now in 0..4_000_u64 {
        if now % DISTRIBUTION_MS == 0 {
            distributed = state.clone();
        }
        let pick =
            if now % RESEND_MS == 0 { bad } else { *harmless.choose(&mut rng).expect("some") };
        let host = rng.random_range(0..targets.len());
        let mut apply = |evidence| {
            index += 1;
            state.apply(index, &command(now, evidence));
        };
        let ended: Vec<_> = targets[host].extract_if(.., |it| it.1 <= now).collect();
        if ended.iter().any(|it| it.0 == bad) {
            crashes += 1;
            let in_flight = ended.into_iter().chain(targets[host].drain(..)).map(|it| it.0);
            let crash = quarantine::CrashId { host: host.to_string().into(), incarnation: crashes };
            let fingerprints = in_flight.collect();
            apply(quarantine::Evidence::Crashed { crash, fingerprints });
        } else {
            ended.into_iter().for_each(|it| apply(quarantine::Evidence::Finished(it.0)));
        }
        let companion = (with_companion && pick == bad).then_some((slow, 400));
        for (pick, max_ms) in [(pick, 40)].into_iter().chain(companion) {
            let status = distributed.status(&pick, now);
            let quarantined = matches!(status, quarantine::Status::Quarantined { .. });
            if quarantined && pick != bad {
                refused.insert(pick);
            }
            let running = targets[host].iter().map(|it| (it.0, distributed.status(&it.0, now)));
            let may = quarantine::may_start(pick, status, running);
            // The companion has a slot of its own, so that it is in flight in each crash.
            let slots = SLOTS + usize::from(pick == slow);
            if targets[host].len() >= slots || !may && (separate || quarantined) {
                // Without the crashing request the companion is not sent either.
                break;
            }
            targets[host].push((pick, now + rng.random_range(max_ms / 8..max_ms)));
        }
    }
    (crashes, refused.len())
}

/// Guards against a request that crashes one backend server after another, and against the
/// quarantine of harmless requests that were in flight with it.
#[test]
fn crash_storms() {
    let on = toggles::Toggles::default();
    let rule_off = toggles::Toggles { single_suspect: false, ..on };
    let mut out = String::new();
    let mut wrongly_refused = 0;
    for seed in 0..20 {
        let (alone, refused) = storm(seed, false, true, on);
        let (paired, refused_too) = storm(seed, true, true, on);
        let (_, without) = storm(seed, false, true, rule_off);
        let (mixed, _) = storm(seed, true, false, on);
        assert_eq!(refused + refused_too, 0, "seed {seed}: harmless requests were refused");
        assert!(alone <= MAX_CRASHES && paired <= MAX_CRASHES, "seed {seed}: {alone}, {paired}");
        assert!(mixed > MAX_CRASHES, "seed {seed}: keeping suspects apart makes no difference");
        wrongly_refused += without;
        writeln!(
            out,
            "seed {seed}: {alone} crashes, {paired} with a companion, {mixed} when suspects run \
             side by side; {without} harmless requests refused without single_suspect"
        )
        .expect("text");
    }
    assert!(wrongly_refused > 0, "single_suspect makes no difference");
    insta::assert_snapshot!(out);
}
