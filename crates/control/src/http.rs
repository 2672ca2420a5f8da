//! The operators' HTTP port and the metrics page.

use std::sync;

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use protocol::operators as messages;
use serde::Serialize;
use world::document;

use crate::{operators, state};

/// The largest body of an operator's request: a patch and what stands around it.
const MAX_BODY: usize = 2 * 1024 * 1024;
/// Versions in an answer when the operator gives no limit.
const DEFAULT_LIMIT: usize = 100;

/// A path of the operators' port.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Place {
    Current,
    Document,
    Nodes,
    Patches,
    Progress(document::Version),
    Quarantine,
    Status,
    Targets,
    Version(document::Version),
    Versions,
}

/// Answers one request of an operator.
pub(crate) async fn answer(
    state: sync::Arc<state::State>,
    request: web::exchange::Request,
) -> web::exchange::Response {
    if request.path == messages::HOSTS_PATH {
        return json(::http::StatusCode::OK, &operators::hosts(&state));
    }
    if !is_authorized(&state, &request) {
        let detail = "the header authorization must be \"Bearer TOKEN\" with the control's token";
        return problem(::http::StatusCode::UNAUTHORIZED, detail);
    }
    let Some(place) = Place::find(&request.path) else { return unknown_path() };
    if place == Place::Patches {
        return match request.method {
            ::http::Method::POST => patch(&state, request).await,
            _ => problem(::http::StatusCode::METHOD_NOT_ALLOWED, "patches are sent with POST"),
        };
    }
    if place == Place::Document {
        return document(&state, request).await;
    }
    if request.method != ::http::Method::GET {
        return problem(::http::StatusCode::METHOD_NOT_ALLOWED, "this path takes GET only");
    }
    let asks = matches!(place, Place::Current | Place::Status);
    let is_current = asks && operators::is_current(&state).await;
    let job = {
        let state = sync::Arc::clone(&state);
        let query = request.query.unwrap_or_default();
        move || read(&state, place, &query, is_current)
    };
    let answer = state.pool.run(job).await;
    answer.unwrap_or_else(|err| {
        let detail = format_compact!("{err}; send the request again, or ask another control");
        problem(::http::StatusCode::SERVICE_UNAVAILABLE, &detail)
    })
}

async fn patch(
    state: &sync::Arc<state::State>,
    request: web::exchange::Request,
) -> web::exchange::Response {
    let body = match request.body.collect(MAX_BODY).await {
        Ok(it) => it,
        Err(err) => return refuse_body(&err),
    };
    let patch: messages::PatchRequest = match serde_json::from_slice(&body) {
        Ok(it) => it,
        Err(err) => {
            let detail = format_compact!(
                "the body is not a patch request: {err}; send base, request_id, operator and patch"
            );
            return problem(::http::StatusCode::BAD_REQUEST, &detail);
        }
    };
    patch_answer(&operators::patch(state, patch).await)
}

/// Replaces or shows the whole document.
async fn document(
    state: &sync::Arc<state::State>,
    request: web::exchange::Request,
) -> web::exchange::Response {
    let dialect = &state.settings.dialect;
    match request.method {
        ::http::Method::GET => {
            let is_current = operators::is_current(state).await;
            let shared = sync::Arc::clone(state);
            let job = move || operators::current(&shared, is_current);
            (dialect.show)(state.pool.run(job).await.ok().flatten().as_ref())
        }
        ::http::Method::PUT => {
            let headers = request.headers;
            let body = match request.body.collect(MAX_BODY).await {
                Ok(it) => it,
                Err(err) => return refuse_body(&err),
            };
            match (dialect.read)(&headers, &body) {
                Ok(it) => (dialect.answer)(&operators::replace(state, it).await),
                Err(detail) => {
                    log::warn!("a document of an operator was refused: {detail}");
                    malformed(&detail)
                }
            }
        }
        _ => problem(::http::StatusCode::METHOD_NOT_ALLOWED, "this path takes GET and PUT only"),
    }
}

/// What became of a patch, as an answer.
pub(crate) fn patch_answer(answer: &messages::PatchAnswer) -> web::exchange::Response {
    let status = match answer {
        messages::PatchAnswer::Accepted { .. } => ::http::StatusCode::OK,
        messages::PatchAnswer::Conflict { .. } | messages::PatchAnswer::RequestReused => {
            ::http::StatusCode::CONFLICT
        }
        messages::PatchAnswer::Invalid { .. } => ::http::StatusCode::UNPROCESSABLE_ENTITY,
        messages::PatchAnswer::Unavailable { .. } => ::http::StatusCode::SERVICE_UNAVAILABLE,
    };
    json(status, answer)
}

