//! Explanations of routing decisions: where a node would send a request now, and why. JSON over the
//! address of the node's metrics page.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use world::document;

/// Path of explanations: GET with the query `method`, `host`, `path` and `team` returns an
/// [`Explanation`]. The values are percent-encoded.
pub const EXPLAIN_PATH: &str = "/explain";

/// The request to explain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Question {
    /// The HTTP method.
    pub method: CompactString,
    /// The value of the `host` field, without a port; empty for none.
    pub host: CompactString,
    /// The path, without a query.
    pub path: CompactString,
    /// The name of the caller's team; empty for none.
    pub team: CompactString,
}

/// Where a node would send a request now.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Explanation {
    /// The node's host.
    pub node: CompactString,
    /// The node's data centre.
    pub data_centre: CompactString,
    /// The version of the configuration that the node runs; `None` for none yet.
    pub version: Option<document::Version>,
    /// Whether the version may be routed by: a control has confirmed it lately, or the node is cut
    /// off from all controls.
    pub routable: bool,
    /// The refusal that the request would get before a target is chosen.
    pub refusal: Option<Refusal>,
    /// The route, if one takes the request.
    pub route: Option<Route>,
    /// The services of the route, each with its targets. Of several, each gets its share of the
    /// requests in turn.
    pub services: Vec<Service>,
}

/// A refusal by the node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// The HTTP status in the product's own dialect.
    pub status: u16,
    /// The reason in one word.
    pub reason: CompactString,
    /// The reason for a reader.
    pub detail: CompactString,
}

/// The route of a request, and what follows from it and from the team.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// The name of the route.
    pub name: CompactString,
    /// Its path prefix.
    pub prefix: CompactString,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Priority from 0, the most urgent one.
    pub rank: u32,
    /// Weight against other requests at the same target.
    pub worth: u32,
    /// Latency objective, in milliseconds.
    pub objective_ms: u64,
    /// Time limit, in milliseconds.
    pub timeout_ms: u64,
}

/// A service of the route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// The name of the service.
    pub service: CompactString,
    /// Its weight in the split of the route.
    pub weight: u32,
    /// The policy by which targets are compared.
    pub policy: CompactString,
    /// Penalty for leaving the data centre, in milliseconds.
    pub penalty_ms: f32,
    /// The known targets, the one that is chosen first.
    pub targets: Vec<Target>,
}

/// A target as the node sees it. Times are expected ones, in milliseconds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Target {
    /// The host of the target.
    pub host: CompactString,
    /// Its data centre.
    pub data_centre: CompactString,
    /// Whether it would be chosen.
    pub chosen: bool,
    /// Why it can or cannot be chosen.
    pub status: CompactString,
    /// Whether a link to its host is open.
    pub linked: bool,
    /// Unanswered requests of this node.
    pub in_flight: u32,
    /// Network round trip.
    pub round_trip_ms: f32,
    /// Wait for a free slot.
    pub wait_ms: f32,
    /// How long a request runs there.
    pub service_ms: f32,
    /// Refusals before the target admits a request.
    pub refusals: f32,
    /// What the policy compares: the time until the answer, with the penalty and the cost of
    /// refusals.
    pub cost_ms: f32,
}
