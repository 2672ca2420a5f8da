//! The HTTP client of the operators' API: sends one request to a control's operator port.

use std::time;

use bytes::Bytes;
use compact_str::{CompactString, ToCompactString as _, format_compact};

use crate::operators;

/// The longest wait for a control's answer. A control waits up to 5 s for its log before it
/// answers.
const TIMEOUT: time::Duration = time::Duration::from_secs(8);
/// The largest body of an answer, in bytes. The list of 25,000 targets takes about 4 MB.
const MAX_BODY: usize = 64 * 1024 * 1024;

/// The result of a request to a control.
pub type Result<T, E = operators::RequestError> = std::result::Result<T, E>;

/// Sends one request to a control, with the operators' `token`, and waits for the answer for at
/// most 8 s. A body that is not JSON is returned as null.
///
/// # Errors
///
/// [`operators::RequestError::Unreachable`] if no part of the request was sent, so that it can be
/// sent elsewhere; [`operators::RequestError::Lost`] if the control may have carried it out.
pub async fn send(
    client: &web::client::Client,
    token: &str,
    request: &operators::Request,
) -> Result<operators::Reply> {
    let lost = |err: CompactString| operators::RequestError::Lost(err);
    let request = web::client::Call {
        addr: request.control,
        method: request.method.clone(),
        path: request.path.clone(),
        headers: headers(token)?,
        body: web::body::Body::full(body(request)),
        deadline: tokio::time::Instant::now() + TIMEOUT,
        close_delimited: false,
        reuse: web::client::Reuse::Never,
    };
    let answer = client.send(request).await.map_err(|err| match err {
        web::client::Error::NotSent(detail) => operators::RequestError::Unreachable(detail),
        web::client::Error::MaybeSent(detail) => operators::RequestError::Lost(detail),
    })?;
    let status = answer.status.as_u16();
    let bytes = answer.body.collect(MAX_BODY).await;
    let bytes = bytes.map_err(|err| lost(err.to_compact_string()))?;
    let body = serde_json::from_slice(&bytes).unwrap_or_default();
    Ok(operators::Reply { status, body })
}

fn headers(token: &str) -> Result<http::HeaderMap> {
    let mut headers = http::HeaderMap::new();
    let value = http::HeaderValue::from_str(&format_compact!("Bearer {token}"));
    let value = value
        .map_err(|err| operators::RequestError::Unreachable(format_compact!("token: {err}")))?;
    headers.insert(http::header::AUTHORIZATION, value);
    let json = http::HeaderValue::from_static("application/json");
    headers.insert(http::header::CONTENT_TYPE, json);
    Ok(headers)
}

fn body(request: &operators::Request) -> Bytes {
    request.body.as_ref().map_or_else(Bytes::new, |it| it.to_string().into())
}
