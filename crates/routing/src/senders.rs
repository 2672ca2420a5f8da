//! Who sends most to a service, and whose requests are held back first when its targets refuse most
//! of them.

use std::{cmp, collections};

use compact_str::CompactString;

/// Largest part of the requests of one sender that is held back beside those of others. A sender
/// whose requests are all held back would not be served at all.
const MAX_HELD: f32 = 0.9;
/// Senders that are told apart, which bounds the memory.
const MAX_SENDERS: usize = 1_024;
/// Requests below which a sender is forgotten.
const MIN_REQUESTS: f32 = 0.1;

/// On whose behalf requests are sent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Sender<'a> {
    /// The name of the team; empty for none.
    pub team: &'a str,
    /// Priority from 0, the most urgent one.
    pub rank: u32,
}

/// The recent senders to one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Senders {
    /// By rank and team.
    recent: collections::HashMap<(u32, CompactString), Recent>,
    /// Of each rank, the requests of one team above which they are held back, for first sends and
    /// for requests that another target has just refused.
    levels: collections::BTreeMap<u32, [f32; 2]>,
}

/// The recent requests of one sender.
#[derive(Clone, Copy, Debug, Default)]
struct Recent {
    requests: f32,
    /// The part of its requests that is held back, by the same kinds.
    held: [f32; 2],
}

impl Senders {
    /// Records a request that was sent or held back.
    pub(crate) fn record(&mut self, sender: Sender<'_>) {
        let key = (sender.rank, CompactString::from(sender.team));
        if self.recent.len() < MAX_SENDERS || self.recent.contains_key(&key) {
            self.recent.entry(key).or_default().requests += 1.0;
        }
    }

    /// Returns the part of a sender's requests that is held back. `None` if there is no other one:
    /// then the part is that of all requests. A sender without recent requests is a small one.
    pub(crate) fn held(&self, sender: Sender<'_>, again: bool) -> Option<f32> {
        let kind = usize::from(again);
        match self.recent.get(&(sender.rank, CompactString::from(sender.team))) {
            Some(recent) => (self.recent.len() > 1).then_some(recent.held[kind]),
            None if self.recent.is_empty() => None,
            None => {
                let level = self.levels.range(..=sender.rank).next_back();
                Some(level.map_or(0.0, |it| part_above(1.0, it.1[kind])))
            }
        }
    }

    /// Distributes the requests that are held back, which are these parts of all requests, and lets
    /// the counts fade by the factor `kept`. Called once for each part of the throttle's window,
    /// since it looks at all senders.
    pub(crate) fn distribute(&mut self, held: f32, held_again: f32, kept: f32) {
        self.recent.retain(|_, it| {
            it.requests *= kept;
            it.requests >= MIN_REQUESTS
        });
        self.levels.clear();
        self.assign(held, 0);
        self.assign(held_again, 1);
    }

    /// Sets the part of each sender, so that this part of all requests is held back: first those of
    /// the least urgent rank, and within a rank those of the teams that send most.
    fn assign(&mut self, part: f32, kind: usize) {
        let total: f32 = self.recent.values().map(|it| it.requests).sum();
        let mut excess = total * part;
        let mut ordered: Vec<_> = self.recent.iter_mut().map(|(key, it)| (key.0, it)).collect();
        ordered.sort_by(|a, b| {
            cmp::Reverse(a.0).cmp(&cmp::Reverse(b.0)).then(b.1.requests.total_cmp(&a.1.requests))
        });
        for rank in ordered.chunk_by_mut(|a, b| a.0 == b.0) {
            let requests: f32 = rank.iter().map(|it| it.1.requests).sum();
            let level = level(rank.iter().map(|it| it.1.requests), excess);
            for (rank, it) in rank {
                self.levels.entry(*rank).or_default()[kind] = level;
                it.held[kind] = part_above(it.requests, level);
            }
            excess = (excess - requests * MAX_HELD).max(0.0);
        }
    }
}

/// Returns the part of the requests of one team that is held back.
fn part_above(requests: f32, level: f32) -> f32 {
    ((requests - level).max(0.0) / requests).min(MAX_HELD)
}

/// Returns the number of requests of one team above which they are held back, so that `excess` are
/// held back in total. `requests` are those of each team, highest first.
fn level(requests: impl Iterator<Item = f32>, excess: f32) -> f32 {
    // Faded counts are below 1. A level among them would hold back the first request of every team
    // that is new, although nothing is to be held back.
    if excess <= 0.0 {
        return f32::MAX;
    }
    let (mut level, mut sum) = (f32::MAX, 0.0);
    for (count, it) in (1..).zip(requests) {
        if it <= level && count > 1 {
            return level;
        }
        sum += it;
        level = (sum - excess).max(0.0) / count as f32;
    }
    level
}
