//! The node's side of the registry: what its own backend server is announced as.

use std::{net, time};

use compact_str::CompactString;
use world::{targets as objects, time::Time};

use crate::{messages, targets, toggles};

/// The interval at which a backend server is asked to renew its announcement.
pub const RENEWAL_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// How long an announcement is valid without a renewal, unless [`LocalTarget::set_lease`] changes
/// it.
pub const ANNOUNCEMENT_LEASE: time::Duration = time::Duration::from_secs(2);
/// The interval at which a node sends heartbeats to its control.
pub const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Where a node runs, according to its settings.
#[derive(Clone, Debug)]
pub struct Location {
    /// The name of the node's host.
    pub host: CompactString,
    /// The name of its data centre.
    pub data_centre: CompactString,
    /// The address where the node listens for other processes.
    pub addr: net::SocketAddr,
}

/// What happened to the backend server. On `Restarted` and `Lost`, the node reports the requests
/// that were in flight as evidence of a crash.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Transition {
    /// It announced itself for the first time since the node started.
    Arrived,
    /// Another process of it announced itself, after a crash or a restart.
    Restarted,
    /// Its connections broke, or its announcement was not renewed in time.
    Lost,
    /// The same process announced itself again after it was lost.
    Returned,
    /// It drains, and gets no new work.
    Draining,
    /// It no longer drains.
    Resumed,
    /// Its cold start is over.
    Warm,
    /// The announcement was ignored, since a later one of the same process arrived before it.
    Late,
    /// The announcement was ignored, since it came from a process that another has replaced.
    Outdated,
}

/// What a call changed; empty when it changed nothing.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Outcome {
    /// What happened to the backend server, for the node to act on.
    pub transition: Option<Transition>,
    /// The change of the entry, for the node to send to its control.
    pub event: Option<messages::Event>,
}

/// A node's backend server, and the entry that the node announces for it.
#[derive(Clone, Debug)]
pub struct LocalTarget {
    location: Location,
    /// The data centre whose control the node is attached to.
    registrar: CompactString,
    backend: Option<Backend>,
    /// The newest order that the registry has reported for this host.
    known_order: messages::Order,
    /// What the registry answered to the first heartbeat of this process, and when.
    first_answer: Option<(Time, Option<messages::Entry>)>,
    /// The digest of the entry that the registry holds and has recorded, as of its last answer.
    held_digest: Option<u64>,
    /// The last process that left without having announced itself to this process of the node.
    left: Option<messages::Entry>,
    /// Whether the registry has recorded that, as of its last answer.
    left_recorded: bool,
    /// Whether the node itself is stopping, which drains the backend server.
    stopping: bool,
    lease: time::Duration,
    toggles: toggles::Toggles,
}

#[derive(Clone, Debug)]
struct Backend {
    latest: messages::Announcement,
    entry: messages::Entry,
    /// When its cold start ends.
    warm_at: Time,
    /// When it entered its state.
    state_since: Time,
    /// When its last announcement arrived.
    last_contact: Time,
    /// The sequence of the last announcement that was below the latest one and arrived after the
    /// lease of that one had ended.
    late_sequence: Option<u64>,
}

impl LocalTarget {
    /// A node without a backend server, attached to the control `registrar`.
    pub fn new(
        location: Location,
        registrar: CompactString,
        toggles: toggles::Toggles,
    ) -> LocalTarget {
        let known_order = messages::Order::default();
        LocalTarget {
            location,
            registrar,
            backend: None,
            known_order,
            first_answer: None,
            held_digest: None,
            left: None,
            left_recorded: false,
            stopping: false,
            lease: ANNOUNCEMENT_LEASE,
            toggles,
        }
    }

    /// Sets how long an announcement is valid without a renewal, for backend servers that renew it
    /// less often than every [`RENEWAL_INTERVAL`]. The default is [`ANNOUNCEMENT_LEASE`].
    pub fn set_lease(&mut self, lease: time::Duration) {
        self.lease = lease;
    }

    /// The entry that the node announces; none before the first announcement of the backend server.
    pub fn entry(&self) -> Option<&messages::Entry> {
        self.backend.as_ref().map(|it| &it.entry)
    }

    /// Whether the backend server may be given new requests.
    pub fn takes_work(&self) -> bool {
        self.entry().is_some_and(|it| it.state.takes_work())
    }

    /// Whether the backend server itself announces how long its cold start lasts.
    pub fn reports_cold_start(&self) -> bool {
        self.backend.as_ref().is_some_and(|it| it.latest.cold_ms.is_some())
    }

