//! How much of a service's load leaves its data centre, when callers move, when the targets of a data
//! centre slow down, and when it is cut off.

use std::{cmp, collections, fmt::Write as _, time};

use rand::{Rng as _, SeedableRng as _, rngs};
use routing::{balancer, estimates, policy, spillover, toggles};
use slotmap::SlotMap;
use world::{mesh, requests, targets, time::Time};

const CENTRES: usize = 3;
const NODES: usize = 20;
const TARGETS: usize = 6;
const SLOTS: usize = 12;
/// How long a request runs at a target. A data centre serves 360 requests a second.
const SERVICE: time::Duration = time::Duration::from_millis(200);
const REMOTE: time::Duration = time::Duration::from_micros(1_400);
const OBJECTIVE: time::Duration = time::Duration::from_millis(1_000);
/// The longest wait that a target accepts.
const MAX_WAIT: time::Duration = time::Duration::from_millis(150);
const SENDS: usize = 3;
/// Requests a second that begin in each data centre at first.
const DEMAND: u32 = 240;
const CHANGE: Time = Time::from_millis(3_000);
const END: Time = Time::from_millis(9_000);

/// What changes in the first data centre.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Change {
    Nothing,
    /// Half of the callers of each other data centre move to it.
    CallersMove,
    /// Its targets take four times as long.
    TargetsSlow,
    /// Its targets cannot be reached from elsewhere, and its nodes reach no others.
    CutOff,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Begin { centre: usize },
    Arrive { send: Send },
    End { send: Send },
    Return { send: Send, busy: usize, queued: usize, admitted: bool },
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Send {
    node: usize,
    target: usize,
    tried: Vec<usize>,
    begun: Time,
    sent: Time,
    max_wait: Option<time::Duration>,
}

#[derive(Default)]
struct Target {
    busy: usize,
    waiting: collections::VecDeque<Send>,
}

struct Node {
    balancer: balancer::Balancer,
    spillover: spillover::Spillover,
}

/// Counts of the requests that begin in the first data centre after the change.
#[derive(Debug, Default)]
struct Counts {
    requests: u32,
    in_time: u32,
    given_up: u32,
    /// Sends to other data centres.
    left: u32,
    /// The same for each fifth of a second, which shows swings.
    left_by_time: collections::BTreeMap<u64, u32>,
}

struct Model {
    now: Time,
    change: Change,
    policy: policy::Policy,
    events: collections::BinaryHeap<cmp::Reverse<(Time, u64, Event)>>,
    count: u64,
    nodes: Vec<Node>,
    keys: Vec<targets::TargetKey>,
    targets: Vec<Target>,
    rng: rngs::SmallRng,
    counts: Counts,
    /// Requests of all data centres, and those that were answered in time.
    all: (u32, u32),
}

fn centre_of_node(node: usize) -> usize {
    node / NODES
}

fn centre_of_target(target: usize) -> usize {
    target / TARGETS
}

impl Model {
    fn new(policy: policy::Policy, change: Change) -> Model {
        let mut arena = SlotMap::<targets::TargetKey, ()>::with_key();
        let node = |_| Node {
            balancer: balancer::Balancer::new(policy, toggles::Toggles::default()),
            spillover: spillover::Spillover::default(),
        };
        Model {
            now: Time::ZERO,
            change,
            policy,
            events: collections::BinaryHeap::new(),
            count: 0,
            nodes: (0..CENTRES * NODES).map(node).collect(),
            keys: (0..CENTRES * TARGETS).map(|_| arena.insert(())).collect(),
            targets: (0..CENTRES * TARGETS).map(|_| Target::default()).collect(),
            rng: rngs::SmallRng::seed_from_u64(7_301),
            counts: Counts::default(),
            all: (0, 0),
        }
    }

    fn changed(&self, change: Change) -> bool {
        self.change == change && self.now >= CHANGE
    }

    fn schedule(&mut self, delay: time::Duration, event: Event) {
        self.count += 1;
        self.events.push(cmp::Reverse((self.now + delay, self.count, event)));
    }

