//! The metrics of a node.

use std::time;

use opentelemetry::{KeyValue, metrics};
use protocol::forwarding;
use quotas::stock;
use transport::{links, pool, wire};
use world::document;

/// Upper bounds of the histogram of request times, in seconds.
const REQUEST_BOUNDS_S: [f64; 13] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0, 60.0];
/// Upper bounds of the histogram of the time that the system adds, in seconds. The goal for the
/// 99th percentile is 1.5 ms, so the bounds are close together around it.
const ADDED_BOUNDS_S: [f64; 11] =
    [0.0001, 0.0002, 0.0005, 0.001, 0.00125, 0.0015, 0.002, 0.003, 0.005, 0.01, 0.1];

/// Upper bounds of the histogram of the pauses of refused callers, in seconds.
const PAUSE_BOUNDS_S: [f64; 8] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0];
/// Highest rank that is told apart, which bounds the number of time series.
const MAX_RANK: u32 = 7;

/// How a caller's request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The backend server's answer was passed on in full.
    Answered,
    /// The caller disconnected first.
    Cancelled,
    /// The request was refused and certainly not run.
    NotRun,
    /// The request may have run, in full or in part.
    Unknown,
}

/// The counters, histograms and gauges of a node.
#[derive(Clone, Debug)]
pub struct Instruments {
    requests: metrics::Counter<u64>,
    attempts: metrics::Counter<u64>,
    rollout_attempts: metrics::Counter<u64>,
    refusals: metrics::Counter<u64>,
    promised_pause: metrics::Histogram<f64>,
    request_time: metrics::Histogram<f64>,
    added_time: metrics::Histogram<f64>,
    control: metrics::Counter<u64>,
    link_attempts: metrics::Counter<u64>,
    link_bytes: metrics::Counter<u64>,
    link_parts: metrics::Counter<u64>,
    link_dropped: metrics::Counter<u64>,
    link_promised: metrics::Gauge<u64>,
    lost_packets: metrics::Counter<u64>,
    probes: metrics::Counter<u64>,
    quota_refusals: metrics::Counter<u64>,
    tokens: metrics::Counter<u64>,
    version: metrics::Gauge<u64>,
    version_age: metrics::Gauge<f64>,
}

impl Instruments {
    /// Creates the instruments of a node on this meter.
    pub fn new(meter: &metrics::Meter) -> Instruments {
        let counter = |name, text| meter.u64_counter(name).with_description(text).build();
        let times = |name, text, bounds: &[f64]| {
            let builder = meter.f64_histogram(name).with_description(text).with_unit("s");
            builder.with_boundaries(bounds.to_vec()).build()
        };
        let control = meter.u64_counter("node.control").with_unit("By");
        let version = meter.u64_gauge("node.version");
        let age = meter.f64_gauge("node.version.age").with_unit("s");
        Instruments {
            requests: counter("node.requests", "Callers' requests by outcome"),
            attempts: counter("node.attempts", "Sends to targets, retries and hedges included"),
            rollout_attempts: counter(
                "node.rollout.attempts",
                "Sends to targets of services with a rollout in progress, by software version",
            ),
            refusals: counter("node.refusals", "Requests refused as not run, by reason and rank"),
            promised_pause: times(
                "node.returns.pause",
                "Pauses after which refused callers were asked to return",
                &PAUSE_BOUNDS_S,
            ),
            request_time: times(
                "node.request.time",
                "From the head of a request to the end of its answer",
                &REQUEST_BOUNDS_S,
            ),
            added_time: times(
                "node.added.time",
                "The part of the request time that no backend server took",
                &ADDED_BOUNDS_S,
            ),
            control: control.with_description("UDP payload on links to controls").build(),
            link_attempts: counter("node.link.attempts", "Attempts to open links by state"),
            link_bytes: meter
                .u64_counter("node.link")
                .with_unit("By")
                .with_description("UDP payload on links to other processes")
                .build(),
            link_parts: meter
                .u64_counter("node.link.sent")
                .with_unit("By")
                .with_description("Bytes sent on the network link, by what they are for")
                .build(),
            link_dropped: meter
                .u64_counter("node.link.dropped")
                .with_unit("By")
                .with_description("Bytes of datagrams dropped because the network link was full")
                .build(),
            link_promised: meter
                .u64_gauge("node.link.promised")
                .with_unit("By")
                .with_description("Bytes of large answers that the network link is to carry")
                .build(),
            lost_packets: counter("node.link.lost", "Sent packets that were taken for lost"),
            probes: counter("node.probes", "Probes of unresponsive hosts by result"),
            quota_refusals: counter("node.quota.refusals", "Refusals by quotas, by reason"),
            tokens: counter("node.quota.tokens", "Tokens of quotas by state"),
            version: version.with_description("The version that the node runs").build(),
            version_age: age
                .with_description("Time since a control last confirmed the version as current")
                .build(),
        }
    }

    /// Counts a caller's request that has ended, and records its total time and the part of it
    /// that no backend server took.
    pub fn count_request(&self, outcome: Outcome, total: time::Duration, added: time::Duration) {
        let attributes = [KeyValue::new("outcome", outcome_name(outcome))];
        self.requests.add(1, &attributes);
        self.request_time.record(total.as_secs_f64(), &attributes);
        self.added_time.record(added.as_secs_f64(), &[]);
    }

