//! Messages about rollouts between nodes and controls.

use compact_str::CompactString;
use routing::tallies;
use serde::{Deserialize, Serialize};
use world::rollouts;

/// The rollouts that a control knows.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct List {
    /// The last order of each service.
    pub orders: Vec<rollouts::Order>,
    /// Orders whose new version the control judges bad, before that is in the log. They get nothing
    /// until a later stage.
    pub held: Vec<rollouts::OrderId>,
    /// Whether the control is in contact with a leader. If not, a node raises no share.
    pub current: bool,
}

/// What a node has seen of an order. The counts begin with the order, or with the node's start, so
/// that a lost message loses nothing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// The order.
    pub order: rollouts::OrderId,
    /// The stage that the node follows.
    pub stage: rollouts::Stage,
    /// The answers that it got from targets of both versions.
    pub tally: tallies::Tally,
    /// Requests in flight to old targets, and on the old target of its own host.
    pub busy: u32,
    /// Those of them that are not idempotent.
    pub unsafe_busy: u32,
}

/// What the nodes attached to a control have seen of an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Summary {
    /// The order.
    pub order: rollouts::OrderId,
    /// The answers that they counted.
    pub tally: tallies::Tally,
    /// The nodes that are or were attached to the control.
    pub nodes: Vec<NodeState>,
}

/// Whether a node has moved to the new version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeState {
    /// The name of its host.
    pub host: CompactString,
    /// Whether it follows the last stage and has nothing in flight to the old version.
    pub moved: bool,
    /// Time since that was known, in milliseconds.
    pub age_ms: u64,
}
