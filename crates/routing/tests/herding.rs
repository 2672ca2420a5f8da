//! Where many nodes send the requests for a service whose targets differ in speed.

use std::{cmp, collections, fmt::Write as _, time};

use rand::{Rng as _, SeedableRng as _, rngs};
use routing::{balancer, estimates, policy, toggles};
use slotmap::SlotMap;
use world::{mesh, requests, targets, time::Time};

const NODES: usize = 70;
const SLOTS: usize = 6;
/// How long a request runs at each target, in milliseconds. Together they serve 420 requests a
/// second.
const SERVICE_MS: [u64; 10] = [100, 100, 100, 100, 170, 170, 170, 240, 240, 240];
const ONE_WAY: time::Duration = time::Duration::from_millis(5);
const OBJECTIVE: time::Duration = time::Duration::from_millis(300);
/// The longest wait that a target accepts.
const MAX_WAIT: time::Duration = time::Duration::from_millis(45);
const SENDS: usize = 3;
const DURATION: time::Duration = time::Duration::from_secs(10);

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    /// A request begins at a node.
    Begin { node: usize },
    /// A request arrives at a target.
    Arrive { send: Send },
    /// A request has been served.
    End { send: Send },
    /// The answer, or the refusal, arrives at the node.
    Return { send: Send, load: Load, admitted: bool },
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

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Load {
    busy: usize,
    queued: usize,
}

#[derive(Default)]
struct Target {
    busy: usize,
    waiting: collections::VecDeque<Send>,
}

#[derive(Debug, Default)]
struct Counts {
    requests: u32,
    sends: u32,
    served: u32,
    in_time: u32,
    given_up: u32,
}

struct Service {
    now: Time,
    events: collections::BinaryHeap<cmp::Reverse<(Time, u64, Event)>>,
    count: u64,
    nodes: Vec<balancer::Balancer>,
    keys: Vec<targets::TargetKey>,
    targets: Vec<Target>,
    rng: rngs::SmallRng,
    counts: Counts,
}

impl Service {
    fn new() -> Service {
        let mut arena = SlotMap::<targets::TargetKey, ()>::with_key();
        let node = balancer::Balancer::new(policy::NEAR_FIRST, toggles::Toggles::default());
        Service {
            now: Time::ZERO,
            events: collections::BinaryHeap::new(),
            count: 0,
            nodes: vec![node; NODES],
            keys: SERVICE_MS.iter().map(|_| arena.insert(())).collect(),
            targets: SERVICE_MS.iter().map(|_| Target::default()).collect(),
            rng: rngs::SmallRng::seed_from_u64(5_011),
            counts: Counts::default(),
        }
    }

    fn schedule(&mut self, delay: time::Duration, event: Event) {
        self.count += 1;
        self.events.push(cmp::Reverse((self.now + delay, self.count, event)));
    }

    /// Plays with `demand` requests a second.
    fn play(mut self, demand: u32) -> Counts {
        let gap = time::Duration::from_secs(1) / demand;
        for index in 0..demand * u32::try_from(DURATION.as_secs()).expect("small") {
            let node = self.rng.random_range(0..NODES);
            let jitter = gap.mul_f32(self.rng.random::<f32>());
            self.schedule(gap * index + jitter, Event::Begin { node });
        }
        while let Some(cmp::Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            self.step(event);
        }
        self.counts
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Begin { node } => {
                self.counts.requests += 1;
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
            Event::Return { send, load, admitted } => self.finish(send, load, admitted),
        }
    }

