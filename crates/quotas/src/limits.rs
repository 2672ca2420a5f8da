//! The figures of the rule for quotas, and the bounds that follow from them.

use std::time;

use world::contracts;

/// The time over which the rule counts requests.
pub const WINDOW: time::Duration = time::Duration::from_secs(5);
/// The part of a quota by which the requests in a window may exceed it.
pub const TOLERANCE: f64 = 0.1;
/// Requests by which a window may exceed its quota in addition.
pub const SLACK: f64 = 20.0;
/// How long a token is valid after the node has asked for it.
pub const TOKEN_LIFETIME: time::Duration = time::Duration::from_secs(3);

/// The most requests of a team that may run in any [`WINDOW`].
pub fn allowed(quota: &contracts::Quota) -> f64 {
    within(quota) * (1.0 + TOLERANCE) + SLACK
}

/// Half of what the rule allows beyond the quota. The other half covers requests that nodes admit
/// early, tokens that return late and those of a control from before its restart.
pub fn reserve(quota: &contracts::Quota) -> f64 {
    (TOLERANCE * within(quota) + SLACK) / 2.0
}

/// The most tokens that a control with this share of a quota has in hand and at nodes.
pub fn cap(quota: &contracts::Quota, share: f64) -> f64 {
    share * (quota.burst + reserve(quota))
}

fn within(quota: &contracts::Quota) -> f64 {
    WINDOW.as_secs_f64() * quota.rate + quota.burst
}
