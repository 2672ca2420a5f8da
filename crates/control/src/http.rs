//! The HTTP interface of the operators' port: parses requests and encodes the answers as JSON.

use std::sync;

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use protocol::operators as messages;
use serde::Serialize;
use world::document;

use crate::{operators, ordering, state};

/// Largest body of an operator's request, in bytes: it holds the largest patch and the fields
/// around it.
const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;
/// Versions listed when the request gives no limit.
const DEFAULT_VERSIONS_LIMIT: usize = 100;

/// What a path of the operators' port names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Resource {
    Current,
    Document,
    Nodes,
    Patches,
    Progress(document::Version),
    Quarantine,
    Rollouts,
    Status,
    Targets,
    Version(document::Version),
    Versions,
}

/// Answers a request on the operators' port. All paths but the list of controls need the token, if
/// the settings have one.
pub(crate) async fn handle(
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
    let Some(resource) = Resource::parse(&request.path) else { return unknown_path() };
    if resource == Resource::Patches {
        return match request.method {
            ::http::Method::POST => handle_patch(&state, request).await,
            _ => problem(::http::StatusCode::METHOD_NOT_ALLOWED, "patches are sent with POST"),
        };
    }
    if resource == Resource::Rollouts {
        return handle_rollout(&state, request).await;
    }
    if resource == Resource::Document {
        return handle_document(&state, request).await;
    }
    if request.method != ::http::Method::GET {
        return problem(::http::StatusCode::METHOD_NOT_ALLOWED, "this path takes GET only");
    }
    let needs_read = matches!(resource, Resource::Current | Resource::Status);
    let is_current = needs_read && operators::is_current(&state).await;
    let job = {
        let state = sync::Arc::clone(&state);
        let query = request.query.unwrap_or_default();
        move || read_resource(&state, resource, &query, is_current)
    };
    let answer = state.pool.run(job).await;
    answer.unwrap_or_else(|err| {
        let detail = format_compact!("{err}; send the request again, or ask another control");
        problem(::http::StatusCode::SERVICE_UNAVAILABLE, &detail)
    })
}

async fn handle_patch(
    state: &sync::Arc<state::State>,
    request: web::exchange::Request,
) -> web::exchange::Response {
    let body = match request.body.collect(MAX_BODY_BYTES).await {
        Ok(it) => it,
        Err(err) => return body_problem(&err),
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

/// Shows the current document or replaces it, in the format of the configured dialect.
async fn handle_document(
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
            let body = match request.body.collect(MAX_BODY_BYTES).await {
                Ok(it) => it,
                Err(err) => return body_problem(&err),
            };
            match (dialect.read)(&headers, &body) {
                Ok(it) => (dialect.answer)(&operators::replace(state, it).await),
                Err(detail) => {
                    log::warn!("refused an operator's document, which cannot be read: {detail}");
                    bad_request(&detail)
                }
            }
        }
        _ => problem(::http::StatusCode::METHOD_NOT_ALLOWED, "this path takes GET and PUT only"),
    }
}

/// Orders a rollout or shows the last one of a service, in the format of the configured dialect.
async fn handle_rollout(
    state: &sync::Arc<state::State>,
    request: web::exchange::Request,
) -> web::exchange::Response {
    let dialect = &state.settings.dialect;
    let answer = match request.method {
        ::http::Method::GET => {
            let query = request.query.unwrap_or_default();
            match query_parameter(&query, "service") {
                Some(service) => ordering::show(state, service.into()).await,
                None => messages::RolloutAnswer::Invalid("the query must name a service".into()),
            }
        }
        ::http::Method::POST => match request.body.collect(MAX_BODY_BYTES).await {
            Ok(body) => match (dialect.read_rollout)(&body) {
                Ok(it) => ordering::start(state, it).await,
                Err(detail) => messages::RolloutAnswer::Invalid(detail),
            },
            Err(err) => return body_problem(&err),
        },
        _ => {
            let detail = "this path takes GET and POST only";
            return problem(::http::StatusCode::METHOD_NOT_ALLOWED, detail);
        }
    };
    (dialect.answer_rollout)(&answer)
}

/// Encodes the result of a patch or a replacement, with the HTTP status that belongs to it.
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

