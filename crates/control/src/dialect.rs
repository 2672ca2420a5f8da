//! The formats in which operators replace and read whole documents; each front end has its own.

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use protocol::operators;
use replicated::replacement;
use world::document;

/// The header with the revision that a document was written against.
const BASE_HEADER: &str = "heatherwalk-base";

/// The encoding of one front end for whole documents. It only translates; the decisions are the
/// same for all front ends.
#[derive(Clone, Copy)]
pub struct Dialect {
    /// The value of the setting `dialect` that selects this front end.
    pub name: &'static str,
    /// Parses a request to replace the current document. The error says what the operator has to
    /// correct.
    pub read: fn(&http::HeaderMap, &Bytes) -> Result<replacement::Replacement, CompactString>,
    /// Encodes the result of a replacement.
    pub answer: fn(&operators::PatchAnswer) -> web::exchange::Response,
    /// Encodes the current document; `None` stands for a control that cannot tell which version is
    /// current.
    pub show: fn(Option<&operators::VersionDocument>) -> web::exchange::Response,
}

/// The dialect `heatherwalk`, the project's own front end: JSON with the base revision in a header.
pub const OWN: Dialect = Dialect {
    name: "heatherwalk",
    read: parse_replacement,
    answer: encode_answer,
    show: encode_document,
};

fn parse_replacement(
    headers: &http::HeaderMap,
    body: &Bytes,
) -> Result<replacement::Replacement, CompactString> {
    let base = headers.get(BASE_HEADER).and_then(|it| it.to_str().ok()?.parse().ok());
    let base = base.ok_or("heatherwalk-base must name the revision that the document replaces")?;
    let value = serde_json::from_slice(body).map_err(|err| format_compact!("{err}"))?;
    let document = document::parse(&value).map_err(|it| format_compact!("{it:?}"))?;
    Ok(replacement::Replacement { base, document, unknown: Vec::new() })
}

fn encode_answer(answer: &operators::PatchAnswer) -> web::exchange::Response {
    crate::http::patch_answer(answer)
}

fn encode_document(document: Option<&operators::VersionDocument>) -> web::exchange::Response {
    match document {
        Some(it) => crate::http::json(http::StatusCode::OK, it),
        None => crate::http::not_current(),
    }
}
