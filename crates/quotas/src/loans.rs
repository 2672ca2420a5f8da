//! The rounds in which a control asks the others for tokens.

use std::time as std_time;

use world::time;

use crate::ledger;

/// Time after which a round ends, whether or not all controls have answered.
pub(crate) const ROUND_TIME: std_time::Duration = std_time::Duration::from_millis(100);
/// Shortest time between the starts of two rounds.
pub(crate) const MIN_INTERVAL: std_time::Duration = std_time::Duration::from_millis(50);
/// Time after which a loan that was asked for is not taken any more. The lender counts the tokens
/// for as long, since they may be on their way.
pub(crate) const LOAN_LIFETIME: std_time::Duration = std_time::Duration::from_millis(200);
/// Time for which a round without tokens shows that there are none to lend.
pub(crate) const DRY_TIME: std_time::Duration = std_time::Duration::from_millis(500);

/// A team that tokens were asked for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Asked {
    pub(crate) team: ledger::TeamKey,
    /// Whether no token was left. A lender has none for a control with about as many as itself.
    pub(crate) empty: bool,
    /// Tokens that came.
    pub(crate) got: u32,
}

/// A round of questions to all other controls.
#[derive(Debug, Default)]
pub(crate) struct Round {
    pub(crate) number: u64,
    pub(crate) asked_at: time::Time,
    pub(crate) teams: Vec<Asked>,
    /// Controls that have not answered.
    pub(crate) missing: usize,
}

impl Round {
    /// Whether the next round may start.
    pub(crate) fn has_ended(&self, now: time::Time) -> bool {
        let elapsed = now.since(self.asked_at);
        elapsed >= ROUND_TIME || (self.missing == 0 && elapsed >= MIN_INTERVAL)
    }

    /// Whether an answer to the round `number` still counts.
    pub(crate) fn accepts(&self, now: time::Time, number: u64) -> bool {
        self.number == number && now.since(self.asked_at) < LOAN_LIFETIME
    }
}
