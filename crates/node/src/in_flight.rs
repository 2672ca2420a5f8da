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
    /// The time after which its caller no longer waits.
    pub(crate) deadline: time::Time,
    /// The time until which its answer meets the latency objective of its route.
    pub(crate) objective: time::Time,
    /// The share of an overloaded target that its route gets relative to other routes.
    pub(crate) weight: u32,
    /// Whether it was sent to another target before, so that its calls count as repeats.
    pub(crate) repeat: bool,
    /// Method, path and service, for the log line after a crash.
    pub(crate) summary: CompactString,
}

/// The requests in flight, and those whose connection broke at most [`BROKEN_AGE`] ago.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    arena: SlotMap<RequestKey, Request>,
    by_id: collections::HashMap<CompactString, RequestKey>,
    /// Requests whose connection broke, with the time of the break. A crash breaks the connections
    /// before the node notices it.
    recently_broken: Vec<(time::Time, Request)>,
}

/// How long a request whose connection broke counts as in flight at a crash. A crash is noticed at
/// the latest when the announcement's lease ends, so this is the lease plus one renewal.
const BROKEN_AGE: std::time::Duration = std::time::Duration::from_millis(2_500);

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

    /// Removes a request whose connection broke, and keeps it for [`BROKEN_AGE`] as a suspect of a
    /// crash.
    pub(crate) fn remove_broken(&mut self, now: time::Time, key: RequestKey) -> Option<Request> {
        let request = self.remove(key)?;
        self.recently_broken.retain(|it| now.since(it.0) < BROKEN_AGE);
        self.recently_broken.push((now, request.clone()));
        Some(request)
    }

    /// The requests that were in flight when the backend server crashed: those still in flight, and
    /// those that broke at most [`BROKEN_AGE`] ago. The latter are returned only once.
    pub(crate) fn take_suspects(&mut self, now: time::Time) -> Vec<Request> {
        let recently_broken = std::mem::take(&mut self.recently_broken);
        let recent =
            recently_broken.into_iter().filter(|it| now.since(it.0) < BROKEN_AGE).map(|it| it.1);
        recent.chain(self.arena.values().cloned()).collect()
    }

    /// The number of requests in flight.
    pub(crate) fn len(&self) -> usize {
        self.arena.len()
    }
}

/// Encodes a key in hexadecimal, for the header that names a call's parent.
pub(crate) fn encode(key: RequestKey) -> CompactString {
    format_compact!("{:x}", key.data().as_ffi())
}

/// Decodes a key from that header; none when it is not a hexadecimal number of 64 bits.
pub(crate) fn decode(text: &str) -> Option<RequestKey> {
    u64::from_str_radix(text, 16).ok().map(|it| KeyData::from_ffi(it).into())
}
