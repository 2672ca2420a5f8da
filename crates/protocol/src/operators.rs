//! The operators' interface: paths and messages between a client and a control, as JSON over HTTP.

use std::{fmt, net};

use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};
use world::{document, faults};

/// Path of patches: POST takes a [`PatchRequest`] and returns a [`PatchAnswer`].
pub const PATCHES_PATH: &str = "/v1/patches";
/// Path of the list of versions: GET returns [`VersionRecord`]s, oldest first. `?limit=N` selects
/// the newest N.
pub const VERSIONS_PATH: &str = "/v1/versions";
/// Path of the current version: GET returns a [`VersionDocument`], or status 503 if the control
/// cannot tell which version is current.
pub const CURRENT_PATH: &str = "/v1/versions/current";
/// Path of the list of nodes: GET returns [`NodeRecord`]s.
pub const NODES_PATH: &str = "/v1/nodes";
/// Path of the list of targets: GET returns [`TargetRecord`]s.
pub const TARGETS_PATH: &str = "/v1/targets";
/// Path of the list of quarantined requests: GET returns [`QuarantineRecord`]s.
pub const QUARANTINE_PATH: &str = "/v1/quarantine";
/// Path of the control's own state: GET returns a [`Status`].
pub const STATUS_PATH: &str = "/v1/status";

/// Path of the whole document: GET returns the current one, and PUT replaces it.
pub const DOCUMENT_PATH: &str = "/v1/document";
/// Path of rollouts: POST orders one, and GET with `?service=NAME` returns a [`RolloutRecord`].
pub const ROLLOUTS_PATH: &str = "/v1/rollouts";
/// Path of the discovery of controls, which needs no token: GET returns a [`ControlList`]. A
/// control that looks for others introduces itself by a POST of its own [`ControlRecord`].
pub const HOSTS_PATH: &str = "/v1/hosts";

/// A control, as other processes discover it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ControlRecord {
    /// The name of the control's host.
    pub name: CompactString,
    /// The region of the host.
    pub region: CompactString,
    /// The data centre of the host.
    pub data_centre: CompactString,
    /// The address where the control listens for other processes.
    pub addr: net::SocketAddr,
    /// The address of its operators' interface, by which lists of seeds name it. Only set by a
    /// control that introduces itself.
    // Always written: the encoding of links does not tell which fields are there.
    #[serde(default)]
    pub operators: Option<net::SocketAddr>,
    /// Whether it holds the seat of a voter in the configuration group.
    pub votes: bool,
}

/// The controls that a control knows.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ControlList {
    /// Whether the list is complete, because the groups have been formed or are about to be.
    pub formed: bool,
    /// The controls, including the one that answers.
    pub controls: Vec<ControlRecord>,
}

/// Returns the path of one version: GET returns its [`VersionDocument`].
pub fn version_path(version: document::Version) -> CompactString {
    format_compact!("{VERSIONS_PATH}/{version}")
}

/// Returns the path of the [`Progress`] of one version.
pub fn progress_path(version: document::Version) -> CompactString {
    format_compact!("{VERSIONS_PATH}/{version}/progress")
}

/// A patch of the configuration, as an operator sends it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PatchRequest {
    /// The version that the patch is based on.
    pub base: document::Version,
    /// Identifies the patch, so that it is applied once if it is sent again after a lost answer.
    pub request_id: CompactString,
    /// The name of the operator, for the history.
    pub operator: CompactString,
    /// The JSON Merge Patch (RFC 7386).
    pub patch: serde_json::Value,
}

/// The answer to a [`PatchRequest`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "result")]
pub enum PatchAnswer {
    /// Status 200: the patch is accepted and will take effect on all nodes.
    Accepted {
        /// The version that the patch created.
        version: document::Version,
    },
    /// Status 409: the base is not the current version, because another patch came first.
    Conflict {
        /// The current version.
        current: document::Version,
        /// The versions after the base. The oldest of them may be missing.
        since: Vec<VersionRecord>,
    },
    /// Status 422: the resulting document is invalid, and the whole patch is rejected.
    Invalid {
        /// The first faults.
        faults: Vec<faults::Fault>,
        /// How many more faults there are. The list is limited, since answers are stored for
        /// patches that are sent again.
        #[serde(default)]
        more: u32,
    },
    /// Status 409: another patch has used the request ID.
    RequestReused,
    /// Status 503: no leader with a lease answered. The patch may still be accepted.
    Unavailable {
        /// What happened, and what the operator can do.
        detail: CompactString,
    },
}

