//! The header fields that the system adds, and fields as messages between nodes carry them.

use compact_str::CompactString;
use protocol::forwarding;

/// The caller's idempotency key.
pub(crate) const KEY: &str = "idempotency-key";
/// When the caller first sent a request, in seconds since the Unix epoch.
pub(crate) const FIRST_SENT: &str = "heatherwalk-first-sent";
/// What is left of the time limit, in milliseconds: towards a backend server, and from a caller
/// that waits less long than the route allows.
pub(crate) const DEADLINE: &str = "heatherwalk-deadline-ms";
/// Names the request on whose behalf a backend server makes a call.
pub(crate) const PARENT: &str = "heatherwalk-parent";
/// Marks an answer to a request that was certainly not run.
pub(crate) const NOT_RUN: &str = "heatherwalk-not-run";
/// Says that a request may have run, or runs.
pub(crate) const OUTCOME: &str = "heatherwalk-outcome";
/// Says why, in one word.
pub(crate) const REASON: &str = "heatherwalk-reason";
/// Says that the answer is a stored one, and whether its body was too large to keep.
pub(crate) const STORED: &str = "heatherwalk-stored";

/// A field's value as text.
pub(crate) fn text<'a>(headers: &'a http::HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Sets a field, replacing what was there.
pub(crate) fn set(headers: &mut http::HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = http::HeaderValue::from_str(value) {
        headers.insert(http::HeaderName::from_static(name), value);
    }
}

/// Fields of a request or an answer for a message between nodes.
pub(crate) fn encode(headers: &http::HeaderMap) -> Vec<forwarding::Field> {
    headers
        .iter()
        .map(|(name, value)| forwarding::Field {
            name: CompactString::from(name.as_str()),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

/// Fields from a message between nodes. Those that are not HTTP are left out.
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

/// Removes what only the system may set, and what concerns one connection.
pub(crate) fn clean(headers: &mut http::HeaderMap, reserved: &[&str]) {
    web::headers::strip_hop_by_hop(headers);
    for name in reserved {
        headers.remove(*name);
    }
}
