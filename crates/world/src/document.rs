//! The configuration document that operators patch: its JSON schema, merging a patch, validation
//! and the digest.

use std::{collections, fmt};

use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};
use sha2::Digest as _;

use crate::{bounds, faults, patches};

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

/// Most bytes of JSON that the field names, numbers and punctuation of a service or route take.
const ENTRY_BYTES: usize = 320;
/// Most bytes of JSON that the field names, numbers and punctuation of a split's entry or a label
/// take.
const SPLIT_BYTES: usize = 48;
const LABELS_KEY: &str = "labels";
const LEVEL_KEY: &str = "level";
const LIMITS_KEY: &str = "limits";
const REVISION_KEY: &str = "revision";
const ROUTES_KEY: &str = "routes";
const SERVICES_KEY: &str = "services";
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
    let faults = validate(base, &candidate);
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

/// Returns all faults of `candidate` as the successor of `base`; none if it is valid.
pub fn validate(base: &Document, candidate: &Document) -> Vec<faults::Fault> {
    let mut faults = Faults::default();
    check_size(candidate, &mut faults);
    for (name, spec) in &candidate.services {
        check_service(name, spec, base.services.get(name), &mut faults);
    }
    for (name, spec) in &candidate.routes {
        check_route(name, spec, candidate, &mut faults);
    }
    check_prefixes(candidate, &mut faults);
    faults.list
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
    digest
}

/// Adds or removes the document's fields other than its level, routes and services. Absent fields
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
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

fn shape_faults(path: &str, detail: &dyn fmt::Display) -> Vec<faults::Fault> {
    vec![patches::shape_fault(path, detail)]
}

/// Collects the faults of a document.
#[derive(Default)]
struct Faults {
    list: Vec<faults::Fault>,
}

impl Faults {
    fn push(&mut self, path: CompactString, kind: faults::FaultKind, detail: CompactString) {
        self.list.push(faults::Fault { path, kind, detail });
    }

    fn check_range(
        &mut self,
        path: impl FnOnce() -> CompactString,
        value: u32,
        low: u32,
        high: u32,
    ) {
        if (low..=high).contains(&value) {
            return;
        }
        let detail = format_compact!("{value} is not in {low}..={high}");
        self.push(path(), faults::FaultKind::Range, detail);
    }

    fn check_name(&mut self, path: impl FnOnce() -> CompactString, name: &str) {
        if bounds::is_name(name) {
            return;
        }
        let detail = format_compact!(
            "name {name:?} must have 1 to {} ASCII letters, digits, '-', '_' or '.'",
            bounds::MAX_NAME_BYTES,
        );
        self.push(path(), faults::FaultKind::Form, detail);
    }
}

fn check_size(candidate: &Document, faults: &mut Faults) {
    if candidate.level > LEVEL {
        let detail = format_compact!("{} is above the supported level {LEVEL}", candidate.level);
        faults.push("level".into(), faults::FaultKind::Level, detail);
    }
    let counts = [
        ("services", candidate.services.len(), MAX_SERVICES),
        ("routes", candidate.routes.len(), MAX_ROUTES),
        ("document", max_size(candidate), MAX_DOCUMENT_BYTES),
    ];
    for (path, count, most) in counts {
        if count > most {
            let detail = format_compact!("{count} is above the limit {most}");
            faults.push(path.into(), faults::FaultKind::Size, detail);
        }
    }
}

/// Returns an upper bound of a document's size in bytes of JSON. It is added up from the lengths of
/// the texts, because serializing a large document takes longer than all other checks.
fn max_size(document: &Document) -> usize {
    let home = |it: &ServiceSpec| it.home.as_ref().map_or(0, |it| it.len());
    let health = |it: &ServiceSpec| it.health.as_ref().map_or(0, |it| it.len());
    let services = document.services.iter().map(|(name, it)| {
        ENTRY_BYTES + name.len() + home(it) + health(it) + labels_size(&it.labels)
    });
    let routes = document.routes.iter();
    let routes = routes.map(|(name, it)| {
        let split: usize = it.split.iter().map(|it| SPLIT_BYTES + it.service.len()).sum();
        let host = it.host.as_ref().map_or(0, |it| it.len());
        let texts = name.len() + it.prefix.len() + it.service.len() + host;
        ENTRY_BYTES + texts + split + labels_size(&it.labels)
    });
    let labels = labels_size(&document.labels);
    services.chain(routes).sum::<usize>() + labels
}

