//! A pool with one link per peer, which all tasks share, and a limit on the handshakes in flight.

use std::{
    collections, net,
    sync::{self, atomic},
    time,
};

use compact_str::CompactString;
use tokio::sync::{Semaphore, mpsc, watch};
use world::hosts;

use crate::{codes, endpoint, errors, links};

/// Links to peers by host name. Clones share the links.
#[derive(Clone)]
pub struct LinkPool {
    endpoint: endpoint::Endpoint,
    entries: sync::Arc<sync::Mutex<Entries>>,
    counters: sync::Arc<Counters>,
    /// A permit for each handshake that may be in flight with a node.
    permits: sync::Arc<Semaphore>,
    /// Takes the links that the pool has opened, if their streams are served.
    dialled: Option<mpsc::UnboundedSender<links::Link>>,
}

/// The links that a pool has opened, in order, for
/// [`serve_pool`](crate::serving::serve_pool) to serve the streams of their peers.
pub struct Dialled(mpsc::UnboundedReceiver<links::Link>);

/// How many attempts to connect a pool has made since it was created. An attempt counts from the
/// start of its handshake.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Attempts that were started.
    pub started: u64,
    /// Attempts that ended with a link.
    pub opened: u64,
    /// Attempts that failed.
    pub failed: u64,
}

impl Counts {
    /// The difference to `earlier`, older counts of the same pool.
    pub fn since(self, earlier: Counts) -> Counts {
        Counts {
            started: self.started.saturating_sub(earlier.started),
            opened: self.opened.saturating_sub(earlier.opened),
            failed: self.failed.saturating_sub(earlier.failed),
        }
    }
}

#[derive(Default)]
struct Counters {
    started: atomic::AtomicU64,
    opened: atomic::AtomicU64,
    failed: atomic::AtomicU64,
}

type Entries = collections::HashMap<CompactString, Entry>;
/// The result of connecting; `None` while the attempt is in progress.
type Attempt = Option<errors::Result<links::Link>>;

/// The link to a peer, or the attempt to establish it. Entries are replaced only while the map is
/// locked, and the lock is never held across an await.
struct Entry {
    addr: net::SocketAddr,
    attempt: watch::Receiver<Attempt>,
    /// Sets the result while the attempt is in progress.
    result: sync::Weak<watch::Sender<Attempt>>,
}

impl LinkPool {
    /// Creates an empty pool that connects through `endpoint`, for a process whose peers open no
    /// streams on the links that it opens.
    pub fn new(endpoint: endpoint::Endpoint) -> LinkPool {
        let permits = sync::Arc::new(Semaphore::new(endpoint.limits().max_connecting));
        LinkPool {
            endpoint,
            entries: sync::Arc::default(),
            counters: sync::Arc::default(),
            permits,
            dialled: None,
        }
    }

    /// Creates an empty pool whose links are used by both ends, and the queue of the links that it
    /// opens, to be served with [`serve_pool`](crate::serving::serve_pool).
    pub fn bidirectional(endpoint: endpoint::Endpoint) -> (LinkPool, Dialled) {
        let (dialled, queue) = mpsc::unbounded_channel();
        (LinkPool { dialled: Some(dialled), ..LinkPool::new(endpoint) }, Dialled(queue))
    }

    /// The endpoint that the pool connects through.
    pub fn endpoint(&self) -> &endpoint::Endpoint {
        &self.endpoint
    }

    /// The attempts to connect since the pool was created.
    pub fn counts(&self) -> Counts {
        let read = |it: &atomic::AtomicU64| it.load(atomic::Ordering::Relaxed);
        let Counters { started, opened, failed } = &*self.counters;
        Counts { started: read(started), opened: read(opened), failed: read(failed) }
    }

    /// Returns the link to the node `host`. Connects first if there is no link, the link is closed,
    /// or it leads to another address than `addr`. Concurrent calls wait for the same attempt and
    /// share its error. The next call after an error connects again.
    ///
    /// An attempt waits while [`max_connecting`](crate::limits::Limits::max_connecting) others are
    /// in flight, and is not started if no call waits for it any more.
    pub async fn link(&self, host: &str, addr: net::SocketAddr) -> errors::Result<links::Link> {
        self.link_to(hosts::Role::Node, host, addr).await
    }

    /// Returns the link to the control `host`, like [`LinkPool::link`], but connects at once,
    /// however many attempts to connect to nodes are in flight.
    pub async fn link_control(
        &self,
        host: &str,
        addr: net::SocketAddr,
    ) -> errors::Result<links::Link> {
        self.link_to(hosts::Role::Control, host, addr).await
    }

    async fn link_to(
        &self,
        role: hosts::Role,
        host: &str,
        addr: net::SocketAddr,
    ) -> errors::Result<links::Link> {
        let mut attempt = self.attempt(role, host, addr);
        match attempt.wait_for(Option::is_some).await.as_deref() {
            Ok(Some(result)) => result.clone(),
            // The runtime is shutting down and has dropped the connecting task.
            _ => Err(errors::Error::TimedOut),
        }
    }

    /// Returns the open link to `host` at `addr`, if there is one. Never connects.
    pub fn established(&self, host: &str, addr: net::SocketAddr) -> Option<links::Link> {
        let entries = self.lock();
        let entry = entries.get(host).filter(|it| it.addr == addr)?;
        match &*entry.attempt.borrow() {
            Some(Ok(link)) if !link.is_closed() => Some(link.clone()),
            _ => None,
        }
    }

