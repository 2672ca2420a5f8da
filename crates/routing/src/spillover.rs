//! Decides how much of a service's load leaves the data centre.
//!
//! Load that it answers: callers that move to a data centre, or targets there that slow down, within
//! seconds, while targets in other data centres have room. A fixed penalty for leaving keeps such
//! requests waiting, or refused, at home; no penalty sends requests away that would be answered at
//! home just as soon, over links that are paid by the byte.
//!
//! The penalty is highest while a target at home is free. It falls with the delay that the best
//! target at home is expected to add, measured against the delay at which targets refuse. Both
//! directions are smoothed, so that requests do not leave and return in turn: what leaves lowers the
//! delay at home only after a service time.

use std::time;

use world::time::Time;

/// Expected delay at home, as a share of the objective, from which leaving costs least. Targets
/// refuse requests that would wait longer than this.
pub const FULL_DELAY: f32 = 0.15;
/// Lowest share of the penalty. It keeps requests at home while both are equally good.
const MIN_SHARE: f32 = 0.1;
/// Time constant of the smoothing: about the time in which a change of the load shows in the
/// reports of the targets.
const SMOOTHING: time::Duration = time::Duration::from_millis(400);
/// Largest weight of one sample, so that one request does not decide for a service that a node
/// sends few requests.
const MAX_WEIGHT: f32 = 0.25;
/// Time without a request after which the pressure is forgotten.
const MAX_AGE: time::Duration = time::Duration::from_secs(2);
/// Bytes of a request that cost as much as leaving itself.
const PENALTY_BYTES: f32 = 16.0 * 1024.0;
/// Largest factor by which the bytes of a request raise the penalty.
const MAX_BYTES_FACTOR: f32 = 2.0;

/// How hard it is to get a slot of one service in the node's own data centre.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spillover {
    /// Smoothed pressure: 0 with a free target at home, 1 when all of them would refuse.
    pressure: f32,
    updated: Time,
}

impl Spillover {
    /// Records the pressure that one selection found, see
    /// [`Choice::home_pressure`](crate::balancer::Choice::home_pressure).
    pub fn record(&mut self, now: Time, pressure: f32) {
        let age = now.since(self.updated);
        let weight = 1.0 - (-age.as_secs_f32() / SMOOTHING.as_secs_f32()).exp();
        self.pressure = self.pressure(now);
        self.pressure += weight.min(MAX_WEIGHT) * (pressure.clamp(0.0, 1.0) - self.pressure);
        self.updated = now;
    }

    /// Returns the smoothed pressure, which falls evenly to zero without requests.
    pub fn pressure(&self, now: Time) -> f32 {
        let age = now.since(self.updated).as_secs_f32() / MAX_AGE.as_secs_f32();
        self.pressure * (1.0 - age).max(0.0)
    }

    /// Returns the share of the policy's penalty for leaving that applies to a request of this size.
    pub fn penalty_share(&self, now: Time, bytes: usize) -> f32 {
        let size = (1.0 + bytes as f32 / PENALTY_BYTES).min(MAX_BYTES_FACTOR);
        (1.0 - self.pressure(now)).max(MIN_SHARE) * size
    }
}
