//! Hop-by-hop headers, which apply to one connection and are not forwarded.

use http::header;

/// Marks a response to a request that was certainly not executed, so that it is safe to repeat.
pub const NOT_RUN: http::HeaderName = http::HeaderName::from_static("heatherwalk-not-run");

/// Hop-by-hop headers (RFC 9110, section 7.6.1), and `Expect`, which the server itself answers.
const HOP_BY_HOP: [http::HeaderName; 10] = [
    header::CONNECTION,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    http::HeaderName::from_static("keep-alive"),
    http::HeaderName::from_static("proxy-connection"),
];

/// Removes the hop-by-hop headers, and those that `Connection` lists except for `Content-Length`.
pub fn strip_hop_by_hop(headers: &mut http::HeaderMap) {
    let named: Vec<http::HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .filter_map(|it| it.trim().parse().ok())
        // Without its length, a truncated body could look complete.
        .filter(|it| *it != header::CONTENT_LENGTH)
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}
