//! The simulated deployments: placement of targets and nodes, latencies and service times.

use std::time;

/// A service with its targets and the nodes that send to it.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Name in the printed table.
    pub name: &'static str,
    /// Number of targets, assigned to the data centres round robin.
    pub targets: usize,
    /// Number of nodes that take callers' requests, assigned in the same way.
    pub nodes: usize,
    /// Number of data centres, assigned to the regions round robin.
    pub data_centres: usize,
    /// Number of regions.
    pub regions: usize,
    /// One-way latency between data centres of a region.
    pub region_latency: time::Duration,
    /// One-way latency between regions.
    pub wan_latency: time::Duration,
    /// Requests that one target runs concurrently.
    pub slots: usize,
    /// Requests that may wait at one target; it refuses the next one.
    pub queue: usize,
    /// Mean service time of a request on a target that isn't slowed, stragglers left out.
    pub service_time: time::Duration,
    /// Answers with at most this latency count as in time.
    pub latency_limit: time::Duration,
}

/// Fraction of the requests that are stragglers, and the factor on their service time.
pub const STRAGGLERS: (f64, f64) = (0.02, 10.0);
/// Factor on the service time at a slowed target, as a noisy neighbour on its machine causes.
pub const SLOWDOWN_FACTOR: f64 = 10.0;
/// A fifth of the targets, drawn anew for each period, is slowed at the end of the period.
pub const SLOWDOWN_PERIOD: time::Duration = time::Duration::from_secs(15);
/// How long the slowdown at the end of a period lasts.
pub const SLOWDOWN_LENGTH: time::Duration = time::Duration::from_secs(5);
/// Time after which a caller gives up.
pub const TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// The busiest service of each of the two users, and a service of the target scale: 11 targets over
/// 22 data centres, called by 110 nodes or by 1,100 nodes that each send a tenth as often.
pub const ALL: [Shape; 4] = [
    Shape {
        name: "riga logbook",
        targets: 4,
        nodes: 13,
        data_centres: 3,
        regions: 1,
        region_latency: time::Duration::from_millis(1),
        wan_latency: time::Duration::from_millis(1),
        slots: 6,
        queue: 32,
        service_time: time::Duration::from_millis(10),
        latency_limit: time::Duration::from_millis(250),
    },
    Shape {
        name: "tamar listen",
        targets: 5,
        nodes: 14,
        data_centres: 3,
        regions: 1,
        region_latency: time::Duration::from_micros(1_500),
        wan_latency: time::Duration::from_micros(1_500),
        slots: 12,
        queue: 64,
        service_time: time::Duration::from_millis(15),
        latency_limit: time::Duration::from_millis(250),
    },
    Shape {
        name: "target scale",
        targets: 11,
        nodes: 110,
        data_centres: 22,
        regions: 6,
        region_latency: time::Duration::from_millis(1),
        wan_latency: time::Duration::from_millis(30),
        slots: 8,
        queue: 32,
        service_time: time::Duration::from_millis(10),
        latency_limit: time::Duration::from_millis(250),
    },
    Shape {
        name: "target scale, sparse",
        targets: 11,
        nodes: 1_100,
        data_centres: 22,
        regions: 6,
        region_latency: time::Duration::from_millis(1),
        wan_latency: time::Duration::from_millis(30),
        slots: 8,
        queue: 32,
        service_time: time::Duration::from_millis(10),
        latency_limit: time::Duration::from_millis(250),
    },
];

impl Shape {
    /// One-way latency between two data centres.
    pub fn latency(&self, a: usize, b: usize) -> time::Duration {
        if a == b {
            return time::Duration::from_micros(100);
        }
        if a % self.regions == b % self.regions { self.region_latency } else { self.wan_latency }
    }

    /// Data centre of the target or node at `index`.
    pub fn data_centre(&self, index: usize) -> usize {
        index % self.data_centres
    }

    /// Number of targets that are slowed at the same time.
    pub fn slowed_targets(&self) -> usize {
        (self.targets as f64 * 0.2).round().max(1.0) as usize
    }
}
