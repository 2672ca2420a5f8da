//! This host's replica of one replicated log, with its files and its state machine.

use std::collections;

use agreement::{entries, events, group};
use bytes::Bytes;
use compact_str::CompactString;
use protocol::proposals;
use tokio::sync::oneshot;
use world::time;

/// An error from opening or stepping a replica.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The state in a snapshot or in the log cannot be read.
    #[error(
        "the replicated state cannot be decoded: {0}\nnext: start the build that wrote the data folder"
    )]
    Decode(#[from] postcard::Error),
    /// The files of the log cannot be opened, read or written.
    #[error(transparent)]
    Storage(#[from] storage::errors::Error),
}

/// The result of an operation on a replica.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The functions of a replicated state machine with state `M`.
pub(crate) struct StateMachine<M> {
    /// Applies a committed command.
    pub(crate) apply: fn(&mut M, entries::Index, &[u8]) -> Result<proposals::Answer>,
    /// Encodes the state for a snapshot.
    pub(crate) encode: fn(&M) -> Result<Bytes>,
    /// Replaces the state with the one encoded in a snapshot.
    pub(crate) install: fn(&mut M, &[u8]) -> Result<()>,
}

// Derived implementations would require `M: Copy`, but only function pointers are copied.
impl<M> Copy for StateMachine<M> {}

impl<M> Clone for StateMachine<M> {
    fn clone(&self) -> StateMachine<M> {
        *self
    }
}

/// What the caller of [`Replica::step`] must do after unlocking the replica.
#[derive(Debug)]
pub(crate) enum Output {
    /// The state has changed: a command was applied or a snapshot was installed.
    StateChanged,
    /// The leader confirmed a read: a state that has applied this index contains everything that
    /// was committed when the read was requested.
    ReadConfirmed(events::Token, entries::Index),
    /// The leader did not confirm a read in time.
    ReadFailed(events::Token),
    /// Send this message to this host.
    Send(CompactString, agreement::messages::Message),
}

/// This host's state in a group, its log on disk, and the local proposals that await an outcome.
#[derive(Debug)]
pub(crate) struct Replica {
    group: group::Group,
    log: storage::log::Log,
    pending_proposals: collections::BTreeMap<events::Token, oneshot::Sender<proposals::Outcome>>,
    next_token: u64,
    caught_up: bool,
    failed: bool,
}

impl Replica {
    /// Opens the log `name` in `folder` and restores `state` from its snapshot. The commands after
    /// the snapshot are applied with the first event.
    ///
    /// Fails when the files cannot be read or locked, or when the snapshot cannot be decoded.
    pub(crate) fn open<M>(
        folder: &std::path::Path,
        name: &str,
        host: &CompactString,
        settings: agreement::settings::Settings,
        machine: StateMachine<M>,
        state: &mut M,
    ) -> Result<Replica> {
        let mut log = storage::log::Log::open(folder, name)?;
        let restored = log.take_restored();
        if let Some(snapshot) = &restored.snapshot {
            (machine.install)(state, &snapshot.data)?;
        }
        let group = group::Group::new(settings, host, log.disk_id(), restored, rand::random());
        let pending_proposals = collections::BTreeMap::new();
        let caught_up = log.is_caught_up();
        Ok(Replica { group, log, pending_proposals, next_token: 0, caught_up, failed: false })
    }

    /// The group as this host knows it.
    pub(crate) fn group(&self) -> &group::Group {
        &self.group
    }

    /// Whether this disk has at some point held everything that the group had committed by then.
    pub(crate) fn is_caught_up(&self) -> bool {
        self.caught_up
    }

    /// Records on disk that it holds everything that the group has committed. If that fails, the
    /// replica has failed, and the host stops taking part in the group.
    pub(crate) fn mark_caught_up(&mut self) {
        match self.log.mark_caught_up() {
            Ok(()) => self.caught_up = true,
            Err(err) => {
                log::error!(
                    "log {}: {err}; this host takes no part in the group until it is restarted",
                    self.log.name(),
                );
                self.failed = true;
            }
        }
    }

    /// Stops taking part in the group and closes the files. Waiting proposals get no outcome.
    pub(crate) fn close(&mut self) {
        self.failed = true;
        self.pending_proposals.clear();
        self.log.close();
    }

    /// Whether the replica was closed, or its files or its state machine failed. It then ignores
    /// all events.
    pub(crate) fn has_failed(&self) -> bool {
        self.failed
    }

    /// Returns a token for a proposal or a read; it is unique within this replica.
    pub(crate) fn new_token(&mut self) -> events::Token {
        self.next_token += 1;
        events::Token(self.next_token)
    }

    /// Proposes encoded commands. The outcome of each goes to its channel, which is dropped when
    /// the replica is closed or has failed.
    pub(crate) fn propose<M>(
        &mut self,
        now: time::Time,
        commands: Vec<(Bytes, oneshot::Sender<proposals::Outcome>)>,
        machine: StateMachine<M>,
        state: &tables::table::Table<M>,
    ) -> Vec<Output> {
        let mut proposals = Vec::with_capacity(commands.len());
        for (payload, answer) in commands {
            let token = self.new_token();
            self.pending_proposals.insert(token, answer);
            proposals.push(events::Proposal { token, payload });
        }
        self.step(now, events::Event::Propose(proposals), machine, state)
    }

    /// Steps the group with one event and performs the effects on the files and the state, in
    /// order. After an error the replica has failed and ignores all later events.
    pub(crate) fn step<M>(
        &mut self,
        now: time::Time,
        event: events::Event,
        machine: StateMachine<M>,
        state: &tables::table::Table<M>,
    ) -> Vec<Output> {
        let mut outputs = Vec::new();
        if self.failed {
            self.pending_proposals.clear();
            return outputs;
        }
        let mut events = collections::VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            if let Err(err) =
                self.perform_effects(now, event, machine, state, &mut events, &mut outputs)
            {
                // Other hosts must not rely on data that is not synced, so the remaining effects,
                // such as messages, are not performed.
                log::error!(
                    "log {}: {err}; this host takes no part in the group until it is restarted",
                    self.log.name(),
                );
                self.failed = true;
                self.pending_proposals.clear();
                break;
            }
        }
        outputs
    }

    fn perform_effects<M>(
        &mut self,
        now: time::Time,
        event: events::Event,
        machine: StateMachine<M>,
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
                    outputs.push(Output::StateChanged);
                }
                events::Effect::Send { to, message } => outputs.push(Output::Send(to, message)),
                events::Effect::Apply { index, payload } => {
                    let answer = (machine.apply)(&mut state.lock(), index, &payload)?;
                    answers.insert(index, answer);
                    outputs.push(Output::StateChanged);
                }
                events::Effect::Committed { token, index } => {
                    let answer = answers.remove(&index).map(proposals::Outcome::Answered);
                    self.answer_proposal(token, answer.unwrap_or(proposals::Outcome::Unavailable));
                }
                events::Effect::Refused { token, refusal } => {
                    self.answer_proposal(token, refusal_outcome(refusal));
                }
                events::Effect::LeadershipLost { token } => {
                    self.answer_proposal(token, proposals::Outcome::Unavailable);
                }
                events::Effect::ReadConfirmed { token, index } => {
                    outputs.push(Output::ReadConfirmed(token, index));
                }
                events::Effect::ReadFailed { token } => outputs.push(Output::ReadFailed(token)),
                events::Effect::RoleChanged { role, term, leader } => {
                    let name = self.log.name();
                    log::info!(
                        "log {name}: this host is {role:?} in term {term}, leader {leader:?}"
                    );
                }
                events::Effect::SnapshotDue { index } => {
                    let data = (machine.encode)(&state.lock())?;
                    events.push_back(events::Event::SnapshotTaken { index, data });
                }
            }
        }
        Ok(())
    }

    fn answer_proposal(&mut self, token: events::Token, outcome: proposals::Outcome) {
        if let Some(channel) = self.pending_proposals.remove(&token) {
            // Sending fails if the client no longer waits; it can send its request again.
            drop(channel.send(outcome));
        }
    }
}

fn refusal_outcome(refusal: events::Refusal) -> proposals::Outcome {
    match refusal {
        events::Refusal::NotLeader { hint } => proposals::Outcome::NotLeader(hint),
        events::Refusal::NotReady | events::Refusal::Busy => proposals::Outcome::Unavailable,
    }
}
