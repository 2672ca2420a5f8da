//! Switches of the protective mechanisms.

/// Which protective mechanisms are on. For tests only: a test switches one off to show that the
/// failure that it prevents then happens. Every process of a mesh runs with all of them on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Mechanisms {
    /// Only the attempt that holds a claim completes or releases it.
    pub attempt_check: bool,
    /// A suspect that finishes a run is cleared.
    pub suspect_clearing: bool,
    /// The home of a service outlives the removal of the service.
    pub fixed_homes: bool,
    /// A request with a known key must be the same request.
    pub fingerprint_check: bool,
    /// A crash report counts once for an incarnation of a target.
    pub report_dedup: bool,
    /// The answer to a patch is kept by request ID.
    pub request_dedup: bool,
    /// Only the one earlier suspect of a crash is quarantined.
    pub single_suspect: bool,
    /// A claim that was not completed in time is never granted again.
    pub unknown_state: bool,
}

impl Default for Mechanisms {
    fn default() -> Mechanisms {
        Mechanisms {
            attempt_check: true,
            suspect_clearing: true,
            fixed_homes: true,
            fingerprint_check: true,
            report_dedup: true,
            request_dedup: true,
            single_suspect: true,
            unknown_state: true,
        }
    }
}
