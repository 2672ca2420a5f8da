//! Elections: the randomized timeout, the pre-vote and the vote.

use std::mem;

use rand::Rng as _;
use world::time;

use crate::{entries, events, group, members, messages};

impl group::Group {
    /// Restarts the election timer with a new random timeout.
    pub(crate) fn reset_election_timer(&mut self, now: time::Time) {
        let range = self.settings.election_min..=self.settings.election_max;
        self.election_at = now + self.rng.random_range(range);
    }

    /// Starts a pre-vote if this host is a voter with its current disk.
    pub(crate) fn campaign(&mut self, now: time::Time) {
        self.reset_election_timer(now);
        if !self.is_voter() {
            return;
        }
        self.leader = None;
        if !self.settings.toggles.pre_vote {
            return self.start_election(now);
        }
        self.role = events::Role::PreCandidate;
        self.request_votes(now, true, self.hard_state.term.next());
    }

    /// Becomes a candidate: increments the term, votes for itself and requests votes.
    fn start_election(&mut self, now: time::Time) {
        self.reset_election_timer(now);
        self.role = events::Role::Candidate;
        self.hard_state.term = self.hard_state.term.next();
        self.hard_state.vote = Some(self.members.get(self.own_key).host.clone());
        self.persist_hard_state();
        self.request_votes(now, false, self.hard_state.term);
    }

    /// Requests a vote or a pre-vote for `term` from the other voters.
    fn request_votes(&mut self, now: time::Time, pre: bool, term: entries::Term) {
        self.votes = [self.own_key].into();
        if self.has_vote_majority() {
            return self.on_majority(now, pre);
        }
        let last = self.log.last();
        for key in self.members.others(self.own_key) {
            let Some(voter) = self.listed_disk(key) else { continue };
            let vote = messages::RequestVote { pre, term, last, voter };
            self.send(key, messages::Body::Vote(vote));
        }
    }

    pub(crate) fn on_vote(
        &mut self,
        now: time::Time,
        sender: group::Sender,
        vote: &messages::RequestVote,
    ) {
        if !self.disk_matches(self.disk, vote.voter) {
            log::warn!("ignoring a vote request for disk {}, which this host has lost", vote.voter);
            return;
        }
        let granted = if self.refuses_votes(now) {
            false
        } else if vote.pre {
            vote.term > self.hard_state.term && vote.last >= self.log.last()
        } else {
            self.grant_vote(now, sender, vote)
        };
        let reply = messages::Body::VoteReply { pre: vote.pre, asked: vote.term, granted };
        self.send(sender.key, reply);
    }

    /// Handles a vote request by Raft's rules: at most one vote per term, and only for a candidate
    /// whose log is at least as up to date as this host's.
    fn grant_vote(
        &mut self,
        now: time::Time,
        sender: group::Sender,
        vote: &messages::RequestVote,
    ) -> bool {
        if vote.term < self.hard_state.term {
            return false;
        }
        if vote.term > self.hard_state.term {
            self.step_down(now, vote.term, None);
        }
        let candidate = &self.members.get(sender.key).host;
        let available = self.hard_state.vote.as_ref().is_none_or(|it| it == candidate);
        if !available || vote.last < self.log.last() {
            return false;
        }
        self.hard_state.vote = Some(candidate.clone());
        self.join_cluster(sender);
        self.persist_hard_state();
        self.reset_election_timer(now);
        true
    }

    pub(crate) fn on_vote_reply(
        &mut self,
        now: time::Time,
        sender: group::Sender,
        pre: bool,
        asked: entries::Term,
        granted: bool,
    ) {
        if sender.term > self.hard_state.term {
            return self.step_down(now, sender.term, None);
        }
        let awaited = match self.role {
            events::Role::PreCandidate => pre && asked == self.hard_state.term.next(),
            events::Role::Candidate => !pre && asked == self.hard_state.term,
            _ => false,
        };
        let listed = self.listed_disk(sender.key);
        let counts = listed.is_some_and(|it| self.disk_matches(sender.disk, it));
        if !awaited || !granted || !counts {
            return;
        }
        self.votes.insert(sender.key);
        if self.has_vote_majority() {
            self.on_majority(now, pre);
        }
    }

    /// Continues after a majority granted its votes: a pre-candidate starts the election, and a
    /// candidate becomes the leader.
    fn on_majority(&mut self, now: time::Time, pre: bool) {
        if pre {
            return self.start_election(now);
        }
        self.role = events::Role::Leader;
        self.leader = Some(self.own_key);
        self.leader_since = now;
        self.incoming = None;
        let last = self.log.last().index;
        for key in self.members.others(self.own_key) {
            self.members.get_mut(key).progress = members::Progress::new(last);
        }
        self.append(entries::Payload::Blank);
        self.send_heartbeats(now);
        self.advance_commit();
    }

    /// Becomes a follower in `term`, which is not below the current one, of `leader` if it is
    /// known. The outcome of the proposals that wait for their commit is then unknown.
    pub(crate) fn step_down(
        &mut self,
        now: time::Time,
        term: entries::Term,
        leader: Option<members::MemberKey>,
    ) {
        if self.role == events::Role::Leader {
            self.keep_contact(now);
        }
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote = None;
            self.persist_hard_state();
        }
        for token in mem::take(&mut self.pending).into_values() {
            self.push_effect(events::Effect::LeadershipLost { token });
        }
        if self.role != events::Role::Follower {
            self.reset_election_timer(now);
        }
        self.role = events::Role::Follower;
        self.leader = leader;
    }

    /// Assigns a blank disk to the sender's cluster.
    pub(crate) fn join_cluster(&mut self, sender: group::Sender) {
        if self.hard_state.cluster.is_some() || sender.cluster.is_none() {
            return;
        }
        self.hard_state.cluster = sender.cluster;
        self.persist_hard_state();
    }
}
