//! A simulated target in virtual time. Each request that the controller starts ends after its
//! service time.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::{collections::BTreeMap, time::Duration};

use admission::{controller, limits, work};
use slotmap::SlotMap;
use world::{contracts, requests::Class, time::Time};

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// What happened to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    Start,
    Finish,
    Refuse(work::RefusalReason),
    Cancel,
}

pub struct Job {
    pub work: work::Work,
    /// How long the request runs.
    pub service: Duration,
    pub events: Vec<(Time, Event)>,
}

pub struct Target {
    pub controller: controller::Controller,
    pub now: Time,
    pub slots: u32,
    pub routes: Vec<contracts::RouteKey>,
    pub jobs: Vec<Job>,
    /// Running and waiting requests, with the index of the job of each.
    pub open: BTreeMap<work::RequestKey, usize>,
    ends: BTreeMap<(Time, work::RequestKey), ()>,
    /// Most slots that slow requests have held at once.
    pub most_slow: u32,
}

impl Target {
    pub fn new(slots: u32, queue: u32, toggles: limits::Toggles) -> Target {
        let mut arena: SlotMap<contracts::RouteKey, ()> = SlotMap::with_key();
        let routes = (0..8).map(|_| arena.insert(())).collect();
        let controller =
            controller::Controller::new(limits::Limits { slots, queue }, None, toggles);
        let (jobs, open, ends) = Default::default();
        Target { controller, now: Time::ZERO, slots, routes, jobs, open, ends, most_slow: 0 }
    }

    /// Returns a caller's request of a route, with weight 10 and without a deadline, that no other
    /// target can take.
    pub fn work(&self, route: usize) -> work::Work {
        let (route, deadline, class) = (self.routes[route], Time::MAX, Class::Caller);
        let objective = Time::MAX;
        work::Work {
            route,
            team: contracts::TeamKey::default(),
            rank: 0,
            weight: 10,
            class,
            deadline,
            objective,
            max_wait: None,
            movable: false,
            suspect: false,
        }
    }

    pub fn offer(&mut self, work: work::Work, service: Duration) -> work::Decision {
        let offered = self.controller.offer(self.now, work);
        let job = self.jobs.len();
        self.jobs.push(Job { work, service, events: Vec::new() });
        match offered.decision {
            work::Decision::Run(key) => {
                self.open.insert(key, job);
                self.perform(vec![work::Effect::Start(key)]);
            }
            work::Decision::Wait(key) => {
                self.open.insert(key, job);
            }
            work::Decision::Refuse(reason) => self.note(job, Event::Refuse(reason)),
        }
        self.perform(offered.effects);
        offered.decision
    }

    pub fn perform(&mut self, effects: Vec<work::Effect>) {
        for effect in effects {
            match effect {
                work::Effect::Start(key) => {
                    let job = self.open[&key];
                    self.ends.insert((self.now + self.jobs[job].service, key), ());
                    // After the limit was lowered, more requests may still run, but none may start.
                    assert!(
                        self.ends.len() <= self.slots as usize,
                        "more requests run than there are slots"
                    );
                    self.note(job, Event::Start);
                }
                work::Effect::Refuse(key, reason) => {
                    let job = self.open.remove(&key).expect("only waiting requests are refused");
                    self.note(job, Event::Refuse(reason));
                }
            }
        }
        self.most_slow = self.most_slow.max(self.controller.slow_slots());
    }

    /// Forgets the running requests, whose process is gone.
    pub fn forget_running(&mut self) {
        for (_, key) in std::mem::take(&mut self.ends).into_keys() {
            self.open.remove(&key);
        }
    }

    pub fn cancel(&mut self, key: work::RequestKey) {
        let job = self.open.remove(&key).expect("only running or waiting requests are cancelled");
        self.ends.retain(|it, ()| it.1 != key);
        self.note(job, Event::Cancel);
        let effects = self.controller.cancel(self.now, key);
        self.perform(effects);
    }

    /// Advances the time, and performs the controller's ticks and the ends of requests in order of
    /// time.
    pub fn run_until(&mut self, until: Time) {
        loop {
            let end = self.ends.keys().next().copied();
            let timer = self.controller.next_tick(self.now).unwrap_or(Time::MAX);
            let next = end.map_or(Time::MAX, |it| it.0).min(timer);
            if next > until {
                self.now = until;
                return;
            }
            self.now = self.now.max(next);
            let effects = match end {
                Some((at, key)) if at <= timer => {
                    self.ends.remove(&(at, key));
                    let job = self.open.remove(&key).expect("it runs");
                    self.note(job, Event::Finish);
                    self.controller.finish(self.now, key, work::Outcome::Answered)
                }
                _ => self.controller.tick(self.now),
            };
            self.perform(effects);
        }
    }

    /// Runs `count` requests of a route one after the other, so that the controller measures the
    /// route.
    pub fn measure(&mut self, route: usize, service: Duration, count: usize) {
        for _ in 0..count {
            self.offer(self.work(route), service);
            self.run_until(self.now + service);
        }
    }

    /// Returns the number of jobs of a route that have finished.
    pub fn finished(&self, route: usize) -> usize {
        let of_route = self.jobs.iter().filter(|it| it.work.route == self.routes[route]);
        of_route.filter(|it| it.has(Event::Finish)).count()
    }

    fn note(&mut self, job: usize, event: Event) {
        self.jobs[job].events.push((self.now, event));
    }
}

impl Job {
    pub fn has(&self, event: Event) -> bool {
        self.events.iter().any(|it| it.1 == event)
    }

    pub fn at(&self, event: Event) -> Option<Time> {
        self.events.iter().find(|it| it.1 == event).map(|it| it.0)
    }
}
