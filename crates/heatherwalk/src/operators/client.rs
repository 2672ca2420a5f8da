//! Asks controls one after the other until one answers as current.

use std::{fmt, net, time};

use compact_str::CompactString;
use protocol::operators;
use serde::Deserialize as _;

use super::{Error, Result};

/// Pauses between the rounds in which every control is tried. Together they outlast an election,
/// which takes about 2 s.
const PAUSES: [time::Duration; 4] = [
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
    /// Path and query.
    pub path: CompactString,
    /// The JSON body.
    pub body: Option<serde_json::Value>,
}

/// A control's answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The JSON body; null when there is none.
    pub body: serde_json::Value,
}

/// Why there is no answer.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum RequestError {
    /// The request was not sent.
    #[error("not reachable: {0}")]
    Unreachable(CompactString),
    /// The request was sent, in full or in part, and no whole answer came.
    #[error("the answer was lost: {0}")]
    Lost(CompactString),
}

/// A control that did not answer as current, and why.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Failure {
    /// The control's operator port.
    pub control: net::SocketAddr,
    /// What was seen.
    pub detail: CompactString,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.control, self.detail)
    }
}

/// The controls and how they are asked.
pub struct Client<'a> {
    /// The controls' operator ports, in the order in which they are tried.
    pub controls: Vec<net::SocketAddr>,
    /// Sends one request with the operators' token. It ends by itself within a few seconds, with
    /// [`RequestError::Lost`] when a request was sent and no answer came.
    pub send: &'a mut dyn FnMut(&Request) -> Result<Reply, RequestError>,
    /// Waits for the given time and returns the time since the command began.
    pub sleep: &'a mut dyn FnMut(time::Duration) -> time::Duration,
}

impl Client<'_> {
    /// Reads a value by GET.
    pub(super) fn get<T: serde::de::DeserializeOwned>(&mut self, path: &str) -> Result<T> {
        let reply = self.ask(http::Method::GET, path, None)?;
        parse(path, &reply)
    }

    /// Asks until a control answers, in rounds with pauses. The same request is sent each time, so
    /// one that changes something carries a request ID in its body.
    pub(super) fn ask(
        &mut self,
        method: http::Method,
        path: &str,
        body: Option<serde_json::Value>,
    ) -> Result<Reply> {
        let mut result = self.ask_each(method.clone(), path, body.clone());
        for pause in PAUSES {
            if !matches!(result, Err(Error::Unavailable { .. })) {
                return result;
            }
            (self.sleep)(pause);
            result = self.ask_each(method.clone(), path, body.clone());
        }
        result
    }

    /// Asks the controls in turn, each once, until one answers.
    pub(super) fn ask_each(
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
                    failures.push(Failure { control, detail: detail(&reply) });
                }
                Ok(reply) => return Ok(reply),
                Err(err) => failures.push(Failure { control, detail: err.to_string().into() }),
            }
            // The next request of this command begins with the control that answered last.
            self.controls.rotate_left(1);
        }
        Err(Error::Unavailable { failures, resend: None })
    }

    /// Asks one control only, whether or not it is current.
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

/// The value in an answer with status 200, or the error that another status stands for.
pub(super) fn parse<T: serde::de::DeserializeOwned>(path: &str, reply: &Reply) -> Result<T> {
    match reply.status {
        OK => decode(path, reply),
        NOT_FOUND => Err(Error::NotFound { path: path.into(), detail: detail(reply) }),
        status => Err(Error::UnexpectedAnswer { path: path.into(), status, detail: detail(reply) }),
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

fn detail(reply: &Reply) -> CompactString {
    // A patch's answer of this kind has the field as well, beside the result.
    let problem = operators::Problem::deserialize(&reply.body);
    problem.map_or_else(|_| "no detail given".into(), |it| it.detail)
}
