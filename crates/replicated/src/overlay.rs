//! Crash evidence of a control that cannot reach the leader of the configuration group.

use std::collections;

use crate::quarantine;

/// Evidence that waits for the log. The oldest is dropped above this; a lost report only delays a
/// quarantine elsewhere.
pub const MAX_PENDING: usize = 4_096;

/// Evidence with its place in the queue of a control.
#[derive(Clone, Debug)]
pub struct Pending {
    /// Increases with each observation of this process.
    pub sequence: u64,
    /// When the control took it in, by its own wall clock.
    pub at_ms: u64,
    /// The observation.
    pub evidence: quarantine::Evidence,
}

/// The replicated evidence together with what this control has not yet passed on.
#[derive(Clone, Debug, Default)]
pub struct Overlay {
    view: quarantine::Quarantine,
    pending: collections::VecDeque<Pending>,
    sequence: u64,
}

impl Overlay {
    /// Takes in evidence of the own data centre. It counts here at once.
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

    /// Takes over the replicated evidence, and adds what it does not contain yet.
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

    /// Commands for the log, oldest first. They stay until the log contains them.
    pub fn pending(&self, now_ms: u64) -> impl Iterator<Item = (u64, quarantine::Command)> {
        self.pending.iter().map(move |it| (it.sequence, it.command(now_ms)))
    }

    /// Drops evidence that the log contains.
    pub fn mark_committed(&mut self, sequence: u64) {
        self.pending.retain(|it| it.sequence != sequence);
    }

    /// The evidence that counts in this data centre.
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
