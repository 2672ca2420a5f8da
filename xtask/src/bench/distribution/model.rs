//! Discrete-event simulation of one relay and its nodes, with the real relay and updaters. Each
//! message is delayed independently of the others and counts with its encoded size. No message is
//! lost.

use std::{collections, mem, time};

use distribution::{attach, floor, messages, relay, subscribers, updater};
use rand::{Rng as _, SeedableRng as _, rngs};
use serde::Serialize;
use world::{document, time::Time};

/// One-way latency within a data centre.
const LATENCY: time::Duration = time::Duration::from_millis(1);
/// Time between two ticks of a node's updater.
const TICK: time::Duration = time::Duration::from_millis(100);
/// Time between two lease renewals of a backend server, with which it returns its floor token.
const RENEWAL: time::Duration = time::Duration::from_millis(500);
/// Time between two ticks of the relay.
const RELAY_TICK: time::Duration = time::Duration::from_secs(1);

/// Longer than any simulation.
const FOREVER: time::Duration = time::Duration::from_secs(1_000_000);

/// Time that a snapshot takes in addition to the latency.
#[derive(Clone, Copy, Debug)]
pub enum Delay {
    /// The same time for every size.
    Fixed(time::Duration),
    /// The time to transfer it at this many bytes per second.
    Rate(f64),
}

/// A version and the change that makes it.
#[derive(Clone, Debug)]
pub struct Change {
    /// The patch, as a relay sends it to a node that runs the version before.
    pub delta: messages::Delta,
    /// The resulting version with its document.
    pub head: relay::Head,
}

/// A node with its backend server and its traffic.
struct Node {
    updater: updater::Updater,
    session: Option<subscribers::SubscriberKey>,
    /// Floor token that the node's backend server holds.
    token: String,
    /// Whether the node confirms deltas without applying them. Applying them at all nodes would
    /// take most of the bench's time.
    confirms_only: bool,
    running: document::Version,
    /// Control bytes sent and received.
    bytes: u64,
}

enum Event {
    ToNode(usize, messages::ToNode),
    Commit(Change),
    Peer { from: usize, to: usize, of: messages::Numbered },
    RelayTick,
    Renewal(usize),
    Tick(usize),
    ToRelay(usize, messages::ToControl),
}

/// Measurements since the last [`Fleet::start_measuring`].
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// Time until every node ran the latest version; none if the time limit came first.
    pub converged_after: Option<time::Duration>,
    /// Length of the measurement.
    pub window: time::Duration,
    /// Control bytes sent and received, as a mean over the nodes.
    pub mean_bytes: f64,
    /// Control bytes of the node with the most traffic.
    pub max_bytes: u64,
    /// Maximum number of snapshots that the relay had in flight.
    pub peak_snapshots: usize,
    /// Number of snapshots sent by the relay and by peers.
    pub snapshots: u32,
}

/// A relay and its nodes in one data centre.
pub struct Fleet {
    relay: relay::Relay,
    nodes: Vec<Node>,
    delay: Delay,
    /// Size of the document in bytes, which sets the delay of a snapshot from a peer.
    peer_bytes: u64,
    /// Whether a node has switched to another version since this was last checked.
    changed: bool,
    rng: rngs::StdRng,
    now: Time,
    queue: collections::BTreeMap<(Time, u64), Event>,
    /// Number of events so far; orders events that fall on the same time.
    sequence: u64,
    /// Start of the measurement.
    started: Time,
    peak_snapshots: usize,
    snapshots: u32,
}

