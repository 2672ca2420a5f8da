//! A QUIC endpoint: one UDP port that both connects to peers and accepts links from them.

use std::{io, net, sync, time};

use bytes::Bytes;
use tokio::sync::{Semaphore, mpsc, watch};

use crate::{codes, errors, handshakes, identity, limits, links, names, pacer, tls, wire};

/// How long [`Endpoint::close`] waits for its last packets to be sent.
const CLOSE_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// A running endpoint. Clones share the port. Dropping the last clone closes all links.
#[derive(Clone)]
pub struct Endpoint {
    shared: sync::Arc<Shared>,
}

/// The outcome of the streams that were active when an endpoint was closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Closed {
    /// Streams that ended within the time limit.
    pub finished: usize,
    /// Streams that were aborted at the time limit.
    pub aborted: usize,
}

struct Shared {
    quic: quinn::Endpoint,
    identity: identity::Peer,
    limits: limits::Limits,
    incoming: tokio::sync::Mutex<mpsc::Receiver<links::Link>>,
    /// Counts the active streams: each of them holds a receiver of the channel.
    active_streams: sync::Arc<watch::Sender<()>>,
    accepting: watch::Sender<bool>,
    pacer: sync::Arc<pacer::Pacer>,
    wire: sync::Arc<wire::Wire>,
}

impl Endpoint {
    /// Binds a UDP port and starts to accept handshakes. Port 0 binds a free port. It must be
    /// called inside a tokio runtime.
    pub fn bind(
        addr: net::SocketAddr,
        identity: &identity::Identity,
        limits: limits::Limits,
    ) -> errors::Result<Endpoint> {
        let bind_error = |it: io::Error| io::Error::new(it.kind(), format!("UDP {addr}: {it}"));
        let socket = net::UdpSocket::bind(addr)
            .and_then(|it| quinn::Runtime::wrap_udp_socket(&quinn::TokioRuntime, it))
            .map_err(|it| errors::Error::Bind(sync::Arc::new(bind_error(it))))?;
        Endpoint::bind_socket(socket, identity, limits)
    }

    /// Starts to accept handshakes on a socket like [`Endpoint::bind`].
    pub fn bind_socket(
        socket: sync::Arc<dyn quinn::AsyncUdpSocket>,
        identity: &identity::Identity,
        limits: limits::Limits,
    ) -> errors::Result<Endpoint> {
        let server = tls::server_config(identity, &limits)?;
        let client = tls::client_config(identity, &limits)?;
        let wire = sync::Arc::new(wire::Wire::default());
        let pacer = pacer::Pacer::new(limits.link_rate, sync::Arc::clone(&wire));
        let pacer = sync::Arc::new(pacer);
        let socket = wire::Socket::new(socket, sync::Arc::clone(&wire), sync::Arc::clone(&pacer));
        let socket = sync::Arc::new(socket);
        let quic = quinn::Endpoint::new_with_abstract_socket(
            quic_config(identity),
            Some(server),
            socket,
            sync::Arc::new(quinn::TokioRuntime),
        );
        let mut quic = quic.map_err(|it| errors::Error::Bind(sync::Arc::new(it)))?;
        quic.set_default_client_config(client);
        let (sender, receiver) = mpsc::channel(limits.max_handshakes.max(1));
        let shared = Shared {
            quic,
            identity: identity.peer().clone(),
            limits,
            incoming: tokio::sync::Mutex::new(receiver),
            active_streams: sync::Arc::new(watch::channel(()).0),
            accepting: watch::channel(true).0,
            pacer,
            wire,
        };
        let acceptor = Acceptor {
            quic: shared.quic.clone(),
            limits,
            active_streams: shared.active_streams.clone(),
            links: sender,
            pacer: sync::Arc::clone(&shared.pacer),
            wire: sync::Arc::clone(&shared.wire),
            handshakes: sync::Arc::new(Semaphore::new(limits.max_handshakes)),
            limiter: handshakes::Limiter::new(limits.link_rate),
        };
        tokio::spawn(acceptor.run(shared.accepting.subscribe()));
        Ok(Endpoint { shared: sync::Arc::new(shared) })
    }

