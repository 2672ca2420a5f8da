//! The tokens of a node.

use std::{collections, time as std_time};

use compact_str::CompactString;
use world::{contracts, time};

use crate::{limits, lots, messages, team};

pub use team::Reason;

/// Shortest time between two questions.
const MIN_INTERVAL: std_time::Duration = std_time::Duration::from_millis(20);
/// Time after which requests are reported that were admitted early, or that took the last token. With
/// 20 ms, a node with many small teams reports almost each request by itself.
const EARLY_INTERVAL: std_time::Duration = std_time::Duration::from_millis(100);
/// Time after which other changes are reported.
const REPORT_INTERVAL: std_time::Duration = std_time::Duration::from_millis(200);
/// Time after which a node asks which teams are open, also without a change.
const RENEWAL_INTERVAL: std_time::Duration = std_time::Duration::from_secs(1);
/// Time after which a question counts as lost.
const ANSWER_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(300);
/// Requests of an open team that a node admits without a token before it has heard that the control
/// has charged them. With one, each further request within [`EARLY_INTERVAL`] would wait.
const MAX_EARLY: u32 = 3;
slotmap::new_key_type! {
    /// Key of a team in the arena of a [`Stock`].
    pub struct TeamKey;
}

/// The right to send one request of a team.
#[derive(Clone, Copy, Debug)]
pub struct Token {
    team: TeamKey,
    /// The last question before it was taken. Later questions report it as used.
    number: u64,
    /// When it would have expired; none when it was admitted early.
    expires_at: Option<time::Time>,
}

/// Whether a request is looked at for the first time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Look {
    /// It has just arrived.
    First,
    /// It has waited for an answer of the control.
    Again,
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug)]
pub enum Decision {
    /// The team has no quota.
    Unlimited,
    /// It may, with this token.
    Taken(Token),
    /// The control has to be asked.
    Wait,
    /// It may not; the caller may return after this time.
    Refused(Reason, std_time::Duration),
}

/// Tokens that were asked for and given since the last call of [`Stock::take_counts`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Tokens that the node was short of when it asked.
    pub asked: u64,
    /// Tokens that controls gave.
    pub given: u64,
    /// Requests that were admitted without a token.
    pub early: u64,
}

/// The tokens of a node, by team.
#[derive(Debug, Default)]
pub struct Stock {
    teams: slotmap::SlotMap<TeamKey, team::Team>,
    names: collections::HashMap<CompactString, TeamKey>,
    /// The last question.
    number: u64,
    seen: u64,
    asked_at: Option<time::Time>,
    /// The teams of the question that has not been answered.
    open_question: Option<Vec<TeamKey>>,
    /// When the last answered question for a renewal was asked.
    renewed_at: Option<time::Time>,
    renewal_asked_at: Option<time::Time>,
    /// What the next question is for.
    due: Due,
    counts: Counts,
}

/// How soon a question is due.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
enum Due {
    /// Nothing has changed.
    #[default]
    No,
    /// Something is to be reported.
    Report,
    /// Requests were admitted early, or a stock is empty.
    Early,
    /// A request waits.
    Waiting,
}

impl Stock {
    /// Follows the teams of a version. The tokens of teams that are gone are dropped.
    pub fn configure<'a>(
        &mut self,
        teams: impl Iterator<Item = (&'a CompactString, contracts::Quota)>,
    ) {
        let mut gone = std::mem::take(&mut self.names);
        for (name, _) in teams {
            let key = gone.remove(name).unwrap_or_else(|| self.teams.insert(team::Team::new(name)));
            self.names.insert(name.clone(), key);
        }
        for key in gone.into_values() {
            self.teams.remove(key);
        }
    }

    /// Takes a token for a request of a team.
    pub fn take(&mut self, now: time::Time, team: &str, look: Look) -> Decision {
        let Some(&key) = self.names.get(team) else { return Decision::Unlimited };
        let open = self.renewed_at.is_some_and(|it| now.since(it) < limits::TOKEN_LIFETIME);
        let number = self.number;
        let Some(team) = self.teams.get_mut(key) else { return Decision::Unlimited };
        if look == Look::First {
            team.demand.count(now);
        }
        team.changed = true;
        self.due = self.due.max(Due::Report);
        team.lots.expire(now);
        if let Some(expires_at) = team.lots.take() {
            if team.lots.total() == 0 {
                self.due = self.due.max(Due::Early);
            }
            return Decision::Taken(Token { team: key, number, expires_at: Some(expires_at) });
        }
        if team.is_exhausted(now) {
            let (reason, pause) = team.refuse(now);
            return Decision::Refused(reason, pause);
        }
        if open && !team.closed && team.early.total() < MAX_EARLY {
            team.early.new += 1;
            let last = team.early.total() == MAX_EARLY;
            self.due = self.due.max(if last { Due::Waiting } else { Due::Early });
            self.counts.early += 1;
            return Decision::Taken(Token { team: key, number, expires_at: None });
        }
        team.short = true;
        self.due = Due::Waiting;
        Decision::Wait
    }

