//! The metrics of a control.

use opentelemetry::{KeyValue, metrics};
use protocol::{operators, proposals};
use quotas::ledger;
use replicated::claims;
use routing::progress;
use world::{document, hosts};

/// The answer to a claim, as counted in the metric `control.claims`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimAnswer {
    /// The request has run, and its answer is stored.
    Completed,
    /// The table of claims is full, so the request was refused.
    Full,
    /// The request may run.
    Granted,
    /// Another attempt is running the request.
    InProgress,
    /// The idempotency key is empty or too long, or the time limit is too large.
    Malformed,
    /// The key belongs to another request.
    Mismatch,
    /// No leader of the claims group answered in time.
    Unavailable,
    /// An earlier attempt may have run the request, so it must not run again.
    Unknown,
}

/// The OpenTelemetry instruments of a control.
#[derive(Clone, Debug)]
pub struct Instruments {
    patches: metrics::Counter<u64>,
    claims: metrics::Counter<u64>,
    sent: metrics::Counter<u64>,
    version: metrics::Gauge<u64>,
    nodes: metrics::Gauge<u64>,
    converged: metrics::Gauge<u64>,
    votes: metrics::Gauge<u64>,
    rollout_steps: metrics::Counter<u64>,
    tokens: metrics::Counter<u64>,
}

impl Instruments {
    /// Creates the instruments with `meter`.
    pub fn new(meter: &metrics::Meter) -> Instruments {
        let counter = |name, text| meter.u64_counter(name).with_description(text).build();
        let gauge = |name, text| meter.u64_gauge(name).with_description(text).build();
        let sent = meter.u64_counter("control.sent").with_unit("By");
        Instruments {
            patches: counter("control.patches", "Operators' patches by result"),
            claims: counter("control.claims", "Claims of non-idempotent requests by answer"),
            sent: sent.with_description("UDP payload sent on links, by kind of peer").build(),
            version: gauge("control.version", "The version that the control has on its disk"),
            nodes: gauge("control.nodes", "Nodes attached to the control"),
            converged: gauge("control.nodes.converged", "Attached nodes that run its version"),
            rollout_steps: counter("control.rollout.steps", "Proposed steps of rollouts by kind"),
            tokens: counter("control.quota.tokens", "Tokens of quotas by what became of them"),
            votes: gauge("control.votes", "Logs in which this control is a voter"),
        }
    }

    /// Counts a patch or a replaced document in `control.patches`, by its result.
    pub fn count_patch(&self, answer: &operators::PatchAnswer) {
        self.patches.add(1, &[KeyValue::new("result", patch_result(answer))]);
    }

    /// Counts a claim in `control.claims`, by its answer.
    pub fn count_claim(&self, answer: ClaimAnswer) {
        self.claims.add(1, &[KeyValue::new("answer", claim_answer(answer))]);
    }

    /// Adds UDP payload bytes sent to a node or another control to `control.sent`.
    pub fn count_sent(&self, to: hosts::Role, bytes: u64) {
        let to = match to {
            hosts::Role::Control => "control",
            hosts::Role::Node => "node",
        };
        self.sent.add(bytes, &[KeyValue::new("to", to)]);
    }

    /// Adds to `control.quota.tokens` the tokens that were given to nodes and lent to other controls.
    pub fn count_tokens(&self, counts: ledger::Counts) {
        self.tokens.add(counts.given, &[KeyValue::new("to", "node")]);
        self.tokens.add(counts.lent, &[KeyValue::new("to", "control")]);
    }

    /// Sets `control.version` to the newest version on the control's disk.
    pub fn record_version(&self, version: document::Version) {
        self.version.record(version.0, &[]);
    }

    /// Sets `control.nodes` to the number of attached nodes, and `control.nodes.converged` to those
    /// of them that run the control's version.
    pub fn record_nodes(&self, attached: usize, converged: usize) {
        self.nodes.record(attached as u64, &[]);
        self.converged.record(converged as u64, &[]);
    }

    /// Counts a proposed step of a rollout in `control.rollout.steps`, by its kind.
    pub fn count_rollout_step(&self, step: &progress::Step) {
        let kind = match step {
            progress::Step::Advance(_) => "advance",
            progress::Step::Complete => "complete",
            progress::Step::RollBack(_) => "roll_back",
        };
        self.rollout_steps.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Sets `control.votes` to the number of logs on which the control votes. After a disk was
    /// lost, fewer than in the settings mean that the repair is not complete.
    pub fn record_votes(&self, logs: usize) {
        self.votes.record(logs as u64, &[]);
    }
}

impl ClaimAnswer {
    /// Classifies the outcome of a proposed claim.
    pub(crate) fn from_outcome(outcome: &proposals::Outcome) -> ClaimAnswer {
        let proposals::Outcome::Answered(proposals::Answer::Claim(answer)) = outcome else {
            return ClaimAnswer::Unavailable;
        };
        match answer {
            claims::Answer::Completed(_) => ClaimAnswer::Completed,
            claims::Answer::Full => ClaimAnswer::Full,
            claims::Answer::Granted => ClaimAnswer::Granted,
            claims::Answer::InProgress => ClaimAnswer::InProgress,
            claims::Answer::Malformed => ClaimAnswer::Malformed,
            claims::Answer::Mismatch => ClaimAnswer::Mismatch,
            // After any of these the node refuses to run the request.
            claims::Answer::AlreadyApplied
            | claims::Answer::Expired
            | claims::Answer::NotHolder
            | claims::Answer::Released
            | claims::Answer::Stored
            | claims::Answer::Unknown => ClaimAnswer::Unknown,
        }
    }
}

fn patch_result(answer: &operators::PatchAnswer) -> &'static str {
    match answer {
        operators::PatchAnswer::Accepted { .. } => "accepted",
        operators::PatchAnswer::Conflict { .. } => "conflict",
        operators::PatchAnswer::Invalid { .. } => "invalid",
        operators::PatchAnswer::RequestReused => "request_reused",
        operators::PatchAnswer::Unavailable { .. } => "unavailable",
    }
}

fn claim_answer(answer: ClaimAnswer) -> &'static str {
    match answer {
        ClaimAnswer::Completed => "completed",
        ClaimAnswer::Full => "full",
        ClaimAnswer::Granted => "granted",
        ClaimAnswer::InProgress => "in_progress",
        ClaimAnswer::Malformed => "malformed",
        ClaimAnswer::Mismatch => "mismatch",
        ClaimAnswer::Unavailable => "unavailable",
        ClaimAnswer::Unknown => "unknown",
    }
}
