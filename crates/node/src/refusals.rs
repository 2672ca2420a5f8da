//! Answers that the node gives instead of a backend server, and whether the request ran.

use std::time;

use compact_str::{CompactString, format_compact};
use replicated::claims;
use world::document;

use crate::{headers, sending};

/// An answer for the caller, or the node's refusal.
pub(crate) type Result<T, E = Refusal> = std::result::Result<T, E>;

/// The time after which a caller is asked to retry when the node has no memory for its body. Most
/// bodies are passed on within it.
const NO_MEMORY_RETRY: time::Duration = time::Duration::from_millis(200);

/// The time after which a caller is asked to retry when the node's version may be old. The node asks
/// its control meanwhile, over a link that may be busy.
const OLD_VERSION_RETRY: time::Duration = time::Duration::from_millis(100);

/// The time after which a caller is asked to retry when the node has no version yet. A node that
/// starts has one within a second; callers that come back at once use up their retries before.
const NO_VERSION_RETRY: time::Duration = time::Duration::from_millis(300);

/// Whether a request ran that a backend server did not answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunStatus {
    /// The request was certainly not run.
    Not,
    /// The request may have run, in full or in part.
    Unknown,
}

/// An answer that the node gives instead of a backend server.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// The HTTP status that the node's own dialect answers with.
    pub status: http::StatusCode,
    /// Whether the request ran.
    pub run: RunStatus,
    /// The reason in one word.
    pub reason: &'static str,
    /// The reason for a reader, with what the caller can do.
    pub detail: CompactString,
    /// The time after which a retry may find a free slot, if it is known.
    pub retry_after: Option<time::Duration>,
    /// The version of the configuration that does not allow the request; none when the refusal does
    /// not depend on the configuration.
    pub version: Option<document::Version>,
}

impl Refusal {
    fn not_run(status: http::StatusCode, reason: &'static str, detail: &str) -> Refusal {
        Refusal {
            status,
            run: RunStatus::Not,
            reason,
            detail: detail.into(),
            retry_after: None,
            version: None,
        }
    }

    /// Marks the refusal as one that another version of the configuration may not give.
    fn by_version(mut self, version: document::Version) -> Refusal {
        self.version = Some(version);
        self
    }

    /// Sets the time after which the caller may retry.
    pub(crate) fn with_retry_after(mut self, pause: time::Duration) -> Refusal {
        self.retry_after = Some(pause);
        self
    }
}

pub(crate) fn overloaded() -> Refusal {
    let detail = "the worker queue of this node is full; send the request again";
    Refusal::not_run(http::StatusCode::SERVICE_UNAVAILABLE, "overloaded", detail)
}

pub(crate) fn no_version() -> Refusal {
    let detail = "this node has no configuration yet; send the request again";
    let status = http::StatusCode::SERVICE_UNAVAILABLE;
    Refusal::not_run(status, "no-version", detail).with_retry_after(NO_VERSION_RETRY)
}

/// The refusal when the node's version may be old: another one may send the request elsewhere, or
/// allow it.
pub(crate) fn old_version() -> Refusal {
    let detail = "this node has not heard for a while whether its configuration is the latest; \
                  send the request again";
    let status = http::StatusCode::SERVICE_UNAVAILABLE;
    Refusal::not_run(status, "old-version", detail).with_retry_after(OLD_VERSION_RETRY)
}

pub(crate) fn no_route(version: document::Version) -> Refusal {
    let detail = "no route has this path; check the path, or have an operator add a route";
    Refusal::not_run(http::StatusCode::NOT_FOUND, "no-route", detail).by_version(version)
}

/// The refusal of a request that has no API key of a team of `version`.
pub(crate) fn no_team(version: document::Version) -> Refusal {
    let detail = "the request needs the API key of a team: authorization: Bearer KEY";
    Refusal::not_run(http::StatusCode::UNAUTHORIZED, "no-team", detail).by_version(version)
}

/// The refusal of a request beyond the quota of its team.
pub(crate) fn quota_exhausted(pause: time::Duration) -> Refusal {
    let detail = "the quota of the team is used up; send the request again after the given time";
    Refusal::not_run(http::StatusCode::TOO_MANY_REQUESTS, "quota", detail).with_retry_after(pause)
}

