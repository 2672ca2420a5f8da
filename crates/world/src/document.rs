//! The configuration document that operators patch: its JSON schema, merging a patch, validation
//! and the digest.

use std::{collections, fmt};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use sha2::Digest as _;

use crate::{faults, patches, teams, validation};

/// Highest feature level of a document that this build supports.
pub const LEVEL: u32 = 1;
/// Largest size of a document in bytes of JSON. A node holds two documents while it swaps versions,
/// and must stay below 64 MB.
pub const MAX_DOCUMENT_BYTES: usize = 4 * 1024 * 1024;
/// Largest number of services in a document.
pub const MAX_SERVICES: usize = 4_096;
/// Largest number of routes in a document.
pub const MAX_ROUTES: usize = 16_384;
/// Longest host of a route.
pub const MAX_HOST_BYTES: usize = 255;
/// Largest value of a route's priority, which is the least urgent one.
pub const MAX_PRIORITY: u32 = 1_000;
/// Longest path prefix of a route.
pub const MAX_PREFIX_BYTES: usize = 1_024;

const LABELS_KEY: &str = "labels";
const LEVEL_KEY: &str = "level";
const LIMITS_KEY: &str = "limits";
const REVISION_KEY: &str = "revision";
const ROUTES_KEY: &str = "routes";
const SERVICES_KEY: &str = "services";
const TEAMS_KEY: &str = "teams";
const DEFAULT_QUEUE: u32 = 16;
const DEFAULT_SLOTS: u32 = 6;
const DEFAULT_TIMEOUT_MS: u32 = 2_000;

/// The result of a function of this module. The error lists all faults that were found.
pub type Result<T, E = Vec<faults::Fault>> = std::result::Result<T, E>;

/// A numbered version of the configuration. Version 0 is the empty document.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Version(pub u64);

impl Version {
    /// Returns the version that follows this one.
    pub const fn next(self) -> Version {
        Version(self.0 + 1)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Digest of a document: the exclusive or of the SHA-256 hashes of its entries.
///
/// Updating it after a patch costs as much as hashing the changed entries, whatever the size of the
/// document. It detects replicas that differ because of a bug or corrupted data. It does not detect
/// forgery, which the authenticated links between processes prevent.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct DocumentDigest(pub [u8; 32]);

impl DocumentDigest {
    /// Adds an entry, or removes it if it is included already.
    fn xor_entry(&mut self, kind: &str, name: &str, entry: &impl Serialize) {
        let mut sha = sha2::Sha256::new();
        for part in [kind, name] {
            sha.update((part.len() as u64).to_le_bytes());
            sha.update(part);
        }
        let json = serde_json::to_vec(entry).expect("entries have text keys only");
        sha.update(json);
        let hash: [u8; 32] = sha.finalize().into();
        self.0.iter_mut().zip(hash).for_each(|(own, other)| *own ^= other);
    }
}

impl fmt::Display for DocumentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().take(8).try_for_each(|it| write!(f, "{it:02x}"))
    }
}

/// A valid document with its digest, the result of [`apply`].
#[derive(Clone, Debug)]
pub struct Patched {
    document: Document,
    digest: DocumentDigest,
}

impl Patched {
    /// Returns the document.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the digest of the document.
    pub fn digest(&self) -> DocumentDigest {
        self.digest
    }

    /// Splits the value into the document and its digest.
    pub fn into_parts(self) -> (Document, DocumentDigest) {
        (self.document, self.digest)
    }
}

/// The whole configuration, in the form that operators read and patch.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Values that front ends store with the document. They are kept and not interpreted.
    #[serde(default, skip_serializing_if = "Labels::is_empty")]
    pub labels: Labels,
    /// The feature level that a process needs to support this document, see [`LEVEL`].
    #[serde(default)]
    pub level: u32,
    /// Limits on callers' connections and requests; by default those built into the node.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limits: Option<LimitsSpec>,
    /// The operator's own revision number, for operators who number documents themselves; 0 if
    /// none.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub revision: u64,
    /// Routes by name.
    #[serde(default)]
    pub routes: collections::BTreeMap<CompactString, RouteSpec>,
    /// Services by name.
    #[serde(default)]
    pub services: collections::BTreeMap<CompactString, ServiceSpec>,
    /// Teams by name. With this field, even an empty one, requests need the API key of a team,
    /// except those of public routes.
    #[serde(
        default,
        deserialize_with = "teams::deserialize",
        skip_serializing_if = "Option::is_none"
    )]
    pub teams: Option<teams::Teams>,
}

