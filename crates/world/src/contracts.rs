//! Contracts: what a version of the configuration promises about services and routes.

use std::time;

use compact_str::CompactString;

slotmap::new_key_type! {
    /// Key of a [`Service`] in a version's arena.
    pub struct ServiceKey;
    /// Key of a [`Route`] in a version's arena.
    pub struct RouteKey;
}

/// Backend servers that give the same answers.
#[derive(Clone, Debug)]
pub struct Service {
    /// The name in the document.
    pub name: CompactString,
    /// Connections that one target takes from all its callers together.
    pub connections: Option<u32>,
    /// The region that keeps the service's claims; none lets the name decide.
    pub home: Option<CompactString>,
    /// Requests that may wait at one target.
    pub queue: u32,
    /// Requests that one target runs at the same time.
    pub slots: u32,
    /// Time limit of a request.
    pub timeout: time::Duration,
}

/// Which requests go to a service, and what they are promised.
#[derive(Clone, Debug)]
pub struct Route {
    /// The name in the document.
    pub name: CompactString,
    /// The host that its requests name; none takes every host.
    pub host: Option<CompactString>,
    /// The path prefix of its requests.
    pub prefix: CompactString,
    /// The services that run them, with their shares. There is at least one.
    pub split: Vec<Upstream>,
    /// Targets that one request may be sent to, the first one included.
    pub attempts: Option<u32>,
    /// Time within which an answer has its full worth; at most the time limit.
    pub objective: time::Duration,
    /// Time limit of a request.
    pub timeout: time::Duration,
    /// Share of a crowded target, against other routes.
    pub weight: u32,
    /// Whether running a request twice is harmless.
    pub idempotency: Idempotency,
    /// Whether a non-idempotent request without an idempotency key is accepted.
    pub keyless: bool,
    /// Whether a slow request may be sent a second time to another target.
    pub hedge: bool,
}

/// A service's part of a route.
#[derive(Clone, Copy, Debug)]
pub struct Upstream {
    /// The service.
    pub service: ServiceKey,
    /// Its share of the requests, in proportion to the sum over the parts.
    pub weight: u32,
}

/// How to tell whether running a request twice is harmless.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Idempotency {
    /// Every request of the route is idempotent.
    Always,
    /// As HTTP defines it for the request's method (RFC 9110).
    ByMethod,
    /// No request of the route is idempotent.
    Never,
}

/// The fraction of the golden ratio in 64 bits: its multiples fill the range most evenly.
const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;

impl Route {
    /// The service for the request with this number. Over any run of numbers the shares differ
    /// from the weights by about one request.
    pub fn service_at(&self, number: u64) -> Option<ServiceKey> {
        let total: u128 = self.split.iter().map(|it| u128::from(it.weight)).sum();
        let point = (u128::from(number.wrapping_mul(GOLDEN)) * total) >> 64;
        let mut end = 0;
        for upstream in &self.split {
            end += u128::from(upstream.weight);
            if point < end {
                return Some(upstream.service);
            }
        }
        self.split.last().map(|it| it.service)
    }

    /// Whether a request with this method may run more than once.
    pub fn is_idempotent(&self, method: &str) -> bool {
        match self.idempotency {
            Idempotency::Always => true,
            Idempotency::ByMethod => {
                matches!(method, "DELETE" | "GET" | "HEAD" | "OPTIONS" | "PUT" | "TRACE")
            }
            Idempotency::Never => false,
        }
    }
}
