//! The load shapes: where targets and nodes stand, and how long work takes.

use std::time;

/// A service under load.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// The name in the table.
    pub name: &'static str,
    /// Targets, spread over the data centres in turn.
    pub targets: usize,
    /// Nodes that take callers' requests, spread in the same way.
    pub nodes: usize,
    /// Data centres, spread over the regions in turn.
    pub data_centres: usize,
    /// Regions.
    pub regions: usize,
    /// One-way latency between data centres of a region.
    pub near: time::Duration,
    /// One-way latency between regions.
    pub far: time::Duration,
    /// Requests that a target runs at the same time.
    pub slots: usize,
    /// Requests that may wait at a target.
    pub queue: usize,
    /// Mean time of ordinary work.
    pub work: time::Duration,
    /// How late an answer is in time.
    pub limit: time::Duration,
}

/// Share of the work that runs longer, and how many times.
pub const STRAGGLERS: (f64, f64) = (0.02, 10.0);
/// How much neighbours slow a target.
pub const SLOWED: f64 = 10.0;
/// When a fifth of the targets is slowed, in each period: the last part of it.
pub const PERIOD: time::Duration = time::Duration::from_secs(15);
/// How long it lasts.
pub const SLOW_TIME: time::Duration = time::Duration::from_secs(5);
/// When a caller gives up.
pub const TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// The two users' busiest services, and a service of the target scale: 11 targets over 22 data
/// centres, called by 110 nodes or, a tenth as often by each, by 1,100.
pub const ALL: [Shape; 4] = [
    Shape {
        name: "riga logbook",
        targets: 4,
        nodes: 13,
        data_centres: 3,
        regions: 1,
        near: time::Duration::from_millis(1),
        far: time::Duration::from_millis(1),
        slots: 6,
        queue: 32,
        work: time::Duration::from_millis(10),
        limit: time::Duration::from_millis(250),
    },
    Shape {
        name: "tamar listen",
        targets: 5,
        nodes: 14,
        data_centres: 3,
        regions: 1,
        near: time::Duration::from_micros(1_500),
        far: time::Duration::from_micros(1_500),
        slots: 12,
        queue: 64,
        work: time::Duration::from_millis(15),
        limit: time::Duration::from_millis(250),
    },
    Shape {
        name: "target scale",
        targets: 11,
        nodes: 110,
        data_centres: 22,
        regions: 6,
        near: time::Duration::from_millis(1),
        far: time::Duration::from_millis(30),
        slots: 8,
        queue: 32,
        work: time::Duration::from_millis(10),
        limit: time::Duration::from_millis(250),
    },
    Shape {
        name: "target scale, sparse",
        targets: 11,
        nodes: 1_100,
        data_centres: 22,
        regions: 6,
        near: time::Duration::from_millis(1),
        far: time::Duration::from_millis(30),
        slots: 8,
        queue: 32,
        work: time::Duration::from_millis(10),
        limit: time::Duration::from_millis(250),
    },
];

impl Shape {
    /// One-way latency between the data centres with these numbers.
    pub fn link(&self, a: usize, b: usize) -> time::Duration {
        if a == b {
            return time::Duration::from_micros(100);
        }
        if a % self.regions == b % self.regions { self.near } else { self.far }
    }

    /// The data centre of the target or node with this number.
    pub fn place(&self, index: usize) -> usize {
        index % self.data_centres
    }

    /// Targets slowed at the same time.
    pub fn slowed(&self) -> usize {
        (self.targets as f64 * 0.2).round().max(1.0) as usize
    }
}
