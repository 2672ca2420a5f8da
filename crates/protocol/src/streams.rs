//! The streams that a process opens to another, and the messages on them.

use compact_str::CompactString;
use replicated::quarantine;
use serde::{Deserialize, Serialize};
use world::{document, requests};

use crate::{forwarding, proposals};

/// The first message on each stream: what the stream is for.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Open {
    /// A node attaches to a control: [`NodeMessage`]s go up, [`ControlMessage`]s come down.
    Attach,
    /// A control sends [`PeerMessage`]s to another.
    Peer,
    /// A node asks another for a version; a [`PeerVersion`] comes back.
    PeerVersion(distribution::messages::Numbered),
    /// One change of the replicated state; a [`proposals::Outcome`] comes back.
    Propose(proposals::Proposal),
    /// A request for a node's backend server; a [`forwarding::AnswerHead`] and then the bytes of
    /// the answer's body come back. The sender gives up by no longer reading.
    Request {
        /// The head.
        head: forwarding::RequestHead,
        /// The whole body.
        body: bytes::Bytes,
    },
    /// A node asks whether another can be reached; a [`ProbeReply`] comes back.
    Probe,
    /// As [`Open::Request`], but the body follows as bytes when the other node has said
    /// [`forwarding::AnswerHead::Admitted`], so that a refusal does not cost its transfer.
    Offer {
        /// The head.
        head: forwarding::RequestHead,
    },
}

/// The answer to a probe.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct ProbeReply;

/// From a node to the control that it is attached to.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum NodeMessage {
    /// A change of its backend server.
    Event(membership::messages::Event),
    /// A crash, or a suspect that finished.
    Evidence {
        /// Returned with the acknowledgement.
        sequence: u64,
        /// How long ago it was observed, in milliseconds.
        age_ms: u64,
        /// What was observed.
        evidence: quarantine::Evidence,
    },
    /// Sent each second.
    Heartbeat(membership::messages::Heartbeat),
    /// Asks for parts of the registry.
    Parts(Vec<membership::messages::PartRequest>),
    /// About the versions.
    Version(distribution::messages::ToControl),
}

/// From a control to an attached node.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ControlMessage {
    /// The state of the registry, to be compared.
    Digests(Vec<membership::messages::Digest>),
    /// A change in the registry.
    Event(membership::messages::Event),
    /// Evidence was taken over.
    EvidenceTaken(u64),
    /// Answers a heartbeat.
    Heartbeat(membership::messages::HeartbeatAnswer),
    /// A part of the registry.
    Part(membership::messages::Part),
    /// A data centre fell silent, or can be heard again.
    Reach(membership::messages::Reachability),
    /// All requests that are suspect or quarantined; replaces the list before.
    Standings(Vec<Suspect>),
    /// About the versions.
    Version(distribution::messages::ToNode),
}

/// What evidence says of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspect {
    /// The request.
    pub fingerprint: requests::Fingerprint,
    /// How long it is still refused, in milliseconds; 0 for a suspect.
    pub refused_ms: u64,
}

/// A version from a peer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum PeerVersion {
    /// The peer does not have it.
    Absent,
    /// The version.
    Snapshot(distribution::messages::Snapshot),
}

/// From one control to another.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum PeerMessage {
    /// A message of a replicated log.
    Agreement(proposals::GroupId, agreement::messages::Message),
    /// The state of the sender's registry, to be compared; says that the sender is there.
    Digests(Vec<membership::messages::Digest>),
    /// A change in the registry.
    Event(membership::messages::Event),
    /// Parts of the registry that differ.
    Parts(Vec<membership::messages::Part>),
    /// Asks for parts of the registry.
    PartRequests(Vec<membership::messages::PartRequest>),
    /// What the nodes attached to the sender run.
    Report(VersionReport),
}

/// What the nodes attached to a control run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct VersionReport {
    /// The data centre of the control.
    pub data_centre: CompactString,
    /// The lowest feature level of these nodes; none without nodes.
    pub level: Option<u32>,
    /// The version that the control hands out.
    pub version: document::Version,
    /// Nodes attached.
    pub nodes: u32,
    /// How many nodes run each of the newest versions, the newest first, up to a limit.
    pub counts: Vec<(document::Version, u32)>,
    /// Nodes that do not, the longest behind first, up to a limit.
    pub behind: Vec<Lagging>,
}

/// A node that does not run its control's version.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Lagging {
    /// The host of the node.
    pub host: CompactString,
    /// What it runs.
    pub running: Option<document::Version>,
    /// For how long, in milliseconds.
    pub behind_ms: u64,
}
