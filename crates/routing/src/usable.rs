//! The targets among which a selection chooses, with their measurements.

use rand::{Rng as _, rngs};
use world::time;

use crate::{balancer, estimates, policy};

/// Expected latency while no target of the service has answered.
pub(crate) const DEFAULT_LATENCY_MICROS: f32 = 10_000.0;

/// The usable targets of one selection.
pub(crate) struct UsableTargets {
    pub(crate) stats: [policy::TargetStats; balancer::MAX_COMPARED],
    /// Used length of `stats`, `weights` and `shares`.
    pub(crate) len: usize,
    /// How many of them are linked. These come first.
    pub(crate) linked: usize,
    pub(crate) ejected: usize,
    /// Weight of each target's latency against the mean: 1 when just measured, 0 when unknown.
    pub(crate) weights: [f32; balancer::MAX_COMPARED],
    /// Share of its full load that each target gets, see `Balancer::ramp_share`.
    pub(crate) shares: [f32; balancer::MAX_COMPARED],
    /// The ejected target with the fewest requests in flight.
    pub(crate) best_ejected: Option<policy::TargetStats>,
    /// An ejected target that is due for a trial request.
    pub(crate) trial: Option<policy::TargetStats>,
    /// The error to return if no target is usable.
    pub(crate) error: balancer::Error,
}

impl UsableTargets {
    pub(crate) fn add(
        &mut self,
        stats: policy::TargetStats,
        share: f32,
        weight: f32,
        linked: bool,
    ) {
        let last = self.len;
        self.stats[last] = stats;
        self.shares[last] = share;
        self.weights[last] = weight;
        self.len += 1;
        if linked {
            self.stats.swap(self.linked, last);
            self.shares.swap(self.linked, last);
            self.weights.swap(self.linked, last);
            self.linked += 1;
        }
    }

    /// Whether no target can get the request, not even an ejected one as a trial.
    pub(crate) fn is_empty(&self) -> bool {
        self.len == 0 && self.trial.is_none()
    }

    /// These targets, or if `other` has a usable one, those. The rest is combined.
    pub(crate) fn or(self, other: UsableTargets) -> UsableTargets {
        UsableTargets {
            ejected: self.ejected + other.ejected,
            best_ejected: self.best_ejected.or(other.best_ejected),
            error: self.error.max(other.error),
            ..other
        }
    }

    /// How many targets the policy compares: the linked ones, or all if no linked one has a free
    /// slot. The others only count for the longest wait.
    pub(crate) fn compared(&self) -> usize {
        let free = self.stats[..self.linked].iter().any(|it| it.queue_ahead <= 0.0);
        if free { self.linked } else { self.len }
    }

    /// Leaves out targets in a cold start at random, of those that the policy compares. Each is
    /// kept with a probability of its share divided by the largest one, so if all have started at
    /// the same time, as after a restart of the whole service, all are kept.
    pub(crate) fn skip_cold(&mut self, rng: &mut rngs::SmallRng) {
        let compared = self.compared();
        let largest = self.shares[..compared].iter().copied().fold(0.0, f32::max);
        let mut kept = 0;
        for index in 0..self.len {
            let share = self.shares[index];
            let skipped = index < compared && share < largest;
            if skipped && rng.random::<f32>() * largest >= share {
                self.linked -= usize::from(index < self.linked);
                continue;
            }
            self.stats[kept] = self.stats[index];
            self.weights[kept] = self.weights[index];
            kept += 1;
        }
        self.len = kept;
    }

    pub(crate) fn add_ejected(
        &mut self,
        now: time::Time,
        request: &balancer::Request<'_>,
        stats: policy::TargetStats,
        estimate: &estimates::Estimate,
        trials: bool,
    ) {
        self.ejected += 1;
        let linked = request.candidates[stats.index as usize].linked;
        if trials && linked && self.trial.is_none() && estimate.trial_due(now, request.idempotent) {
            self.trial = Some(stats);
        }
        let busy = |it: &policy::TargetStats| it.in_flight;
        if self.best_ejected.is_none_or(|best| busy(&stats) < busy(&best)) {
            self.best_ejected = Some(stats);
        }
    }

    /// Moves each latency towards the mean of the usable targets, the further the older it is. A
    /// target without a current estimate gets the mean, so that it is tried.
    ///
    /// Giving such a target the lowest latency instead raises the 99th percentile: that latency is
    /// low by chance, and attracts requests to targets of which nothing is known.
    pub(crate) fn shrink_to_mean(&mut self) {
        let stats = &mut self.stats[..self.len];
        let weights = &self.weights[..self.len];
        let total: f32 = weights.iter().sum();
        let sum: f32 = stats.iter().zip(weights).map(|(it, weight)| it.latency * weight).sum();
        let mean = if total > 0.0 { sum / total } else { DEFAULT_LATENCY_MICROS };
        for (it, weight) in stats.iter_mut().zip(weights) {
            it.latency = mean + (it.latency - mean) * weight;
        }
        self.estimate_waits();
    }

    /// Computes the expected wait at each target. Targets that have not reported their service
    /// times get the mean of the others.
    pub(crate) fn estimate_waits(&mut self) {
        fill_times(&mut self.stats[..self.len]);
    }
}

/// Fills in the times that are not known, and computes the expected wait at each target.
pub(crate) fn fill_times(stats: &mut [policy::TargetStats]) {
    fill_unknown(stats, |it| &mut it.service_time);
    fill_unknown(stats, |it| &mut it.slot_time);
    for it in stats {
        it.wait = it.queue_ahead * it.slot_time / it.slots;
    }
}

/// Sets times that are not known, which are zero, to the mean of the known ones, or to the target's
/// latency if none is known.
fn fill_unknown(stats: &mut [policy::TargetStats], time: fn(&mut policy::TargetStats) -> &mut f32) {
    let (mut count, mut sum) = (0.0, 0.0);
    for it in stats.iter_mut() {
        let known = *time(it);
        if known > 0.0 {
            count += 1.0;
            sum += known;
        }
    }
    for it in stats {
        let latency = it.latency;
        let it = time(it);
        if *it <= 0.0 {
            *it = if count > 0.0 { sum / count } else { latency };
        }
    }
}
