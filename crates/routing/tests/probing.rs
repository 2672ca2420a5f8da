//! A model of a node that probes hosts over a link with a queue, in virtual time.

use std::{collections, fmt::Write as _, time};

use routing::prober;
use slotmap::SlotMap;
use world::{targets, time::Time};

const DATA_CENTRES: usize = 4;
/// Rate of the node's link, in bytes per second: 1.75 Mbit/s.
const LINK_RATE: u64 = 1_750_000 / 8;
/// Share of the link that requests use, in percent.
const REQUEST_LOAD: u64 = 80;
/// Bytes of a handshake with certificates, in one direction.
const HANDSHAKE_BYTES: u64 = 5_000;
/// Bytes of a probe over an open link, in one direction.
const PROBE_BYTES: u64 = 100;
/// Round trip of an empty link.
const ROUND_TRIP: time::Duration = time::Duration::from_millis(10);
/// How long a probe waits for its answer on a link with that round trip.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// How long a handshake goes on without an answer.
const HANDSHAKE_TIMEOUT: time::Duration = time::Duration::from_secs(3);
const MODEL_TIME: time::Duration = time::Duration::from_secs(10);
/// Three handshakes with neighbours, four attempts to reach the silent host in the model's time,
/// and the probes of it.
const MAX_PROBE_BYTES: u64 = 7 * HANDSHAKE_BYTES + 50 * PROBE_BYTES;

/// The last attempt to open a link to a target.
#[derive(Clone, Copy, Debug)]
struct Handshake {
    end: Time,
    success: bool,
}

/// A node's links to its targets, which share the queue of one uplink.
#[derive(Default)]
struct Uplink {
    /// When the last byte in the queue will have been sent.
    idle_at: Time,
    handshakes: collections::HashMap<targets::TargetKey, Handshake>,
    sent: u64,
}

impl Uplink {
    /// Queues bytes and returns when their answer arrives.
    fn send(&mut self, now: Time, bytes: u64) -> Time {
        self.sent += bytes;
        let free_rate = LINK_RATE * (100 - REQUEST_LOAD) / 100;
        let start = self.idle_at.max(now);
        self.idle_at = start + time::Duration::from_micros(bytes * 1_000_000 / free_rate);
        self.idle_at + ROUND_TRIP
    }

    /// Sends a probe, after a handshake if no link to the target is open. Returns when the answer
    /// arrives; `None` if it never does.
    fn probe(&mut self, now: Time, key: targets::TargetKey, silent: bool) -> Option<Time> {
        let known = self.handshakes.get(&key).copied();
        let current = known.filter(|it| it.success || it.end > now);
        let handshake = current.unwrap_or_else(|| self.open(now, key, silent));
        if !handshake.success {
            return None;
        }
        let answered_at = self.send(now, PROBE_BYTES);
        Some(answered_at.max(handshake.end + ROUND_TRIP))
    }

    fn open(&mut self, now: Time, key: targets::TargetKey, silent: bool) -> Handshake {
        let answered_at = self.send(now, HANDSHAKE_BYTES);
        let limit = now + HANDSHAKE_TIMEOUT;
        let success = !silent && answered_at <= limit;
        let handshake = Handshake { end: if success { answered_at } else { limit }, success };
        self.handshakes.insert(key, handshake);
        handshake
    }
}

/// Runs a node in whose data centres `count` targets are, without an open link to any of them,
/// after one host went silent. Returns the bytes that it spends on probes and the hosts that it
/// takes for unresponsive at the end.
fn run_silent_host(count: usize) -> (u64, usize) {
    let mut arena = SlotMap::<targets::TargetKey, ()>::with_key();
    let keys: Vec<_> = (0..count / DATA_CENTRES).map(|_| arena.insert(())).collect();
    let mut prober = prober::Prober::default();
    let mut uplink = Uplink::default();
    let mut unresponsive = collections::HashSet::from([keys[0]]);
    let mut results = Vec::new();
    prober.mark_unresponsive(Time::ZERO, keys[0], keys[1..].iter().copied());
    let mut now = Time::ZERO;
    while now < Time::ZERO + MODEL_TIME {
        let (ended, pending): (Vec<_>, Vec<_>) =
            results.into_iter().partition(|it: &(Time, _, bool)| it.0 <= now);
        results = pending;
        for (_, key, answered) in ended {
            if answered {
                prober.remove(key);
                unresponsive.remove(&key);
            } else {
                prober.record_unanswered(now, key);
                unresponsive.insert(key);
            }
        }
        for key in prober.take_due(now) {
            let limit = now + PROBE_TIMEOUT;
            let answer = uplink.probe(now, key, key == keys[0]).filter(|it| *it <= limit);
            results.push((answer.unwrap_or(limit), key, answer.is_some()));
        }
        now = now + time::Duration::from_millis(1);
    }
    (uplink.sent, unresponsive.len())
}

