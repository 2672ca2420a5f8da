//! Feature toggles of the rules that keep registries correct under faults.

/// Feature toggles of the membership rules. Production code uses the default, all on. A test turns
/// one off to show that the failure that the rule prevents then happens.
#[derive(Clone, Copy, Debug)]
pub struct Toggles {
    /// An event with an older entry than the held one is ignored.
    pub ordering: bool,
    /// A removed entry is kept as a tombstone, so that a late event does not bring it back.
    pub tombstones: bool,
    /// A target is removed when its backend server or its node does not renew its lease.
    pub leases: bool,
    /// A node gives its entry a newer order than the one that the registry reports for its host.
    pub known_orders: bool,
}

impl Default for Toggles {
    fn default() -> Toggles {
        Toggles { ordering: true, tombstones: true, leases: true, known_orders: true }
    }
}
