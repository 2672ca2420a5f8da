//! Log compaction, and the transfer of snapshots in chunks.

use bytes::Bytes;
use world::time;

use crate::{entries, events, group, members, membership, messages};

/// A snapshot that is being received from the leader.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    last: entries::Position,
    data: Vec<u8>,
}

impl group::Group {
    /// Saves the state encoded after entry `index` as the newest snapshot and compacts the log.
    pub(crate) fn on_snapshot(&mut self, now: time::Time, index: entries::Index, data: Bytes) {
        let newest = self.snapshot.as_ref().map_or(entries::Index::default(), |it| it.last.index);
        if index <= newest || index > self.applied {
            return;
        }
        let Some(term) = self.log.term_at(index) else { return };
        let last = entries::Position { term, index };
        let voters = self.voter_lists.at(index).to_vec();
        let snapshot = events::Snapshot { last, voters, data };
        self.snapshot = Some(snapshot.clone());
        self.push_effect(events::Effect::SaveSnapshot(snapshot));
        let base = self.compaction_base(now, index).max(self.log.base());
        let voters = self.voter_lists.at(base).to_vec();
        self.voter_lists.install(base, voters);
        self.log.compact(base);
    }

    /// The base of the log in memory after a snapshot at `index`. Entries after a snapshot that is
    /// being sent are retained, so that its receiver does not need another snapshot. Transfers to
    /// unresponsive hosts retain nothing.
    fn compaction_base(&self, now: time::Time, index: entries::Index) -> entries::Index {
        let base = entries::Index(index.0.saturating_sub(self.settings.retained_entries));
        let others = self
            .members
            .others(self.own_key)
            .into_iter()
            .filter(|&it| !self.is_unresponsive(now, it));
        let sent = others.filter_map(|it| {
            self.members.get(it).progress.transfer.as_ref().map(|it| it.snapshot.last.index)
        });
        sent.fold(base, entries::Index::min)
    }

    /// Sends the next chunk of a snapshot to a member. The chunk also serves as a heartbeat.
    pub(crate) fn send_chunk(&mut self, now: time::Time, key: members::MemberKey) {
        // An unresponsive host gets chunks without data, as heartbeats.
        let size = if self.is_unresponsive(now, key) { 0 } else { self.settings.chunk_bytes };
        let Some(newest) = &self.snapshot else { return };
        let progress = &mut self.members.get_mut(key).progress;
        let new_transfer = || members::Transfer { snapshot: newest.clone(), offset: 0 };
        let members::Transfer { snapshot, offset } =
            progress.transfer.get_or_insert_with(new_transfer);
        let total = snapshot.data.len();
        let start = usize::try_from(*offset).unwrap_or(total).min(total);
        let end = total.min(start + size);
        let chunk = messages::SnapshotChunk {
            stamp: messages::SendTime(now),
            last: snapshot.last,
            voters: snapshot.voters.clone(),
            total: total as u64,
            offset: start as u64,
            data: snapshot.data.slice(start..end),
        };
        self.send(key, messages::Body::Chunk(chunk));
    }

    pub(crate) fn on_chunk_reply(
        &mut self,
        now: time::Time,
        sender: group::Sender,
        stamp: messages::SendTime,
        sent: messages::ReplyTime,
        index: entries::Index,
        received: u64,
    ) {
        if !self.record_ack(now, sender, stamp, sent) {
            return;
        }
        let progress = &mut self.members.get_mut(sender.key).progress;
        let transfer = progress.transfer.as_mut();
        let Some(transfer) = transfer.filter(|it| it.snapshot.last.index == index) else { return };
        // A duplicate reply must not send the same chunk again.
        if received == transfer.offset {
            return;
        }
        transfer.offset = received;
        self.send_chunk(now, sender.key);
    }

    pub(crate) fn on_chunk(
        &mut self,
        now: time::Time,
        sender: group::Sender,
        chunk: messages::SnapshotChunk,
    ) {
        let (stamp, last) = (chunk.stamp, chunk.last);
        let sent = self.reply_time(now);
        let follows = self.accept_leader(now, sender);
        if follows && last.index > self.hard_state.commit && !self.accept_chunk(chunk) {
            let received = self.incoming.as_ref().map_or(0, |it| it.data.len() as u64);
            let reply = messages::Body::ChunkReply { stamp, sent, index: last.index, received };
            return self.send(sender.key, reply);
        }
        // The log matches the leader's up to the commit index. A stale leader uses only the term of
        // this reply.
        let outcome = messages::AppendOutcome::Matched(self.hard_state.commit);
        self.send(sender.key, messages::Body::AppendReply { stamp, sent, outcome });
    }

    /// Adds a chunk to the incoming snapshot. Returns true if that completed it and it was
    /// installed. A chunk that does not continue the data received so far is ignored.
    fn accept_chunk(&mut self, chunk: messages::SnapshotChunk) -> bool {
        if chunk.total > self.settings.max_snapshot as u64 {
            log::error!("rejecting a snapshot of {} bytes, which is above the limit", chunk.total);
            return false;
        }
        if self.incoming.as_ref().is_none_or(|it| it.last != chunk.last) {
            self.incoming = Some(IncomingSnapshot { last: chunk.last, data: Vec::new() });
        }
        let Some(incoming) = &mut self.incoming else { return false };
        let received = incoming.data.len() as u64;
        let fits = received + chunk.data.len() as u64 <= chunk.total;
        if chunk.offset == received && fits {
            incoming.data.extend_from_slice(&chunk.data);
        }
        if (incoming.data.len() as u64) < chunk.total {
            return false;
        }
        let Some(incoming) = self.incoming.take() else { return false };
        let data = Bytes::from(incoming.data);
        self.install_snapshot(events::Snapshot { last: chunk.last, voters: chunk.voters, data });
        true
    }

    /// Replaces the log up to the snapshot's last entry. Later entries are kept only if the log
    /// has that entry.
    fn install_snapshot(&mut self, snapshot: events::Snapshot) {
        let last = snapshot.last;
        log::info!("installing a snapshot up to entry {}", last.index);
        if self.log.term_at(last.index) == Some(last.term) {
            self.log.compact(last.index);
        } else {
            self.log = entries::Log::new(last, Vec::new());
            self.voter_lists = membership::VoterLists::default();
        }
        self.voter_lists.install(last.index, snapshot.voters.clone());
        self.resolve_voters();
        self.hard_state.commit = last.index;
        self.persist_hard_state();
        self.applied = last.index;
        self.snapshot_index = last.index;
        self.applied_bytes = 0;
        self.snapshot = Some(snapshot.clone());
        self.push_effect(events::Effect::InstallSnapshot(snapshot));
    }
}
