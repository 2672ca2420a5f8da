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

/// Guards against the probe storm of issue 19: one silent host made its node probe all hosts of the
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
