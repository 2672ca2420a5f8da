//! Contracts: the limits and delivery guarantees that a version of the configuration sets for
//! services and routes.

use std::time;

use compact_str::CompactString;

slotmap::new_key_type! {
    /// Key of a [`Service`] in the arena of one [`Config`](crate::config::Config).
    pub struct ServiceKey;
    /// Key of a [`Route`] in the arena of one [`Config`](crate::config::Config).
    pub struct RouteKey;
    /// Key of a [`Team`] in the arena of one [`Config`](crate::config::Config).
    pub struct TeamKey;
}

/// A group of callers that share API keys.
#[derive(Clone, Debug)]
pub struct Team {
    /// The name in the document.
    pub name: CompactString,
    /// Priority in place of that of a route; `None` if the route's counts.
    pub priority: Option<u32>,
    /// The requests that the team may send; `None` without a limit.
    pub quota: Option<Quota>,
}

/// The requests that a team may send to all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests per second, above 0.
    pub rate: f64,
    /// Requests at once, on top of the rate.
    pub burst: f64,
}

/// How urgent the requests of a route or team are.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Urgency {
    /// Priority from 0, the most urgent one.
    pub rank: u32,
    /// Weight against other requests at the same target, at least 1.
    pub worth: u32,
}

impl Urgency {
    /// Returns the urgency of a priority. Its weight is 64 for priority 0, half as much for each
    /// priority after it, and at least 1.
    pub fn of_priority(priority: u32) -> Urgency {
        const MAX_WEIGHT: u32 = 64;
        Urgency { rank: priority, worth: (MAX_WEIGHT >> priority.min(6)).max(1) }
    }
}

/// A group of interchangeable backend servers.
#[derive(Clone, Debug)]
pub struct Service {
    /// The name in the document.
    pub name: CompactString,
    /// Most connections that one target takes from all its callers together.
    pub connections: Option<u32>,
    /// The region whose controls store the claims of the service's non-idempotent requests; `None`
    /// if no region does.
    pub home: Option<CompactString>,
    /// Most requests that wait at one target.
    pub queue: u32,
    /// Most requests that one target runs at the same time.
    pub slots: u32,
    /// Time limit of a request.
    pub timeout: time::Duration,
}

/// Which requests go to which services, and the limits and guarantees that apply to them.
#[derive(Clone, Debug)]
pub struct Route {
    /// The name in the document.
    pub name: CompactString,
    /// The host that the requests name; `None` for any host.
    pub host: Option<CompactString>,
    /// The path prefix of the requests.
    pub prefix: CompactString,
    /// The services that run the requests, at least one.
    pub split: Vec<Upstream>,
    /// Most targets that one request is sent to, including the first one; `None` for the default
    /// limit.
    pub attempts: Option<u32>,
    /// Latency objective: a later answer counts as late. At most `timeout`.
    pub objective: time::Duration,
    /// Time limit of a request.
    pub timeout: time::Duration,
    /// How urgent its requests are, against those of other routes at the same target.
    pub urgency: Urgency,
    /// Whether requests need no API key.
    pub public: bool,
    /// Which requests may safely run more than once.
    pub idempotency: Idempotency,
    /// Whether a non-idempotent request without an idempotency key is accepted.
    pub keyless: bool,
    /// Whether a slow request may be hedged: sent to a second target as well.
    pub hedge: bool,
}

/// A service that runs requests of a route.
#[derive(Clone, Copy, Debug)]
pub struct Upstream {
    /// The key of the service.
    pub service: ServiceKey,
    /// Its share of the requests, relative to the sum of the weights of the route's split.
    pub weight: u32,
}

/// Which requests of a route are idempotent, so that running them twice is harmless.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Idempotency {
    /// All requests of the route.
    Always,
    /// Those whose method is idempotent in HTTP (RFC 9110).
    ByMethod,
    /// No request of the route.
    Never,
}

/// Fractional part of the golden ratio, scaled to 64 bits. Its multiples, modulo 2^64, are spread
/// most evenly over the range.
const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;

impl Route {
    /// Returns the service for the request with this number. Among requests with consecutive
    /// numbers, the count of each service differs from its share by about one request.
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

    /// Whether a request with this HTTP method may run more than once.
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
