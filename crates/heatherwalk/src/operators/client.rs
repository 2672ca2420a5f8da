//! Sends requests to the controls, one after the other, until one answers as current.

use std::{fmt, net, time};

use compact_str::CompactString;
use protocol::operators;
use serde::Deserialize as _;

use super::{Error, Result};

/// Pauses between the rounds in which every control is tried. Together they are longer than an
/// election, which takes about 2 s.
const RETRY_PAUSES: [time::Duration; 4] = [
    time::Duration::from_millis(250),
    time::Duration::from_millis(500),
    time::Duration::from_millis(1_000),
    time::Duration::from_millis(2_000),
];
const OK: u16 = 200;
const UNAUTHORIZED: u16 = 401;
const NOT_FOUND: u16 = 404;
const UNAVAILABLE: u16 = 503;

/// An HTTP request to a control.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The control's operator port.
    pub control: net::SocketAddr,
    /// The HTTP method.
    pub method: http::Method,
    /// The path with its query.
    pub path: CompactString,
    /// The JSON body, if the request has one.
    pub body: Option<serde_json::Value>,
}

/// A control's answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The JSON body; null if there is none or it is not JSON.
    pub body: serde_json::Value,
}

/// Why a control did not answer.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
pub enum RequestError {
    /// The request was not sent, so the control did not carry it out.
    #[error("not reachable: {0}")]
    Unreachable(CompactString),
    /// The request was sent, in full or in part, but no complete answer arrived. The control may
    /// have carried it out.
    #[error("the answer was lost: {0}")]
    Lost(CompactString),
}

/// A control that did not answer as current, and why.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Failure {
    /// The control's operator port.
    pub control: net::SocketAddr,
    /// Its answer, or the error of the connection.
    pub detail: CompactString,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.control, self.detail)
    }
}

/// A client of the operators' API: the controls, and the functions that reach them.
pub struct Client<'a> {
    /// The controls' operator ports, in the order in which they are tried.
    pub controls: Vec<net::SocketAddr>,
    /// Sends one request with the operators' token. Returns within a few seconds, with
    /// [`RequestError::Lost`] if the request was sent but no answer arrived.
    pub send: &'a mut dyn FnMut(&Request) -> Result<Reply, RequestError>,
    /// Sleeps for the given time and returns the time since the command started.
    pub sleep: &'a mut dyn FnMut(time::Duration) -> time::Duration,
}

impl Client<'_> {
    /// Gets the value at `path`, from the first control that answers as current.
    pub(super) fn get<T: serde::de::DeserializeOwned>(&mut self, path: &str) -> Result<T> {
        let reply = self.send_with_retries(http::Method::GET, path, None)?;
        parse(path, &reply)
    }

    /// Sends a request until a control answers as current, in rounds with pauses between them.
    /// Every control gets the same request, so a request that changes the configuration must carry
    /// a request ID in its body.
    pub(super) fn send_with_retries(
        &mut self,
        method: http::Method,
        path: &str,
        body: Option<serde_json::Value>,
    ) -> Result<Reply> {
        let mut result = self.send_to_each(method.clone(), path, body.clone());
        for pause in RETRY_PAUSES {
            if !matches!(result, Err(Error::Unavailable { .. })) {
                return result;
            }
            (self.sleep)(pause);
            result = self.send_to_each(method.clone(), path, body.clone());
        }
        result
    }

    /// Sends a request to each control in turn, once, until one answers as current.
    pub(super) fn send_to_each(
        &mut self,
        method: http::Method,
        path: &str,
        body: Option<serde_json::Value>,
    ) -> Result<Reply> {
        let mut failures = Vec::new();
        for _ in 0..self.controls.len() {
            let control = self.controls[0];
            let request =
                Request { control, method: method.clone(), path: path.into(), body: body.clone() };
            match (self.send)(&request) {
                Ok(reply) if reply.status == UNAUTHORIZED => return Err(Error::BadToken(control)),
                Ok(reply) if reply.status == UNAVAILABLE => {
                    failures.push(Failure { control, detail: problem_detail(&reply) });
                }
                Ok(reply) => return Ok(reply),
                Err(err) => failures.push(Failure { control, detail: err.to_string().into() }),
            }
            // A control that failed goes to the end, so that the next request of this command
            // starts with the one that answered.
            self.controls.rotate_left(1);
        }
        Err(Error::Unavailable { failures, resend: None })
    }

    /// Gets the value at `path` from one control, whether or not it is current.
    pub(super) fn get_from<T: serde::de::DeserializeOwned>(
        &mut self,
        control: net::SocketAddr,
        path: &str,
    ) -> Result<T> {
        let request = Request { control, method: http::Method::GET, path: path.into(), body: None };
        match (self.send)(&request) {
            Ok(reply) if reply.status == UNAUTHORIZED => Err(Error::BadToken(control)),
            Ok(reply) => parse(path, &reply),
            Err(err) => {
                let failures = vec![Failure { control, detail: err.to_string().into() }];
                Err(Error::Unavailable { failures, resend: None })
            }
        }
    }
}

/// The value in an answer with status 200; any other status is an error.
pub(super) fn parse<T: serde::de::DeserializeOwned>(path: &str, reply: &Reply) -> Result<T> {
    match reply.status {
        OK => decode(path, reply),
        NOT_FOUND => Err(Error::NotFound { path: path.into(), detail: problem_detail(reply) }),
        status => Err(Error::UnexpectedAnswer {
            path: path.into(),
            status,
            detail: problem_detail(reply),
        }),
    }
}

/// The value in an answer, whatever its status.
pub(super) fn decode<T: serde::de::DeserializeOwned>(path: &str, reply: &Reply) -> Result<T> {
    T::deserialize(&reply.body).map_err(|err| Error::UnexpectedAnswer {
        path: path.into(),
        status: reply.status,
        detail: compact_str::format_compact!("the body is not as expected: {err}"),
    })
}

pub(super) fn problem_detail(reply: &Reply) -> CompactString {
    // The answer to a patch that is unavailable has the field `detail` as well, beside its result.
    let problem = operators::Problem::deserialize(&reply.body);
    problem.map_or_else(|_| "no detail given".into(), |it| it.detail)
}
