//! The arena of a group's hosts and what a leader knows of each.

use std::collections;

use compact_str::CompactString;
use slotmap::SlotMap;
use world::time;

use crate::{entries, events};

slotmap::new_key_type! {
    /// Key of a [`Member`] in a group's arena.
    pub(crate) struct MemberKey;
}

/// A host of the group.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) host: CompactString,
    /// The disk named in the host's latest acknowledgement.
    pub(crate) disk: Option<entries::DiskId>,
    pub(crate) progress: Progress,
}

/// How far a leader's log has got to a member.
#[derive(Clone, Debug, Default)]
pub(crate) struct Progress {
    /// The next entry to send.
    pub(crate) next: entries::Index,
    /// The last entry that the member has synced.
    pub(crate) matched: entries::Index,
    /// The latest send time that the member acknowledged.
    pub(crate) last_ack: Option<time::Time>,
    /// The member's log is not known to match at `next`, so no entries are sent.
    pub(crate) probing: bool,
    /// Batches sent and not acknowledged.
    pub(crate) inflight: u32,
    /// The snapshot that is being sent.
    pub(crate) transfer: Option<Transfer>,
}

impl Progress {
    pub(crate) fn new(last: entries::Index) -> Progress {
        Progress { next: last.next(), probing: true, ..Progress::default() }
    }
}

/// A snapshot that is being sent. It is kept until the member has it: with each newer snapshot
/// the transfer would start again, and on a slow link never end.
#[derive(Clone, Debug)]
pub(crate) struct Transfer {
    pub(crate) snapshot: events::Snapshot,
    pub(crate) offset: u64,
}

/// The hosts of a group by key and by name.
#[derive(Debug, Default)]
pub(crate) struct Members {
    arena: SlotMap<MemberKey, Member>,
    by_name: collections::BTreeMap<CompactString, MemberKey>,
}

impl Members {
    /// Returns the key of `host`, adding it when it is new.
    pub(crate) fn add(&mut self, host: &CompactString) -> MemberKey {
        if let Some(&key) = self.by_name.get(host) {
            return key;
        }
        let member = Member { host: host.clone(), disk: None, progress: Progress::default() };
        let key = self.arena.insert(member);
        self.by_name.insert(host.clone(), key);
        key
    }

    pub(crate) fn find(&self, host: &str) -> Option<MemberKey> {
        self.by_name.get(host).copied()
    }

    pub(crate) fn get(&self, key: MemberKey) -> &Member {
        &self.arena[key]
    }

    pub(crate) fn get_mut(&mut self, key: MemberKey) -> &mut Member {
        &mut self.arena[key]
    }

    /// All keys except `own`, in the order of names.
    pub(crate) fn others(&self, own: MemberKey) -> Vec<MemberKey> {
        self.by_name.values().copied().filter(|&it| it != own).collect()
    }
}
