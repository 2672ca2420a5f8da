//! This host's part of one replicated log, together with its files.

use std::collections;

use agreement::{entries, events, group};
use bytes::Bytes;
use compact_str::CompactString;
use protocol::proposals;
use tokio::sync::oneshot;
use world::time;

/// An error of this module.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The state in a snapshot or in the log cannot be read.
    #[error(
        "the replicated state cannot be decoded: {0}\nnext: start the build that wrote the data folder"
    )]
    Decode(#[from] postcard::Error),
    /// The files of the log failed.
    #[error(transparent)]
    Storage(#[from] storage::errors::Error),
}

/// A result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// How the state above the log is used. The replica is the same for every state.
pub(crate) struct Machine<M> {
    /// Applies a committed command.
    pub(crate) apply: fn(&mut M, entries::Index, &[u8]) -> Result<proposals::Answer>,
    /// Encodes the state for a snapshot.
    pub(crate) encode: fn(&M) -> Result<Bytes>,
    /// Replaces the state by one from a snapshot.
    pub(crate) install: fn(&mut M, &[u8]) -> Result<()>,
}

// Derived implementations would ask for `M: Copy`, but only functions are copied.
impl<M> Copy for Machine<M> {}

impl<M> Clone for Machine<M> {
    fn clone(&self) -> Machine<M> {
        *self
    }
}

/// What is left to do after an event, outside of the lock of the replica.
#[derive(Debug)]
pub(crate) enum Output {
    /// Commands were applied, or a snapshot was installed: the state has changed.
    Changed,
    /// A confirmed read: the state is current when it has applied this index.
    Confirmed(events::Token, entries::Index),
    /// A read that was not confirmed.
    Unconfirmed(events::Token),
    /// Send a message.
    Send(CompactString, agreement::messages::Message),
}

/// A group with its log on disk and the proposals that wait for an answer.
#[derive(Debug)]
pub(crate) struct Replica {
    group: group::Group,
    log: storage::log::Log,
    waiting: collections::BTreeMap<events::Token, oneshot::Sender<proposals::Outcome>>,
    next_token: u64,
    caught_up: bool,
    failed: bool,
}

impl Replica {
    /// Opens the log and restores `state` from its snapshot. The commands after the snapshot are
    /// applied with the first event.
    pub(crate) fn open<M>(
        folder: &std::path::Path,
        name: &str,
        host: &CompactString,
        settings: agreement::settings::Settings,
        machine: Machine<M>,
        state: &mut M,
    ) -> Result<Replica> {
        let mut log = storage::log::Log::open(folder, name)?;
        let restored = log.take_restored();
        if let Some(snapshot) = &restored.snapshot {
            (machine.install)(state, &snapshot.data)?;
        }
        let group = group::Group::new(settings, host, log.disk(), restored, rand::random());
        let waiting = collections::BTreeMap::new();
        let caught_up = log.is_caught_up();
        Ok(Replica { group, log, waiting, next_token: 0, caught_up, failed: false })
    }

    /// The group, for reading.
    pub(crate) fn group(&self) -> &group::Group {
        &self.group
    }

    /// Whether this disk has ever held all that the group had committed.
    pub(crate) fn is_caught_up(&self) -> bool {
        self.caught_up
    }

    /// Notes on the disk that it holds all that the group had committed.
    pub(crate) fn mark_caught_up(&mut self) {
        match self.log.mark_caught_up() {
            Ok(()) => self.caught_up = true,
            Err(err) => {
                log::error!("log {}: {err}; this host leaves the group", self.log.name());
                self.failed = true;
            }
        }
    }

    /// Leaves the group and gives the files free.
    pub(crate) fn close(&mut self) {
        self.failed = true;
        self.waiting.clear();
        self.log.close();
    }

    /// Whether the files failed. The host then takes no more part in the group.
    pub(crate) fn has_failed(&self) -> bool {
        self.failed
    }

    /// A token for a proposal or a read of this process.
    pub(crate) fn token(&mut self) -> events::Token {
        self.next_token += 1;
        events::Token(self.next_token)
    }

    /// Proposes commands; each answer goes to its channel.
    pub(crate) fn propose<M>(
        &mut self,
        now: time::Time,
        commands: Vec<(Bytes, oneshot::Sender<proposals::Outcome>)>,
        machine: Machine<M>,
        state: &tables::table::Table<M>,
    ) -> Vec<Output> {
        let mut proposals = Vec::with_capacity(commands.len());
        for (payload, answer) in commands {
            let token = self.token();
            self.waiting.insert(token, answer);
            proposals.push(events::Proposal { token, payload });
        }
        self.step(now, events::Event::Propose(proposals), machine, state)
    }

    /// Takes one event and performs its effects on the files and the state, in order.
    pub(crate) fn step<M>(
        &mut self,
        now: time::Time,
        event: events::Event,
        machine: Machine<M>,
        state: &tables::table::Table<M>,
    ) -> Vec<Output> {
        let mut outputs = Vec::new();
        if self.failed {
            self.waiting.clear();
            return outputs;
        }
        let mut events = collections::VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            if let Err(err) = self.perform(now, event, machine, state, &mut events, &mut outputs) {
                // What was not synced must not be relied on, so nothing more is sent.
                log::error!("log {}: {err}; this host leaves the group", self.log.name());
                self.failed = true;
                self.waiting.clear();
                break;
            }
        }
        outputs
    }

    fn perform<M>(
        &mut self,
        now: time::Time,
        event: events::Event,
        machine: Machine<M>,
        state: &tables::table::Table<M>,
        events: &mut collections::VecDeque<events::Event>,
        outputs: &mut Vec<Output>,
    ) -> Result<()> {
        let mut answers = collections::BTreeMap::new();
        for effect in self.group.step(now, event) {
            match effect {
                events::Effect::Persist(persist) => self.log.persist(&persist)?,
                events::Effect::SaveSnapshot(snapshot) => self.log.save_snapshot(&snapshot)?,
                events::Effect::InstallSnapshot(snapshot) => {
                    self.log.save_snapshot(&snapshot)?;
                    (machine.install)(&mut state.lock(), &snapshot.data)?;
                    outputs.push(Output::Changed);
                }
                events::Effect::Send { to, message } => outputs.push(Output::Send(to, message)),
                events::Effect::Apply { index, payload } => {
                    let answer = (machine.apply)(&mut state.lock(), index, &payload)?;
                    answers.insert(index, answer);
                    outputs.push(Output::Changed);
                }
                events::Effect::Committed { token, index } => {
                    let answer = answers.remove(&index).map(proposals::Outcome::Answered);
                    self.answer(token, answer.unwrap_or(proposals::Outcome::Unavailable));
                }
                events::Effect::Refused { token, refusal } => {
                    self.answer(token, refused(refusal));
                }
                events::Effect::LeadershipLost { token } => {
                    self.answer(token, proposals::Outcome::Unavailable);
                }
                events::Effect::ReadConfirmed { token, index } => {
                    outputs.push(Output::Confirmed(token, index));
                }
                events::Effect::ReadFailed { token } => outputs.push(Output::Unconfirmed(token)),
                events::Effect::RoleChanged { role, term, leader } => {
                    let name = self.log.name();
                    log::info!("log {name}: {role:?} in term {term}, leader {leader:?}");
                }
                events::Effect::SnapshotDue { index } => {
                    let data = (machine.encode)(&state.lock())?;
                    events.push_back(events::Event::SnapshotTaken { index, data });
                }
            }
        }
        Ok(())
    }

    fn answer(&mut self, token: events::Token, outcome: proposals::Outcome) {
        if let Some(waiting) = self.waiting.remove(&token) {
            // The client may have gone away; its request can be sent again.
            drop(waiting.send(outcome));
        }
    }
}

fn refused(refusal: events::Refusal) -> proposals::Outcome {
    match refusal {
        events::Refusal::NotLeader { hint } => proposals::Outcome::NotLeader(hint),
        events::Refusal::NotReady | events::Refusal::Busy => proposals::Outcome::Unavailable,
    }
}
