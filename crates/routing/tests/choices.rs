//! Tests of the balancer and the prober with targets that are slow, fail, start or are overloaded.

use std::{cmp, collections, fmt::Write as _, time};

use rand::{SeedableRng as _, rngs};
use routing::{balancer, estimates, policy, prober, toggles};
use slotmap::SlotMap;
use world::{requests, targets, time::Time};

const SEED: u64 = 7;
/// Service time of a request, unless a test says otherwise.
const WORK: time::Duration = time::Duration::from_millis(5);
/// Time between two requests of a [`Simulation`].
const GAP: time::Duration = time::Duration::from_millis(10);

fn candidates(links_micros: &[u64]) -> Vec<balancer::Candidate> {
    let mut keys = SlotMap::<targets::TargetKey, ()>::with_key();
    let candidate = |&link| balancer::Candidate {
        key: keys.insert(()),
        state: targets::State::Serving,
        since: Time::ZERO,
        slots: 6,
        link: time::Duration::from_micros(link),
        in_subset: true,
        linked: true,
    };
    links_micros.iter().map(candidate).collect()
}

fn request(candidates: &[balancer::Candidate], now: Time) -> balancer::Request<'_> {
    let deadline = now + time::Duration::from_secs(1);
    let objective = time::Duration::from_secs(1);
    let class = requests::Class::Caller;
    balancer::Request {
        candidates,
        excluded: &[],
        class,
        idempotent: true,
        deadline,
        objective,
        penalty_share: 1.0,
    }
}

/// One node that sends a request every 10 ms in virtual time. `work` returns the time at a target
/// for a request sent at the given time, or `None` for a refused connection.
struct Simulation {
    router: balancer::Balancer,
    candidates: Vec<balancer::Candidate>,
    seconds: u64,
    work: fn(usize, Time) -> Option<time::Duration>,
}

struct Simulated {
    /// Requests by second and target.
    counts: Vec<Vec<u32>>,
    most_ejected: usize,
    router: balancer::Balancer,
}

impl Simulation {
    fn run(mut self) -> Simulated {
        let mut rng = rngs::SmallRng::seed_from_u64(SEED);
        let mut pending = collections::BinaryHeap::new();
        let mut counts = vec![vec![0; self.candidates.len()]; self.seconds as usize];
        let (mut now, mut most_ejected) = (Time::ZERO, 0);
        while now < Time::from_millis(self.seconds * 1_000) {
            while let Some(&cmp::Reverse((end, sent, index, trial))) = pending.peek()
                && end <= now
            {
                pending.pop();
                self.finish(end, sent, index, trial);
            }
            let is_ejected = |it: &&balancer::Candidate| {
                self.router.estimates.get(it.key).is_some_and(estimates::Estimate::is_ejected)
            };
            most_ejected = most_ejected.max(self.candidates.iter().filter(is_ejected).count());
            let choice = self.router.choose(now, &request(&self.candidates, now), &mut rng);
            let choice = choice.expect("targets are there");
            let index = self.candidates.iter().position(|it| it.key == choice.target);
            let index = index.expect("a candidate is chosen");
            let trial = choice.reason.kind == balancer::Kind::Trial;
            self.router.estimates.record_send(choice.target, trial);
            counts[(now.as_micros() / 1_000_000) as usize][index] += 1;
            let took = (self.work)(index, now).unwrap_or(time::Duration::from_millis(1));
            pending.push(cmp::Reverse((now + took, now, index, trial)));
            now = now + GAP;
        }
        Simulated { counts, most_ejected, router: self.router }
    }

    fn finish(&mut self, end: Time, sent: Time, index: usize, trial: bool) {
        let key = self.candidates[index].key;
        let peers = self.candidates.iter().map(|it| it.key);
        if (self.work)(index, sent).is_none() {
            let failure = estimates::Failure::Unreachable;
            self.router.estimates.record_failure(end, key, failure, trial, peers);
            return;
        }
        let link = self.candidates[index].link;
        let sample = estimates::Sample { elapsed: end.since(sent), link, load: None, trial };
        self.router.estimates.record_answer(end, key, &sample, peers);
    }
}