fn read(
    state: &state::State,
    place: Place,
    query: &str,
    is_current: bool,
) -> web::exchange::Response {
    match place {
        Place::Current => match operators::current(state, is_current) {
            Some(it) => json(::http::StatusCode::OK, &it),
            None => not_current(),
        },
        Place::Nodes => match parameter(query, "behind").unwrap_or("false").parse() {
            Ok(behind) => json(::http::StatusCode::OK, &operators::nodes(state, behind)),
            Err(_) => malformed("behind must be true or false"),
        },
        Place::Document | Place::Patches => unknown_path(),
        Place::Progress(version) => found(operators::progress(state, version)),
        Place::Quarantine => json(::http::StatusCode::OK, &operators::quarantine(state)),
        Place::Status => json(::http::StatusCode::OK, &operators::status(state, is_current)),
        Place::Targets => json(::http::StatusCode::OK, &operators::targets(state)),
        Place::Version(version) => found(operators::version(state, version)),
        Place::Versions => match parameter(query, "limit").map_or(Ok(DEFAULT_LIMIT), str::parse) {
            Ok(limit) => json(::http::StatusCode::OK, &operators::history(state, limit)),
            Err(_) => malformed("limit must be a whole number"),
        },
    }
}

/// A version, or what is asked about one.
fn found<T: Serialize>(value: Option<T>) -> web::exchange::Response {
    match value {
        Some(value) => json(::http::StatusCode::OK, &value),
        None => {
            let detail = "this control does not have the version: it does not exist yet, or the \
                          history no longer reaches back to it; list the versions with GET \
                          /v1/versions";
            problem(::http::StatusCode::NOT_FOUND, detail)
        }
    }
}

fn malformed(detail: &str) -> web::exchange::Response {
    problem(::http::StatusCode::BAD_REQUEST, detail)
}

fn refuse_body(error: &web::body::Error) -> web::exchange::Response {
    match error {
        web::body::Error::TooLarge { .. } => {
            let detail = format_compact!("{error}; divide the patch into smaller ones");
            problem(::http::StatusCode::PAYLOAD_TOO_LARGE, &detail)
        }
        _ => malformed(&format_compact!("{error}; send the request again")),
    }
}

fn unknown_path() -> web::exchange::Response {
    problem(
        ::http::StatusCode::NOT_FOUND,
        "there is no such path; docs/operators.md lists the paths",
    )
}

pub(crate) fn not_current() -> web::exchange::Response {
    let detail = "this control has lost the leader and cannot tell which version is current; ask \
                  another control";
    problem(::http::StatusCode::SERVICE_UNAVAILABLE, detail)
}

impl Place {
    fn find(path: &str) -> Option<Place> {
        match path {
            messages::CURRENT_PATH => Some(Place::Current),
            messages::DOCUMENT_PATH => Some(Place::Document),
            messages::NODES_PATH => Some(Place::Nodes),
            messages::PATCHES_PATH => Some(Place::Patches),
            messages::QUARANTINE_PATH => Some(Place::Quarantine),
            messages::STATUS_PATH => Some(Place::Status),
            messages::TARGETS_PATH => Some(Place::Targets),
            messages::VERSIONS_PATH => Some(Place::Versions),
            _ => Place::find_version(path),
        }
    }

    fn find_version(path: &str) -> Option<Place> {
        let rest = path.strip_prefix(messages::VERSIONS_PATH)?.strip_prefix('/')?;
        let number = rest.strip_suffix("/progress").unwrap_or(rest);
        // Parsing alone would also take a sign.
        if !number.bytes().all(|it| it.is_ascii_digit()) {
            return None;
        }
        let version = document::Version(number.parse().ok()?);
        let whole = number.len() == rest.len();
        Some(if whole { Place::Version(version) } else { Place::Progress(version) })
    }
}

fn is_authorized(state: &state::State, request: &web::exchange::Request) -> bool {
    let Some(token) = &state.settings.token else { return true };
    let header = request.headers.get(::http::header::AUTHORIZATION);
    let sent = header.and_then(|it| it.as_bytes().strip_prefix(b"Bearer "));
    sent.is_some_and(|it| is_equal(it, token.as_bytes()))
}

/// Compares in a time that does not depend on where the texts differ.
fn is_equal(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |all, (a, b)| all | (a ^ b)) == 0
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|it| it.strip_prefix(name)?.strip_prefix('='))
}

fn problem(status: ::http::StatusCode, detail: &str) -> web::exchange::Response {
    json(status, &messages::Problem { detail: CompactString::from(detail) })
}

pub(crate) fn json<T: Serialize>(status: ::http::StatusCode, value: &T) -> web::exchange::Response {
    let bytes = serde_json::to_vec(value).expect("the messages have text keys only");
    web::exchange::Response::full(status, &mime::APPLICATION_JSON, Bytes::from(bytes))
}
