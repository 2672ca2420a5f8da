//! Discrete-event simulation of the nodes and targets of one service, with the real balancer,
//! estimates and retry rules.

use std::{cmp, collections, fmt, time};

use rand::{Rng as _, SeedableRng as _, rngs};
use routing::{balancer, budget, estimates, policy, retry, toggles};
use world::{requests, targets, time::Time};

use super::shapes;

/// One run of the model.
#[derive(Clone, Copy, Debug)]
pub struct Run<'a> {
    /// The simulated deployment.
    pub shape: &'a shapes::Shape,
    /// The load-balancing policy that all nodes use.
    pub policy: &'a policy::Policy,
    /// Seed of arrivals and service times; each node's random generator is derived from it.
    pub seed: u64,
    /// Mean share of all slots that the load keeps busy, in percent, slowdowns left out.
    pub load: u32,
    /// Length in virtual seconds. Requests that arrived before the end are still completed.
    pub seconds: u64,
    /// Age of the load reports that nodes see.
    pub lag: time::Duration,
    /// Whether nodes eject slow targets.
    pub ejection: bool,
}

/// Result of a run. A request without an answer counts with the timeout as its latency.
#[derive(Clone, Debug)]
pub struct Measured {
    times: hdrhistogram::Histogram<u64>,
    in_time: u64,
    sends: u64,
    ejections: u64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    Deliver { request: usize, send: u32 },
    Finish { request: usize, send: u32 },
    Answer { request: usize, send: u32, refused: bool },
    Timeout { request: usize, send: u32 },
}

struct Request {
    node: usize,
    arrived: Time,
    sent: Time,
    service_time: time::Duration,
    idempotent: bool,
    send: u32,
    target: usize,
    trial: bool,
    done: bool,
    budget: budget::Budget,
    tried: Vec<targets::TargetKey>,
}

struct Node {
    router: balancer::Balancer,
    retry_limiter: budget::RetryLimiter,
    candidates: Vec<balancer::Candidate>,
    rng: rngs::SmallRng,
}

#[derive(Default)]
struct Target {
    busy: usize,
    queue: collections::VecDeque<(usize, u32)>,
    /// Load after each change, from which delayed reports are read.
    history: collections::VecDeque<(Time, estimates::Load)>,
}

struct Simulation<'a> {
    run: &'a Run<'a>,
    now: Time,
    events: collections::BinaryHeap<cmp::Reverse<(Time, u64, Event)>>,
    /// Number of events so far; orders events that fall on the same time.
    sequence: u64,
    nodes: Vec<Node>,
    keys: Vec<targets::TargetKey>,
    targets: Vec<Target>,
    requests: Vec<Request>,
    rng: rngs::SmallRng,
    /// Mean time between two arrivals, in seconds.
    mean_gap: f64,
    /// Indexes of the slowed targets in each period.
    slowed: Vec<Vec<usize>>,
    measured: Measured,
    toggles: toggles::Toggles,
}

impl Run<'_> {
    pub fn measure(&self) -> eyre::Result<Measured> {
        let mut simulation = Simulation::new(self)?;
        simulation.push(Time::ZERO, Event::Arrive);
        while let Some(cmp::Reverse((at, _, event))) = simulation.events.pop() {
            simulation.now = at;
            simulation.step(event)?;
        }
        Ok(simulation.measured)
    }
}