impl Fleet {
    /// Starts a relay and `count` nodes at the same time. Their backend servers hold floor tokens
    /// for the version of `first`.
    pub fn start(seed: u64, count: usize, first: &Change, delay: Delay) -> Fleet {
        let version = first.head.of.version;
        let mut relay = relay::Relay::new(1, first.head.clone(), [first.delta.clone()], true);
        let now = Time::from_millis(60_000);
        let contact = relay::Contact { known_at: now, until: now + FOREVER };
        relay.update_contact(now, contact, &mut rngs::SmallRng::seed_from_u64(seed));
        let new_node = |index| {
            let settings = updater::Settings {
                node: format!("node-{index}").into(),
                data_centre: "skulte".into(),
                level: document::LEVEL,
                epoch: 2,
                tokens: true,
            };
            let home = "control-skulte";
            let attachment = attach::Attachment::new(home.into(), Vec::new());
            let token = floor::Token { version, epoch: 1 };
            let token = floor::StoredToken { token, home: floor::HomeId::of(home) };
            Node {
                updater: updater::Updater::new(settings, attachment, now),
                session: None,
                token: token.encode().into(),
                confirms_only: false,
                running: document::Version(0),
                bytes: 0,
            }
        };
        let mut fleet = Fleet {
            relay,
            nodes: (0..count).map(new_node).collect(),
            delay,
            peer_bytes: first.head.document.len() as u64,
            changed: true,
            rng: rngs::StdRng::seed_from_u64(seed),
            now,
            queue: collections::BTreeMap::new(),
            sequence: 0,
            started: now,
            peak_snapshots: 0,
            snapshots: 0,
        };
        fleet.push(RELAY_TICK, Event::RelayTick);
        for node in 0..count {
            let tick = fleet.rng.random_range(time::Duration::ZERO..TICK);
            fleet.push(tick, Event::Tick(node));
            let renewal = fleet.rng.random_range(time::Duration::ZERO..RENEWAL);
            fleet.push(renewal, Event::Renewal(node));
        }
        fleet
    }

    /// From now on, only the first `count` nodes apply deltas; the others just confirm them.
    pub fn confirm_only_after(&mut self, count: usize) {
        self.nodes.iter_mut().skip(count).for_each(|it| it.confirms_only = true);
    }

    /// Resets the counters.
    pub fn start_measuring(&mut self) {
        self.started = self.now;
        (self.peak_snapshots, self.snapshots) = (0, 0);
        self.nodes.iter_mut().for_each(|it| it.bytes = 0);
    }

    /// Schedules the commits of these versions at the relay, spread evenly over `span`.
    pub fn commit(&mut self, changes: &[Change], span: time::Duration) {
        for (index, change) in changes.iter().enumerate() {
            let delay = span.mul_f64(index as f64 / changes.len() as f64);
            self.push(delay, Event::Commit(change.clone()));
        }
    }

    /// Simulates until all nodes run `latest`, for at least `least` and at most `most`.
    pub fn measure(
        &mut self,
        latest: document::Version,
        least: time::Duration,
        most: time::Duration,
    ) -> Outcome {
        let mut converged_after = None;
        while self.now.since(self.started) < most {
            let changed = mem::take(&mut self.changed);
            if changed
                && converged_after.is_none()
                && self.nodes.iter().all(|it| it.running >= latest)
            {
                converged_after = Some(self.now.since(self.started));
            }
            if converged_after.is_some() && self.now.since(self.started) >= least {
                break;
            }
            self.step();
        }
        let sum: u64 = self.nodes.iter().map(|it| it.bytes).sum();
        Outcome {
            converged_after,
            window: self.now.since(self.started),
            mean_bytes: sum as f64 / self.nodes.len() as f64,
            max_bytes: self.nodes.iter().map(|it| it.bytes).max().unwrap_or(0),
            peak_snapshots: self.peak_snapshots,
            snapshots: self.snapshots,
        }
    }

