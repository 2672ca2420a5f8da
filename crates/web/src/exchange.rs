//! A request as a handler gets it, and the answer that it gives.

use std::net;

use bytes::Bytes;
use compact_str::CompactString;

use crate::body;

/// A request from a caller, with its body still to be read.
pub struct Request {
    /// The method.
    pub method: http::Method,
    /// The path as it was sent, without decoding.
    pub path: CompactString,
    /// What follows the question mark.
    pub query: Option<CompactString>,
    /// The headers.
    pub headers: http::HeaderMap,
    /// The body.
    pub body: body::Body,
    /// The caller's address.
    pub remote: Option<net::SocketAddr>,
}

/// An answer to a caller, or from a backend server.
pub struct Response {
    /// The status.
    pub status: http::StatusCode,
    /// The headers.
    pub headers: http::HeaderMap,
    /// The body.
    pub body: body::Body,
}

impl Response {
    /// An answer without a body.
    pub fn empty(status: http::StatusCode) -> Response {
        Response { status, headers: http::HeaderMap::new(), body: body::Body::empty() }
    }

    /// An answer with a body of the given type.
    pub fn full(status: http::StatusCode, kind: &mime::Mime, bytes: Bytes) -> Response {
        let mut answer = Response::empty(status);
        if let Ok(value) = http::HeaderValue::from_str(kind.as_ref()) {
            answer.headers.insert(http::header::CONTENT_TYPE, value);
        }
        answer.body = body::Body::full(bytes);
        answer
    }

    /// An answer of plain text.
    pub fn text(status: http::StatusCode, text: &str) -> Response {
        Response::full(status, &mime::TEXT_PLAIN_UTF_8, Bytes::copy_from_slice(text.as_bytes()))
    }

    /// The answer to a request whose body could not be read.
    pub fn body_error(error: &body::Error) -> Response {
        let status = match error {
            body::Error::TooLarge { .. } => http::StatusCode::PAYLOAD_TOO_LARGE,
            body::Error::Gone | body::Error::Truncated(_) => http::StatusCode::BAD_REQUEST,
        };
        Response::text(status, &error.to_string())
    }
}