/// A version in the history. Its debug text leaves out the patch, which may hold API keys.
#[derive(Clone, Deserialize, Serialize)]
pub struct VersionRecord {
    /// The version number.
    pub version: document::Version,
    /// The operator who sent its patch.
    pub operator: CompactString,
    /// When the patch was accepted, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// The patch from the version before.
    pub patch: serde_json::Value,
}

impl fmt::Debug for VersionRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let VersionRecord { version, operator, .. } = self;
        write!(f, "VersionRecord {{ version: {version}, operator: {operator:?} }}")
    }
}

/// A version with its whole document.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct VersionDocument {
    /// The version number.
    pub version: document::Version,
    /// The document of the version.
    pub document: document::Document,
}

/// How far a version has been distributed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Progress {
    /// The version number.
    pub version: document::Version,
    /// Whether all nodes of all data centres have confirmed this version or a later one, according
    /// to recent summaries of their controls.
    pub in_force: bool,
    /// The progress in each data centre, in the order of their names.
    pub data_centres: Vec<DataCentreProgress>,
}

/// How far a version has been distributed in one data centre.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DataCentreProgress {
    /// The name of the data centre.
    pub data_centre: CompactString,
    /// Number of nodes attached to its control.
    pub nodes: usize,
    /// Number of these nodes that have confirmed the version or a later one.
    pub confirmed: usize,
    /// Age of its control's summary, in milliseconds.
    pub age_ms: u64,
}

/// The body of an error answer that has no type of its own.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Problem {
    /// What is wrong, and what the operator can do.
    pub detail: CompactString,
}

/// A node and the version that it runs.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct NodeRecord {
    /// The name of the node's host.
    pub host: CompactString,
    /// The data centre of the host.
    pub data_centre: CompactString,
    /// The version that the node has confirmed; `None` if there is none.
    pub version: Option<document::Version>,
    /// How long the node has been behind the current version, in milliseconds; `None` if it is not.
    pub behind_ms: Option<u64>,
    /// Time since the last message from the node, in milliseconds.
    pub heard_ms: u64,
}

/// A target and its state.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TargetRecord {
    /// The name of the service.
    pub service: CompactString,
    /// The name of the target's host.
    pub host: CompactString,
    /// The data centre of the host.
    pub data_centre: CompactString,
    /// The state, for example `serving`.
    pub state: CompactString,
    /// Most requests that the target runs at the same time.
    pub slots: u32,
    /// The version of its software; empty when it names none.
    #[serde(default)]
    pub version: CompactString,
}

/// A quarantined request: it crashes backend servers and is refused.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct QuarantineRecord {
    /// The request's fingerprint, in hexadecimal.
    pub fingerprint: CompactString,
    /// Time until it is no longer refused, in milliseconds.
    pub left_ms: u64,
}

/// The state of the control that answers.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Status {
    /// The name of the control's host.
    pub host: CompactString,
    /// The data centre of the host.
    pub data_centre: CompactString,
    /// The control's role in the configuration group, for example `leader`.
    pub role: CompactString,
    /// The leader of the configuration group, as far as the control knows.
    pub leader: Option<CompactString>,
    /// Whether the control knows that its version is the current one.
    pub current: bool,
    /// The version that the control has.
    pub version: document::Version,
    /// Number of nodes attached to the control.
    pub nodes: usize,
    /// Number of these nodes that run the control's version.
    pub converged: usize,
}

/// An order of a rollout.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutRequest {
    /// The service.
    pub service: CompactString,
    /// The software version that its traffic is to move to.
    pub target: CompactString,
    /// The time within which it is to move, in milliseconds.
    pub over_ms: u64,
}

/// The state of a rollout.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// The traffic is moving.
    Running,
    /// All traffic has moved, and the old targets may be stopped.
    Complete,
    /// The new version was bad and gets nothing.
    RolledBack,
}

/// The last rollout of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutRecord {
    /// Its state.
    pub state: RolloutState,
    /// The software version that was ordered.
    pub target: CompactString,
}

/// The result of an order of a rollout, or of the question for one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RolloutAnswer {
    /// The state of the service's last order.
    State(RolloutRecord),
    /// Another order for the service is in progress.
    Conflict(CompactString),
    /// The order cannot be carried out.
    Invalid(CompactString),
    /// There is no order for the service.
    Unknown(CompactString),
    /// The control cannot tell; another one may.
    Unavailable(CompactString),
}
