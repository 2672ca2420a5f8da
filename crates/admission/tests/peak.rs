//! A demand peak of two services: the requests of one call the other, which has more urgent requests
//! of its own.

mod support;

use std::{collections, fmt::Write as _, time::Duration};

use admission::{callees, controller, limits, work};
use rand::{Rng as _, SeedableRng as _, rngs};
use slotmap::SlotMap;
use support::ms;
use world::{contracts, requests::Class, time::Time};

const SLOTS: u32 = 12;
const MENU_TARGETS: usize = 4;
const ORDER_TARGETS: usize = 3;
const SECONDS: u64 = 30;

/// What a request is.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    Menu,
    Order,
    /// A call to the service of orders, with the index of the menu that makes it.
    Call(usize),
}

#[derive(Debug)]
struct Request {
    kind: Kind,
    work: work::Work,
    at: usize,
    tried: Vec<usize>,
    end: Option<(Time, bool)>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    Arrive(Kind),
    /// The backend server is done with a request, except for its call.
    Done(usize),
}

/// Two services with the rules on ranks, or without.
struct Mesh {
    now: Time,
    ranks: bool,
    controllers: Vec<controller::Controller>,
    callees: Vec<callees::Callees>,
    keys: Vec<collections::HashMap<work::RequestKey, usize>>,
    requests: Vec<Request>,
    events: collections::BTreeMap<(Time, usize), Event>,
    routes: Vec<contracts::RouteKey>,
    rng: rngs::StdRng,
    count: usize,
}

impl Mesh {
    fn new(ranks: bool, seed: u64) -> Mesh {
        let mut arena: SlotMap<contracts::RouteKey, ()> = SlotMap::with_key();
        let toggles = limits::Toggles { ranks, ..limits::Toggles::default() };
        let limits = limits::Limits { slots: SLOTS, queue: 48 };
        let targets = MENU_TARGETS + ORDER_TARGETS;
        let (events, requests) = Default::default();
        Mesh {
            now: Time::ZERO,
            ranks,
            controllers: (0..targets)
                .map(|_| controller::Controller::new(limits, None, toggles))
                .collect(),
            callees: (0..targets).map(|_| callees::Callees::default()).collect(),
            keys: vec![collections::HashMap::new(); targets],
            requests,
            events,
            routes: (0..3).map(|_| arena.insert(())).collect(),
            rng: rngs::StdRng::seed_from_u64(seed),
            count: 0,
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.count += 1;
        self.events.insert((self.now + after, self.count), event);
    }

    fn arrive(&mut self, kind: Kind) {
        let (rank, weight, route, objective, limit) = match kind {
            Kind::Menu => (2, 16, 0, 1_000, 2_500),
            Kind::Order => (1, 32, 1, 1_200, 3_000),
            Kind::Call(_) => (2, 16, 2, 250, 800),
        };
        let class = if matches!(kind, Kind::Call(_)) { Class::Internal } else { Class::Caller };
        let work = work::Work {
            route: self.routes[route],
            team: contracts::TeamKey::default(),
            rank,
            weight,
            class,
            deadline: self.now + ms(limit),
            objective: self.now + ms(objective),
            max_wait: None,
            movable: true,
            suspect: false,
        };
        self.requests.push(Request { kind, work, at: 0, tried: Vec::new(), end: None });
        self.offer(self.requests.len() - 1);
    }

    /// Offers a request to the better of two targets that it was not offered to before.
    fn offer(&mut self, index: usize) {
        let Request { kind, mut work, ref tried, .. } = self.requests[index];
        let range = match kind {
            Kind::Menu => 0..MENU_TARGETS,
            _ => MENU_TARGETS..MENU_TARGETS + ORDER_TARGETS,
        };
        let mut free: Vec<usize> = range.filter(|it| !tried.contains(it)).collect();
        while free.len() > 2 {
            let random = self.rng.random_range(0..free.len());
            free.swap_remove(random);
        }
        let busy = |it: &usize| {
            let load = self.controllers[*it].load(self.now);
            load.in_flight + load.queued
        };
        let target = *free.iter().min_by_key(|it| busy(it)).expect("there are three targets");
        work.movable = tried.len() < 2;
        let request = &mut self.requests[index];
        request.at = target;
        request.tried.push(target);
        let urgency = (work.rank, work.weight);
        let callees = &mut self.callees[target];
        if self.ranks
            && kind == Kind::Menu
            && callees.refuse(self.now, &"menus".into(), urgency).is_some()
        {
            request.end = Some((self.now, false));
            return;
        }
        let offered = self.controllers[target].offer(self.now, work);
        match offered.decision {
            work::Decision::Run(key) => {
                self.keys[target].insert(key, index);
                self.start(index);
            }
            work::Decision::Wait(key) => _ = self.keys[target].insert(key, index),
            work::Decision::Refuse(_) => self.refused(index),
        }
        self.perform(target, offered.effects);
    }

    fn perform(&mut self, target: usize, effects: Vec<work::Effect>) {
        for effect in effects {
            let index = self.keys[target][&effect.key()];
            match effect {
                work::Effect::Start(_) => self.start(index),
                work::Effect::Refuse(key, _) => {
                    self.keys[target].remove(&key);
                    self.refused(index);
                }
            }
        }
    }

    fn start(&mut self, index: usize) {
        let Request { kind, at, .. } = self.requests[index];
        let mean = match kind {
            Kind::Menu => 200.0,
            // With the calls that it makes to a third service.
            Kind::Order => 355.0,
            Kind::Call(_) => 61.0,
        };
        if kind == Kind::Menu {
            self.callees[at].record_request(&"menus".into());
        }
        let time = self.rng.random_range(0.5..1.5) * mean;
        self.schedule(Duration::from_secs_f64(time / 1e3), Event::Done(index));
    }

    fn refused(&mut self, index: usize) {
        if self.requests[index].tried.len() < 3 {
            return self.offer(index);
        }
        self.end(index, false);
    }

    fn done(&mut self, index: usize) {
        if self.requests[index].kind == Kind::Menu && self.rng.random_bool(0.7) {
            self.callees[self.requests[index].at].record_call(&"menus".into(), &"orders".into());
            return self.arrive(Kind::Call(index));
        }
        self.end(index, true);
    }

    /// Ends a request, and with a call the menu that made it.
    fn end(&mut self, index: usize, answered: bool) {
        let Request { kind, at, .. } = self.requests[index];
        self.requests[index].end = Some((self.now, answered));
        let key = self.keys[at].iter().find(|it| *it.1 == index).map(|it| *it.0);
        if let Some(key) = key {
            self.keys[at].remove(&key);
            let outcome = if answered { work::Outcome::Answered } else { work::Outcome::Failed };
            let effects = self.controllers[at].finish(self.now, key, outcome);
            self.perform(at, effects);
        }
        if let Kind::Call(menu) = kind {
            let pressure = self.controllers[at].load(self.now).pressure;
            let node = self.requests[menu].at;
            self.callees[node].record_report(self.now, &"orders".into(), pressure);
            self.end(menu, answered);
        }
    }

    fn run(&mut self, demand: f64) {
        for (kind, rate) in [(Kind::Menu, 85.0), (Kind::Order, 43.6)] {
            let count = rate * demand * SECONDS as f64;
            for _ in 0..count as u32 {
                let at = self.rng.random_range(0..SECONDS * 1_000_000);
                self.schedule(Duration::from_micros(at), Event::Arrive(kind));
            }
        }
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = at;
            for target in 0..self.controllers.len() {
                while self.controllers[target].next_tick(at).is_some_and(|it| it <= at) {
                    let effects = self.controllers[target].tick(at);
                    self.perform(target, effects);
                }
            }
            match event {
                Event::Arrive(kind) => self.arrive(kind),
                Event::Done(index) => self.done(index),
            }
        }
    }

