//! Switches for the protective mechanisms.

/// Which protective mechanisms are on. All are on by default; switching one off is for tests,
/// which show that a case fails without it.
#[derive(Clone, Copy, Debug)]
pub struct Mechanisms {
    /// Entries older than the one held are dropped.
    pub ordering: bool,
    /// A removed entry is remembered, so that a late event does not bring it back.
    pub tombstones: bool,
    /// A target whose node stays silent is removed.
    pub leases: bool,
    /// A node raises its order above what the registry reports for it.
    pub known_orders: bool,
}

impl Default for Mechanisms {
    fn default() -> Mechanisms {
        Mechanisms { ordering: true, tombstones: true, leases: true, known_orders: true }
    }
}
