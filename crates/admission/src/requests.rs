//! Requests that run or wait, and the points in time that concern them.

use std::collections;

use slotmap::SlotMap;
use world::time::Time;

use crate::{routes, work};

/// A request that runs or waits.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) work: work::Work,
    pub(crate) flow: routes::FlowKey,
    pub(crate) state: State,
    timer: Option<Time>,
}

/// How far a request is.
#[derive(Clone, Copy, Debug)]
pub(crate) enum State {
    Waiting,
    Running(Run),
}

/// A request's run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(crate) started: Time,
    /// Whether it counted as long work when it started.
    pub(crate) long: bool,
    pub(crate) straggler: bool,
}

/// The arena of requests with at most one timer each: the latest start of a request that waits,
/// or the point from which a running one is a straggler.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    arena: SlotMap<work::RequestKey, Request>,
    timers: collections::BTreeSet<(Time, work::RequestKey)>,
}

impl Requests {
    pub(crate) fn insert(&mut self, work: work::Work, flow: routes::FlowKey) -> work::RequestKey {
        self.arena.insert(Request { work, flow, state: State::Waiting, timer: None })
    }

    pub(crate) fn remove(&mut self, key: work::RequestKey) -> Option<Request> {
        self.set_timer(key, None);
        self.arena.remove(key)
    }

    pub(crate) fn get(&self, key: work::RequestKey) -> Option<&Request> {
        self.arena.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: work::RequestKey) -> Option<&mut Request> {
        self.arena.get_mut(key)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (work::RequestKey, &Request)> {
        self.arena.iter()
    }

    pub(crate) fn set_timer(&mut self, key: work::RequestKey, at: Option<Time>) {
        let Some(it) = self.arena.get_mut(key) else {
            return;
        };
        if let Some(old) = it.timer {
            self.timers.remove(&(old, key));
        }
        it.timer = at;
        if let Some(at) = at {
            self.timers.insert((at, key));
        }
    }

    /// The earliest timer.
    pub(crate) fn next_timer(&self) -> Option<Time> {
        self.timers.first().map(|it| it.0)
    }

    /// Takes the earliest timer that is due at `now`.
    pub(crate) fn pop_timer(&mut self, now: Time) -> Option<work::RequestKey> {
        let &(at, key) = self.timers.first().filter(|it| it.0 <= now)?;
        self.timers.remove(&(at, key));
        if let Some(it) = self.arena.get_mut(key) {
            it.timer = None;
        }
        Some(key)
    }
}