/// The refusal of a request when the node has no token, and no control says whether there is one.
pub(crate) fn quota_unknown(pause: time::Duration) -> Refusal {
    let detail = "this node cannot tell now whether the quota of the team is used up; send the \
                  request again";
    let status = http::StatusCode::SERVICE_UNAVAILABLE;
    Refusal::not_run(status, "quota-unknown", detail).with_retry_after(pause)
}

/// The refusal of a request whose API key cannot be read.
pub(crate) fn bad_key_field(detail: &str) -> Refusal {
    Refusal::not_run(http::StatusCode::BAD_REQUEST, "bad-api-key", detail)
}

/// The refusal of a call whose parent request is not known. Its team is not known either, and
/// nobody waits for the call if the parent has ended.
pub(crate) fn orphaned_call() -> Refusal {
    let detail = "this node's backend server does not work on the request that this call names";
    let status = http::StatusCode::SERVICE_UNAVAILABLE;
    Refusal::not_run(status, "orphaned-call", detail).with_retry_after(OLD_VERSION_RETRY)
}

pub(crate) fn bad_deadline(detail: &str) -> Refusal {
    Refusal::not_run(http::StatusCode::BAD_REQUEST, "bad-deadline", detail)
}

pub(crate) fn bad_first_sent() -> Refusal {
    let detail = "heatherwalk-first-sent must be a whole number of seconds since the Unix epoch";
    Refusal::not_run(http::StatusCode::BAD_REQUEST, "bad-first-sent", detail)
}

pub(crate) fn bad_parent() -> Refusal {
    let detail = "heatherwalk-parent names no request that this node's backend server works on";
    Refusal::not_run(http::StatusCode::BAD_REQUEST, "bad-parent", detail)
}

pub(crate) fn out_of_budget(error: &routing::budget::Error) -> Refusal {
    let detail = format_compact!("{error}");
    Refusal::not_run(http::StatusCode::GATEWAY_TIMEOUT, "budget", &detail)
}

/// The refusal of a body that cannot be read, or that is larger than `version` allows.
pub(crate) fn bad_body(error: &web::body::Error, version: Option<document::Version>) -> Refusal {
    let detail = format_compact!("the request's body cannot be used: {error}");
    let refuse = |status| Refusal::not_run(status, "bad-body", &detail);
    match (error, version) {
        (web::body::Error::NoMemory, _) => no_memory(),
        (web::body::Error::TooLarge { .. }, None) => no_version(),
        (web::body::Error::TooLarge { .. }, Some(version)) => {
            refuse(http::StatusCode::PAYLOAD_TOO_LARGE).by_version(version)
        }
        _ => refuse(http::StatusCode::BAD_REQUEST),
    }
}

fn no_memory() -> Refusal {
    let detail =
        "the bodies of other requests take the memory of this node; send the request again";
    let status = http::StatusCode::SERVICE_UNAVAILABLE;
    Refusal::not_run(status, "no-memory", detail).with_retry_after(NO_MEMORY_RETRY)
}

pub(crate) fn too_old() -> Refusal {
    let detail = "the request was first sent longer ago than claims are kept, so it cannot be \
                  told whether it ran before; this resend was not run";
    Refusal::not_run(http::StatusCode::GONE, "too-old", detail)
}

pub(crate) fn key_required(version: document::Version) -> Refusal {
    let detail =
        "a non-idempotent request needs the header idempotency-key, the same in each resend";
    let status = http::StatusCode::PRECONDITION_REQUIRED;
    Refusal::not_run(status, "key-required", detail).by_version(version)
}

pub(crate) fn no_home() -> Refusal {
    let detail = "the service has no home region that keeps claims; an operator has to set one";
    Refusal::not_run(http::StatusCode::SERVICE_UNAVAILABLE, "no-home", detail)
}

pub(crate) fn claim_unavailable(late: bool) -> Refusal {
    let detail = "no control answered the claim of the idempotency key in time; send the request \
                  again with the same key";
    let status = if late {
        http::StatusCode::GATEWAY_TIMEOUT
    } else {
        http::StatusCode::SERVICE_UNAVAILABLE
    };
    Refusal::not_run(status, "no-claim", detail)
}

pub(crate) fn quarantined() -> Refusal {
    let detail = "requests like this one crash backend servers and are quarantined for a time; \
                  this one was not run";
    Refusal::not_run(http::StatusCode::UNPROCESSABLE_ENTITY, "quarantined", detail)
}

/// The answer to a request that is still in progress at the end of a planned stop.
pub(crate) fn stopping() -> Refusal {
    Refusal {
        status: http::StatusCode::GATEWAY_TIMEOUT,
        run: RunStatus::Unknown,
        reason: "stopping",
        detail: "this node stops; the request may have run".into(),
        retry_after: None,
        version: None,
    }
}

