//! Tests of retries, budgets and hedges.

use std::{fmt::Write as _, time};

use rand::{Rng as _, SeedableRng as _, rngs};
use routing::{budget, hedge, retry, toggles};
use world::{contracts, requests, time::Time};

const OUTCOMES: [retry::Outcome; 4] = [
    retry::Outcome::Answered,
    retry::Outcome::NotRun,
    retry::Outcome::Unknown,
    retry::Outcome::Failed,
];

fn request(idempotent: bool) -> retry::Request {
    retry::Request { idempotent, deadline: Time::from_millis(1_000) }
}

/// Guards against a wrong decision for any outcome, and against a refused retry that uses an
/// attempt.
#[test]
fn decisions() {
    let toggles = toggles::Toggles::default();
    let mut out = String::new();
    for outcome in OUTCOMES {
        for idempotent in [true, false] {
            for (attempts, millis) in [(2, 0), (0, 0), (2, 1_000)] {
                let mut budget = budget::Budget { attempts, depth: 1, remaining_ms: 1_000 };
                let mut limiter = budget::RetryLimiter::default();
                let now = Time::from_millis(millis);
                let request = request(idempotent);
                let decision = retry::decide(
                    now,
                    outcome,
                    &request,
                    &mut budget,
                    &mut limiter.team(""),
                    &toggles,
                );
                let spent = attempts - budget.attempts;
                assert_eq!(spent == 1, decision == retry::Decision::Elsewhere);
                let kind = if idempotent { "idempotent" } else { "once only" };
                let case = format!("{outcome:?}, {kind}, {attempts} left, at {millis} ms");
                writeln!(out, "{case}: {decision:?}").expect("text");
            }
        }
    }
    insta::assert_snapshot!(out);
}

/// Guards against a second run of a request that is not idempotent, with random outcomes. With
/// the `idempotency_guard` toggle off, some requests run twice.
#[test]
fn at_most_one_run() {
    for idempotency_guard in [true, false] {
        let toggles =
            toggles::Toggles { idempotency_guard, retry_limit: false, ..Default::default() };
        let mut most = 0;
        for seed in 0..2_000 {
            let mut rng = rngs::SmallRng::seed_from_u64(seed);
            let mut budget = budget::Budget::new(time::Duration::from_secs(1), None);
            let mut limiter = budget::RetryLimiter::default();
            let mut runs = 0;
            loop {
                let outcome = OUTCOMES[rng.random_range(0..OUTCOMES.len())];
                runs += u32::from(outcome != retry::Outcome::NotRun);
                let request = request(false);
                let next = retry::decide(
                    Time::ZERO,
                    outcome,
                    &request,
                    &mut budget,
                    &mut limiter.team(""),
                    &toggles,
                );
                if next != retry::Decision::Elsewhere {
                    break;
                }
            }
            assert!(!idempotency_guard || runs <= 1, "seed {seed}: {runs} runs");
            most = most.max(runs);
        }
        assert_eq!(most > 1, !idempotency_guard);
    }
}

/// Makes a chain of calls in which each level may send to two targets, and each send fails because
/// the deepest call fails. Counts the sends by level. Returns an error below the deepest level.
fn call(
    budget: &mut budget::Budget,
    sends: &mut [u64],
    toggles: &toggles::Toggles,
) -> budget::Result<()> {
    let left = time::Duration::from_secs(1);
    budget.check()?;
    let mut limiter = budget::RetryLimiter::default();
    for target in 0..2 {
        sends[usize::from(budget.depth) - 1] += 1;
        let mut passed = budget.split_for_send(left);
        let mut deeper = passed.take_for_call(left);
        // This send fails like the deeper call, and the attempts passed along are lost.
        let _ = call(&mut deeper, sends, toggles);
        let outcome = retry::Outcome::Failed;
        let next = retry::decide(
            Time::ZERO,
            outcome,
            &request(true),
            budget,
            &mut limiter.team(""),
            toggles,
        );
        if next != retry::Decision::Elsewhere || target == 1 {
            break;
        }
    }
    Ok(())
}

/// Guards against retries that multiply from level to level of a chain of calls.
#[test]
fn retries_at_max_depth() {
    let levels = usize::from(requests::MAX_DEPTH);
    let mut out = String::from("sends at each level when the deepest call fails\n");
    for budget in [true, false] {
        let toggles = toggles::Toggles { budget, retry_limit: false, ..Default::default() };
        let mut sends = vec![0; levels];
        let mut first = budget::Budget::new(time::Duration::from_secs(1), None);
        call(&mut first, &mut sends, &toggles).expect("the first level is allowed");
        let total: u64 = sends.iter().sum();
        writeln!(out, "budget {budget}: {sends:?}, {total} in total").expect("text");
        let bound = u64::from(budget::MAX_EXTRA_SENDS) + 1;
        assert_eq!(sends.iter().all(|&it| it <= bound), budget);
        assert_eq!(total <= bound * levels as u64, budget);
    }
    insta::assert_snapshot!(out);
}

