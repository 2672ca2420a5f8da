//! A control's view of the quarantine: the replicated evidence, overlaid with evidence that is not
//! in the log yet. During a partition the control cannot reach the leader of the configuration
//! group, but its data centre still acts on its own evidence.

use std::collections;

use crate::quarantine;

/// Maximum number of pending pieces of evidence. Above this the oldest is dropped, which only
/// delays the quarantine in other data centres.
pub const MAX_PENDING: usize = 4_096;

/// Evidence that the log does not contain yet.
#[derive(Clone, Debug)]
pub struct Pending {
    /// Number of the observation; increases within the process.
    pub sequence: u64,
    /// When the control received it: its wall clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The observation of a node.
    pub evidence: quarantine::Evidence,
}

/// The replicated evidence together with this control's pending evidence.
#[derive(Clone, Debug, Default)]
pub struct Overlay {
    view: quarantine::Quarantine,
    pending: collections::VecDeque<Pending>,
    sequence: u64,
}

impl Overlay {
    /// Records evidence from a node of this data centre at `at_ms`, in milliseconds since the Unix
    /// epoch. It takes effect in the view at once, and stays pending until the log contains it
    /// unless it was ignored.
    pub fn record(&mut self, at_ms: u64, evidence: quarantine::Evidence) -> quarantine::Answer {
        let command = quarantine::Command { at_ms, age_ms: 0, evidence };
        let answer = self.view.record(&command);
        if answer == quarantine::Answer::Ignored {
            return answer;
        }
        self.sequence += 1;
        let evidence = command.evidence;
        self.pending.push_back(Pending { sequence: self.sequence, at_ms, evidence });
        if self.pending.len() > MAX_PENDING {
            self.pending.pop_front();
        }
        answer
    }

    /// Replaces the replicated evidence and applies the pending evidence on top. Crashes that the
    /// replicated evidence contains are no longer pending.
    pub fn rebase(&mut self, replicated: &quarantine::Quarantine, now_ms: u64) {
        self.view = replicated.clone();
        self.pending.retain(|it| match &it.evidence {
            quarantine::Evidence::Crashed { crash, .. } => !replicated.has_counted(crash),
            quarantine::Evidence::Finished(_) => true,
        });
        for it in &self.pending {
            self.view.record(&it.command(now_ms));
        }
    }

    /// The pending evidence as commands to propose, oldest first, each with its sequence number.
    pub fn pending(&self, now_ms: u64) -> impl Iterator<Item = (u64, quarantine::Command)> {
        self.pending.iter().map(move |it| (it.sequence, it.command(now_ms)))
    }

    /// Drops the pending evidence with this sequence number, since the log contains it.
    pub fn mark_committed(&mut self, sequence: u64) {
        self.pending.retain(|it| it.sequence != sequence);
    }

    /// The quarantine to use in this data centre.
    pub fn view(&self) -> &quarantine::Quarantine {
        &self.view
    }
}

impl Pending {
    fn command(&self, now_ms: u64) -> quarantine::Command {
        let age_ms = now_ms.saturating_sub(self.at_ms);
        quarantine::Command { at_ms: now_ms, age_ms, evidence: self.evidence.clone() }
    }
}
