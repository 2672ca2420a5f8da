//! Settings of a group: its hosts, timeouts and limits.

use std::time;

use compact_str::CompactString;

/// Feature toggles of the safety and liveness rules. Production code uses the default, all on: with
/// any one of them off, a group loses its guarantees. Tests turn them off one at a time to show
/// which failure each rule prevents.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Toggles {
    /// Votes and acknowledgements count only from the disk that is listed for the voter.
    pub disk_ids: bool,
    /// A leader accepts proposals and confirms reads only while its lease is valid.
    pub lease_check: bool,
    /// A host runs a pre-vote, without raising its term, before it starts an election.
    pub pre_vote: bool,
    /// A voter grants no vote for [`Settings::refusal_time`] after a heartbeat or its own start.
    pub vote_refusal: bool,
    /// A leader advances the commit index only to an entry of its own term.
    pub own_term: bool,
    /// The `Persist` effect precedes the effects that depend on it, such as replies.
    pub persist_first: bool,
}

impl Default for Toggles {
    fn default() -> Toggles {
        Toggles {
            disk_ids: true,
            lease_check: true,
            pre_vote: true,
            vote_refusal: true,
            own_term: true,
            persist_first: true,
        }
    }
}

/// Settings of a group. The times and limits must be the same on all of its hosts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// All hosts that replicate the log: the voters and the learners.
    pub hosts: Vec<CompactString>,
    /// The hosts that form the group, and are to vote later. The list in the log can differ while
    /// a voter is replaced.
    pub voters: Vec<CompactString>,
    /// Interval between a leader's heartbeats.
    pub heartbeat: time::Duration,
    /// Duration of a leader's lease, counted from when it sent the latest heartbeat that a majority
    /// has acknowledged.
    pub lease: time::Duration,
    /// How long a voter grants no vote after a heartbeat. It exceeds `lease` by the drift that the
    /// monotonic clocks of two hosts can accumulate in that time.
    pub refusal_time: time::Duration,
    /// Shortest election timeout. It must not be below `refusal_time`, because a candidate votes
    /// for itself.
    pub election_min: time::Duration,
    /// Longest election timeout. A leader steps down when no majority has acknowledged a heartbeat
    /// for this long.
    pub election_max: time::Duration,
    /// How long a read waits for its confirmation before it fails.
    pub read_timeout: time::Duration,
    /// Maximum number of entries in one message.
    pub batch_entries: usize,
    /// Payload bytes at which a batch takes no further entry. The last entry can exceed it.
    pub batch_bytes: usize,
    /// Maximum number of unacknowledged batches per host.
    pub max_inflight: u32,
    /// Maximum bytes of snapshot data in one message.
    pub chunk_bytes: usize,
    /// Largest snapshot, in bytes, that a host accepts from a leader; bounds the memory of a
    /// transfer.
    pub max_snapshot: usize,
    /// Minimum number of entries applied between two snapshots.
    pub snapshot_entries: u64,
    /// Number of entries before a snapshot that stay in memory, so that a host that is only
    /// slightly behind can catch up without a snapshot.
    pub retained_entries: u64,
    /// Maximum number of uncommitted proposals on a leader; further ones are refused.
    pub max_pending: usize,
    /// Whether the commit index is persisted before entries are applied. Required when hosts serve
    /// applied state while they are isolated: after a restart such a host must reach the same state
    /// again without a leader.
    pub persist_commit: bool,
    /// Toggles of the safety and liveness rules; all on except in tests.
    pub toggles: Toggles,
}

/// Lower bound of the election timeout: links within one region and a slow disk allow no shorter
/// one.
pub const MIN_ELECTION_TIMEOUT: time::Duration = time::Duration::from_millis(400);

impl Settings {
    /// Sets the shortest election timeout, raised to [`MIN_ELECTION_TIMEOUT`], and the times that
    /// depend on it. All hosts of a group must use the same value, because a lease has to end
    /// before any voter grants its vote to another candidate.
    pub fn set_election_timeout(&mut self, shortest: time::Duration) {
        let shortest = shortest.max(MIN_ELECTION_TIMEOUT);
        self.refusal_time = shortest;
        self.election_min = shortest;
        self.election_max = shortest * 2;
        // The remaining fifth allows for clock drift.
        self.lease = shortest * 4 / 5;
        // Three intervals fit into a lease, so that one heartbeat can be lost.
        self.heartbeat = self.heartbeat.min(self.lease / 3);
    }

    /// Default settings for a group with these hosts and voters.
    pub fn new(hosts: Vec<CompactString>, voters: Vec<CompactString>) -> Settings {
        Settings {
            hosts,
            voters,
            heartbeat: time::Duration::from_millis(200),
            lease: time::Duration::from_millis(800),
            refusal_time: time::Duration::from_millis(1_000),
            election_min: time::Duration::from_millis(1_000),
            election_max: time::Duration::from_millis(2_000),
            read_timeout: time::Duration::from_millis(1_000),
            batch_entries: 256,
            batch_bytes: 256 * 1024,
            max_inflight: 4,
            chunk_bytes: 256 * 1024,
            max_snapshot: 256 * 1024 * 1024,
            snapshot_entries: 4_096,
            retained_entries: 1_024,
            max_pending: 4_096,
            persist_commit: true,
            toggles: Toggles::default(),
        }
    }
}
