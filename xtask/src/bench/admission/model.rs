//! A service's targets under a load, in virtual time, with one of several ways of admission.

use std::{cmp::Reverse, collections, time};

use admission::{controller, limits, work};
use slotmap::SlotMap;
use world::{contracts, requests::Class, time::Time};

/// Sends of one request, the first included, as in the design's attempt budget.
const MAX_SENDS: u32 = 3;
/// Share of the first sends that retries may add, in percent, as in the design's attempt budget.
const RETRY_PERCENT: usize = 10;

/// Targets of one service.
#[derive(Clone, Copy)]
pub(super) struct Site {
    pub(super) name: &'static str,
    pub(super) targets: usize,
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
    /// Time that it runs.
    pub(super) service: time::Duration,
}

/// What became of a request.
#[derive(Clone, Copy, Default)]
pub(super) struct Fate {
    pub(super) started: Option<Time>,
    pub(super) answered: Option<Time>,
    sends: u32,
    /// Whether a retry of the budget is kept for it while it waits.
    promised: bool,
}

/// A way of admission.
#[derive(Clone, Copy, Eq, PartialEq)]
pub(super) enum Way {
    /// Slots and an unbounded queue in order of arrival.
    Fifo,
    /// The same with the gate's queue limit, and without running what is past its deadline.
    ShortFifo,
    /// The gate.
    Gate,
}

/// The result of a run.
pub(super) struct Outcome {
    pub(super) fates: Vec<Fate>,
    /// Mean wall-clock time that the gate's decisions took per request.
    pub(super) cost: time::Duration,
}

enum Admission {
    Fifo(Fifo),
    Gate(Box<controller::Controller>),
}

struct Fifo {
    way: Way,
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
    site: Site,
    jobs: &'a [Job],
    routes: Vec<contracts::RouteKey>,
    targets: Vec<Admission>,
    keys: Vec<collections::HashMap<work::RequestKey, usize>>,
    running: Vec<Option<work::RequestKey>>,
    fates: Vec<Fate>,
    events: collections::BinaryHeap<Reverse<(Time, Event)>>,
    first_sends: usize,
    /// Retries sent or kept for requests that wait.
    retries: usize,
    spent: time::Duration,
}

/// Runs the jobs, which are in order of arrival.
pub(super) fn run(site: Site, queue: u32, way: Way, jobs: &[Job]) -> Outcome {
    let mut arena: SlotMap<contracts::RouteKey, ()> = SlotMap::with_key();
    let routes = jobs.iter().map(|it| it.route).max().map_or(0, |it| it + 1);
    let mut model = Model {
        site,
        jobs,
        routes: (0..routes).map(|_| arena.insert(())).collect(),
        targets: (0..site.targets).map(|_| build(site, queue, way)).collect(),
        keys: vec![collections::HashMap::new(); site.targets],
        running: vec![None; jobs.len()],
        fates: vec![Fate::default(); jobs.len()],
        events: collections::BinaryHeap::new(),
        first_sends: 0,
        retries: 0,
        spent: time::Duration::ZERO,
    };
    for (job, it) in jobs.iter().enumerate() {
        // The choice of target is not what is measured; it is round robin for each way.
        model.push(it.arrival + site.hop, Event::Send { job, target: job % site.targets });
    }
    model.run();
    let cost = model.spent / u32::try_from(jobs.len()).unwrap_or(u32::MAX).max(1);
    Outcome { fates: model.fates, cost }
}

