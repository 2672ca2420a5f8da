//! Linearizable reads: a read is confirmed with the commit index of a leader whose lease was valid
//! after the read was requested (Raft's ReadIndex, with leases).

use std::{collections, mem};

use world::time;

use crate::{entries, events, group, messages};

/// A read that waits for its confirmation.
#[derive(Clone, Copy, Debug)]
struct PendingRead {
    token: events::Token,
    asked: time::Time,
    /// When the leader was last asked.
    sent: time::Time,
}

/// The pending reads of this process, by number.
#[derive(Debug, Default)]
pub(crate) struct Reads {
    count: u64,
    pending: collections::BTreeMap<u64, PendingRead>,
}

impl group::Group {
    /// Drops the pending reads, for a host that stops taking part in the group. Returns their
    /// tokens.
    pub fn take_reads(&mut self) -> Vec<events::Token> {
        mem::take(&mut self.reads.pending).into_values().map(|it| it.token).collect()
    }

    pub(crate) fn confirm_read(&mut self, now: time::Time, token: events::Token) {
        if self.is_ready_leader(now) {
            let index = self.hard_state.commit;
            return self.push_effect(events::Effect::ReadConfirmed { token, index });
        }
        self.reads.count += 1;
        let number = self.reads.count;
        self.reads.pending.insert(number, PendingRead { token, asked: now, sent: now });
        self.send_read(number);
    }

    /// Asks again for reads without a reply, once per heartbeat interval, and fails those that have
    /// waited for the read timeout.
    pub(crate) fn tick_reads(&mut self, now: time::Time) {
        if self.is_ready_leader(now) {
            return self.confirm_pending();
        }
        let numbers: Vec<u64> = self.reads.pending.keys().copied().collect();
        for number in numbers {
            let Some(read) = self.reads.pending.get_mut(&number) else { continue };
            if now.since(read.asked) >= self.settings.read_timeout {
                let token = read.token;
                self.reads.pending.remove(&number);
                self.push_effect(events::Effect::ReadFailed { token });
            } else if now.since(read.sent) >= self.settings.heartbeat {
                read.sent = now;
                self.send_read(number);
            }
        }
    }

    /// Confirms the reads that were requested before this host became a ready leader itself.
    fn confirm_pending(&mut self) {
        let index = self.hard_state.commit;
        for read in mem::take(&mut self.reads.pending).into_values() {
            self.push_effect(events::Effect::ReadConfirmed { token: read.token, index });
        }
    }

    pub(crate) fn on_read(&mut self, now: time::Time, sender: group::Sender, id: messages::ReadId) {
        if self.is_ready_leader(now) {
            let commit = self.hard_state.commit;
            self.send(sender.key, messages::Body::ReadReply { id, commit });
        }
    }

    pub(crate) fn on_read_reply(&mut self, id: messages::ReadId, index: entries::Index) {
        if id.nonce != self.nonce {
            return;
        }
        let Some(read) = self.reads.pending.remove(&id.number) else { return };
        self.push_effect(events::Effect::ReadConfirmed { token: read.token, index });
    }

    fn send_read(&mut self, number: u64) {
        let Some(leader) = self.leader.filter(|&it| it != self.own_key) else { return };
        let id = messages::ReadId { nonce: self.nonce, number };
        self.send(leader, messages::Body::Read(id));
    }
}