    fn play(mut self) -> Model {
        let total = DEMAND * CENTRES as u32;
        let gap = time::Duration::from_secs(1) / total;
        let requests = u64::from(total) * END.as_micros() / 1_000_000;
        for index in 0..u32::try_from(requests).expect("small") {
            let centre = self.rng.random_range(0..CENTRES);
            let jitter = gap.mul_f32(self.rng.random::<f32>());
            self.schedule(gap * index + jitter, Event::Begin { centre });
        }
        while let Some(cmp::Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            self.step(event);
        }
        self
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Begin { centre } => {
                let moves = self.changed(Change::CallersMove) && self.rng.random::<bool>();
                let centre = if moves { 0 } else { centre };
                let node = centre * NODES + self.rng.random_range(0..NODES);
                self.all.0 += 1;
                self.counts.requests += u32::from(centre == 0 && self.now >= CHANGE);
                self.send(node, Vec::new(), self.now);
            }
            Event::Arrive { send } => self.arrive(send),
            Event::End { send } => {
                self.targets[send.target].busy -= 1;
                if let Some(next) = self.targets[send.target].waiting.pop_front() {
                    self.run(next);
                }
                self.give_back(send, true);
            }
            Event::Return { send, busy, queued, admitted } => {
                self.finish(send, (busy, queued), admitted);
            }
        }
    }

    fn is_counted(&self, send: &Send) -> bool {
        centre_of_node(send.node) == 0 && send.begun >= CHANGE
    }

    fn way(&self, node: usize, target: usize) -> time::Duration {
        let local = centre_of_node(node) == centre_of_target(target);
        if local { mesh::LOCAL_LATENCY } else { REMOTE }
    }

    fn send(&mut self, node: usize, mut tried: Vec<usize>, begun: Time) {
        let cut = self.changed(Change::CutOff);
        let reachable = |target: &usize| {
            let crosses = (centre_of_node(node) == 0) != (centre_of_target(*target) == 0);
            !(cut && crosses)
        };
        let candidate = |target: usize| balancer::Candidate {
            key: self.keys[target],
            state: targets::State::Serving,
            since: Time::ZERO,
            slots: SLOTS as u32,
            link: self.way(node, target),
            in_subset: true,
            linked: true,
        };
        let candidates: Vec<_> = (0..self.keys.len()).filter(reachable).map(candidate).collect();
        let excluded: Vec<_> = tried.iter().map(|&it| self.keys[it]).collect();
        let share = match self.policy.adaptive {
            true => self.nodes[node].spillover.penalty_share(self.now, 0),
            false => 1.0,
        };
        let request = balancer::Request {
            candidates: &candidates,
            excluded: &excluded,
            class: requests::Class::Caller,
            idempotent: true,
            deadline: begun + time::Duration::from_millis(2_500),
            objective: OBJECTIVE.saturating_sub(self.now.since(begun)),
            penalty_share: share,
        };
        let Node { balancer, spillover } = &mut self.nodes[node];
        let choice = balancer.choose(self.now, &request, &mut self.rng).expect("usable targets");
        balancer.estimates.record_send(choice.target, false);
        if let Some(pressure) = choice.home_pressure {
            spillover.record(self.now, pressure);
        }
        let target = self.keys.iter().position(|&it| it == choice.target).expect("known");
        tried.push(target);
        let max_wait = choice.max_wait.filter(|_| tried.len() < SENDS);
        let send = Send { node, target, tried, begun, sent: self.now, max_wait };
        if self.is_counted(&send) && centre_of_target(target) != 0 {
            self.counts.left += 1;
            *self.counts.left_by_time.entry(self.now.as_micros() / 200_000).or_default() += 1;
        }
        self.schedule(self.way(node, target), Event::Arrive { send });
    }

    fn service(&self, target: usize) -> time::Duration {
        let slow = self.changed(Change::TargetsSlow) && centre_of_target(target) == 0;
        if slow { SERVICE * 4 } else { SERVICE }
    }

    fn arrive(&mut self, send: Send) {
        let target = &mut self.targets[send.target];
        if target.busy < SLOTS {
            self.run(send);
            return;
        }
        let ahead = u32::try_from(target.waiting.len() + 1).expect("small");
        let wait = self.service(send.target) * ahead / SLOTS as u32;
        if wait <= MAX_WAIT.min(send.max_wait.unwrap_or(MAX_WAIT)) {
            self.targets[send.target].waiting.push_back(send);
        } else {
            self.give_back(send, false);
        }
    }

    fn run(&mut self, send: Send) {
        self.targets[send.target].busy += 1;
        let spread = 0.5 + self.rng.random::<f32>();
        let service = self.service(send.target).mul_f32(spread);
        self.schedule(service, Event::End { send });
    }

    fn give_back(&mut self, send: Send, admitted: bool) {
        let Target { busy, waiting } = &self.targets[send.target];
        let (busy, queued) = (*busy, waiting.len());
        let way = self.way(send.node, send.target);
        self.schedule(way, Event::Return { send, busy, queued, admitted });
    }

    fn finish(&mut self, send: Send, (busy, queued): (usize, usize), admitted: bool) {
        let (now, key) = (self.now, self.keys[send.target]);
        let time = self.service(send.target);
        let load = estimates::Load {
            busy: busy as u32,
            queued: queued as u32,
            service_time: time,
            queued_calls: 0,
            caller_time: time,
            call_time: time::Duration::ZERO,
        };
        let link = self.way(send.node, send.target);
        let counted = self.is_counted(&send);
        let estimates = &mut self.nodes[send.node].balancer.estimates;
        estimates.record_admission(now, key, requests::Class::Caller, admitted);
        if admitted {
            let elapsed = now.since(send.sent);
            let sample = estimates::Sample { elapsed, link, load: Some(load), trial: false };
            estimates.record_answer(now, key, &sample, self.keys.iter().copied());
            let in_time = u32::from(now.since(send.begun) <= OBJECTIVE);
            self.all.1 += in_time;
            self.counts.in_time += if counted { in_time } else { 0 };
            return;
        }
        estimates.record_refusal(now, key, load, false);
        match send.tried.len() {
            SENDS => self.counts.given_up += u32::from(counted),
            _ => self.send(send.node, send.tried, send.begun),
        }
    }
}

