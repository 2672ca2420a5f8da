//! Messages between the hosts of a group.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use world::time;

use crate::entries;

/// A message with what every receiver checks first.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// The sender's cluster; none while its disk is blank.
    pub cluster: Option<entries::ClusterId>,
    /// The sender's disk.
    pub disk: entries::DiskId,
    /// The sender's term.
    pub term: entries::Term,
    /// What the message says.
    pub body: Body,
}

/// A time of the sender's clock that the receiver sends back unread, so that the sender knows
/// when it sent what was answered.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SendTime(pub time::Time);

/// What a message says.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// Asks whether the receiver's disk is blank, to form a group.
    Probe,
    /// Answers `Probe`.
    Report {
        /// The disk of the host that asked. A report to a disk that was lost since is not used.
        asker: entries::DiskId,
        /// The sender's disk belongs to no cluster.
        blank: bool,
    },
    /// Asks for a vote.
    Vote(RequestVote),
    /// Answers `Vote`.
    VoteReply {
        /// The answer is to a pre-vote.
        pre: bool,
        /// The term that the vote was asked for.
        asked: entries::Term,
        /// The vote was given.
        granted: bool,
    },
    /// Entries from the leader, or a heartbeat when there are none.
    Append(AppendEntries),
    /// Answers `Append` and the last `Chunk`.
    AppendReply {
        /// The stamp of the message that is answered.
        stamp: SendTime,
        /// Whether the entries fitted.
        outcome: AppendOutcome,
    },
    /// Part of a snapshot from the leader.
    Chunk(SnapshotChunk),
    /// Answers `Chunk` while the snapshot is incomplete.
    ChunkReply {
        /// The stamp of the message that is answered.
        stamp: SendTime,
        /// The last entry in the snapshot.
        index: entries::Index,
        /// The bytes received so far without a gap.
        received: u64,
    },
    /// Asks the leader for its commit index.
    Read(ReadId),
    /// Answers `Read`; sent only by a leader that is current.
    ReadReply {
        /// The question.
        id: ReadId,
        /// The commit index.
        commit: entries::Index,
    },
}

/// A request for a vote.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestVote {
    /// Only a question whether the vote would be given.
    pub pre: bool,
    /// The term of the election.
    pub term: entries::Term,
    /// The last entry of the candidate's log.
    pub last: entries::Position,
    /// The disk whose vote is asked for. A host with another disk does not answer, so a host
    /// that lost its disk cannot vote a second time in a term.
    pub voter: entries::DiskId,
}

/// Entries from the leader.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AppendEntries {
    /// When the leader sent this.
    pub stamp: SendTime,
    /// The leader had a valid lease when it sent this.
    pub leased: bool,
    /// The entry before the first of `entries`.
    pub prev: entries::Position,
    /// The entries.
    pub entries: Vec<entries::Entry>,
    /// The leader's commit index.
    pub commit: entries::Index,
}

/// The answer to entries.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AppendOutcome {
    /// The log equals the leader's up to this index and is synced.
    Matched(entries::Index),
    /// The entry before the first did not match. The leader should try this index next.
    Conflict(entries::Index),
}

/// Part of a snapshot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotChunk {
    /// When the leader sent this.
    pub stamp: SendTime,
    /// The leader had a valid lease when it sent this.
    pub leased: bool,
    /// The last entry in the snapshot.
    pub last: entries::Position,
    /// The voters at that entry.
    pub voters: Vec<entries::Voter>,
    /// Bytes of the whole snapshot.
    pub total: u64,
    /// Where `data` begins.
    pub offset: u64,
    /// The bytes from `offset` on.
    pub data: Bytes,
}

/// Identifies a question for the commit index.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReadId {
    /// Random number of the asking process, so that a late answer to its predecessor is not used.
    pub nonce: u64,
    /// Number of the question within the process.
    pub number: u64,
}
