//! One UDP port that both connects to peers and accepts their links.

use std::{io, net, sync, time};

use tokio::sync::{Semaphore, mpsc, watch};

use crate::{codes, errors, identity, limits, links, names, tls};

/// How long [`Endpoint::close`] waits for its close packets to be sent.
const LAST_PACKETS: time::Duration = time::Duration::from_millis(500);

/// A running endpoint. Clones share the port, which closes when the last of them is dropped.
#[derive(Clone)]
pub struct Endpoint {
    shared: sync::Arc<Shared>,
}

/// What became of the streams that were in flight when an endpoint closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Closed {
    /// Streams that ended by themselves.
    pub finished: usize,
    /// Streams that were cut off at the limit.
    pub aborted: usize,
}

struct Shared {
    quic: quinn::Endpoint,
    identity: identity::Peer,
    limits: limits::Limits,
    incoming: tokio::sync::Mutex<mpsc::Receiver<links::Link>>,
    /// Each stream in flight holds a receiver, so the channel counts them.
    flights: sync::Arc<watch::Sender<()>>,
    accepting: watch::Sender<bool>,
}

impl Endpoint {
    /// Binds a UDP port and starts to take handshakes. It must be called inside a tokio runtime.
    pub fn bind(
        addr: net::SocketAddr,
        identity: &identity::Identity,
        limits: limits::Limits,
    ) -> errors::Result<Endpoint> {
        let server = tls::server_config(identity, &limits)?;
        let client = tls::client_config(identity, &limits)?;
        let runtime = sync::Arc::new(quinn::TokioRuntime);
        let quic = net::UdpSocket::bind(addr)
            .and_then(|it| quinn::Endpoint::new(config(identity), Some(server), it, runtime));
        let named = |it: io::Error| io::Error::new(it.kind(), format!("UDP {addr}: {it}"));
        let mut quic = quic.map_err(|it| errors::Error::Bind(sync::Arc::new(named(it))))?;
        quic.set_default_client_config(client);
        let (sender, receiver) = mpsc::channel(limits.max_handshakes.max(1));
        let shared = Shared {
            quic,
            identity: identity.peer().clone(),
            limits,
            incoming: tokio::sync::Mutex::new(receiver),
            flights: sync::Arc::new(watch::channel(()).0),
            accepting: watch::channel(true).0,
        };
        let acceptor = Acceptor {
            quic: shared.quic.clone(),
            limits,
            flights: shared.flights.clone(),
            links: sender,
            handshakes: sync::Arc::new(Semaphore::new(limits.max_handshakes)),
        };
        tokio::spawn(acceptor.run(shared.accepting.subscribe()));
        Ok(Endpoint { shared: sync::Arc::new(shared) })
    }

    /// The address of the UDP port.
    pub fn local_addr(&self) -> errors::Result<net::SocketAddr> {
        let addr = self.shared.quic.local_addr();
        addr.map_err(|it| errors::Error::Bind(sync::Arc::new(it)))
    }

    /// The host and role in this endpoint's own certificate.
    pub fn local_peer(&self) -> &identity::Peer {
        &self.shared.identity
    }

    /// Connects to a peer and checks that its certificate names `host`.
    pub async fn connect(&self, addr: net::SocketAddr, host: &str) -> errors::Result<links::Link> {
        names::check_host(host)?;
        let connecting = self.shared.quic.connect(addr, &names::host_name(host))?;
        let handshake = tokio::time::timeout(self.shared.limits.handshake_timeout, connecting);
        let connection = match handshake.await {
            Ok(result) => result.map_err(errors::Error::Handshake)?,
            Err(_) => return Err(errors::Error::TimedOut),
        };
        let flights = self.shared.flights.clone();
        let link = links::Link::new(connection, self.shared.limits, flights)?;
        if link.host() == host {
            return Ok(link);
        }
        link.close(codes::Code::Identity);
        Err(errors::Error::WrongHost { expected: host.into(), found: link.host().into() })
    }

    /// Waits for the next link that a peer makes, or `None` when the endpoint closes.
    pub async fn accept(&self) -> Option<links::Link> {
        self.shared.incoming.lock().await.recv().await
    }

    /// Takes no more links, waits until the streams in flight have ended, at most for `limit`,
    /// and closes all links.
    ///
    /// Peers may still open streams meanwhile; whoever serves them refuses their work.
    pub async fn close(&self, limit: time::Duration) -> Closed {
        self.shared.accepting.send_replace(false);
        let flights = &self.shared.flights;
        let before = flights.receiver_count();
        let in_time = tokio::time::timeout(limit, flights.closed()).await.is_ok();
        let aborted = if in_time { 0 } else { flights.receiver_count() };
        self.shared.quic.close(codes::Code::Done.to_varint(), b"endpoint closed");
        let _ = tokio::time::timeout(LAST_PACKETS, self.shared.quic.wait_idle()).await;
        Closed { finished: before.saturating_sub(aborted), aborted }
    }
}

/// With keys that outlive the process, a peer that goes on using a link of the process before is
/// told so at once. Otherwise it would find out when the link has been idle for too long.
fn config(identity: &identity::Identity) -> quinn::EndpointConfig {
    let reset = ring::hmac::Key::new(ring::hmac::HMAC_SHA256, &identity.reset);
    let mut config = quinn::EndpointConfig::new(sync::Arc::new(reset));
    let mut ids = [0; 8];
    ids.copy_from_slice(&identity.reset[..8]);
    let ids = u64::from_le_bytes(ids);
    config.cid_generator(move || Box::new(quinn_proto::HashedConnectionIdGenerator::from_key(ids)));
    config
}

impl Drop for Shared {
    fn drop(&mut self) {
        self.quic.close(codes::Code::Done.to_varint(), b"endpoint dropped");
    }
}

struct Acceptor {
    quic: quinn::Endpoint,
    limits: limits::Limits,
    flights: sync::Arc<watch::Sender<()>>,
    links: mpsc::Sender<links::Link>,
    handshakes: sync::Arc<Semaphore>,
}

impl Acceptor {
    async fn run(self, mut accepting: watch::Receiver<bool>) {
        loop {
            let incoming = tokio::select! {
                incoming = self.quic.accept() => incoming,
                // An error means that the endpoint was dropped.
                _ = accepting.wait_for(|it| !it) => None,
            };
            let Some(incoming) = incoming else { break };
            self.start(incoming);
        }
        // Handshakes that arrive from now on are refused by quinn itself.
        self.quic.set_server_config(None);
    }

    /// Runs a handshake in its own task, so that a slow peer does not hold up the others.
    fn start(&self, incoming: quinn::Incoming) {
        let permit = self.handshakes.clone().try_acquire_owned();
        let (Ok(permit), true) = (permit, self.quic.open_connections() < self.limits.max_links)
        else {
            log::warn!("refused a link from {}: too many", incoming.remote_address());
            return incoming.refuse();
        };
        let addr = incoming.remote_address();
        let handshake = shake(incoming, self.limits, self.flights.clone());
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

async fn shake(
    incoming: quinn::Incoming,
    limits: limits::Limits,
    flights: sync::Arc<watch::Sender<()>>,
) -> errors::Result<links::Link> {
    let connecting = incoming.accept().map_err(errors::Error::Handshake)?;
    match tokio::time::timeout(limits.handshake_timeout, connecting).await {
        Ok(result) => {
            let connection = result.map_err(errors::Error::Handshake)?;
            links::Link::new(connection, limits, flights)
        }
        Err(_) => Err(errors::Error::TimedOut),
    }
}
