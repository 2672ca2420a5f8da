//! The next step of a rollout, by what the nodes of the mesh report.

use std::{collections, time};

use compact_str::CompactString;
use world::{rollouts, time::Time};

use crate::{tallies, verdicts};

/// The time of the first stage, per mille of the time of the order.
const FIRST_END: u64 = 80;
/// The time until the end of the trial, per mille of the time of the order. What is left is enough
/// for an election and the stages after it.
const TRIAL_END: u64 = 450;
/// The same for a version that may be bad. Its trial goes on, for more answers.
const SUSPECT_END: u64 = 650;
/// From this time on, per mille of the time of the order, idempotent requests in flight to the old
/// version no longer delay the end. They can be sent again.
const LATE: u64 = 750;
/// The shortest time of a stage. Reports of its answers take about 500 ms to all controls.
const MIN_STAGE: time::Duration = time::Duration::from_millis(600);
/// How long a node that is no longer heard of may still send: the lease of its registry entry.
pub const NODE_LEASE: time::Duration = time::Duration::from_secs(4);

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Move the order to this stage.
    Advance(rollouts::Stage),
    /// No node sends to the old version any more.
    Complete,
    /// The new version is bad.
    RollBack(verdicts::Fault),
}

/// An order in progress, as a control follows it. It is made anew from the reports when another
/// control takes over.
#[derive(Clone, Debug)]
pub struct Watch {
    began: Time,
    judge: verdicts::Judge,
    stage: Option<rollouts::Stage>,
    since: Time,
    fault: Option<verdicts::Fault>,
    /// Whether each node has moved to the new version, and when that was known.
    nodes: collections::BTreeMap<CompactString, (bool, Time)>,
}

impl Watch {
    /// Begins to follow an order.
    pub fn new(now: Time) -> Watch {
        Watch {
            began: now,
            judge: verdicts::Judge::default(),
            stage: None,
            since: now,
            fault: None,
            nodes: collections::BTreeMap::new(),
        }
    }

    /// Records whether a node had moved to the new version at a time. The latest time counts.
    pub fn record_node(&mut self, host: &str, moved: bool, at: Time) {
        let known = self.nodes.entry(host.into()).or_insert((moved, at));
        if known.1 <= at {
            *known = (moved, at);
        }
    }

    /// Records the answers that the nodes have counted so far.
    pub fn record_answers(&mut self, now: Time, order: &rollouts::Order, total: tallies::Tally) {
        let stage = order.state.stage();
        if self.stage != stage {
            (self.stage, self.since) = (stage, now);
        }
        let proven = stage.is_some_and(rollouts::Stage::is_proven);
        let fault = self.judge.observe(now, total, proven);
        self.fault = self.fault.take().or(fault);
    }

    /// The fault of the new version, once it is seen.
    pub fn fault(&self) -> Option<&verdicts::Fault> {
        self.fault.as_ref()
    }

    /// The answers that were counted.
    pub fn total(&self) -> &tallies::Tally {
        self.judge.total()
    }

    /// The next step, if any. `now_ms` is the time on the clock of the log. Any control may roll an
    /// order back. Only the `leader` moves it on, and to end it, it has to have followed
    /// it for [`NODE_LEASE`], so that it knows all nodes that may send.
    pub fn next(
        &self,
        now: Time,
        now_ms: u64,
        order: &rollouts::Order,
        leader: bool,
    ) -> Option<Step> {
        let stage = order.state.stage()?;
        if let Some(fault) = &self.fault {
            return Some(Step::RollBack(fault.clone()));
        }
        if !leader || self.stage != Some(stage) {
            return None;
        }
        let Some(next) = stage.next() else {
            return self.is_moved(now).then_some(Step::Complete);
        };
        let elapsed = now_ms.saturating_sub(order.started_ms);
        let reached = |part: u64| elapsed >= order.over_ms * part / 1_000;
        let due = match stage {
            rollouts::Stage::First => reached(FIRST_END),
            rollouts::Stage::Trial => {
                let end = if self.judge.is_suspect() { SUSPECT_END } else { TRIAL_END };
                reached(end) && self.judge.is_enough()
            }
            _ => now.since(self.since) >= MIN_STAGE,
        };
        due.then_some(Step::Advance(next))
    }

    /// Whether each node that may send has moved to the new version.
    fn is_moved(&self, now: Time) -> bool {
        let settled = now.since(self.began) >= NODE_LEASE;
        settled && self.nodes.values().all(|it| it.0 || now.since(it.1) >= NODE_LEASE)
    }
}

/// Whether a node has moved to the new version, by its report: it follows the last stage, and
/// nothing that it sent to an old target, or that runs there, would be lost with the target.
pub fn has_moved(
    order: &rollouts::Order,
    now_ms: u64,
    stage: rollouts::Stage,
    busy: u32,
    unsafe_busy: u32,
) -> bool {
    let elapsed = now_ms.saturating_sub(order.started_ms);
    let late = elapsed >= order.over_ms * LATE / 1_000;
    stage == rollouts::Stage::Whole && unsafe_busy == 0 && (busy == 0 || late)
}