fn simulate(
    policy: policy::Policy,
    toggles: toggles::Toggles,
    targets: usize,
    work: fn(usize, Time) -> Option<time::Duration>,
) -> Simulated {
    let router = balancer::Balancer::new(policy, toggles);
    Simulation { router, candidates: candidates(&vec![100; targets]), seconds: 40, work }.run()
}

/// The first target takes ten times as long from second 10 to second 20.
fn slowed(index: usize, now: Time) -> Option<time::Duration> {
    let slow = index == 0 && (10_000..20_000).contains(&(now.as_micros() / 1_000));
    Some(if slow { 10 * WORK } else { WORK })
}

/// Guards against a slow target that keeps getting requests, and against one that gets none after
/// it has recovered. With round robin, the former happens without ejection, and the latter without
/// trials.
#[test]
fn slowed_target() {
    let off = |ejection, trials| toggles::Toggles { ejection, trials, ..Default::default() };
    let cases = [
        ("least-time", policy::LEAST_TIME, off(true, true)),
        ("two-choices", policy::TWO_CHOICES, off(true, true)),
        ("round-robin", policy::ROUND_ROBIN, off(true, true)),
        ("round-robin, no ejection", policy::ROUND_ROBIN, off(false, true)),
        ("round-robin, no trials", policy::ROUND_ROBIN, off(true, false)),
    ];
    let mut out = format!("requests to the slowed target of 5 in each second, seed {SEED}\n");
    for (name, policy, toggles) in cases {
        let counts = simulate(policy, toggles, 5, slowed).counts;
        let first: Vec<u32> = counts.iter().map(|it| it[0]).collect();
        writeln!(out, "{name:<25} {first:?}").expect("text");
        let (slow, after): (u32, u32) = (first[10..20].iter().sum(), first[35..].iter().sum());
        let avoided = slow <= 8;
        let returned = after >= 50;
        assert_eq!(avoided, toggles.ejection, "{name}: {slow} requests while slowed");
        assert_eq!(returned, toggles.trials, "{name}: {after} requests afterwards");
    }
    insta::assert_snapshot!(out);
}

/// Guards against ejections that leave too few targets when most of them fail at the same time.
/// Without the limit, more than half are ejected.
#[test]
fn ejection_limit() {
    let failing = |index, now: Time| {
        let fails = now.as_micros() > 5_000_000 && index < 4;
        if fails { None } else { Some(WORK) }
    };
    let mut out =
        format!("most targets ejected at once, of those that all but one fail, seed {SEED}\n");
    for ejection_limit in [true, false] {
        for count in 1..=5 {
            let toggles = toggles::Toggles { ejection_limit, ..Default::default() };
            let most = simulate(policy::LEAST_TIME, toggles, count, failing).most_ejected;
            writeln!(out, "limit {ejection_limit}: {most} of {count}").expect("text");
            assert_eq!(most <= count / 2, ejection_limit, "{most} of {count}");
        }
    }
    insta::assert_snapshot!(out);
}

/// Guards against the ejection of a target because of a single request that runs many times longer
/// than the rest.
#[test]
fn single_straggler() {
    let work = |index, now: Time| {
        let long = index == 0 && now == Time::from_millis(10_000);
        Some(if long { 100 * WORK } else { WORK })
    };
    let simulated = simulate(policy::ROUND_ROBIN, toggles::Toggles::default(), 5, work);
    assert_eq!(simulated.most_ejected, 0);
    let key = candidates(&[100; 5])[0].key;
    assert!(simulated.router.estimates.get(key).is_some_and(|it| it.in_flight <= 1));
}