impl<'a> Simulation<'a> {
    fn new(run: &'a Run<'a>) -> eyre::Result<Simulation<'a>> {
        let shape = run.shape;
        let toggles = toggles::Toggles { ejection: run.ejection, ..toggles::Toggles::default() };
        let mut rng = rngs::SmallRng::seed_from_u64(run.seed);
        let mut arena = slotmap::SlotMap::<targets::TargetKey, ()>::with_key();
        let keys: Vec<_> = (0..shape.targets).map(|_| arena.insert(())).collect();
        let node = |index: usize| Node {
            router: balancer::Balancer::new(*run.policy, toggles),
            retry_limiter: budget::RetryLimiter::default(),
            candidates: candidates(shape, &keys, index),
            rng: rngs::SmallRng::seed_from_u64(run.seed * 1_000 + index as u64),
        };
        let periods = run.seconds / shapes::SLOWDOWN_PERIOD.as_secs() + 1;
        let mut pick =
            || rand::seq::index::sample(&mut rng, shape.targets, shape.slowed_targets()).into_vec();
        let slowed = (0..periods).map(|_| pick()).collect();
        let (fraction, factor) = shapes::STRAGGLERS;
        let mean_time = shape.service_time.as_secs_f64() * (1.0 + fraction * (factor - 1.0));
        let rate = f64::from(run.load) / 100.0 * (shape.targets * shape.slots) as f64 / mean_time;
        Ok(Simulation {
            run,
            now: Time::ZERO,
            events: collections::BinaryHeap::new(),
            sequence: 0,
            nodes: (0..shape.nodes).map(node).collect(),
            targets: (0..shape.targets).map(|_| Target::default()).collect(),
            keys,
            requests: Vec::new(),
            rng,
            mean_gap: 1.0 / rate,
            slowed,
            measured: Measured {
                times: hdrhistogram::Histogram::new_with_bounds(1, 10_000_000, 3)?,
                in_time: 0,
                sends: 0,
                ejections: 0,
            },
            toggles,
        })
    }

    fn push(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.push(cmp::Reverse((at, self.sequence, event)));
    }

    fn step(&mut self, event: Event) -> eyre::Result<()> {
        match event {
            Event::Arrive => self.arrive()?,
            Event::Deliver { request, send } => self.deliver(request, send),
            Event::Finish { request, send } => self.finish(request, send),
            Event::Answer { request, send, refused } => self.answer(request, send, refused)?,
            Event::Timeout { request, send } => self.time_out(request, send)?,
        }
        Ok(())
    }

    /// A request arrives at a node. All random draws of the workload are made here, in the same
    /// order for each policy, so that the policies meet the same workload.
    fn arrive(&mut self) -> eyre::Result<()> {
        let gap = self.mean_gap * exponential(&mut self.rng);
        let next = self.now + time::Duration::from_secs_f64(gap);
        if next < Time::from_millis(self.run.seconds * 1_000) {
            self.push(next, Event::Arrive);
        }
        let (fraction, factor) = shapes::STRAGGLERS;
        let factor = if self.rng.random_bool(fraction) { factor } else { 1.0 };
        let spread = 0.5 + 0.5 * exponential(&mut self.rng);
        self.requests.push(Request {
            node: self.rng.random_range(0..self.nodes.len()),
            arrived: self.now,
            sent: self.now,
            service_time: self.run.shape.service_time.mul_f64(factor * spread),
            idempotent: self.rng.random_bool(0.8),
            send: 0,
            target: 0,
            trial: false,
            done: false,
            budget: budget::Budget::new(shapes::TIMEOUT, None),
            tried: Vec::new(),
        });
        let request = self.requests.len() - 1;
        let node = self.requests[request].node;
        self.nodes[node].retry_limiter.team("").record_first(self.now);
        self.send(request)
    }

    fn send(&mut self, index: usize) -> eyre::Result<()> {
        let request = &mut self.requests[index];
        let node = &mut self.nodes[request.node];
        let query = balancer::Request {
            candidates: &node.candidates,
            excluded: &request.tried,
            class: requests::Class::Caller,
            idempotent: request.idempotent,
            deadline: request.arrived + shapes::TIMEOUT,
            objective: shapes::TIMEOUT,
            penalty_share: 1.0,
        };
        let Ok(choice) = node.router.choose(self.now, &query, &mut node.rng) else {
            return self.complete(index, shapes::TIMEOUT);
        };
        let trial = choice.reason.kind == balancer::Kind::Trial;
        node.router.estimates.record_send(choice.target, trial);
        request.target = self.keys.iter().position(|&it| it == choice.target).unwrap_or(0);
        request.trial = trial;
        request.sent = self.now;
        request.send += 1;
        request.tried.push(choice.target);
        self.measured.sends += 1;
        let (send, deadline) = (request.send, request.arrived + shapes::TIMEOUT);
        let link = self.link(index);
        self.push(self.now + link, Event::Deliver { request: index, send });
        self.push(deadline, Event::Timeout { request: index, send });
        Ok(())
    }

    fn deliver(&mut self, request: usize, send: u32) {
        let target = &mut self.targets[self.requests[request].target];
        if target.busy >= self.run.shape.slots && target.queue.len() >= self.run.shape.queue {
            let at = self.now + self.link(request);
            self.push(at, Event::Answer { request, send, refused: true });
            return;
        }
        target.queue.push_back((request, send));
        self.start_work(self.requests[request].target);
    }

    fn start_work(&mut self, index: usize) {
        while self.targets[index].busy < self.run.shape.slots {
            let Some((request, send)) = self.targets[index].queue.pop_front() else {
                break;
            };
            if self.requests[request].done {
                continue;
            }
            self.targets[index].busy += 1;
            let factor = if self.is_slow(index) { shapes::SLOWDOWN_FACTOR } else { 1.0 };
            let end = self.now + self.requests[request].service_time.mul_f64(factor);
            self.push(end, Event::Finish { request, send });
        }
        self.targets[index].record_load(self.now);
    }

    fn finish(&mut self, request: usize, send: u32) {
        let target = self.requests[request].target;
        self.targets[target].busy -= 1;
        let at = self.now + self.link(request);
        self.push(at, Event::Answer { request, send, refused: false });
        self.start_work(target);
    }

    fn answer(&mut self, index: usize, send: u32, refused: bool) -> eyre::Result<()> {
        if self.requests[index].done || self.requests[index].send != send {
            return Ok(());
        }
        let load = self.targets[self.requests[index].target].reported_load(self.now, self.run.lag);
        let link = self.link(index);
        let request = &mut self.requests[index];
        let node = &mut self.nodes[request.node];
        let key = self.keys[request.target];
        if refused {
            node.router.estimates.record_refusal(self.now, key, load, request.trial);
            let limits = retry::Request {
                idempotent: request.idempotent,
                deadline: request.arrived + shapes::TIMEOUT,
            };
            let decision = retry::decide(
                self.now,
                retry::Outcome::NotRun,
                &limits,
                &mut request.budget,
                &mut node.retry_limiter.team(""),
                &self.toggles,
            );
            if decision == retry::Decision::Elsewhere {
                return self.send(index);
            }
            return self.complete(index, shapes::TIMEOUT);
        }
        let sample = estimates::Sample {
            elapsed: self.now.since(request.sent),
            link,
            load: Some(load),
            trial: request.trial,
        };
        let peers = self.keys.iter().copied();
        let change = node.router.estimates.record_answer(self.now, key, &sample, peers);
        self.count_ejection(change);
        let elapsed = self.now.since(self.requests[index].arrived);
        self.complete(index, elapsed)
    }

    fn time_out(&mut self, index: usize, send: u32) -> eyre::Result<()> {
        let request = &self.requests[index];
        if request.done || request.send != send {
            return Ok(());
        }
        let key = self.keys[request.target];
        let peers = self.keys.iter().copied();
        let estimates = &mut self.nodes[request.node].router.estimates;
        let failure = estimates::Failure::TimedOut;
        let change = estimates.record_failure(self.now, key, failure, request.trial, peers);
        self.count_ejection(change);
        self.complete(index, shapes::TIMEOUT)
    }

    fn complete(&mut self, index: usize, elapsed: time::Duration) -> eyre::Result<()> {
        self.requests[index].done = true;
        let micros = u64::try_from(elapsed.as_micros())?;
        self.measured.times.record(micros.max(1))?;
        self.measured.in_time += u64::from(elapsed <= self.run.shape.latency_limit);
        Ok(())
    }

    fn count_ejection(&mut self, change: Option<estimates::Change>) {
        let ejected = change.is_some_and(|it| it != estimates::Change::Readmitted);
        self.measured.ejections += u64::from(ejected);
    }

    fn link(&self, index: usize) -> time::Duration {
        let request = &self.requests[index];
        let shape = self.run.shape;
        shape.latency(shape.data_centre(request.node), shape.data_centre(request.target))
    }

    fn is_slow(&self, target: usize) -> bool {
        let period = shapes::SLOWDOWN_PERIOD.as_micros() as u64;
        let (number, within) = (self.now.as_micros() / period, self.now.as_micros() % period);
        let slow = time::Duration::from_micros(period - within) <= shapes::SLOWDOWN_LENGTH;
        slow && self.slowed.get(number as usize).is_some_and(|it| it.contains(&target))
    }
}

