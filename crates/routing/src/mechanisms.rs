//! Switches for the protective mechanisms.

/// Which protective mechanisms are on. All are on by default; switching one off is for tests,
/// which show that a case fails without it.
#[derive(Clone, Copy, Debug)]
pub struct Mechanisms {
    /// Slow or failing targets are ejected.
    pub ejection: bool,
    /// At most half of a service's targets are ejected at once.
    pub ejection_limit: bool,
    /// Ejected targets get trial requests.
    pub trials: bool,
    /// A cold target's share grows over its ramp.
    pub ramp: bool,
    /// A request that may have run is sent again only when it is idempotent.
    pub idempotency_guard: bool,
    /// The attempts left travel with the request.
    pub budget: bool,
    /// A node's retries and hedges stay under a share of its first sends.
    pub retry_limit: bool,
}

impl Default for Mechanisms {
    fn default() -> Mechanisms {
        Mechanisms {
            ejection: true,
            ejection_limit: true,
            trials: true,
            ramp: true,
            idempotency_guard: true,
            budget: true,
            retry_limit: true,
        }
    }
}
