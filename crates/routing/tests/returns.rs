//! When refused callers return to a service in a demand peak.

use std::{collections::BTreeMap, fmt::Write as _, time};

use rand::{Rng as _, SeedableRng as _, rngs, seq::SliceRandom as _};
use routing::returns;
use world::time::Time;

const NODES: usize = 65;
const SLOTS: usize = 96;
/// Mean time that a request runs.
const RUN_MS: u64 = 160;
/// Waiting requests beyond which a request is refused: the wait is 0.15 of an objective of 500 ms.
const QUEUE: usize = 45;
const PEAK_MS: std::ops::Range<u64> = 2_000..5_000;
const END_MS: u64 = 9_000;
/// When the load after the peak must be served at once.
const CALM_MS: u64 = 6_000;
/// Ranks, time limits and objectives of the requests in the two meshes of docs/design/demand.md.
const LIMITS_MS: [(usize, u64, u64); 6] = [
    (0, 800, 250),
    (1, 1_200, 500),
    (1, 1_500, 600),
    (1, 3_000, 1_200),
    (2, 2_500, 1_000),
    (2, 5_000, 4_000),
];

/// How callers are asked to return.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Rule {
    /// After the shortest wait that a target reported, within 10 to 200 ms.
    Clamped,
    Ledger,
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    rank: usize,
    deadline: u64,
    objective: u64,
    returned: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    fresh: u32,
    returns: u32,
    refused_again: u32,
    served: u32,
    /// Those of the served that met their objective.
    on_time: u32,
    /// Requests that came for the first time in the calm after the peak and were refused.
    refused_late: u32,
}

struct Service {
    rule: Rule,
    ledgers: Vec<returns::Ledger>,
    rng: rngs::SmallRng,
    /// The ends of the running requests.
    running: BTreeMap<(u64, u64), Caller>,
    waiting: std::collections::VecDeque<Caller>,
    due: BTreeMap<(u64, u64), Caller>,
    next: u64,
    counts: Counts,
    pauses: [Vec<u64>; 3],
}

impl Service {
    fn new(rule: Rule) -> Service {
        Service {
            rule,
            ledgers: vec![returns::Ledger::default(); NODES],
            rng: rngs::SmallRng::seed_from_u64(53),
            running: BTreeMap::new(),
            waiting: Default::default(),
            due: BTreeMap::new(),
            next: 0,
            counts: Counts::default(),
            pauses: Default::default(),
        }
    }

    /// Plays a millisecond, with a number of new callers that is `demand` times the capacity.
    fn step(&mut self, at: u64, demand: f64) {
        while let Some(it) = self.running.first_entry().filter(|it| it.key().0 <= at) {
            let caller = it.remove();
            self.counts.served += u32::from(caller.deadline >= at);
            self.counts.on_time += u32::from(caller.objective >= at);
        }
        while self.running.len() < SLOTS
            && let Some(it) = self.waiting.pop_front()
        {
            self.start(at, it);
        }
        let mut callers = Vec::new();
        while let Some(it) = self.due.first_entry().filter(|it| it.key().0 <= at) {
            callers.push(it.remove());
            self.counts.returns += 1;
        }
        let mut expected = demand * SLOTS as f64 / RUN_MS as f64;
        while self.rng.random::<f64>() < expected {
            expected -= 1.0;
            let (rank, limit, objective) = LIMITS_MS[self.rng.random_range(0..LIMITS_MS.len())];
            let (deadline, objective) = (at + limit, at + objective);
            self.counts.fresh += 1;
            callers.push(Caller { rank, deadline, objective, returned: false });
        }
        callers.shuffle(&mut self.rng);
        for it in callers {
            self.offer(at, it);
        }
    }

    fn start(&mut self, at: u64, caller: Caller) {
        let run = self.rng.random_range(RUN_MS / 2..RUN_MS * 3 / 2);
        self.next += 1;
        self.running.insert((at + run, self.next), caller);
    }

    /// A caller sends its request to a node.
    fn offer(&mut self, at: u64, caller: Caller) {
        let now = Time::from_millis(at);
        let node = self.rng.random_range(0..NODES);
        let half_free = self.running.len() * 2 <= SLOTS;
        self.ledgers[node].record_offered(now);
        if self.running.len() < SLOTS {
            self.start(at, caller);
        } else if self.waiting.len() < QUEUE {
            self.waiting.push_back(caller);
        } else {
            return self.refuse(at, node, caller);
        }
        self.ledgers[node].record_admitted(now);
        if half_free {
            self.ledgers[node].record_room(now);
        }
    }

