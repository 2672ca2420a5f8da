//! Tests that each admission rule has its effect, and that the same case fails with its toggle off.

mod support;

use std::fmt::Write as _;

use admission::{limits, work};
use support::{Event, Target, ms};
use world::{requests::Class, time::Time};

const ON: limits::Toggles = limits::Toggles {
    blocked_refusal: true,
    deadlines: true,
    internal_priority: true,
    long_limit: true,
    objectives: true,
    suspect_isolation: true,
    fair_queueing: true,
    ranks: true,
    teams: true,
};

/// Offers three times the capacity, from routes of weight 10, 20 and 50. Returns the finished
/// requests of each route.
fn overload(toggles: limits::Toggles) -> Vec<usize> {
    let mut target = Target::new(6, 24, toggles);
    for _ in 0..6_000 {
        for (route, weight) in [10, 20, 50].into_iter().enumerate() {
            let mut work = target.work(route);
            work.weight = weight;
            work.deadline = target.now + ms(1_000);
            target.offer(work, ms(6));
        }
        target.run_until(target.now + ms(1));
    }
    (0..3).map(|it| target.finished(it)).collect()
}

/// Guards against routes that do not share an overloaded target by weight.
#[test]
fn weight_shares() {
    let on = overload(ON);
    let off = overload(limits::Toggles { fair_queueing: false, ..ON });
    insta::assert_snapshot!(format!("by weight {on:?}, by arrival {off:?}"));
    for (route, share) in [1.0, 2.0, 5.0].into_iter().enumerate() {
        let got = on[route] as f64 / on.iter().sum::<usize>() as f64;
        assert!((got - share / 8.0).abs() < 0.02, "route {route} has a share of {got}");
    }
    let got = off[2] as f64 / off.iter().sum::<usize>() as f64;
    assert!((got - 1.0 / 3.0).abs() < 0.02, "by arrival, the heavy route has a share of {got}");
}

/// Returns how many callers' requests and how many internal calls finish while either could fill
/// the target alone.
fn both_classes(slots: u32, toggles: limits::Toggles) -> (usize, usize) {
    let mut target = Target::new(slots, 4 * slots, toggles);
    for _ in 0..400 {
        for class in [Class::Internal, Class::Caller] {
            for _ in 0..slots {
                let mut work = target.work(usize::from(class == Class::Internal));
                work.class = class;
                target.offer(work, ms(5));
            }
        }
        target.run_until(target.now + ms(5));
    }
    (target.finished(0), target.finished(1))
}

/// Guards against internal calls that starve callers' requests, and against callers' requests that
/// delay the internal calls for which other requests wait.
#[test]
fn internal_share() {
    let mut out = String::new();
    for slots in [1, 2, 6, 8, 12, 64] {
        let (callers, internal) = both_classes(slots, ON);
        let off = both_classes(slots, limits::Toggles { internal_priority: false, ..ON });
        writeln!(out, "{slots} slots: callers {callers}, internal {internal}; off: {off:?}")
            .expect("text");
        let share = callers as f64 / (callers + internal) as f64;
        let most = f64::from(slots.div_ceil(4)) / f64::from(slots);
        assert!(share >= 0.249, "{slots} slots: callers' share is {share}");
        assert!(share <= most + 0.01, "{slots} slots: callers' share is {share}");
        assert!(
            off.1 * 20 < off.0,
            "{slots} slots: internal calls are not starved with the toggle off: {off:?}"
        );
    }
    insta::assert_snapshot!(out);
}

/// Offers callers' requests of 250 ms at 1.3 times the capacity of 12 slots, besides internal calls
/// of 40 ms, which need a third of the slots. Returns how many internal calls end within 150 ms,
/// and how many callers' requests within their objective.
fn internal_under_overload(toggles: limits::Toggles) -> [usize; 2] {
    let mut target = Target::new(12, 48, toggles);
    target.measure(0, ms(250), 20);
    target.measure(1, ms(40), 20);
    for step in 0..2_000_u64 {
        let mut call = target.work(1);
        call.class = Class::Internal;
        call.deadline = target.now + ms(500);
        call.objective = target.now + ms(150);
        target.offer(call, ms(40));
        if step.is_multiple_of(2) {
            let mut work = target.work(0);
            work.deadline = target.now + ms(1_500);
            work.objective = target.now + ms(600);
            target.offer(work, ms(250));
        }
        target.run_until(target.now + ms(10));
    }
    target.run_until(target.now + ms(2_000));
    let in_time =
        |it: &support::Job| it.at(Event::Finish).is_some_and(|at| at <= it.work.objective);
    [Class::Internal, Class::Caller].map(|class| {
        let timed = target.jobs.iter().filter(|it| it.work.objective < Time::MAX);
        timed.filter(|it| it.work.class == class && in_time(it)).count()
    })
}

