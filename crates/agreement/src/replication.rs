//! Replication from the leader to the other hosts, and the commit rule.

use world::time;

use crate::{entries, events, group, members, messages};

/// Heartbeat intervals without an acknowledgement after which a member counts as unresponsive: it
/// gets only heartbeats until it answers again.
const MAX_MISSED_HEARTBEATS: u32 = 3;

impl group::Group {
    /// Sends a heartbeat to every other host, with entries if there are any to send.
    pub(crate) fn send_heartbeats(&mut self, now: time::Time) {
        self.heartbeat_at = now + self.settings.heartbeat;
        for key in self.members.others(self.own_key) {
            let unresponsive = self.is_unresponsive(now, key);
            let progress = &mut self.members.get_mut(key).progress;
            // Batches unacknowledged for a whole heartbeat interval count as lost.
            progress.inflight = 0;
            if unresponsive {
                progress.transfer = None;
            }
            if unresponsive && !progress.probing {
                progress.probing = true;
                progress.next = progress.matched.next();
            }
            self.send_entries(now, key, true);
        }
    }

    /// Whether a member has acknowledged nothing that was sent in the last
    /// [`MAX_MISSED_HEARTBEATS`] heartbeat intervals.
    pub(crate) fn is_unresponsive(&self, now: time::Time, key: members::MemberKey) -> bool {
        let limit = self.settings.heartbeat * MAX_MISSED_HEARTBEATS;
        self.members.get(key).progress.last_ack.is_none_or(|it| now.since(it) > limit)
    }

    /// Sends new entries to every host below its limit of unacknowledged batches, and commits what
    /// a majority has synced.
    pub(crate) fn replicate(&mut self, now: time::Time) {
        for key in self.members.others(self.own_key) {
            self.send_entries(now, key, false);
        }
        self.advance_commit();
    }

    /// Sends batches of entries to a member until the limit of unacknowledged batches. With
    /// `heartbeat`, sends at least one message. A member that needs entries which are no longer in
    /// memory gets a snapshot chunk with each heartbeat instead.
    fn send_entries(&mut self, now: time::Time, key: members::MemberKey, heartbeat: bool) {
        let next = self.members.get(key).progress.next;
        if next <= self.log.base() {
            if heartbeat {
                self.send_chunk(now, key);
            }
            return;
        }
        self.members.get_mut(key).progress.transfer = None;
        let mut heartbeat_due = heartbeat;
        loop {
            let progress = &self.members.get(key).progress;
            let room = progress.inflight < self.settings.max_inflight && !progress.probing;
            let entries = if room { self.batch(progress.next) } else { Vec::new() };
            if entries.is_empty() && !heartbeat_due {
                return;
            }
            let sent = !entries.is_empty();
            self.send_append(now, key, entries);
            heartbeat_due = false;
            if !sent {
                return;
            }
        }
    }

    fn batch(&self, from: entries::Index) -> Vec<entries::Entry> {
        self.log.batch(from, self.settings.batch_entries, self.settings.batch_bytes)
    }

    /// Sends one `Append` and advances the member's progress as if the entries will be accepted.
    fn send_append(
        &mut self,
        now: time::Time,
        key: members::MemberKey,
        entries: Vec<entries::Entry>,
    ) {
        let index = self.members.get(key).progress.next.prev();
        let Some(term) = self.log.term_at(index) else { return };
        let progress = &mut self.members.get_mut(key).progress;
        let answered = progress.last_reply;
        if let Some(last) = entries.last() {
            progress.next = last.position.index.next();
            progress.inflight += 1;
        }
        let append = messages::AppendEntries {
            stamp: messages::SendTime(now),
            answered,
            leased: self.has_lease(now) && self.committed_own_term(),
            prev: entries::Position { term, index },
            entries,
            commit: self.hard_state.commit,
        };
        self.send(key, messages::Body::Append(append));
    }

    pub(crate) fn on_append(
        &mut self,
        now: time::Time,
        sender: group::Sender,
        append: messages::AppendEntries,
    ) {
        let (stamp, sent) = (append.stamp, self.reply_time(now));
        if !self.accept_leader(now, sender) {
            // The reply carries the higher term, which makes a stale leader step down.
            let outcome = messages::AppendOutcome::Conflict(append.prev.index.next());
            return self.send(sender.key, messages::Body::AppendReply { stamp, sent, outcome });
        }
        self.contact.commit = self.contact.commit.max(append.commit);
        if append.leased {
            self.record_answered(append.answered);
        }
        let outcome = self.accept_entries(append);
        self.send(sender.key, messages::Body::AppendReply { stamp, sent, outcome });
    }

    /// Follows the sender of entries or of a snapshot as the leader of its term. Returns false if
    /// the term is below this host's.
    pub(crate) fn accept_leader(&mut self, now: time::Time, sender: group::Sender) -> bool {
        if sender.term < self.hard_state.term {
            return false;
        }
        self.step_down(now, sender.term, Some(sender.key));
        self.join_cluster(sender);
        self.contact.last_heartbeat = Some(now);
        self.reset_election_timer(now);
        true
    }

