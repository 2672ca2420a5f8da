//! One relay and its nodes in virtual time. Each message is delayed on its own and counted with
//! the size of its encoding.

use std::{collections, mem, time};

use distribution::{attach, floor, messages, relay, subscribers, updater};
use rand::{Rng as _, SeedableRng as _, rngs};
use serde::Serialize;
use world::{document, time::Time};

/// One-way latency inside a data centre.
const LATENCY: time::Duration = time::Duration::from_millis(1);
/// Time between two ticks of a follower.
const TICK: time::Duration = time::Duration::from_millis(100);
/// Time between two renewals of a backend server.
const RENEWAL: time::Duration = time::Duration::from_millis(500);
/// Time between two ticks of the relay.
const RELAY_TICK: time::Duration = time::Duration::from_secs(1);

/// How long a snapshot is on its way.
#[derive(Clone, Copy, Debug)]
pub enum Delay {
    /// This long, whatever its size.
    Fixed(time::Duration),
    /// As long as this many bytes a second take.
    Rate(f64),
}

/// A version and the change that makes it.
#[derive(Clone, Debug)]
pub struct Change {
    /// The change.
    pub delta: messages::Delta,
    /// The version.
    pub head: relay::Head,
}

/// A node and what it cost.
struct Node {
    follower: updater::Updater,
    session: Option<subscribers::SubscriberKey>,
    /// The backend server's memory.
    token: String,
    /// Confirms deltas without applying them, which would take most of the bench's time.
    shadow: bool,
    runs: document::Version,
    bytes: u64,
}

enum Event {
    Down(usize, messages::ToNode),
    Learn(Change),
    Peer { from: usize, to: usize, of: messages::Numbered },
    RelayTick,
    Renewal(usize),
    Tick(usize),
    Up(usize, messages::ToControl),
}

/// What happened since the last [`Fleet::start_measuring`].
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// Until every node ran the latest version; none when that did not happen in the time given.
    pub took: Option<time::Duration>,
    /// Measured time.
    pub window: time::Duration,
    /// Mean of the control bytes of a node, sent and received.
    pub mean_bytes: f64,
    /// Control bytes of the node with the most.
    pub most_bytes: u64,
    /// The most snapshots that the relay had under way at once.
    pub most_slots: usize,
    /// Snapshots sent by relay and peers.
    pub snapshots: u32,
}

/// A relay with its nodes.
pub struct Fleet {
    relay: relay::Relay,
    nodes: Vec<Node>,
    delay: Delay,
    /// The size of the snapshot that a peer sends.
    peer_size: u64,
    /// A node began to run a version since the last look.
    changed: bool,
    rng: rngs::StdRng,
    now: Time,
    queue: collections::BTreeMap<(Time, u64), Event>,
    serial: u64,
    begun: Time,
    most_slots: usize,
    snapshots: u32,
}

