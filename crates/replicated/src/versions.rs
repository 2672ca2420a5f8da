//! Versions of the configuration, and the operators' patches that created them.

use std::{collections, fmt, sync};

use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};
use sha2::Digest as _;
use world::{document, faults};

use crate::{clock, toggles};

/// Maximum number of answers that are stored by request ID. This lasts at least five days at the
/// target load of 19,000 changes a day.
pub const MAX_ANSWERS: usize = 100_000;
/// Maximum number of changes in the history. After a restart a relay fills its window of deltas
/// from the history.
pub const MAX_CHANGES: usize = 1_024;
/// Maximum total size of the patch texts in the history, in bytes.
pub const MAX_CHANGES_BYTES: usize = 16 * 1024 * 1024;
/// The largest patch text in bytes: the limit of a request body on the operator port.
pub const MAX_PATCH_BYTES: usize = 1024 * 1024;
/// Maximum total size of the patch texts in a conflict answer, in bytes. The answer has to fit into
/// a frame.
pub const MAX_CONFLICT_BYTES: usize = 1024 * 1024;
/// The longest request ID or operator name, in bytes.
pub const MAX_ID_BYTES: usize = 128;
/// Maximum number of faults in an answer. Answers are stored, so their size must be bounded.
pub const MAX_FAULTS: usize = 32;
/// Maximum size of each text in a fault, in bytes; longer texts are truncated.
pub const MAX_FAULT_TEXT_BYTES: usize = 256;
/// Maximum number of services whose home is recorded, including removed services.
pub const MAX_HOMES: usize = 65_536;

/// A request of an operator to change the configuration. Its debug text leaves out the patch, which
/// may hold API keys.
#[derive(Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Patch {
    /// The version that the patch was written against.
    pub base: document::Version,
    /// The request ID, chosen by the operator. A resend of the request carries the same ID.
    pub request: CompactString,
    /// The JSON Merge Patch (RFC 7396) as text.
    pub text: sync::Arc<str>,
    /// The operator who sent it.
    pub operator: CompactString,
}

/// A command of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Command {
    /// The leader's wall clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The highest feature level that every attached process supports.
    pub level: u32,
    /// The patch to apply.
    pub patch: Patch,
}

/// An accepted change. Its debug text leaves out the patch, which may hold API keys.
#[derive(Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// The version that the change created.
    pub version: document::Version,
    /// The digest of that version's document.
    pub digest: document::DocumentDigest,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The operator who made the change.
    pub operator: CompactString,
    /// The JSON Merge Patch from the preceding version, as text.
    pub text: sync::Arc<str>,
}

impl fmt::Debug for Patch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Patch { base, request, text, operator } = self;
        let bytes = text.len();
        write!(
            f,
            "Patch {{ base: {base}, request: {request:?}, operator: {operator:?}, {bytes} bytes }}"
        )
    }
}

impl fmt::Debug for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Change { version, operator, text, .. } = self;
        write!(f, "Change {{ version: {version}, operator: {operator:?}, {} bytes }}", text.len())
    }
}

/// The result of a patch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Answer {
    /// The patch was accepted and created this version.
    Accepted {
        /// The new version.
        version: document::Version,
        /// The digest of its document.
        digest: document::DocumentDigest,
    },
    /// The patch was not written against the current version.
    Conflict {
        /// The version that was current when the patch was first evaluated.
        current: document::Version,
        /// The latest changes after the base, oldest first, as far as the history and
        /// [`MAX_CONFLICT_BYTES`] allow.
        since: Vec<Change>,
    },
    /// The patch, or the document that it would create, has faults.
    Invalid {
        /// The first faults, at most [`MAX_FAULTS`].
        faults: Vec<faults::Fault>,
        /// The number of further faults.
        more: u32,
    },
    /// The request ID was used for a different patch.
    RequestReused,
    /// The entry was applied before, and the state did not change.
    AlreadyApplied,
}