    /// The address of the bound UDP port.
    pub fn local_addr(&self) -> errors::Result<net::SocketAddr> {
        let addr = self.shared.quic.local_addr();
        addr.map_err(|it| errors::Error::Bind(sync::Arc::new(it)))
    }

    /// The limits of the endpoint and its links.
    pub(crate) fn limits(&self) -> &limits::Limits {
        &self.shared.limits
    }

    /// The host and role in the endpoint's own certificate.
    pub fn local_peer(&self) -> &identity::Peer {
        &self.shared.identity
    }

    /// Connects to a peer. Fails if the certificate of the peer does not name `host`, or the
    /// handshake exceeds its time limit.
    pub async fn connect(&self, addr: net::SocketAddr, host: &str) -> errors::Result<links::Link> {
        self.connect_within(addr, host, self.shared.limits.handshake_timeout).await
    }

    /// Connects to a peer like [`Endpoint::connect`], with another time limit for the handshake.
    pub(crate) async fn connect_within(
        &self,
        addr: net::SocketAddr,
        host: &str,
        limit: time::Duration,
    ) -> errors::Result<links::Link> {
        names::check_host(host)?;
        let connecting = self.shared.quic.connect(addr, &names::host_name(host))?;
        let handshake = tokio::time::timeout(limit, connecting);
        let connection = match handshake.await {
            Ok(result) => result.map_err(errors::Error::Handshake)?,
            Err(_) => return Err(errors::Error::TimedOut),
        };
        let active_streams = self.shared.active_streams.clone();
        let Shared { limits, pacer, wire, .. } = &*self.shared;
        let link = links::Link::new(connection, *limits, active_streams, pacer, wire)?;
        if link.host() == host {
            return Ok(link);
        }
        link.close(codes::Code::Identity);
        Err(errors::Error::WrongHost { expected: host.into(), found: link.host().into() })
    }

    /// Bytes of messages that the host's network link usually carries in a second, if its rate is
    /// known.
    pub fn message_rate(&self) -> Option<u64> {
        self.shared.pacer.message_rate()
    }

    /// How long a message to a node would wait now for the host's network link.
    pub fn backlog(&self) -> time::Duration {
        self.shared.pacer.backlog()
    }

    /// Bytes that the host's network link carries in a second when all of it is paced, if its rate is
    /// known.
    pub fn paced_rate(&self) -> Option<u64> {
        self.shared.pacer.rate()
    }

    /// How long a small message would wait now for the host's network link.
    pub fn small_backlog(&self) -> time::Duration {
        self.shared.pacer.small_backlog()
    }

    /// The bytes that have passed ahead of large messages on the host's network link.
    pub fn small_bytes(&self) -> u64 {
        self.shared.pacer.small_bytes()
    }

    /// What was sent and received on the host's network link since the endpoint was bound.
    pub fn counts(&self) -> wire::Counts {
        self.shared.wire.counts()
    }

    /// The number of open links, and what all links have transferred since the endpoint was bound.
    pub fn traffic(&self) -> (usize, links::Traffic) {
        self.shared.wire.traffic()
    }

    /// Counts bytes that the process sends on the host's network link by other means than links.
    pub fn count_other(&self, bytes: u64) {
        self.shared.pacer.count_other(bytes);
    }

    /// Waits until bytes that the process sends on the host's network link by other means than links
    /// may be sent, as a part of a large message, and counts them.
    pub async fn send_other(&self, bytes: Bytes) {
        self.shared.pacer.send_other(bytes).await;
    }

    /// Waits for the next link from a peer whose handshake is complete. Returns `None` after the
    /// endpoint was closed.
    pub async fn accept(&self) -> Option<links::Link> {
        self.shared.incoming.lock().await.recv().await
    }

