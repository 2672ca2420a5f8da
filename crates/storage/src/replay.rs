//! Computes the state of a log from its records.

use agreement::{entries, events};

use crate::{errors, records};

/// The state of a log after all its records.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    pub(crate) hard_state: events::HardState,
    pub(crate) entries: Vec<entries::Entry>,
    /// The last index that the snapshot must cover, since the log no longer has the entries.
    pub(crate) base: entries::Index,
}

impl Replay {
    /// Reads all records. The reader is then at the end of the file or before an incomplete last
    /// record.
    pub(crate) fn read(reader: &mut records::Reader<'_>) -> errors::Result<Replay> {
        let mut replay = Replay::default();
        while let Some(record) = reader.read_next()? {
            if !replay.apply(record) {
                return Err(reader.corrupt("the entry before this offset does not follow the log"));
            }
        }
        Ok(replay)
    }

    /// Applies a record. Returns `false` for an entry that does not follow the last one.
    fn apply(&mut self, record: records::Record) -> bool {
        match record {
            records::Record::Hard(hard) => self.hard_state = hard,
            records::Record::Base(base) => self.base = base,
            records::Record::Truncate(from) => {
                self.entries.retain(|it| it.position.index < from);
            }
            records::Record::Entry(entry) => {
                let last = self.entries.last().map(|it| it.position.index.next());
                if last.is_some_and(|it| it != entry.position.index) {
                    return false;
                }
                self.entries.push(entry);
            }
        }
        true
    }

    /// Removes the entries that a snapshot up to `last` covers, or all entries if the log has
    /// another entry at `last`. Returns whether any were removed, or `None` if entries between the
    /// snapshot and the log are missing.
    pub(crate) fn discard_covered(&mut self, last: entries::Position) -> Option<bool> {
        self.base = last.index;
        let before = self.entries.len();
        let Some(first) = self.entries.first().map(|it| it.position.index) else {
            return Some(false);
        };
        if first > last.index.next() {
            return None;
        }
        let covered = self.entries.iter().find(|it| it.position.index == last.index);
        let follows = first == last.index.next();
        if follows || covered.is_some_and(|it| it.position == last) {
            self.entries.retain(|it| it.position.index > last.index);
        } else {
            self.entries.clear();
        }
        Some(self.entries.len() < before)
    }
}
