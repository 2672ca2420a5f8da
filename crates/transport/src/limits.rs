//! Limits of an endpoint and its links.

use std::time;

/// What an endpoint and each of its links may use.
///
/// A link holds at most `link_window` bytes received and not yet read, `send_window` bytes sent
/// and not yet acknowledged, and `max_partial` bytes of incomplete frames.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How often an idle link is probed by the side that connected.
    pub keep_alive: time::Duration,
    /// A link without any packet from the peer for this long is broken.
    pub idle_timeout: time::Duration,
    /// The round trip assumed before one is measured. A lost packet of a handshake is sent again
    /// after three of them.
    pub initial_rtt: time::Duration,
    /// How long a handshake may take.
    pub handshake_timeout: time::Duration,
    /// Streams that a peer may have open at once on one link.
    pub max_streams: u32,
    /// Bytes received and not yet read, per stream.
    pub stream_window: u32,
    /// Bytes received and not yet read, per link.
    pub link_window: u32,
    /// Bytes sent and not yet acknowledged, per link.
    pub send_window: u32,
    /// Bytes of incomplete frames, per link.
    pub max_partial: usize,
    /// Handshakes of incoming links in progress, or complete and not yet accepted.
    pub max_handshakes: usize,
    /// Links that the endpoint holds at once; more incoming ones are refused.
    pub max_links: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            keep_alive: time::Duration::from_secs(1),
            idle_timeout: time::Duration::from_secs(3),
            // Above that between the regions of the target.
            initial_rtt: time::Duration::from_millis(100),
            handshake_timeout: time::Duration::from_secs(3),
            max_streams: 256,
            stream_window: 256 * 1024,
            link_window: 1024 * 1024,
            send_window: 1024 * 1024,
            // Two of the largest frames.
            max_partial: 16 * 1024 * 1024,
            max_handshakes: 256,
            // A control serves about 1,140 nodes, and those of another data centre as a foster.
            max_links: 4_096,
        }
    }
}