/// Guards against internal calls that wait behind callers' requests in overload: the requests that
/// make the calls hold slots meanwhile, and are lost if the calls are late.
#[test]
fn internal_calls_under_overload() {
    let on = internal_under_overload(ON);
    let off = internal_under_overload(limits::Toggles { internal_priority: false, ..ON });
    insta::assert_snapshot!(format!("internal, callers in time: {on:?}; without: {off:?}"));
    assert!(on[0] >= 1_980, "{on:?} of 2,000 internal calls");
    assert!(off[0] < on[0] / 2, "{off:?} with the toggle off");
}

/// Guards against callers' requests that hold all slots while they wait for internal calls.
#[test]
fn internal_call_from_running_work() {
    for (toggles, starts) in
        [(ON, true), (limits::Toggles { internal_priority: false, ..ON }, false)]
    {
        let mut target = Target::new(6, 16, toggles);
        let mut call = target.work(1);
        call.class = Class::Internal;
        target.offer(call, ms(1));
        target.run_until(target.now + ms(1));
        for _ in 0..12 {
            target.offer(target.work(0), ms(60_000));
        }
        let decision = target.offer(call, ms(1));
        assert_eq!(matches!(decision, work::Decision::Run(_)), starts, "{decision:?}");
    }
}

/// Fills a target with long requests. Returns the most slots that they hold at once, and the wait
/// in milliseconds of a short request that is offered after them.
fn long_route(slots: u32, toggles: limits::Toggles) -> (u32, Option<u64>) {
    let mut target = Target::new(slots, 32, toggles);
    target.measure(0, ms(5), 40);
    target.measure(1, ms(250), 10);
    target.measure(0, ms(5), 40);
    for _ in 0..2 * slots {
        target.offer(target.work(1), ms(250));
    }
    let offered = target.now;
    target.offer(target.work(0), ms(5));
    target.run_until(target.now + ms(1_000));
    let start = target.jobs.last().and_then(|it| it.at(Event::Start));
    (target.most_slow, start.map(|it| it.since(offered).as_millis() as u64))
}

/// Guards against long requests that hold all slots.
#[test]
fn long_work() {
    for (slots, most) in [(1, 1), (2, 1), (3, 2), (6, 5), (12, 9)] {
        let (held, wait) = long_route(slots, ON);
        assert_eq!(held, most, "{slots} slots");
        let (off, off_wait) = long_route(slots, limits::Toggles { long_limit: false, ..ON });
        assert_eq!(off, slots, "{slots} slots, toggle off");
        if slots > 1 {
            assert_eq!(wait, Some(0), "{slots} slots");
            assert!(off_wait > Some(100), "{slots} slots: {off_wait:?} with the toggle off");
        }
    }
}

/// Guards against long requests that leave short ones fewer slots than they need, and against more
/// than half of the slots being reserved for short requests.
#[test]
fn long_work_beside_much_short_work() {
    for (slots, busy, most) in [(6, 2, 4), (6, 5, 3), (12, 2, 9), (12, 5, 7), (12, 11, 6)] {
        let mut target = Target::new(slots, 64, ON);
        target.measure(1, ms(250), 10);
        for round in 0..3_000 {
            if round == 2_800 {
                (0..2 * slots).for_each(|_| _ = target.offer(target.work(1), ms(5_000)));
            }
            (0..busy).for_each(|_| _ = target.offer(target.work(0), ms(5)));
            target.run_until(target.now + ms(5));
        }
        assert_eq!(target.controller.slow_slots(), most, "{slots} slots, {busy} of them short");
    }
}

/// Guards against short requests that wait for stragglers of a short route, which only their
/// elapsed time reveals, against giving the slots that stragglers leave to long requests, and
/// against the refusal of requests that no other target can take.
#[test]
fn stragglers() {
    for (toggles, refused) in
        [(ON, true), (limits::Toggles { blocked_refusal: false, ..ON }, false)]
    {
        let mut target = Target::new(3, 8, toggles);
        target.measure(0, ms(5), 100);
        for _ in 0..3 {
            target.offer(target.work(0), ms(10_000));
        }
        for movable in [true, false] {
            let mut work = target.work(0);
            work.movable = movable;
            target.offer(work, ms(5));
        }
        let offered = target.now;
        target.run_until(offered + ms(100));
        assert_eq!(target.controller.slow_slots(), 3);
        let [.., movable, unmovable] = &target.jobs[..] else { panic!("two jobs wait") };
        let blocked = Event::Refuse(work::RefusalReason::Blocked);
        let at = movable.at(blocked).map(|it| it.since(offered));
        assert_eq!(at.is_some_and(|it| it <= ms(41)), refused, "{at:?}");
        assert!(unmovable.events.is_empty());
        // With one slot left, a few waiting requests make the expected wait too long for more.
        let stuck = *target.open.keys().next().expect("stragglers run");
        target.cancel(stuck);
        let mut work = target.work(0);
        work.movable = true;
        let decisions = [0; 6].map(|_| target.offer(work, ms(5)));
        let refusal = work::Decision::Refuse(work::RefusalReason::Blocked);
        assert_eq!(decisions.contains(&refusal), refused, "{decisions:?}");
        assert!(!decisions[..2].contains(&refusal), "refused although the wait is short");
    }
}

