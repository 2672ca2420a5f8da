//! The request that a handler receives and the response that it returns.

use std::net;

use bytes::Bytes;
use compact_str::CompactString;

use crate::body;

/// A request that the server received. Its body has not been read yet.
pub struct Request {
    /// The method. It may be one that HTTP does not define.
    pub method: http::Method,
    /// The path as it was sent; percent-encoding is not decoded.
    pub path: CompactString,
    /// The query, without the question mark.
    pub query: Option<CompactString>,
    /// The headers as received, including hop-by-hop headers.
    pub headers: http::HeaderMap,
    /// The body, of which parts may still have to arrive.
    pub body: body::Body,
    /// The caller's IP address and port.
    pub remote: Option<net::SocketAddr>,
}

/// A response to a caller, or from a backend server.
pub struct Response {
    /// The status code.
    pub status: http::StatusCode,
    /// The headers. A response from [`client::Client`](crate::client::Client) has no hop-by-hop
    /// headers.
    pub headers: http::HeaderMap,
    /// The body, of which parts may still have to arrive or be sent.
    pub body: body::Body,
}

impl Response {
    /// A response without headers and body.
    pub fn empty(status: http::StatusCode) -> Response {
        Response { status, headers: http::HeaderMap::new(), body: body::Body::empty() }
    }

    /// A response whose body is `bytes`, with a content-type header.
    pub fn full(status: http::StatusCode, media_type: &mime::Mime, bytes: Bytes) -> Response {
        let mut response = Response::empty(status);
        if let Ok(value) = http::HeaderValue::from_str(media_type.as_ref()) {
            response.headers.insert(http::header::CONTENT_TYPE, value);
        }
        response.body = body::Body::full(bytes);
        response
    }

    /// A plain-text response in UTF-8.
    pub fn text(status: http::StatusCode, text: &str) -> Response {
        Response::full(status, &mime::TEXT_PLAIN_UTF_8, Bytes::copy_from_slice(text.as_bytes()))
    }

    /// The response to a request whose body could not be read: 413 if it is too large, otherwise
    /// 400, with the error as text.
    pub fn body_error(error: &body::Error) -> Response {
        let status = match error {
            body::Error::TooLarge { .. } => http::StatusCode::PAYLOAD_TOO_LARGE,
            body::Error::NoMemory => http::StatusCode::SERVICE_UNAVAILABLE,
            body::Error::Gone | body::Error::Truncated(_) => http::StatusCode::BAD_REQUEST,
        };
        Response::text(status, &error.to_string())
    }
}
