//! A simulation of controls and nodes in virtual time, with faults. It records each breach of an
//! invariant.

use std::{collections, time};

use distribution::{attach, messages, relay, subscribers, toggles, updater};
use rand::{SeedableRng, rngs};
use world::{contracts, document, time::Time};

mod events;

/// The virtual time of one step of the simulation, in milliseconds.
pub const STEP_MS: u64 = 50;
/// The time within which an accepted version has to be in force, in milliseconds.
const FORCE_MS: u64 = 2_000;
/// How long a control counts what it has learned as all that is committed.
const LEASE: time::Duration = time::Duration::from_millis(800);
/// The one-way latency of a message, in milliseconds.
const LATENCY_MS: u64 = 2;

pub struct Control {
    pub relay: relay::Relay,
    /// Whether it reaches the leader.
    pub leader: bool,
    /// Whether it learns what the leader commits. It may hear from the leader all the same.
    pub learns: bool,
    /// How long the leader's messages to it wait, in milliseconds.
    pub lag_ms: u64,
    /// When it last knew all that is committed.
    known_at: Time,
    /// Whether its disk syncs what it has learned.
    pub syncs: bool,
    /// Whether it has caught up with the log since it lost its disk.
    ready: bool,
    epoch: u64,
    /// The latest version that it has learned from the leader.
    learned: u64,
    conns: collections::BTreeMap<(usize, u64), subscribers::SubscriberKey>,
}

pub struct Node {
    pub updater: updater::Updater,
    /// The floor token in the memory of the backend server.
    pub token: Option<String>,
    /// Whether the backend server does not renew its announcement. It keeps its token meanwhile.
    pub unresponsive: bool,
    /// The controls that the node is cut off from.
    pub cut: collections::BTreeSet<usize>,
    /// The highest version that the node has run, also before its restarts.
    pub highest: u64,
    home: usize,
    epoch: u64,
    conns: collections::BTreeMap<usize, u64>,
}

pub struct Sim {
    pub controls: Vec<Control>,
    pub nodes: Vec<Node>,
    /// What broke an invariant, in the order in which it happened.
    pub breaches: Vec<String>,
    /// Whether each message to a node is delivered a second time, 400 ms later.
    pub duplicate: bool,
    /// Whether deltas are corrupted on their way.
    pub corrupt: bool,
    /// How long a message other than a snapshot is on its way to a node, in milliseconds.
    pub answer_ms: u64,
    /// How long a snapshot is on its way, in milliseconds.
    pub snapshot_ms: u64,
    /// Whether backend servers keep floor tokens. A change affects nodes that start after it.
    pub tokens: bool,
    pub peers_asked: u32,
    /// How often nodes tried to connect to a control.
    pub connects: u32,
    /// How often a node became attached to a control.
    pub attached: u32,
    /// The most snapshot slots of a control that were in use at once.
    pub most_slots: usize,
    pub rng: rngs::StdRng,
    now_ms: u64,
    /// All accepted versions, from version 1 on.
    log: Vec<(messages::Delta, relay::Head)>,
    /// When each of these versions was accepted.
    accepted_at: Vec<Time>,
    queue: collections::BTreeMap<(u64, u64), events::Event>,
    serial: u64,
    toggles: toggles::Toggles,
}

impl Sim {
    /// A mesh of three controls, and one node for each of `homes`, the index of its home control.
    pub fn new(seed: u64, homes: &[usize], toggles: toggles::Toggles) -> Sim {
        let mut sim = Sim {
            controls: Vec::new(),
            nodes: Vec::new(),
            breaches: Vec::new(),
            duplicate: false,
            corrupt: false,
            answer_ms: LATENCY_MS,
            snapshot_ms: LATENCY_MS,
            tokens: true,
            peers_asked: 0,
            connects: 0,
            attached: 0,
            most_slots: 0,
            rng: rngs::StdRng::seed_from_u64(seed),
            now_ms: 10_000,
            log: Vec::new(),
            accepted_at: Vec::new(),
            queue: collections::BTreeMap::new(),
            serial: 0,
            toggles,
        };
        sim.accept(1);
        for _ in 0..3 {
            let control = sim.new_control(0, true);
            sim.controls.push(control);
        }
        for &home in homes {
            let node = sim.new_node(sim.nodes.len(), home);
            sim.nodes.push(node);
        }
        sim
    }