    /// Counts one attempt at a target, including retries and hedges, and whether the target is in
    /// the node's data centre.
    pub fn count_attempt(&self, same_centre: bool) {
        let place = if same_centre { "home" } else { "elsewhere" };
        self.attempts.add(1, &[KeyValue::new("data_centre", place)]);
    }

    /// Counts one attempt during a rollout of its service, by whether the target has the new
    /// version.
    pub fn count_rollout_attempt(&self, candidate: bool) {
        let version = if candidate { "new" } else { "old" };
        self.rollout_attempts.add(1, &[KeyValue::new("version", version)]);
    }

    /// Counts a request that this node did not run, by reason and rank.
    pub fn count_refusal(&self, reason: forwarding::NotRun, rank: u32) {
        let rank = i64::from(rank.min(MAX_RANK));
        let reason = KeyValue::new("reason", refusal_name(reason));
        self.refusals.add(1, &[KeyValue::new("rank", rank), reason]);
    }

    /// Counts a refused caller that is asked to return after this pause.
    pub fn count_promise(&self, pause: time::Duration) {
        self.promised_pause.record(pause.as_secs_f64(), &[]);
    }

    /// Adds the UDP payload bytes that a link to a control has sent and received since the last
    /// call.
    pub fn count_control(&self, traffic: links::Traffic) {
        self.control.add(traffic.sent, &[KeyValue::new("direction", "sent")]);
        self.control.add(traffic.received, &[KeyValue::new("direction", "received")]);
    }

    /// Adds the attempts to open links since the last call.
    pub fn count_links(&self, added: pool::Counts) {
        self.link_attempts.add(added.started, &[KeyValue::new("state", "started")]);
        self.link_attempts.add(added.opened, &[KeyValue::new("state", "opened")]);
        self.link_attempts.add(added.failed, &[KeyValue::new("state", "failed")]);
    }

    /// Adds the traffic of the open links since the last call.
    pub fn count_traffic(&self, added: links::Traffic) {
        self.link_bytes.add(added.sent, &[KeyValue::new("direction", "sent")]);
        self.link_bytes.add(added.received, &[KeyValue::new("direction", "received")]);
        self.lost_packets.add(added.lost, &[]);
    }

    /// Adds what was sent on the network link since the last call, by what it is for. Bytes of
    /// `overhead` are headers, acknowledgements and packets that were sent again.
    pub fn count_wire(&self, added: wire::Counts) {
        let overhead = added.sent.saturating_sub(added.messages() + added.handshakes);
        for (kind, bytes) in [
            ("answers", added.answers),
            ("control", added.control),
            ("handshakes", added.handshakes),
            ("other", added.other),
            ("overhead", overhead),
            ("requests", added.requests),
        ] {
            self.link_parts.add(bytes, &[KeyValue::new("kind", kind)]);
        }
        self.link_dropped.add(added.dropped, &[]);
    }

    /// Records the bytes of large answers that the network link is to carry: those that running
    /// requests are expected to make, and those that wait.
    pub fn record_promised(&self, (running, queued): (u64, u64)) {
        self.link_promised.record(running, &[KeyValue::new("state", "running")]);
        self.link_promised.record(queued, &[KeyValue::new("state", "queued")]);
    }

    /// Counts a probe that was answered, or that was not answered in time.
    pub fn count_probe(&self, answered: bool) {
        let result = if answered { "answered" } else { "unanswered" };
        self.probes.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts a request that was refused because of its team's quota.
    pub(crate) fn count_quota_refusal(&self, reason: stock::Reason) {
        let reason = match reason {
            stock::Reason::Exhausted => "exhausted",
            stock::Reason::Unknown => "unknown",
        };
        self.quota_refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Adds the tokens that were asked for and given since the last call, and the requests that
    /// were admitted without one.
    pub(crate) fn count_tokens(&self, counts: stock::Counts) {
        for (state, tokens) in
            [("asked", counts.asked), ("early", counts.early), ("given", counts.given)]
        {
            self.tokens.add(tokens, &[KeyValue::new("state", state)]);
        }
    }

    /// Records the version that the node runs, and the time since a control last confirmed it as
    /// current. A gauge keeps its last value, so this has to be called at regular intervals.
    pub fn record_version(&self, version: document::Version, age: time::Duration) {
        self.version.record(version.0, &[]);
        self.version_age.record(age.as_secs_f64(), &[]);
    }
}

fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "answered",
        Outcome::Cancelled => "cancelled",
        Outcome::NotRun => "not_run",
        Outcome::Unknown => "unknown",
    }
}

fn refusal_name(reason: forwarding::NotRun) -> &'static str {
    match reason {
        forwarding::NotRun::Absent => "absent",
        forwarding::NotRun::Blocked => "blocked",
        forwarding::NotRun::Busy => "busy",
        forwarding::NotRun::Displaced => "displaced",
        forwarding::NotRun::Draining => "draining",
        forwarding::NotRun::Full => "full",
        forwarding::NotRun::Late => "late",
        forwarding::NotRun::LinkFull => "link-full",
        forwarding::NotRun::Outranked => "outranked",
        forwarding::NotRun::Quarantined => "quarantined",
        forwarding::NotRun::Refused => "refused",
        forwarding::NotRun::Shed => "shed",
        forwarding::NotRun::Stopping => "stopping",
        forwarding::NotRun::Unreachable => "unreachable",
    }
}
