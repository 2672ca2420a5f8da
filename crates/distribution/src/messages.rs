//! Messages between a node's updater and a control's relay.

use std::sync;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use world::{document, time};

use crate::floor;

/// Identifies one session between a node and a control, from the node's hello to its next one. The
/// node draws it at random.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SessionId(pub u64);

/// When a control process sent an acknowledgement, on its own clock.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Timestamp {
    /// The incarnation of the control process. Clocks of two processes are not comparable.
    pub epoch: u64,
    /// The time on that process's clock.
    pub at: time::Time,
}

/// A version number with the digest of the document that it stands for.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Numbered {
    /// The version number.
    pub version: document::Version,
    /// The digest of the version's document.
    pub digest: document::DocumentDigest,
}

/// The patch that makes a version from the one before.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delta {
    /// The version that results from the patch.
    pub to: Numbered,
    /// The JSON Merge Patch as text.
    pub patch: sync::Arc<str>,
}

/// A version with its whole document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// The version of the document.
    pub of: Numbered,
    /// The document as JSON text.
    pub document: sync::Arc<str>,
}

/// Why a control knows that a version is not older than what a restarted node ran before.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Proof {
    /// There is no proof. That is enough for a node that runs a version, and for one with a token
    /// that is offered a version by its home control.
    None,
    /// The leader's lease was confirmed after the node asked, and the control has every version up
    /// to the leader's.
    Current,
    /// The home control cannot reach a leader, and its last contact with the node was within the
    /// last 3 s.
    Heard,
}

/// Why a node gets no version yet.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WaitReason {
    /// All snapshot slots are in use, and no peer can send the version.
    Busy,
    /// The control lost its disk and has not caught up with the log.
    CatchingUp,
    /// The control has no [`Proof`] that its version is recent enough for the node.
    Unproven,
}

/// A message from a node to a control.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ToControl {
    /// Opens a session, and ends the one before on this connection.
    Hello(Hello),
    /// Asks for a snapshot: after a wait, or because a delta could not be applied.
    AskSnapshot(SessionId),
    /// The node has this version, so deltas may follow it. Whether it runs it is told by a
    /// [`ToControl::Confirm`].
    Received(SessionId, document::Version),
    /// The node runs this version.
    Confirm(SessionId, Numbered),
    /// Keeps the session alive; sent once a second.
    Beat(Beat),
}

/// Opens a session, and tells the control what the node has.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// The new session.
    pub session: SessionId,
    /// The name of the node's host.
    pub node: CompactString,
    /// The name of the node's data centre.
    pub data_centre: CompactString,
    /// Whether the control is the node's home control.
    pub home: bool,
    /// The highest feature level of documents that the node supports.
    pub level: u32,
    /// What the node runs; none after a restart.
    pub running: Option<Numbered>,
    /// What a restarted node knows of the versions that it ran before.
    pub floor: floor::Floor,
}

/// Keeps a session alive, and shows the home control which acknowledgement reached the node last.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Beat {
    /// The session that is kept alive.
    pub session: SessionId,
    /// The timestamp of the last acknowledgement received.
    pub echo: Option<Timestamp>,
    /// The highest version that the node knows that it ran, also before a restart.
    pub highest: document::Version,
}

/// A message from a control to a node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ToNode {
    /// Acknowledges a hello or a beat.
    Ack(Ack),
    /// The next version, as a patch of the one before.
    Delta(SessionId, Delta),
    /// A version as a whole, with the proof that a restarted node needs.
    Snapshot(SessionId, Proof, Snapshot),
    /// There is no version for the node now; it asks again after this many milliseconds.
    Wait(SessionId, WaitReason, u32),
    /// Names a peer that can send this version, since all snapshot slots are in use.
    Peer {
        /// The session that the message belongs to.
        session: SessionId,
        /// The name of the peer's host.
        host: CompactString,
        /// The proof that goes with the version, as with a snapshot.
        proof: Proof,
        /// The version to ask the peer for.
        of: Numbered,
    },
    /// The current document needs this feature level, which the node does not support.
    Refused(SessionId, u32),
}

/// Shows that a control can be reached, and which version it sends.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ack {
    /// The session of the hello or beat that is acknowledged.
    pub session: SessionId,
    /// When it was sent; the node echoes it in its beats. No other acknowledgement of the control
    /// has this time.
    pub stamp: Timestamp,
    /// Whether the control cannot reach a leader, or lost its disk and has not caught up with the
    /// log.
    pub isolated: bool,
    /// The latest version that the control knows. It sends a version only once that is synced.
    pub version: document::Version,
    /// How long ago the control knew that no later version was accepted, in milliseconds, rounded
    /// up. Without meaning while it is isolated.
    pub age_ms: u32,
}