impl Target {
    fn record_load(&mut self, now: Time) {
        let load = estimates::Load {
            busy: self.busy as u32,
            queued: self.queue.len() as u32,
            ..estimates::Load::default()
        };
        self.history.push_back((now, load));
    }

    fn reported_load(&mut self, now: Time, lag: time::Duration) -> estimates::Load {
        // A report shows the load after the latest change that is at least `lag` old.
        while self.history.get(1).is_some_and(|(at, _)| *at + lag <= now) {
            self.history.pop_front();
        }
        let reported = self.history.front().filter(|(at, _)| *at + lag <= now);
        reported.map_or(
            estimates::Load { busy: 0, queued: 0, ..estimates::Load::default() },
            |(_, load)| *load,
        )
    }
}

impl fmt::Display for Measured {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = |quantile| self.times.value_at_quantile(quantile) as f64 / 1e3;
        let count = self.times.len().max(1) as f64;
        write!(
            f,
            "{:.1} | {:.1} | {:.1} | {:.2}% | {:.3} | {}",
            millis(0.5),
            millis(0.99),
            millis(0.999),
            100.0 * self.in_time as f64 / count,
            self.sends as f64 / count,
            self.ejections,
        )
    }
}

fn candidates(
    shape: &shapes::Shape,
    keys: &[targets::TargetKey],
    node: usize,
) -> Vec<balancer::Candidate> {
    let candidate = |(index, &key): (usize, &targets::TargetKey)| balancer::Candidate {
        key,
        state: targets::State::Serving,
        since: Time::ZERO,
        slots: shape.slots as u32,
        link: shape.latency(shape.data_centre(node), shape.data_centre(index)),
        in_subset: true,
        linked: true,
    };
    keys.iter().enumerate().map(candidate).collect()
}

fn exponential(rng: &mut rngs::SmallRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}
