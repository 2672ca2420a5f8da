//! Switches for the mechanisms that keep registries correct under faults.

/// Which protective mechanisms are on. Every process runs with all of them on, which is the
/// default. A test switches one off to show that the failure it prevents then happens.
#[derive(Clone, Copy, Debug)]
pub struct Mechanisms {
    /// An event with an older entry than the held one is ignored.
    pub ordering: bool,
    /// A removed entry is kept as a tombstone, so that a late event does not bring it back.
    pub tombstones: bool,
    /// A target is removed when its backend server or its node does not renew its lease.
    pub leases: bool,
    /// A node gives its entry a newer order than the one that the registry reports for its host.
    pub known_orders: bool,
}

impl Default for Mechanisms {
    fn default() -> Mechanisms {
        Mechanisms { ordering: true, tombstones: true, leases: true, known_orders: true }
    }
}