    fn send(&mut self, node: usize, mut tried: Vec<usize>, begun: Time) {
        let candidate = |key: &targets::TargetKey| balancer::Candidate {
            key: *key,
            state: targets::State::Serving,
            since: Time::ZERO,
            slots: SLOTS as u32,
            link: mesh::LOCAL_LATENCY,
            in_subset: true,
            linked: true,
        };
        let candidates: Vec<_> = self.keys.iter().map(candidate).collect();
        let excluded: Vec<_> = tried.iter().map(|&it| self.keys[it]).collect();
        let request = balancer::Request {
            candidates: &candidates,
            excluded: &excluded,
            class: requests::Class::Caller,
            idempotent: true,
            deadline: begun + time::Duration::from_millis(800),
            objective: OBJECTIVE.saturating_sub(self.now.since(begun)),
            penalty_share: 1.0,
        };
        let balancer = &mut self.nodes[node];
        let choice = balancer.choose(self.now, &request, &mut self.rng).expect("usable targets");
        balancer.estimates.record_send(choice.target, false);
        self.counts.sends += 1;
        let target = self.keys.iter().position(|&it| it == choice.target).expect("known");
        tried.push(target);
        let max_wait = choice.max_wait.filter(|_| tried.len() < SENDS);
        let send = Send { node, target, tried, begun, sent: self.now, max_wait };
        self.schedule(ONE_WAY, Event::Arrive { send });
    }

    fn arrive(&mut self, send: Send) {
        let target = &mut self.targets[send.target];
        if target.busy < SLOTS {
            self.run(send);
            return;
        }
        let service = time::Duration::from_millis(SERVICE_MS[send.target]);
        let ahead = u32::try_from(target.waiting.len() + 1).expect("small");
        let wait = service * ahead / SLOTS as u32;
        if wait <= MAX_WAIT.min(send.max_wait.unwrap_or(MAX_WAIT)) {
            target.waiting.push_back(send);
        } else {
            self.give_back(send, false);
        }
    }

    fn run(&mut self, send: Send) {
        self.targets[send.target].busy += 1;
        let spread = 0.5 + self.rng.random::<f32>();
        let service = time::Duration::from_millis(SERVICE_MS[send.target]).mul_f32(spread);
        self.schedule(service, Event::End { send });
    }

    fn give_back(&mut self, send: Send, admitted: bool) {
        let target = &self.targets[send.target];
        let load = Load { busy: target.busy, queued: target.waiting.len() };
        self.schedule(ONE_WAY, Event::Return { send, load, admitted });
    }

    fn finish(&mut self, send: Send, load: Load, admitted: bool) {
        let (now, key) = (self.now, self.keys[send.target]);
        let time = time::Duration::from_millis(SERVICE_MS[send.target]);
        let load = estimates::Load {
            busy: load.busy as u32,
            queued: load.queued as u32,
            service_time: time,
            queued_calls: 0,
            caller_time: time,
            call_time: time::Duration::ZERO,
        };
        let estimates = &mut self.nodes[send.node].estimates;
        estimates.record_admission(now, key, requests::Class::Caller, admitted);
        if admitted {
            let elapsed = now.since(send.sent);
            let link = mesh::LOCAL_LATENCY;
            let sample = estimates::Sample { elapsed, link, load: Some(load), trial: false };
            estimates.record_answer(now, key, &sample, self.keys.iter().copied());
            self.counts.served += 1;
            self.counts.in_time += u32::from(now.since(send.begun) <= OBJECTIVE);
            return;
        }
        estimates.record_refusal(now, key, load, false);
        match send.tried.len() {
            SENDS => self.counts.given_up += 1,
            _ => self.send(send.node, send.tried, send.begun),
        }
    }
}

/// Guards against nodes that all send to the fastest targets, which are full and refuse, while
/// slower ones that could answer in time have free slots: their load reports are old.
#[test]
fn free_slots_of_slower_targets_are_not_used() {
    let mut out = String::new();
    for demand in [100, 200, 300, 400] {
        let counts = Service::new().play(demand);
        writeln!(out, "{demand} of 420 a second: {counts:?}").expect("text");
        // There are slots for all of them.
        assert!(counts.in_time * 100 >= counts.requests * 85, "{demand}: {counts:?}");
    }
    insta::assert_snapshot!(out);
}