    /// Appends the leader's entries after the check that the preceding entry matches.
    fn accept_entries(&mut self, append: messages::AppendEntries) -> messages::AppendOutcome {
        let prev = append.prev;
        let last = prev.index.0 + append.entries.len() as u64;
        if last <= self.log.base().0 {
            return messages::AppendOutcome::Matched(self.log.base());
        }
        // Entries up to the base are committed, so they match the leader's.
        if prev.index >= self.log.base() && self.log.term_at(prev.index) != Some(prev.term) {
            return messages::AppendOutcome::Conflict(self.conflict_hint(prev.index));
        }
        for entry in append.entries {
            if !self.accept_entry(entry) {
                return messages::AppendOutcome::Conflict(self.hard_state.commit.next());
            }
        }
        self.set_commit(append.commit.min(entries::Index(last)));
        messages::AppendOutcome::Matched(entries::Index(last))
    }

    /// Appends an entry unless the log already has it; conflicting uncommitted entries are removed
    /// first. Returns false if it conflicts with a committed entry.
    fn accept_entry(&mut self, entry: entries::Entry) -> bool {
        let index = entry.position.index;
        if index <= self.log.base() || self.log.term_at(index) == Some(entry.position.term) {
            return true;
        }
        if index <= self.hard_state.commit {
            log::error!("rejecting entry {index}, which conflicts with a committed entry");
            return false;
        }
        if index <= self.log.last().index {
            self.truncate(index);
        }
        self.push(entry);
        true
    }

    /// The index from which the leader should retry when the entry at `index` did not match. If the
    /// log ends before `index`, this is its end; otherwise the first entry of the conflicting term,
    /// but above the commit index.
    fn conflict_hint(&self, index: entries::Index) -> entries::Index {
        let last = self.log.last().index;
        if index > last {
            return last.next();
        }
        self.log.term_start(index).max(self.hard_state.commit.next())
    }

    pub(crate) fn on_append_reply(
        &mut self,
        now: time::Time,
        sender: group::Sender,
        stamp: messages::SendTime,
        sent: messages::ReplyTime,
        outcome: messages::AppendOutcome,
    ) {
        if !self.record_ack(now, sender, stamp, sent) {
            return;
        }
        let progress = &mut self.members.get_mut(sender.key).progress;
        match outcome {
            messages::AppendOutcome::Matched(index) => {
                progress.matched = progress.matched.max(index);
                progress.next = progress.next.max(progress.matched.next());
                progress.inflight = progress.inflight.saturating_sub(1);
                progress.probing = false;
                progress.transfer =
                    progress.transfer.take().filter(|it| it.snapshot.last.index > index);
            }
            messages::AppendOutcome::Conflict(index) => {
                let next = index.max(progress.matched.next());
                if next >= progress.next {
                    return;
                }
                progress.next = next;
                progress.probing = true;
                return self.send_entries(now, sender.key, true);
            }
        }
        let before = self.hard_state.commit;
        self.advance_commit();
        if self.hard_state.commit > before {
            return self.broadcast_commit(now);
        }
        self.send_entries(now, sender.key, false);
    }

    /// Records that a member acknowledged the message sent at `stamp`, by a reply that it sent at
    /// `sent` on its own clock. Returns false if the reply does not belong to this host's current
    /// leadership; a higher term makes it step down.
    pub(crate) fn record_ack(
        &mut self,
        now: time::Time,
        sender: group::Sender,
        stamp: messages::SendTime,
        sent: messages::ReplyTime,
    ) -> bool {
        if sender.term > self.hard_state.term {
            self.step_down(now, sender.term, None);
            return false;
        }
        if self.role != events::Role::Leader || sender.term < self.hard_state.term {
            return false;
        }
        let last = self.log.last().index;
        let member = self.members.get_mut(sender.key);
        if member.disk != Some(sender.disk) {
            member.disk = Some(sender.disk);
            member.progress = members::Progress::new(last);
        }
        let progress = &mut member.progress;
        progress.last_ack = progress.last_ack.max(Some(stamp.0));
        // Replies can overtake each other. The times of another process are not comparable.
        let overtaken = |it: &messages::ReplyTime| it.nonce == sent.nonce && it.at > sent.at;
        progress.last_reply = progress.last_reply.filter(overtaken).or(Some(sent));
        true
    }

    /// Sends a new commit index to all hosts whose logs match, without waiting for the next
    /// heartbeat.
    fn broadcast_commit(&mut self, now: time::Time) {
        for key in self.members.others(self.own_key) {
            let responsive = !self.members.get(key).progress.probing;
            self.send_entries(now, key, responsive);
        }
    }

    /// Commits what a majority has synced. Entries of earlier terms are committed only together
    /// with one of the current term: even if a majority holds an entry of an earlier term, it can
    /// still elect a leader that has an entry of a later term at the same index.
    pub(crate) fn advance_commit(&mut self) {
        let last = self.log.last().index;
        let matched = self.majority_value(|key| {
            if key == self.own_key {
                Some(last)
            } else {
                Some(self.members.get(key).progress.matched)
            }
        });
        let Some(index) = matched else { return };
        let current = self.log.term_at(index) == Some(self.hard_state.term);
        if current || !self.settings.toggles.own_term {
            self.set_commit(index);
        }
    }
}