/// The largest change of what leaves from one fifth of a second to the next, once it has settled.
fn swing(counts: &Counts) -> u32 {
    let settled = (CHANGE.as_micros() + 2_000_000) / 200_000;
    let end = END.as_micros() / 200_000 - 1;
    let at = |it: u64| counts.left_by_time.get(&it).copied().unwrap_or(0);
    (settled..end).map(|it| at(it).abs_diff(at(it + 1))).max().unwrap_or(0)
}

/// Guards against requests that wait or are refused in a data centre without room while others have
/// it, against requests that leave one that has room, and against load that swings between them.
#[test]
fn requests_stay_in_a_data_centre_without_room() {
    let mut out = String::new();
    for change in [Change::Nothing, Change::CallersMove, Change::TargetsSlow, Change::CutOff] {
        let mut in_time = Vec::new();
        for policy in [policy::NEAR_FIRST, policy::SPILLOVER] {
            let model = Model::new(policy, change).play();
            let counts = &model.counts;
            writeln!(
                out,
                "{change:?}, {}: {} requests, {} in time, {} given up, {} sends left, largest swing \
                 {}; all {} of {} in time",
                policy.name,
                counts.requests,
                counts.in_time,
                counts.given_up,
                counts.left,
                swing(counts),
                model.all.1,
                model.all.0,
            )
            .expect("text");
            in_time.push(counts.in_time);
            let share = f64::from(counts.in_time) / f64::from(counts.requests);
            if policy.adaptive && change == Change::CallersMove {
                assert!(share >= 0.95, "{change:?}: {share} in time");
            }
            if change == Change::Nothing {
                assert!(counts.left * 50 <= counts.requests, "{} left without need", counts.left);
            }
        }
        assert!(in_time[1] * 100 >= in_time[0] * 99, "{change:?}: worse than a fixed penalty");
    }
    insta::assert_snapshot!(out);
}