/// Guards against requests that wait although they can no longer meet their deadline, and against
/// requests that are queued although those ahead take too long.
#[test]
fn deadlines() {
    for (toggles, on) in [(ON, true), (limits::Toggles { deadlines: false, ..ON }, false)] {
        let mut target = Target::new(1, 64, toggles);
        target.measure(0, ms(20), 10);
        target.offer(target.work(0), ms(10_000));
        let offered = target.now;
        let mut work = target.work(0);
        work.deadline = offered + ms(100);
        target.offer(work, ms(20));
        target.run_until(offered + ms(200));
        let refused = target.jobs[11].at(Event::Refuse(work::RefusalReason::Deadline));
        assert_eq!(refused, on.then_some(offered + ms(80)));
        for _ in 0..10 {
            target.offer(target.work(0), ms(20));
        }
        work.deadline = target.now + ms(100);
        let decision = target.offer(work, ms(20));
        let refused = matches!(decision, work::Decision::Refuse(work::RefusalReason::Deadline));
        assert_eq!(refused, on, "{decision:?}");
    }
}

/// Guards against two suspects that run at the same time, and against a suspect that blocks other
/// requests.
#[test]
fn suspects() {
    for (toggles, on) in [(ON, true), (limits::Toggles { suspect_isolation: false, ..ON }, false)] {
        let mut target = Target::new(3, 8, toggles);
        let mut suspect = target.work(0);
        suspect.suspect = true;
        target.offer(suspect, ms(50));
        target.offer(suspect, ms(50));
        target.offer(target.work(0), ms(50));
        target.run_until(target.now + ms(10));
        let starts: Vec<bool> = target.jobs.iter().map(|it| it.has(Event::Start)).collect();
        assert_eq!(starts, [true, !on, true]);
        target.run_until(target.now + ms(200));
        assert_eq!(target.finished(0), 3);
    }
}

/// Guards against measurements that stay with the old key of a route in a new version of the
/// configuration.
#[test]
fn remapped_routes() {
    let mut target = Target::new(4, 8, ON);
    target.measure(0, ms(5), 40);
    target.measure(1, ms(250), 10);
    target.measure(0, ms(5), 40);
    let [a, b] = [target.routes[0], target.routes[1]];
    target.controller.remap_routes(|it| Some(if it == a { b } else { a }));
    for _ in 0..4 {
        target.offer(target.work(0), ms(250));
    }
    assert_eq!(target.controller.load(target.now).in_flight, 3, "the long route is not recognized");
}

/// Offers requests of 90 to 270 ms with an objective of 500 ms, at 1.5 times the capacity of 12
/// slots. Returns the numbers of answers within the objective, of late answers, and of refusals.
fn demand_spike(toggles: limits::Toggles) -> [usize; 3] {
    let mut target = Target::new(12, 24, toggles);
    target.measure(0, ms(150), 20);
    for step in 0..1_500_u64 {
        let mut work = target.work(0);
        work.deadline = target.now + ms(1_200);
        work.objective = target.now + ms(500);
        // A third of the requests run three times as long as the rest.
        let service = if step.is_multiple_of(3) { 270 } else { 90 };
        target.offer(work, ms(service));
        target.run_until(target.now + ms(8));
    }
    target.run_until(target.now + ms(2_000));
    let in_time =
        |it: &&support::Job| it.at(Event::Finish).is_some_and(|at| at <= it.work.objective);
    let timed: Vec<_> = target.jobs.iter().filter(|it| it.work.objective < Time::MAX).collect();
    let finished = timed.iter().filter(|it| it.has(Event::Finish)).count();
    let in_time = timed.iter().copied().filter(|it| in_time(it)).count();
    [in_time, finished - in_time, timed.len() - finished]
}

/// Guards against a queue that makes all requests late while demand exceeds the capacity.
#[test]
fn objectives() {
    let on = demand_spike(ON);
    let off = demand_spike(limits::Toggles { objectives: false, ..ON });
    insta::assert_snapshot!(format!("in time, late, refused: {on:?}; without: {off:?}"));
    assert!(on[0] > off[0] && on[1] < off[1], "{on:?}, without {off:?}");
}

/// Guards against requests that wait for longer than their sender accepts although another target
/// could take them.
#[test]
fn max_wait() {
    let mut out = String::new();
    for (max_wait, movable) in [(5, true), (40, true), (400, true), (5, false)] {
        let mut target = Target::new(2, 24, ON);
        target.measure(0, ms(60), 20);
        let mut work = target.work(0);
        work.movable = movable;
        work.max_wait = Some(ms(max_wait));
        let decisions: Vec<_> = (0..6)
            .map(|_| match target.offer(work, ms(60)) {
                work::Decision::Run(_) => "run",
                work::Decision::Wait(_) => "wait",
                work::Decision::Refuse(_) => "refuse",
            })
            .collect();
        out += &format!("patience {max_wait} ms, movable {movable}: {decisions:?}\n");
    }
    insta::assert_snapshot!(out);
}
