//! Limits of an endpoint and its links.

use std::time;

/// Limits of an endpoint and of each of its links.
///
/// A link buffers at most `link_window` bytes that were received and not yet read, `send_window`
/// bytes that were sent and not yet acknowledged, and `max_partial` bytes of incomplete frames.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The interval at which the side that connected probes an idle link.
    pub keep_alive: time::Duration,
    /// A link breaks if no packet arrives from the peer for this long.
    pub idle_timeout: time::Duration,
    /// The round-trip time assumed before it is measured. A lost packet of a handshake is sent
    /// again after three times as long.
    pub initial_rtt: time::Duration,
    /// How long a handshake that was started to connect may take.
    pub handshake_timeout: time::Duration,
    /// How long a handshake that a peer has started may take. If the peer gives up earlier and this
    /// side does not hear of it, it sends its packets again in vain until then.
    pub accept_timeout: time::Duration,
    /// How long a handshake that was started to connect to a node may take. Requests do not wait
    /// longer for a link, and a handshake that nothing waits for only takes bandwidth.
    pub node_timeout: time::Duration,
    /// The most handshakes that a pool has in flight to connect to nodes. Each takes about 5 KB in
    /// each direction.
    pub max_connecting: usize,
    /// The most streams that a peer may have open on a link.
    pub max_streams: u32,
    /// The most bytes received and not yet read, per stream.
    pub stream_window: u32,
    /// The most bytes received and not yet read, per link.
    pub link_window: u32,
    /// The most bytes sent and not yet acknowledged, per link.
    pub send_window: u32,
    /// The most bytes of incomplete frames, per link. A link that exceeds it is closed.
    pub max_partial: usize,
    /// The most incoming handshakes that are in progress, or complete and not yet accepted.
    pub max_handshakes: usize,
    /// The rate of the host's network link in bytes per second, to which messages between nodes are
    /// paced; none if it is not known.
    pub link_rate: Option<u64>,
    /// The most open links of the endpoint. Further incoming links are refused.
    pub max_links: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            keep_alive: time::Duration::from_secs(1),
            idle_timeout: time::Duration::from_secs(3),
            // Longer than the round trip between the regions that heatherwalk is built for.
            initial_rtt: time::Duration::from_millis(100),
            handshake_timeout: time::Duration::from_secs(3),
            accept_timeout: time::Duration::from_secs(3),
            node_timeout: time::Duration::from_secs(1),
            max_connecting: 4,
            max_streams: 256,
            stream_window: 256 * 1024,
            link_window: 1024 * 1024,
            send_window: 1024 * 1024,
            // Two of the largest frames.
            max_partial: 16 * 1024 * 1024,
            max_handshakes: 256,
            // A control serves about 1,140 nodes, plus those of another data centre as a fallback
            // control.
            max_links: 4_096,
            link_rate: None,
        }
    }
}
