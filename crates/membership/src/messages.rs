//! The messages about targets between backend servers, nodes and controls.

use std::net;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use world::{bounds, targets};

/// The number of parts into which a data centre's entries are divided for comparison. With 1,140
/// entries of 100 B in a data centre, a part is about 7 KB, which a node may receive in a little
/// over a second.
pub const PARTS: usize = 16;

/// The largest incarnation and sequence of an order. As a time in microseconds, it is in the year
/// 2255.
pub const MAX_ORDER: u64 = 1 << 53;

/// The service of the entry of a backend server that left before it had announced itself. The entry
/// says that it is gone, so nobody looks its service up.
pub const UNANNOUNCED_SERVICE: &str = "unannounced";

/// Why an entry is refused. It is that of another writer, or of a faulty process.
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
pub enum EntryError {
    /// The address is not that of one process.
    #[error("its address cannot be connected to")]
    Address,
    /// A name is empty, too long or has other characters than a name may have.
    #[error("its {0} is not a name")]
    Name(&'static str),
    /// The order is above [`MAX_ORDER`], so that no later one may ever exceed it.
    #[error("its incarnation or sequence is out of range")]
    Order,
    /// The software version is too long or has other characters than one may have.
    #[error("its software version is not valid")]
    Version,
    /// The number of slots is 0 or above [`bounds::MAX_SLOTS`].
    #[error("its number of slots is out of range")]
    Slots,
}

/// The result of a check of this module.
pub type Result<T, E = EntryError> = std::result::Result<T, E>;

/// Tells which of two entries of a host is newer: the incarnation is compared first, then the
/// sequence.
///
/// The incarnation is the one that the backend server announces: the wall clock at its start, in
/// microseconds. A host has no disk on which restarts could be counted, and a number counted by the
/// node would be lost when the node restarts; the start time of the backend server is not. When the
/// clock was set back between two starts, the node raises the incarnation, so it always grows.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Order {
    /// Grows with each start of the backend server.
    pub incarnation: u64,
    /// Grows with each change of the entry within an incarnation.
    pub sequence: u64,
}

/// What a backend server announces to its node, at its start and at each renewal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// The name of the service that it provides.
    pub service: CompactString,
    /// The address on its own host where it listens.
    pub addr: net::SocketAddr,
    /// The wall clock at its start, in microseconds.
    pub incarnation: u64,
    /// Grows with each announcement of an incarnation, so that a late one is recognised; always 0
    /// when the backend server does not count them.
    pub sequence: u64,
    /// How many requests it runs at the same time.
    pub slots: u32,
    /// Whether it drains: it finishes its requests and gets no new ones.
    pub drain: bool,
    /// How much longer its cold start lasts, in milliseconds. None means [`targets::SLOW_START`]
    /// from the first announcement.
    pub cold_ms: Option<u64>,
    /// The version of its software; empty when it names none.
    pub version: CompactString,
    /// The [`Announced::instance`] of the process.
    pub instance: u32,
    /// Whether the process itself names its start. Otherwise `incarnation` is when its node heard of it
    /// first, and a restarted node gives it another one.
    pub dated: bool,
}

/// The announcement that put a target into its state, as the backend server numbered it. The
/// [`Order`] of an entry cannot tell this, because a node that restarts counts anew.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Announced {
    /// The [`Announcement::incarnation`] of the process.
    pub incarnation: u64,
    /// The [`Announcement::sequence`] of the announcement.
    pub sequence: u64,
    /// Whether the process has said that it shuts down permanently. Nothing that it announced
    /// before revokes that, however late it arrives.
    pub leaving: bool,
    /// A hash of the name of the process, which does not change while it runs; 0 when it has none.
    pub instance: u32,
}

/// The registry's record of one host's backend server.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Entry {
    /// The name of the host, which has one node and at most one backend server.
    pub host: CompactString,
    /// The name of the host's data centre.
    pub data_centre: CompactString,
    /// The name of the service that the backend server provides.
    pub service: CompactString,
    /// The address where the host's node listens for other processes.
    pub addr: net::SocketAddr,
    /// Tells which of two entries of the host is newer.
    pub order: Order,
    /// How many requests the target runs at the same time.
    pub slots: u32,
    /// Whether the target is starting, serving, draining or gone.
    pub state: targets::State,
    /// The announcement that the state follows from.
    pub announced: Announced,
    /// The name of the control that holds the node's lease. A data centre can have several
    /// controls, and the others must not end the lease.
    pub registrar: CompactString,
    /// The version of the backend server's software, constant for its incarnation; empty when it
    /// names none.
    pub version: CompactString,
}

/// A change of an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
    /// The entry after the change.
    pub entry: Entry,
    /// How long the target has been in its state, in milliseconds. It is an age because clocks of
    /// two processes are not comparable.
    pub age_ms: u64,
}

/// Renews a node's lease at its control; sent once a second.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The name of the node's host.
    pub host: CompactString,
    /// The [`Entry::digest`] of the entry that the node announces; none before the first
    /// announcement.
    pub digest: Option<u64>,
}

