//! Whole documents in place of patches, for operators who number their versions themselves.

use compact_str::{CompactString, format_compact};
use sha2::Digest as _;
use world::{document, faults, patches};

use crate::versions;

/// A document that shall replace the current one.
#[derive(Clone, Debug, PartialEq)]
pub struct Replacement {
    /// The revision that the operator has seen as current; 0 for the first document.
    pub base: u64,
    /// The new document, with its own revision.
    pub document: document::Document,
}

/// What follows from a replacement.
#[derive(Clone, Debug, PartialEq)]
pub enum Plan {
    /// It was judged before, or can be judged without the log.
    Answer(versions::Answer),
    /// It is proposed as this patch.
    Propose(versions::Patch),
}

/// Decides about a replacement, from a state that is known to be current.
///
/// A replacement that is sent again gets its first answer, also after later versions. Its request
/// ID follows from its content, so every control gives it the same one.
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
    let text = patches::between(current, &replacement.document).to_string().into();
    let base = versions.current();
    Plan::Propose(versions::Patch { base, request, text, operator: operator.into() })
}

fn request_id(replacement: &Replacement) -> CompactString {
    let sha = sha2::Sha256::new()
        .chain_update(replacement.base.to_le_bytes())
        .chain_update(document::canonical(&replacement.document))
        .finalize();
    let hex: String = sha.iter().take(16).map(|it| format!("{it:02x}")).collect();
    format_compact!("document-{hex}")
}