fn build(site: Site, queue: u32, way: Way) -> Admission {
    if way == Way::Gate {
        let limits = limits::Limits { slots: site.slots, queue };
        let gate = controller::Controller::new(limits, None, limits::Mechanisms::default());
        return Admission::Gate(Box::new(gate));
    }
    let queue = if way == Way::Fifo { usize::MAX } else { queue as usize };
    let (slots, waiting) = (site.slots as usize, collections::VecDeque::new());
    Admission::Fifo(Fifo { way, slots, queue, running: 0, waiting })
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
            Admission::Gate(gate) => Some((gate.next_tick(now)?, target)),
        });
        timers.min()
    }

    fn tick(&mut self, now: Time, target: usize) {
        let Admission::Gate(gate) = &mut self.targets[target] else { return };
        let clock = time::Instant::now();
        let effects = gate.tick(now);
        self.spent += clock.elapsed();
        self.perform(now, target, &effects);
    }

    fn send(&mut self, now: Time, job: usize, target: usize) {
        self.fates[job].sends += 1;
        self.first_sends += usize::from(self.fates[job].sends == 1);
        let movable = self.may_retry(job);
        self.retries += usize::from(movable);
        self.fates[job].promised = movable;
        let it = self.jobs[job];
        match &mut self.targets[target] {
            Admission::Fifo(fifo) => {
                if fifo.running >= fifo.slots && fifo.waiting.len() >= fifo.queue {
                    self.refused(now, job, target);
                    return;
                }
                fifo.waiting.push_back(job);
                // Waiting work of a queue in order of arrival is never refused, so it keeps no
                // retry.
                self.release(job);
                self.serve_fifo(now, target);
            }
            Admission::Gate(gate) => {
                // The answer has to travel back.
                let micros = it.deadline.as_micros() - self.site.hop.as_micros() as u64;
                let work = work::Work {
                    route: self.routes[it.route],
                    weight: it.weight,
                    class: it.class,
                    deadline: Time::from_micros(micros),
                    objective: Time::from_micros(micros),
                    patience: None,
                    movable,
                    suspect: false,
                };
                let clock = time::Instant::now();
                let offered = gate.offer(now, work);
                self.spent += clock.elapsed();
                match offered.decision {
                    work::Decision::Run(key) => {
                        self.keys[target].insert(key, job);
                        self.start(now, job, target, Some(key));
                    }
                    work::Decision::Wait(key) => {
                        self.keys[target].insert(key, job);
                    }
                    work::Decision::Refuse(_) => self.refused(now, job, target),
                }
                self.perform(now, target, &offered.effects);
            }
        }
    }

    fn end(&mut self, now: Time, job: usize, target: usize) {
        self.fates[job].answered = Some(now + self.site.hop);
        match &mut self.targets[target] {
            Admission::Fifo(fifo) => {
                fifo.running -= 1;
                self.serve_fifo(now, target);
            }
            Admission::Gate(gate) => {
                let Some(key) = self.running[job] else { return };
                self.keys[target].remove(&key);
                let clock = time::Instant::now();
                let effects = gate.finish(now, key, work::Outcome::Answered);
                self.spent += clock.elapsed();
                self.perform(now, target, &effects);
            }
        }
    }

    fn perform(&mut self, now: Time, target: usize, effects: &[work::Effect]) {
        for effect in effects {
            match *effect {
                work::Effect::Start(key) => {
                    let job = self.keys[target][&key];
                    self.start(now, job, target, Some(key));
                }
                work::Effect::Refuse(key, _) => {
                    if let Some(job) = self.keys[target].remove(&key) {
                        self.refused(now, job, target);
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
            if fifo.way == Way::ShortFifo && now >= self.jobs[job].deadline {
                continue;
            }
            fifo.running += 1;
            self.start(now, job, target, None);
        }
    }

    fn start(&mut self, now: Time, job: usize, target: usize, key: Option<work::RequestKey>) {
        self.fates[job].started = Some(now);
        self.running[job] = key;
        self.release(job);
        self.push(now + self.jobs[job].service, Event::End { job, target });
    }

    fn may_retry(&self, job: usize) -> bool {
        let budget = self.first_sends * RETRY_PERCENT / 100;
        self.fates[job].sends < MAX_SENDS && self.retries < budget
    }

    /// Gives back the retry that was kept for a request.
    fn release(&mut self, job: usize) {
        self.retries -= usize::from(self.fates[job].promised);
        self.fates[job].promised = false;
    }

    fn refused(&mut self, now: Time, job: usize, target: usize) {
        let again = now + self.site.hop + self.site.hop;
        if again >= self.jobs[job].deadline {
            self.release(job);
        }
        if !std::mem::take(&mut self.fates[job].promised) {
            return;
        }
        self.push(again, Event::Send { job, target: (target + 1) % self.site.targets });
    }
}
