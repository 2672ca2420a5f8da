//! Input events and output effects of a group, and the state that it persists.

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{entries, messages};

/// Identifies a proposal or a read. Chosen by the caller and returned with the outcome; it must be
/// unique while the request is pending.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Token(pub u64);

/// Raft's hard state: what must be synced to disk before a reply may depend on it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// The highest term seen.
    pub term: entries::Term,
    /// The candidate that this host voted for in this term.
    pub vote: Option<CompactString>,
    /// The cluster that the disk belongs to; none while the disk is blank.
    pub cluster: Option<entries::ClusterId>,
    /// The highest index known to be committed when the hard state was written.
    pub commit: entries::Index,
}

/// The state of the replicated state machine after an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// The last entry that the snapshot covers.
    pub last: entries::Position,
    /// The voters at that entry.
    pub voters: Vec<entries::Voter>,
    /// The encoded state. A group does not interpret it.
    pub data: Bytes,
}

/// The state read from disk when the process starts. The default is a blank disk.
#[derive(Clone, Debug, Default)]
pub struct Restored {
    /// The last persisted hard state.
    pub hard_state: HardState,
    /// The newest snapshot. The caller has already restored the state machine from it.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot.
    pub entries: Vec<entries::Entry>,
}

/// A command that the caller wants to append to the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Proposal {
    /// Returned with the outcome.
    pub token: Token,
    /// The encoded command.
    pub payload: Bytes,
}

/// An input of a group.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; timeouts and heartbeats depend on it. One tick every 20 to 50 ms is enough.
    Tick,
    /// A message arrived.
    Receive {
        /// The sending host: the name in its certificate.
        from: CompactString,
        /// The received message.
        message: messages::Message,
    },
    /// The hosts of the group have changed. The list of voters in the log follows `voters` one
    /// voter at a time, as soon as their disks hold the log.
    Configure {
        /// All hosts that replicate the log.
        hosts: Vec<CompactString>,
        /// The hosts that are to vote.
        voters: Vec<CompactString>,
    },
    /// Commands to append. One sync covers all of them.
    Propose(Vec<Proposal>),
    /// A linearizable read: the caller asks for the commit index of a leader whose lease is valid
    /// at or after this event. In Raft's terms a ReadIndex request.
    ConfirmRead {
        /// Returned with the outcome.
        token: Token,
    },
    /// The caller has encoded the state of the replicated state machine, as asked by
    /// [`Effect::SnapshotDue`]. A snapshot that is older than the newest one, or newer than the
    /// applied index, is ignored.
    SnapshotTaken {
        /// The last entry applied to the state.
        index: entries::Index,
        /// The encoded state.
        data: Bytes,
    },
}

/// Changes of the log on disk, which must be synced before the following effects are performed.
///
/// The parts are written in the order of the fields, so that a torn write never leaves a commit
/// index without its entries.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Persist {
    /// Remove the entries at and after this index.
    pub truncate: Option<entries::Index>,
    /// Append these entries.
    pub entries: Vec<entries::Entry>,
    /// Replace the hard state, if it changed.
    pub hard_state: Option<HardState>,
}

impl Persist {
    pub(crate) fn is_empty(&self) -> bool {
        self.truncate.is_none() && self.entries.is_empty() && self.hard_state.is_none()
    }
}

/// Why a proposal was not appended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// This host is not the leader.
    NotLeader {
        /// The leader, if this host knows it.
        hint: Option<CompactString>,
    },
    /// This host is the leader, but it has no valid lease or has not yet committed an entry of its
    /// own term.
    NotReady,
    /// The leader has reached its limit of uncommitted proposals.
    Busy,
}

/// A host's Raft role in the current term.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Role {
    /// Replicates the log of a leader, or waits for one. A host without a vote is a learner: a
    /// follower that starts no elections.
    Follower,
    /// Runs a pre-vote: asks whether it could win an election, without raising its term.
    PreCandidate,
    /// Runs an election: requests votes in a new term.
    Candidate,
    /// Won the election of the term.
    Leader,
}

/// An output of a group. The caller performs effects in the order in which it receives them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Write these changes of the log to disk and sync them.
    Persist(Persist),
    /// Write this snapshot to disk, sync it and drop the entries that it covers.
    SaveSnapshot(Snapshot),
    /// As `SaveSnapshot`; also replace the state of the replicated state machine by the snapshot's.
    InstallSnapshot(Snapshot),
    /// Send a message. It may be lost, duplicated, delayed or reordered.
    Send {
        /// The name of the receiving host.
        to: CompactString,
        /// The message to send.
        message: messages::Message,
    },
    /// Apply a committed command to the state machine. Indexes increase, with gaps at entries that
    /// carry no command.
    Apply {
        /// The index of the entry.
        index: entries::Index,
        /// The encoded command.
        payload: Bytes,
    },
    /// A proposal was committed. Its `Apply` effect precedes this one.
    Committed {
        /// The token of the proposal.
        token: Token,
        /// The index of the entry.
        index: entries::Index,
    },
    /// A proposal was not appended and will not be committed.
    Refused {
        /// The token of the proposal.
        token: Token,
        /// Why it was not appended.
        refusal: Refusal,
    },
    /// A proposal was appended, but this host lost the leadership before it saw the commit. The
    /// outcome is unknown: the proposal may still be committed.
    LeadershipLost {
        /// The token of the proposal.
        token: Token,
    },
    /// A read was confirmed: a leader with a valid lease had this commit index after the read was
    /// requested. The caller may read its state once `Group::applied` has reached the index.
    ReadConfirmed {
        /// The token of the read.
        token: Token,
        /// The leader's commit index.
        index: entries::Index,
    },
    /// No leader with a valid lease confirmed the read within the read timeout.
    ReadFailed {
        /// The token of the read.
        token: Token,
    },
    /// The role, the term or the known leader changed.
    RoleChanged {
        /// This host's new role.
        role: Role,
        /// The current term.
        term: entries::Term,
        /// The leader of the term, if this host knows it.
        leader: Option<CompactString>,
    },
    /// A snapshot is due: the caller should encode the state of the state machine and pass it back
    /// with [`Event::SnapshotTaken`].
    SnapshotDue {
        /// The last applied entry.
        index: entries::Index,
    },
}
