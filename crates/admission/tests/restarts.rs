//! A backend server that is lost, returns or is replaced by another process while requests run and
//! wait.

mod support;

use std::fmt::Write as _;

use admission::{limits, work};
use support::{Event, Target, ms};

const LIMITS: limits::Limits = limits::Limits { slots: 2, queue: 8 };

/// Two running requests of 50 ms and two waiting ones.
fn busy() -> (Target, Vec<work::RequestKey>) {
    let mut target = Target::new(LIMITS.slots, LIMITS.queue, limits::Toggles::default());
    target.measure(0, ms(50), 32);
    target.jobs.clear();
    let keys = (0..4).map(|_| match target.offer(target.work(0), ms(50)) {
        work::Decision::Run(key) | work::Decision::Wait(key) => key,
        work::Decision::Refuse(reason) => panic!("refused: {reason:?}"),
    });
    let keys = keys.collect();
    (target, keys)
}

/// What happened to each request, in the order of the offers.
fn outcomes(target: &Target) -> String {
    let job = |it: &support::Job| {
        it.events.iter().map(|it| format!("{:?}", it.1)).collect::<Vec<_>>().join(" then ")
    };
    target.jobs.iter().map(job).collect::<Vec<_>>().join(", ")
}

/// Guards against a request that is removed, or loses its slot, when one of the former process ends:
/// both have got the same key.
#[test]
fn an_earlier_request_ends_a_later_one() {
    let (mut target, earlier) = busy();
    let effects = target.controller.restart(target.now, LIMITS, None);
    target.perform(effects);
    target.forget_running();
    for _ in 0..4 {
        target.offer(target.work(0), ms(50));
    }
    for &key in &earlier {
        let effects = target.controller.finish(target.now, key, work::Outcome::Answered);
        target.perform(effects);
        let effects = target.controller.cancel(target.now, key);
        target.perform(effects);
    }
    let load = target.controller.load(target.now);
    assert_eq!((load.in_flight, load.queued), (2, 2));
    target.run_until(target.now + ms(200));
    assert!(target.open.is_empty() && target.controller.is_idle());
    insta::assert_snapshot!(outcomes(&target).replace(", ", "\n"));
}

/// Guards against a waiting request that ends without a verdict when a slot is given back with its
/// key.
#[test]
fn a_waiting_request_ends_without_a_verdict() {
    let (mut target, keys) = busy();
    let effects = target.controller.finish(target.now, keys[3], work::Outcome::Answered);
    assert!(effects.is_empty());
    assert_eq!(target.controller.waiting(), 2);
    target.run_until(target.now + ms(200));
    assert!(target.jobs.iter().all(|it| it.has(Event::Finish)), "{}", outcomes(&target));
}

/// Guards against a target that returns after a loss or a drain and runs more requests than it has
/// slots, and against waiting requests that get no verdict at the loss.
#[test]
fn a_target_that_returns_exceeds_its_slots() {
    let mut out = String::new();
    for pause in ["lost", "draining"] {
        let (mut target, _) = busy();
        let effects = match pause {
            "lost" => target.controller.close(target.now),
            _ => target.controller.drain(target.now),
        };
        target.perform(effects);
        target.offer(target.work(0), ms(50));
        target.run_until(target.now + ms(10));
        let effects = target.controller.resume(target.now, LIMITS);
        target.perform(effects);
        for _ in 0..2 {
            target.offer(target.work(0), ms(50));
        }
        // The simulated target panics when it gets more than its slots.
        target.run_until(target.now + ms(200));
        assert!(target.open.is_empty() && target.controller.is_idle());
        writeln!(out, "{pause}: {}", outcomes(&target)).expect("text");
    }
    insta::assert_snapshot!(out);
}

/// Guards against requests that are taken before a backend server has announced itself.
#[test]
fn a_closed_controller_takes_requests() {
    let mut target = Target::new(LIMITS.slots, LIMITS.queue, limits::Toggles::default());
    target.controller = admission::controller::Controller::closed(limits::Toggles::default());
    let refused = work::Decision::Refuse(work::RefusalReason::Absent);
    assert_eq!(target.offer(target.work(0), ms(50)), refused);
    let effects = target.controller.drain(target.now);
    target.perform(effects);
    assert_eq!(target.offer(target.work(0), ms(50)), refused);
    let effects = target.controller.restart(target.now, LIMITS, None);
    target.perform(effects);
    assert!(matches!(target.offer(target.work(0), ms(50)), work::Decision::Run(_)));
}