/// Guards against a target in a cold start that gets its full share of requests at once, and
/// against one that gets none.
#[test]
fn cold_start() {
    let mut out = format!("requests to the cold target of 4 in each second, seed {SEED}\n");
    for ramp in [true, false] {
        for policy in policy::ALL {
            let toggles = toggles::Toggles { ramp, ..Default::default() };
            let router = balancer::Balancer::new(*policy, toggles);
            let mut candidates = candidates(&[100; 4]);
            candidates[3].state = targets::State::Starting;
            let simulation =
                Simulation { router, candidates, seconds: 12, work: |_, _| Some(WORK) };
            let cold: Vec<u32> = simulation.run().counts.iter().map(|it| it[3]).collect();
            writeln!(out, "ramp {ramp:<5} {:<12} {cold:?}", policy.name).expect("text");
            let (early, late) = (cold[0] + cold[1], cold[10] + cold[11]);
            assert!(late >= 30, "{}: {late} of 200 when warm", policy.name);
            assert_eq!(early <= 20, ramp, "{}: {early} of 200 at first", policy.name);
        }
    }
    insta::assert_snapshot!(out);
}

/// Guards against sending all requests to one target after a restart of the whole service.
#[test]
fn all_cold() {
    for policy in policy::ALL {
        let router = balancer::Balancer::new(*policy, toggles::Toggles::default());
        let mut candidates = candidates(&[100; 4]);
        candidates.iter_mut().for_each(|it| it.state = targets::State::Starting);
        let simulation = Simulation { router, candidates, seconds: 5, work: |_, _| Some(WORK) };
        let counts = simulation.run().counts;
        let sums: Vec<u32> =
            (0..4).map(|it| counts.iter().map(|second| second[it]).sum()).collect();
        assert!(sums.iter().all(|&it| it >= 90), "{}, seed {SEED}: {sums:?} of 500", policy.name);
    }
}

/// Guards against requests that stay in their data centre although the wait there is longer than
/// the round trip to another one, and against requests that leave it without need.
#[test]
fn spillover() {
    let mut out = String::from("requests in flight at the near target: reason of the selection\n");
    // The round trip to the far target takes 2 ms longer, and a request runs for 5 ms.
    let candidates = candidates(&[100, 1_100]);
    let mut router = balancer::Balancer::new(policy::LEAST_TIME, toggles::Toggles::default());
    for it in &candidates {
        router.estimates.record_send(it.key, false);
        let elapsed = WORK + 2 * it.link;
        let sample = estimates::Sample { elapsed, link: it.link, load: None, trial: false };
        let peers = candidates.iter().map(|it| it.key);
        router.estimates.record_answer(Time::ZERO, it.key, &sample, peers);
    }
    let mut rng = rngs::SmallRng::seed_from_u64(SEED);
    for in_flight in 0..4 {
        let choice = router.choose(Time::ZERO, &request(&candidates, Time::ZERO), &mut rng);
        let reason = choice.expect("targets are there").reason;
        writeln!(out, "{in_flight}: {reason}").expect("text");
        assert_eq!(reason.kind == balancer::Kind::Spillover, in_flight > 0);
        router.estimates.record_send(candidates[0].key, false);
    }
    insta::assert_snapshot!(out);
}

/// Guards against the selection of a target that must not get the request, and against a wrong
/// reason in the log.
#[test]
fn refusals() {
    use targets::State::{Draining, Serving, Starting};
    let cases: [(&str, &[targets::State], usize, u64); 8] = [
        ("no targets", &[], 0, 1_000),
        ("all drain", &[Draining, Draining], 0, 1_000),
        ("one drains", &[Draining, Serving], 0, 1_000),
        ("only one in a cold start", &[Draining, Starting], 0, 1_000),
        ("sent to the first", &[Serving, Serving], 1, 1_000),
        ("sent to all", &[Serving, Serving], 2, 1_000),
        ("too late", &[Serving, Serving], 0, 2),
        ("one too far", &[Serving, Serving], 0, 3),
    ];
    let mut out = String::new();
    for (name, states, tried, left) in cases {
        let mut all = candidates(&[1_000, 2_000]);
        all.truncate(states.len());
        all.iter_mut().zip(states).for_each(|(it, &state)| it.state = state);
        let excluded: Vec<targets::TargetKey> = all.iter().take(tried).map(|it| it.key).collect();
        let mut router = balancer::Balancer::new(policy::DEFAULT, toggles::Toggles::default());
        let request = balancer::Request {
            candidates: &all,
            excluded: &excluded,
            class: requests::Class::Caller,
            idempotent: true,
            deadline: Time::from_millis(left),
            objective: time::Duration::from_millis(left),
            penalty_share: 1.0,
        };
        let mut rng = rngs::SmallRng::seed_from_u64(SEED);
        let text = match router.choose(Time::ZERO, &request, &mut rng) {
            Ok(it) => {
                let index = all.iter().position(|other| other.key == it.target);
                assert!(!excluded.contains(&it.target), "{name}");
                format!("target {index:?}: {}", it.reason)
            }
            Err(refusal) => refusal.to_string(),
        };
        writeln!(out, "{name}: {text}").expect("text");
    }
    insta::assert_snapshot!(out);
}