/// Guards against a growing number of attempts while requests pass them along and get them back.
#[test]
fn attempts_are_conserved() {
    for seed in 0..500 {
        let mut rng = rngs::SmallRng::seed_from_u64(seed);
        let mut budgets = vec![budget::Budget::new(time::Duration::from_secs(1), None)];
        for _ in 0..30 {
            let before: u8 = budgets.iter().map(|it| it.attempts).sum();
            let left = time::Duration::from_millis(500);
            let last = budgets.len() - 1;
            match rng.random_range(0..4) {
                0 => {
                    let passed = budgets[last].split_for_send(left);
                    budgets.push(passed);
                }
                1 => {
                    let call = budgets[last].take_for_call(left);
                    budgets.push(call);
                }
                2 if last > 0 => {
                    let unused = budgets.pop().map_or(0, |it| it.attempts);
                    budgets[last - 1].return_unused(unused);
                }
                _ => drop(budgets[last].try_spend(&toggles::Toggles::default())),
            }
            let after: u8 = budgets.iter().map(|it| it.attempts).sum();
            assert!(after <= before, "seed {seed}: {before} attempts became {after}");
        }
    }
}

/// Guards against a node whose extra sends exceed the percentage of its first sends, also after a
/// pause without requests, and against a node that can never retry.
#[test]
fn retry_limit() {
    let mut out =
        String::from("extra sends allowed when all requests fail, by number of requests in 10 s\n");
    for limited in [true, false] {
        let toggles = toggles::Toggles { retry_limit: limited, ..Default::default() };
        for count in [0_u64, 5, 50, 1_000] {
            let mut limiter = budget::RetryLimiter::default();
            let mut extra = 0_u64;
            for index in 0..count {
                let now = Time::from_micros(index * 10_000_000 / count);
                limiter.team("").record_first(now);
                extra += u64::from(limiter.team("").try_extra(now, &toggles));
            }
            let later = Time::from_millis(60_000);
            let paused = (0..100).filter(|_| limiter.team("").try_extra(later, &toggles)).count();
            writeln!(out, "limit {limited}: {count} -> {extra}, after a pause {paused}")
                .expect("text");
            let bound = (count / 10).max(budget::MIN_RETRIES.into());
            assert!(!limited || extra <= bound, "{extra} of {count}");
            assert_eq!(paused as u32 <= budget::MIN_RETRIES, limited);
        }
    }
    insta::assert_snapshot!(out);
}

/// Guards against a team whose retries use up those of another one, against more extra sends than
/// the limit of the service, and against memory that grows with the teams that were ever seen.
#[test]
fn one_team_uses_all_retries() {
    let toggles = toggles::Toggles::default();
    let mut limiter = budget::RetryLimiter::default();
    let names: Vec<String> = (0..1_000).map(|it| format!("team-{it}")).collect();
    let (mut extra, mut hot, mut steady) = (0, 0, 0);
    let mut first = 0_u64;
    for step in 0..9_000_u64 {
        let now = Time::from_millis(step);
        let name = names[step as usize % names.len()].as_str();
        for (name, count) in [("hot", 4), ("steady", 1), (name, 1)] {
            let mut team = limiter.team(name);
            (0..count).for_each(|_| team.record_first(now));
            first += count;
            let tries = if name == "hot" { 20 } else { 1 };
            // The steady team asks after the hot one has taken what it can get.
            let wants = name != "steady" || step % 20 == 0;
            let got = (0..tries).filter(|_| wants && team.try_extra(now, &toggles)).count() as u64;
            extra += got;
            hot += if name == "hot" { got } else { 0 };
            steady += if name == "steady" { got } else { 0 };
        }
        assert!(extra <= (first / 10).max(3), "{extra} extra sends of {first}");
    }
    assert_eq!((hot, steady), (3_600, 449), "of 36,000 first sends, and of 450 tries");
    assert!(limiter.kept_teams() <= 1_024);
    limiter.team("late").record_first(Time::from_millis(60_000));
    assert_eq!(limiter.kept_teams(), 1, "teams without sends in the window are kept");
}

fn route(hedge: bool) -> contracts::Route {
    contracts::Route {
        name: "listen".into(),
        prefix: "/listen".into(),
        host: None,
        split: vec![contracts::Upstream { service: contracts::ServiceKey::default(), weight: 1 }],
        attempts: None,
        objective: time::Duration::from_secs(1),
        timeout: time::Duration::from_secs(1),
        urgency: contracts::Urgency { rank: 0, worth: 1 },
        public: false,
        idempotency: contracts::Idempotency::ByMethod,
        keyless: false,
        hedge,
    }
}