    /// Handles an announcement or a renewal of it. One that arrives late, of a replaced process or
    /// after a newer one of the same process, changes nothing.
    pub fn announce(&mut self, now: Time, announcement: &messages::Announcement) -> Outcome {
        let Some(backend) = &mut self.backend else {
            return self.announce_first(now, announcement);
        };
        if announcement.incarnation != backend.latest.incarnation {
            let gone = backend.entry.state == objects::State::Gone;
            // A renewal can arrive late, after the next process has announced itself.
            if announcement.incarnation < backend.latest.incarnation && !gone {
                return Outcome { transition: Some(Transition::Outdated), event: None };
            }
            self.start_backend(now, announcement);
            return self.outcome(now, Transition::Restarted);
        }
        // A later announcement can overtake an earlier one on the way.
        if announcement.sequence < backend.latest.sequence
            && !backend.counts_anew(announcement.sequence)
        {
            return Outcome { transition: Some(Transition::Late), event: None };
        }
        backend.late_sequence = None;
        backend.last_contact = now;
        // The first announcement may have named a longer time than the ones that follow.
        if let Some(cold) = announcement.cold_ms {
            backend.warm_at = backend.warm_at.min(now + time::Duration::from_millis(cold));
        }
        backend.latest = announcement.clone();
        let state = announced_state(now, backend, self.stopping);
        let before = backend.entry.state;
        let changed = state != before
            || backend.entry.slots != announcement.slots
            || backend.entry.service != announcement.service
            || backend.entry.version != announcement.version;
        if !changed {
            return Outcome::default();
        }
        backend.entry.slots = announcement.slots;
        backend.entry.service = announcement.service.clone();
        backend.entry.version = announcement.version.clone();
        backend.entry.announced.sequence = announcement.sequence;
        self.set_state(now, state);
        let transition = match (before, state) {
            (objects::State::Gone, _) => Some(Transition::Returned),
            (_, objects::State::Draining) if before != state => Some(Transition::Draining),
            (objects::State::Draining, _) if before != state => Some(Transition::Resumed),
            (objects::State::Starting, objects::State::Serving) => Some(Transition::Warm),
            _ => None,
        };
        Outcome { transition, event: self.event(now) }
    }

    /// Ends the announcement's lease and the cold start when they are due.
    pub fn tick(&mut self, now: Time) -> Outcome {
        let Some(backend) = &self.backend else {
            return Outcome::default();
        };
        let expired = now.since(backend.last_contact) >= self.lease;
        if expired && self.toggles.leases {
            return self.backend_lost(now);
        }
        let warm = backend.entry.state == objects::State::Starting && now >= backend.warm_at;
        if !warm {
            return Outcome::default();
        }
        self.set_state(now, objects::State::Serving);
        Outcome { transition: Some(Transition::Warm), event: self.event(now) }
    }

    /// The backend server's connections broke, or it left: its entry is removed, and it gets no new
    /// work until it announces itself again.
    pub fn backend_lost(&mut self, now: Time) -> Outcome {
        if self.entry().is_none_or(|it| it.state == objects::State::Gone) {
            return Outcome::default();
        }
        self.set_state(now, objects::State::Gone);
        Outcome { transition: Some(Transition::Lost), event: self.event(now) }
    }

    /// The backend server shuts down permanently: it finishes its requests and gets no new ones.
    pub fn backend_leaving(&mut self, now: Time) -> Outcome {
        let Some(backend) = &mut self.backend else {
            return Outcome::default();
        };
        if std::mem::replace(&mut backend.entry.announced.leaving, true) {
            return Outcome::default();
        }
        if self.takes_work() {
            self.set_state(now, objects::State::Draining);
            return self.outcome(now, Transition::Draining);
        }
        self.raise_order();
        Outcome { transition: None, event: self.event(now) }
    }

    /// A backend server shuts down permanently that has not announced itself to this process of the
    /// node, at `at_us` by the wall clock. Its announcements may still arrive, after a restart of the
    /// node as well, so the registry is to record the leave, unless another backend server is
    /// announced.
    pub fn unannounced_leaving(&mut self, now: Time, instance: u32, at_us: u64) -> Outcome {
        let known = self.left.as_ref().is_some_and(|it| it.announced.instance == instance);
        if !known {
            self.left_recorded = false;
            self.left = Some(messages::Entry {
                host: self.location.host.clone(),
                data_centre: self.location.data_centre.clone(),
                service: CompactString::const_new(messages::UNANNOUNCED_SERVICE),
                addr: self.location.addr,
                order: self.known_order.next(),
                slots: 1,
                state: objects::State::Gone,
                announced: messages::Announced {
                    incarnation: at_us,
                    sequence: 0,
                    leaving: true,
                    instance,
                },
                registrar: self.registrar.clone(),
                version: CompactString::default(),
            });
        }
        Outcome { transition: None, event: self.left_event(now) }
    }