/// Guards against requests that leave their data centre although they can be answered in time
/// there, and against requests that stay when they cannot.
#[test]
fn near_first() {
    let mut out = String::from(
        "waiting at the near target: far target's share of 100 selections; patience\n",
    );
    // The round trip to the far target takes 2 ms; both have 6 slots and run a request for 60 ms.
    let candidates = candidates(&[100, 1_000]);
    let service_time = time::Duration::from_millis(60);
    for queued in [0, 3, 6, 9, 12, 18, 30] {
        let mut router = balancer::Balancer::new(policy::NEAR_FIRST, toggles::Toggles::default());
        let mut rng = rngs::SmallRng::seed_from_u64(SEED);
        let now = Time::from_millis(1_000);
        let caller_time = service_time;
        let near =
            estimates::Load { busy: 6, queued, service_time, caller_time, ..Default::default() };
        router.estimates.record_load(now, candidates[0].key, near);
        router.estimates.record_load(now, candidates[1].key, estimates::Load { queued: 0, ..near });
        let objective = time::Duration::from_millis(300);
        let request = balancer::Request { objective, ..request(&candidates, now) };
        let choices: Vec<_> = (0..100)
            .map(|_| router.choose(now, &request, &mut rng).expect("targets are there"))
            .collect();
        let far = choices.iter().filter(|it| it.target == candidates[1].key).count();
        writeln!(out, "{queued}: {far}; {:?}", choices[0].max_wait).expect("text");
    }
    insta::assert_snapshot!(out);
}

/// Guards against a node whose next requests and calls follow one that a target has shed, and
/// against a target that gets none for long after that. The targets are equal and idle.
#[test]
fn requests_follow_a_shed_one() {
    let candidates = candidates(&[100, 100, 100]);
    let mut out = String::from("since the shed: share of 100 callers' requests, of 100 calls\n");
    for policy in [policy::NEAR_FIRST, policy::LEAST_TIME, policy::TWO_CHOICES] {
        for since in [0, 100, 500, 1_000, 2_000] {
            let mut router = balancer::Balancer::new(policy, toggles::Toggles::default());
            let mut rng = rngs::SmallRng::seed_from_u64(SEED);
            let now = Time::from_millis(1_000);
            router.estimates.record_shed(now, candidates[0].key);
            let now = now + time::Duration::from_millis(since);
            let mut share = |class| {
                let objective = time::Duration::from_millis(300);
                let request = balancer::Request { class, objective, ..request(&candidates, now) };
                let choices = (0..100).map(|_| router.choose(now, &request, &mut rng));
                let chosen = choices.map(|it| it.expect("targets are there").target);
                chosen.filter(|&it| it == candidates[0].key).count()
            };
            let shares = [share(requests::Class::Caller), share(requests::Class::Internal)];
            writeln!(out, "{}, {since} ms: {}, {}", policy.name, shares[0], shares[1])
                .expect("text");
            assert!(since > 500 || shares == [0, 0], "{out}");
            assert!(since < 2_000 || shares.iter().all(|&it| it > 20), "{out}");
        }
    }
    insta::assert_snapshot!(out);
}

