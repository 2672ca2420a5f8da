//! What happens to a group and what it asks for.

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{entries, messages};

/// A number by which the caller knows its proposal or read again.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Token(pub u64);

/// The part of the state that must be on disk before an answer relies on it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// The latest term seen.
    pub term: entries::Term,
    /// The host that got the vote in this term.
    pub vote: Option<CompactString>,
    /// The cluster that the disk belongs to; none on a blank disk.
    pub cluster: Option<entries::ClusterId>,
    /// The highest index known to be committed when this was written.
    pub commit: entries::Index,
}

/// The state of the machine above the log after an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// The last entry that the snapshot covers.
    pub last: entries::Position,
    /// The voters at that entry.
    pub voters: Vec<entries::Voter>,
    /// The state, encoded by its owner.
    pub data: Bytes,
}

/// What was found on disk at the start.
#[derive(Clone, Debug, Default)]
pub struct Restored {
    /// The hard state.
    pub hard_state: HardState,
    /// The newest snapshot. The caller has restored the machine above the log from it.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot.
    pub entries: Vec<entries::Entry>,
}

/// A command to append.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Proposal {
    /// Returned with the outcome.
    pub token: Token,
    /// The command.
    pub payload: Bytes,
}

/// Something that happens to a group.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed. A tick each 20 to 50 ms is enough.
    Tick,
    /// A message arrived. `from` is the name in the sender's certificate.
    Receive {
        /// The sending host.
        from: CompactString,
        /// What it sent.
        message: messages::Message,
    },
    /// Commands shall be appended. One sync covers all of them.
    Propose(Vec<Proposal>),
    /// The caller asks for a commit index that was current after now.
    ConfirmRead {
        /// Returned with the outcome.
        token: Token,
    },
    /// The caller has encoded the state after the entry at `index`, which is applied.
    SnapshotTaken {
        /// The last entry that the state covers.
        index: entries::Index,
        /// The encoded state.
        data: Bytes,
    },
}

/// What must be synced before the effects after it are performed. The parts are written in the
/// order of the fields, so that a torn write never leaves a commit index without its entries.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Persist {
    /// Entries at and after this index are removed first.
    pub truncate: Option<entries::Index>,
    /// Entries to append.
    pub entries: Vec<entries::Entry>,
    /// The hard state, when it changed.
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
    /// Another host leads, or none is known to.
    NotLeader {
        /// The leader, as far as known.
        hint: Option<CompactString>,
    },
    /// This host leads but has no lease, or has not yet committed an entry of its term.
    NotReady,
    /// Too many proposals wait for their commit.
    Busy,
}

/// What a host is in its group.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Role {
    /// Follows a leader or waits for one; a learner when it has no vote.
    Follower,
    /// Asks whether it could win an election.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Was elected.
    Leader,
}

/// Something that the group asks for. Effects are performed in the order of their list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Write and sync.
    Persist(Persist),
    /// Write and sync this snapshot and drop the entries that it covers.
    SaveSnapshot(Snapshot),
    /// As `SaveSnapshot`; also replace the state above the log by the snapshot's.
    InstallSnapshot(Snapshot),
    /// Send a message; it may be lost.
    Send {
        /// The receiving host.
        to: CompactString,
        /// What to send.
        message: messages::Message,
    },
    /// Apply a committed command. Indexes ascend, with gaps at entries without a command.
    Apply {
        /// The index of its entry.
        index: entries::Index,
        /// The command.
        payload: Bytes,
    },
    /// The proposal was committed at this index, and its `Apply` stands before.
    Committed {
        /// The proposal.
        token: Token,
        /// The index of its entry.
        index: entries::Index,
    },
    /// The proposal was not appended.
    Refused {
        /// The proposal.
        token: Token,
        /// Why.
        refusal: Refusal,
    },
    /// The proposal was appended, but this host lost its leadership before the commit. It may be
    /// committed or not.
    LeadershipLost {
        /// The proposal.
        token: Token,
    },
    /// A leader with a valid lease had this commit index after the question was asked. The state
    /// is as new once `Group::applied` has reached it.
    ReadConfirmed {
        /// The question.
        token: Token,
        /// The commit index.
        index: entries::Index,
    },
    /// No current leader answered in time.
    ReadFailed {
        /// The question.
        token: Token,
    },
    /// The role, the term or the known leader changed.
    RoleChanged {
        /// The role.
        role: Role,
        /// The term.
        term: entries::Term,
        /// The leader, as far as known.
        leader: Option<CompactString>,
    },
    /// Enough entries are applied; the caller should encode the state and answer with
    /// `Event::SnapshotTaken`.
    SnapshotDue {
        /// The last applied entry.
        index: entries::Index,
    },
}
