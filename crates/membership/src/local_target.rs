//! The node's side: it decides what its own backend server is announced as.

use std::{net, time};

use compact_str::CompactString;
use world::{targets as objects, time::Time};

use crate::{mechanisms, messages, targets};

/// How often a backend server renews its announcement.
pub const RENEWAL_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// How long an announcement holds without a renewal.
pub const ANNOUNCEMENT_LEASE: time::Duration = time::Duration::from_secs(2);
/// How often a node sends a heartbeat to its control.
pub const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// The node's location, as its settings say.
#[derive(Clone, Debug)]
pub struct Location {
    /// The name of the node's host.
    pub host: CompactString,
    /// The name of its data centre.
    pub data_centre: CompactString,
    /// Where the node listens for other processes.
    pub addr: net::SocketAddr,
}

/// What became of the backend server. The node reports its requests in flight on `Restarted` and
/// `Lost`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Transition {
    /// The first announcement.
    Arrived,
    /// Another process answers than before: a crash or a restart.
    Restarted,
    /// Its connection broke or its lease ended.
    Lost,
    /// The same process announces itself again after it was lost.
    Returned,
    /// It leaves and gets no new work.
    Draining,
    /// It no longer leaves.
    Resumed,
    /// Its cold start is over.
    Warm,
    /// The announcement came from a process that another has replaced, and was ignored.
    Outdated,
}

/// What a call changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Outcome {
    /// What the node acts on.
    pub transition: Option<Transition>,
    /// What the node sends to its control.
    pub event: Option<messages::Event>,
}

/// What a node knows of its backend server.
#[derive(Clone, Debug)]
pub struct LocalTarget {
    location: Location,
    registrar: CompactString,
    backend: Option<Backend>,
    /// The newest order that the registry has reported for this host.
    known_order: messages::Order,
    /// Whether the node itself is stopping.
    stopping: bool,
    lease: time::Duration,
    mechanisms: mechanisms::Mechanisms,
}

#[derive(Clone, Debug)]
struct Backend {
    latest: messages::Announcement,
    entry: messages::Entry,
    /// When its cold start is over.
    warm_at: Time,
    /// Whether it said that it leaves for good. No later announcement revokes it.
    leaving: bool,
    state_since: Time,
    last_heard: Time,
}

impl LocalTarget {
    /// A node that has heard of no backend server, attached to the control of `registrar`.
    pub fn new(
        location: Location,
        registrar: CompactString,
        mechanisms: mechanisms::Mechanisms,
    ) -> LocalTarget {
        let known_order = messages::Order::default();
        LocalTarget {
            location,
            registrar,
            backend: None,
            known_order,
            stopping: false,
            lease: ANNOUNCEMENT_LEASE,
            mechanisms,
        }
    }

    /// Sets how long an announcement holds without a renewal, for backend servers that announce
    /// themselves less often than each [`RENEWAL_INTERVAL`].
    pub fn set_lease(&mut self, lease: time::Duration) {
        self.lease = lease;
    }

    /// What the node announces; none before the first announcement.
    pub fn entry(&self) -> Option<&messages::Entry> {
        self.backend.as_ref().map(|it| &it.entry)
    }

    /// Whether the backend server may be given new work.
    pub fn takes_work(&self) -> bool {
        self.entry().is_some_and(|it| it.state.takes_work())
    }

    /// Whether the backend server itself says how long its cold start lasts.
    pub fn reports_cold_start(&self) -> bool {
        self.backend.as_ref().is_some_and(|it| it.latest.cold_ms.is_some())
    }

    /// Takes an announcement or a renewal.
    pub fn announce(&mut self, now: Time, announcement: &messages::Announcement) -> Outcome {
        let Some(backend) = &mut self.backend else {
            self.start_backend(now, announcement);
            return self.outcome(now, Transition::Arrived);
        };
        if announcement.incarnation != backend.latest.incarnation {
            let gone = backend.entry.state == objects::State::Gone;
            // A renewal can be late and arrive after the next process has announced itself.
            if announcement.incarnation < backend.latest.incarnation && !gone {
                return Outcome { transition: Some(Transition::Outdated), event: None };
            }
            self.start_backend(now, announcement);
            return self.outcome(now, Transition::Restarted);
        }
        // Two announcements may overtake each other on their way.
        if announcement.sequence < backend.latest.sequence {
            return Outcome::default();
        }
        backend.last_heard = now;
        backend.latest = announcement.clone();
        let wanted = wanted_state(now, backend, self.stopping);
        let before = backend.entry.state;
        let changed = wanted != before
            || backend.entry.slots != announcement.slots
            || backend.entry.service != announcement.service;
        if !changed {
            return Outcome::default();
        }
        backend.entry.slots = announcement.slots;
        backend.entry.service = announcement.service.clone();
        self.set_state(now, wanted);
        let transition = match (before, wanted) {
            (objects::State::Gone, _) => Some(Transition::Returned),
            (_, objects::State::Draining) if before != wanted => Some(Transition::Draining),
            (objects::State::Draining, _) if before != wanted => Some(Transition::Resumed),
            (objects::State::Starting, objects::State::Serving) => Some(Transition::Warm),
            _ => None,
        };
        Outcome { transition, event: self.event(now) }
    }

