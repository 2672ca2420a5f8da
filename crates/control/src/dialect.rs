//! The formats in which operators replace and read whole documents; each front end has its own.

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use protocol::operators;
use replicated::replacement;
use serde::Deserialize;
use world::{document, time};

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
    /// Parses the order of a rollout. The error says what the operator has to correct.
    pub read_rollout: fn(&Bytes) -> Result<operators::RolloutRequest, CompactString>,
    /// Encodes the result of an order, or the state of one.
    pub answer_rollout: fn(&operators::RolloutAnswer) -> web::exchange::Response,
}

/// The HTTP status of the result of an order, with the detail of a failure.
pub fn rollout_status(
    answer: &operators::RolloutAnswer,
) -> Result<&operators::RolloutRecord, (http::StatusCode, &CompactString)> {
    Err(match answer {
        operators::RolloutAnswer::State(it) => return Ok(it),
        operators::RolloutAnswer::Conflict(it) => (http::StatusCode::CONFLICT, it),
        operators::RolloutAnswer::Invalid(it) => (http::StatusCode::BAD_REQUEST, it),
        operators::RolloutAnswer::Unknown(it) => (http::StatusCode::NOT_FOUND, it),
        operators::RolloutAnswer::Unavailable(it) => (http::StatusCode::SERVICE_UNAVAILABLE, it),
    })
}

/// The dialect `heatherwalk`, the project's own front end: JSON with the base revision in a header.
pub const OWN: Dialect = Dialect {
    name: "heatherwalk",
    read: parse_replacement,
    answer: encode_answer,
    show: encode_document,
    read_rollout: parse_rollout,
    answer_rollout: encode_rollout,
};

/// The order of a rollout as JSON.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RolloutOrder {
    service: CompactString,
    target: CompactString,
    /// A number and its unit, as in `12s`.
    over: CompactString,
}

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

fn parse_rollout(body: &Bytes) -> Result<operators::RolloutRequest, CompactString> {
    let order: RolloutOrder =
        serde_json::from_slice(body).map_err(|err| format_compact!("{err}"))?;
    let RolloutOrder { service, target, over } = order;
    let over_ms = time::parse_millis(&over)
        .ok_or_else(|| format_compact!("over is {over:?}, not a time such as 12s"))?;
    Ok(operators::RolloutRequest { service, target, over_ms: over_ms.into() })
}

fn encode_rollout(answer: &operators::RolloutAnswer) -> web::exchange::Response {
    match rollout_status(answer) {
        Ok(it) => crate::http::json(http::StatusCode::OK, it),
        Err((status, detail)) => crate::http::problem(status, detail),
    }
}
