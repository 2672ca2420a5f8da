//! How large the answers of each route have been lately, and how long it took to make them.

use std::time;

use slotmap::SecondaryMap;
use world::contracts;

/// The largest size that one answer contributes to an estimate, in bytes. A single huge answer would
/// otherwise keep its route off the link for dozens of requests.
pub const MAX_BYTES: u64 = 1024 * 1024;
/// An estimate moves by this part of the difference to the newest answer.
const WEIGHT: f64 = 0.125;

/// The expected answer of a route.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Bytes of the body; zero before the first answer.
    pub bytes: f64,
    /// Time from the admission of a request to the head of its answer.
    pub service: time::Duration,
}

/// The estimates of all routes with answers.
#[derive(Clone, Debug, Default)]
pub struct Sizes(SecondaryMap<contracts::RouteKey, Estimate>);

impl Sizes {
    /// Returns the expected answer of a route; zero before its first answer.
    pub fn get(&self, route: contracts::RouteKey) -> Estimate {
        self.0.get(route).copied().unwrap_or_default()
    }

    /// Adds an answer to the estimate of its route.
    pub fn record(&mut self, route: contracts::RouteKey, bytes: u64, service: time::Duration) {
        let newest = Estimate { bytes: bytes.min(MAX_BYTES) as f64, service };
        let Some(entry) = self.0.entry(route) else { return };
        entry.and_modify(|it| it.move_to(newest)).or_insert(newest);
    }

    /// Moves the estimates to the keys of a new version of the configuration. `new_key` returns
    /// `None` if a route is gone.
    pub fn remap(&mut self, new_key: impl Fn(contracts::RouteKey) -> Option<contracts::RouteKey>) {
        let old = std::mem::take(&mut self.0);
        self.0 = old.into_iter().filter_map(|(key, it)| Some((new_key(key)?, it))).collect();
    }
}

impl Estimate {
    fn move_to(&mut self, newest: Estimate) {
        self.bytes += WEIGHT * (newest.bytes - self.bytes);
        self.service = self.service.mul_f64(1.0 - WEIGHT) + newest.service.mul_f64(WEIGHT);
    }
}