/// The refusal when an answer breaks off before it was begun. `late` says whether the deadline has
/// passed.
pub(crate) fn broken_answer(late: bool) -> Refusal {
    let (status, detail) = match late {
        true => (
            http::StatusCode::GATEWAY_TIMEOUT,
            "the deadline passed before the answer of the backend server was complete",
        ),
        false => (http::StatusCode::BAD_GATEWAY, "the answer of the backend server ended early"),
    };
    Refusal {
        status,
        run: RunStatus::Unknown,
        reason: "broken",
        detail: detail.into(),
        retry_after: None,
        version: None,
    }
}

/// The refusal after the last attempt of a request failed. `late` says whether its deadline has
/// passed, which changes the status to a gateway timeout.
pub(crate) fn from_failure(failure: sending::Failure, late: bool) -> Refusal {
    let status = |in_time| if late { http::StatusCode::GATEWAY_TIMEOUT } else { in_time };
    match failure {
        sending::Failure::NotRun(reason, pause) => {
            let detail = format_compact!("no target ran the request: {reason}");
            let status = status(http::StatusCode::SERVICE_UNAVAILABLE);
            let refusal = Refusal::not_run(status, "no-target", &detail);
            match pause {
                Some(pause) => refusal.with_retry_after(pause),
                None => refusal,
            }
        }
        sending::Failure::Quarantined => quarantined(),
        sending::Failure::Unknown(detail) => Refusal {
            status: status(http::StatusCode::BAD_GATEWAY),
            run: RunStatus::Unknown,
            reason: "unknown",
            detail: format_compact!("the request may have run: {detail}"),
            retry_after: None,
            version: None,
        },
    }
}

/// The answer for a request that must not be sent, because its key was claimed before or cannot be
/// claimed: the stored answer, or a refusal.
pub(crate) fn from_claim(answer: claims::Answer) -> Result<web::exchange::Response> {
    let conflict = http::StatusCode::CONFLICT;
    match answer {
        claims::Answer::Completed(stored) => Ok(replay(stored)),
        claims::Answer::InProgress => Err(Refusal {
            status: conflict,
            run: RunStatus::Unknown,
            reason: "in-progress",
            detail: "a request with this key is in progress; ask again later".into(),
            retry_after: None,
            version: None,
        }),
        claims::Answer::Mismatch => {
            let detail = "the idempotency key belongs to another request; this one was not run";
            let status = http::StatusCode::UNPROCESSABLE_ENTITY;
            Err(Refusal::not_run(status, "key-mismatch", detail))
        }
        claims::Answer::Full => {
            let detail = "the table of claims is full; send the request again later";
            Err(Refusal::not_run(http::StatusCode::SERVICE_UNAVAILABLE, "claims-full", detail))
        }
        claims::Answer::Malformed => {
            let detail = "the idempotency key must have 1 to 256 bytes";
            Err(Refusal::not_run(http::StatusCode::BAD_REQUEST, "bad-key", detail))
        }
        claims::Answer::Unknown
        | claims::Answer::Granted
        | claims::Answer::Released
        | claims::Answer::Stored
        | claims::Answer::NotHolder
        | claims::Answer::Expired
        | claims::Answer::AlreadyApplied => Err(Refusal {
            status: conflict,
            run: RunStatus::Unknown,
            reason: "unknown",
            detail: "a request with this key may have run, and its answer is not known; it is \
                     not run again"
                .into(),
            retry_after: None,
            version: None,
        }),
    }
}

/// The stored answer to a request that ran, marked as stored.
fn replay(stored: claims::StoredAnswer) -> web::exchange::Response {
    let fields: Vec<_> = stored
        .headers
        .iter()
        .map(|(name, value)| protocol::forwarding::Field {
            name: name.clone(),
            value: value.to_vec(),
        })
        .collect();
    let mut headers = headers::decode(&fields);
    // The field holds the length of the original body, which was not stored when it was too large.
    headers.remove(http::header::CONTENT_LENGTH);
    headers::set(&mut headers, headers::STORED, if stored.cut { "cut" } else { "whole" });
    web::exchange::Response {
        status: http::StatusCode::from_u16(stored.status).unwrap_or(http::StatusCode::OK),
        headers,
        body: web::body::Body::full(stored.body),
    }
}