    fn refuse(&mut self, at: u64, node: usize, caller: Caller) {
        if caller.returned {
            self.counts.refused_again += 1;
            return;
        }
        self.counts.refused_late += u32::from(at >= CALM_MS);
        let left = time::Duration::from_millis(caller.deadline - at);
        let wait = time::Duration::from_millis(RUN_MS) * (self.waiting.len() as u32 + 1);
        let wait = wait / SLOTS as u32;
        let pause = match self.rule {
            Rule::Clamped => {
                wait.clamp(time::Duration::from_millis(10), time::Duration::from_millis(200))
            }
            Rule::Ledger => {
                let (rank, run) = (caller.rank as u32, time::Duration::from_millis(RUN_MS));
                let objective = time::Duration::from_millis(caller.objective - at);
                let refused = returns::Refused { rank, left, objective, run, wait };
                let ledger = &mut self.ledgers[node];
                ledger.promise(Time::from_millis(at), &refused, &mut self.rng).pause
            }
        };
        let pause = pause.min(left / 3).as_millis() as u64;
        self.pauses[caller.rank].push(pause);
        self.next += 1;
        self.due.insert((at + pause, self.next), Caller { returned: true, ..caller });
    }
}

/// Guards against refused callers that return to a service that is still full, and against a peak
/// that lasts longer because of them. Demand is 1.7 times the capacity for 3 s.
#[test]
fn returns_are_refused_again() {
    let mut out = String::new();
    for after in [0.3, 0.6] {
        let mut all = Vec::new();
        for rule in [Rule::Clamped, Rule::Ledger] {
            let mut service = Service::new(rule);
            for at in 0..END_MS {
                let demand = if PEAK_MS.contains(&at) { 1.7 } else { after };
                service.step(at, demand);
            }
            let mean = |it: &Vec<u64>| it.iter().sum::<u64>() / it.len().max(1) as u64;
            let pauses = service.pauses.each_ref().map(mean);
            writeln!(
                out,
                "{after} after the peak, {rule:?}: {:?}, mean pauses {pauses:?} ms",
                service.counts
            )
            .expect("text");
            all.push(service.counts);
        }
        let share = |it: &Counts| it.refused_again as f32 / it.returns as f32;
        assert!(share(&all[1]) < 0.85 * share(&all[0]), "{out}");
        assert!(all[1].refused_again * 5 <= all[0].refused_again * 4, "{out}");
        assert!(all[1].served >= all[0].served, "{out}");
        assert!(all[1].on_time >= all[0].on_time, "{out}");
        assert_eq!(all[1].refused_late, 0, "{out}");
    }
    insta::assert_snapshot!(out);
}

/// A service and the callers that it refuses.
struct Case {
    name: &'static str,
    /// The requests and the admissions of the last second, and its earlier refusals.
    load: (u32, u32, u32),
    /// Whether a target has reported free slots.
    room: bool,
    ranks: &'static [u32],
}

/// Guards against promises that are no use to the caller, against urgent callers behind less urgent
/// ones, and against long pauses at a service that refuses few requests or has room again. Callers
/// have 2.4 s left.
#[test]
fn a_promise_is_of_no_use() {
    let now = Time::from_millis(10_000);
    let ms = time::Duration::from_millis;
    let (quiet, full) = ((40, 36, 0), (40, 20, 20));
    let cases = [
        Case { name: "one refusal", load: quiet, room: false, ranks: &[1] },
        Case { name: "a burst", load: quiet, room: false, ranks: &[2, 2, 2, 0, 1] },
        Case { name: "overload", load: full, room: false, ranks: &[2, 0] },
        Case { name: "room again", load: full, room: true, ranks: &[1, 1] },
        Case { name: "no admissions", load: (1, 0, 0), room: false, ranks: &[1] },
    ];
    let mut out = String::new();
    for case in cases {
        let (offered, admitted, refusals) = case.load;
        let mut ledger = returns::Ledger::default();
        let mut rng = rngs::SmallRng::seed_from_u64(53);
        let at = |index: u32, count: u32| now + ms(1_000) * index / count;
        (0..offered).for_each(|it| ledger.record_offered(at(it, offered)));
        (0..admitted).for_each(|it| ledger.record_admitted(at(it, admitted)));
        let refused = |rank| returns::Refused {
            rank,
            left: ms(2_400),
            objective: ms(1_000),
            run: ms(200),
            wait: ms(40),
        };
        let early = returns::Refused { left: ms(150), ..refused(3) };
        for it in 0..refusals {
            ledger.promise(at(it, refusals), &early, &mut rng);
        }
        let now = now + ms(1_000);
        if case.room {
            ledger.record_room(now);
        }
        writeln!(out, "{}", case.name).expect("text");
        for &rank in case.ranks {
            let promise = ledger.promise(now, &refused(rank), &mut rng);
            assert!(promise.pause <= ms(2_400) / 3 && promise.pause >= returns::MIN_PAUSE);
            assert!(rank > 0 || promise.ahead == 0, "{promise:?}");
            writeln!(out, "  rank {rank}: {promise:?}").expect("text");
        }
    }
    insta::assert_snapshot!(out);
}