impl Fleet {
    /// All nodes start at once, and their backend servers hold tokens for `head`.
    pub fn start(seed: u64, count: usize, head: &Change, delay: Delay) -> Fleet {
        let version = head.head.of.version;
        let mut relay = relay::Relay::new(1, head.head.clone(), [head.delta.clone()], true);
        relay.set_isolated(false);
        let now = Time::from_millis(60_000);
        let new_node = |index| {
            let settings = updater::Settings {
                node: format!("node-{index}").into(),
                data_centre: "skulte".into(),
                level: document::LEVEL,
                epoch: 2,
                tokens: true,
            };
            let attachment = attach::Attachment::new("control-skulte".into(), Vec::new());
            Node {
                follower: updater::Updater::new(settings, attachment, now),
                session: None,
                token: floor::Token { version, epoch: 1 }.encode().into(),
                shadow: false,
                runs: document::Version(0),
                bytes: 0,
            }
        };
        let mut fleet = Fleet {
            relay,
            nodes: (0..count).map(new_node).collect(),
            delay,
            peer_size: head.head.document.len() as u64,
            changed: true,
            rng: rngs::StdRng::seed_from_u64(seed),
            now,
            queue: collections::BTreeMap::new(),
            serial: 0,
            begun: now,
            most_slots: 0,
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

    /// Only the first `count` nodes apply deltas from now on.
    pub fn shadow_after(&mut self, count: usize) {
        self.nodes.iter_mut().skip(count).for_each(|it| it.shadow = true);
    }

    /// Sets the counters back.
    pub fn start_measuring(&mut self) {
        self.begun = self.now;
        (self.most_slots, self.snapshots) = (0, 0);
        self.nodes.iter_mut().for_each(|it| it.bytes = 0);
    }

    /// The control gets these versions, spread evenly over `span`.
    pub fn learn(&mut self, changes: &[Change], span: time::Duration) {
        for (index, change) in changes.iter().enumerate() {
            let delay = span.mul_f64(index as f64 / changes.len() as f64);
            self.push(delay, Event::Learn(change.clone()));
        }
    }

    /// Runs until all nodes run `latest`, at least for `least` and at most for `most`.
    pub fn measure(
        &mut self,
        latest: document::Version,
        least: time::Duration,
        most: time::Duration,
    ) -> Outcome {
        let mut took = None;
        while self.now.since(self.begun) < most {
            let changed = mem::take(&mut self.changed);
            if changed && took.is_none() && self.nodes.iter().all(|it| it.runs >= latest) {
                took = Some(self.now.since(self.begun));
            }
            if took.is_some() && self.now.since(self.begun) >= least {
                break;
            }
            self.step();
        }
        let sum: u64 = self.nodes.iter().map(|it| it.bytes).sum();
        Outcome {
            took,
            window: self.now.since(self.begun),
            mean_bytes: sum as f64 / self.nodes.len() as f64,
            most_bytes: self.nodes.iter().map(|it| it.bytes).max().unwrap_or(0),
            most_slots: self.most_slots,
            snapshots: self.snapshots,
        }
    }

    fn push(&mut self, delay: time::Duration, event: Event) {
        self.serial += 1;
        self.queue.insert((self.now + delay, self.serial), event);
    }

    fn step(&mut self) {
        let Some(((at, _), event)) = self.queue.pop_first() else { return };
        self.now = at;
        match event {
            Event::Down(node, message) => self.receive(node, message),
            Event::Learn(Change { delta, head }) => {
                let version = head.of.version;
                let mut effects = self.relay.committed(at, delta, head, &mut self.rng);
                effects.extend(self.relay.synced(at, version, &mut self.rng));
                self.answer(effects);
            }
            Event::Peer { from, to, of } => self.serve_peer(from, to, of),
            Event::RelayTick => {
                let effects = self.relay.tick(at, &mut self.rng);
                self.answer(effects);
                self.push(RELAY_TICK, Event::RelayTick);
            }
            Event::Renewal(node) => {
                let it = &mut self.nodes[node];
                let effects = it.follower.renewal(at, Some(&it.token), &mut self.rng);
                self.perform(node, effects);
                self.push(RENEWAL, Event::Renewal(node));
            }
            Event::Tick(node) => {
                let effects = self.nodes[node].follower.tick(at, &mut self.rng);
                self.perform(node, effects);
                self.push(TICK, Event::Tick(node));
            }
            Event::Up(node, message) => self.ask(node, message),
        }
        self.most_slots = self.most_slots.max(self.relay.subscribers().slots_used());
    }

    fn ask(&mut self, node: usize, message: messages::ToControl) {
        let effects = match (message, self.nodes[node].session) {
            (messages::ToControl::Hello(hello), _) => {
                let (key, effects) = self.relay.hello(self.now, hello, &mut self.rng);
                self.nodes[node].session = Some(key);
                effects
            }
            (message, Some(key)) => self.relay.message(self.now, key, message, &mut self.rng),
            (_, None) => Vec::new(),
        };
        self.answer(effects);
    }

    fn receive(&mut self, node: usize, message: messages::ToNode) {
        if let (true, messages::ToNode::Delta(session, delta)) = (self.nodes[node].shadow, &message)
        {
            self.nodes[node].runs = delta.to.version;
            self.changed = true;
            self.send_up(node, messages::ToControl::Confirm(*session, delta.to));
            return;
        }
        let it = &mut self.nodes[node].follower;
        let Some(control) = it.attachment().keys().next() else { return };
        let effects = it.message(self.now, control, message, &mut self.rng);
        self.perform(node, effects);
    }

    fn serve_peer(&mut self, from: usize, to: usize, of: messages::Numbered) {
        let answer = self.nodes[from].follower.serve_peer(of);
        let effects = self.nodes[to].follower.peer_answer(self.now, answer.as_ref(), &mut self.rng);
        if let Some(snapshot) = &answer {
            self.snapshots += 1;
            let size = size(snapshot);
            self.nodes[from].bytes += size;
            self.nodes[to].bytes += size;
        }
        self.perform(to, effects);
    }

    fn answer(&mut self, effects: Vec<relay::Effect>) {
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
            self.push(delay, Event::Down(node, message));
        }
    }

    fn perform(&mut self, node: usize, effects: Vec<updater::Effect>) {
        for effect in effects {
            let message = match effect {
                updater::Effect::SendHello(_, it) => messages::ToControl::Hello(it),
                updater::Effect::AskSnapshot(_, it) => messages::ToControl::AskSnapshot(it),
                updater::Effect::Beat(_, it) => messages::ToControl::Beat(it),
                updater::Effect::Received(_, it, of) => messages::ToControl::Received(it, of),
                updater::Effect::Confirm(_, it, of) => messages::ToControl::Confirm(it, of),
                updater::Effect::Connect(control) => {
                    let it = &mut self.nodes[node].follower;
                    let effects = it.connected(control, &mut self.rng);
                    self.perform(node, effects);
                    continue;
                }
                updater::Effect::AskPeer(host, of) => {
                    let from = index(&host);
                    let delay = LATENCY * 2 + self.delay.of(self.peer_size);
                    self.push(delay, Event::Peer { from, to: node, of });
                    continue;
                }
                updater::Effect::OfferToken(token) => {
                    self.nodes[node].token = token.into();
                    continue;
                }
                updater::Effect::Run(config) => {
                    self.nodes[node].runs = config.version();
                    self.changed = true;
                    continue;
                }
                _ => continue,
            };
            self.send_up(node, message);
        }
    }

    fn send_up(&mut self, node: usize, message: messages::ToControl) {
        self.nodes[node].bytes += size(&message);
        self.push(LATENCY, Event::Up(node, message));
    }
}

impl Delay {
    /// The delay of a snapshot of this size.
    pub fn of(self, size: u64) -> time::Duration {
        match self {
            Delay::Fixed(it) => it,
            Delay::Rate(rate) => time::Duration::from_secs_f64(size as f64 / rate),
        }
    }
}

/// The size of a message's encoding in bytes.
pub fn size(message: &impl Serialize) -> u64 {
    postcard::experimental::serialized_size(message).map_or(0, |it| it as u64)
}

fn index(node: &str) -> usize {
    node.trim_start_matches("node-").parse().unwrap_or(0)
}
