//! What backend servers, nodes and controls tell each other about targets.

use std::net;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use world::targets;

/// Parts into which a data centre's entries are divided for comparison. At 1,140 entries of 100 B
/// a data centre, one part is about 7 KB, what a node may receive in a little over a second.
pub const PARTS: usize = 16;

/// Which of two entries of a host is newer: incarnation first, then sequence.
///
/// The incarnation is the one that the backend server announces: the wall clock at its start, in
/// microseconds. Hosts have no disk to count restarts on, and the backend server's own start time
/// survives a restart of the node, which a number counted by the node would not. The node raises
/// it where a clock was set back, so it grows even then.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Order {
    /// Grows with each start of the backend server.
    pub incarnation: u64,
    /// Grows with each change within an incarnation.
    pub sequence: u64,
}

/// What a backend server tells its node, first and at each renewal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// The service that it gives.
    pub service: CompactString,
    /// Where it listens, on its own host.
    pub addr: net::SocketAddr,
    /// The wall clock at its start, in microseconds.
    pub incarnation: u64,
    /// Grows with each announcement of an incarnation, so that a late one can be told; 0 when the
    /// backend server does not count.
    pub sequence: u64,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it is leaving.
    pub drain: bool,
    /// How much longer its cold start lasts, in milliseconds; without it, the node counts
    /// [`targets::RAMP`] from the first announcement.
    pub cold_ms: Option<u64>,
}

/// What the mesh knows of one host's backend server.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Entry {
    /// The name of the node's host; it has at most one backend server.
    pub host: CompactString,
    /// The name of the data centre that the host stands in.
    pub data_centre: CompactString,
    /// The name of the service.
    pub service: CompactString,
    /// Where the node listens.
    pub addr: net::SocketAddr,
    /// Which entry of the host is newer.
    pub order: Order,
    /// Requests that the target runs at the same time.
    pub slots: u32,
    /// What the target may be given.
    pub state: targets::State,
    /// The data centre whose control holds the node's lease, home or foster.
    pub registrar: CompactString,
}

/// A change of an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
    /// The entry after the change.
    pub entry: Entry,
    /// How long the target has been in its state, in milliseconds. Clocks of two processes are
    /// not comparable, so the message carries an age.
    pub age_ms: u64,
}

/// What a node sends to its control each second.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The name of the node's host.
    pub host: CompactString,
    /// The hash of the entry that the node announces; none before the first announcement.
    pub digest: Option<u64>,
}

/// The control's answer to a heartbeat.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeartbeatAnswer {
    /// The newest order that the registry has seen for the host.
    pub known: Option<Order>,
    /// Whether the registry holds another entry than the node announces, or none.
    pub wanted: bool,
}

/// The hashes of a data centre's live entries, one for each part.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
    /// The name of the data centre.
    pub data_centre: CompactString,
    /// The exclusive-or of the entries' hashes, for each part.
    pub parts: [u64; PARTS],
}

/// Asks for the entries of one part of a data centre.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartRequest {
    /// The name of the data centre.
    pub data_centre: CompactString,
    /// The part, below [`PARTS`].
    pub part: u8,
}

/// The entries of one part of a data centre, removals that are remembered included.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Part {
    /// Which part it is.
    pub request: PartRequest,
    /// The entries.
    pub events: Vec<Event>,
    /// Whether the registry has run long enough to know all entries of the part. A node drops
    /// entries that a settled registry does not have.
    pub settled: bool,
}

/// Whether a data centre's registry can be heard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reachability {
    /// The data centre whose control is meant.
    pub data_centre: CompactString,
    /// Whether the entries under its control's lease may be out of date.
    pub stale: bool,
}

impl Entry {
    /// A hash that is the same in every process and build.
    pub fn digest(&self) -> u64 {
        let mut hash = Fnv::new();
        hash.text(&self.host);
        hash.text(&self.data_centre);
        hash.text(&self.service);
        hash.text(&self.registrar);
        match self.addr.ip() {
            net::IpAddr::V4(ip) => hash.bytes(&ip.octets()),
            net::IpAddr::V6(ip) => hash.bytes(&ip.octets()),
        }
        hash.number(self.addr.port().into());
        hash.number(self.order.incarnation);
        hash.number(self.order.sequence);
        hash.number(self.slots.into());
        hash.number(self.state as u64);
        hash.0
    }

    /// The part of its data centre that the entry belongs to.
    pub fn part(&self) -> usize {
        let mut hash = Fnv::new();
        hash.text(&self.host);
        // The high bits of FNV-1a are mixed better than the low ones.
        (hash.0 >> 32) as usize % PARTS
    }

    /// Whether this entry replaces `held`. Two entries can share an order when a lease ends while
    /// the node makes a change; then every registry keeps the same one, the removal first.
    pub fn replaces(&self, held: &Entry) -> bool {
        let rank = |it: &Entry| (it.order, it.state, it.digest());
        rank(self) > rank(held)
    }
}

/// FNV-1a with 64 bits; the standard library's hasher may change between releases.
struct Fnv(u64);

impl Fnv {
    fn new() -> Fnv {
        Fnv(0xcbf2_9ce4_8422_2325)
    }

    fn bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 ^= u64::from(*byte);
            self.0 = self.0.wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    fn number(&mut self, number: u64) {
        self.bytes(&number.to_le_bytes());
    }

    fn text(&mut self, text: &str) {
        self.number(text.len() as u64);
        self.bytes(text.as_bytes());
    }
}
