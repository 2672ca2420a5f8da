//! A connection to one peer whose host name and role are verified.

use std::{
    sync::{self, atomic},
    time,
};

use tokio::sync::watch;
use world::hosts;

use crate::{codes, errors, identity, limits, streams, tls};

/// A link to a peer. Clones share one connection, which closes when the last of them and of its
/// streams is dropped.
#[derive(Clone)]
pub struct Link {
    connection: quinn::Connection,
    shared: sync::Arc<Shared>,
}

/// UDP payload of a link since it was made, its handshake and acknowledgements included.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
    /// Bytes sent to the peer.
    pub sent: u64,
    /// Bytes received from the peer.
    pub received: u64,
}

struct Shared {
    peer: identity::Peer,
    partial: sync::Arc<atomic::AtomicUsize>,
    limits: limits::Limits,
    flights: sync::Arc<watch::Sender<()>>,
}

impl Traffic {
    /// What has been carried since `earlier`, a figure of the same link.
    pub fn since(self, earlier: Traffic) -> Traffic {
        Traffic {
            sent: self.sent.saturating_sub(earlier.sent),
            received: self.received.saturating_sub(earlier.received),
        }
    }
}

impl Link {
    pub(crate) fn new(
        connection: quinn::Connection,
        limits: limits::Limits,
        flights: sync::Arc<watch::Sender<()>>,
    ) -> errors::Result<Link> {
        let peer = tls::verified_peer(&connection).inspect_err(|_| {
            connection.close(codes::Code::Identity.to_varint(), b"no host and role in certificate");
        })?;
        let shared = Shared { peer, partial: sync::Arc::default(), limits, flights };
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

    /// The latest estimate of the time to the peer and back.
    pub fn round_trip(&self) -> time::Duration {
        self.connection.rtt()
    }

    /// What the link has carried so far.
    pub fn traffic(&self) -> Traffic {
        let stats = self.connection.stats();
        Traffic { sent: stats.udp_tx.bytes, received: stats.udp_rx.bytes }
    }

    /// Opens a stream, waiting while the peer allows no more of them.
    ///
    /// The peer sees the stream when the first byte is sent.
    pub async fn open_stream(&self) -> errors::Result<(streams::Sender, streams::Receiver)> {
        Ok(self.wrap(self.connection.open_bi().await?))
    }

    /// Waits for a stream that the peer opens, or `None` when either side closed the link as
    /// planned.
    pub async fn accept_stream(
        &self,
    ) -> errors::Result<Option<(streams::Sender, streams::Receiver)>> {
        match self.connection.accept_bi().await {
            Ok(stream) => Ok(Some(self.wrap(stream))),
            Err(error) if is_planned(&error) => Ok(None),
            Err(error) => Err(errors::Error::Lost(error)),
        }
    }

    /// Whether the link is known to be closed or broken.
    pub fn is_closed(&self) -> bool {
        self.connection.close_reason().is_some()
    }

    /// Completes when the link is closed or breaks.
    pub async fn closed(&self) -> errors::Error {
        errors::Error::Lost(self.connection.closed().await)
    }

    /// Closes the link at once. What the peer has not received yet is lost.
    pub fn close(&self, code: codes::Code) {
        self.connection.close(code.to_varint(), b"closed");
    }

    fn wrap(
        &self,
        (send, recv): (quinn::SendStream, quinn::RecvStream),
    ) -> (streams::Sender, streams::Receiver) {
        let flight = sync::Arc::new(self.shared.flights.subscribe());
        let total = self.shared.partial.clone();
        let limit = self.shared.limits.max_partial;
        let connection = self.connection.clone();
        let receiver = streams::Receiver::new(recv, connection, total, limit, flight.clone());
        (streams::Sender::new(send, flight), receiver)
    }
}

fn is_planned(error: &quinn::ConnectionError) -> bool {
    match error {
        quinn::ConnectionError::LocallyClosed => true,
        quinn::ConnectionError::ApplicationClosed(it) => {
            it.error_code == codes::Code::Done.to_varint()
        }
        _ => false,
    }
}