/// The control's answer to a heartbeat.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeartbeatAnswer {
    /// The newest order that the registry has seen for the host, removed entries included.
    pub known: Option<Order>,
    /// Whether the node must send its entry, because the registry holds another one or none.
    pub wanted: bool,
    /// The [`Entry::digest`] of the entry that the registry holds.
    pub digest: Option<u64>,
    /// The newest entry that the registry has seen for the host, removed ones included, unless it
    /// is the one that the heartbeat names. A node that restarted learns from it what its former
    /// process announced.
    pub held: Option<Entry>,
    /// Whether that entry outlasts a restart of all processes, if it is that of a backend server that
    /// drains or leaves.
    pub recorded: bool,
}

/// The hashes of a data centre's entries, one for each part. Removed entries do not count.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
    /// The name of the data centre.
    pub data_centre: CompactString,
    /// For each part, the exclusive or of its entries' [`Entry::digest`]; 0 for an empty part.
    pub parts: [u64; PARTS],
}

/// Asks for the entries of one part of a data centre.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartRequest {
    /// The name of the data centre.
    pub data_centre: CompactString,
    /// The number of the part, below [`PARTS`].
    pub part: u8,
}

/// The entries of one part of a data centre, with the tombstones of removed ones.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Part {
    /// The request that this answers.
    pub request: PartRequest,
    /// The entries, in the order of their hosts' names.
    pub events: Vec<Event>,
    /// Whether the registry has run long enough to know all entries of the part. A node drops the
    /// entries that a settled registry does not have.
    pub settled: bool,
}

/// Whether a control can be reached from the sending control.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reachability {
    /// The name of that control.
    pub registrar: CompactString,
    /// Whether it is unreachable, so that the entries under its leases may be out of
    /// date.
    pub stale: bool,
}

impl Order {
    /// Whether the order is within its range, so that later ones exceed it.
    pub fn is_valid(self) -> bool {
        self.incarnation <= MAX_ORDER && self.sequence <= MAX_ORDER
    }

    /// The next order. After the last sequence, it is the first one of the next incarnation.
    pub fn next(self) -> Order {
        if self.sequence < MAX_ORDER {
            return Order { sequence: self.sequence + 1, ..self };
        }
        Order { incarnation: self.incarnation.saturating_add(1), sequence: 0 }
    }
}

impl Announced {
    /// The hash of the name of a process. It tells the processes of one host apart, so 32 bits suffice.
    pub fn hash_instance(name: &str) -> u32 {
        if name.is_empty() {
            return 0;
        }
        let mut hash = Fnv::new();
        hash.text(name);
        // The high bits of FNV-1a are mixed better than the low ones.
        ((hash.0 >> 32) as u32).max(1)
    }
}

impl Entry {
    /// Whether the backend server drains or shuts down permanently.
    pub fn is_departing(&self) -> bool {
        self.announced.leaving || self.state == targets::State::Draining
    }

    /// Whether this says that the process which made the announcement `other` shuts down permanently.
    pub fn ends(&self, other: Announced) -> bool {
        let Announced { incarnation, leaving, instance, .. } = self.announced;
        // Such a leave is dated by its arrival, so its process had started before.
        let unannounced = self.service == UNANNOUNCED_SERVICE && instance != 0;
        let named = unannounced && instance == other.instance && other.incarnation <= incarnation;
        leaving && (incarnation == other.incarnation || named)
    }

    /// Checks that the entry can be that of a target, since it may come from another writer.
    ///
    /// # Errors
    ///
    /// Returns the first field that is out of its bounds.
    pub fn check(&self) -> Result<()> {
        let names = [
            ("host", &self.host),
            ("data centre", &self.data_centre),
            ("service", &self.service),
            ("registrar", &self.registrar),
        ];
        if let Some((field, _)) = names.iter().find(|(_, name)| !bounds::is_name(name)) {
            return Err(EntryError::Name(field));
        }
        if !bounds::is_unicast(self.addr) {
            return Err(EntryError::Address);
        }
        if !self.order.is_valid() {
            return Err(EntryError::Order);
        }
        if !(1..=bounds::MAX_SLOTS).contains(&self.slots) {
            return Err(EntryError::Slots);
        }
        if !bounds::is_software_version(&self.version) {
            return Err(EntryError::Version);
        }
        Ok(())
    }

    /// A hash of all fields. It is the same in every process and build, because processes compare
    /// it.
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
        hash.number(self.announced.incarnation);
        hash.number(self.announced.sequence);
        hash.number(self.announced.leaving.into());
        hash.number(self.announced.instance.into());
        hash.text(&self.version);
        hash.0
    }

    /// The part of its data centre that the entry belongs to, below [`PARTS`]. It depends only on
    /// the host's name.
    pub fn part(&self) -> usize {
        let mut hash = Fnv::new();
        hash.text(&self.host);
        // The high bits of FNV-1a are mixed better than the low ones.
        (hash.0 >> 32) as usize % PARTS
    }

    /// Whether this entry is newer than `held` and replaces it. Of two entries of one process, the
    /// one that says that it shuts down permanently is newer, whatever their orders: a node that
    /// restarted after the leave may have taken a late announcement for a new one. Two entries can
    /// share an order when a lease ends while the node makes a change. Every registry then keeps
    /// the same one of them, and prefers a removal.
    pub fn replaces(&self, held: &Entry) -> bool {
        let (announced, former) = (self.announced, held.announced);
        if announced.incarnation == former.incarnation && announced.leaving != former.leaving {
            return announced.leaving;
        }
        let rank = |it: &Entry| (it.order, it.state, it.digest());
        rank(self) > rank(held)
    }
}

/// The 64-bit FNV-1a hash. The standard library's hasher may change between releases.
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
