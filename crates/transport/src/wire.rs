//! Counts what an endpoint sends and receives on the host's network link.
//!
//! The bytes of messages are a part of it: the rest are headers of packets, acknowledgements,
//! handshakes and packets that are sent again, and all of them share the link.

use std::{
    fmt, io, net, pin,
    sync::{self, atomic},
    task,
};

use quinn::udp;
use slotmap::SlotMap;

use crate::{links, pacer};

/// Bytes of the IPv4 and UDP headers of a datagram.
const DATAGRAM_HEADER_BYTES: u64 = 28;
/// The bit of a packet's first byte that marks the long header of a handshake packet.
const LONG_HEADER: u8 = 0x80;

slotmap::new_key_type! {
    /// An open link in a [`Wire`].
    pub(crate) struct LinkKey;
}

/// What a message is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// An answer to a request of a peer, or to a probe.
    Answer,
    /// A message to or from a control.
    Control,
    /// A request to a peer, its body, or a probe.
    Request,
}

/// Bytes and datagrams since the endpoint was bound.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Bytes sent on the network link, headers of datagrams included.
    pub sent: u64,
    /// Bytes received from it, in the same way.
    pub received: u64,
    /// Datagrams sent.
    pub datagrams: u64,
    /// Of `sent`, the datagrams that begin with a packet of a handshake.
    pub handshakes: u64,
    /// Bytes of answers that were passed to the links.
    pub answers: u64,
    /// Bytes of requests that were passed to the links.
    pub requests: u64,
    /// Bytes of messages to controls that were passed to the links.
    pub control: u64,
    /// Bytes that the process sent on the network link by other means than its links.
    pub other: u64,
    /// Of `other`, the bytes that waited for their turn as messages do.
    pub paced_other: u64,
    /// Bytes of datagrams that were dropped, since the network link was full.
    pub dropped: u64,
}

/// The counters of an endpoint.
#[derive(Default)]
pub(crate) struct Wire {
    sent: atomic::AtomicU64,
    received: atomic::AtomicU64,
    datagrams: atomic::AtomicU64,
    handshakes: atomic::AtomicU64,
    answers: atomic::AtomicU64,
    requests: atomic::AtomicU64,
    control: atomic::AtomicU64,
    other: atomic::AtomicU64,
    paced_other: atomic::AtomicU64,
    dropped: atomic::AtomicU64,
    links: sync::Mutex<Links>,
}

/// The open links, and the sum of those that were dropped.
#[derive(Default)]
struct Links {
    open: SlotMap<LinkKey, sync::Weak<OpenLink>>,
    dropped: links::Traffic,
}

/// The connection of a link that has not been dropped.
pub(crate) struct OpenLink {
    connection: quinn::Connection,
    key: LinkKey,
    wire: sync::Arc<Wire>,
}

impl Drop for OpenLink {
    fn drop(&mut self) {
        let mut links = self.wire.links();
        links.open.remove(self.key);
        links.dropped = links.dropped.plus(links::read_traffic(&self.connection));
    }
}

/// The UDP socket of an endpoint, which counts datagrams and drops those that the network link has
/// no room for.
pub(crate) struct Socket {
    inner: sync::Arc<dyn quinn::AsyncUdpSocket>,
    wire: sync::Arc<Wire>,
    pacer: sync::Arc<pacer::Pacer>,
}

impl Counts {
    /// The difference to `earlier`, older counts of the same endpoint.
    pub fn since(self, earlier: Counts) -> Counts {
        Counts {
            sent: self.sent.saturating_sub(earlier.sent),
            received: self.received.saturating_sub(earlier.received),
            datagrams: self.datagrams.saturating_sub(earlier.datagrams),
            handshakes: self.handshakes.saturating_sub(earlier.handshakes),
            answers: self.answers.saturating_sub(earlier.answers),
            requests: self.requests.saturating_sub(earlier.requests),
            control: self.control.saturating_sub(earlier.control),
            other: self.other.saturating_sub(earlier.other),
            paced_other: self.paced_other.saturating_sub(earlier.paced_other),
            dropped: self.dropped.saturating_sub(earlier.dropped),
        }
    }

    /// Bytes of messages of all kinds.
    pub fn messages(&self) -> u64 {
        self.answers + self.requests + self.control
    }
}

impl Wire {
    /// The counters as they are now.
    pub(crate) fn counts(&self) -> Counts {
        let read = |it: &atomic::AtomicU64| it.load(atomic::Ordering::Relaxed);
        Counts {
            sent: read(&self.sent),
            received: read(&self.received),
            datagrams: read(&self.datagrams),
            handshakes: read(&self.handshakes),
            answers: read(&self.answers),
            requests: read(&self.requests),
            control: read(&self.control),
            other: read(&self.other),
            paced_other: read(&self.paced_other),
            dropped: read(&self.dropped),
        }
    }

    /// Counts bytes of a message that are passed to a link.
    pub(crate) fn count_message(&self, kind: Kind, bytes: usize) {
        let counter = match kind {
            Kind::Answer => &self.answers,
            Kind::Control => &self.control,
            Kind::Request => &self.requests,
        };
        add(counter, bytes as u64);
    }

