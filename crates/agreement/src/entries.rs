//! Entries of the log and the part of the log that is held in memory.

use std::{collections, fmt};

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Position of an entry in the log. The first entry has index 1.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Index(pub u64);

impl Index {
    /// The index after this one.
    pub const fn next(self) -> Index {
        Index(self.0 + 1)
    }

    /// The index before this one; 0 has none and stays.
    pub const fn prev(self) -> Index {
        Index(self.0.saturating_sub(1))
    }
}

impl fmt::Display for Index {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Number of a leadership; at most one leader is elected in a term.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Term(pub u64);

impl Term {
    /// The term after this one.
    pub const fn next(self) -> Term {
        Term(self.0 + 1)
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Identifies a disk; made at random when the data folder is first written.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct DiskId(pub u64);

impl fmt::Display for DiskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies a formed group; made at random when it forms.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClusterId(pub u64);

impl fmt::Display for ClusterId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Term and index of an entry, ordered as elections compare logs.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Position {
    /// The term of the entry.
    pub term: Term,
    /// The index of the entry.
    pub index: Index,
}

/// A host's vote, bound to the disk that remembers it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Voter {
    /// The name of the host.
    pub host: CompactString,
    /// The disk that the host had when it got the vote.
    pub disk: DiskId,
}

/// What an entry carries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Payload {
    /// Nothing; the first entry of a leader, which lets it commit the entries before it.
    Blank,
    /// A command for the state machine above the log.
    Command(Bytes),
    /// The voters from this entry on.
    Voters(Vec<Voter>),
}

impl Payload {
    fn size(&self) -> usize {
        match self {
            Payload::Blank => 0,
            Payload::Command(bytes) => bytes.len(),
            Payload::Voters(voters) => voters.iter().map(|it| it.host.len() + 8).sum(),
        }
    }
}

/// One entry of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Its term and index.
    pub position: Position,
    /// What it carries.
    pub payload: Payload,
}

/// The entries after `base`, which are held in memory.
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

    /// The term at `index`; none when the entry is compacted or not there yet.
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

    /// Removes the entries at and before `to`, which must be in the log.
    pub(crate) fn compact(&mut self, to: Index) {
        while self.base.index < to {
            let Some(entry) = self.entries.pop_front() else { return };
            self.base = entry.position;
        }
    }

    /// Entries from `from` on, closed at `count` entries or once `bytes` are exceeded.
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

    /// The first index of the run of entries with the term at `index`.
    pub(crate) fn term_start(&self, index: Index) -> Index {
        let term = self.term_at(index);
        let mut start = index;
        while start > self.base.index.next() && self.term_at(start.prev()) == term {
            start = start.prev();
        }
        start
    }
}