    /// The part of the requests of a kind that was answered within the objective, and the number of
    /// requests whose work was lost with a call.
    fn earned(&self, kind: Kind) -> (f64, usize) {
        let of_kind: Vec<_> = self.requests.iter().filter(|it| it.kind == kind).collect();
        let in_time = |it: &&&Request| {
            it.end.is_some_and(|(at, answered)| answered && at <= it.work.objective)
        };
        let calls = self.requests.iter().filter(|it| matches!(it.kind, Kind::Call(_)));
        let lost = calls.filter(|it| it.end.is_some_and(|it| !it.1)).count();
        (of_kind.iter().filter(in_time).count() as f64 / of_kind.len() as f64, lost)
    }
}

/// Guards against calls of less urgent requests that take the slots of more urgent ones, and against
/// the work of requests that is lost because their calls are refused.
#[test]
fn less_urgent_calls_take_the_slots() {
    let mut out = String::new();
    for demand in [1.0, 2.2, 2.5] {
        for ranks in [false, true] {
            let mut mesh = Mesh::new(ranks, 7);
            mesh.run(demand);
            let ((menus, lost), (orders, _)) = (mesh.earned(Kind::Menu), mesh.earned(Kind::Order));
            writeln!(
                out,
                "demand {demand}, ranks {ranks}: menus {menus:.3}, orders {orders:.3}, lost {lost}"
            )
            .expect("text");
            assert!(!ranks || orders > 0.8 && menus > 0.4 && lost == 0, "{out}");
        }
    }
    insta::assert_snapshot!(out);
}
