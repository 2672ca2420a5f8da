//! Replication from the leader to all other hosts, and the commit rule.

use world::time;

use crate::{entries, events, group, members, messages};

/// Heartbeats without an acknowledgement after which a member gets no entries until it answers.
const SILENT_HEARTBEATS: u32 = 3;

impl group::Group {
    /// Sends a heartbeat to every host, with entries where they fit.
    pub(crate) fn heartbeat(&mut self, now: time::Time) {
        self.heartbeat_at = now + self.settings.heartbeat;
        for key in self.members.others(self.me) {
            let silent = self.is_silent(now, key);
            let progress = &mut self.members.get_mut(key).progress;
            // What was in flight for a whole heartbeat counts as lost.
            progress.inflight = 0;
            if silent {
                progress.transfer = None;
            }
            if silent && !progress.probing {
                progress.probing = true;
                progress.next = progress.matched.next();
            }
            self.send_next(now, key, true);
        }
    }

    /// Whether a member has not answered for several heartbeats.
    pub(crate) fn is_silent(&self, now: time::Time, key: members::MemberKey) -> bool {
        let limit = self.settings.heartbeat * SILENT_HEARTBEATS;
        self.members.get(key).progress.acked.is_none_or(|it| now.since(it) > limit)
    }

    /// Sends new entries to every host that has room for them.
    pub(crate) fn replicate(&mut self, now: time::Time) {
        for key in self.members.others(self.me) {
            self.send_next(now, key, false);
        }
        self.advance_commit();
    }

    /// Sends entries until the window is full; with `beat`, at least a heartbeat.
    fn send_next(&mut self, now: time::Time, key: members::MemberKey, beat: bool) {
        let next = self.members.get(key).progress.next;
        if next <= self.log.base() {
            if beat {
                self.send_chunk(now, key);
            }
            return;
        }
        self.members.get_mut(key).progress.transfer = None;
        let mut owed = beat;
        loop {
            let progress = &self.members.get(key).progress;
            let room = progress.inflight < self.settings.max_inflight && !progress.probing;
            let entries = if room { self.batch(progress.next) } else { Vec::new() };
            if entries.is_empty() && !owed {
                return;
            }
            let full = !entries.is_empty();
            self.send_append(now, key, entries);
            owed = false;
            if !full {
                return;
            }
        }
    }

    fn batch(&self, from: entries::Index) -> Vec<entries::Entry> {
        self.log.batch(from, self.settings.batch_entries, self.settings.batch_bytes)
    }

    fn send_append(
        &mut self,
        now: time::Time,
        key: members::MemberKey,
        entries: Vec<entries::Entry>,
    ) {
        let index = self.members.get(key).progress.next.prev();
        let Some(term) = self.log.term_at(index) else { return };
        let progress = &mut self.members.get_mut(key).progress;
        if let Some(last) = entries.last() {
            progress.next = last.position.index.next();
            progress.inflight += 1;
        }
        let append = messages::AppendEntries {
            stamp: messages::SendTime(now),
            leased: self.has_lease(now),
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
        let stamp = append.stamp;
        if !self.follow(now, sender, append.leased) {
            // The answer carries the higher term, which tells an old leader to step down.
            let outcome = messages::AppendOutcome::Conflict(append.prev.index.next());
            return self.send(sender.key, messages::Body::AppendReply { stamp, outcome });
        }
        let outcome = self.take_entries(append);
        self.send(sender.key, messages::Body::AppendReply { stamp, outcome });
    }

    /// Follows the sender of entries or of a snapshot. Returns false when its term is over.
    pub(crate) fn follow(&mut self, now: time::Time, sender: group::Sender, leased: bool) -> bool {
        if sender.term < self.hard_state.term {
            return false;
        }
        self.step_down(now, sender.term, Some(sender.key));
        self.adopt_cluster(sender);
        self.contact.heard = Some(now);
        if leased {
            self.contact.leased = Some(now);
        }
        self.reset_election(now);
        true
    }

    fn take_entries(&mut self, append: messages::AppendEntries) -> messages::AppendOutcome {
        let prev = append.prev;
        let last = prev.index.0 + append.entries.len() as u64;
        if last <= self.log.base().0 {
            return messages::AppendOutcome::Matched(self.log.base());
        }
        // Entries at and below the base are committed, so they equal the leader's.
        if prev.index >= self.log.base() && self.log.term_at(prev.index) != Some(prev.term) {
            return messages::AppendOutcome::Conflict(self.conflict_at(prev.index));
        }
        for entry in append.entries {
            if !self.take_entry(entry) {
                return messages::AppendOutcome::Conflict(self.hard_state.commit.next());
            }
        }
        self.set_commit(append.commit.min(entries::Index(last)));
        messages::AppendOutcome::Matched(entries::Index(last))
    }

    fn take_entry(&mut self, entry: entries::Entry) -> bool {
        let index = entry.position.index;
        if index <= self.log.base() || self.log.term_at(index) == Some(entry.position.term) {
            return true;
        }
        if index <= self.hard_state.commit {
            log::error!("entry {index} differs from the committed one; it is not used");
            return false;
        }
        if index <= self.log.last().index {
            self.truncate(index);
        }
        self.push(entry);
        true
    }

    /// Where the leader should try next when the entry at `index` did not match.
    fn conflict_at(&self, index: entries::Index) -> entries::Index {
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
        outcome: messages::AppendOutcome,
    ) {
        if !self.acknowledged(now, sender, stamp) {
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
                return self.send_next(now, sender.key, true);
            }
        }
        let before = self.hard_state.commit;
        self.advance_commit();
        if self.hard_state.commit > before {
            return self.spread_commit(now);
        }
        self.send_next(now, sender.key, false);
    }

    /// Notes that a member has answered what was sent at `stamp`. Returns false when the answer
    /// is not to the present leadership.
    pub(crate) fn acknowledged(
        &mut self,
        now: time::Time,
        sender: group::Sender,
        stamp: messages::SendTime,
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
            member.progress = members::Progress::fresh(last);
        }
        member.progress.acked = member.progress.acked.max(Some(stamp.0));
        true
    }

    /// Tells all hosts of a new commit index without waiting for the next heartbeat.
    fn spread_commit(&mut self, now: time::Time) {
        for key in self.members.others(self.me) {
            let live = !self.members.get(key).progress.probing;
            self.send_next(now, key, live);
        }
    }

    /// Commits what a majority has synced. Entries of earlier terms are committed only together
    /// with one of the own term: a majority may hold an entry of an earlier term and still elect
    /// a leader with a later one in its place.
    pub(crate) fn advance_commit(&mut self) {
        let last = self.log.last().index;
        let matched = self.majority(|key| {
            if key == self.me { Some(last) } else { Some(self.members.get(key).progress.matched) }
        });
        let Some(index) = matched else { return };
        let own = self.log.term_at(index) == Some(self.hard_state.term);
        if own || !self.settings.mechanisms.own_term {
            self.set_commit(index);
        }
    }
}