fn read_resource(
    state: &state::State,
    resource: Resource,
    query: &str,
    is_current: bool,
) -> web::exchange::Response {
    match resource {
        Resource::Current => match operators::current(state, is_current) {
            Some(it) => json(::http::StatusCode::OK, &it),
            None => not_current(),
        },
        Resource::Nodes => match query_parameter(query, "behind").unwrap_or("false").parse() {
            Ok(behind) => json(::http::StatusCode::OK, &operators::nodes(state, behind)),
            Err(_) => bad_request("behind must be true or false"),
        },
        Resource::Document | Resource::Patches | Resource::Rollouts => unknown_path(),
        Resource::Progress(version) => json_or_not_found(operators::progress(state, version)),
        Resource::Quarantine => json(::http::StatusCode::OK, &operators::quarantine(state)),
        Resource::Status => json(::http::StatusCode::OK, &operators::status(state, is_current)),
        Resource::Targets => json(::http::StatusCode::OK, &operators::targets(state)),
        Resource::Version(version) => json_or_not_found(operators::version(state, version)),
        Resource::Versions => {
            match query_parameter(query, "limit").map_or(Ok(DEFAULT_VERSIONS_LIMIT), str::parse) {
                Ok(limit) => json(::http::StatusCode::OK, &operators::history(state, limit)),
                Err(_) => bad_request("limit must be a whole number"),
            }
        }
    }
}

/// Encodes what was asked about a version, or status 404 when this control does not have it.
fn json_or_not_found<T: Serialize>(value: Option<T>) -> web::exchange::Response {
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

fn bad_request(detail: &str) -> web::exchange::Response {
    problem(::http::StatusCode::BAD_REQUEST, detail)
}

fn body_problem(error: &web::body::Error) -> web::exchange::Response {
    match error {
        web::body::Error::TooLarge { .. } => {
            let detail = format_compact!("{error}; divide the patch into smaller ones");
            problem(::http::StatusCode::PAYLOAD_TOO_LARGE, &detail)
        }
        _ => bad_request(&format_compact!("{error}; send the request again")),
    }
}

fn unknown_path() -> web::exchange::Response {
    problem(
        ::http::StatusCode::NOT_FOUND,
        "there is no such path; docs/operators.md lists the paths",
    )
}

/// Encodes status 503 for a control whose state is not known to be current.
pub(crate) fn not_current() -> web::exchange::Response {
    let detail = "this control has lost the leader and cannot tell which version is current; ask \
                  another control";
    problem(::http::StatusCode::SERVICE_UNAVAILABLE, detail)
}

impl Resource {
    fn parse(path: &str) -> Option<Resource> {
        match path {
            messages::CURRENT_PATH => Some(Resource::Current),
            messages::DOCUMENT_PATH => Some(Resource::Document),
            messages::NODES_PATH => Some(Resource::Nodes),
            messages::PATCHES_PATH => Some(Resource::Patches),
            messages::QUARANTINE_PATH => Some(Resource::Quarantine),
            messages::ROLLOUTS_PATH => Some(Resource::Rollouts),
            messages::STATUS_PATH => Some(Resource::Status),
            messages::TARGETS_PATH => Some(Resource::Targets),
            messages::VERSIONS_PATH => Some(Resource::Versions),
            _ => Resource::parse_version(path),
        }
    }

    fn parse_version(path: &str) -> Option<Resource> {
        let rest = path.strip_prefix(messages::VERSIONS_PATH)?.strip_prefix('/')?;
        let number = rest.strip_suffix("/progress").unwrap_or(rest);
        // The parser of integers would also accept a sign.
        if !number.bytes().all(|it| it.is_ascii_digit()) {
            return None;
        }
        let version = document::Version(number.parse().ok()?);
        let whole = number.len() == rest.len();
        Some(if whole { Resource::Version(version) } else { Resource::Progress(version) })
    }
}

fn is_authorized(state: &state::State, request: &web::exchange::Request) -> bool {
    let Some(token) = &state.settings.token else { return true };
    let header = request.headers.get(::http::header::AUTHORIZATION);
    let sent = header.and_then(|it| it.as_bytes().strip_prefix(b"Bearer "));
    sent.is_some_and(|it| constant_time_eq(it, token.as_bytes()))
}

/// Compares secrets in a time that does not depend on where they differ, so that the time reveals
/// nothing about the token.
fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |all, (a, b)| all | (a ^ b)) == 0
}

fn query_parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|it| it.strip_prefix(name)?.strip_prefix('='))
}

/// Encodes a status other than 200 with an explanation for the operator.
pub(crate) fn problem(status: ::http::StatusCode, detail: &str) -> web::exchange::Response {
    json(status, &messages::Problem { detail: CompactString::from(detail) })
}

/// Encodes a value as a JSON body.
pub(crate) fn json<T: Serialize>(status: ::http::StatusCode, value: &T) -> web::exchange::Response {
    let bytes = serde_json::to_vec(value).expect("the messages have text keys only");
    web::exchange::Response::full(status, &mime::APPLICATION_JSON, Bytes::from(bytes))
}