/// Guards against sends to targets whose hosts are unresponsive, also when all of them are, and
/// against a target that gets no request after its host has answered again.
#[test]
fn unresponsive_nodes() {
    let candidates = candidates(&[100, 1_000, 1_000, 1_000]);
    let mut router = balancer::Balancer::new(policy::NEAR_FIRST, toggles::Toggles::default());
    let mut rng = rngs::SmallRng::seed_from_u64(SEED);
    let keys: Vec<_> = candidates.iter().map(|it| it.key).collect();
    let now = Time::from_millis(1_000);
    for &key in &keys[1..] {
        router.estimates.record_send(key, false);
        let failure = estimates::Failure::Silent;
        router.estimates.record_failure(now, key, failure, false, keys.iter().copied());
    }
    for millis in [500, 1_100, 30_000] {
        let later = now + time::Duration::from_millis(millis);
        for _ in 0..50 {
            let choice = router.choose(later, &request(&candidates, later), &mut rng);
            assert_eq!(choice.expect("one is left").target, keys[0]);
        }
        // When the request was sent to the only reachable target, no other one is selected.
        let mut request = request(&candidates, later);
        request.excluded = &keys[..1];
        let choice = router.choose(later, &request, &mut rng);
        assert_eq!(choice, Err(balancer::Error::Silent));
    }
    router.estimates.mark_reachable(keys[1]);
    let later = now + time::Duration::from_millis(30_000);
    let mut request = request(&candidates, later);
    request.excluded = &keys[..1];
    let choice = router.choose(later, &request, &mut rng).expect("a choice");
    assert_eq!((choice.target, choice.reason.kind), (keys[1], balancer::Kind::Single));
}

/// Guards against a partition in which each unresponsive host costs a request before it is noticed,
/// against overlapping probes of one host, and against a host that is not probed again.
#[test]
fn probes_of_a_data_centre() {
    let keys: Vec<_> = candidates(&[1_000; 3]).iter().map(|it| it.key).collect();
    let mut prober = prober::Prober::default();
    let mut out = String::new();
    let mut at = |text: &str, millis, prober: &mut prober::Prober| {
        let now = Time::from_millis(millis);
        let due: Vec<_> =
            prober.take_due(now).iter().map(|it| keys.iter().position(|k| k == it)).collect();
        writeln!(out, "{millis} ms, {text}: probes {due:?}, next {:?}", prober.next_due())
            .expect("text");
    };
    let millis = Time::from_millis;
    at("all hosts answer", 0, &mut prober);
    assert!(prober.mark_unresponsive(millis(10), keys[0], keys[1..].iter().copied()));
    at("one host is silent", 10, &mut prober);
    assert!(
        !prober.mark_unresponsive(millis(20), keys[0], keys[1..].iter().copied()),
        "already known"
    );
    at("silent again", 20, &mut prober);
    assert!(!prober.remove(keys[1]), "it was not silent");
    assert!(prober.record_unanswered(millis(310), keys[2]), "not known before");
    assert!(!prober.record_unanswered(millis(310), keys[0]), "already known");
    at("one has answered", 320, &mut prober);
    at("the others are due again", 610, &mut prober);
    assert!(prober.remove(keys[0]) && prober.remove(keys[2]));
    at("all have answered", 2_000, &mut prober);
    insta::assert_snapshot!(out);
}

