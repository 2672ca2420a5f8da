//! How operators who replace whole documents write them: what differs between front ends.

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use protocol::operators;
use replicated::replacement;
use world::document;

/// Names the revision that a document was written against.
const BASE: &str = "heatherwalk-base";

/// How one front end's operators write documents. It decides nothing.
#[derive(Clone, Copy)]
pub struct Dialect {
    /// The name in settings.
    pub name: &'static str,
    /// Reads a document that shall replace the current one, or says why it cannot be read.
    pub read: fn(&http::HeaderMap, &Bytes) -> Result<replacement::Replacement, CompactString>,
    /// Writes what became of it.
    pub answer: fn(&operators::PatchAnswer) -> web::exchange::Answer,
    /// Writes the current document; none when this control cannot tell which one is current.
    pub show: fn(Option<&operators::VersionDocument>) -> web::exchange::Answer,
}

/// The project's own front end.
pub const OWN: Dialect =
    Dialect { name: "heatherwalk", read: read_own, answer: answer_own, show: show_own };

fn read_own(
    headers: &http::HeaderMap,
    body: &Bytes,
) -> Result<replacement::Replacement, CompactString> {
    let base = headers.get(BASE).and_then(|it| it.to_str().ok()?.parse().ok());
    let base = base.ok_or("heatherwalk-base must name the revision that the document replaces")?;
    let value = serde_json::from_slice(body).map_err(|err| format_compact!("{err}"))?;
    let document = document::parse(&value).map_err(|it| format_compact!("{it:?}"))?;
    Ok(replacement::Replacement { base, document })
}

fn answer_own(answer: &operators::PatchAnswer) -> web::exchange::Answer {
    crate::http::patch_answer(answer)
}

fn show_own(document: Option<&operators::VersionDocument>) -> web::exchange::Answer {
    match document {
        Some(it) => crate::http::json(http::StatusCode::OK, it),
        None => crate::http::not_current(),
    }
}