    /// The refusal of a request that has waited for too long, or that cannot wait.
    pub fn refuse(&mut self, now: time::Time, team: &str) -> (Reason, std_time::Duration) {
        let team = self.names.get(team).and_then(|it| self.teams.get_mut(*it));
        team.map_or_else(|| team::Team::default().refuse(now), |it| it.refuse(now))
    }

    /// Returns the token of a request that no backend server ran.
    pub fn give_back(&mut self, now: time::Time, token: Token) {
        let Some(team) = self.teams.get_mut(token.team) else { return };
        team.changed = true;
        self.due = self.due.max(Due::Report);
        if token.number != self.number {
            team.late.new += 1;
            return;
        }
        match token.expires_at {
            Some(expires_at) if expires_at > now => {
                team.lots.add(lots::Lot { number: self.seen, tokens: 1, expires_at });
            }
            Some(_) => {}
            None => team.early.new = team.early.new.saturating_sub(1),
        }
    }

    /// Returns the next question, if one is due.
    pub fn next_question(&mut self, now: time::Time) -> Option<messages::Question> {
        let since = self.asked_at.map_or(std_time::Duration::MAX, |it| now.since(it));
        if self.names.is_empty() || (self.open_question.is_some() && since < ANSWER_TIMEOUT) {
            return None;
        }
        let renewed = self.renewed_at.map_or(std_time::Duration::MAX, |it| now.since(it));
        let renew = renewed >= RENEWAL_INTERVAL;
        let due = match self.due {
            Due::Waiting => MIN_INTERVAL,
            Due::Early => EARLY_INTERVAL,
            Due::Report => REPORT_INTERVAL,
            Due::No if renew => REPORT_INTERVAL,
            Due::No => return None,
        };
        (since >= due).then(|| self.ask(now, renew))
    }

    /// Takes the answer of the control, or an update of it.
    pub fn receive(&mut self, now: time::Time, answer: &messages::Answer) {
        if answer.question != 0 {
            let Some(teams) = self.open_question.take_if(|_| answer.question == self.number) else {
                return;
            };
            self.seen = self.number;
            let asked_at = self.asked_at.unwrap_or_default();
            for (key, grant) in teams.into_iter().zip(&answer.grants) {
                self.apply(now, asked_at, key, *grant);
            }
        }
        if answer.renewal && answer.question != 0 {
            self.renewed_at = self.renewal_asked_at;
            self.teams.values_mut().for_each(|it| it.closed = false);
        }
        for name in &answer.closed {
            let team = self.names.get(name).and_then(|it| self.teams.get_mut(*it));
            if let Some(team) = team {
                team.closed = true;
            }
        }
    }

    /// Forgets the question in flight: the node is attached to another control, or to none.
    pub fn reattached(&mut self) {
        self.open_question = None;
        self.asked_at = None;
        self.teams.values_mut().for_each(|it| it.answered = false);
    }

    /// What was counted since the last call.
    pub fn take_counts(&mut self) -> Counts {
        std::mem::take(&mut self.counts)
    }

    fn ask(&mut self, now: time::Time, renew: bool) -> messages::Question {
        self.number += 1;
        let mut keys = Vec::new();
        let mut reports = Vec::new();
        for (key, team) in self.teams.iter_mut().filter(|(_, it)| it.changed) {
            let report = team.report(now);
            self.counts.asked += u64::from(report.need.saturating_sub(report.left));
            // Without a report of its last tokens, the control would count them until they expire.
            team.changed = report.left > 0;
            keys.push(key);
            reports.push(report);
        }
        self.asked_at = Some(now);
        self.open_question = Some(keys);
        let changed = self.teams.values().any(|it| it.changed);
        self.due = if changed { Due::Report } else { Due::No };
        if renew {
            self.renewal_asked_at = Some(now);
        }
        messages::Question { number: self.number, seen: self.seen, renew, teams: reports }
    }

    fn apply(
        &mut self,
        now: time::Time,
        asked_at: time::Time,
        key: TeamKey,
        grant: messages::Grant,
    ) {
        let Some(team) = self.teams.get_mut(key) else { return };
        team.apply(now, grant);
        let messages::Grant::Given { tokens, .. } = grant else { return };
        self.counts.given += u64::from(tokens);
        let expires_at = asked_at + limits::TOKEN_LIFETIME;
        if tokens > 0 && expires_at > now {
            team.lots.add(lots::Lot { number: self.seen, tokens, expires_at });
            team.changed = true;
            self.due = self.due.max(Due::Report);
        }
    }
}
