//! What the records of a log amount to.

use agreement::{entries, events};

use crate::{errors, records};

/// The state that the records of a log file lead to.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    pub(crate) hard_state: events::HardState,
    pub(crate) entries: Vec<entries::Entry>,
    /// The last index that a snapshot must cover.
    pub(crate) base: entries::Index,
}

impl Replay {
    /// Reads all records; the reader stands at the end or at a torn tail afterwards.
    pub(crate) fn read(reader: &mut records::Reader<'_>) -> errors::Result<Replay> {
        let mut replay = Replay::default();
        while let Some(record) = reader.next()? {
            if !replay.take(record) {
                return Err(reader.corrupt("the entry before this offset does not follow the log"));
            }
        }
        Ok(replay)
    }

    fn take(&mut self, record: records::Record) -> bool {
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

    /// Drops what a snapshot covers, or everything when the log had other entries there. Returns
    /// whether anything was dropped; none when entries between snapshot and log are missing.
    pub(crate) fn trim(&mut self, last: entries::Position) -> Option<bool> {
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
