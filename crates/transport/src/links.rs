//! A QUIC connection to a peer whose host name and role are verified.

use std::{
    net,
    sync::{self, atomic},
    time,
};

use tokio::sync::watch;
use world::{hosts, time::Time};

use crate::{ages, codes, errors, identity, limits, pacer, streams, tls, wire};

/// A connection to a peer. Clones share it. It closes when the last clone and the last of its
/// streams are dropped.
#[derive(Clone)]
pub struct Link {
    connection: quinn::Connection,
    shared: sync::Arc<Shared>,
}

/// UDP payload that links have transferred, including handshakes and acknowledgements.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
    /// Bytes sent to the peer.
    pub sent: u64,
    /// Bytes received from the peer.
    pub received: u64,
    /// Sent packets that were taken for lost, so that their contents were sent again.
    pub lost: u64,
    /// Bytes of these packets.
    pub lost_bytes: u64,
}

struct Shared {
    peer: identity::Peer,
    /// Bytes of incomplete frames, over all streams of the link.
    partial: sync::Arc<atomic::AtomicUsize>,
    limits: limits::Limits,
    /// Counts the active streams of the endpoint by the channel's receivers.
    active_streams: sync::Arc<watch::Sender<()>>,
    pacer: pacer::LinkPacer,
    ages: sync::Mutex<ages::Ages>,
    wire: sync::Arc<wire::Wire>,
    /// Keeps the link among the open ones of its endpoint.
    _open: sync::Arc<wire::OpenLink>,
}

impl Traffic {
    /// The difference to `earlier`, an older value of the same link; 0 where it is negative.
    pub fn since(self, earlier: Traffic) -> Traffic {
        Traffic {
            sent: self.sent.saturating_sub(earlier.sent),
            received: self.received.saturating_sub(earlier.received),
            lost: self.lost.saturating_sub(earlier.lost),
            lost_bytes: self.lost_bytes.saturating_sub(earlier.lost_bytes),
        }
    }

    /// The sum with the traffic of other links.
    pub fn plus(self, other: Traffic) -> Traffic {
        Traffic {
            sent: self.sent + other.sent,
            received: self.received + other.received,
            lost: self.lost + other.lost,
            lost_bytes: self.lost_bytes + other.lost_bytes,
        }
    }
}

impl Link {
    pub(crate) fn new(
        connection: quinn::Connection,
        limits: limits::Limits,
        active_streams: sync::Arc<watch::Sender<()>>,
        pacer: &sync::Arc<pacer::Pacer>,
        wire: &sync::Arc<wire::Wire>,
    ) -> errors::Result<Link> {
        let peer = tls::verified_peer(&connection).inspect_err(|_| {
            connection.close(codes::Code::Identity.value(), b"no host and role in certificate");
        })?;
        let pacer = (peer.role == hosts::Role::Node).then(|| sync::Arc::clone(pacer));
        let shared = Shared {
            peer,
            partial: sync::Arc::default(),
            limits,
            active_streams,
            pacer,
            ages: sync::Mutex::default(),
            wire: sync::Arc::clone(wire),
            _open: wire.add_link(connection.clone()),
        };
        Ok(Link { connection, shared: sync::Arc::new(shared) })
    }

    /// The peer's host name, from its certificate.
    pub fn host(&self) -> &str {
        &self.shared.peer.host
    }

    /// The peer's role, from its certificate.
    pub fn role(&self) -> hosts::Role {
        self.shared.peer.role
    }

    /// The peer's host name and role.
    pub fn peer(&self) -> &identity::Peer {
        &self.shared.peer
    }

    /// The address that the peer sends from. An endpoint has one port, so this is also the address
    /// that the peer listens on, unless packets pass an address translation.
    pub fn remote_addr(&self) -> net::SocketAddr {
        self.connection.remote_address()
    }

    /// The current estimate of the round-trip time.
    pub fn round_trip(&self) -> time::Duration {
        self.connection.rtt()
    }

    /// The bytes transferred since the link was established.
    pub fn traffic(&self) -> Traffic {
        read_traffic(&self.connection)
    }

    /// How long a message has waited on the way that the peer sent at `sent`, by its clock, and
    /// that arrived at `arrived`, by the caller's; see [`ages`].
    pub fn waited(&self, sent: Time, arrived: Time) -> time::Duration {
        // The ages are plain numbers, which a panic elsewhere leaves whole.
        let mut ages = self.shared.ages.lock().unwrap_or_else(sync::PoisonError::into_inner);
        ages.record(sent, arrived)
    }

    /// Opens a bidirectional stream, waiting while the peer's limit on open streams is reached. The
    /// peer accepts the stream only after its first byte was sent.
    pub async fn open_stream(&self) -> errors::Result<(streams::Sender, streams::Receiver)> {
        let stream = self.connection.open_bi().await?;
        Ok(self.wrap_stream(stream, wire::Kind::Request))
    }

    /// Waits for the next stream that the peer opens. Returns `None` if either side closed the link
    /// as planned, and [`errors::Error::Lost`] if it broke.
    pub async fn accept_stream(
        &self,
    ) -> errors::Result<Option<(streams::Sender, streams::Receiver)>> {
        match self.connection.accept_bi().await {
            Ok(stream) => Ok(Some(self.wrap_stream(stream, wire::Kind::Answer))),
            Err(error) if is_planned(&error) => Ok(None),
            Err(error) => Err(errors::Error::Lost(error)),
        }
    }

    /// Whether the link is known to be closed or broken.
    pub fn is_closed(&self) -> bool {
        self.connection.close_reason().is_some()
    }

    /// Completes when the link is closed or breaks, with the cause.
    pub async fn closed(&self) -> errors::Error {
        errors::Error::Lost(self.connection.closed().await)
    }

    /// Closes the link at once. Data that the peer has not received yet is lost.
    pub fn close(&self, code: codes::Code) {
        self.connection.close(code.value(), b"closed");
    }

    fn wrap_stream(
        &self,
        (send, recv): (quinn::SendStream, quinn::RecvStream),
        kind: wire::Kind,
    ) -> (streams::Sender, streams::Receiver) {
        let active = sync::Arc::new(self.shared.active_streams.subscribe());
        let total = self.shared.partial.clone();
        let limit = self.shared.limits.max_partial;
        let connection = self.connection.clone();
        let receiver = streams::Receiver::new(recv, connection, total, limit, active.clone());
        let kind = match self.shared.peer.role {
            hosts::Role::Control => wire::Kind::Control,
            hosts::Role::Node => kind,
        };
        let outlet = streams::Outlet {
            pacer: self.shared.pacer.clone(),
            wire: sync::Arc::clone(&self.shared.wire),
            kind,
            size: pacer::Size::Small,
        };
        (streams::Sender::new(send, active, outlet), receiver)
    }
}

/// What a connection has transferred.
pub(crate) fn read_traffic(connection: &quinn::Connection) -> Traffic {
    let stats = connection.stats();
    Traffic {
        sent: stats.udp_tx.bytes,
        received: stats.udp_rx.bytes,
        lost: stats.path.lost_packets,
        lost_bytes: stats.path.lost_bytes,
    }
}

/// Whether either side closed the connection without an error.
fn is_planned(error: &quinn::ConnectionError) -> bool {
    match error {
        quinn::ConnectionError::LocallyClosed => true,
        quinn::ConnectionError::ApplicationClosed(it) => it.error_code == codes::Code::Done.value(),
        _ => false,
    }
}
