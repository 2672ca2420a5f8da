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
    /// The path prefix of its requests.
    pub prefix: CompactString,
    /// The service that runs them.
    pub service: ServiceKey,
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

impl Route {
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
