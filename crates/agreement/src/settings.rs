//! Settings of a group: its hosts, its times and its limits.

use std::time;

use compact_str::CompactString;

/// Protective mechanisms, each of which a test can switch off to show what it prevents.
///
/// For tests only: a group with any of them off breaks its promises.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Mechanisms {
    /// A vote and an acknowledgement count only for the disk that is listed as a voter.
    pub disk_ids: bool,
    /// A leader claims to be current only while its lease is valid.
    pub lease_check: bool,
    /// A candidate asks whether it could win before it raises the term.
    pub pre_vote: bool,
    /// A voter refuses votes shortly after a heartbeat, and shortly after its start.
    pub vote_refusal: bool,
    /// Only entries of the leader's own term are committed by counting.
    pub own_term: bool,
    /// `Persist` stands before the effects that rely on it.
    pub persist_first: bool,
}

impl Default for Mechanisms {
    fn default() -> Mechanisms {
        Mechanisms {
            disk_ids: true,
            lease_check: true,
            pre_vote: true,
            vote_refusal: true,
            own_term: true,
            persist_first: true,
        }
    }
}

/// Settings of a group, equal on all of its hosts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// All hosts that hold the log, voters included.
    pub hosts: Vec<CompactString>,
    /// The hosts that shall vote.
    pub voters: Vec<CompactString>,
    /// Time between heartbeats of a leader.
    pub heartbeat: time::Duration,
    /// Length of a leader's lease, counted from the send time of an acknowledged heartbeat.
    pub lease: time::Duration,
    /// How long a voter refuses votes after a heartbeat. It exceeds `lease` by what the
    /// monotonic clocks of two hosts may drift apart in that time.
    pub refusal_time: time::Duration,
    /// Shortest election timeout; at least `refusal_time`, since a candidate votes for itself.
    pub election_min: time::Duration,
    /// Longest election timeout. A leader without a majority for this long steps down.
    pub election_max: time::Duration,
    /// How long a read confirmation is awaited.
    pub read_timeout: time::Duration,
    /// Largest number of entries in one message.
    pub batch_entries: usize,
    /// Payload bytes after which a batch is closed.
    pub batch_bytes: usize,
    /// Batches sent to a host before one is acknowledged.
    pub max_inflight: u32,
    /// Bytes of a snapshot in one message.
    pub chunk_bytes: usize,
    /// Largest snapshot that is received, in bytes; bounds the memory of a transfer.
    pub max_snapshot: usize,
    /// Applied entries after which a snapshot is due.
    pub snapshot_entries: u64,
    /// Entries kept in memory below a snapshot, so that a host slightly behind needs none.
    pub retained_entries: u64,
    /// Proposals that may wait for their commit; more are refused.
    pub max_pending: usize,
    /// The commit index is synced before entries are applied. A group needs this when its hosts
    /// hand out applied state while isolated: after a restart such a host must reach the same
    /// state again without a leader.
    pub persist_commit: bool,
    /// Protective mechanisms; all on except in tests.
    pub mechanisms: Mechanisms,
}

/// The shortest election timeout that links within one region and a slow disk allow.
pub const MIN_ELECTION_TIMEOUT: time::Duration = time::Duration::from_millis(400);

impl Settings {
    /// Sets the shortest election timeout, and with it all times that follow from it. Hosts of one
    /// group must agree on it: a lease ends before any voter grants a vote to another.
    pub fn set_election_timeout(&mut self, shortest: time::Duration) {
        let shortest = shortest.max(MIN_ELECTION_TIMEOUT);
        self.refusal_time = shortest;
        self.election_min = shortest;
        self.election_max = shortest * 2;
        // The rest is for clocks that drift apart.
        self.lease = shortest * 4 / 5;
        // Three of them fit into a lease, so that one can be lost.
        self.heartbeat = self.heartbeat.min(self.lease / 3);
    }

    /// The default settings for a group with these hosts and voters.
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
            mechanisms: Mechanisms::default(),
        }
    }
}
