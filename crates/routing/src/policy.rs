//! Load balancing policies. A policy is a function with its parameters.

use rand::{Rng as _, rngs};

/// How a target is picked from the usable ones.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Name in the settings, in log lines and in the tables of benches.
    pub name: &'static str,
    /// Returns an index into [`PickInput::targets`], which must not be empty.
    pub pick: fn(&Policy, &PickInput<'_>, &mut rngs::SmallRng) -> usize,
    /// Factor for the requests of other nodes at the target, per slot, in the expected time; 0
    /// ignores them.
    pub load_weight: f32,
    /// Largest random addition to a time, as a fraction of that time: of the expected time, or
    /// of the service time alone in [`NEAR_FIRST`]. Without it, nodes that have received the same
    /// load reports would all pick the same target.
    pub jitter: f32,
    /// Penalty that is added to the expected time of a target in another data centre, as a
    /// fraction of the request's objective. Faults of links between data centres are noticed
    /// later, and traffic over these links costs money.
    pub remote_penalty: f32,
    /// Whether the penalty falls when the targets of the own data centre have no room; see
    /// [`spillover`](crate::spillover).
    pub adaptive: bool,
}

/// Measurements of a usable target, as input of a policy.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetStats {
    /// Index into the candidates of the request.
    pub index: u32,
    /// Requests that this node has sent and that are not answered yet.
    pub in_flight: f32,
    /// Requests of other nodes that run or wait at the target, discounted by the age of the
    /// report.
    pub other_load: f32,
    /// Requests that the target can run at the same time; fewer during a cold start, at least 1.
    pub slots: f32,
    /// Expected time from the arrival at the target to the answer, in microseconds.
    pub latency: f32,
    /// Network round trip, in microseconds.
    pub round_trip: f32,
    /// Requests that have to end before the target has a free slot for this request.
    pub queue_ahead: f32,
    /// Expected wait for a free slot, in microseconds.
    pub wait: f32,
    /// Refusals that are expected before the target admits a request.
    pub refusals: f32,
    /// Requests that the backend server is expected to shed before it takes one.
    pub sheds: f32,
    /// Expected time that a request of this class runs, in microseconds.
    pub service_time: f32,
    /// Expected time that a request of any class runs, in microseconds.
    pub slot_time: f32,
    /// Whether the target is in this node's data centre.
    pub local: bool,
}

/// What a refusal costs in [`expected_end`], as a share of the objective: the way there and back,
/// and one of the few targets that a request may be sent to.
const REFUSAL_COST: f32 = 1.0;

/// Input of a policy's function.
#[derive(Clone, Copy, Debug)]
pub struct PickInput<'a> {
    /// The usable targets.
    pub targets: &'a [TargetStats],
    /// Counter that grows by one with each selection of this node, and wraps.
    pub turn: usize,
    /// Time until the request's latency objective, in microseconds.
    pub objective: f32,
    /// Penalty for leaving the data centre, in microseconds.
    pub penalty: f32,
}

/// Picks the targets in turn.
pub const ROUND_ROBIN: Policy = Policy {
    name: "round-robin",
    pick: pick_next,
    load_weight: 0.0,
    jitter: 0.0,
    remote_penalty: 0.0,
    adaptive: false,
};

/// Picks a target at random, with equal probability.
pub const RANDOM: Policy = Policy { name: "random", pick: pick_any, ..ROUND_ROBIN };

/// Power of two choices: of two random targets, picks the one with the lower product of this
/// node's requests in flight and the measured latency.
pub const TWO_CHOICES: Policy = Policy {
    name: "two-choices",
    pick: pick_of_two,
    load_weight: 0.0,
    jitter: 0.0,
    remote_penalty: 0.0,
    adaptive: false,
};

/// Picks the target with the lowest expected time, from round trip, measured latency and load.
pub const LEAST_TIME: Policy = Policy {
    name: "least-time",
    pick: pick_least_time,
    load_weight: 1.0,
    jitter: 0.1,
    remote_penalty: 0.0,
    adaptive: false,
};

/// Picks the target with the earliest expected answer, from the wait for a slot, the service time
/// and the round trip. A target in another data centre has to be earlier by
/// [`Policy::remote_penalty`], so requests stay in the data centre while they can be answered in
/// time there.
pub const NEAR_FIRST: Policy = Policy {
    name: "near-first",
    pick: pick_earliest,
    load_weight: 1.0,
    jitter: 0.2,
    remote_penalty: 0.5,
    adaptive: false,
};

/// Like [`NEAR_FIRST`], but the penalty falls while the targets of the own data centre have no room,
/// so that free slots elsewhere are used before requests are late or refused.
pub const SPILLOVER: Policy = Policy { name: "spillover", adaptive: true, ..NEAR_FIRST };

/// The default policy, which has the lowest measured tail latency; see "Choice of target" in
/// docs/measurements.md.
pub const DEFAULT: Policy = LEAST_TIME;

/// All policies that the settings can name.
pub const ALL: [&Policy; 6] =
    [&ROUND_ROBIN, &RANDOM, &TWO_CHOICES, &LEAST_TIME, &NEAR_FIRST, &SPILLOVER];

/// Returns the policy with this [`Policy::name`].
pub fn find(name: &str) -> Option<&'static Policy> {
    ALL.into_iter().find(|it| it.name == name)
}

impl Policy {
    /// Returns the time that a request to this target is expected to take, in microseconds.
    ///
    /// The measured latency includes the time spent waiting behind requests of other nodes. It
    /// does not yet include this node's unanswered requests, so each of them adds the latency
    /// once more. So does each request that the backend server is expected to shed: a shed costs an
    /// attempt, though it is fast and leaves no request in flight.
    pub fn expected_time(&self, stats: &TargetStats) -> f32 {
        let others = self.load_weight * stats.other_load / stats.slots;
        stats.round_trip + stats.latency * (1.0 + stats.in_flight + others + stats.sheds)
    }
}

/// Returns the time until a request to this target is expected to be answered, in microseconds,
/// plus the penalty if the target is in another data centre, and the cost of the refusals that are
/// expected there. `objective` and `penalty` are in microseconds.
///
/// Load reports are old: a fast target seems free to all nodes as soon as their reports have faded.
/// Refusals show each node how often it is not, so that free slots of slower targets are used.
pub fn expected_end(stats: &TargetStats, objective: f32, penalty: f32) -> f32 {
    let penalty = if stats.local { 0.0 } else { penalty };
    stats.round_trip + stats.service_time + penalty + expected_delay(stats, objective)
}

/// Returns the time that a request is expected to lose at this target before it starts, in
/// microseconds: the wait for a slot, and the cost of refusals.
pub fn expected_delay(stats: &TargetStats, objective: f32) -> f32 {
    stats.wait + REFUSAL_COST * objective * stats.refusals
}

fn pick_earliest(policy: &Policy, input: &PickInput<'_>, rng: &mut rngs::SmallRng) -> usize {
    let mut best = (0, f32::INFINITY);
    for (index, stats) in input.targets.iter().enumerate() {
        // Jitter applies to the estimate only, not to the wait, which follows from reported work.
        let noise = policy.jitter * stats.service_time * rng.random::<f32>();
        let cost = expected_end(stats, input.objective, input.penalty) + noise;
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
    let cost = |it: &TargetStats| (it.in_flight + it.sheds + 1.0) * (it.latency + it.round_trip);
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
