//! A summary of a group's state for operators.

use std::time as std_time;

use compact_str::CompactString;
use world::time;

use crate::{entries, events, group, members};

/// The state of a group from the point of view of one host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Status {
    /// The host's role in the current term.
    pub role: events::Role,
    /// The highest term that the host has seen.
    pub term: entries::Term,
    /// The leader of the current term, if the host knows it.
    pub leader: Option<CompactString>,
    /// Term and index of the last entry in the host's log.
    pub last: entries::Position,
    /// The highest index that the host knows to be committed.
    pub commit: entries::Index,
    /// The index of the last applied entry.
    pub applied: entries::Index,
    /// The host cannot tell what is committed; see [`group::Group::is_isolated`].
    pub isolated: bool,
    /// The other hosts of the group; empty unless this host is the leader.
    pub members: Vec<MemberStatus>,
}

/// The state of another host from the point of view of the leader.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberStatus {
    /// The name of the host.
    pub host: CompactString,
    /// The disk in its latest reply; none before its first reply.
    pub disk: Option<entries::DiskId>,
    /// The disk that is listed for this voter; none for a learner. It differs from `disk` when the
    /// listed disk was lost and replaced.
    pub listed: Option<entries::DiskId>,
    /// The highest index up to which its synced log is known to equal the leader's.
    pub matched: entries::Index,
    /// It has acknowledged nothing that was sent in the last few heartbeat intervals.
    pub silent: bool,
    /// Time since the last message that it has acknowledged was sent, at most since this host
    /// became the leader or that one a member.
    pub silence: std_time::Duration,
    /// Its synced log holds everything that is committed.
    pub current: bool,
}

impl group::Group {
    /// A summary at time `now` for operators. Only a leader reports the other hosts.
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
        let since = self.leader_since.max(member.added);
        MemberStatus {
            host: member.host.clone(),
            disk: member.disk,
            listed: self.listed_disk(key),
            matched: member.progress.matched,
            silent: self.is_unresponsive(now, key),
            silence: now.since(member.progress.last_ack.unwrap_or_default().max(since)),
            current: member.progress.matched >= self.hard_state.commit,
        }
    }
}
