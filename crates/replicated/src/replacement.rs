//! Replacement of the whole configuration document, for operators who number revisions themselves.

use compact_str::{CompactString, format_compact};
use sha2::Digest as _;
use world::{document, faults, patches};

use crate::versions;

/// A request to replace the current document.
#[derive(Clone, Debug, PartialEq)]
pub struct Replacement {
    /// The revision that the operator expects to be current; 0 before the first document.
    pub base: u64,
    /// The new document. Its revision must be above the current one.
    pub document: document::Document,
    /// Values of the document that its front end keeps and does not know.
    pub unknown: Vec<Unknown>,
}

/// A value that a front end has not met before. It has the most careful meaning that its place
/// allows, and is shown again as it was written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Unknown {
    /// The value as it was written.
    pub value: CompactString,
    /// The first field of the document that holds the value.
    pub place: CompactString,
}

/// How to proceed with a replacement.
#[derive(Clone, Debug, PartialEq)]
pub enum Plan {
    /// Reply with this answer: it is stored from an earlier request, or needs no log entry.
    Answer(versions::Answer),
    /// Propose this patch, which turns the current document into the new one.
    Propose(versions::Patch),
}

/// Decides how to proceed with a replacement. `versions` must be up to date, as after a confirmed
/// read.
///
/// A resent replacement gets its first answer, even after later versions: its request ID is derived
/// from its content, so every control derives the same one. A wrong base is answered with a
/// conflict that lists no changes, and a revision that does not increase with a fault.
pub fn plan(versions: &versions::Versions, replacement: &Replacement, operator: &str) -> Plan {
    let request = request_id(replacement);
    if let Some(answer) = versions.stored_answer(&request) {
        return Plan::Answer(answer);
    }
    let current = versions.document();
    if replacement.document.revision <= current.revision && replacement.base == current.revision {
        let detail = format_compact!(
            "{} is not above the current revision {}",
            replacement.document.revision,
            current.revision,
        );
        let kind = faults::FaultKind::Range;
        let fault = faults::Fault { path: "revision".into(), kind, detail };
        return Plan::Answer(versions::Answer::Invalid { faults: vec![fault], more: 0 });
    }
    if replacement.base != current.revision {
        let current = versions.current();
        return Plan::Answer(versions::Answer::Conflict { current, since: Vec::new() });
    }
    let text = patches::diff(current, &replacement.document).to_string().into();
    let base = versions.current();
    Plan::Propose(versions::Patch { base, request, text, operator: operator.into() })
}

/// The request ID of a replacement: a hash of its base and its document.
fn request_id(replacement: &Replacement) -> CompactString {
    let sha = sha2::Sha256::new()
        .chain_update(replacement.base.to_le_bytes())
        .chain_update(document::canonical_json(&replacement.document))
        .finalize();
    let hex: String = sha.iter().take(16).map(|it| format!("{it:02x}")).collect();
    format_compact!("document-{hex}")
}
