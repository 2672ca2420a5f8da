//! Discrete-event simulation of the targets of one service under an admission policy, either the
//! real controller or a FIFO queue.

use std::{cmp::Reverse, collections, time};

use admission::{controller, limits, work};
use slotmap::SlotMap;
use world::{contracts, requests::Class, time::Time};

/// Maximum sends of a request, the first included, as in the design's attempt budget.
const MAX_SENDS: u32 = 3;
/// Limit on retries as a share of the first sends in percent, as in the design's attempt budget.
const RETRY_PERCENT: usize = 10;

/// The targets of one service.
#[derive(Clone, Copy)]
pub(super) struct Pool {
    pub(super) name: &'static str,
    pub(super) targets: usize,
    /// Requests that one target runs concurrently.
    pub(super) slots: u32,
    /// One-way latency between data centres.
    pub(super) hop: time::Duration,
}

/// A request of the load.
#[derive(Clone, Copy)]
pub(super) struct Job {
    pub(super) route: usize,
    pub(super) weight: u32,
    pub(super) class: Class,
    pub(super) arrival: Time,
    pub(super) deadline: Time,
    /// Time that it occupies a slot.
    pub(super) service_time: time::Duration,
}

/// Outcome of a request.
#[derive(Clone, Copy, Default)]
pub(super) struct JobResult {
    pub(super) started: Option<Time>,
    pub(super) answered: Option<Time>,
    sends: u32,
    /// Whether a retry of the budget is reserved for it while it waits.
    retry_reserved: bool,
}

/// How a target admits requests.
#[derive(Clone, Copy, Eq, PartialEq)]
pub(super) enum Policy {
    /// An unbounded queue in order of arrival, which also runs requests past their deadline.
    Fifo,
    /// A queue in order of arrival with the controller's limit, which drops requests past their
    /// deadline.
    BoundedFifo,
    /// The admission controller under test.
    Controller,
}

/// Result of a run.
pub(super) struct Outcome {
    pub(super) results: Vec<JobResult>,
    /// Mean wall-clock time per request that the controller's decisions took.
    pub(super) cost: time::Duration,
}

enum Admission {
    Fifo(Fifo),
    Controller(Box<controller::Controller>),
}

struct Fifo {
    policy: Policy,
    slots: usize,
    queue: usize,
    running: usize,
    waiting: collections::VecDeque<usize>,
}

#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Send { job: usize, target: usize },
    End { job: usize, target: usize },
}

struct Model<'a> {
    pool: Pool,
    jobs: &'a [Job],
    routes: Vec<contracts::RouteKey>,
    targets: Vec<Admission>,
    /// For each target, the job of each request that its controller runs or queues.
    admitted: Vec<collections::HashMap<work::RequestKey, usize>>,
    /// For each job, its key at the controller that runs it.
    running: Vec<Option<work::RequestKey>>,
    results: Vec<JobResult>,
    events: collections::BinaryHeap<Reverse<(Time, Event)>>,
    first_sends: usize,
    /// Retries sent or reserved for waiting requests.
    retries: usize,
    /// Wall-clock time of the controllers' decisions so far.
    decision_time: time::Duration,
}

/// Runs the jobs, which must be in order of arrival.
pub(super) fn run(pool: Pool, queue: u32, policy: Policy, jobs: &[Job]) -> Outcome {
    let mut arena: SlotMap<contracts::RouteKey, ()> = SlotMap::with_key();
    let routes = jobs.iter().map(|it| it.route).max().map_or(0, |it| it + 1);
    let mut model = Model {
        pool,
        jobs,
        routes: (0..routes).map(|_| arena.insert(())).collect(),
        targets: (0..pool.targets).map(|_| build(pool, queue, policy)).collect(),
        admitted: vec![collections::HashMap::new(); pool.targets],
        running: vec![None; jobs.len()],
        results: vec![JobResult::default(); jobs.len()],
        events: collections::BinaryHeap::new(),
        first_sends: 0,
        retries: 0,
        decision_time: time::Duration::ZERO,
    };
    for (job, it) in jobs.iter().enumerate() {
        // The choice of target isn't measured; it is round robin under every policy.
        model.push(it.arrival + pool.hop, Event::Send { job, target: job % pool.targets });
    }
    model.run();
    let cost = model.decision_time / u32::try_from(jobs.len()).unwrap_or(u32::MAX).max(1);
    Outcome { results: model.results, cost }
}

fn build(pool: Pool, queue: u32, policy: Policy) -> Admission {
    if policy == Policy::Controller {
        let limits = limits::Limits { slots: pool.slots, queue };
        let controller = controller::Controller::new(limits, None, limits::Toggles::default());
        return Admission::Controller(Box::new(controller));
    }
    let queue = if policy == Policy::Fifo { usize::MAX } else { queue as usize };
    let (slots, waiting) = (pool.slots as usize, collections::VecDeque::new());
    Admission::Fifo(Fifo { policy, slots, queue, running: 0, waiting })
}

