//! Backend servers that shed requests although their node counts free slots.

use std::{collections, fmt::Write as _, time};

use admission::{controller, limits, work};
use world::{contracts, requests, time::Time};

const SLOTS: u32 = 6;
const SERVICE_MS: u64 = 76;
/// A request is offered each so many milliseconds.
const INTERVAL_MS: u64 = 20;
/// The server sheds between these times, in milliseconds.
const SHEDS_FROM_MS: u64 = 2_000;
const SHEDS_UNTIL_MS: u64 = 6_000;
const END_MS: u64 = 8_000;

/// What came of the requests of a run.
#[derive(Debug, Default)]
struct Outcome {
    answered: usize,
    shed: usize,
    refused: usize,
    /// Time from the end of the shedding to the next answer, in milliseconds.
    back_ms: Option<u64>,
}

/// Plays a server that takes `taken` requests at the same time while it sheds, and all otherwise.
fn play(taken: usize, shed_limit: bool) -> Outcome {
    let limits = limits::Limits { slots: SLOTS, queue: 24 };
    let toggles = limits::Toggles { shed_limit, ..limits::Toggles::default() };
    let mut controller = controller::Controller::new(limits, None, toggles);
    let mut running = collections::BTreeMap::new();
    let mut outcome = Outcome::default();
    for now_ms in 0..END_MS {
        let now = Time::from_millis(now_ms);
        let mut effects = controller.tick(now);
        let done: Vec<_> =
            running.extract_if(.., |it: &(u64, work::RequestKey), _| it.0 <= now_ms).collect();
        for ((_, key), ()) in done {
            effects.extend(controller.finish(now, key, work::Outcome::Answered));
            outcome.answered += 1;
            if now_ms >= SHEDS_UNTIL_MS && outcome.back_ms.is_none() {
                outcome.back_ms = Some(now_ms - SHEDS_UNTIL_MS);
            }
        }
        if now_ms % INTERVAL_MS == 0 {
            let offered = controller.offer(now, work(now));
            effects.extend(offered.effects);
            match offered.decision {
                work::Decision::Run(key) => effects.push(work::Effect::Start(key)),
                work::Decision::Wait(_) => {}
                work::Decision::Refuse(_) => outcome.refused += 1,
            }
        }
        let mut effects = collections::VecDeque::from(effects);
        while let Some(effect) = effects.pop_front() {
            match effect {
                work::Effect::Refuse(..) => outcome.refused += 1,
                work::Effect::Start(key) => {
                    let sheds = (SHEDS_FROM_MS..SHEDS_UNTIL_MS).contains(&now_ms);
                    if sheds && running.len() >= taken {
                        outcome.shed += 1;
                        effects.extend(controller.finish(now, key, work::Outcome::Shed));
                    } else {
                        running.insert((now_ms + SERVICE_MS, key), ());
                    }
                }
            }
        }
    }
    outcome
}

fn work(now: Time) -> work::Work {
    work::Work {
        route: contracts::RouteKey::default(),
        weight: 1,
        class: requests::Class::Caller,
        deadline: now + time::Duration::from_millis(800),
        objective: now + time::Duration::from_millis(300),
        max_wait: None,
        movable: true,
        suspect: false,
    }
}

/// Guards against a server that sheds everything and looks free: each request that it sheds costs
/// the sender an attempt. Guards also against a server that takes a part of the requests and gets
/// fewer of them than it takes, and one that gets none for long after it has recovered.
#[test]
fn a_server_that_sheds_looks_free() {
    let mut out = String::new();
    for taken in [0, 1, 3] {
        let (without, with) = (play(taken, false), play(taken, true));
        for (name, it) in [("without", &without), ("with", &with)] {
            writeln!(out, "takes {taken}, {name} the limit: {it:?}").expect("text");
        }
        // A server that sheds less than three requests in a row is left alone.
        let factor = if taken < 2 { 4 } else { 1 };
        assert!(with.shed * factor <= without.shed, "{with:?}");
        assert!(with.answered * 10 >= without.answered * 9, "{with:?}");
        assert!(with.back_ms.is_some_and(|it| it <= 300), "{with:?}");
    }
    insta::assert_snapshot!(out);
}
