//! Limits of an endpoint and its links.

use std::time;

/// What an endpoint and each of its links may use.
///
/// A link holds at most `link_window` bytes received and not yet read, `send_window` bytes sent
/// and not yet acknowledged, and `partial` bytes of incomplete frames.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How often an idle link is probed by the side that connected.
    pub keep_alive: time::Duration,
    /// A link without any packet from the peer for this long is broken.
    pub idle: time::Duration,
    /// The round trip assumed before one is measured. A lost packet of a handshake is sent again
    /// after three of them.
    pub first_rtt: time::Duration,
    /// How long a handshake may take.
    pub handshake: time::Duration,
    /// Streams that a peer may have open at once on one link.
    pub streams: u32,
    /// Bytes received and not yet read, per stream.
    pub stream_window: u32,
    /// Bytes received and not yet read, per link.
    pub link_window: u32,
    /// Bytes sent and not yet acknowledged, per link.
    pub send_window: u32,
    /// Bytes of incomplete frames, per link.
    pub partial: usize,
    /// Handshakes of incoming links in progress, or complete and not yet accepted.
    pub handshakes: usize,
    /// Links that the endpoint holds at once; more incoming ones are refused.
    pub links: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            keep_alive: time::Duration::from_secs(1),
            idle: time::Duration::from_secs(3),
            // Above that between the regions of the target.
            first_rtt: time::Duration::from_millis(100),
            handshake: time::Duration::from_secs(3),
            streams: 256,
            stream_window: 256 * 1024,
            link_window: 1024 * 1024,
            send_window: 1024 * 1024,
            // Two of the largest frames.
            partial: 16 * 1024 * 1024,
            handshakes: 256,
            // A control serves about 1,140 nodes, and those of another data centre as a foster.
            links: 4_096,
        }
    }
}
