//! Bounds of names and addresses, whoever sends them.

use std::net;

use compact_str::CompactString;

/// Longest name of a host, data centre, region, service or route, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Most requests that one target runs at the same time.
pub const MAX_SLOTS: u32 = 1_024;

/// Longest name of a software version, in bytes.
pub const MAX_VERSION_BYTES: usize = 64;

/// Longest excerpt of a text of another writer in a log line or an answer, in characters.
const EXCERPT_CHARS: usize = 256;

/// Whether a text may be the name of a host, data centre, region, service or route.
pub fn is_name(text: &str) -> bool {
    let allowed = |it: char| it.is_ascii_alphanumeric() || matches!(it, '-' | '_' | '.');
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.chars().all(allowed)
}

/// Whether a text may be the version of a backend server's software; empty when it names none.
pub fn is_software_version(text: &str) -> bool {
    text.len() <= MAX_VERSION_BYTES && !text.chars().any(char::is_control)
}

/// The beginning of a text of another writer, for a log line or an answer. Control characters,
/// which could end a line, are replaced.
pub fn excerpt(text: &str) -> CompactString {
    let visible = |it: char| if it.is_control() { char::REPLACEMENT_CHARACTER } else { it };
    text.chars().take(EXCERPT_CHARS).map(visible).collect()
}

/// Whether a connection to an address can reach one process: the port is not 0, and the IP address
/// may be that of a host.
pub fn is_unicast(addr: net::SocketAddr) -> bool {
    let ip = addr.ip().to_canonical();
    let broadcast = ip == net::IpAddr::V4(net::Ipv4Addr::BROADCAST);
    addr.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !broadcast
}