/// Returns how many of 100 requests of a class go to each of two targets of another data centre. At
/// the first, half of the slots run internal calls and 15 more wait, so its mean service time is
/// short; the second runs mainly callers' requests.
fn mixed_targets(class: requests::Class) -> Vec<usize> {
    let ms = time::Duration::from_millis;
    let mut all = candidates(&[1_000, 1_000]);
    all.iter_mut().for_each(|it| it.slots = 12);
    let mut router = balancer::Balancer::new(policy::NEAR_FIRST, toggles::Toggles::default());
    let mut rng = rngs::SmallRng::seed_from_u64(SEED);
    let now = Time::from_millis(1_000);
    let common = estimates::Load {
        busy: 12,
        caller_time: ms(250),
        call_time: ms(40),
        ..estimates::Load::default()
    };
    let loaded = estimates::Load { queued: 15, queued_calls: 15, service_time: ms(35), ..common };
    let light = estimates::Load { queued: 6, queued_calls: 1, service_time: ms(140), ..common };
    router.estimates.record_load(now, all[0].key, loaded);
    router.estimates.record_load(now, all[1].key, light);
    let request = balancer::Request { class, ..request(&all, now) };
    let mut counts = vec![0; 2];
    for _ in 0..100 {
        let choice = router.choose(now, &request, &mut rng).expect("targets are there");
        counts[all.iter().position(|it| it.key == choice.target).expect("known")] += 1;
    }
    counts
}

/// Guards against a feedback loop: a target that runs many short internal calls has a short mean
/// service time, so it looks fast and gets still more calls.
#[test]
fn mixed_work() {
    let calls = mixed_targets(requests::Class::Internal);
    let callers = mixed_targets(requests::Class::Caller);
    insta::assert_snapshot!(format!("internal calls {calls:?}, callers' requests {callers:?}"));
    assert!(calls[1] > 90, "{calls:?}");
}

/// Guards against requests that wait for a handshake although a target with an open link can take
/// them, that leave the node's subset without need, and that find no target although one is left.
#[test]
fn unlinked_target_is_chosen() {
    // In the subset: 0 near and linked, 1 near, 2 far and linked; outside of it: 3 near.
    let mut all = candidates(&[100, 100, 1_000, 100]);
    all[1].linked = false;
    all[3].in_subset = false;
    all[3].linked = false;
    let keys: Vec<_> = all.iter().map(|it| it.key).collect();
    type Case = (&'static str, &'static [usize], &'static [usize], &'static [usize]);
    let cases: [Case; 8] = [
        ("all are usable", &[], &[], &[]),
        ("0 excluded", &[0], &[], &[]),
        ("0 and 2 excluded", &[0, 2], &[], &[]),
        ("0 and 2 unresponsive", &[], &[0, 2], &[]),
        ("the subset excluded", &[0, 1, 2], &[], &[]),
        ("the subset unresponsive", &[], &[0, 1, 2], &[]),
        ("0, 1 ejected, 2 unresponsive", &[], &[2], &[0, 1]),
        ("all unresponsive", &[], &[0, 1, 2, 3], &[]),
    ];
    let mut out = String::from("targets of 100 selections; the first reason and longest wait\n");
    for (name, excluded, silent, ejected) in cases {
        let mut router = balancer::Balancer::new(policy::LEAST_TIME, toggles::Toggles::default());
        let mut rng = rngs::SmallRng::seed_from_u64(SEED);
        let now = Time::from_millis(1_000);
        for &it in silent {
            router.estimates.mark_unresponsive(now, keys[it]);
        }
        for &it in ejected {
            for _ in 0..20 {
                router.estimates.record_send(keys[it], false);
                let failure = estimates::Failure::Unreachable;
                let peers = keys.iter().copied();
                router.estimates.record_failure(now, keys[it], failure, false, peers);
            }
        }
        let excluded: Vec<_> = excluded.iter().map(|&it| keys[it]).collect();
        let mut request = request(&all, now);
        request.excluded = &excluded;
        let mut counts = [0; 4];
        let mut first = None;
        for _ in 0..100 {
            let choice = router.choose(now, &request, &mut rng);
            if let Ok(it) = choice {
                counts[keys.iter().position(|key| *key == it.target).expect("known")] += 1;
            }
            first.get_or_insert(choice);
        }
        let text = match first.expect("a selection") {
            Ok(it) => format!("{}; {:?}", it.reason, it.max_wait),
            Err(err) => err.to_string(),
        };
        writeln!(out, "{name}: {counts:?}; {text}").expect("text");
    }
    insta::assert_snapshot!(out);
}
