//! A pool with one link per peer, which all tasks share.

use std::{
    collections, net,
    sync::{self, atomic},
    time,
};

use compact_str::CompactString;
use tokio::sync::watch;

use crate::{codes, endpoint, errors, links};

/// Links to peers by host name. Clones share the links.
#[derive(Clone)]
pub struct LinkPool {
    endpoint: endpoint::Endpoint,
    entries: sync::Arc<sync::Mutex<Entries>>,
    counters: sync::Arc<Counters>,
}

/// How many attempts to connect a pool has made since it was created.
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
}

impl LinkPool {
    /// Creates an empty pool that connects through `endpoint`.
    pub fn new(endpoint: endpoint::Endpoint) -> LinkPool {
        LinkPool { endpoint, entries: sync::Arc::default(), counters: sync::Arc::default() }
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

    /// Returns the link to `host`. Connects first if there is no link, the link is closed, or it
    /// leads to another address than `addr`. Concurrent calls wait for the same attempt and share
    /// its error. The next call after an error connects again.
    pub async fn link(&self, host: &str, addr: net::SocketAddr) -> errors::Result<links::Link> {
        let mut attempt = self.attempt(host, addr);
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

    /// The usable attempt or link to `host`, or else a new attempt.
    fn attempt(&self, host: &str, addr: net::SocketAddr) -> watch::Receiver<Attempt> {
        let mut entries = self.lock();
        if let Some(entry) = entries.get(host).filter(|it| it.is_usable(addr)) {
            return entry.attempt.clone();
        }
        let (sender, attempt) = watch::channel(None);
        entries.insert(host.into(), Entry { addr, attempt: attempt.clone() });
        drop(entries);
        let endpoint = self.endpoint.clone();
        let host = CompactString::from(host);
        // The attempt runs in a task of its own, so that dropping this call does not abort it.
        let counters = sync::Arc::clone(&self.counters);
        tokio::spawn(async move {
            counters.started.fetch_add(1, atomic::Ordering::Relaxed);
            let started_at = time::Instant::now();
            let result = endpoint.connect(addr, &host).await;
            let took = started_at.elapsed();
            match &result {
                Ok(_) => {
                    counters.opened.fetch_add(1, atomic::Ordering::Relaxed);
                    log::info!(target: "decision", "link_opened host={host} took={took:?}");
                }
                Err(error) => {
                    counters.failed.fetch_add(1, atomic::Ordering::Relaxed);
                    log::info!(
                        target: "decision",
                        "link_failed host={host} addr={addr} took={took:?} error=\"{error}\"",
                    );
                }
            }
            sender.send_replace(Some(result));
        });
        attempt
    }

    fn lock(&self) -> sync::MutexGuard<'_, Entries> {
        // A panic cannot leave the map inconsistent, so a poisoned lock can be used.
        self.entries.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
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
