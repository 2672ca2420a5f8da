//! What front ends write differently: header fields, refusals and announcements.
//!
//! A dialect reads and writes; it decides nothing. The decisions on requests are the same under
//! every dialect.

use std::{net, time};

use bytes::Bytes;
use compact_str::{CompactString, format_compact};

use crate::{answers, backend, headers};

/// How one front end's callers and backend servers write what the mesh needs to know.
#[derive(Clone, Copy)]
pub struct Dialect {
    /// The name in settings.
    pub name: &'static str,
    /// Reads what a caller says of its request, or says what is wrong with it.
    pub read: fn(&http::HeaderMap) -> Result<Asked, CompactString>,
    /// The fields that callers may not set and that answers may not carry.
    pub reserved: &'static [&'static str],
    /// Adds to a request what the node that takes it knows of its origin.
    pub sign: fn(&mut http::HeaderMap, &Origin<'_>),
    /// Adds what a backend server is told of a request.
    pub hand: fn(&mut http::HeaderMap, &Handed<'_>),
    /// Reads what an answer says beside its status and body.
    pub judge: fn(http::StatusCode, &http::HeaderMap, &Handed<'_>) -> Judgement,
    /// Writes the node's own answer to a request that no backend server answered.
    pub refuse: fn(&answers::Refusal) -> web::exchange::Response,
    /// Reads an announcement of the backend server with this name, if the path names it.
    pub announced: fn(&Bytes, &str) -> Result<backend::Announcement, CompactString>,
    /// Writes the answer to an announcement.
    pub renewed: fn(&backend::AnnounceAnswer) -> web::exchange::Response,
    /// Whether a body that ends with its connection counts as whole when the end is in order.
    pub unframed: bool,
}

/// What a caller says of its request.
#[derive(Clone, Debug, Default)]
pub struct Asked {
    /// Names the request in logs; none lets the node name it.
    pub id: Option<CompactString>,
    /// How long the caller waits.
    pub limit: Option<time::Duration>,
    /// The idempotency key.
    pub key: Option<CompactString>,
    /// The request on whose behalf a backend server makes this call.
    pub parent: Option<Parent>,
}

/// How a call names the request that it is made for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Parent {
    /// By the token that the node gave the backend server; a call with an unknown one is refused.
    Token(CompactString),
    /// By what may be the name of a request. It counts when the backend server of this host works
    /// on a request of that name; otherwise the call is taken for a caller's.
    Name(CompactString),
}

/// Where a request entered the mesh.
#[derive(Clone, Copy, Debug)]
pub struct Origin<'a> {
    /// The service of the backend server on the host that took the request; empty when the
    /// settings name none.
    pub service: &'a str,
}

/// What a backend server is told of a request.
#[derive(Clone, Copy, Debug)]
pub struct Handed<'a> {
    /// Where the backend server listens.
    pub addr: net::SocketAddr,
    /// The name under which the backend server announced itself; empty when it has none.
    pub instance: &'a str,
    /// What is left of the time limit.
    pub left: time::Duration,
    /// Names the request as the parent of its calls.
    pub parent: &'a str,
    /// The caller's name of the request; empty when it has none.
    pub id: &'a str,
}

/// What an answer says of the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Judgement {
    /// The answer belongs to the request.
    Answered,
    /// The request was not run.
    NotRun,
    /// The answer belongs to another request; this one may have run.
    Foreign,
}

/// The project's own front end.
pub const OWN: Dialect = Dialect {
    name: "heatherwalk",
    read: read_own,
    reserved: &[
        headers::DEADLINE,
        headers::NOT_RUN,
        headers::OUTCOME,
        headers::PARENT,
        headers::REASON,
        headers::STORED,
    ],
    sign: |_, _| {},
    hand: hand_own,
    judge: judge_own,
    refuse: refuse_own,
    announced: announced_own,
    renewed: |answer| {
        let bytes = serde_json::to_vec(answer).expect("the answer has text keys only");
        web::exchange::Response::full(http::StatusCode::OK, &mime::APPLICATION_JSON, bytes.into())
    },
    unframed: false,
};

fn read_own(fields: &http::HeaderMap) -> Result<Asked, CompactString> {
    let text = |name| headers::text(fields, name).map(CompactString::from);
    let limit = match headers::text(fields, headers::DEADLINE).map(str::parse) {
        Some(Ok(millis)) => Some(time::Duration::from_millis(millis)),
        Some(Err(_)) => {
            return Err("heatherwalk-deadline-ms must be a whole number of milliseconds".into());
        }
        None => None,
    };
    let parent = text(headers::PARENT).map(Parent::Token);
    Ok(Asked { id: None, limit, key: text(headers::KEY), parent })
}

fn announced_own(body: &Bytes, _: &str) -> Result<backend::Announcement, CompactString> {
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

fn hand_own(fields: &mut http::HeaderMap, handed: &Handed<'_>) {
    headers::set(fields, headers::PARENT, handed.parent);
    headers::set(fields, headers::DEADLINE, &format_compact!("{}", handed.left.as_millis()));
}

fn judge_own(_: http::StatusCode, fields: &http::HeaderMap, _: &Handed<'_>) -> Judgement {
    match headers::text(fields, headers::NOT_RUN) {
        Some("true") => Judgement::NotRun,
        _ => Judgement::Answered,
    }
}

fn refuse_own(refusal: &answers::Refusal) -> web::exchange::Response {
    let mut answer =
        web::exchange::Response::text(refusal.status, &format!("{}\n", refusal.detail));
    let (name, value) = match refusal.run {
        answers::Run::Not => (headers::NOT_RUN, "true"),
        answers::Run::Unknown => (headers::OUTCOME, "unknown"),
    };
    headers::set(&mut answer.headers, name, value);
    headers::set(&mut answer.headers, headers::REASON, refusal.reason);
    answer
}
