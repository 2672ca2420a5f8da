//! The running and waiting requests of a target, and their timers.

use std::collections;

use slotmap::SlotMap;
use world::time::Time;

use crate::{queue, routes, work};

/// A running or waiting request.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) work: work::Work,
    pub(crate) flow: routes::FlowKey,
    pub(crate) state: State,
    timer: Option<Time>,
}

/// Whether a request waits or runs.
#[derive(Clone, Copy, Debug)]
pub(crate) enum State {
    Waiting,
    Running(Run),
}

/// The run of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(crate) started: Time,
    /// Whether the request counted as long when it started.
    pub(crate) long: bool,
    pub(crate) straggler: bool,
    /// How many requests ran when it started, itself included.
    pub(crate) level: u32,
}

/// The arena of requests. Each has at most one timer: the latest start of a waiting request, or the
/// time from which a running one is a straggler.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    arena: SlotMap<work::RequestKey, Request>,
    timers: collections::BTreeSet<(Time, work::RequestKey)>,
}

impl Request {
    /// The flow of the waiting request.
    pub(crate) fn flow_id(&self) -> queue::FlowId {
        queue::FlowId { rank: self.work.rank, team: self.work.team, route: self.flow }
    }
}

impl Requests {
    pub(crate) fn insert(&mut self, work: work::Work, flow: routes::FlowKey) -> work::RequestKey {
        self.arena.insert(Request { work, flow, state: State::Waiting, timer: None })
    }

    /// Removes all requests. None of their keys is given out again.
    pub(crate) fn clear(&mut self) {
        self.timers.clear();
        self.arena.clear();
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

    /// Returns the time of the earliest timer.
    pub(crate) fn next_timer(&self) -> Option<Time> {
        self.timers.first().map(|it| it.0)
    }

    /// Removes the earliest timer if it is due at `now`, and returns its request.
    pub(crate) fn pop_timer(&mut self, now: Time) -> Option<work::RequestKey> {
        let &(at, key) = self.timers.first().filter(|it| it.0 <= now)?;
        self.timers.remove(&(at, key));
        if let Some(it) = self.arena.get_mut(key) {
            it.timer = None;
        }
        Some(key)
    }
}