    /// Whether the last leave of [`LocalTarget::unannounced_leaving`] needs no record, or has one.
    pub fn is_left_recorded(&self) -> bool {
        self.backend.is_some() || self.left.is_none() || self.left_recorded
    }

    /// The leave that the registry is to record; none before it has told its newest order.
    fn left_event(&self, now: Time) -> Option<messages::Event> {
        let left = self.left.as_ref().filter(|_| self.backend.is_none())?;
        (self.knows_registry() && !self.left_recorded).then(|| targets::event(now, left, now))
    }

    /// The node begins a planned stop: the backend server drains, and no renewal revokes that.
    pub fn node_stopping(&mut self, now: Time) -> Outcome {
        self.stopping = true;
        if !self.takes_work() {
            return Outcome::default();
        }
        self.set_state(now, objects::State::Draining);
        Outcome { transition: Some(Transition::Draining), event: self.event(now) }
    }

    /// The node attached to the control `registrar`, which holds its lease from
    /// now on. Returns the changed entry; none when nothing changed or there is no backend server.
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

    /// The heartbeat to send to the control now.
    pub fn heartbeat(&self) -> messages::Heartbeat {
        let digest = self.entry().map(messages::Entry::digest);
        messages::Heartbeat { host: self.location.host.clone(), digest }
    }

    /// Whether the registry has answered a heartbeat of this process. Until then, the entry may
    /// contradict what the node's former process announced, and is not to be sent.
    pub fn knows_registry(&self) -> bool {
        self.first_answer.is_some()
    }

    /// The incarnation of the process with this name, if it left before it announced itself, or if the
    /// registry held its entry when the node started.
    pub fn known_incarnation(&self, instance: u32) -> Option<u64> {
        let held = self.first_answer.as_ref().and_then(|it| it.1.as_ref());
        let mut known = self.left.iter().chain(held).map(|it| it.announced);
        known.find(|it| it.instance == instance).map(|it| it.incarnation)
    }

    /// Whether the registry holds the entry that the node announces, as of its last answer, and has
    /// recorded it if it is a departure.
    pub fn is_registered(&self) -> bool {
        self.held_digest.is_some() && self.held_digest == self.entry().map(messages::Entry::digest)
    }

    /// Handles the answer to a heartbeat. When the registry wants the entry, the outcome has an
    /// event that replaces what the registry holds, such as a removal after a lease ended, or what
    /// the node's process announced before its restart. What the backend server announced to that
    /// process and what is later than the announcements since is kept to.
    pub fn heartbeat_answered(&mut self, now: Time, answer: &messages::HeartbeatAnswer) -> Outcome {
        self.held_digest = answer.digest.filter(|_| answer.recorded);
        if let Some(known) = answer.known.filter(|it| it.is_valid())
            && self.toggles.known_orders
        {
            self.known_order = self.known_order.max(known);
        }
        let first = self.first_answer.is_none();
        if first {
            self.first_answer = Some((now, answer.held.clone()));
        }
        self.record_left(answer);
        let transition = answer.held.as_ref().and_then(|held| self.keep_to(now, held, first));
        let Some(backend) = self.backend.as_ref().filter(|_| answer.wanted) else {
            return Outcome { transition, event: self.left_event(now) };
        };
        if backend.entry.order <= self.known_order {
            self.raise_order();
        }
        Outcome { transition, event: self.event(now) }
    }

    /// Compares a leave of [`LocalTarget::unannounced_leaving`] with what the registry holds. If that
    /// is something else, the leave gets a newer order.
    fn record_left(&mut self, answer: &messages::HeartbeatAnswer) {
        let Some(left) = &mut self.left else {
            return;
        };
        let held = answer.held.as_ref().map(|it| it.announced);
        self.left_recorded = answer.recorded && held == Some(left.announced);
        left.order = left.order.max(self.known_order.next());
    }

    /// Handles the first announcement since the node started. It may be a late one, which the
    /// registry can tell when it has answered a heartbeat.
    fn announce_first(&mut self, now: Time, announcement: &messages::Announcement) -> Outcome {
        let answer = self.first_answer.clone();
        let held = answer.and_then(|(at, held)| held.filter(|_| now.since(at) < self.lease));
        let replaced = |it: &messages::Entry| {
            it.state != objects::State::Gone && announcement.incarnation < it.announced.incarnation
        };
        if held.as_ref().is_some_and(replaced) {
            return Outcome { transition: Some(Transition::Outdated), event: None };
        }
        self.start_backend(now, announcement);
        let held = self.first_answer.as_ref().and_then(|it| it.1.clone());
        if let Some(held) = held {
            self.keep_to(now, &held, true);
        }
        self.outcome(now, Transition::Arrived)
    }