/// Values that a front end stores with a document, service or route, by name.
pub type Labels = collections::BTreeMap<CompactString, serde_json::Value>;

/// Limits that a node sets on callers' connections and requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LimitsSpec {
    /// Largest body of a request, in bytes.
    pub body_bytes: u64,
    /// Largest head of a request, in bytes.
    pub header_bytes: u64,
    /// Longest time to receive the head of a request, in milliseconds.
    pub header_ms: u32,
    /// Longest time that a connection stays open without a request, in milliseconds.
    pub idle_ms: u32,
}

/// A service: a group of interchangeable backend servers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Most connections that one target takes from all its callers together.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub connections: Option<u32>,
    /// The path at which a target answers health checks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub health: Option<CompactString>,
    /// The region whose control hosts store the claims of the service's non-idempotent requests.
    /// Without it these requests are refused, unless their route is keyless. It cannot change once
    /// it is set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub home: Option<CompactString>,
    /// Values that front ends store with the service. They are kept and not interpreted.
    #[serde(default, skip_serializing_if = "Labels::is_empty")]
    pub labels: Labels,
    /// Most requests that wait at one target, 0 to 256.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// Most requests that one target runs at the same time, 1 to 1,024.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Time limit of a request, in milliseconds, 1 to 600,000.
    #[serde(default = "default_timeout")]
    pub timeout_ms: u32,
}

/// A route: which requests go to which services, and the limits and guarantees that apply to them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// Most targets that one request is sent to, including the first one, 1 to 100.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub attempts: Option<u32>,
    /// Whether a slow request may be hedged: sent to a second target as well.
    #[serde(default)]
    pub hedge: bool,
    /// The host that the requests name. Without it the route takes requests to any host that has no
    /// route of its own for the path.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<CompactString>,
    /// Whether running a request twice is harmless. By default the HTTP method decides.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotent: Option<bool>,
    /// Whether a non-idempotent request without an idempotency key is accepted.
    #[serde(default)]
    pub keyless: bool,
    /// Values that front ends store with the route. They are kept and not interpreted.
    #[serde(default, skip_serializing_if = "Labels::is_empty")]
    pub labels: Labels,
    /// Latency objective in milliseconds, 1 to 600,000: a later answer counts as late. By default,
    /// and at most, the time limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub objective_ms: Option<u32>,
    /// The path prefix of the requests. The route with the longest matching prefix takes a request.
    pub prefix: CompactString,
    /// Priority over other routes whose requests wait at the same target, from 0, the most urgent,
    /// to [`MAX_PRIORITY`]. Replaces `weight`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u32>,
    /// Whether requests need no API key, in a document with teams. False by default.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub public: Option<bool>,
    /// The service that runs the requests. Empty if `split` is set.
    #[serde(default, skip_serializing_if = "CompactString::is_empty")]
    pub service: CompactString,
    /// The services that share the requests. Empty if `service` is set.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<PartSpec>,
    /// Time limit of a request, in milliseconds, 1 to 600,000. By default the longest time limit of
    /// the route's services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<u32>,
    /// Weight against other routes whose requests wait at the same target, 1 to 100.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

/// A service of a split route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PartSpec {
    /// The name of the service.
    pub service: CompactString,
    /// Its share of the requests, relative to the sum of the weights in the split.
    pub weight: u32,
}

impl RouteSpec {
    /// Returns the names of the services that the route sends requests to.
    pub fn services(&self) -> impl Iterator<Item = &CompactString> {
        let single = (!self.service.is_empty()).then_some(&self.service);
        single.into_iter().chain(self.split.iter().map(|it| &it.service))
    }
}

/// Parses a document from JSON, without validation.
///
/// # Errors
///
/// Returns a fault if the JSON does not match the schema.
pub fn parse(value: &serde_json::Value) -> Result<Document> {
    Document::deserialize(value).map_err(|err| shape_faults("document", &err))
}

/// Merges a JSON Merge Patch (RFC 7386) into `base` and validates the resulting document.
///
/// # Errors
///
/// Returns all faults if the patch or the resulting document has some.
pub fn merge(base: &Document, patch: &serde_json::Value) -> Result<Document> {
    let candidate = patches::merge(base, patch)?;
    let faults = validation::validate(base, &candidate);
    if faults.is_empty() { Ok(candidate) } else { Err(faults) }
}

