//! The operators' HTTP client, as the commands call it.

use std::time;

use bytes::Bytes;
use compact_str::{CompactString, ToCompactString as _, format_compact};

use crate::operators;

/// How long a control may take to answer. It waits up to 5 s for the log.
const LIMIT: time::Duration = time::Duration::from_secs(8);
/// The largest answer: a table of all 25,000 targets is about 4 MB.
const MAX_BODY: usize = 64 * 1024 * 1024;

/// A result of this module.
pub type Result<T, E = operators::RequestError> = std::result::Result<T, E>;

/// Sends one request to a control.
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
        deadline: tokio::time::Instant::now() + LIMIT,
        unframed: false,
        reuse: web::client::Reuse::Fresh,
    };
    let answer = client.send(request).await.map_err(|err| match err {
        web::client::Error::NotSent(detail) => operators::RequestError::Unreachable(detail),
        web::client::Error::MaybeSent(detail) => operators::RequestError::Lost(detail),
    })?;
    let status = answer.status.as_u16();
    let bytes = answer.body.whole(MAX_BODY).await;
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
