//! Tokens in the order in which they expire.

use std::collections;

use world::time;

/// Tokens that were given with one answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lot {
    /// The question that was answered.
    pub(crate) number: u64,
    pub(crate) tokens: u32,
    pub(crate) expires_at: time::Time,
}

/// Tokens by lot, the first to expire in front.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lots {
    lots: collections::VecDeque<Lot>,
    total: u32,
}

impl Lots {
    pub(crate) fn total(&self) -> u32 {
        self.total
    }

    pub(crate) fn next_expiry(&self) -> Option<time::Time> {
        self.lots.front().map(|it| it.expires_at)
    }

    /// Adds tokens. Later lots expire later, apart from tokens that were given back.
    pub(crate) fn add(&mut self, lot: Lot) {
        if lot.tokens == 0 {
            return;
        }
        self.total += lot.tokens;
        let at = self.lots.partition_point(|it| it.expires_at <= lot.expires_at);
        match at.checked_sub(1).and_then(|it| self.lots.get_mut(it)) {
            Some(same) if same.expires_at == lot.expires_at && same.number == lot.number => {
                same.tokens += lot.tokens;
            }
            _ => self.lots.insert(at, lot),
        }
    }

    /// Drops the tokens that have expired. Returns how many.
    pub(crate) fn expire(&mut self, now: time::Time) -> u32 {
        let before = self.total;
        while let Some(lot) = self.lots.pop_front_if(|it| it.expires_at <= now) {
            self.total -= lot.tokens;
        }
        before - self.total
    }

    /// Takes the token that expires first. Returns when it does.
    pub(crate) fn take(&mut self) -> Option<time::Time> {
        let lot = self.lots.front_mut()?;
        let expires_at = lot.expires_at;
        lot.tokens -= 1;
        if lot.tokens == 0 {
            self.lots.pop_front();
        }
        self.total -= 1;
        Some(expires_at)
    }

    /// Drops tokens of answers up to the question `seen`, the oldest first, until at most `left` of
    /// these are left. Returns how many were dropped.
    pub(crate) fn limit(&mut self, seen: u64, left: u32) -> u32 {
        let known = self.lots.iter().filter(|it| it.number <= seen).map(|it| it.tokens);
        let dropped = known.sum::<u32>().saturating_sub(left);
        let mut excess = dropped;
        for lot in self.lots.iter_mut().filter(|it| it.number <= seen) {
            let tokens = lot.tokens.min(excess);
            lot.tokens -= tokens;
            excess -= tokens;
        }
        self.lots.retain(|it| it.tokens > 0);
        self.total -= dropped;
        dropped
    }
}
