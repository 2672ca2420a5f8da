//! Targets whose backend servers shed requests that their nodes have given slots to.

use std::{collections::BTreeMap, fmt::Write as _};

use admission::{controller, limits, work};
use rand::{Rng as _, SeedableRng as _, rngs};
use world::{contracts, requests::Class, time::Time};

const SLOTS: u32 = 12;
/// Requests run for 100 ms, and are shed after 2 ms.
const RUN_MS: u64 = 100;
const SHED_MS: u64 = 2;

/// Which requests the backend server sheds.
#[derive(Clone, Copy, Debug)]
enum Sheds {
    /// Those that come while this many run; all slots are real again after 6 s.
    Beyond(usize),
    /// This share of all, in percent.
    Random(u32),
}

/// What happened in two seconds.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    answered: u32,
    shed: u32,
    refused: u32,
    /// The slots that looked free to other nodes at the end.
    free: u32,
}

/// A target whose backend server sheds, and how its node is told about it.
struct Target {
    controller: controller::Controller,
    sheds: Sheds,
    outcome: work::Outcome,
    ends: BTreeMap<(Time, work::RequestKey), work::Outcome>,
    rng: rngs::SmallRng,
}

impl Target {
    fn start(&mut self, now: Time, key: work::RequestKey) {
        let running = self.ends.values().filter(|&&it| it == work::Outcome::Answered).count();
        let shed = match self.sheds {
            Sheds::Beyond(slots) => running >= slots && now < Time::from_millis(6_000),
            Sheds::Random(percent) => self.rng.random_range(0..100) < percent,
        };
        let (millis, outcome) =
            if shed { (SHED_MS, self.outcome) } else { (RUN_MS, work::Outcome::Answered) };
        self.ends.insert((now + std::time::Duration::from_millis(millis), key), outcome);
    }

    fn perform(&mut self, now: Time, effects: Vec<work::Effect>, counts: &mut Counts) {
        for effect in effects {
            match effect {
                work::Effect::Start(key) => self.start(now, key),
                work::Effect::Refuse(..) => counts.refused += 1,
            }
        }
    }

    /// Plays a millisecond, with a request at a chance of `percent`.
    fn step(&mut self, now: Time, percent: u32, counts: &mut Counts) {
        while let Some((&(at, key), &outcome)) = self.ends.first_key_value()
            && at <= now
        {
            self.ends.remove(&(at, key));
            match outcome {
                work::Outcome::Answered => counts.answered += 1,
                _ => counts.shed += 1,
            }
            let effects = self.controller.finish(now, key, outcome);
            self.perform(now, effects, counts);
        }
        let effects = self.controller.tick(now);
        self.perform(now, effects, counts);
        if self.rng.random_range(0..100) < percent {
            let offered = self.controller.offer(now, request(now));
            match offered.decision {
                work::Decision::Run(key) => self.start(now, key),
                work::Decision::Wait(_) => {}
                work::Decision::Refuse(_) => counts.refused += 1,
            }
            self.perform(now, offered.effects, counts);
        }
        let load = self.controller.load(now);
        counts.free = load.slots.saturating_sub(load.in_flight + load.queued);
    }
}

fn request(now: Time) -> work::Work {
    work::Work {
        route: contracts::RouteKey::default(),
        team: contracts::TeamKey::default(),
        rank: 0,
        weight: 10,
        class: Class::Caller,
        deadline: now + std::time::Duration::from_millis(1_500),
        objective: now + std::time::Duration::from_millis(600),
        max_wait: None,
        movable: true,
        suspect: false,
    }
}

/// Guards against a node that goes on to give slots which its backend server does not have, so that
/// a large part of the arrivals is shed, and against one that takes slots from a server that sheds
/// at random, or for good. The node is told that the requests failed, as before, or were shed.
#[test]
fn a_full_server_gets_requests() {
    let mut out = String::new();
    // 8 real slots serve 80 requests a second, and 12 serve 120.
    let cases = [
        (Sheds::Beyond(8), 10),
        (Sheds::Beyond(8), 6),
        (Sheds::Beyond(3), 10),
        (Sheds::Random(18), 6),
        (Sheds::Random(18), 12),
    ];
    for (sheds, percent) in cases {
        let mut answered = [0, 0];
        for outcome in [work::Outcome::Failed, work::Outcome::Shed] {
            writeln!(out, "{sheds:?}, {} a second, told {outcome:?}", percent * 10).expect("text");
            let limits = limits::Limits { slots: SLOTS, queue: 24 };
            let controller = controller::Controller::new(limits, None, limits::Toggles::default());
            let rng = rngs::SmallRng::seed_from_u64(17_268);
            let mut target = Target { controller, sheds, outcome, ends: BTreeMap::new(), rng };
            for part in 0..5 {
                let mut counts = Counts::default();
                for at in part * 2_000..(part + 1) * 2_000 {
                    target.step(Time::from_millis(at), percent, &mut counts);
                }
                answered[usize::from(outcome == work::Outcome::Shed)] += counts.answered;
                writeln!(out, "  {counts:?}").expect("text");
                if outcome == work::Outcome::Shed && matches!(sheds, Sheds::Beyond(_)) {
                    assert!(counts.shed * 10 <= counts.answered, "{out}");
                }
            }
        }
        assert!(answered[1] >= answered[0] * 19 / 20, "{sheds:?}: {answered:?}");
    }
    insta::assert_snapshot!(out);
}
