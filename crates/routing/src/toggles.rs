//! Feature toggles of the routing rules.

/// Feature toggles of the routing rules. Production code uses the default, all on. Tests and
/// benches turn one off to show that a case fails without the rule.
#[derive(Clone, Copy, Debug)]
pub struct Toggles {
    /// Targets that are slow, fail or are unresponsive are ejected: they get trial requests at
    /// most.
    pub ejection: bool,
    /// At most half of a service's targets are ejected at once.
    pub ejection_limit: bool,
    /// Ejected targets get trial requests.
    pub trials: bool,
    /// The share of requests of a target that has just started grows gradually (slow start).
    pub ramp: bool,
    /// A request that may have run is sent again only if it is idempotent.
    pub idempotency_guard: bool,
    /// A request is sent again only while its [`budget`](crate::budget) has attempts left.
    pub budget: bool,
    /// A node's retries and hedges stay below a percentage of its first sends.
    pub retry_limit: bool,
}

impl Default for Toggles {
    fn default() -> Toggles {
        Toggles {
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