    /// Counts bytes that the process sends on the network link by other means.
    pub(crate) fn count_other(&self, bytes: u64) {
        add(&self.other, bytes);
    }

    /// Counts bytes like [`Wire::count_other`] that waited for their turn.
    pub(crate) fn count_paced_other(&self, bytes: u64) {
        // In this order, the difference of the two is never negative.
        add(&self.other, bytes);
        add(&self.paced_other, bytes);
    }

    /// Adds an open link. When the returned value is dropped, what the link has transferred is kept.
    pub(crate) fn add_link(
        self: &sync::Arc<Wire>,
        connection: quinn::Connection,
    ) -> sync::Arc<OpenLink> {
        let mut links = self.links();
        let key = links.open.insert(sync::Weak::new());
        let link = sync::Arc::new(OpenLink { connection, key, wire: sync::Arc::clone(self) });
        links.open[key] = sync::Arc::downgrade(&link);
        link
    }

    /// The number of open links, and what all links have transferred since the endpoint was bound,
    /// those that are closed included.
    pub(crate) fn traffic(&self) -> (usize, links::Traffic) {
        let (links, mut total) = {
            let links = self.links();
            // Collected, since a link that is dropped here locks the map again.
            let open: Vec<_> = links.open.values().filter_map(sync::Weak::upgrade).collect();
            (open, links.dropped)
        };
        let mut open = 0;
        for link in links {
            open += usize::from(link.connection.close_reason().is_none());
            total = total.plus(links::read_traffic(&link.connection));
        }
        (open, total)
    }

    fn count_sent(&self, transmit: &udp::Transmit<'_>) {
        let bytes = wire_bytes(transmit);
        add(&self.sent, bytes);
        add(&self.datagrams, datagrams(transmit));
        if transmit.contents.first().is_some_and(|it| it & LONG_HEADER != 0) {
            add(&self.handshakes, bytes);
        }
    }

    fn count_received(&self, meta: &udp::RecvMeta) {
        let datagrams = meta.len.div_ceil(meta.stride.max(1)) as u64;
        add(&self.received, meta.len as u64 + datagrams * DATAGRAM_HEADER_BYTES);
    }

    fn links(&self) -> sync::MutexGuard<'_, Links> {
        // A panic cannot leave the sums inconsistent, so a poisoned lock can be used.
        self.links.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// The datagrams of a transmission.
fn datagrams(transmit: &udp::Transmit<'_>) -> u64 {
    let length = transmit.contents.len();
    transmit.segment_size.map_or(1, |it| length.div_ceil(it.max(1))) as u64
}

/// The bytes of a transmission on the network link.
fn wire_bytes(transmit: &udp::Transmit<'_>) -> u64 {
    transmit.contents.len() as u64 + datagrams(transmit) * DATAGRAM_HEADER_BYTES
}

fn add(counter: &atomic::AtomicU64, value: u64) {
    counter.fetch_add(value, atomic::Ordering::Relaxed);
}

impl Socket {
    /// Wraps the socket of a runtime.
    pub(crate) fn new(
        inner: sync::Arc<dyn quinn::AsyncUdpSocket>,
        wire: sync::Arc<Wire>,
        pacer: sync::Arc<pacer::Pacer>,
    ) -> Socket {
        Socket { inner, wire, pacer }
    }
}

impl fmt::Debug for Socket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Socket").field("inner", &self.inner).finish_non_exhaustive()
    }
}

impl quinn::AsyncUdpSocket for Socket {
    fn create_io_poller(self: sync::Arc<Self>) -> pin::Pin<Box<dyn quinn::UdpPoller>> {
        sync::Arc::clone(&self.inner).create_io_poller()
    }

    fn try_send(&self, transmit: &udp::Transmit<'_>) -> io::Result<()> {
        if !self.pacer.admits_datagram(transmit.contents.len()) {
            // To the connection, it is lost on the way.
            add(&self.wire.dropped, wire_bytes(transmit));
            return Ok(());
        }
        self.inner.try_send(transmit)?;
        self.wire.count_sent(transmit);
        self.pacer.charge_overhead();
        Ok(())
    }

    fn poll_recv(
        &self,
        cx: &mut task::Context<'_>,
        bufs: &mut [io::IoSliceMut<'_>],
        meta: &mut [udp::RecvMeta],
    ) -> task::Poll<io::Result<usize>> {
        let received = self.inner.poll_recv(cx, bufs, meta);
        if let task::Poll::Ready(Ok(count)) = &received {
            meta.iter().take(*count).for_each(|it| self.wire.count_received(it));
        }
        received
    }

    fn local_addr(&self) -> io::Result<net::SocketAddr> {
        self.inner.local_addr()
    }

    fn max_transmit_segments(&self) -> usize {
        self.inner.max_transmit_segments()
    }

    fn max_receive_segments(&self) -> usize {
        self.inner.max_receive_segments()
    }

    fn may_fragment(&self) -> bool {
        self.inner.may_fragment()
    }
}
