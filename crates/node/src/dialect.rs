//! Dialects: the header fields, refusals and announcements that one front end uses.
//!
//! A dialect only parses and writes messages. The decisions on requests are the same under every
//! dialect.

use std::{net, time};

use bytes::Bytes;
use compact_str::{CompactString, format_compact};

use crate::{authenticating, backend, headers, refusals};

/// How a node parses and writes the messages of one front end's callers and backend servers.
#[derive(Clone, Copy)]
pub struct Dialect {
    /// The name that selects the dialect in the settings.
    pub name: &'static str,
    /// Reads a caller's header fields. The error explains to the caller which field is invalid.
    pub parse_request: fn(&http::HeaderMap) -> Result<RequestOptions, CompactString>,
    /// Header fields that only the system sets. They are removed from requests and answers.
    pub reserved: &'static [&'static str],
    /// Adds header fields about the origin of a request, at the node that takes it from a caller.
    pub add_origin: fn(&mut http::HeaderMap, &Origin<'_>),
    /// Adds header fields with the context of a request for the backend server that runs it.
    pub add_context: fn(&mut http::HeaderMap, &RequestContext<'_>),
    /// Decides from the status and header fields whether an answer belongs to the request. The flag
    /// says whether its connection has carried an answer before, so that this may be an extra one.
    pub classify: fn(http::StatusCode, &http::HeaderMap, bool, &RequestContext<'_>) -> AnswerKind,
    /// Whether the header fields of an answer name its request. The connection of one that does not
    /// is not used again: a second copy of it could not be told from the next answer.
    pub names_request: fn(&http::HeaderMap) -> bool,
    /// Reads what a backend server says of itself in the header fields of an answer.
    pub parse_notice: fn(&http::HeaderMap) -> Notice,
    /// Writes the answer to a request that the node refuses.
    pub write_refusal: fn(&refusals::Refusal) -> web::exchange::Response,
    /// Reads the body of an announcement. The second argument is the name of the backend server in
    /// the request's path, or empty. The error explains what is invalid.
    pub parse_announcement: fn(&Bytes, &str) -> Result<backend::Announcement, CompactString>,
    /// Writes the answer to an accepted announcement.
    pub write_renewal: fn(&backend::AnnounceAnswer) -> web::exchange::Response,
    /// Whether an answer's body without a declared length may end with its connection. It counts as
    /// complete when the connection is closed in order.
    pub close_delimited: bool,
}

impl Dialect {
    /// What a backend server is told about the origin of a request, as bytes to compare.
    pub(crate) fn describe_origin(&self, origin: &Origin<'_>) -> Vec<u8> {
        let mut fields = http::HeaderMap::new();
        (self.add_origin)(&mut fields, origin);
        let line = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
            [name.as_str().as_bytes(), b":", value.as_bytes(), b"\n"].concat()
        };
        fields.iter().flat_map(line).collect()
    }
}

/// What a caller's header fields say about its request.
#[derive(Clone, Debug, Default)]
pub struct RequestOptions {
    /// The request's ID in logs; the node chooses one when it is none.
    pub id: Option<CompactString>,
    /// How long the caller waits; none means the route's timeout.
    pub limit: Option<time::Duration>,
    /// The idempotency key, which identifies resends of a non-idempotent request.
    pub key: Option<CompactString>,
    /// The parent request, when a backend server makes this request as a call on its behalf.
    pub parent: Option<Parent>,
    /// The API key, which is read in the same way for all dialects.
    pub credential: authenticating::Credential,
}

/// How a call names its parent request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Parent {
    /// The token that the node gave the backend server. A call with an unknown token is refused.
    Token(CompactString),
    /// What may be the ID of a request. It is used when the backend server of this host is
    /// processing a request with that ID; otherwise the request counts as a caller's.
    Name(CompactString),
}

/// Where a request entered the mesh.
#[derive(Clone, Copy, Debug)]
pub struct Origin<'a> {
    /// The service of the backend server on the host that took the request from a caller; empty
    /// when the settings name none.
    pub service: &'a str,
    /// The team of the caller; empty for none.
    pub team: &'a str,
}

/// The context of a request that is sent to a backend server.
#[derive(Clone, Copy, Debug)]
pub struct RequestContext<'a> {
    /// The address of the backend server.
    pub addr: net::SocketAddr,
    /// The name under which the backend server announced itself, or empty.
    pub instance: &'a str,
    /// The time left until the request's deadline.
    pub left: time::Duration,
    /// The token by which the request's calls name it as their parent.
    pub parent: &'a str,
    /// The request's ID.
    pub id: &'a str,
}

