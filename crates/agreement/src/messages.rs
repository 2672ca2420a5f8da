//! Messages between the hosts of a group: Raft's RPCs as one-way messages, with probes to form a
//! group, snapshot chunks and read confirmations.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use world::time;

use crate::entries;

/// A message with its header.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// The cluster that the sender belongs to; none while its disk is blank.
    pub cluster: Option<entries::ClusterId>,
    /// The ID of the sender's disk.
    pub disk: entries::DiskId,
    /// The sender's current term.
    pub term: entries::Term,
    /// The content of the message.
    pub body: Body,
}

/// When a leader sent a message, by its own monotonic clock. The receiver returns it unchanged, so
/// that the leader knows which send time a reply acknowledges.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SendTime(pub time::Time);

/// When a host sent a reply to a leader, by its own clock. The leader returns the latest one
/// unchanged, so that the host can date what it learns by its own clock: a message may wait for
/// long on its way, but a leader that returns this time was right at that time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplyTime {
    /// Random number of the replying process. The clocks of two processes are not comparable.
    pub nonce: u64,
    /// The time on that process's clock.
    pub at: time::Time,
}

/// The content of a message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// Asks whether the receiver's disk is blank, in order to form a group.
    Probe,
    /// Reply to `Probe`.
    Report {
        /// The disk that the probe came from. A host ignores a report that was meant for a disk
        /// that it has lost since.
        asker: entries::DiskId,
        /// Whether the sender's disk is blank: it belongs to no cluster and has no entries.
        blank: bool,
    },
    /// Requests a vote or a pre-vote.
    Vote(RequestVote),
    /// Reply to `Vote`.
    VoteReply {
        /// Whether this is the reply to a pre-vote.
        pre: bool,
        /// The term for which the vote was requested.
        asked: entries::Term,
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Entries from the leader; a heartbeat if there are none.
    Append(AppendEntries),
    /// Reply to `Append`, and to a `Chunk` unless more chunks are needed.
    AppendReply {
        /// The send time of the acknowledged message.
        stamp: SendTime,
        /// When this reply was sent.
        sent: ReplyTime,
        /// Whether the logs match.
        outcome: AppendOutcome,
    },
    /// A part of a snapshot from the leader.
    Chunk(SnapshotChunk),
    /// Reply to `Chunk` while the snapshot is incomplete.
    ChunkReply {
        /// The send time of the acknowledged message.
        stamp: SendTime,
        /// When this reply was sent.
        sent: ReplyTime,
        /// The last entry that the snapshot covers.
        index: entries::Index,
        /// Bytes received so far, from the beginning and without a gap.
        received: u64,
    },
    /// Asks the leader for its commit index, to confirm a read.
    Read(ReadId),
    /// Reply to `Read`. Sent only by a leader that has a valid lease and has committed an entry of
    /// its own term.
    ReadReply {
        /// The read that is confirmed.
        id: ReadId,
        /// The leader's commit index.
        commit: entries::Index,
    },
}

/// A request for a vote or a pre-vote.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestVote {
    /// Whether this is a pre-vote: the receiver only says whether it would grant its vote.
    pub pre: bool,
    /// The term that the sender wants to lead.
    pub term: entries::Term,
    /// Term and index of the last entry in the candidate's log.
    pub last: entries::Position,
    /// The disk that is listed for the receiver. A receiver with another disk does not reply, so
    /// that a host that lost its disk cannot vote twice in a term.
    pub voter: entries::DiskId,
}

/// Entries from the leader, or a heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AppendEntries {
    /// When the leader sent this message.
    pub stamp: SendTime,
    /// The latest reply that the leader had from the receiver; none before the first one of its
    /// leadership.
    pub answered: Option<ReplyTime>,
    /// Whether the leader had a valid lease and had committed an entry of its term when it sent
    /// this message, so that no host could know a higher commit index.
    pub leased: bool,
    /// Term and index of the entry that precedes `entries`.
    pub prev: entries::Position,
    /// The entries to append; empty in a heartbeat.
    pub entries: Vec<entries::Entry>,
    /// The leader's commit index.
    pub commit: entries::Index,
}

/// The result of an `Append`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AppendOutcome {
    /// The follower's log equals the leader's up to this index and is synced up to it.
    Matched(entries::Index),
    /// The logs differ at the preceding entry. The leader should send entries from this index on.
    Conflict(entries::Index),
}

/// A part of a snapshot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotChunk {
    /// When the leader sent this message.
    pub stamp: SendTime,
    /// The last entry that the snapshot covers.
    pub last: entries::Position,
    /// The voters at that entry.
    pub voters: Vec<entries::Voter>,
    /// Size of the whole snapshot in bytes.
    pub total: u64,
    /// Offset of `data` in the snapshot, in bytes.
    pub offset: u64,
    /// The bytes at `offset`; empty in a heartbeat.
    pub data: Bytes,
}

/// Identifies a request to confirm a read.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReadId {
    /// Random number of the requesting process. It tells a late reply to an earlier process of the
    /// host apart.
    pub nonce: u64,
    /// Number of the request within the process.
    pub number: u64,
}