    /// Ends the lease and the cold start when they are due.
    pub fn tick(&mut self, now: Time) -> Outcome {
        let Some(backend) = &self.backend else {
            return Outcome::default();
        };
        let silent = now.since(backend.last_heard) >= self.lease;
        if silent && self.mechanisms.leases {
            return self.backend_lost(now);
        }
        let warm = backend.entry.state == objects::State::Starting && now >= backend.warm_at;
        if !warm {
            return Outcome::default();
        }
        self.set_state(now, objects::State::Serving);
        Outcome { transition: Some(Transition::Warm), event: self.event(now) }
    }

    /// The backend server's connections broke, or it left: it gets no new work from here on.
    pub fn backend_lost(&mut self, now: Time) -> Outcome {
        if self.entry().is_none_or(|it| it.state == objects::State::Gone) {
            return Outcome::default();
        }
        self.set_state(now, objects::State::Gone);
        Outcome { transition: Some(Transition::Lost), event: self.event(now) }
    }

    /// The backend server leaves for good: it finishes what it has and gets no new work.
    pub fn backend_leaving(&mut self, now: Time) -> Outcome {
        if let Some(backend) = &mut self.backend {
            backend.leaving = true;
        }
        if !self.takes_work() {
            return Outcome::default();
        }
        self.set_state(now, objects::State::Draining);
        Outcome { transition: Some(Transition::Draining), event: self.event(now) }
    }

    /// The node begins a planned stop. No renewal revokes it.
    pub fn node_stopping(&mut self, now: Time) -> Outcome {
        self.stopping = true;
        if !self.takes_work() {
            return Outcome::default();
        }
        self.set_state(now, objects::State::Draining);
        Outcome { transition: Some(Transition::Draining), event: self.event(now) }
    }

    /// The node attaches to the control of another data centre, or back to its home's.
    pub fn attach(&mut self, now: Time, registrar: CompactString) -> Option<messages::Event> {
        if self.registrar == registrar {
            return None;
        }
        self.registrar = registrar.clone();
        let backend = self.backend.as_mut()?;
        backend.entry.registrar = registrar;
        self.raise_order();
        self.event(now)
    }

    /// The heartbeat to send.
    pub fn heartbeat(&self) -> messages::Heartbeat {
        let digest = self.entry().map(messages::Entry::digest);
        messages::Heartbeat { host: self.location.host.clone(), digest }
    }

    /// Takes the answer to a heartbeat. The event that it may return replaces what the registry
    /// holds: a removal after a lease ended, or what this node's former process announced.
    pub fn heartbeat_answered(
        &mut self,
        now: Time,
        answer: &messages::HeartbeatAnswer,
    ) -> Option<messages::Event> {
        if let Some(known) = answer.known
            && self.mechanisms.known_orders
        {
            self.known_order = self.known_order.max(known);
        }
        if !answer.wanted {
            return None;
        }
        let backend = self.backend.as_ref()?;
        if backend.entry.order <= self.known_order {
            self.raise_order();
        }
        self.event(now)
    }

    fn start_backend(&mut self, now: Time, announcement: &messages::Announcement) {
        let former = self.entry().map_or(0, |it| it.order.incarnation);
        // The clock of the host may have been set back between two starts.
        let incarnation = match &self.backend {
            Some(_) => announcement.incarnation.max(former + 1),
            None => announcement.incarnation,
        };
        let entry = messages::Entry {
            host: self.location.host.clone(),
            data_centre: self.location.data_centre.clone(),
            service: announcement.service.clone(),
            addr: self.location.addr,
            order: messages::Order { incarnation, sequence: 0 },
            slots: announcement.slots,
            state: objects::State::Starting,
            registrar: self.registrar.clone(),
        };
        let latest = announcement.clone();
        let cold = latest.cold_ms.map_or(objects::RAMP, time::Duration::from_millis);
        let warm_at = now + cold;
        let mut backend =
            Backend { latest, entry, warm_at, leaving: false, state_since: now, last_heard: now };
        backend.entry.state = wanted_state(now, &backend, self.stopping);
        self.backend = Some(backend);
        self.raise_order();
    }

    fn outcome(&mut self, now: Time, transition: Transition) -> Outcome {
        Outcome { transition: Some(transition), event: self.event(now) }
    }

    fn set_state(&mut self, now: Time, state: objects::State) {
        if let Some(backend) = &mut self.backend {
            if backend.entry.state != state {
                backend.entry.state = state;
                backend.state_since = now;
            }
            self.raise_order();
        }
    }

    /// Gives the entry an order above all that were used for this host.
    fn raise_order(&mut self) {
        let known_order = self.known_order;
        let Some(backend) = &mut self.backend else {
            return;
        };
        let order = &mut backend.entry.order;
        let base = (*order).max(known_order);
        *order = messages::Order { sequence: base.sequence + 1, ..base };
    }

    fn event(&self, now: Time) -> Option<messages::Event> {
        self.backend.as_ref().map(|it| targets::event(now, &it.entry, it.state_since))
    }
}

fn wanted_state(now: Time, backend: &Backend, stopping: bool) -> objects::State {
    if backend.latest.drain || backend.leaving || stopping {
        return objects::State::Draining;
    }
    if now < backend.warm_at {
        return objects::State::Starting;
    }
    objects::State::Serving
}
