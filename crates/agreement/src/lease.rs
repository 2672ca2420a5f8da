//! The leader's lease and what the other hosts know of a live leader.

use world::time;

use crate::{events, group};

/// When this host last heard from a leader.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Contact {
    /// The first step of this process.
    pub(crate) started: Option<time::Time>,
    /// The last heartbeat of a leader.
    pub(crate) last_heartbeat: Option<time::Time>,
    /// The last heartbeat of a leader that had a lease.
    pub(crate) last_leased: Option<time::Time>,
}

impl group::Group {
    /// Whether this host leads, has a valid lease and has committed an entry of its term, so that
    /// no other host can have committed more than it knows.
    pub fn is_ready_leader(&self, now: time::Time) -> bool {
        if self.role != events::Role::Leader || !self.committed_own_term() {
            return false;
        }
        self.has_lease(now) || !self.settings.mechanisms.lease_check
    }

    /// Whether this host has had no contact with a leader's lease for the length of a lease.
    pub fn is_isolated(&self, now: time::Time) -> bool {
        if self.role == events::Role::Leader {
            return !self.has_lease(now);
        }
        self.contact.last_leased.is_none_or(|it| now.since(it) >= self.settings.lease)
    }

    pub(crate) fn has_lease(&self, now: time::Time) -> bool {
        if self.role != events::Role::Leader {
            return false;
        }
        self.majority_ack_time(now).is_some_and(|it| now < it + self.settings.lease)
    }

    /// Whether no majority has acknowledged a heartbeat for the longest election timeout. Without
    /// this rule a leader that can send but not receive would block the group for ever, since its
    /// heartbeats keep the voters from voting.
    pub(crate) fn has_lost_majority(&self, now: time::Time) -> bool {
        let last = self.majority_ack_time(now).unwrap_or(self.leader_since).max(self.leader_since);
        now.since(last) >= self.settings.election_max
    }

    /// Whether this host must not vote, since a leader may hold a lease that relies on it. After
    /// a start it may have forgotten a heartbeat that it acknowledged.
    pub(crate) fn refuses_votes(&self, now: time::Time) -> bool {
        if !self.settings.mechanisms.vote_refusal || self.is_blank() {
            return false;
        }
        let recent =
            |t: Option<time::Time>| t.is_some_and(|it| now.since(it) < self.settings.refusal_time);
        self.has_lease(now) || recent(self.contact.last_heartbeat) || recent(self.contact.started)
    }

    /// The latest time at or after which a majority has acknowledged a heartbeat sent.
    fn majority_ack_time(&self, now: time::Time) -> Option<time::Time> {
        self.majority_value(|key| {
            if key == self.own_key { Some(now) } else { self.members.get(key).progress.last_ack }
        })
    }

    pub(crate) fn committed_own_term(&self) -> bool {
        self.log.term_at(self.hard_state.commit) == Some(self.hard_state.term)
    }
}
