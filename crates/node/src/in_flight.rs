//! Requests that the backend server of this host works on.

use std::collections;

use compact_str::{CompactString, format_compact};
use routing::budget;
use slotmap::{Key as _, KeyData, SlotMap};
use world::{requests, time};

slotmap::new_key_type! {
    /// Key of a [`Flight`].
    pub(crate) struct RequestKey;
}

/// A request that the backend server works on.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// Identifies requests that do the same.
    pub(crate) fingerprint: requests::Fingerprint,
    /// What its calls may spend.
    pub(crate) budget: budget::Budget,
    /// Names the request in the logs of all processes.
    pub(crate) id: CompactString,
    /// When its caller stops waiting.
    pub(crate) deadline: time::Time,
    /// Until when its answer has its full worth.
    pub(crate) objective: time::Time,
    /// Share of a crowded target, against other routes.
    pub(crate) weight: u32,
    /// Whether another target has had it before.
    pub(crate) repeat: bool,
    /// Method and path, for the log line after a crash.
    pub(crate) summary: CompactString,
}

/// The requests in flight, and those that broke a moment ago.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    arena: SlotMap<RequestKey, Request>,
    by_id: collections::HashMap<CompactString, RequestKey>,
    /// Requests whose connection broke. A crash breaks connections before it is noticed.
    recently_broken: Vec<(time::Time, Request)>,
}

/// How long a broken request counts as in flight when the backend server is found dead: the lease
/// of its announcement and one renewal.
const BROKEN_AGE: std::time::Duration = std::time::Duration::from_millis(2_500);

impl Requests {
    /// Adds a request. The key goes to the backend server as the parent of its calls.
    pub(crate) fn start(&mut self, request: Request) -> RequestKey {
        let id = request.id.clone();
        let key = self.arena.insert(request);
        self.by_id.insert(id, key);
        key
    }

    /// The request with this key.
    pub(crate) fn get_mut(&mut self, key: RequestKey) -> Option<&mut Request> {
        self.arena.get_mut(key)
    }

    /// The request with this name.
    pub(crate) fn find(&self, id: &str) -> Option<&Request> {
        self.arena.get(*self.by_id.get(id)?)
    }

    /// Ends a request.
    pub(crate) fn finish(&mut self, key: RequestKey) -> Option<Request> {
        let request = self.arena.remove(key)?;
        // The same request may have come again meanwhile.
        if self.by_id.get(&request.id) == Some(&key) {
            self.by_id.remove(&request.id);
        }
        Some(request)
    }

    /// Ends a request whose connection broke.
    pub(crate) fn abort(&mut self, now: time::Time, key: RequestKey) -> Option<Request> {
        let request = self.finish(key)?;
        self.recently_broken.retain(|it| now.since(it.0) < BROKEN_AGE);
        self.recently_broken.push((now, request.clone()));
        Some(request)
    }

    /// The requests that were in flight when the backend server died. Each is returned once.
    pub(crate) fn take_suspects(&mut self, now: time::Time) -> Vec<Request> {
        let recently_broken = std::mem::take(&mut self.recently_broken);
        let recent =
            recently_broken.into_iter().filter(|it| now.since(it.0) < BROKEN_AGE).map(|it| it.1);
        recent.chain(self.arena.values().cloned()).collect()
    }

    /// Requests in flight.
    pub(crate) fn len(&self) -> usize {
        self.arena.len()
    }
}

/// A key as text, for the header that names a parent.
pub(crate) fn encode(key: RequestKey) -> CompactString {
    format_compact!("{:x}", key.data().as_ffi())
}

/// The key in a header.
pub(crate) fn decode(text: &str) -> Option<RequestKey> {
    u64::from_str_radix(text, 16).ok().map(|it| KeyData::from_ffi(it).into())
}
