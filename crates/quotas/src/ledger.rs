//! The tokens that a control hands out.

use std::{collections, time as std_time};

use compact_str::CompactString;
use world::{contracts, time};

use crate::{account, limits, loans, messages};

pub use account::HostKey;

slotmap::new_key_type! {
    /// Key of a team in the arena of a [`Ledger`].
    pub struct TeamKey;
}

/// Time after a control's start for which new accounts begin empty, since tokens from before the
/// start may have been used in the same window.
const EMPTY_START: std_time::Duration = limits::WINDOW.saturating_add(limits::TOKEN_LIFETIME);

/// What a control has to send after a node's question.
#[derive(Clone, Debug, Default)]
pub struct Replies {
    /// The answer to the node.
    pub answer: messages::Answer,
    /// An update for all attached nodes: teams that are not open any more.
    pub update: Option<messages::Answer>,
    /// A question to the other controls.
    pub ask: Option<messages::Shortages>,
}

/// Tokens that were given and lent since the last call of [`Ledger::take_counts`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Tokens given to nodes.
    pub given: u64,
    /// Tokens lent to other controls.
    pub lent: u64,
}

/// The tokens of a control, by team.
#[derive(Debug)]
pub struct Ledger {
    started_at: time::Time,
    controls: usize,
    accounts: slotmap::SlotMap<TeamKey, account::Account>,
    teams: collections::HashMap<CompactString, TeamKey>,
    names: slotmap::SecondaryMap<TeamKey, CompactString>,
    hosts: slotmap::SlotMap<HostKey, ()>,
    host_names: collections::HashMap<CompactString, HostKey>,
    round: loans::Round,
    /// Teams that other controls are to be asked for.
    short: Vec<TeamKey>,
    counts: Counts,
}

impl Ledger {
    /// The ledger of a control that has just started.
    pub fn new(now: time::Time) -> Ledger {
        Ledger {
            started_at: now,
            controls: 1,
            accounts: slotmap::SlotMap::with_key(),
            teams: collections::HashMap::new(),
            names: slotmap::SecondaryMap::new(),
            hosts: slotmap::SlotMap::with_key(),
            host_names: collections::HashMap::new(),
            round: loans::Round::default(),
            short: Vec::new(),
            counts: Counts::default(),
        }
    }

    /// Follows the teams of a version, and the number of controls.
    pub fn configure<'a>(
        &mut self,
        now: time::Time,
        controls: usize,
        teams: impl Iterator<Item = (&'a CompactString, contracts::Quota)>,
    ) {
        self.controls = controls.max(1);
        let share = 1.0 / self.controls as f64;
        let mut gone = std::mem::take(&mut self.teams);
        for (name, quota) in teams {
            let key = match gone.remove(name) {
                Some(key) => {
                    self.accounts[key].configure(now, quota, share);
                    key
                }
                None => self.open_account(now, name, quota, share),
            };
            self.teams.insert(name.clone(), key);
        }
        for key in gone.into_values() {
            self.accounts.remove(key);
            self.names.remove(key);
        }
        self.short.retain(|it| self.accounts.contains_key(*it));
    }

    /// Answers a node's question.
    pub fn answer(
        &mut self,
        now: time::Time,
        host: &str,
        question: &messages::Question,
    ) -> Replies {
        let host = self.host(host);
        let mut grants = Vec::with_capacity(question.teams.len());
        let mut closed = Vec::new();
        for report in &question.teams {
            grants.push(self.answer_team(now, host, question, report, &mut closed));
        }
        let mut answer =
            messages::Answer { question: question.number, grants, ..Default::default() };
        if question.renew {
            answer.renewal = true;
            answer.closed = self.closed(now);
        }
        let update =
            (!closed.is_empty()).then(|| messages::Answer { closed, ..Default::default() });
        Replies { answer, update, ask: self.next_ask(now) }
    }

    /// Lends tokens to another control.
    pub fn lend(&mut self, now: time::Time, ask: &messages::Shortages) -> messages::LoanTeams {
        let mut teams = Vec::new();
        for messages::Shortage { team: name, tokens, hand } in &ask.teams {
            let Some(&key) = self.teams.get(name) else { continue };
            let expires_at = now + loans::LOAN_LIFETIME;
            let tokens = self.accounts[key].lend(now, (*tokens, *hand), expires_at);
            self.counts.lent += u64::from(tokens);
            if tokens > 0 {
                teams.push((name.clone(), tokens));
            }
        }
        messages::LoanTeams { round: ask.round, teams }
    }

