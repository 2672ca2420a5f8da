//! Log entries, and the part of the log that is held in memory.

use std::{collections, fmt};

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Index of an entry in the log. The first entry has index 1; 0 stands for an empty log.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Index(pub u64);

impl Index {
    /// The following index.
    pub const fn next(self) -> Index {
        Index(self.0 + 1)
    }

    /// The preceding index; 0 for 0.
    pub const fn prev(self) -> Index {
        Index(self.0.saturating_sub(1))
    }
}

impl fmt::Display for Index {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Raft term: a counter of elections. At most one leader is elected in a term.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Term(pub u64);

impl Term {
    /// The following term.
    pub const fn next(self) -> Term {
        Term(self.0 + 1)
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Identifies a disk. Drawn at random when a host creates its data folder, so a host that lost its
/// disk comes back with another ID.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct DiskId(pub u64);

impl fmt::Display for DiskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies a group of hosts. Drawn at random when the group forms.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClusterId(pub u64);

impl fmt::Display for ClusterId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Term and index of an entry, ordered by term first, as elections compare logs.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Position {
    /// The term in which a leader appended the entry.
    pub term: Term,
    /// The index of the entry.
    pub index: Index,
}

/// A member with a vote. The vote belongs to one disk of the host, because only that disk knows
/// which votes were granted and which entries were acknowledged.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Voter {
    /// The name of the host.
    pub host: CompactString,
    /// The disk that the host had when it was listed as a voter.
    pub disk: DiskId,
}

/// The content of an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Payload {
    /// A no-op: the first entry of a new leader, which lets it commit the entries of earlier terms.
    Blank,
    /// An encoded command for the replicated state machine.
    Command(Bytes),
    /// A membership change: the voters from this entry on.
    Voters(Vec<Voter>),
}

impl Payload {
    /// Approximate size in bytes, for the limit of a batch.
    fn size(&self) -> usize {
        match self {
            Payload::Blank => 0,
            Payload::Command(bytes) => bytes.len(),
            Payload::Voters(voters) => voters.iter().map(|it| it.host.len() + 8).sum(),
        }
    }
}

/// An entry of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// The term and index of the entry.
    pub position: Position,
    /// The content of the entry.
    pub payload: Payload,
}

/// The part of the log that is held in memory: the entries after `base`. Earlier entries have been
/// compacted.
#[derive(Debug, Default)]
pub(crate) struct Log {
    base: Position,
    entries: collections::VecDeque<Entry>,
}

impl Log {
    pub(crate) fn new(base: Position, entries: Vec<Entry>) -> Log {
        Log { base, entries: entries.into() }
    }

    pub(crate) fn base(&self) -> Index {
        self.base.index
    }

    pub(crate) fn last(&self) -> Position {
        self.entries.back().map_or(self.base, |it| it.position)
    }

    pub(crate) fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.base.index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// The term of the entry at `index`; none when it lies before the base or after the end.
    pub(crate) fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|it| it.position.term)
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.position.index, self.last().index.next());
        self.entries.push_back(entry);
    }

    /// Removes the entries at and after `from`.
    pub(crate) fn truncate(&mut self, from: Index) {
        let kept = from.0.saturating_sub(self.base.index.0 + 1);
        self.entries.truncate(usize::try_from(kept).unwrap_or(usize::MAX));
    }

    /// Removes the entries at and before `to` and makes `to` the base. An entry at `to` must exist.
    pub(crate) fn compact(&mut self, to: Index) {
        while self.base.index < to {
            let Some(entry) = self.entries.pop_front() else { return };
            self.base = entry.position;
        }
    }

    /// Copies entries from `from` on, until there are `count` of them or their payloads reach
    /// `bytes` together.
    pub(crate) fn batch(&self, from: Index, count: usize, bytes: usize) -> Vec<Entry> {
        let mut batch = Vec::new();
        let mut size = 0;
        let mut index = from;
        while batch.len() < count && size < bytes {
            let Some(entry) = self.get(index) else { break };
            size += entry.payload.size();
            batch.push(entry.clone());
            index = index.next();
        }
        batch
    }

    /// The first index in memory of the consecutive entries that have the same term as the one at
    /// `index`.
    pub(crate) fn term_start(&self, index: Index) -> Index {
        let term = self.term_at(index);
        let mut start = index;
        while start > self.base.index.next() && self.term_at(start.prev()) == term {
            start = start.prev();
        }
        start
    }
}
