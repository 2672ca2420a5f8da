//! The tokens of a control for one team.

use std::time as std_time;

use world::{contracts, time};

use crate::{limits, lots, messages};

/// Time for which the need that a node reported counts.
const NEED_LIFETIME: std_time::Duration = std_time::Duration::from_secs(2);
/// The tokens of a control that has just started yield no more than this time of its share, while
/// tokens from before its start may be in use.
const STARTUP_TOKENS: std_time::Duration = std_time::Duration::from_millis(500);
/// Bounds of the time after which a node may ask again for an exhausted team.
const MIN_WAIT: std_time::Duration = std_time::Duration::from_millis(100);
const MAX_WAIT: std_time::Duration = std_time::Duration::from_secs(1);
/// The part of a full account from which on requests may be admitted early. With a half, the chance
/// arrivals of a team within its quota make requests wait for tokens.
const OPEN_PART: f64 = 0.25;
/// The part of a full account below which other controls are asked for tokens.
const LOAN_PART: f64 = 0.75;
/// The part of a full account that a control keeps for its own nodes.
const KEPT_PART: f64 = 0.25;
/// The part of the reserve that may be credited in a window for requests that turn out late not to
/// have run. Half of it may come at once.
const LATE_PART: f64 = 0.5;

slotmap::new_key_type! {
    /// Key of an attached node in the arena of a [`Ledger`](crate::ledger::Ledger).
    pub struct HostKey;
}

/// The tokens that a control has in hand, and those that it has given to nodes and other controls.
#[derive(Debug)]
pub(crate) struct Account {
    quota: contracts::Quota,
    share: f64,
    hand: f64,
    updated_at: time::Time,
    /// Until when tokens from before the control's start may be in use.
    cautious_until: time::Time,
    nodes: slotmap::SecondaryMap<HostKey, Holding>,
    /// The sum of the tokens at nodes.
    at_nodes: u32,
    /// No tokens expire before this time.
    next_expiry: time::Time,
    lent: lots::Lots,
    /// Late returns that may be credited.
    late: f64,
    /// Whether requests may be admitted early, as nodes were told.
    pub(crate) open: bool,
    /// Until when the other controls are known to have no tokens to lend.
    pub(crate) dry_until: time::Time,
}

/// What an account has at first.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Start {
    /// Nothing: tokens from before the control's start may be in use until then.
    Empty { cautious_until: time::Time },
    /// All that it may have.
    Full,
}

/// The tokens of a node, as far as the control knows.
#[derive(Debug, Default)]
struct Holding {
    lots: lots::Lots,
    need: u32,
    reported_at: time::Time,
}

impl Account {
    pub(crate) fn new(
        now: time::Time,
        quota: contracts::Quota,
        share: f64,
        start: Start,
    ) -> Account {
        let (hand, cautious_until) = match start {
            Start::Empty { cautious_until } => (0.0, cautious_until),
            Start::Full => (limits::cap(&quota, share), now),
        };
        Account {
            quota,
            share,
            hand,
            updated_at: now,
            cautious_until,
            nodes: slotmap::SecondaryMap::new(),
            at_nodes: 0,
            next_expiry: time::Time::MAX,
            lent: lots::Lots::default(),
            late: 0.0,
            open: hand > 0.0,
            dry_until: time::Time::ZERO,
        }
    }

    /// Sets the quota, and the control's share of it. A lower one counts at once.
    pub(crate) fn configure(&mut self, now: time::Time, quota: contracts::Quota, share: f64) {
        self.refresh(now);
        (self.quota, self.share) = (quota, share);
        self.hand = self.hand.min((self.cap() - self.outside()).max(0.0));
    }

    /// Lets tokens grow and expire up to now, in this order for each point of time.
    pub(crate) fn refresh(&mut self, now: time::Time) {
        while self.next_expiry <= now {
            let at = self.next_expiry;
            self.grow(at);
            self.expire(at);
        }
        self.grow(now);
    }

    /// Takes a node's report, and gives it tokens.
    pub(crate) fn answer(
        &mut self,
        now: time::Time,
        host: HostKey,
        (number, seen): (u64, u64),
        report: &messages::Report,
    ) -> messages::Grant {
        self.refresh(now);
        self.settle(now, host, seen, report);
        let want = report.need.saturating_sub(self.holding(host).lots.total());
        let tokens = self.share_for(now, host, want);
        self.hand -= f64::from(tokens);
        let expires_at = now + limits::TOKEN_LIFETIME;
        self.holding(host).lots.add(lots::Lot { number, tokens, expires_at });
        self.at_nodes += tokens;
        self.next_expiry = self.next_expiry.min(expires_at);
        if want > 0 && tokens == 0 && (now < self.dry_until || self.shortage() == 0) {
            return self.exhausted(now, host);
        }
        messages::Grant::Given { tokens, open: self.is_half_full() }
    }

    /// Tokens to ask the other controls for; none while tokens grow faster than they are used.
    pub(crate) fn shortage(&self) -> u32 {
        let total = self.hand + self.outside();
        if total >= self.cap() * LOAN_PART {
            return 0;
        }
        (self.cap() - total).max(0.0) as u32
    }

