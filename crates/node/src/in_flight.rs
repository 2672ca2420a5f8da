//! Requests that the backend server of this host is processing.

use std::collections;

use compact_str::{CompactString, format_compact};
use routing::budget;
use slotmap::{Key as _, KeyData, SlotMap};
use world::{requests, time};

slotmap::new_key_type! {
    /// Key of a [`Request`].
    pub(crate) struct RequestKey;
}

/// A request that the backend server is processing.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// The fingerprint, which equal requests share.
    pub(crate) fingerprint: requests::Fingerprint,
    /// Extra attempts, depth and time that are left for its calls.
    pub(crate) budget: budget::Budget,
    /// The ID that the logs of all processes and the request's own calls use.
    pub(crate) id: CompactString,
    /// The name of its route.
    pub(crate) route: CompactString,
    /// What its calls inherit.
    pub(crate) context: requests::Context,
    /// Whether running it twice is harmless.
    pub(crate) idempotent: bool,
    /// Whether it was sent to another target before, so that its calls count as repeats.
    pub(crate) repeat: bool,
    /// Method, path and service, for the log line after a crash.
    pub(crate) summary: CompactString,
}

/// The requests in flight, and those that broke and may have crashed the backend server.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    arena: SlotMap<RequestKey, Request>,
    by_id: collections::HashMap<CompactString, RequestKey>,
    /// Requests that ended without a whole answer, with the time of that, oldest first. A crash
    /// breaks the connections before the node notices it.
    broken: collections::VecDeque<(time::Time, Request)>,
}

/// Most broken requests that are kept, which bounds their memory. Beyond that, the oldest is
/// dropped.
const MAX_BROKEN: usize = 1_024;

impl Requests {
    /// Adds a request. The backend server gets the encoded key as the parent of the request's
    /// calls.
    pub(crate) fn insert(&mut self, request: Request) -> RequestKey {
        let id = request.id.clone();
        let key = self.arena.insert(request);
        self.by_id.insert(id, key);
        key
    }

    /// The request with this key.
    pub(crate) fn get_mut(&mut self, key: RequestKey) -> Option<&mut Request> {
        self.arena.get_mut(key)
    }

    /// The request with this ID. If several have it, the one that came last.
    pub(crate) fn find(&self, id: &str) -> Option<&Request> {
        self.arena.get(*self.by_id.get(id)?)
    }

    /// Removes a request that has ended.
    pub(crate) fn remove(&mut self, key: RequestKey) -> Option<Request> {
        let request = self.arena.remove(key)?;
        // A later request with the same ID may have taken the entry.
        if self.by_id.get(&request.id) == Some(&key) {
            self.by_id.remove(&request.id);
        }
        Some(request)
    }

    /// Removes a request that ended without a whole answer, and keeps it as a suspect of a crash
    /// until [`Requests::renew`] shows that there was none.
    pub(crate) fn remove_broken(&mut self, now: time::Time, key: RequestKey) {
        let Some(request) = self.remove(key) else { return };
        self.broken.push_back((now, request));
        if self.broken.len() > MAX_BROKEN {
            self.broken.pop_front();
        }
    }

    /// Forgets the broken requests that have not crashed the backend server, because it has renewed
    /// its announcement: those that broke a whole `lease` ago. Had one of them crashed it, the
    /// lease would have ended or another process would have announced itself by now.
    pub(crate) fn renew(&mut self, now: time::Time, lease: std::time::Duration) {
        while self.broken.front().is_some_and(|it| now.since(it.0) >= lease) {
            self.broken.pop_front();
        }
    }

    /// The requests that were in flight when the backend server crashed: those still in flight, and
    /// the broken ones. The latter are returned only once.
    pub(crate) fn take_suspects(&mut self) -> Vec<Request> {
        let broken = std::mem::take(&mut self.broken);
        broken.into_iter().map(|it| it.1).chain(self.arena.values().cloned()).collect()
    }

    /// The number of requests in flight that must not run twice.
    pub(crate) fn not_idempotent(&self) -> usize {
        self.arena.values().filter(|it| !it.idempotent).count()
    }

    /// The number of requests in flight.
    pub(crate) fn len(&self) -> usize {
        self.arena.len()
    }
}

/// Encodes a key in hexadecimal, for the header that names a call's parent. The `epoch` is that of
/// this process: a backend server can hold tokens of a former process of its node, which has given
/// out the same keys.
pub(crate) fn encode(epoch: u32, key: RequestKey) -> CompactString {
    format_compact!("{epoch:x}-{:x}", key.data().as_ffi())
}

/// Decodes a key from that header; none when it is not one of the process with this `epoch`.
pub(crate) fn decode(epoch: u32, text: &str) -> Option<RequestKey> {
    let (of, key) = text.split_once('-')?;
    let of = u32::from_str_radix(of, 16).ok().filter(|it| *it == epoch);
    of.and_then(|_| u64::from_str_radix(key, 16).ok()).map(|it| KeyData::from_ffi(it).into())
}