/// What a backend server says of itself in each of its answers, for as long as it holds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// The requests per second that it takes from all hosts together; none without a limit.
    pub max_rate: Option<f64>,
    /// Whether it shuts down permanently and takes no new requests.
    pub leaving: bool,
}

impl Notice {
    /// Parses a number of requests per second. A text that is none is no limit.
    pub fn parse_rate(text: &str) -> Option<f64> {
        text.trim().parse().ok().filter(|it: &f64| it.is_finite() && *it >= 0.0)
    }
}

/// Which request an answer belongs to, and whether that request ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerKind {
    /// The answer belongs to the request and is passed on.
    Answered,
    /// The backend server did not run the request.
    NotRun,
    /// The answer belongs to another request, so this one may have run.
    Foreign,
}

/// The project's own front end.
pub const OWN: Dialect = Dialect {
    name: "heatherwalk",
    parse_request: parse_own_request,
    reserved: &[
        headers::DEADLINE,
        headers::NOT_RUN,
        headers::OUTCOME,
        headers::PARENT,
        headers::REASON,
        headers::STORED,
        headers::TEAM,
    ],
    add_origin: |fields, origin| {
        if !origin.team.is_empty() {
            headers::set(fields, headers::TEAM, origin.team);
        }
    },
    add_context: add_own_context,
    classify: classify_own,
    names_request: |fields| fields.contains_key(headers::PARENT),
    parse_notice: |fields| Notice {
        max_rate: headers::text(fields, headers::MAX_RATE).and_then(Notice::parse_rate),
        leaving: headers::text(fields, headers::LEAVING) == Some("true"),
    },
    write_refusal: write_own_refusal,
    parse_announcement: parse_own_announcement,
    write_renewal: |answer| {
        let bytes = serde_json::to_vec(answer).expect("the answer has text keys only");
        web::exchange::Response::full(http::StatusCode::OK, &mime::APPLICATION_JSON, bytes.into())
    },
    close_delimited: false,
};

fn parse_own_request(fields: &http::HeaderMap) -> Result<RequestOptions, CompactString> {
    let text = |name| headers::text(fields, name).map(CompactString::from);
    let limit = match headers::text(fields, headers::DEADLINE).map(str::parse) {
        Some(Ok(millis)) => Some(time::Duration::from_millis(millis)),
        Some(Err(_)) => {
            return Err("heatherwalk-deadline-ms must be a whole number of milliseconds".into());
        }
        None => None,
    };
    let parent = text(headers::PARENT).map(Parent::Token);
    Ok(RequestOptions { limit, key: text(headers::KEY), parent, ..RequestOptions::default() })
}

fn parse_own_announcement(body: &Bytes, _: &str) -> Result<backend::Announcement, CompactString> {
    let refuse = |detail: &dyn std::fmt::Display| {
        format_compact!("not an announcement: {detail}; see docs/backend-servers.md")
    };
    let announcement: backend::Announcement =
        serde_json::from_slice(body).map_err(|err| refuse(&err))?;
    match announcement.incarnation {
        Some(_) => Ok(announcement),
        None => Err(refuse(&"missing field `incarnation`")),
    }
}

fn add_own_context(fields: &mut http::HeaderMap, context: &RequestContext<'_>) {
    headers::set(fields, headers::PARENT, context.parent);
    headers::set(fields, headers::DEADLINE, &format_compact!("{}", context.left.as_millis()));
}

fn classify_own(
    _: http::StatusCode,
    fields: &http::HeaderMap,
    kept: bool,
    context: &RequestContext<'_>,
) -> AnswerKind {
    let named = headers::text(fields, headers::PARENT);
    let refused = headers::text(fields, headers::NOT_RUN) == Some("true");
    match named {
        Some(it) if it != context.parent => AnswerKind::Foreign,
        // It may be an earlier answer that was written once more.
        None if kept => AnswerKind::Foreign,
        _ if refused => AnswerKind::NotRun,
        _ => AnswerKind::Answered,
    }
}

fn write_own_refusal(refusal: &refusals::Refusal) -> web::exchange::Response {
    let mut answer =
        web::exchange::Response::text(refusal.status, &format!("{}\n", refusal.detail));
    let (name, value) = match refusal.run {
        refusals::RunStatus::Not => (headers::NOT_RUN, "true"),
        refusals::RunStatus::Unknown => (headers::OUTCOME, "unknown"),
    };
    headers::set(&mut answer.headers, name, value);
    headers::set(&mut answer.headers, headers::REASON, refusal.reason);
    if let Some(pause) = refusal.retry_after {
        let seconds = format_compact!("{:.3}", pause.as_secs_f64());
        headers::set(&mut answer.headers, headers::RETRY_AFTER, &seconds);
    }
    answer
}