/// Guards against a storm of probes: one silent host made its node probe all hosts of the
/// data centre with a handshake each, which filled the link, so that the probes timed out and were
/// repeated. The bound is the same for any number of targets.
#[test]
fn a_silent_host_starts_a_probe_storm() {
    let mut out =
        String::from("targets in 4 data centres: bytes of probes in 10 s; unresponsive\n");
    let mut violations = Vec::new();
    for count in [8, 24, 88, 352] {
        let (bytes, unresponsive) = run_silent_host(count);
        writeln!(out, "{count}: {bytes}; {unresponsive}").expect("text");
        if bytes > MAX_PROBE_BYTES || unresponsive != 1 {
            violations.push((count, bytes, unresponsive));
        }
    }
    assert!(violations.is_empty(), "more than {MAX_PROBE_BYTES} bytes: {violations:?}\n{out}");
    insta::assert_snapshot!(out);
}

/// Times at which a packet of a handshake is sent, the first one and its repetitions, from the
/// start of the attempt.
const HANDSHAKE_SENDS_MS: [u64; 3] = [0, 300, 900];
/// How long a handshake with a node goes on without an answer in a [`Partition`].
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Time without any packet after which a link breaks.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// When the data centre is cut off in a [`Partition`], and when it can be reached again.
const CUT_AT: Time = Time::from_millis(1_000);
const HEALED_AT: Time = Time::from_millis(11_000);

/// A node with open links to the targets of a data centre that is cut off for 10 s.
struct Partition {
    prober: prober::Prober,
    keys: Vec<targets::TargetKey>,
    connected: collections::HashSet<targets::TargetKey>,
    unresponsive: collections::HashSet<targets::TargetKey>,
    /// Probes and attempts to connect in progress: their end, target and result.
    results: Vec<(Time, targets::TargetKey, Progress)>,
    most_probes: usize,
    most_connects: usize,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Progress {
    Probe(bool),
    Connect(bool),
}

impl Partition {
    fn new(count: usize, seed: u64) -> Partition {
        let mut arena = SlotMap::<targets::TargetKey, ()>::with_key();
        let keys: Vec<_> = (0..count).map(|_| arena.insert(())).collect();
        Partition {
            prober: prober::Prober::new(seed),
            connected: keys.iter().copied().collect(),
            keys,
            unresponsive: collections::HashSet::new(),
            results: Vec::new(),
            most_probes: 0,
            most_connects: 0,
        }
    }

    /// Returns the time from the first silent request until all targets are known to be
    /// unresponsive, and the times from the end of the cut until the first and the last one is
    /// known to be reachable.
    fn run(&mut self) -> [time::Duration; 3] {
        let silent_at = CUT_AT + PROBE_TIMEOUT;
        let (mut now, mut found, mut noticed) = (silent_at, None, None);
        let neighbours = self.keys[1..].iter().copied();
        self.prober.mark_unresponsive(now, self.keys[0], neighbours);
        self.unresponsive.insert(self.keys[0]);
        while !self.unresponsive.is_empty() {
            assert!(now < HEALED_AT + MODEL_TIME, "never all reachable");
            if now == CUT_AT + IDLE_TIMEOUT {
                self.connected.clear();
            }
            self.step(now);
            if self.unresponsive.len() == self.keys.len() {
                found.get_or_insert(now.since(silent_at));
            } else if now > HEALED_AT {
                noticed.get_or_insert(now.since(HEALED_AT));
            }
            now = now + time::Duration::from_millis(1);
        }
        [found.expect("found"), noticed.expect("noticed"), now.since(HEALED_AT)]
    }

    fn step(&mut self, now: Time) {
        let results = std::mem::take(&mut self.results);
        let (ended, pending): (Vec<_>, Vec<_>) = results.into_iter().partition(|it| it.0 <= now);
        self.results = pending;
        for (_, key, progress) in ended {
            self.record(now, key, progress);
        }
        for key in self.prober.take_due(now) {
            self.probe(now, key);
        }
        let probes = self.results.iter().filter(|it| matches!(it.2, Progress::Probe(_))).count();
        self.most_probes = self.most_probes.max(probes);
        self.most_connects = self.most_connects.max(self.results.len() - probes);
    }

    fn record(&mut self, now: Time, key: targets::TargetKey, progress: Progress) {
        match progress {
            Progress::Probe(false) => {
                self.prober.record_unanswered(now, key);
                self.unresponsive.insert(key);
            }
            Progress::Connect(false) => self.prober.record_unconnected(now, key),
            Progress::Probe(true) | Progress::Connect(true) => {
                self.connected.insert(key);
                self.unresponsive.remove(&key);
                if self.prober.remove(key) {
                    self.prober.expedite(now, self.keys.iter().copied());
                }
            }
        }
    }

