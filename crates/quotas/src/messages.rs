//! The messages about quotas between nodes and controls, and between controls.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// A node reports what it has used, and asks for tokens.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Question {
    /// Number of the question; each one of a node has a higher number than the one before.
    pub number: u64,
    /// The last question whose answer the node has received. Tokens of earlier answers that did not
    /// arrive are never used.
    pub seen: u64,
    /// Whether the answer is to name all teams that are not open.
    pub renew: bool,
    /// The teams that the node has something to report of.
    pub teams: Vec<Report>,
}

/// What a node reports of a team.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// The name of the team.
    pub team: CompactString,
    /// Tokens that the node has.
    pub left: u32,
    /// Tokens that it would have, by its recent use.
    pub need: u32,
    /// Requests that it has admitted without a token and not reported before.
    pub early: u32,
    /// Unused tokens that it has given up.
    pub unused: u32,
    /// Requests that were reported as admitted before, and that no backend server ran.
    pub late: u32,
}

/// The answer of a control, or an update that it sends without a question.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// The number of the question; 0 without one.
    pub question: u64,
    /// The grants to the teams of the question, in its order.
    pub grants: Vec<Grant>,
    /// Whether all teams but those in `closed` are open.
    pub renewal: bool,
    /// Teams that are not open: no request may be admitted early.
    pub closed: Vec<CompactString>,
}

/// What a control gives a node for a team.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Grant {
    /// The control's version has no such team, or no quota for it.
    Unknown,
    /// So many tokens, which may be none.
    Given {
        /// The tokens.
        tokens: u32,
        /// Whether requests may be admitted early.
        open: bool,
    },
    /// The quota is used up.
    Exhausted {
        /// Time until the node may ask again, in milliseconds.
        wait_ms: u32,
        /// Expected time between two tokens for the node after that, in milliseconds.
        pace_ms: u32,
    },
}

/// A message between two controls.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Loan {
    /// Asks for tokens.
    Ask(Shortages),
    /// Tokens that the sender has deducted from its own.
    Give(LoanTeams),
}

/// The teams that a control asks for tokens of.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Shortages {
    /// The number of the asking control's round.
    pub round: u64,
    /// What it asks for.
    pub teams: Vec<Shortage>,
}

/// A team that a control asks for tokens of.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Shortage {
    /// The name of the team.
    pub team: CompactString,
    /// Tokens that it asks each control for.
    pub tokens: u32,
    /// Tokens that it has in hand.
    pub hand: u32,
}

/// Tokens that are lent, by team.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoanTeams {
    /// The number of the asking control's round.
    pub round: u64,
    /// Names of teams, with the tokens that are lent.
    pub teams: Vec<(CompactString, u32)>,
}