/// An answer in its stored form. The changes in a conflict answer are not stored but read from the
/// history again.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
enum Verdict {
    Accepted { version: document::Version, digest: document::DocumentDigest },
    Conflict { base: document::Version, current: document::Version },
    Invalid { faults: Vec<faults::Fault>, more: u32 },
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct StoredVerdict {
    /// Digest of the patch, by which a resend is told from a reused request ID.
    body: [u8; 32],
    verdict: Verdict,
}

/// The state machine that holds the current document, the recent changes and the stored answers.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Versions {
    applied: u64,
    clock: clock::Clock,
    current: document::Version,
    digest: document::DocumentDigest,
    #[serde(with = "as_json")]
    document: document::Document,
    /// The document to which the first of `changes` was applied.
    #[serde(with = "as_json")]
    oldest: document::Document,
    changes: collections::VecDeque<Change>,
    changes_bytes: usize,
    answers: collections::BTreeMap<CompactString, StoredVerdict>,
    /// Request IDs of the stored answers, oldest first.
    answer_order: collections::VecDeque<CompactString>,
    /// The home of each service that has ever existed; none if it has not got one yet.
    homes: collections::BTreeMap<CompactString, Option<CompactString>>,
    #[serde(skip)]
    toggles: toggles::Toggles,
}

impl Versions {
    /// Sets the feature toggles, for tests.
    pub fn set_toggles(&mut self, toggles: toggles::Toggles) {
        self.toggles = toggles;
    }

    /// Applies the command of the committed entry at `index`. An index that is not above the last
    /// applied one is ignored.
    pub fn apply(&mut self, index: u64, command: &Command) -> Answer {
        if index <= self.applied {
            return Answer::AlreadyApplied;
        }
        self.applied = index;
        let at_ms = self.clock.advance(command.at_ms);
        let patch = &command.patch;
        if let Some(answer) = self.find_answer(patch) {
            return answer;
        }
        let verdict = match self.evaluate(patch, command.level) {
            Ok(candidate) => self.accept(patch, candidate, at_ms),
            Err(verdict) => verdict,
        };
        let answer = self.answer(&verdict);
        self.store_verdict(patch, verdict);
        answer
    }

    /// The answer that `patch` would get now. A leader proposes a patch even if it would be
    /// refused, because a resend gets the first answer only if that is in the log.
    pub fn preview(&self, patch: &Patch, level: u32) -> Answer {
        if let Some(answer) = self.find_answer(patch) {
            return answer;
        }
        let verdict = match self.evaluate(patch, level) {
            Ok(candidate) => {
                Verdict::Accepted { version: self.current.next(), digest: candidate.digest() }
            }
            Err(verdict) => verdict,
        };
        self.answer(&verdict)
    }

    /// The stored answer for a request ID, if there is one.
    pub fn stored_answer(&self, request: &str) -> Option<Answer> {
        Some(self.answer(&self.answers.get(request)?.verdict))
    }

    /// The index of the last applied entry; 0 before the first.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The current version; 0 before the first change.
    pub fn current(&self) -> document::Version {
        self.current
    }

    /// The digest of the current document.
    pub fn digest(&self) -> document::DocumentDigest {
        if self.current == document::Version(0) {
            return document::digest(&self.document);
        }
        self.digest
    }

    /// The current document.
    pub fn document(&self) -> &document::Document {
        &self.document
    }

    /// The document of a version; none if the version does not exist or the history does not reach
    /// back to it.
    pub fn document_at(&self, version: document::Version) -> Option<document::Document> {
        let first = self.changes.front().map_or(self.current.next(), |it| it.version);
        if version > self.current || version.next() < first {
            return None;
        }
        let earlier = self.changes.iter().take_while(|it| it.version <= version);
        document::replay(&self.oldest, earlier.map(|it| &*it.text)).ok()
    }

    /// The changes in the history, oldest first.
    pub fn changes(&self) -> impl DoubleEndedIterator<Item = &Change> {
        self.changes.iter()
    }

