//! Versions of the configuration and the operators' patches that made them.

use std::{collections, sync};

use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};
use sha2::Digest as _;
use world::{document, faults};

use crate::{clock, mechanisms};

/// Answers kept by request ID: at least five days at the target's 19,000 changes a day.
pub const MAX_ANSWERS: usize = 100_000;
/// Changes kept in the history. A relay's window of deltas is filled from it after a restart.
pub const MAX_CHANGES: usize = 1_024;
/// Bytes of patch text kept in the history.
pub const MAX_CHANGES_BYTES: usize = 16 * 1024 * 1024;
/// The largest patch in bytes: the limit of a request's body at the operator port.
pub const MAX_PATCH_BYTES: usize = 1024 * 1024;
/// Bytes of patch text in one conflict answer, which has to fit into a frame.
pub const MAX_CONFLICT_BYTES: usize = 1024 * 1024;
/// The longest request ID or operator name, in bytes.
pub const MAX_ID_BYTES: usize = 128;
/// Faults listed in one answer. Answers are kept, so their size must have a bound.
pub const MAX_FAULTS: usize = 32;
/// Bytes kept of each text in a fault.
pub const MAX_FAULT_TEXT_BYTES: usize = 256;
/// Services whose home is remembered, removed ones included.
pub const MAX_HOMES: usize = 65_536;

/// An operator's change of the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Patch {
    /// The version that the patch was written against.
    pub base: document::Version,
    /// The operator's ID of this request, the same when it is sent again.
    pub request: CompactString,
    /// The JSON Merge Patch as text.
    pub text: sync::Arc<str>,
    /// Who sent it.
    pub operator: CompactString,
}

/// An entry of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Command {
    /// The leader's wall clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The highest feature level that every attached process knows.
    pub level: u32,
    /// The change.
    pub patch: Patch,
}

/// An accepted change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// The version that the change made.
    pub version: document::Version,
    /// The digest of that version.
    pub digest: document::DocumentDigest,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Who made it.
    pub operator: CompactString,
    /// The JSON Merge Patch from the version before.
    pub text: sync::Arc<str>,
}

/// What became of a patch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Answer {
    /// The patch made this version.
    Accepted {
        /// The new version.
        version: document::Version,
        /// The digest of its document.
        digest: document::DocumentDigest,
    },
    /// The patch was written against another version than the current one.
    Conflict {
        /// The current version when the patch was judged.
        current: document::Version,
        /// The latest changes after the base, oldest first, as far as they are kept and fit.
        since: Vec<Change>,
    },
    /// The candidate has faults.
    Invalid {
        /// The first faults.
        faults: Vec<faults::Fault>,
        /// How many more there are.
        more: u32,
    },
    /// The request ID belongs to a different patch.
    RequestReused,
    /// The state already contains the log entry.
    AlreadyApplied,
}

/// An answer as it is kept. The changes of a conflict are read from the history again.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
enum Verdict {
    Accepted { version: document::Version, digest: document::DocumentDigest },
    Conflict { base: document::Version, current: document::Version },
    Invalid { faults: Vec<faults::Fault>, more: u32 },
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Kept {
    body: [u8; 32],
    verdict: Verdict,
}

/// The replicated versions.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Versions {
    applied: u64,
    clock: clock::Clock,
    current: document::Version,
    digest: document::DocumentDigest,
    #[serde(with = "as_text")]
    document: document::Document,
    /// The document before the first of `changes`.
    #[serde(with = "as_text")]
    oldest: document::Document,
    changes: collections::VecDeque<Change>,
    changes_bytes: usize,
    answers: collections::BTreeMap<CompactString, Kept>,
    answer_order: collections::VecDeque<CompactString>,
    homes: collections::BTreeMap<CompactString, Option<CompactString>>,
    #[serde(skip)]
    mechanisms: mechanisms::Mechanisms,
}

impl Versions {
    /// Switches mechanisms, for tests.
    pub fn set_mechanisms(&mut self, mechanisms: mechanisms::Mechanisms) {
        self.mechanisms = mechanisms;
    }

    /// Applies the committed entry at `index`.
    pub fn apply(&mut self, index: u64, command: &Command) -> Answer {
        if index <= self.applied {
            return Answer::AlreadyApplied;
        }
        self.applied = index;
        let at_ms = self.clock.advance(command.at_ms);
        let patch = &command.patch;
        if let Some(answer) = self.remembered(patch) {
            return answer;
        }
        let verdict = match self.judge(patch, command.level) {
            Ok(candidate) => self.accept(patch, candidate, at_ms),
            Err(verdict) => verdict,
        };
        let answer = self.answer(&verdict);
        self.remember(patch, verdict);
        answer
    }

