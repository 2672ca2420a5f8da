//! The leader's lease, and when the other hosts last heard from a leader.

use world::time;

use crate::{entries, events, group, messages};

/// Times that decide whether a voter may grant a vote and whether a host is isolated.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Contact {
    /// When the group was first stepped after the process started.
    pub(crate) started: Option<time::Time>,
    /// When the last heartbeat, entries or snapshot chunk from a leader arrived.
    pub(crate) last_heartbeat: Option<time::Time>,
    /// When this host sent the latest reply that a ready leader had had when it named its commit
    /// index. A leader is ready when it knows what is committed; a snapshot chunk names no commit
    /// index.
    pub(crate) last_leased: Option<time::Time>,
    /// The highest commit index that a leader has named.
    pub(crate) commit: entries::Index,
    /// The latest such time for which this host has applied everything that the leader had
    /// committed.
    pub(crate) last_current: Option<time::Time>,
}

impl group::Group {
    /// Whether this host is the leader, has a valid lease and has committed an entry of its own
    /// term, so that no other host can know a higher commit index.
    pub fn is_ready_leader(&self, now: time::Time) -> bool {
        if self.role != events::Role::Leader || !self.committed_own_term() {
            return false;
        }
        self.has_lease(now) || !self.settings.toggles.lease_check
    }

    /// Whether this host cannot tell what is committed: it has not had everything that a ready
    /// leader had committed for as long as its contact lasts. A heartbeat alone does not show that,
    /// since it can arrive long before the entries that this host has missed.
    pub fn is_isolated(&self, now: time::Time) -> bool {
        now >= self.contact_until(now)
    }

    /// Until when this host is not isolated, if it hears nothing more.
    pub fn contact_until(&self, now: time::Time) -> time::Time {
        let lasts = match self.role {
            events::Role::Leader => self.settings.lease,
            // The reply that a heartbeat answers was sent a heartbeat interval before it.
            _ => self.settings.lease + self.settings.heartbeat * 2,
        };
        self.current_at(now).map_or(time::Time::ZERO, |it| it + lasts)
    }

    /// The latest time for which this host knows that it has applied everything that was committed
    /// by then; none before the first contact. It is the time at which this host sent a message
    /// that a ready leader, or as leader a majority, has answered: messages may wait for long on
    /// their way, so the time of their arrival shows nothing.
    pub fn current_at(&self, now: time::Time) -> Option<time::Time> {
        let leads = self.role == events::Role::Leader && self.committed_own_term();
        let led_at = if leads { self.majority_ack_time(now) } else { None };
        // A leader that has yet to commit an entry of its term knows what it knew as a follower.
        led_at.max(self.contact.last_current)
    }

    /// Dates what a ready leader has named as committed by this host's reply that it answers.
    pub(crate) fn record_answered(&mut self, answered: Option<messages::ReplyTime>) {
        let answered = answered.filter(|it| it.nonce == self.nonce).map(|it| it.at);
        self.contact.last_leased = self.contact.last_leased.max(answered);
    }

    /// Keeps the date of what a leader knows that steps down: it has applied everything that was
    /// committed by then.
    pub(crate) fn keep_contact(&mut self, now: time::Time) {
        self.contact.last_leased = self.contact.last_leased.max(self.current_at(now));
        self.contact.commit = self.contact.commit.max(self.hard_state.commit);
    }

    /// The time of a reply that this host sends at `now`.
    pub(crate) fn reply_time(&self, now: time::Time) -> messages::ReplyTime {
        messages::ReplyTime { nonce: self.nonce, at: now }
    }

    /// Records after a step whether this host has applied everything that the leader had committed.
    pub(crate) fn record_current(&mut self) {
        if self.applied >= self.contact.commit {
            self.contact.last_current = self.contact.last_leased;
        }
    }

    /// Whether this host is the leader and a majority has acknowledged a heartbeat that it sent
    /// less than one lease ago.
    pub(crate) fn has_lease(&self, now: time::Time) -> bool {
        if self.role != events::Role::Leader {
            return false;
        }
        self.majority_ack_time(now).is_some_and(|it| now < it + self.settings.lease)
    }

    /// Whether no majority has acknowledged a heartbeat within the longest election timeout. The
    /// leader then steps down: a leader that can send but not receive would otherwise block the
    /// group forever, since its heartbeats keep the voters from electing another one.
    pub(crate) fn has_lost_majority(&self, now: time::Time) -> bool {
        let last = self.majority_ack_time(now).unwrap_or(self.leader_since).max(self.leader_since);
        now.since(last) >= self.settings.election_max
    }

    /// Whether this host must not grant a vote, because a leader may hold a lease that depends on
    /// this host's acknowledgement. This includes the time right after a start, since the previous
    /// process may have acknowledged a heartbeat.
    pub(crate) fn refuses_votes(&self, now: time::Time) -> bool {
        if !self.settings.toggles.vote_refusal || self.is_blank() {
            return false;
        }
        let recent =
            |t: Option<time::Time>| t.is_some_and(|it| now.since(it) < self.settings.refusal_time);
        self.has_lease(now) || recent(self.contact.last_heartbeat) || recent(self.contact.started)
    }

    /// The latest time such that a majority of the voters has acknowledged a heartbeat sent then or
    /// later. This host counts as having acknowledged one sent at `now`.
    fn majority_ack_time(&self, now: time::Time) -> Option<time::Time> {
        self.majority_value(|key| {
            if key == self.own_key { Some(now) } else { self.members.get(key).progress.last_ack }
        })
    }

    /// Whether the last committed entry is of the current term.
    pub(crate) fn committed_own_term(&self) -> bool {
        self.log.term_at(self.hard_state.commit) == Some(self.hard_state.term)
    }
}
