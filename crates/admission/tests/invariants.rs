//! Invariants for any order of events, tested with random runs whose seeds are printed.

mod support;

use std::fmt::Write as _;

use admission::{controller, limits, work};
use rand::{Rng as _, SeedableRng as _, rngs};
use slotmap::SlotMap;
use support::{Event, Target, ms};
use world::{contracts, requests::Class};

const OPERATIONS: usize = 20_000;

/// Guards against slots that are assigned twice or lost, requests that end twice or never, refused
/// requests that were started, a queue beyond its limit, and two suspects that run at the same
/// time.
#[test]
fn random_runs() {
    let mut out = String::new();
    for seed in [1, 2, 3] {
        let target = random_run(seed, false);
        let count = |test: &dyn Fn(&Event) -> bool| {
            target.jobs.iter().filter(|it| it.events.iter().any(|it| test(&it.1))).count()
        };
        writeln!(
            out,
            "seed {seed}: {} offered, {} finished, {} cancelled, {} refused",
            target.jobs.len(),
            count(&|it| *it == Event::Finish),
            count(&|it| *it == Event::Cancel),
            count(&|it| matches!(it, Event::Refuse(_))),
        )
        .expect("text");
    }
    insta::assert_snapshot!(out);
}

/// Guards against the same faults when the requests are of many teams and ranks.
#[test]
fn random_runs_of_teams() {
    for seed in [4, 5, 6] {
        let target = random_run(seed, true);
        assert!(target.controller.kept_flows() <= 2 * 64, "idle flows are kept");
    }
}

fn random_run(seed: u64, mixed: bool) -> Target {
    #[expect(clippy::print_stdout, reason = "the seed is needed to repeat a failed run")]
    {
        println!("seed {seed}");
    }
    let mut rng = rngs::StdRng::seed_from_u64(seed);
    let mut target = Target::new(6, 16, limits::Toggles::default());
    let mut arena: SlotMap<contracts::TeamKey, ()> = SlotMap::with_key();
    let teams: Vec<_> = (0..20).map(|_| arena.insert(())).collect();
    for _ in 0..OPERATIONS {
        step(&mut target, &mut rng, &teams, mixed);
        check(&target);
    }
    let effects = target.controller.drain(target.now);
    target.perform(effects);
    target.run_until(target.now + ms(60_000));
    assert!(
        target.open.is_empty() && target.controller.is_idle(),
        "seed {seed}: requests were lost"
    );
    for job in &target.jobs {
        let kinds: Vec<Event> = job.events.iter().map(|it| it.1).collect();
        let once = matches!(
            kinds[..],
            [Event::Start, Event::Finish | Event::Cancel] | [Event::Refuse(_) | Event::Cancel]
        );
        assert!(once, "seed {seed}: {kinds:?}");
        for &(at, event) in &job.events {
            let late = matches!(event, Event::Refuse(_) | Event::Start) && at > job.work.deadline;
            assert!(!late, "seed {seed}: {event:?} after the deadline");
        }
    }
    target
}

fn step(target: &mut Target, rng: &mut rngs::StdRng, teams: &[contracts::TeamKey], mixed: bool) {
    match rng.random_range(0..100) {
        0..60 => {
            let mut work = target.work(rng.random_range(0..8));
            work.weight = rng.random_range(1..=100);
            work.class = if rng.random_bool(0.3) { Class::Internal } else { Class::Caller };
            work.deadline = target.now + ms(rng.random_range(1..400));
            work.movable = rng.random();
            work.suspect = rng.random_bool(0.1);
            if mixed {
                work.team = teams[rng.random_range(0..teams.len())];
                work.rank = rng.random_range(0..10);
            }
            let long = if rng.random_bool(0.02) { 50 } else { 1 };
            target.offer(work, ms(rng.random_range(1..20) * long));
        }
        60..65 if !target.open.is_empty() => {
            let index = rng.random_range(0..target.open.len());
            let key = *target.open.keys().nth(index).expect("in range");
            target.cancel(key);
        }
        65..66 => {
            target.slots = rng.random_range(1..=12);
            let limits = limits::Limits { slots: target.slots, queue: rng.random_range(0..=16) };
            let effects = target.controller.set_limits(target.now, limits);
            target.perform(effects);
        }
        _ => target.run_until(target.now + ms(rng.random_range(0..12))),
    }
}

fn check(target: &Target) {
    let running: Vec<_> = target.open.values().map(|&it| &target.jobs[it]).collect();
    let (running, waiting): (Vec<_>, Vec<_>) =
        running.into_iter().partition(|it| it.has(Event::Start));
    let load = target.controller.load(target.now);
    assert_eq!(load.in_flight as usize, running.len());
    assert_eq!(load.queued as usize, waiting.len());
    assert!(waiting.len() <= 16, "the queue exceeds its limit");
    assert!(
        running.iter().filter(|it| it.work.suspect).count() <= 1,
        "two suspects run at the same time"
    );
}

/// Guards against a drain that stops running requests or starts waiting ones, and against a
/// cancelled request that keeps its slot.
#[test]
fn drain_and_cancel() {
    let mut target = Target::new(1, 4, limits::Toggles::default());
    let work::Decision::Run(first) = target.offer(target.work(0), ms(50)) else {
        panic!("the slot is free");
    };
    target.offer(target.work(0), ms(50));
    target.offer(target.work(0), ms(50));
    target.cancel(first);
    assert!(target.jobs[1].has(Event::Start), "a cancelled request keeps its slot");
    assert!(target.controller.finish(target.now, first, work::Outcome::Answered).is_empty());
    let effects = target.controller.drain(target.now);
    target.perform(effects);
    target.offer(target.work(0), ms(50));
    target.run_until(target.now + ms(50));
    let ends: Vec<Event> = target.jobs.iter().map(|it| it.events[it.events.len() - 1].1).collect();
    let refused = Event::Refuse(work::RefusalReason::Draining);
    assert_eq!(ends, [Event::Cancel, Event::Finish, refused, refused]);
    assert!(target.controller.is_idle());
}

/// Guards against using all slots of a backend server that has just started at once, and against
/// requests that stay in the queue when another slot becomes usable.
#[test]
fn cold_start() {
    let mut target = Target::new(5, 16, limits::Toggles::default());
    let ramp = limits::Ramp { since: target.now, duration: ms(10_000) };
    let limits = limits::Limits { slots: 5, queue: 16 };
    target.controller = controller::Controller::new(limits, Some(ramp), limits::Toggles::default());
    for _ in 0..8 {
        target.offer(target.work(0), ms(60_000));
    }
    target.run_until(target.now + ms(12_000));
    let starts: Vec<u64> = target
        .jobs
        .iter()
        .filter_map(|it| it.at(Event::Start))
        .map(|it| it.as_micros() / 1_000)
        .collect();
    assert_eq!(starts, [0, 4_000, 6_000, 8_000, 10_000]);
}
