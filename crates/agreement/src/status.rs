//! What operators see of a group.

use compact_str::CompactString;
use world::time;

use crate::{entries, events, group, members};

/// A group as one host sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Status {
    /// The host's role.
    pub role: events::Role,
    /// The current term.
    pub term: entries::Term,
    /// The leader, as far as known.
    pub leader: Option<CompactString>,
    /// The last entry in the log.
    pub last: entries::Position,
    /// The commit index as this host knows it.
    pub commit: entries::Index,
    /// The last entry handed out.
    pub applied: entries::Index,
    /// The host has had no contact with a leader's lease for the length of a lease.
    pub isolated: bool,
    /// The other hosts; only a leader knows them.
    pub members: Vec<MemberStatus>,
}

/// A host as the leader sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberStatus {
    /// The name of the host.
    pub host: CompactString,
    /// The disk named in its latest answer.
    pub disk: Option<entries::DiskId>,
    /// The disk listed as a voter. Another one than `disk` means that a disk was lost.
    pub listed: Option<entries::DiskId>,
    /// The last entry that it has synced.
    pub matched: entries::Index,
    /// It has not answered for several heartbeats.
    pub silent: bool,
}

impl group::Group {
    /// The group as this host sees it.
    pub fn status(&self, now: time::Time) -> Status {
        let others = self.members.others(self.own_key).into_iter();
        let leads = self.role == events::Role::Leader;
        Status {
            role: self.role,
            term: self.hard_state.term,
            leader: self.leader().cloned(),
            last: self.log.last(),
            commit: self.hard_state.commit,
            applied: self.applied,
            isolated: self.is_isolated(now),
            members: others.filter(|_| leads).map(|it| self.member_status(now, it)).collect(),
        }
    }

    fn member_status(&self, now: time::Time, key: members::MemberKey) -> MemberStatus {
        let member = self.members.get(key);
        MemberStatus {
            host: member.host.clone(),
            disk: member.disk,
            listed: self.listed_disk(key),
            matched: member.progress.matched,
            silent: self.is_unresponsive(now, key),
        }
    }
}
