//! This host's replica of one replicated log, with its files and its state machine.

use std::{collections, time as std_time};

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

/// The time between two attempts to use a log again whose files could not be written.
const REOPEN_INTERVAL: std_time::Duration = std_time::Duration::from_secs(1);

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
    health: Health,
    settings: agreement::settings::Settings,
    host: CompactString,
    /// The index of the last command in the state.
    performed: entries::Index,
}

/// Whether the replica takes part in its group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Health {
    Working,
    /// A file could not be written, as on a full disk. It takes part again once they can be.
    Failed {
        /// When to try again.
        retry_at: time::Time,
    },
    Closed,
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
        let mut performed = entries::Index::default();
        if let Some(snapshot) = &restored.snapshot {
            (machine.install)(state, &snapshot.data)?;
            performed = snapshot.last.index;
        }
        let disk = log.disk_id();
        let group = group::Group::new(settings.clone(), host, disk, restored, rand::random());
        let caught_up = log.is_caught_up();
        Ok(Replica {
            group,
            log,
            pending_proposals: collections::BTreeMap::new(),
            next_token: 0,
            caught_up,
            health: Health::Working,
            settings,
            host: host.clone(),
            performed,
        })
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
    /// replica has failed.
    pub(crate) fn mark_caught_up(&mut self, now: time::Time) {
        match self.log.mark_caught_up() {
            Ok(()) => self.caught_up = true,
            Err(err) => self.fail(now, &err.into()),
        }
    }

    /// Stops taking part in the group and closes the files. Waiting proposals get no outcome.
    pub(crate) fn close(&mut self) {
        self.health = Health::Closed;
        self.pending_proposals.clear();
        self.log.close();
    }

    /// Whether the replica was closed, or its files or its state machine failed. It ignores all
    /// events but ticks, with which it tries to use its files again.
    pub(crate) fn has_failed(&self) -> bool {
        self.health != Health::Working
    }

    /// Stops taking part in the group until the files can be used again. Other hosts must not rely
    /// on what is not synced.
    fn fail(&mut self, now: time::Time, error: &Error) {
        log::error!(
            "log {}: {error}; this host takes no part in the group, and tries its files again each second",
            self.log.name(),
        );
        self.health = Health::Failed { retry_at: now + REOPEN_INTERVAL };
        self.pending_proposals.clear();
    }

    /// Takes part in the group again, as after a restart of the process, if the files can be used.
    /// The state keeps the commands that it has; they are not applied again.
    fn reopen<M>(
        &mut self,
        machine: StateMachine<M>,
        state: &tables::table::Table<M>,
    ) -> Result<()> {
        self.log.reopen()?;
        let restored = self.log.take_restored();
        if let Some(snapshot) =
            restored.snapshot.as_ref().filter(|it| it.last.index > self.performed)
        {
            (machine.install)(&mut state.lock(), &snapshot.data)?;
            self.performed = snapshot.last.index;
        }
        let (settings, disk) = (self.settings.clone(), self.log.disk_id());
        self.group = group::Group::new(settings, &self.host, disk, restored, rand::random());
        self.health = Health::Working;
        log::warn!("log {}: the files can be written again", self.log.name());
        Ok(())
    }

    /// Tries to use the files of a failed replica again when that is due.
    fn retry<M>(
        &mut self,
        now: time::Time,
        machine: StateMachine<M>,
        state: &tables::table::Table<M>,
    ) {
        let Health::Failed { retry_at } = self.health else { return };
        if now < retry_at {
            return;
        }
        if let Err(err) = self.reopen(machine, state) {
            self.fail(now, &err);
        }
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
    /// order. After an error the replica has failed, and a later tick tries to use the files again.
    pub(crate) fn step<M>(
        &mut self,
        now: time::Time,
        event: events::Event,
        machine: StateMachine<M>,
        state: &tables::table::Table<M>,
    ) -> Vec<Output> {
        let mut outputs = Vec::new();
        if let events::Event::Configure { hosts, voters } = &event {
            // Reopening the files creates the group anew.
            self.settings.hosts.clone_from(hosts);
            self.settings.voters.clone_from(voters);
        }
        if matches!(event, events::Event::Tick) {
            self.retry(now, machine, state);
        }
        if self.has_failed() {
            if let events::Event::ConfirmRead { token } = event {
                outputs.push(Output::ReadFailed(token));
            }
            self.pending_proposals.clear();
            return outputs;
        }
        let mut events = collections::VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            if let Err(err) =
                self.perform_effects(now, event, machine, state, &mut events, &mut outputs)
            {
                // The remaining effects, such as messages, are not performed.
                self.fail(now, &err);
                outputs.extend(self.group.take_reads().into_iter().map(Output::ReadFailed));
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
                    self.performed = snapshot.last.index;
                    outputs.push(Output::StateChanged);
                }
                events::Effect::Send { to, message } => outputs.push(Output::Send(to, message)),
                // The state has it already: the log was opened again.
                events::Effect::Apply { index, .. } if index <= self.performed => {}
                events::Effect::Apply { index, payload } => {
                    let answer = (machine.apply)(&mut state.lock(), index, &payload)?;
                    self.performed = index;
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
