//! Names of the header fields that the system reads and sets, and conversion of fields for
//! messages between nodes.

use compact_str::CompactString;
use protocol::forwarding;

/// The caller's idempotency key.
pub(crate) const KEY: &str = "idempotency-key";
/// When the caller first sent a request, in seconds since the Unix epoch.
pub(crate) const FIRST_SENT: &str = "heatherwalk-first-sent";
/// Time left until the deadline, in milliseconds. Callers set it to wait shorter than the route's
/// timeout, and backend servers receive it.
pub(crate) const DEADLINE: &str = "heatherwalk-deadline-ms";
/// The token of the request on whose behalf a backend server makes a call.
pub(crate) const PARENT: &str = "heatherwalk-parent";
/// Set to `true` in the answer to a request that was certainly not run, by nodes and by backend
/// servers.
pub(crate) const NOT_RUN: &str = "heatherwalk-not-run";
/// The requests per second that a backend server takes from all hosts together, in its answers.
pub(crate) const MAX_RATE: &str = "heatherwalk-max-rate";
/// Set to `true` in the answers of a backend server that shuts down permanently.
pub(crate) const LEAVING: &str = "heatherwalk-leaving";
/// Set to `unknown` in the answer to a request that may have run or is still running.
pub(crate) const OUTCOME: &str = "heatherwalk-outcome";
/// The reason of a refusal, in one word.
pub(crate) const REASON: &str = "heatherwalk-reason";
/// After how many seconds the caller may send a refused request again, with a fraction.
pub(crate) const RETRY_AFTER: &str = "retry-after";
/// The name of the team whose API key the caller sent, for backend servers.
pub(crate) const TEAM: &str = "heatherwalk-team";
/// Marks a stored answer: `whole`, or `cut` when its body was too large to store.
pub(crate) const STORED: &str = "heatherwalk-stored";

/// A field's value; none when the field is missing or its value is not text.
pub(crate) fn text<'a>(headers: &'a http::HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Sets a field and replaces its previous values. A value that HTTP does not allow is not set.
pub(crate) fn set(headers: &mut http::HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = http::HeaderValue::from_str(value) {
        headers.insert(http::HeaderName::from_static(name), value);
    }
}

/// Sets the length of a body that has been received in whole, so that the node of a target knows it
/// before the body follows. A request without a body keeps its fields.
pub(crate) fn set_length(headers: &mut http::HeaderMap, bytes: usize) {
    if bytes > 0 {
        headers.insert(http::header::CONTENT_LENGTH, http::HeaderValue::from(bytes));
    }
}

/// The length of a request's body as its sender declares it, in bytes; zero without one.
pub(crate) fn body_length(fields: &[forwarding::Field]) -> u64 {
    let field = fields.iter().find(|it| it.name == http::header::CONTENT_LENGTH.as_str());
    let text = field.and_then(|it| std::str::from_utf8(&it.value).ok());
    text.and_then(|it| it.parse().ok()).unwrap_or(0)
}

/// The bytes that header fields take in a message.
pub(crate) fn length(headers: &http::HeaderMap) -> u64 {
    /// A colon, a space and the end of the line.
    const FIELD_MARKS: usize = 4;
    let field = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
        name.as_str().len() + value.len() + FIELD_MARKS
    };
    headers.iter().map(field).sum::<usize>() as u64
}

/// Encodes the fields of a request or an answer for a message between nodes.
pub(crate) fn encode(headers: &http::HeaderMap) -> Vec<forwarding::Field> {
    headers
        .iter()
        .map(|(name, value)| forwarding::Field {
            name: CompactString::from(name.as_str()),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

/// Decodes fields from a message between nodes. Fields that HTTP does not allow are left out.
pub(crate) fn decode(fields: &[forwarding::Field]) -> http::HeaderMap {
    let mut headers = http::HeaderMap::with_capacity(fields.len());
    for it in fields {
        let name = http::HeaderName::from_bytes(it.name.as_bytes());
        let value = http::HeaderValue::from_bytes(&it.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    headers
}

/// Removes `reserved` fields, and fields that apply to a single connection only.
pub(crate) fn remove_reserved(headers: &mut http::HeaderMap, reserved: &[&str]) {
    web::headers::strip_hop_by_hop(headers);
    for name in reserved {
        headers.remove(*name);
    }
}