    fn push(&mut self, delay: time::Duration, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), event);
    }

    fn step(&mut self) {
        let Some(((at, _), event)) = self.queue.pop_first() else { return };
        self.now = at;
        match event {
            Event::ToNode(node, message) => self.receive_at_node(node, message),
            Event::Commit(Change { delta, head }) => {
                let version = head.of.version;
                let mut effects = self.relay.committed(at, delta, head, &mut self.rng);
                effects.extend(self.relay.synced(at, version, &mut self.rng));
                self.perform_relay(effects);
            }
            Event::Peer { from, to, of } => self.serve_peer(from, to, of),
            Event::RelayTick => {
                let effects = self.relay.tick(at, &mut self.rng);
                self.perform_relay(effects);
                self.push(RELAY_TICK, Event::RelayTick);
            }
            Event::Renewal(node) => {
                let it = &mut self.nodes[node];
                let effects = it.updater.renewal(at, Some(&it.token), &mut self.rng);
                self.perform_node(node, effects);
                self.push(RENEWAL, Event::Renewal(node));
            }
            Event::Tick(node) => {
                let effects = self.nodes[node].updater.tick(at, &mut self.rng);
                self.perform_node(node, effects);
                self.push(TICK, Event::Tick(node));
            }
            Event::ToRelay(node, message) => self.receive_at_relay(node, message),
        }
        self.peak_snapshots = self.peak_snapshots.max(self.relay.subscribers().slots_used());
    }

    fn receive_at_relay(&mut self, node: usize, message: messages::ToControl) {
        let effects = match (message, self.nodes[node].session) {
            (messages::ToControl::Hello(hello), _) => {
                let (key, effects) = self.relay.hello(self.now, hello, &mut self.rng);
                self.nodes[node].session = Some(key);
                effects
            }
            (message, Some(key)) => self.relay.message(self.now, key, message, &mut self.rng),
            (_, None) => Vec::new(),
        };
        self.perform_relay(effects);
    }

    fn receive_at_node(&mut self, node: usize, message: messages::ToNode) {
        if let (true, messages::ToNode::Delta(session, delta)) =
            (self.nodes[node].confirms_only, &message)
        {
            self.nodes[node].running = delta.to.version;
            self.changed = true;
            self.send_to_relay(node, messages::ToControl::Confirm(*session, delta.to));
            return;
        }
        let it = &mut self.nodes[node].updater;
        let Some(control) = it.attachment().keys().next() else { return };
        let effects = it.message(self.now, control, message, &mut self.rng);
        self.perform_node(node, effects);
    }

    fn serve_peer(&mut self, from: usize, to: usize, of: messages::Numbered) {
        let answer = self.nodes[from].updater.serve_peer(of);
        let effects = self.nodes[to].updater.peer_answer(self.now, answer.as_ref(), &mut self.rng);
        if let Some(snapshot) = &answer {
            self.snapshots += 1;
            let size = size(snapshot);
            self.nodes[from].bytes += size;
            self.nodes[to].bytes += size;
        }
        self.perform_node(to, effects);
    }

    fn perform_relay(&mut self, effects: Vec<relay::Effect>) {
        for effect in effects {
            let relay::Effect::Send(key, message) = effect else { continue };
            let Some(subscriber) = self.relay.subscribers().get(key) else { continue };
            let node = index(&subscriber.hello.node);
            let size = size(&message);
            self.nodes[node].bytes += size;
            let mut delay = LATENCY;
            if matches!(message, messages::ToNode::Snapshot(..)) {
                self.snapshots += 1;
                delay += self.delay.of(size);
            }
            self.push(delay, Event::ToNode(node, message));
        }
    }

    fn perform_node(&mut self, node: usize, effects: Vec<updater::Effect>) {
        for effect in effects {
            let message = match effect {
                updater::Effect::SendHello(_, it) => messages::ToControl::Hello(it),
                updater::Effect::AskSnapshot(_, it) => messages::ToControl::AskSnapshot(it),
                updater::Effect::Beat(_, it) => messages::ToControl::Beat(it),
                updater::Effect::Received(_, it, of) => messages::ToControl::Received(it, of),
                updater::Effect::Confirm(_, it, of) => messages::ToControl::Confirm(it, of),
                updater::Effect::Connect(control) => {
                    let it = &mut self.nodes[node].updater;
                    let effects = it.connected(control, &mut self.rng);
                    self.perform_node(node, effects);
                    continue;
                }
                updater::Effect::AskPeer(host, of) => {
                    let from = index(&host);
                    let delay = LATENCY * 2 + self.delay.of(self.peer_bytes);
                    self.push(delay, Event::Peer { from, to: node, of });
                    continue;
                }
                updater::Effect::OfferToken(token) => {
                    self.nodes[node].token = token.into();
                    continue;
                }
                updater::Effect::Run(config) => {
                    self.nodes[node].running = config.version();
                    self.changed = true;
                    continue;
                }
                _ => continue,
            };
            self.send_to_relay(node, message);
        }
    }

    fn send_to_relay(&mut self, node: usize, message: messages::ToControl) {
        self.nodes[node].bytes += size(&message);
        self.push(LATENCY, Event::ToRelay(node, message));
    }
}

impl Delay {
    /// Delay of a snapshot of `size` bytes.
    pub fn of(self, size: u64) -> time::Duration {
        match self {
            Delay::Fixed(it) => it,
            Delay::Rate(rate) => time::Duration::from_secs_f64(size as f64 / rate),
        }
    }
}

/// Encoded size of a message in bytes.
pub fn size(message: &impl Serialize) -> u64 {
    postcard::experimental::serialized_size(message).map_or(0, |it| it as u64)
}

/// Index of the node with this name.
fn index(node: &str) -> usize {
    node.trim_start_matches("node-").parse().unwrap_or(0)
}