    /// Takes the tokens that another control has lent.
    pub fn borrow(&mut self, now: time::Time, loan: &messages::LoanTeams) {
        if !self.round.accepts(now, loan.round) {
            return;
        }
        self.round.missing = self.round.missing.saturating_sub(1);
        for (name, tokens) in &loan.teams {
            let Some(&key) = self.teams.get(name) else { continue };
            self.accounts[key].borrow(now, *tokens);
            for asked in self.round.teams.iter_mut().filter(|it| it.team == key) {
                asked.got += tokens;
            }
        }
        if self.round.missing == 0 {
            self.end_round(now);
        }
    }

    /// What was counted since the last call.
    pub fn take_counts(&mut self) -> Counts {
        std::mem::take(&mut self.counts)
    }

    /// Tokens in hand and at nodes of a team, and the most that there may be.
    pub fn total(&self, team: &str) -> Option<(f64, f64)> {
        let account = self.accounts.get(*self.teams.get(team)?)?;
        Some((account.total(), account.cap()))
    }

    fn answer_team(
        &mut self,
        now: time::Time,
        host: HostKey,
        question: &messages::Question,
        report: &messages::Report,
        closed: &mut Vec<CompactString>,
    ) -> messages::Grant {
        let Some(&key) = self.teams.get(&report.team) else { return messages::Grant::Unknown };
        let account = &mut self.accounts[key];
        if self.controls == 1 {
            account.dry_until = time::Time::MAX;
        }
        let grant = account.answer(now, host, (question.number, question.seen), report);
        if let messages::Grant::Given { tokens, .. } = grant {
            self.counts.given += u64::from(tokens);
        }
        let is_open = account.is_half_full();
        let was_open = std::mem::replace(&mut account.open, is_open);
        if was_open && !is_open {
            closed.push(report.team.clone());
        }
        if account.shortage() > 0 && !self.short.contains(&key) {
            self.short.push(key);
        }
        grant
    }

    fn open_account(
        &mut self,
        now: time::Time,
        name: &CompactString,
        quota: contracts::Quota,
        share: f64,
    ) -> TeamKey {
        let start = match now.since(self.started_at) < EMPTY_START {
            true => {
                account::Start::Empty { cautious_until: self.started_at + limits::TOKEN_LIFETIME }
            }
            false => account::Start::Full,
        };
        let account = account::Account::new(now, quota, share, start);
        let key = self.accounts.insert(account);
        self.names.insert(key, name.clone());
        key
    }

    fn closed(&mut self, now: time::Time) -> Vec<CompactString> {
        let mut closed = Vec::new();
        for (key, account) in &mut self.accounts {
            account.refresh(now);
            account.open = account.is_half_full();
            if !account.open {
                closed.extend(self.names.get(key).cloned());
            }
        }
        closed
    }

    /// The next question to the other controls, if a team is short and no round is in progress.
    fn next_ask(&mut self, now: time::Time) -> Option<messages::Shortages> {
        let others = self.controls - 1;
        if others == 0 || self.short.is_empty() || !self.round.has_ended(now) {
            return None;
        }
        self.end_round(now);
        let mut round = loans::Round {
            number: self.round.number + 1,
            asked_at: now,
            teams: Vec::new(),
            missing: others,
        };
        let mut teams = Vec::new();
        for key in std::mem::take(&mut self.short) {
            let account = &self.accounts[key];
            let tokens = account.shortage().div_ceil(u32::try_from(others).unwrap_or(u32::MAX));
            let Some(name) = self.names.get(key).filter(|_| tokens > 0) else { continue };
            round.teams.push(loans::Asked { team: key, empty: account.hand() == 0, got: 0 });
            teams.push(messages::Shortage { team: name.clone(), tokens, hand: account.hand() });
        }
        if teams.is_empty() {
            return None;
        }
        let number = round.number;
        self.round = round;
        Some(messages::Shortages { round: number, teams })
    }

    /// Records which teams no control had tokens to lend for.
    fn end_round(&mut self, now: time::Time) {
        for loans::Asked { team, empty, got } in std::mem::take(&mut self.round.teams) {
            let Some(account) = self.accounts.get_mut(team) else { continue };
            let dry = empty && got == 0;
            account.dry_until = if dry { now + loans::DRY_TIME } else { time::Time::ZERO };
        }
    }

    fn host(&mut self, name: &str) -> HostKey {
        if let Some(&key) = self.host_names.get(name) {
            return key;
        }
        let key = self.hosts.insert(());
        self.host_names.insert(name.into(), key);
        key
    }
}