fn labels_size(labels: &Labels) -> usize {
    let text = |it: &serde_json::Value| it.to_string().len();
    labels.iter().map(|(name, it)| name.len() + SPLIT_BYTES + text(it)).sum()
}

fn check_service(name: &str, spec: &ServiceSpec, old: Option<&ServiceSpec>, faults: &mut Faults) {
    let path = |field: &str| format_compact!("services.{name}.{field}");
    faults.check_name(|| format_compact!("services.{name}"), name);
    faults.check_range(|| path("slots"), spec.slots, 1, bounds::MAX_SLOTS);
    faults.check_range(|| path("queue"), spec.queue, 0, 256);
    faults.check_range(|| path("timeout_ms"), spec.timeout_ms, 1, 600_000);
    if let Some(home) = &spec.home {
        faults.check_name(|| path("home"), home);
    }
    // The claims of past requests stay in the old home region, so they would be lost for a service
    // that moves. A service without a home has no claims yet and can get one.
    let Some(old) = old else { return };
    if old.home.is_some() && old.home != spec.home {
        let detail = "the home region of a service cannot change".into();
        faults.push(path("home"), faults::FaultKind::Fixed, detail);
    }
}

fn check_route(name: &str, spec: &RouteSpec, candidate: &Document, faults: &mut Faults) {
    let path = |field: &str| format_compact!("routes.{name}.{field}");
    faults.check_name(|| format_compact!("routes.{name}"), name);
    faults.check_range(|| path("weight"), spec.weight, 1, 100);
    if let Some(timeout) = spec.timeout_ms {
        faults.check_range(|| path("timeout_ms"), timeout, 1, 600_000);
    }
    if !spec.prefix.starts_with('/') || spec.prefix.len() > MAX_PREFIX_BYTES {
        let detail = format_compact!(
            "{:?} must start with '/' and have at most {MAX_PREFIX_BYTES} bytes",
            spec.prefix
        );
        faults.push(path("prefix"), faults::FaultKind::Form, detail);
    }
    check_services(&path, spec, candidate, faults);
    if let Some(priority) = spec.priority {
        faults.check_range(|| path("priority"), priority, 0, MAX_PRIORITY);
    }
    if let Some(objective) = spec.objective_ms {
        faults.check_range(|| path("objective_ms"), objective, 1, 600_000);
    }
    if let Some(attempts) = spec.attempts {
        faults.check_range(|| path("attempts"), attempts, 1, 100);
    }
    if spec.host.as_ref().is_some_and(|it| it.is_empty() || it.len() > MAX_HOST_BYTES) {
        let detail = format_compact!("a host must have 1 to {MAX_HOST_BYTES} bytes");
        faults.push(path("host"), faults::FaultKind::Form, detail);
    }
    if spec.hedge && spec.idempotent == Some(false) {
        let detail = "a non-idempotent route cannot be hedged".into();
        faults.push(path("hedge"), faults::FaultKind::Range, detail);
    }
}

/// Checks that a route has either one service or a split, that its services exist, and that the
/// weights of a split add up to a positive `u32`.
fn check_services(
    path: &impl Fn(&str) -> CompactString,
    spec: &RouteSpec,
    candidate: &Document,
    faults: &mut Faults,
) {
    for service in spec.services() {
        if !candidate.services.contains_key(service) {
            let detail = format_compact!("there is no service {service:?}");
            faults.push(path("service"), faults::FaultKind::Dangling, detail);
        }
    }
    if spec.service.is_empty() == spec.split.is_empty() {
        let detail = "a route has either a service or a split".into();
        faults.push(path("service"), faults::FaultKind::Dangling, detail);
    }
    let total: u64 = spec.split.iter().map(|it| u64::from(it.weight)).sum();
    if !spec.split.is_empty() && !(1..=u64::from(u32::MAX)).contains(&total) {
        let detail = format_compact!("the weights add up to {total}");
        faults.push(path("split"), faults::FaultKind::Range, detail);
    }
}

/// Checks that no two routes have the same host and prefix.
fn check_prefixes(candidate: &Document, faults: &mut Faults) {
    let mut seen = collections::BTreeMap::new();
    for (name, spec) in &candidate.routes {
        // Requests name hosts in any letter case.
        let host = spec.host.as_ref().map(CompactString::to_lowercase);
        let Some(first) = seen.insert((host, &spec.prefix), name) else { continue };
        let detail = format_compact!("{:?} is already the prefix of {first:?}", spec.prefix);
        let path = format_compact!("routes.{name}.prefix");
        faults.push(path, faults::FaultKind::Duplicate, detail);
    }
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