    /// The answer to a request ID that was used before: the stored one for a resend, or a refusal
    /// for another patch.
    fn find_answer(&self, patch: &Patch) -> Option<Answer> {
        if !self.toggles.request_dedup {
            return None;
        }
        let stored = self.answers.get(&patch.request)?;
        if stored.body != patch_digest(patch) {
            return Some(Answer::RequestReused);
        }
        Some(self.answer(&stored.verdict))
    }

    /// Returns the document that the patch would create, or the verdict that refuses the patch.
    fn evaluate(&self, patch: &Patch, level: u32) -> Result<document::Patched, Verdict> {
        check_request(patch)?;
        if patch.base != self.current {
            return Err(Verdict::Conflict { base: patch.base, current: self.current });
        }
        let value = serde_json::from_str(&patch.text).map_err(|err| {
            invalid(vec![fault("patch", faults::FaultKind::Shape, format_compact!("{err}"))])
        })?;
        let applied = document::apply(&self.document, self.digest(), &value).map_err(invalid)?;
        let candidate = applied.document();
        let mut faults = self.check_homes(candidate);
        if candidate.level > level {
            let detail = format_compact!("some process knows only level {level}");
            faults.push(fault("level", faults::FaultKind::Level, detail));
        }
        if faults.is_empty() { Ok(applied) } else { Err(invalid(faults)) }
    }

    /// Faults of services whose home would change, and of too many services.
    fn check_homes(&self, candidate: &document::Document) -> Vec<faults::Fault> {
        let mut faults = Vec::new();
        if !self.toggles.fixed_homes {
            return faults;
        }
        let mut count = self.homes.len();
        for (name, spec) in &candidate.services {
            let Some(home) = self.homes.get(name) else {
                count += 1;
                continue;
            };
            // A service without a home has no claims yet, so its home can still be set.
            if home.is_none() || *home == spec.home {
                continue;
            }
            let path = format_compact!("services.{name}.home");
            let detail = format_compact!("the service had its home in {home:?}");
            faults.push(fault(&path, faults::FaultKind::Fixed, detail));
        }
        if count > MAX_HOMES {
            let detail = format_compact!("{count} services ever is above the limit {MAX_HOMES}");
            faults.push(fault("services", faults::FaultKind::Size, detail));
        }
        faults
    }

    /// Makes the document the current version and adds the change to the history.
    fn accept(&mut self, patch: &Patch, applied: document::Patched, at_ms: u64) -> Verdict {
        let (candidate, digest) = applied.into_parts();
        for (name, spec) in &candidate.services {
            let home = self.homes.entry(name.clone()).or_default();
            if home.is_none() {
                home.clone_from(&spec.home);
            }
        }
        self.current = self.current.next();
        self.digest = digest;
        self.document = candidate;
        self.changes_bytes += patch.text.len();
        self.changes.push_back(Change {
            version: self.current,
            digest: self.digest,
            at_ms,
            operator: patch.operator.clone(),
            text: patch.text.clone(),
        });
        while self.changes.len() > MAX_CHANGES || self.changes_bytes > MAX_CHANGES_BYTES {
            let Some(oldest) = self.changes.pop_front() else { break };
            self.changes_bytes -= oldest.text.len();
            self.oldest = document::replay(&self.oldest, [&*oldest.text])
                .expect("an accepted patch fits the document before it");
        }
        Verdict::Accepted { version: self.current, digest: self.digest }
    }

    /// Stores the verdict under the request ID, unless the ID is too long. Above the limit the
    /// oldest verdict is removed.
    fn store_verdict(&mut self, patch: &Patch, verdict: Verdict) {
        if patch.request.len() > MAX_ID_BYTES {
            return;
        }
        let stored = StoredVerdict { body: patch_digest(patch), verdict };
        if self.answers.insert(patch.request.clone(), stored).is_none() {
            self.answer_order.push_back(patch.request.clone());
        }
        if self.answer_order.len() <= MAX_ANSWERS {
            return;
        }
        if let Some(oldest) = self.answer_order.pop_front() {
            self.answers.remove(&oldest);
        }
    }

