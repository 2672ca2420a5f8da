//! One link per peer, shared by all who call it.

use std::{collections, net, sync};

use compact_str::CompactString;
use tokio::sync::watch;

use crate::{codes, endpoint, errors, links};

/// LinkPool to peers by host name. Clones share the same links.
#[derive(Clone)]
pub struct LinkPool {
    endpoint: endpoint::Endpoint,
    entries: sync::Arc<sync::Mutex<Entries>>,
}

type Entries = collections::HashMap<CompactString, Entry>;
type Outcome = Option<errors::Result<links::Link>>;

/// An entry is replaced only while the map is locked, and the lock is never held across an await.
struct Entry {
    addr: net::SocketAddr,
    outcome: watch::Receiver<Outcome>,
}

impl LinkPool {
    /// A pool without links, which connects through `endpoint`.
    pub fn new(endpoint: endpoint::Endpoint) -> LinkPool {
        LinkPool { endpoint, entries: sync::Arc::default() }
    }

    /// The endpoint of the pool.
    pub fn endpoint(&self) -> &endpoint::Endpoint {
        &self.endpoint
    }

    /// The link to `host`, connecting when there is none, it is closed, or it leads to another
    /// address. Concurrent callers wait for the same attempt and share its error; the next call
    /// after an error connects again.
    pub async fn link(&self, host: &str, addr: net::SocketAddr) -> errors::Result<links::Link> {
        let mut outcome = self.outcome(host, addr);
        match outcome.wait_for(Option::is_some).await.as_deref() {
            Ok(Some(result)) => result.clone(),
            // The runtime is shutting down and has dropped the connecting task.
            _ => Err(errors::Error::TimedOut),
        }
    }

    /// Forgets the link to `host` and closes it as planned.
    pub fn remove(&self, host: &str) {
        let entry = self.lock().remove(host);
        let Some(entry) = entry else { return };
        if let Some(Ok(link)) = &*entry.outcome.borrow() {
            link.close(codes::Code::Done);
        }
    }

    fn outcome(&self, host: &str, addr: net::SocketAddr) -> watch::Receiver<Outcome> {
        let mut entries = self.lock();
        if let Some(entry) = entries.get(host).filter(|it| it.is_usable(addr)) {
            return entry.outcome.clone();
        }
        let (sender, outcome) = watch::channel(None);
        entries.insert(host.into(), Entry { addr, outcome: outcome.clone() });
        drop(entries);
        let endpoint = self.endpoint.clone();
        let host = CompactString::from(host);
        // The attempt has its own task, so that it outlives the caller that started it.
        tokio::spawn(async move {
            let result = endpoint.connect(addr, &host).await;
            if let Err(error) = &result {
                log::info!("cannot connect to {host} at {addr}: {error}");
            }
            sender.send_replace(Some(result));
        });
        outcome
    }

    fn lock(&self) -> sync::MutexGuard<'_, Entries> {
        // A panic cannot leave the map half changed, so a poisoned lock is usable.
        self.entries.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Entry {
    fn is_usable(&self, addr: net::SocketAddr) -> bool {
        if self.addr != addr {
            return false;
        }
        match &*self.outcome.borrow() {
            None => self.outcome.has_changed().is_ok(),
            Some(Ok(link)) => !link.is_closed(),
            Some(Err(_)) => false,
        }
    }
}