    /// Removes the link to `host` from the pool and closes it as planned.
    pub fn remove(&self, host: &str) {
        let entry = self.lock().remove(host);
        let Some(entry) = entry else { return };
        if let Some(Ok(link)) = &*entry.attempt.borrow() {
            link.close(codes::Code::Done);
        }
    }

    /// Puts a link that the peer opened into the pool, so that both ends use it. It also ends an
    /// attempt to connect to the same host and address. An older link to them is replaced, since it
    /// may lead to a process that was restarted; streams on it continue.
    pub(crate) fn adopt(&self, link: &links::Link) {
        let addr = link.remote_addr();
        let mut entries = self.lock();
        if let Some(entry) = entries.get(link.host()).filter(|it| it.is_usable(it.addr)) {
            if entry.addr != addr {
                return;
            }
            if let Some(result) = entry.result.upgrade() {
                return set_result(&result, Ok(link.clone()));
            }
        }
        let attempt = watch::channel(Some(Ok(link.clone()))).1;
        entries.insert(link.host().into(), Entry { addr, attempt, result: sync::Weak::new() });
    }

    /// The usable attempt or link to `host`, or else a new attempt.
    fn attempt(
        &self,
        role: hosts::Role,
        host: &str,
        addr: net::SocketAddr,
    ) -> watch::Receiver<Attempt> {
        let mut entries = self.lock();
        if let Some(entry) = entries.get(host).filter(|it| it.is_usable(addr)) {
            return entry.attempt.clone();
        }
        let (sender, attempt) = watch::channel(None);
        let sender = sync::Arc::new(sender);
        let result = sync::Arc::downgrade(&sender);
        entries.insert(host.into(), Entry { addr, attempt: attempt.clone(), result });
        drop(entries);
        let (pool, host) = (self.clone(), CompactString::from(host));
        // The attempt runs in a task of its own, so that dropping this call does not abort it.
        tokio::spawn(async move {
            match role {
                hosts::Role::Control => {
                    let limit = pool.endpoint.limits().handshake_timeout;
                    let result = pool.connect(&host, addr, limit).await;
                    set_result(&sender, result);
                }
                hosts::Role::Node => pool.connect_in_turn(&host, addr, &sender).await,
            }
        });
        attempt
    }

    /// Connects to a node when a permit is free. Ends without connecting when the node has opened a
    /// link meanwhile, or no call waits for the attempt any more.
    async fn connect_in_turn(
        &self,
        host: &CompactString,
        addr: net::SocketAddr,
        sender: &watch::Sender<Attempt>,
    ) {
        let mut adopted = sender.subscribe();
        // A handshake that has begun is completed even if the node opens a link meanwhile: the node
        // may already use the link that it leads to.
        let permit = tokio::select! {
            it = self.permits.acquire() => it,
            _ = adopted.wait_for(Option::is_some) => return,
        };
        drop(adopted);
        if sender.borrow().is_some() {
            return;
        }
        {
            let _entries = self.lock();
            // The entry holds a receiver too. A new call gets one only while it locks the entries.
            if sender.receiver_count() <= 1 {
                return set_result(sender, Err(errors::Error::TimedOut));
            }
        }
        let limit = self.endpoint.limits().node_timeout;
        let result = self.connect(host, addr, limit).await;
        set_result(sender, result);
        drop(permit);
    }

    /// Connects, counts and logs the attempt, and has the link served if it opens.
    async fn connect(
        &self,
        host: &CompactString,
        addr: net::SocketAddr,
        limit: time::Duration,
    ) -> errors::Result<links::Link> {
        self.counters.started.fetch_add(1, atomic::Ordering::Relaxed);
        let started_at = time::Instant::now();
        let result = self.endpoint.connect_within(addr, host, limit).await;
        let took = started_at.elapsed();
        match &result {
            Ok(link) => {
                self.counters.opened.fetch_add(1, atomic::Ordering::Relaxed);
                log::info!(target: "decision", "link_opened host={host} took={took:?}");
                if let Some(dialled) = &self.dialled {
                    // Nothing serves the links any more when the process stops.
                    drop(dialled.send(link.clone()));
                }
            }
            Err(error) => {
                self.counters.failed.fetch_add(1, atomic::Ordering::Relaxed);
                log::info!(
                    target: "decision",
                    "link_failed host={host} addr={addr} took={took:?} error=\"{error}\"",
                );
            }
        }
        result
    }

    fn lock(&self) -> sync::MutexGuard<'_, Entries> {
        // A panic cannot leave the map inconsistent, so a poisoned lock can be used.
        self.entries.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Dialled {
    /// Waits for the next link that the pool opens. Returns `None` when the pool was dropped.
    pub(crate) async fn next(&mut self) -> Option<links::Link> {
        self.0.recv().await
    }
}

/// Sets the result of an attempt that has none yet.
fn set_result(sender: &watch::Sender<Attempt>, result: errors::Result<links::Link>) {
    sender.send_if_modified(|it| {
        let pending = it.is_none();
        if pending {
            *it = Some(result);
        }
        pending
    });
}

impl Entry {
    /// Whether the entry leads to `addr` and is connected, or still being connected.
    fn is_usable(&self, addr: net::SocketAddr) -> bool {
        if self.addr != addr {
            return false;
        }
        match &*self.attempt.borrow() {
            None => self.attempt.has_changed().is_ok(),
            Some(Ok(link)) => !link.is_closed(),
            Some(Err(_)) => false,
        }
    }
}