/// Like [`merge`], but also returns the digest of the result, updated from `digest`, that of
/// `base`.
///
/// # Errors
///
/// The same as those of [`merge`].
pub fn apply(
    base: &Document,
    digest: DocumentDigest,
    patch: &serde_json::Value,
) -> Result<Patched> {
    let document = merge(base, patch)?;
    let digest = update_digest(base, digest, patch, &document);
    Ok(Patched { document, digest })
}

/// Merges accepted patches into `base` in their order. Each patch was validated when it was
/// accepted, so this only parses the result.
///
/// # Errors
///
/// Returns a fault if a patch is not JSON or the result does not match the schema.
pub fn replay<'a>(base: &Document, patches: impl IntoIterator<Item = &'a str>) -> Result<Document> {
    let mut value = to_value(base);
    for patch in patches {
        let patch = serde_json::from_str(patch).map_err(|err| shape_faults("patch", &err))?;
        json_patch::merge(&mut value, &patch);
    }
    parse(&value)
}

/// Computes the digest of a document.
pub fn digest(document: &Document) -> DocumentDigest {
    let mut digest = DocumentDigest::default();
    digest.xor_entry(LEVEL_KEY, "", &document.level);
    xor_options(&mut digest, document);
    document.routes.iter().for_each(|(name, it)| digest.xor_entry(ROUTES_KEY, name, it));
    document.services.iter().for_each(|(name, it)| digest.xor_entry(SERVICES_KEY, name, it));
    let teams = document.teams.iter().flatten();
    teams.for_each(|(name, it)| digest.xor_entry(TEAMS_KEY, name, it));
    digest
}

/// Serializes a document as canonical JSON: compact, with the names in alphabetical order.
///
/// The order follows from the declaration of the types, whose fields stand in alphabetical order.
/// Sorting by way of a [`serde_json::Value`] would cost more, and a control does this for each
/// version.
pub fn canonical_json(document: &Document) -> String {
    serde_json::to_string(document).expect("maps with text keys always serialize")
}

/// Converts a document to a JSON value.
pub fn to_value(document: &Document) -> serde_json::Value {
    serde_json::to_value(document).expect("maps with text keys always serialize")
}

/// Updates `digest`, that of `base`, to that of `candidate`, the result of merging `patch`.
fn update_digest(
    base: &Document,
    mut digest: DocumentDigest,
    patch: &serde_json::Value,
    candidate: &Document,
) -> DocumentDigest {
    xor_options(&mut digest, base);
    xor_options(&mut digest, candidate);
    if base.level != candidate.level {
        digest.xor_entry(LEVEL_KEY, "", &base.level);
        digest.xor_entry(LEVEL_KEY, "", &candidate.level);
    }
    for name in patches::changed(patch, ROUTES_KEY, base.routes.keys()) {
        for it in [base.routes.get(name), candidate.routes.get(name)].into_iter().flatten() {
            digest.xor_entry(ROUTES_KEY, name, it);
        }
    }
    for name in patches::changed(patch, SERVICES_KEY, base.services.keys()) {
        for it in [base.services.get(name), candidate.services.get(name)].into_iter().flatten() {
            digest.xor_entry(SERVICES_KEY, name, it);
        }
    }
    let old = base.teams.iter().flat_map(collections::BTreeMap::keys);
    for name in patches::changed(patch, TEAMS_KEY, old) {
        for document in [base, candidate] {
            let team = document.teams.as_ref().and_then(|it| it.get(name));
            team.into_iter().for_each(|it| digest.xor_entry(TEAMS_KEY, name, it));
        }
    }
    digest
}

/// Adds or removes the document's fields other than its level and the entries of its sections. Absent fields
/// are left out, so that documents from before these fields existed keep their digest.
fn xor_options(digest: &mut DocumentDigest, document: &Document) {
    if !document.labels.is_empty() {
        digest.xor_entry(LABELS_KEY, "", &document.labels);
    }
    if let Some(limits) = &document.limits {
        digest.xor_entry(LIMITS_KEY, "", limits);
    }
    if document.revision != 0 {
        digest.xor_entry(REVISION_KEY, "", &document.revision);
    }
    if document.teams.is_some() {
        digest.xor_entry(TEAMS_KEY, "", &true);
    }
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

fn shape_faults(path: &str, detail: &dyn fmt::Display) -> Vec<faults::Fault> {
    vec![patches::shape_fault(path, detail)]
}

fn default_queue() -> u32 {
    DEFAULT_QUEUE
}

fn default_slots() -> u32 {
    DEFAULT_SLOTS
}

fn default_timeout() -> u32 {
    DEFAULT_TIMEOUT_MS
}

fn default_weight() -> u32 {
    1
}