/// Guards against a wrong percentile, and against hedging on a route that does not enable it or for
/// a request that is not idempotent.
#[test]
fn hedges() {
    let mut out = String::new();
    for count in [19, 20, 100, 2_000] {
        let mut latencies = hedge::LatencyHistogram::default();
        for index in 0..count {
            latencies.record(Time::ZERO, time::Duration::from_micros(1_000 + 10 * (index % 100)));
        }
        let at = latencies.percentile();
        writeln!(out, "{count} latencies up to 2 ms: {at:?}").expect("text");
        let exact = time::Duration::from_micros(1_940);
        assert!(count < 100 || at.is_some_and(|it| it >= exact && it <= exact * 5 / 4));
        let due =
            |hedge, idempotent| latencies.due(&route(hedge), &request(idempotent), Time::ZERO);
        assert_eq!(due(true, true).is_some(), count >= 20);
        assert_eq!(due(true, false), None, "the request is not idempotent");
        assert_eq!(due(false, true), None, "the route does not enable hedging");
        let mut old = latencies.clone();
        old.record(Time::from_millis(30_000), time::Duration::from_millis(1));
        assert_eq!(old.percentile(), None, "latencies of expired windows do not count");
    }
    let mut extremes = hedge::LatencyHistogram::default();
    (0..20).for_each(|_| extremes.record(Time::ZERO, time::Duration::MAX));
    writeln!(out, "longest: {:?}", extremes.percentile()).expect("text");
    insta::assert_snapshot!(out);
}

/// Guards against a retry in the last millisecond before the deadline: the remaining time is sent
/// in whole milliseconds, so the target's node finds the deadline passed before the sender does.
#[test]
fn deadlines_in_whole_milliseconds() {
    let toggles = toggles::Toggles::default();
    let mut out = String::new();
    for micros in [998_000, 998_999, 999_000, 999_500, 1_000_000] {
        let mut budget = budget::Budget::new(time::Duration::from_secs(1), None);
        let mut limiter = budget::RetryLimiter::default();
        let now = Time::from_micros(micros);
        let outcome = retry::Outcome::Unknown;
        let decision = retry::decide(
            now,
            outcome,
            &request(true),
            &mut budget,
            &mut limiter.team(""),
            &toggles,
        );
        writeln!(out, "{micros} us: {decision:?}").expect("text");
    }
    insta::assert_snapshot!(out, @r"
    998000 us: Elsewhere
    998999 us: Elsewhere
    999000 us: GiveUp(Deadline)
    999500 us: GiveUp(Deadline)
    1000000 us: GiveUp(Deadline)
    ");
}

/// How a node treats requests that targets shed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Rule {
    /// As those of failed targets: the first ones get the limit, whatever their class.
    Failed,
    /// As shed ones.
    Shed,
    /// As shed ones, at a service whose callers were shed themselves: their calls count as repeats.
    Repeats,
}

/// Guards against calls that end at the first target that sheds them, because callers' requests, or
/// the calls of requests that were shed elsewhere, have used up the node's limit. Three of four
/// requests are calls, and targets shed 16 of 100 sends; with up to three targets for each, 1 call
/// in 244 would be shed by all of them anyway.
#[test]
fn sheds_end_calls() {
    let toggles = toggles::Toggles::default();
    let mut out = String::from("rule: calls, ended; callers' requests, ended; extra sends\n");
    for rule in [Rule::Failed, Rule::Repeats, Rule::Shed] {
        let mut rng = rngs::SmallRng::seed_from_u64(17_268);
        let mut limiter = budget::RetryLimiter::new(14);
        let mut limiter = limiter.team("");
        let (mut sent, mut ended, mut extra) = ([0_u32; 2], [0_u32; 2], 0);
        for step in 0..20_000_u64 {
            let now = Time::from_millis(step * 5);
            let call = rng.random_range(0..4) > 0;
            let class = if call { requests::Class::Internal } else { requests::Class::Caller };
            sent[usize::from(call)] += 1;
            if rule == Rule::Repeats && call && rng.random_range(0..100) < 16 {
                limiter.record_repeat(now);
                extra += 1;
            } else {
                limiter.record_first(now);
                if call {
                    limiter.record_call(now);
                }
            }
            let mut budget = budget::Budget::new(time::Duration::from_secs(1), None);
            while rng.random_range(0..100) < 16 {
                let outcome = match rule {
                    Rule::Failed => retry::Outcome::NotRun,
                    Rule::Shed | Rule::Repeats => retry::Outcome::Shed(class),
                };
                let request = retry::Request { deadline: Time::MAX, ..request(true) };
                let next =
                    retry::decide(now, outcome, &request, &mut budget, &mut limiter, &toggles);
                if next != retry::Decision::Elsewhere {
                    ended[usize::from(call)] += 1;
                    break;
                }
                extra += 1;
            }
        }
        writeln!(out, "{rule:?}: {}, {}; {}, {}; {extra}", sent[1], ended[1], sent[0], ended[0])
            .expect("text");
        let allowed = (sent[0] + sent[1]) * 14 / 100 + 10 * budget::MIN_RETRIES;
        assert!(rule == Rule::Repeats || extra <= allowed, "{out}");
        assert!(rule != Rule::Shed || ended[1] * 50 <= sent[1], "{out}");
    }
    for outcome in OUTCOMES.into_iter().chain([retry::Outcome::Shed(requests::Class::Internal)]) {
        writeln!(out, "{outcome:?}: calls repeat: {}", outcome.calls_repeat()).expect("text");
    }
    insta::assert_snapshot!(out);
}
