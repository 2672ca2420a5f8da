//! The arena of a group's hosts, with the replication progress of each.

use std::collections;

use compact_str::CompactString;
use slotmap::SlotMap;
use world::time;

use crate::{entries, events, messages};

slotmap::new_key_type! {
    /// Key of a [`Member`] in the arena of its group.
    pub(crate) struct MemberKey;
}

/// A host of the group, voter or learner.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) host: CompactString,
    /// When the host became a member; the origin of the clock for those of the settings.
    pub(crate) added: time::Time,
    /// The disk in the host's latest acknowledgement; none before the first one.
    pub(crate) disk: Option<entries::DiskId>,
    pub(crate) progress: Progress,
}

/// Replication progress of a member, as the leader tracks it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Progress {
    /// The index of the next entry to send.
    pub(crate) next: entries::Index,
    /// The highest index up to which the member's synced log is known to match.
    pub(crate) matched: entries::Index,
    /// The latest send time of a message that the member has acknowledged.
    pub(crate) last_ack: Option<time::Time>,
    /// The latest reply of the member, by the member's clock.
    pub(crate) last_reply: Option<messages::ReplyTime>,
    /// It is not known whether the member's log matches before `next`, so the leader sends messages
    /// without entries until the member confirms it.
    pub(crate) probing: bool,
    /// The number of unacknowledged batches.
    pub(crate) inflight: u32,
    /// The snapshot that is being sent, if any.
    pub(crate) transfer: Option<Transfer>,
}

impl Progress {
    /// Initial progress for a leader whose last entry is `last`: it probes right after that entry.
    pub(crate) fn new(last: entries::Index) -> Progress {
        Progress { next: last.next(), probing: true, ..Progress::default() }
    }
}

/// A snapshot that is being sent to a member. The transfer keeps its snapshot even when there is a
/// newer one: restarting with each newer snapshot would never finish on a slow link.
#[derive(Clone, Debug)]
pub(crate) struct Transfer {
    pub(crate) snapshot: events::Snapshot,
    /// Bytes that the member has confirmed; the next chunk begins there.
    pub(crate) offset: u64,
}

/// The hosts of a group, by key and by name.
#[derive(Debug, Default)]
pub(crate) struct Members {
    arena: SlotMap<MemberKey, Member>,
    by_name: collections::BTreeMap<CompactString, MemberKey>,
}

impl Members {
    /// Returns the key of `host`; adds the host if it is new.
    pub(crate) fn add(&mut self, host: &CompactString) -> MemberKey {
        if let Some(&key) = self.by_name.get(host) {
            return key;
        }
        let (added, progress) = Default::default();
        let member = Member { host: host.clone(), added, disk: None, progress };
        let key = self.arena.insert(member);
        self.by_name.insert(host.clone(), key);
        key
    }

    /// Removes the hosts for which `keep` returns false.
    pub(crate) fn retain(&mut self, keep: impl Fn(MemberKey, &Member) -> bool) {
        self.arena.retain(|key, member| keep(key, member));
        self.by_name.retain(|_, key| self.arena.contains_key(*key));
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

    /// All keys except `own`, in the order of the host names.
    pub(crate) fn others(&self, own: MemberKey) -> Vec<MemberKey> {
        self.by_name.values().copied().filter(|&it| it != own).collect()
    }
}