    /// Deducts at most `want` tokens for a control that has `other` in hand: half of the difference,
    /// so that two controls do not lend the same tokens to and fro. Until `expires_at` they may be on
    /// their way, and count here.
    pub(crate) fn lend(
        &mut self,
        now: time::Time,
        (want, other): (u32, u32),
        expires_at: time::Time,
    ) -> u32 {
        self.refresh(now);
        let needed = self.total_need(now) - f64::from(self.at_nodes);
        let kept = needed.max(self.cap() * KEPT_PART);
        let spare = (self.hand - kept).min((self.hand - f64::from(other)) / 2.0);
        let tokens = want.min(spare.max(0.0) as u32);
        self.hand -= f64::from(tokens);
        self.lent.add(lots::Lot { number: 0, tokens, expires_at });
        self.next_expiry = self.next_expiry.min(expires_at);
        tokens
    }

    /// Whole tokens in hand.
    pub(crate) fn hand(&self) -> u32 {
        self.hand.max(0.0) as u32
    }

    /// Adds tokens of another control, as far as there is room for them.
    pub(crate) fn borrow(&mut self, now: time::Time, tokens: u32) {
        self.refresh(now);
        self.credit(f64::from(tokens));
    }

    /// Whether enough tokens are in hand that requests may be admitted early.
    pub(crate) fn is_half_full(&self) -> bool {
        self.hand >= (self.cap() * OPEN_PART).max(1.0)
    }

    /// Tokens in hand and at nodes.
    pub(crate) fn total(&self) -> f64 {
        self.hand + f64::from(self.at_nodes)
    }

    /// Most tokens in hand and at nodes.
    pub(crate) fn cap(&self) -> f64 {
        limits::cap(&self.quota, self.share)
    }

    fn settle(&mut self, now: time::Time, host: HostKey, seen: u64, report: &messages::Report) {
        let holding = self.holding(host);
        let dropped = holding.lots.limit(seen, report.left);
        (holding.need, holding.reported_at) = (report.need, now);
        self.at_nodes -= dropped;
        self.hand += f64::from(report.unused.min(dropped));
        self.hand -= f64::from(report.early);
        let late = f64::from(report.late).min(self.late);
        self.late -= late;
        self.credit(late);
    }

    /// How many of the tokens that a node wants it gets: all while the account is half full after
    /// that, otherwise the part of the tokens in hand that its need has of the need of all nodes.
    fn share_for(&self, now: time::Time, host: HostKey, want: u32) -> u32 {
        let hand = self.hand();
        let spare = (self.hand - self.cap() * OPEN_PART).max(0.0) as u32;
        if want <= spare || hand == 0 {
            return want.min(hand);
        }
        let part = f64::from(self.need(now, host)) / self.total_need(now).max(1.0);
        let fair = (self.hand * part) as u32;
        want.min(hand).min(fair.max(spare).max(1))
    }

    fn exhausted(&self, now: time::Time, host: HostKey) -> messages::Grant {
        let rate = self.quota.rate * self.share;
        let part = f64::from(self.need(now, host).max(1)) / self.total_need(now).max(1.0);
        let seconds = |it: f64| std_time::Duration::from_secs_f64(it.clamp(0.0, 60.0));
        let wait = seconds((1.0 - self.hand) / rate).clamp(MIN_WAIT, MAX_WAIT);
        let millis = |it: std_time::Duration| u32::try_from(it.as_millis()).unwrap_or(u32::MAX);
        messages::Grant::Exhausted {
            wait_ms: millis(wait),
            pace_ms: millis(seconds(1.0 / (rate * part))),
        }
    }

    fn grow(&mut self, now: time::Time) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        let rate = self.quota.rate * self.share;
        let startup = rate * STARTUP_TOKENS.as_secs_f64();
        let cap = if now < self.cautious_until { startup.max(1.0) } else { self.cap() };
        let room = (cap - self.hand - self.outside()).max(0.0);
        self.hand += (rate * elapsed).min(room);
        let late = limits::reserve(&self.quota) * self.share * LATE_PART / 2.0;
        self.late = (self.late + late / limits::WINDOW.as_secs_f64() * elapsed).min(late);
    }

    fn credit(&mut self, tokens: f64) {
        let room = (self.cap() - self.hand - self.outside()).max(0.0);
        self.hand += tokens.min(room);
    }

    /// Drops the tokens that expire until now, and forgets the nodes that have none and need none.
    fn expire(&mut self, now: time::Time) {
        self.lent.expire(now);
        let mut next = self.lent.next_expiry();
        let mut expired = 0;
        self.nodes.retain(|_, it| {
            expired += it.lots.expire(now);
            next = next.into_iter().chain(it.lots.next_expiry()).min();
            it.lots.total() > 0 || now.since(it.reported_at) < NEED_LIFETIME
        });
        self.at_nodes -= expired;
        self.next_expiry = next.unwrap_or(time::Time::MAX);
    }

    fn holding(&mut self, host: HostKey) -> &mut Holding {
        if !self.nodes.contains_key(host) {
            self.nodes.insert(host, Holding::default());
        }
        &mut self.nodes[host]
    }

    fn need(&self, now: time::Time, host: HostKey) -> u32 {
        let holding = self.nodes.get(host);
        holding.filter(|it| now.since(it.reported_at) < NEED_LIFETIME).map_or(0, |it| it.need)
    }

    fn total_need(&self, now: time::Time) -> f64 {
        self.nodes.keys().map(|it| f64::from(self.need(now, it))).sum()
    }

    /// Tokens at nodes and on their way to other controls.
    fn outside(&self) -> f64 {
        f64::from(self.at_nodes + self.lent.total())
    }
}