    fn probe(&mut self, now: Time, key: targets::TargetKey) {
        let reachable = |at: Time| at < CUT_AT || at >= HEALED_AT;
        if self.connected.contains(&key) {
            let answered = reachable(now);
            let took = if answered { ROUND_TRIP } else { PROBE_TIMEOUT };
            self.results.push((now + took, key, Progress::Probe(answered)));
        } else if self.prober.start_connect(now, key) {
            let sends = HANDSHAKE_SENDS_MS.map(|it| now + time::Duration::from_millis(it));
            let answered = sends.into_iter().find(|it| reachable(*it)).map(|it| it + ROUND_TRIP);
            let end = answered.unwrap_or(now + CONNECT_TIMEOUT);
            self.results.push((end, key, Progress::Connect(answered.is_some())));
        }
    }
}

/// Guards against a data centre that gets requests long after it was cut off, or none long after it
/// can be reached again, because its targets are probed seldom or one after another; and against
/// probes and handshakes whose number grows with the targets.
#[test]
fn a_cut_data_centre_is_noticed_late() {
    let mut out = String::from(
        "targets: until all are unresponsive, the first is reachable, the last; probes, connects\n",
    );
    for count in [1, 3, 4, 20, 22, 88] {
        let mut longest = [time::Duration::ZERO; 3];
        let (mut probes, mut connects) = (0, 0);
        for seed in 0..10 {
            let mut partition = Partition::new(count, seed);
            for (longest, time) in longest.iter_mut().zip(partition.run()) {
                *longest = time.max(*longest);
            }
            probes = probes.max(partition.most_probes);
            connects = connects.max(partition.most_connects);
        }
        writeln!(out, "{count}: {longest:?}; {probes}, {connects}").expect("text");
        let [found, noticed, _] = longest;
        if count <= 1 + prober::NEIGHBOUR_PROBES + prober::MAX_PROBES {
            assert!(found <= 2 * PROBE_TIMEOUT, "{out}");
        }
        assert!(noticed <= time::Duration::from_millis(1_250), "{noticed:?}\n{out}");
        assert!(probes <= prober::MAX_PROBES && connects <= prober::MAX_CONNECTS, "{out}");
    }
    insta::assert_snapshot!(out);
}

/// Guards against a host that is probed as a neighbour although no link to it is open, which says
/// nothing of the data centre: another neighbour takes its place, and it is not marked.
#[test]
fn a_host_without_a_link_counts_as_evidence() {
    let mut arena = SlotMap::<targets::TargetKey, ()>::with_key();
    let keys: Vec<_> = (0..6).map(|_| arena.insert(())).collect();
    let mut prober = prober::Prober::default();
    let now = Time::ZERO;
    prober.mark_unresponsive(now, keys[0], keys[1..].iter().copied());
    let first = prober.take_due(now);
    assert_eq!(first.len(), 1 + prober::NEIGHBOUR_PROBES);
    let unlinked = first[1];
    assert!(!prober.start_connect(now, unlinked), "it is not known to be unresponsive");
    let second = prober.take_due(now);
    assert_eq!(second.len(), 1, "another neighbour takes its place");
    assert!(!first.contains(&second[0]));
    for key in first[2..].iter().chain(&second) {
        assert!(prober.record_unanswered(now + PROBE_TIMEOUT, *key));
    }
    let rest = prober.take_due(now + PROBE_TIMEOUT);
    assert_eq!(rest.len(), 1, "the last neighbour is probed, and not the one without a link");
    assert_ne!(rest[0], unlinked);
}

/// Guards against a target that is set aside for ever: the failure of a link overwrote a probe in
/// flight, and the result of the second probe found no entry to probe it again.
#[test]
fn a_failed_link_starts_a_second_probe() {
    let mut arena = SlotMap::<targets::TargetKey, ()>::with_key();
    let (silent, neighbour) = (arena.insert(()), arena.insert(()));
    let mut prober = prober::Prober::new(1);
    let start = Time::ZERO;
    prober.mark_unresponsive(start, silent, [neighbour].into_iter());
    let mut probed = prober.take_due(start);
    assert!(prober.mark_unconnected(start, neighbour));
    probed.extend(prober.take_due(start + time::Duration::from_secs(10)));
    assert_eq!(probed.iter().filter(|it| **it == neighbour).count(), 1, "probes in flight");
    assert!(prober.remove(neighbour) && !prober.is_probed(neighbour));
    prober.record_unanswered(start, neighbour);
    assert!(!prober.is_probed(neighbour), "a late result probes nothing");
}