    /// Stops accepting links, waits at most `limit` for the active streams to end, and closes all
    /// links.
    ///
    /// Peers may still open streams meanwhile. Whoever serves these has to reject them.
    pub async fn close(&self, limit: time::Duration) -> Closed {
        self.shared.accepting.send_replace(false);
        let active_streams = &self.shared.active_streams;
        let before = active_streams.receiver_count();
        let drained = tokio::time::timeout(limit, active_streams.closed()).await.is_ok();
        let aborted = if drained { 0 } else { active_streams.receiver_count() };
        self.shared.quic.close(codes::Code::Done.value(), b"endpoint closed");
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, self.shared.quic.wait_idle()).await;
        Closed { finished: before.saturating_sub(aborted), aborted }
    }
}

/// Derives the keys of stateless resets and connection IDs from the identity, so that they stay the
/// same when the process is restarted. A peer that still uses a link to the previous process then
/// gets a stateless reset at once; otherwise it would wait until the idle timeout of the link.
fn quic_config(identity: &identity::Identity) -> quinn::EndpointConfig {
    let reset = ring::hmac::Key::new(ring::hmac::HMAC_SHA256, &identity.reset);
    let mut config = quinn::EndpointConfig::new(sync::Arc::new(reset));
    let mut key = [0; 8];
    key.copy_from_slice(&identity.reset[..8]);
    let key = u64::from_le_bytes(key);
    config.cid_generator(move || Box::new(quinn_proto::HashedConnectionIdGenerator::from_key(key)));
    config
}

impl Drop for Shared {
    fn drop(&mut self) {
        self.quic.close(codes::Code::Done.value(), b"endpoint dropped");
    }
}

struct Acceptor {
    quic: quinn::Endpoint,
    limits: limits::Limits,
    active_streams: sync::Arc<watch::Sender<()>>,
    links: mpsc::Sender<links::Link>,
    pacer: sync::Arc<pacer::Pacer>,
    wire: sync::Arc<wire::Wire>,
    handshakes: sync::Arc<Semaphore>,
    limiter: handshakes::Limiter,
}

impl Acceptor {
    async fn run(self, mut accepting: watch::Receiver<bool>) {
        loop {
            let incoming = tokio::select! {
                incoming = self.quic.accept() => incoming,
                // Also completes, with an error, when the endpoint was dropped.
                _ = accepting.wait_for(|it| !it) => None,
            };
            let Some(incoming) = incoming else { break };
            self.spawn_handshake(incoming);
        }
        // Without a server configuration, quinn refuses new handshakes.
        self.quic.set_server_config(None);
    }

    /// Runs a handshake in its own task, so that a slow peer does not delay the others.
    fn spawn_handshake(&self, incoming: quinn::Incoming) {
        let permit = self.handshakes.clone().try_acquire_owned();
        let in_progress = self.limits.max_handshakes - self.handshakes.available_permits();
        let others = in_progress.saturating_sub(usize::from(permit.is_ok()));
        let room = self.quic.open_connections() < self.limits.max_links
            && self.limiter.admits(time::Instant::now(), others, self.pacer.backlog());
        let (Ok(permit), true) = (permit, room) else {
            log::warn!(
                "refused a link from {}: too many links or handshakes, or a full network link",
                incoming.remote_address()
            );
            return incoming.refuse();
        };
        let addr = incoming.remote_address();
        let handshake = accept_link(
            incoming,
            self.limits,
            self.active_streams.clone(),
            sync::Arc::clone(&self.pacer),
            sync::Arc::clone(&self.wire),
        );
        let links = self.links.clone();
        tokio::spawn(async move {
            match handshake.await {
                Ok(link) => drop(links.send(link).await),
                Err(error) => log::info!("refused a link from {addr}: {error}"),
            }
            drop(permit);
        });
    }
}

async fn accept_link(
    incoming: quinn::Incoming,
    limits: limits::Limits,
    active_streams: sync::Arc<watch::Sender<()>>,
    pacer: sync::Arc<pacer::Pacer>,
    wire: sync::Arc<wire::Wire>,
) -> errors::Result<links::Link> {
    let connecting = incoming.accept().map_err(errors::Error::Handshake)?;
    match tokio::time::timeout(limits.accept_timeout, connecting).await {
        Ok(result) => {
            let connection = result.map_err(errors::Error::Handshake)?;
            links::Link::new(connection, limits, active_streams, &pacer, &wire)
        }
        Err(_) => Err(errors::Error::TimedOut),
    }
}
