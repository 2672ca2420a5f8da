//! The operators' HTTP port and the metrics page.

use std::sync;

use bytes::Bytes;
use compact_str::CompactString;
use protocol::operators as messages;
use serde::Serialize;
use world::document;

use crate::{operators, state};

/// The largest body of an operator's request: a patch and what stands around it.
const MAX_BODY: usize = 2 * 1024 * 1024;
/// Versions in an answer when the operator gives no limit.
const DEFAULT_LIMIT: usize = 100;

/// Answers one request of an operator.
pub(crate) async fn answer(
    state: sync::Arc<state::State>,
    request: web::exchange::Request,
) -> web::exchange::Answer {
    if !is_authorized(&state, &request) {
        let detail = "the header authorization must be \"Bearer TOKEN\" with the control's token";
        return problem(::http::StatusCode::UNAUTHORIZED, detail);
    }
    if request.path == messages::PATCHES_PATH {
        return match request.method {
            ::http::Method::POST => patch(&state, request).await,
            _ => problem(::http::StatusCode::METHOD_NOT_ALLOWED, "patches are sent with POST"),
        };
    }
    if request.method != ::http::Method::GET {
        return problem(::http::StatusCode::METHOD_NOT_ALLOWED, "this path takes GET only");
    }
    let asks = matches!(request.path.as_str(), messages::CURRENT_PATH | messages::STATUS_PATH);
    let is_current = asks && operators::is_current(&state).await;
    let job = {
        let state = sync::Arc::clone(&state);
        let query = request.query.unwrap_or_default();
        move || read(&state, &request.path, &query, is_current)
    };
    let answer = state.pool.run(job).await;
    answer.unwrap_or_else(|err| problem(::http::StatusCode::SERVICE_UNAVAILABLE, &err.to_string()))
}

async fn patch(
    state: &sync::Arc<state::State>,
    request: web::exchange::Request,
) -> web::exchange::Answer {
    let body = match request.body.whole(MAX_BODY).await {
        Ok(it) => it,
        Err(err) => return web::exchange::Answer::refuse_body(&err),
    };
    let patch: messages::PatchRequest = match serde_json::from_slice(&body) {
        Ok(it) => it,
        Err(err) => return problem(::http::StatusCode::BAD_REQUEST, &err.to_string()),
    };
    let answer = operators::patch(state, patch).await;
    let status = match &answer {
        messages::PatchAnswer::Accepted { .. } => ::http::StatusCode::OK,
        messages::PatchAnswer::Conflict { .. } | messages::PatchAnswer::RequestReused => {
            ::http::StatusCode::CONFLICT
        }
        messages::PatchAnswer::Invalid { .. } => ::http::StatusCode::UNPROCESSABLE_ENTITY,
        messages::PatchAnswer::Unavailable { .. } => ::http::StatusCode::SERVICE_UNAVAILABLE,
    };
    json(status, &answer)
}

fn read(state: &state::State, path: &str, query: &str, is_current: bool) -> web::exchange::Answer {
    match path {
        messages::CURRENT_PATH => match operators::current(state, is_current) {
            Some(it) => json(::http::StatusCode::OK, &it),
            None => not_current(),
        },
        messages::NODES_PATH => {
            let only_behind = parameter(query, "behind") == Some("true");
            json(::http::StatusCode::OK, &operators::nodes(state, only_behind))
        }
        messages::QUARANTINE_PATH => json(::http::StatusCode::OK, &operators::quarantine(state)),
        messages::STATUS_PATH => {
            json(::http::StatusCode::OK, &operators::status(state, is_current))
        }
        messages::TARGETS_PATH => json(::http::StatusCode::OK, &operators::targets(state)),
        messages::VERSIONS_PATH => {
            let limit = parameter(query, "limit").map_or(Ok(DEFAULT_LIMIT), str::parse);
            match limit {
                Ok(limit) => json(::http::StatusCode::OK, &operators::history(state, limit)),
                Err(_) => problem(::http::StatusCode::BAD_REQUEST, "limit must be a whole number"),
            }
        }
        _ => read_version(state, path),
    }
}

fn read_version(state: &state::State, path: &str) -> web::exchange::Answer {
    let rest = path.strip_prefix(messages::VERSIONS_PATH).and_then(|it| it.strip_prefix('/'));
    let Some(rest) = rest else { return unknown_path() };
    let (number, progress) = match rest.strip_suffix("/progress") {
        Some(number) => (number, true),
        None => (rest, false),
    };
    let Ok(number) = number.parse() else { return unknown_path() };
    let version = document::Version(number);
    let answer = if progress {
        operators::progress(state, version).map(|it| json(::http::StatusCode::OK, &it))
    } else {
        operators::version(state, version).map(|it| json(::http::StatusCode::OK, &it))
    };
    answer.unwrap_or_else(|| {
        let detail = "this control does not have the version: it does not exist yet, or the \
                      history no longer reaches back to it";
        problem(::http::StatusCode::NOT_FOUND, detail)
    })
}

fn unknown_path() -> web::exchange::Answer {
    problem(::http::StatusCode::NOT_FOUND, "there is no such path")
}

fn not_current() -> web::exchange::Answer {
    let detail = "this control has lost the leader and cannot tell which version is current; ask \
                  another control";
    problem(::http::StatusCode::SERVICE_UNAVAILABLE, detail)
}

fn is_authorized(state: &state::State, request: &web::exchange::Request) -> bool {
    let header = request.headers.get(::http::header::AUTHORIZATION);
    let token = header.and_then(|it| it.as_bytes().strip_prefix(b"Bearer "));
    token.is_some_and(|it| is_equal(it, state.settings.token.as_bytes()))
}

/// Compares in a time that does not depend on where the texts differ.
fn is_equal(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |all, (a, b)| all | (a ^ b)) == 0
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|it| it.strip_prefix(name)?.strip_prefix('='))
}

fn problem(status: ::http::StatusCode, detail: &str) -> web::exchange::Answer {
    json(status, &messages::Problem { detail: CompactString::from(detail) })
}

fn json<T: Serialize>(status: ::http::StatusCode, value: &T) -> web::exchange::Answer {
    let bytes = serde_json::to_vec(value).expect("the messages have text keys only");
    web::exchange::Answer::full(status, &mime::APPLICATION_JSON, Bytes::from(bytes))
}
