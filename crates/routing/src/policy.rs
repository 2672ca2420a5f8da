//! Policies for the choice of target: a function and its parameters.

use rand::{Rng as _, rngs};

/// How a target is picked among those that may be used.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// The name in settings and tables.
    pub name: &'static str,
    /// Picks an index of the input's options, which are never empty.
    pub pick: fn(&Policy, &PickInput<'_>, &mut rngs::SmallRng) -> usize,
    /// What others' work at the target adds to its expected time, in proportion to its slots.
    pub load_weight: f32,
    /// Largest random addition to an expected time, as a share of it. Nodes that see the same
    /// reports would otherwise choose the same target.
    pub jitter: f32,
    /// What leaving the data centre adds to an expected time, as a share of the objective. Links
    /// between data centres are slower to notice a fault, and their bytes are paid for.
    pub remote_penalty: f32,
}

/// A target that may be used, in numbers.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetStats {
    /// The position among the candidates.
    pub index: u32,
    /// Requests sent from here and not answered yet.
    pub in_flight: f32,
    /// Work at the target that others sent.
    pub other_load: f32,
    /// Requests that the target runs at the same time, less during a cold start.
    pub slots: f32,
    /// Expected time at the target, in microseconds.
    pub latency: f32,
    /// The way there and back, in microseconds.
    pub round_trip: f32,
    /// Requests that have to end before the target has a free slot.
    pub queue_ahead: f32,
    /// Expected time until the target has a free slot, in microseconds.
    pub wait: f32,
    /// Expected time that the request runs there, in microseconds.
    pub service_time: f32,
    /// Expected time that any request runs there, in microseconds.
    pub slot_time: f32,
    /// Whether it is in this node's data centre.
    pub local: bool,
}

/// What a policy chooses from.
#[derive(Clone, Copy, Debug)]
pub struct PickInput<'a> {
    /// The targets that may be used.
    pub targets: &'a [TargetStats],
    /// Grows by one with each choice of this node.
    pub turn: usize,
    /// The request's objective, in microseconds.
    pub objective: f32,
}

/// Takes the targets in turn.
pub const ROUND_ROBIN: Policy = Policy {
    name: "round-robin",
    pick: pick_next,
    load_weight: 0.0,
    jitter: 0.0,
    remote_penalty: 0.0,
};

/// Takes any target.
pub const RANDOM: Policy =
    Policy { name: "random", pick: pick_any, load_weight: 0.0, jitter: 0.0, remote_penalty: 0.0 };

/// Compares two random targets by requests in flight from here times measured latency.
pub const TWO_CHOICES: Policy = Policy {
    name: "two-choices",
    pick: pick_of_two,
    load_weight: 0.0,
    jitter: 0.0,
    remote_penalty: 0.0,
};

/// Takes the least expected time over all targets: link, measured latency and load.
pub const LEAST_TIME: Policy = Policy {
    name: "least-time",
    pick: pick_least_time,
    load_weight: 1.0,
    jitter: 0.1,
    remote_penalty: 0.0,
};

/// Takes the earliest expected end: the wait for a slot, the time that requests run there and the
/// link. A target of another data centre has to be earlier by a share of the objective, so work
/// stays near while it can still be answered in time there.
pub const NEAR_FIRST: Policy = Policy {
    name: "near-first",
    pick: pick_earliest,
    load_weight: 1.0,
    jitter: 0.2,
    remote_penalty: 0.5,
};

/// The policy with the best measured tail; the table is in docs/measurements.md under "Choice of
/// target".
pub const DEFAULT: Policy = LEAST_TIME;

/// All policies, by name.
pub const ALL: [&Policy; 5] = [&ROUND_ROBIN, &RANDOM, &TWO_CHOICES, &LEAST_TIME, &NEAR_FIRST];

/// The policy called `name`.
pub fn find(name: &str) -> Option<&'static Policy> {
    ALL.into_iter().find(|it| it.name == name)
}

impl Policy {
    /// The time that a request to this target is expected to take, in microseconds.
    ///
    /// The measured latency contains the waiting that others cause. What was sent from here and
    /// not answered is not in it yet, so each such request counts as one more.
    pub fn expected_time(&self, stats: &TargetStats) -> f32 {
        let others = self.load_weight * stats.other_load / stats.slots;
        stats.round_trip + stats.latency * (1.0 + stats.in_flight + others)
    }
}

/// When a request is expected to be answered, in microseconds from now, with what its distance
/// counts for.
pub fn expected_end(policy: &Policy, stats: &TargetStats, objective: f32) -> f32 {
    let penalty = if stats.local { 0.0 } else { policy.remote_penalty * objective };
    stats.round_trip + stats.wait + stats.service_time + penalty
}

fn pick_earliest(policy: &Policy, input: &PickInput<'_>, rng: &mut rngs::SmallRng) -> usize {
    let mut best = (0, f32::INFINITY);
    for (index, stats) in input.targets.iter().enumerate() {
        // Only what is estimated varies; a wait that is known to be there does not.
        let noise = policy.jitter * stats.service_time * rng.random::<f32>();
        let cost = expected_end(policy, stats, input.objective) + noise;
        if cost < best.1 {
            best = (index, cost);
        }
    }
    best.0
}

fn pick_next(_: &Policy, input: &PickInput<'_>, _: &mut rngs::SmallRng) -> usize {
    input.turn % input.targets.len()
}

fn pick_any(_: &Policy, input: &PickInput<'_>, rng: &mut rngs::SmallRng) -> usize {
    rng.random_range(0..input.targets.len())
}

fn pick_of_two(_: &Policy, input: &PickInput<'_>, rng: &mut rngs::SmallRng) -> usize {
    let cost = |it: &TargetStats| (it.in_flight + 1.0) * (it.latency + it.round_trip);
    let (a, b) = two_of(input.targets.len(), rng);
    if cost(&input.targets[a]) <= cost(&input.targets[b]) { a } else { b }
}

fn pick_least_time(policy: &Policy, input: &PickInput<'_>, rng: &mut rngs::SmallRng) -> usize {
    let count = input.targets.len();
    let start = rng.random_range(0..count);
    let mut best = (start, f32::INFINITY);
    for step in 0..count {
        let index = (start + step) % count;
        let noise = 1.0 + policy.jitter * rng.random::<f32>();
        let cost = policy.expected_time(&input.targets[index]) * noise;
        if cost < best.1 {
            best = (index, cost);
        }
    }
    best.0
}

fn two_of(count: usize, rng: &mut rngs::SmallRng) -> (usize, usize) {
    let a = rng.random_range(0..count);
    if count == 1 {
        return (a, a);
    }
    let b = (a + rng.random_range(1..count)) % count;
    (a, b)
}