impl Model<'_> {
    fn push(&mut self, at: Time, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    fn run(&mut self) {
        let mut now = Time::ZERO;
        loop {
            let event = self.events.peek().map(|it| it.0.0);
            let timer = self.next_timer(now);
            match (event, timer) {
                (None, None) => return,
                (event, Some((at, target))) if event.is_none_or(|it| at < it) => {
                    now = now.max(at);
                    self.tick(now, target);
                }
                _ => {
                    let Some(Reverse((at, event))) = self.events.pop() else { return };
                    now = at;
                    match event {
                        Event::Send { job, target } => self.send(now, job, target),
                        Event::End { job, target } => self.end(now, job, target),
                    }
                }
            }
        }
    }

    fn next_timer(&self, now: Time) -> Option<(Time, usize)> {
        let timers = self.targets.iter().enumerate().filter_map(|(target, it)| match it {
            Admission::Fifo(_) => None,
            Admission::Controller(controller) => Some((controller.next_tick(now)?, target)),
        });
        timers.min()
    }

    fn tick(&mut self, now: Time, target: usize) {
        let Admission::Controller(controller) = &mut self.targets[target] else { return };
        let start = time::Instant::now();
        let effects = controller.tick(now);
        self.decision_time += start.elapsed();
        self.perform(now, target, &effects);
    }

    fn send(&mut self, now: Time, job: usize, target: usize) {
        self.results[job].sends += 1;
        self.first_sends += usize::from(self.results[job].sends == 1);
        let movable = self.may_retry(job);
        self.retries += usize::from(movable);
        self.results[job].retry_reserved = movable;
        let it = self.jobs[job];
        match &mut self.targets[target] {
            Admission::Fifo(fifo) => {
                if fifo.running >= fifo.slots && fifo.waiting.len() >= fifo.queue {
                    self.handle_refusal(now, job, target);
                    return;
                }
                fifo.waiting.push_back(job);
                // A FIFO queue never refuses a request that already waits, so none is reserved.
                self.release_retry(job);
                self.serve_fifo(now, target);
            }
            Admission::Controller(controller) => {
                // The answer needs the latency of the way back.
                let micros = it.deadline.as_micros() - self.pool.hop.as_micros() as u64;
                let work = work::Work {
                    route: self.routes[it.route],
                    team: contracts::TeamKey::default(),
                    rank: 0,
                    weight: it.weight,
                    class: it.class,
                    deadline: Time::from_micros(micros),
                    objective: Time::from_micros(micros),
                    max_wait: None,
                    movable,
                    suspect: false,
                };
                let start = time::Instant::now();
                let offered = controller.offer(now, work);
                self.decision_time += start.elapsed();
                match offered.decision {
                    work::Decision::Run(key) => {
                        self.admitted[target].insert(key, job);
                        self.start(now, job, target, Some(key));
                    }
                    work::Decision::Wait(key) => {
                        self.admitted[target].insert(key, job);
                    }
                    work::Decision::Refuse(_) => self.handle_refusal(now, job, target),
                }
                self.perform(now, target, &offered.effects);
            }
        }
    }

    fn end(&mut self, now: Time, job: usize, target: usize) {
        self.results[job].answered = Some(now + self.pool.hop);
        match &mut self.targets[target] {
            Admission::Fifo(fifo) => {
                fifo.running -= 1;
                self.serve_fifo(now, target);
            }
            Admission::Controller(controller) => {
                let Some(key) = self.running[job] else { return };
                self.admitted[target].remove(&key);
                let start = time::Instant::now();
                let effects = controller.finish(now, key, work::Outcome::Answered);
                self.decision_time += start.elapsed();
                self.perform(now, target, &effects);
            }
        }
    }

    fn perform(&mut self, now: Time, target: usize, effects: &[work::Effect]) {
        for effect in effects {
            match *effect {
                work::Effect::Start(key) => {
                    let job = self.admitted[target][&key];
                    self.start(now, job, target, Some(key));
                }
                work::Effect::Refuse(key, _) => {
                    if let Some(job) = self.admitted[target].remove(&key) {
                        self.handle_refusal(now, job, target);
                    }
                }
            }
        }
    }

    fn serve_fifo(&mut self, now: Time, target: usize) {
        loop {
            let Admission::Fifo(fifo) = &mut self.targets[target] else { return };
            if fifo.running >= fifo.slots {
                return;
            }
            let Some(job) = fifo.waiting.pop_front() else { return };
            if fifo.policy == Policy::BoundedFifo && now >= self.jobs[job].deadline {
                continue;
            }
            fifo.running += 1;
            self.start(now, job, target, None);
        }
    }

    fn start(&mut self, now: Time, job: usize, target: usize, key: Option<work::RequestKey>) {
        self.results[job].started = Some(now);
        self.running[job] = key;
        self.release_retry(job);
        self.push(now + self.jobs[job].service_time, Event::End { job, target });
    }

    fn may_retry(&self, job: usize) -> bool {
        let budget = self.first_sends * RETRY_PERCENT / 100;
        self.results[job].sends < MAX_SENDS && self.retries < budget
    }

    /// Returns the retry that was reserved for a request to the budget.
    fn release_retry(&mut self, job: usize) {
        self.retries -= usize::from(self.results[job].retry_reserved);
        self.results[job].retry_reserved = false;
    }

    fn handle_refusal(&mut self, now: Time, job: usize, target: usize) {
        let retry_at = now + self.pool.hop + self.pool.hop;
        if retry_at >= self.jobs[job].deadline {
            self.release_retry(job);
        }
        if !std::mem::take(&mut self.results[job].retry_reserved) {
            return;
        }
        self.push(retry_at, Event::Send { job, target: (target + 1) % self.pool.targets });
    }
}
