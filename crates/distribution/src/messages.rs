//! Messages between a node's updater and a control's relay.

use std::sync;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use world::{document, time};

use crate::floor;

/// One hello of a node and the answers to it. Chosen at random by the node.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SessionId(pub u64);

/// The send time of an acknowledgement on the clock of the control process that sent it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Timestamp {
    /// The incarnation of the control process, since clocks of two processes are not comparable.
    pub epoch: u64,
    /// When it was sent.
    pub at: time::Time,
}

/// A version with its digest.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Numbered {
    /// The version.
    pub version: document::Version,
    /// The digest of its document.
    pub digest: document::DocumentDigest,
}

/// The patch that makes a version from the one before.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delta {
    /// The version that it makes.
    pub to: Numbered,
    /// The JSON Merge Patch as text.
    pub patch: sync::Arc<str>,
}

/// A whole version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// Which version it is.
    pub of: Numbered,
    /// The document as JSON text.
    pub document: sync::Arc<str>,
}

/// Why a version is recent enough for a restarted node that does not know what it ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Proof {
    /// None; enough for a node with a running version or a suitable token.
    None,
    /// The leader's lease was confirmed after the node asked, and the control has caught up.
    Current,
    /// The home control is isolated and heard from the node within the last 3 s.
    Heard,
}

/// Why a node has to wait.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WaitReason {
    /// All snapshot slots are taken.
    Busy,
    /// The control lost its disk and has not caught up with the log.
    CatchingUp,
    /// The control cannot show that its version is recent enough for the node.
    Unproven,
}

/// From a node to a control.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ToControl {
    /// Opens a session, and ends the earlier one on this connection.
    Hello(Hello),
    /// Asks for a snapshot, after a wait or when a delta did not fit.
    AskSnapshot(SessionId),
    /// The node has this version and can take deltas from it, but may not run it yet.
    Received(SessionId, document::Version),
    /// The node runs this version.
    Confirm(SessionId, Numbered),
    /// Sent each second.
    Beat(Beat),
}

/// Opens a session.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// The new session.
    pub session: SessionId,
    /// The host of the node.
    pub node: CompactString,
    /// Where it stands.
    pub data_centre: CompactString,
    /// Whether the control is the one of the node's data centre.
    pub home: bool,
    /// The highest feature level that the node knows.
    pub level: u32,
    /// What the node runs.
    pub running: Option<Numbered>,
    /// What a restarted node knows of its past.
    pub floor: floor::Floor,
}

/// Shows that the node still listens to this control.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Beat {
    /// The session.
    pub session: SessionId,
    /// The last acknowledgement received.
    pub echo: Option<Timestamp>,
    /// The highest version that the node knows to have run.
    pub highest: document::Version,
}

/// From a control to a node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ToNode {
    /// Answers a hello or a beat.
    Ack(Ack),
    /// The next version.
    Delta(SessionId, Delta),
    /// A whole version.
    Snapshot(SessionId, Proof, Snapshot),
    /// No version can be had now; ask again after this time in milliseconds.
    Wait(SessionId, WaitReason, u32),
    /// A peer that has this version.
    Peer {
        /// The session.
        session: SessionId,
        /// The host of the peer.
        host: CompactString,
        /// As with a snapshot.
        proof: Proof,
        /// The version to ask the peer for.
        of: Numbered,
    },
    /// The running document needs this feature level, which the node does not know.
    Refused(SessionId, u32),
}

/// Shows that a control is there.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ack {
    /// The session.
    pub session: SessionId,
    /// When it was sent; the node echoes it.
    pub stamp: Timestamp,
    /// Whether the control has lost the leader, or must not serve yet.
    pub isolated: bool,
    /// The version that the control hands out.
    pub version: document::Version,
}
