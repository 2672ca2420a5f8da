//! The streams between processes, and the messages on them.

use compact_str::CompactString;
use quotas::messages as quota;
use replicated::quarantine;
use serde::{Deserialize, Serialize};
use world::{document, requests};

use crate::{forwarding, operators, proposals, rollouts};

/// The first message on each stream, which states its purpose.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Open {
    /// A node attaches to a control. It sends [`NodeMessage`]s and receives [`ControlMessage`]s.
    Attach,
    /// A control sends [`PeerMessage`]s to another control.
    Peer,
    /// A node asks another node for a version; the answer is a [`PeerVersion`].
    PeerVersion(distribution::messages::Numbered),
    /// Proposes a change of the replicated state; the answer is a [`proposals::Outcome`].
    Propose(proposals::Proposal),
    /// Forwards a request to the node of a backend server. The answer is a
    /// [`forwarding::AnswerHead`], followed by the bytes of the body. The sender cancels the
    /// request by no longer reading.
    Request {
        /// The head of the request.
        head: forwarding::RequestHead,
        /// The whole body of the request.
        body: bytes::Bytes,
    },
    /// A node checks whether another node can be reached; the answer is a [`ProbeReply`].
    Probe,
    /// Like [`Open::Request`], but the body follows as bytes after the other node has answered
    /// [`forwarding::AnswerHead::Admitted`]. A refusal thus does not cost the transfer of the body.
    Offer {
        /// The head of the request.
        head: forwarding::RequestHead,
    },
}

impl Open {
    /// Returns the name of the stream's purpose, for logs. The content of a message may be secret.
    pub fn kind(&self) -> &'static str {
        match self {
            Open::Attach => "attach",
            Open::Peer => "peer",
            Open::PeerVersion(_) => "peer version",
            Open::Propose(_) => "propose",
            Open::Request { .. } => "request",
            Open::Probe => "probe",
            Open::Offer { .. } => "offer",
        }
    }
}

/// The answer to [`Open::Probe`]. It shows that the node can be reached.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct ProbeReply;

/// A message from a node to the control that it is attached to.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum NodeMessage {
    /// A change of the registry entry of the node's backend server.
    Event(membership::messages::Event),
    /// A crash of the backend server, or a suspect request that finished without one.
    Evidence {
        /// The number that [`ControlMessage::EvidenceTaken`] returns.
        sequence: u64,
        /// Time since the observation, in milliseconds.
        age_ms: u64,
        /// The observation.
        evidence: quarantine::Evidence,
    },
    /// Renews the node's lease; sent once a second.
    Heartbeat(membership::messages::Heartbeat),
    /// Asks for parts of the registry that differ from the node's own.
    Parts(Vec<membership::messages::PartRequest>),
    /// A message about the distribution of versions.
    Version(distribution::messages::ToControl),
    /// What the node has seen of each rollout in progress; sent every 250 ms while there is one.
    Rollouts(Vec<rollouts::Report>),
    /// What the node used of the quotas of teams, and what it needs.
    Quota(quota::Question),
}

/// A message from a control to an attached node.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ControlMessage {
    /// Digests of the registry, which the node compares with its own.
    Digests(Vec<membership::messages::Digest>),
    /// A change in the registry.
    Event(membership::messages::Event),
    /// Acknowledges the evidence with this sequence number.
    EvidenceTaken(u64),
    /// The answer to a heartbeat.
    Heartbeat(membership::messages::HeartbeatAnswer),
    /// A part of the registry.
    Part(membership::messages::Part),
    /// The control of a data centre has become unreachable, or can be reached again.
    Reach(membership::messages::Reachability),
    /// All requests that are suspect or quarantined. Replaces the previous list.
    Standings(Vec<Suspect>),
    /// A message about the distribution of versions.
    Version(distribution::messages::ToNode),
    /// All controls of the mesh. Replaces the previous list. Sent when the node attaches and at
    /// each change.
    Controls(Vec<operators::ControlRecord>),
    /// All rollouts. Sent when the node attaches, before the registry, and at each change.
    Rollouts(rollouts::List),
    /// Tokens for the quotas of teams, and which quotas are used up.
    Quota(quota::Answer),
}

/// A request that may crash backend servers, according to the evidence.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspect {
    /// The fingerprint of the request.
    pub fingerprint: requests::Fingerprint,
    /// Time until a quarantined request is no longer refused, in milliseconds; 0 for a request that
    /// is suspect and not quarantined.
    pub refused_ms: u64,
}

/// The answer to [`Open::PeerVersion`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum PeerVersion {
    /// The node does not have the version.
    Absent,
    /// The version with its document.
    Snapshot(distribution::messages::Snapshot),
}

/// A message from one control to another.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum PeerMessage {
    /// A message between two replicas of a group.
    Agreement(proposals::GroupId, agreement::messages::Message),
    /// Digests of the sender's registry, which the receiver compares with its own. They also show
    /// that the sender is alive.
    Digests(Vec<membership::messages::Digest>),
    /// A change in the registry.
    Event(membership::messages::Event),
    /// The parts of the registry that the receiver asked for.
    Parts(Vec<membership::messages::Part>),
    /// Asks for the parts of the registry that differ from the sender's own.
    PartRequests(Vec<membership::messages::PartRequest>),
    /// The versions that the nodes attached to the sender run.
    Report(VersionReport),
    /// The sender's own record; the first message on each stream. A control that has missed changes
    /// of the list of controls thus learns where the others are.
    Introduction(operators::ControlRecord),
    /// The sender is about to stop, and another control may take over its seats.
    Leaving,
    /// What the nodes attached to the sender have seen of each rollout in progress; sent every 250
    /// ms while there is one.
    Rollouts(Vec<rollouts::Summary>),
    /// Tokens for the quotas of teams, asked for or lent.
    Quota(quota::Loan),
    /// The targets that drain or leave, as the sender knows them. Sent on each new stream after the
    /// introduction, and when asked for.
    Departures {
        /// The entries.
        events: Vec<membership::messages::Event>,
        /// Whether no others follow.
        is_last: bool,
    },
    /// Asks for the receiver's departures, after a pause of the sender.
    DeparturesRequest,
    /// The sender has written the departure of the backend server on this host to its disk.
    DepartureRecorded {
        /// The name of the host.
        host: CompactString,
        /// The [`membership::messages::Entry::digest`] of the entry.
        digest: u64,
    },
}

/// The versions that the nodes attached to a control run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct VersionReport {
    /// The name of the control's data centre.
    pub data_centre: CompactString,
    /// The lowest feature level that these nodes support; `None` without nodes.
    pub level: Option<u32>,
    /// The version that the control distributes.
    pub version: document::Version,
    /// Number of attached nodes.
    pub nodes: u32,
    /// Number of nodes that run each of the newest versions, the newest first, up to a limit.
    pub counts: Vec<(document::Version, u32)>,
    /// Nodes that do not run `version`, the longest behind first, up to a limit.
    pub behind: Vec<Lagging>,
}

/// A node that does not run its control's version.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Lagging {
    /// The name of the node's host.
    pub host: CompactString,
    /// The version that the node runs; `None` if it runs none.
    pub running: Option<document::Version>,
    /// How long the node has been behind, in milliseconds.
    pub behind_ms: u64,
}