    fn answer(&self, verdict: &Verdict) -> Answer {
        match verdict {
            &Verdict::Accepted { version, digest } => Answer::Accepted { version, digest },
            &Verdict::Conflict { base, current } => {
                Answer::Conflict { current, since: self.changes_since(base, current) }
            }
            Verdict::Invalid { faults, more } => {
                Answer::Invalid { faults: faults.clone(), more: *more }
            }
        }
    }

    /// The changes after `base`, up to `current`, for a conflict answer.
    fn changes_since(&self, base: document::Version, current: document::Version) -> Vec<Change> {
        let mut bytes = 0;
        let mut changes = Vec::new();
        let later = self.changes.iter().rev().skip_while(|it| it.version > current);
        for change in later.take_while(|it| it.version > base) {
            bytes += change.text.len();
            if bytes > MAX_CONFLICT_BYTES {
                break;
            }
            changes.push(change.clone());
        }
        changes.reverse();
        changes
    }
}

/// Checks the lengths of the request ID, the operator's name and the patch.
fn check_request(patch: &Patch) -> Result<(), Verdict> {
    let mut faults = Vec::new();
    for (path, text) in [("request", &patch.request), ("operator", &patch.operator)] {
        if text.is_empty() || text.len() > MAX_ID_BYTES {
            let detail = format_compact!("must have 1 to {MAX_ID_BYTES} bytes");
            faults.push(fault(path, faults::FaultKind::Form, detail));
        }
    }
    if patch.text.len() > MAX_PATCH_BYTES {
        let detail = format_compact!("{} is above the limit {MAX_PATCH_BYTES}", patch.text.len());
        faults.push(fault("patch", faults::FaultKind::Size, detail));
    }
    if faults.is_empty() { Ok(()) } else { Err(invalid(faults)) }
}

/// A fault of a patch. Its texts become part of the replicated state with the stored answer.
fn fault(path: &str, kind: faults::FaultKind, detail: CompactString) -> faults::Fault {
    faults::Fault { path: path.into(), kind, detail }
}

/// A refusal with these faults, cut to the bounds of a stored answer.
fn invalid(mut faults: Vec<faults::Fault>) -> Verdict {
    let more = faults.len().saturating_sub(MAX_FAULTS) as u32;
    faults.truncate(MAX_FAULTS);
    for it in &mut faults {
        shorten(&mut it.path);
        shorten(&mut it.detail);
    }
    Verdict::Invalid { faults, more }
}

/// Truncates a text to `MAX_FAULT_TEXT_BYTES` at a character boundary.
fn shorten(text: &mut CompactString) {
    let mut end = text.len().min(MAX_FAULT_TEXT_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text.truncate(end);
}

fn patch_digest(patch: &Patch) -> [u8; 32] {
    let mut sha = sha2::Sha256::new();
    sha.update(patch.base.0.to_le_bytes());
    sha.update((patch.operator.len() as u64).to_le_bytes());
    sha.update(patch.operator.as_bytes());
    sha.update(patch.text.as_bytes());
    sha.finalize().into()
}

/// Encodes a document as JSON text. A document leaves out absent fields, so a codec without field
/// names cannot decode it.
mod as_json {
    use std::borrow;

    use serde::{Deserialize as _, de};
    use world::document;

    pub(super) fn serialize<S: serde::Serializer>(
        document: &document::Document,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&document::canonical_json(document))
    }

    pub(super) fn deserialize<'de, D: serde::Deserializer<'de>>(
        deserializer: D,
    ) -> Result<document::Document, D::Error> {
        let text = borrow::Cow::<str>::deserialize(deserializer)?;
        serde_json::from_str(&text).map_err(de::Error::custom)
    }
}