    /// Keeps to what the registry holds of the same process: that it shuts down permanently, and,
    /// when the node has just started, an announcement that is later than the one that it got.
    /// Returns what this changed.
    fn keep_to(&mut self, now: Time, held: &messages::Entry, started: bool) -> Option<Transition> {
        let backend = self.backend.as_mut()?;
        let named =
            backend.latest.instance != 0 && backend.latest.instance == held.announced.instance;
        if started && named && !backend.latest.dated {
            backend.latest.incarnation = held.announced.incarnation;
            backend.entry.announced.incarnation = held.announced.incarnation;
        }
        let same = held.announced.incarnation == backend.latest.incarnation;
        if !same && !held.ends(backend.entry.announced) {
            return None;
        }
        backend.entry.announced.leaving |= held.announced.leaving;
        let later = same && held.announced.sequence > backend.latest.sequence;
        // A removed target may have drained before that; a late announcement does not show that it
        // takes work.
        let departed = matches!(held.state, objects::State::Draining | objects::State::Gone);
        if started && later && departed {
            backend.latest.sequence = held.announced.sequence;
            backend.latest.drain = true;
            backend.entry.announced.sequence = held.announced.sequence;
        }
        let drains = announced_state(now, backend, self.stopping) == objects::State::Draining;
        if !drains || !self.takes_work() {
            return None;
        }
        self.set_state(now, objects::State::Draining);
        Some(Transition::Draining)
    }

    /// Replaces the backend server by the process that announced itself.
    fn start_backend(&mut self, now: Time, announcement: &messages::Announcement) {
        let former = self.entry().map(|it| it.order);
        self.known_order = self.known_order.max(former.unwrap_or_default());
        // The clock of the host may have been set back between the two starts.
        let incarnation = announcement.incarnation.max(former.map_or(0, |it| it.incarnation + 1));
        let incarnation = incarnation.min(messages::MAX_ORDER);
        let entry = messages::Entry {
            host: self.location.host.clone(),
            data_centre: self.location.data_centre.clone(),
            service: announcement.service.clone(),
            addr: self.location.addr,
            order: messages::Order { incarnation, sequence: 0 },
            slots: announcement.slots,
            state: objects::State::Starting,
            announced: messages::Announced {
                incarnation: announcement.incarnation,
                sequence: announcement.sequence,
                leaving: false,
                instance: announcement.instance,
            },
            registrar: self.registrar.clone(),
            version: announcement.version.clone(),
        };
        let latest = announcement.clone();
        let cold = latest.cold_ms.map_or(objects::SLOW_START, time::Duration::from_millis);
        let warm_at = now + cold;
        let mut backend = Backend {
            latest,
            entry,
            warm_at,
            state_since: now,
            last_contact: now,
            late_sequence: None,
        };
        let left = self.left.as_ref().is_some_and(|it| it.ends(backend.entry.announced));
        backend.entry.announced.leaving = left;
        backend.entry.state = announced_state(now, &backend, self.stopping);
        self.backend = Some(backend);
        self.raise_order();
    }

    fn outcome(&mut self, now: Time, transition: Transition) -> Outcome {
        Outcome { transition: Some(transition), event: self.event(now) }
    }

    /// Gives the entry this state and a new order.
    fn set_state(&mut self, now: Time, state: objects::State) {
        if let Some(backend) = &mut self.backend {
            if backend.entry.state != state {
                backend.entry.state = state;
                backend.state_since = now;
            }
            self.raise_order();
        }
    }

    /// Gives the entry an order above all orders used for this host so far.
    fn raise_order(&mut self) {
        let known_order = self.known_order;
        let Some(backend) = &mut self.backend else {
            return;
        };
        let order = &mut backend.entry.order;
        *order = (*order).max(known_order).next();
    }

    fn event(&self, now: Time) -> Option<messages::Event> {
        self.backend.as_ref().map(|it| targets::event(now, &it.entry, it.state_since))
    }
}

impl Backend {
    /// Whether an announcement with a sequence below the latest one is no late one. That is so when
    /// the lease of the latest one has ended and another with a lower sequence arrived since: the
    /// process goes on counting there, and the latest one had another writer.
    fn counts_anew(&mut self, sequence: u64) -> bool {
        if self.entry.state != objects::State::Gone {
            return false;
        }
        self.late_sequence.replace(sequence).is_some_and(|it| it < sequence)
    }
}

/// The state that a backend server that announces itself is in.
fn announced_state(now: Time, backend: &Backend, stopping: bool) -> objects::State {
    if backend.latest.drain || backend.entry.announced.leaving || stopping {
        return objects::State::Draining;
    }
    if now < backend.warm_at {
        return objects::State::Starting;
    }
    objects::State::Serving
}