    /// The answer that `patch` would get now. A leader proposes refused patches as well: only what
    /// is in the log gives a resend the first answer.
    pub fn preview(&self, patch: &Patch, level: u32) -> Answer {
        if let Some(answer) = self.remembered(patch) {
            return answer;
        }
        let verdict = match self.judge(patch, level) {
            Ok(candidate) => {
                Verdict::Accepted { version: self.current.next(), digest: candidate.digest() }
            }
            Err(verdict) => verdict,
        };
        self.answer(&verdict)
    }

    /// The answer that the log holds for a request ID.
    pub fn stored_answer(&self, request: &str) -> Option<Answer> {
        Some(self.answer(&self.answers.get(request)?.verdict))
    }

    /// The index of the last entry applied.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The current version.
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

    /// The document of a version, while the history reaches back to it.
    pub fn document_at(&self, version: document::Version) -> Option<document::Document> {
        let first = self.changes.front().map_or(self.current.next(), |it| it.version);
        if version > self.current || version.next() < first {
            return None;
        }
        let earlier = self.changes.iter().take_while(|it| it.version <= version);
        document::replay(&self.oldest, earlier.map(|it| &*it.text)).ok()
    }

    /// The changes that are kept, oldest first.
    pub fn changes(&self) -> impl DoubleEndedIterator<Item = &Change> {
        self.changes.iter()
    }

    fn remembered(&self, patch: &Patch) -> Option<Answer> {
        if !self.mechanisms.request_dedup {
            return None;
        }
        let kept = self.answers.get(&patch.request)?;
        if kept.body != body_digest(patch) {
            return Some(Answer::RequestReused);
        }
        Some(self.answer(&kept.verdict))
    }

    fn judge(&self, patch: &Patch, level: u32) -> Result<document::Applied, Verdict> {
        check_form(patch)?;
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

    fn check_homes(&self, candidate: &document::Document) -> Vec<faults::Fault> {
        let mut faults = Vec::new();
        if !self.mechanisms.fixed_homes {
            return faults;
        }
        let mut count = self.homes.len();
        for (name, spec) in &candidate.services {
            let Some(home) = self.homes.get(name) else {
                count += 1;
                continue;
            };
            // A service without a home has no claims yet, so it can still get one.
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

    fn accept(&mut self, patch: &Patch, applied: document::Applied, at_ms: u64) -> Verdict {
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

    fn remember(&mut self, patch: &Patch, verdict: Verdict) {
        if patch.request.len() > MAX_ID_BYTES {
            return;
        }
        let kept = Kept { body: body_digest(patch), verdict };
        if self.answers.insert(patch.request.clone(), kept).is_none() {
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
                Answer::Conflict { current, since: self.since(base, current) }
            }
            Verdict::Invalid { faults, more } => {
                Answer::Invalid { faults: faults.clone(), more: *more }
            }
        }
    }

    fn since(&self, base: document::Version, current: document::Version) -> Vec<Change> {
        let mut bytes = 0;
        let mut list = Vec::new();
        let later = self.changes.iter().rev().skip_while(|it| it.version > current);
        for change in later.take_while(|it| it.version > base) {
            bytes += change.text.len();
            if bytes > MAX_CONFLICT_BYTES {
                break;
            }
            list.push(change.clone());
        }
        list.reverse();
        list
    }
}

fn check_form(patch: &Patch) -> Result<(), Verdict> {
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

fn fault(path: &str, kind: faults::FaultKind, detail: CompactString) -> faults::Fault {
    faults::Fault { path: path.into(), kind, detail }
}

fn invalid(mut faults: Vec<faults::Fault>) -> Verdict {
    let more = faults.len().saturating_sub(MAX_FAULTS) as u32;
    faults.truncate(MAX_FAULTS);
    for it in &mut faults {
        shorten(&mut it.path);
        shorten(&mut it.detail);
    }
    Verdict::Invalid { faults, more }
}

fn shorten(text: &mut CompactString) {
    let mut end = text.len().min(MAX_FAULT_TEXT_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text.truncate(end);
}

fn body_digest(patch: &Patch) -> [u8; 32] {
    let mut sha = sha2::Sha256::new();
    sha.update(patch.base.0.to_le_bytes());
    sha.update((patch.operator.len() as u64).to_le_bytes());
    sha.update(patch.operator.as_bytes());
    sha.update(patch.text.as_bytes());
    sha.finalize().into()
}

/// A document leaves out absent fields, which a codec without field names cannot read back. It is
/// therefore stored as JSON text.
mod as_text {
    use std::borrow;

    use serde::{Deserialize as _, de};
    use world::document;

    pub(super) fn serialize<S: serde::Serializer>(
        document: &document::Document,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&document::canonical(document))
    }

    pub(super) fn deserialize<'de, D: serde::Deserializer<'de>>(
        deserializer: D,
    ) -> Result<document::Document, D::Error> {
        let text = borrow::Cow::<str>::deserialize(deserializer)?;
        serde_json::from_str(&text).map_err(de::Error::custom)
    }
}