    pub fn now(&self) -> Time {
        Time::from_millis(self.now_ms)
    }

    pub fn latest(&self) -> u64 {
        self.log.len() as u64
    }

    /// The leader accepts this many versions.
    pub fn accept(&mut self, count: u64) {
        for _ in 0..count {
            let version = document::Version(self.latest() + 1);
            // The route moves to a new service, and the old service is deleted. A delta applied in
            // part would leave the route without a service.
            let text = format!(
                r#"{{"services":{{"s":{{"slots":{version}}},"t{version}":{{}},"t{}":null}},
                   "routes":{{"r":{{"prefix":"/r","service":"t{version}"}}}}}}"#,
                self.latest()
            );
            let patch = serde_json::from_str(&text).expect("JSON");
            let base =
                self.log.last().map(|it| serde_json::from_str(&it.1.document).expect("JSON"));
            let document = document::merge(&base.unwrap_or_default(), &patch).expect("valid");
            let of = messages::Numbered { version, digest: document::digest(&document) };
            let head = relay::Head {
                of,
                document: document::to_value(&document).to_string().into(),
                level: 0,
            };
            self.accepted_at.push(self.now());
            self.log.push((messages::Delta { to: of, patch: text.into() }, head));
        }
    }

    /// Cuts a control off from the leader, or ends that.
    pub fn isolate(&mut self, control: usize, isolated: bool) {
        self.controls[control].leader = !isolated;
    }

    /// Cuts a node off from these controls and no others.
    pub fn cut(&mut self, node: usize, controls: &[usize]) {
        self.nodes[node].cut = controls.iter().copied().collect();
    }

    /// Restarts a node's process, and with `backend` its backend server too, which loses the token.
    pub fn restart(&mut self, node: usize, backend: bool) {
        for (control, conn) in self.nodes[node].conns.clone() {
            self.close(node, control, conn);
        }
        let old = &self.nodes[node];
        let (token, cut, highest) = (old.token.clone(), old.cut.clone(), old.highest);
        let token = token.filter(|_| !backend);
        let unresponsive = old.unresponsive;
        self.nodes[node] =
            Node { token, unresponsive, cut, highest, ..self.new_node(node, old.home) };
    }

    /// A node learns that its home control was replaced by `home`, which it finds at later starts
    /// too.
    pub fn replace_home(&mut self, node: usize, home: usize) {
        let gone = self.find_home(node, home);
        let others = (0..3).filter(|it| *it != gone && *it != home);
        let listed = std::iter::once(home)
            .chain(others)
            .map(|it| attach::Listed { name: format!("control-{it}").into(), local: it == home });
        let listed: Vec<_> = listed.collect();
        let now = self.now();
        let effects = self.nodes[node].updater.update_controls(now, &listed, &mut self.rng);
        self.perform(node, effects);
    }

    /// From its next start on, a node finds a list with this home control. Returns the one before.
    pub fn find_home(&mut self, node: usize, home: usize) -> usize {
        std::mem::replace(&mut self.nodes[node].home, home)
    }

    /// Restarts a control with the versions on its disk, or with only the first `kept` as after a
    /// loss of its disk. A control that restarts before it has caught up after such a loss must
    /// still do so.
    pub fn restart_control(&mut self, control: usize, kept: Option<u64>) {
        let disk = self.controls[control].relay.version().0;
        let synced = if self.controls[control].syncs { disk } else { disk.min(self.latest() - 1) };
        let leader = self.controls[control].leader;
        let ready = kept.is_none() && self.controls[control].ready;
        let new = self.new_control(kept.unwrap_or(synced), ready);
        self.controls[control] = Control { leader, ..new };
        for node in 0..self.nodes.len() {
            if self.nodes[node].conns.remove(&control).is_some() {
                let now = self.now();
                let key = self.key(node, control);
                self.nodes[node].updater.failed(now, key, &mut self.rng);
            }
        }
    }

    /// Breaks all connections of a node.
    pub fn disconnect(&mut self, node: usize) {
        let now = self.now();
        for (control, conn) in std::mem::take(&mut self.nodes[node].conns) {
            self.close(node, control, conn);
            let key = self.key(node, control);
            self.nodes[node].updater.failed(now, key, &mut self.rng);
        }
    }

    pub fn run(&mut self, millis: u64) {
        let end = self.now_ms + millis;
        while self.now_ms < end {
            self.step();
        }
    }

    /// Runs until the condition holds, for `millis` at most. Returns whether it holds.
    pub fn run_until(&mut self, millis: u64, done: impl Fn(&Sim) -> bool) -> bool {
        let end = self.now_ms + millis;
        while self.now_ms < end && !done(self) {
            self.step();
        }
        done(self)
    }

    pub fn running(&self, node: usize) -> u64 {
        self.nodes[node].updater.running().map_or(0, |it| it.version().0)
    }

    /// The nodes that claim to have run the latest version at a time when it was another one. A
    /// control learns a version one step after it was accepted.
    fn wrong_ages(&self) -> Vec<String> {
        let mut wrong = Vec::new();
        for (node, it) in self.nodes.iter().enumerate() {
            let Some(age) = it.updater.age(self.now()) else { continue };
            let step = time::Duration::from_millis(STEP_MS);
            let known = |at: &&Time| self.now().since(**at) > age + step;
            let latest = self.accepted_at.iter().filter(known).count() as u64;
            let running = self.running(node);
            if running < latest {
                let text = format!("node {node} runs {running}, age {age:?}, latest {latest}");
                wrong.push(text);
            }
        }
        wrong
    }

    /// Whether a node would route a request by a version although a later one was accepted at least
    /// [`FORCE_MS`] ago.
    pub fn routes_by_old(&self, node: usize) -> bool {
        let due = |at: &&Time| self.now().since(**at) >= time::Duration::from_millis(FORCE_MS);
        let due = self.accepted_at.iter().filter(due).count() as u64;
        self.may_route(node) && self.running(node) < due
    }

    /// Whether a node would route a request.
    pub fn may_route(&self, node: usize) -> bool {
        let freshness = self.nodes[node].updater.freshness(self.now());
        self.running(node) > 0 && freshness != updater::Freshness::Unconfirmed
    }

    pub fn all_run_latest(&self) -> bool {
        (0..self.nodes.len()).all(|it| self.running(it) == self.latest())
    }

    /// Ends all faults, except that unresponsive backend servers stay so: a node must come to run
    /// the latest version without them.
    pub fn heal(&mut self) {
        self.controls.iter_mut().for_each(|it| (it.leader, it.syncs) = (true, true));
        self.nodes.iter_mut().for_each(|it| it.cut.clear());
        (self.corrupt, self.duplicate) = (false, false);
    }

    fn new_control(&mut self, kept: u64, ready: bool) -> Control {
        self.serial += 1;
        let kept = kept.max(1);
        let log = &self.log[..kept as usize];
        let deltas = log.iter().map(|it| it.0.clone());
        let head = log.last().expect("a version").1.clone();
        let mut relay = relay::Relay::new(self.serial, head, deltas, ready);
        relay.set_toggles(self.toggles);
        let conns = collections::BTreeMap::new();
        Control {
            relay,
            leader: true,
            learns: true,
            lag_ms: 0,
            known_at: Time::ZERO,
            syncs: true,
            ready,
            epoch: self.serial,
            learned: kept,
            conns,
        }
    }

    fn new_node(&mut self, index: usize, home: usize) -> Node {
        self.serial += 1;
        let name = |it: usize| format!("control-{it}").into();
        let others = (0..3).filter(|it| *it != home).map(name).collect();
        let settings = updater::Settings {
            node: format!("node-{index}").into(),
            data_centre: format!("dc-{home}").into(),
            level: 1,
            epoch: self.serial,
            tokens: self.tokens,
        };
        let attachment = attach::Attachment::new(name(home), others);
        let mut updater = updater::Updater::new(settings, attachment, self.now());
        updater.set_toggles(self.toggles);
        let conns = collections::BTreeMap::new();
        let cut = collections::BTreeSet::new();
        Node {
            updater,
            token: None,
            unresponsive: false,
            cut,
            highest: 0,
            home,
            epoch: self.serial,
            conns,
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        while self.queue.first_key_value().is_some_and(|(key, _)| key.0 <= self.now_ms) {
            let (_, event) = self.queue.pop_first().expect("an event");
            if self.is_stalled(&event) {
                // The transport retransmits it until one side closes the connection.
                self.push(STEP_MS, event);
            } else {
                self.deliver(event);
            }
        }
        for control in 0..self.controls.len() {
            self.step_control(control);
        }
        let wrong = self.wrong_ages();
        self.breaches.extend(wrong);
        for node in 0..self.nodes.len() {
            let now = self.now();
            let effects = self.nodes[node].updater.tick(now, &mut self.rng);
            self.perform(node, effects);
            // With this offset, versions from a fallback control arrive between two renewals.
            let due = (self.now_ms / STEP_MS + node as u64 + 3).is_multiple_of(10);
            if due && !self.nodes[node].unresponsive {
                let it = &mut self.nodes[node];
                let effects = it.updater.renewal(now, it.token.as_deref(), &mut self.rng);
                self.perform(node, effects);
            }
        }
    }

    fn step_control(&mut self, index: usize) {
        let now = self.now();
        let latest = self.latest();
        let it = &mut self.controls[index];
        let due = Time::from_millis(self.now_ms - it.lag_ms);
        if !it.leader {
            it.known_at = Time::ZERO;
        } else if it.learns || it.learned == latest {
            it.known_at = due;
        }
        let contact = relay::Contact { known_at: it.known_at, until: it.known_at + LEASE };
        let mut effects = it.relay.update_contact(now, contact, &mut self.rng);
        while it.leader && it.learns && it.learned < latest {
            if self.accepted_at[it.learned as usize] > due {
                break;
            }
            let (delta, head) = self.log[it.learned as usize].clone();
            it.learned += 1;
            effects.extend(it.relay.committed(now, delta, head, &mut self.rng));
        }
        if it.leader && it.syncs {
            it.ready = true;
            it.relay.set_ready();
        }
        if it.syncs {
            effects.extend(it.relay.synced(now, document::Version(it.learned), &mut self.rng));
        }
        self.most_slots = self.most_slots.max(it.relay.subscribers().slots_used());
        effects.extend(it.relay.tick(now, &mut self.rng));
        self.answer(index, effects);
    }

    /// Records each invariant that is broken when a node runs this version.
    fn check_invariants(&mut self, node: usize, config: &world::config::Config) {
        let version = config.version().0;
        let highest = &mut self.nodes[node].highest;
        if version < *highest {
            self.breaches.push(format!("node {node} moved back from {highest} to {version}"));
        }
        *highest = version.max(*highest);
        let route = config.find_route("", "/r").and_then(|it| config.route(it));
        let holds = |it: &contracts::Upstream| config.service(it.service).is_some();
        if route.is_none_or(|it| !it.split.iter().all(holds)) {
            self.breaches.push(format!("node {node} has a route without a service"));
        }
        let accepted = self.log.get(version as usize - 1).map(|it| it.0.to.digest);
        if accepted != Some(config.digest()) {
            self.breaches.push(format!("node {node} runs a {version} that was never accepted"));
        }
    }

    /// Tells a control that a connection is closed.
    fn close(&mut self, node: usize, control: usize, conn: u64) {
        let it = &mut self.controls[control];
        if let Some(key) = it.conns.remove(&(node, conn)) {
            it.relay.closed(key);
        }
    }

    fn is_open(&self, node: usize, control: usize, conn: u64) -> bool {
        self.nodes[node].conns.get(&control) == Some(&conn)
    }

    fn key(&self, node: usize, control: usize) -> attach::ControlKey {
        let attachment = self.nodes[node].updater.attachment();
        let name = format!("control-{control}");
        let is_it = |key: &attach::ControlKey| {
            attachment.control(*key).is_some_and(|it| it.name == name.as_str())
        };
        attachment.keys().find(is_it).expect("a control")
    }

    fn index(&self, node: usize, key: attach::ControlKey) -> usize {
        let attachment = self.nodes[node].updater.attachment();
        let name = &attachment.control(key).expect("a control").name;
        name.trim_start_matches("control-").parse().expect("a number")
    }
}

/// The longest time since a node last knew that it runs the latest version.
pub fn max_age(sim: &Sim) -> time::Duration {
    let ages = sim.nodes.iter().filter_map(|it| it.updater.age(sim.now()));
    ages.max().unwrap_or_default()
}
