//! Messages between an operator's client and a control, as JSON over HTTP.

use std::net;

use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};
use world::{document, faults};

/// The path that takes a [`PatchRequest`] by POST.
pub const PATCHES_PATH: &str = "/v1/patches";
/// The path of the list of versions, oldest first; `?limit=N` gives the newest N.
pub const VERSIONS_PATH: &str = "/v1/versions";
/// The path of the newest version. A control that cannot tell which that is answers 503.
pub const CURRENT_PATH: &str = "/v1/versions/current";
/// The path of the list of nodes and the versions that they run.
pub const NODES_PATH: &str = "/v1/nodes";
/// The path of the list of targets.
pub const TARGETS_PATH: &str = "/v1/targets";
/// The path of the list of quarantined requests.
pub const QUARANTINE_PATH: &str = "/v1/quarantine";
/// The path of the control's own state.
pub const STATUS_PATH: &str = "/v1/status";

/// The path of the whole document: GET shows the current one, PUT replaces it.
pub const DOCUMENT_PATH: &str = "/v1/document";
/// The path of the [`ControlList`], which needs no token. A process that looks for the mesh sends its own
/// [`ControlRecord`] by POST; GET only asks.
pub const HOSTS_PATH: &str = "/v1/hosts";

/// A control as processes find it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ControlRecord {
    /// The name of the host.
    pub name: CompactString,
    /// The name of its region.
    pub region: CompactString,
    /// The name of its data centre.
    pub data_centre: CompactString,
    /// Where it listens for other processes.
    pub addr: net::SocketAddr,
    /// Its operators' port, by which seeds name it. Only a control that introduces itself says it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operators: Option<net::SocketAddr>,
    /// Whether it is one of those that form the groups.
    pub votes: bool,
}

/// The controls that a control knows.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ControlList {
    /// Whether the list is complete: the groups have been formed, or are about to be.
    pub formed: bool,
    /// The controls, the one that answers included.
    pub controls: Vec<ControlRecord>,
}

/// The path of one version.
pub fn version_path(version: document::Version) -> CompactString {
    format_compact!("{VERSIONS_PATH}/{version}")
}

/// The path of the [`Progress`] of one version.
pub fn progress_path(version: document::Version) -> CompactString {
    format_compact!("{VERSIONS_PATH}/{version}/progress")
}

/// A patch of the configuration.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PatchRequest {
    /// The version that the patch was written against.
    pub base: document::Version,
    /// Identifies the patch when it is sent again after a lost answer.
    pub request_id: CompactString,
    /// Who sends it, for the history.
    pub operator: CompactString,
    /// The JSON Merge Patch (RFC 7386).
    pub patch: serde_json::Value,
}

/// The answer to a [`PatchRequest`]. Its HTTP status is 200 when accepted, 409 after a conflict or
/// a reused request ID, 422 when invalid and 503 when unavailable.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "result")]
pub enum PatchAnswer {
    /// The patch is accepted and will be in force everywhere.
    Accepted {
        /// The version that the patch has made.
        version: document::Version,
    },
    /// Another patch came first.
    Conflict {
        /// The version that is current now.
        current: document::Version,
        /// What has changed since the stated version; the oldest may be gone.
        since: Vec<VersionRecord>,
    },
    /// The candidate has faults and is rejected as a whole.
    Invalid {
        /// The first faults.
        faults: Vec<faults::Fault>,
        /// How many more there are; the list has a limit, since answers are kept for resends.
        #[serde(default)]
        more: u32,
    },
    /// The request ID belongs to another patch.
    RequestReused,
    /// No leader with a lease can be reached; the patch may or may not be accepted later.
    Unavailable {
        /// What to do.
        detail: CompactString,
    },
}

/// One version in the history.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct VersionRecord {
    /// Its number.
    pub version: document::Version,
    /// Who made it.
    pub operator: CompactString,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// The patch that made it.
    pub patch: serde_json::Value,
}

/// One version as a whole.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct VersionDocument {
    /// Its number.
    pub version: document::Version,
    /// Its document.
    pub document: document::Document,
}

/// How far a version has come.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Progress {
    /// Its number.
    pub version: document::Version,
    /// Whether each node of each data centre has confirmed it or a later version, by summaries
    /// that are fresh.
    pub in_force: bool,
    /// The data centres, by name.
    pub data_centres: Vec<DataCentreProgress>,
}

/// How far a version has come in one data centre.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DataCentreProgress {
    /// The data centre.
    pub data_centre: CompactString,
    /// Nodes attached to its control.
    pub nodes: usize,
    /// Those that have confirmed the version or a later one.
    pub confirmed: usize,
    /// How old its control's summary is, in milliseconds.
    pub age_ms: u64,
}

/// The body of an answer other than 200 that has no type of its own.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Problem {
    /// What is wrong, and what to do.
    pub detail: CompactString,
}

/// What a node runs.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct NodeRecord {
    /// The node's host.
    pub host: CompactString,
    /// The data centre of the host.
    pub data_centre: CompactString,
    /// The version that it has confirmed; none while it has none.
    pub version: Option<document::Version>,
    /// How long it has been behind the current version, in milliseconds; none when it is not.
    pub behind_ms: Option<u64>,
    /// How long ago it was heard, in milliseconds.
    pub heard_ms: u64,
}

/// A target and its state.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TargetRecord {
    /// The service that it runs.
    pub service: CompactString,
    /// The host that it stands on.
    pub host: CompactString,
    /// The data centre of the host.
    pub data_centre: CompactString,
    /// Its state, as `serving`.
    pub state: CompactString,
    /// Requests that it runs at the same time.
    pub slots: u32,
}

/// A request that crashes backend servers and is refused.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct QuarantineRecord {
    /// The fingerprint, in hexadecimal.
    pub fingerprint: CompactString,
    /// How long it is still refused, in milliseconds.
    pub left_ms: u64,
}

/// The state of the control that answers.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Status {
    /// Its host.
    pub host: CompactString,
    /// Its data centre.
    pub data_centre: CompactString,
    /// Its role in the configuration group, as `leader`.
    pub role: CompactString,
    /// The leader of the configuration group, as far as it knows.
    pub leader: Option<CompactString>,
    /// Whether it knows that its version is the current one.
    pub current: bool,
    /// The version that it has.
    pub version: document::Version,
    /// Nodes attached to it.
    pub nodes: usize,
    /// Nodes attached to it that run the version that it has.
    pub converged: usize,
}
