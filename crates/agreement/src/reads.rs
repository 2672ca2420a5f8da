//! Read confirmation: the commit index of a leader whose lease was valid after the question.

use std::{collections, mem};

use world::time;

use crate::{entries, events, group, messages};

/// A question that waits for its answer.
#[derive(Clone, Copy, Debug)]
struct Question {
    token: events::Token,
    asked: time::Time,
    sent: time::Time,
}

/// The questions of this process.
#[derive(Debug)]
pub(crate) struct Reads {
    nonce: u64,
    count: u64,
    open: collections::BTreeMap<u64, Question>,
}

impl Reads {
    pub(crate) fn new(nonce: u64) -> Reads {
        Reads { nonce, count: 0, open: collections::BTreeMap::new() }
    }
}

impl group::Group {
    pub(crate) fn confirm_read(&mut self, now: time::Time, token: events::Token) {
        if self.is_ready_leader(now) {
            let index = self.hard_state.commit;
            return self.effect(events::Effect::ReadConfirmed { token, index });
        }
        self.reads.count += 1;
        let number = self.reads.count;
        self.reads.open.insert(number, Question { token, asked: now, sent: now });
        self.ask(number);
    }

    /// Repeats questions that may be lost, and gives up those that are too old.
    pub(crate) fn expire_reads(&mut self, now: time::Time) {
        if self.is_ready_leader(now) {
            return self.answer_reads();
        }
        let numbers: Vec<u64> = self.reads.open.keys().copied().collect();
        for number in numbers {
            let Some(question) = self.reads.open.get_mut(&number) else { continue };
            if now.since(question.asked) >= self.settings.read_timeout {
                let token = question.token;
                self.reads.open.remove(&number);
                self.effect(events::Effect::ReadFailed { token });
            } else if now.since(question.sent) >= self.settings.heartbeat {
                question.sent = now;
                self.ask(number);
            }
        }
    }

    /// Answers the questions that were asked before this host became current itself.
    fn answer_reads(&mut self) {
        let index = self.hard_state.commit;
        for question in mem::take(&mut self.reads.open).into_values() {
            self.effect(events::Effect::ReadConfirmed { token: question.token, index });
        }
    }

    pub(crate) fn on_read(&mut self, now: time::Time, sender: group::Sender, id: messages::ReadId) {
        if self.is_ready_leader(now) {
            let commit = self.hard_state.commit;
            self.send(sender.key, messages::Body::ReadReply { id, commit });
        }
    }

    pub(crate) fn on_read_reply(&mut self, id: messages::ReadId, index: entries::Index) {
        if id.nonce != self.reads.nonce {
            return;
        }
        let Some(question) = self.reads.open.remove(&id.number) else { return };
        self.effect(events::Effect::ReadConfirmed { token: question.token, index });
    }

    fn ask(&mut self, number: u64) {
        let Some(leader) = self.leader.filter(|&it| it != self.me) else { return };
        let id = messages::ReadId { nonce: self.reads.nonce, number };
        self.send(leader, messages::Body::Read(id));
    }
}
