//! Switches with which tests disable single safety mechanisms.

/// The enabled safety mechanisms. All are enabled outside tests; a test disables one to show that
/// the failure that it prevents then occurs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Mechanisms {
    /// A claim can be completed or released only by the attempt that holds it.
    pub attempt_check: bool,
    /// A suspect that finishes a run is no longer a suspect.
    pub suspect_clearing: bool,
    /// The home of a service cannot change, not even by removing the service and adding it again.
    pub fixed_homes: bool,
    /// A request that reuses an idempotency key must have the same fingerprint.
    pub fingerprint_check: bool,
    /// Reports of the crash of one incarnation of a target count once.
    pub report_dedup: bool,
    /// A resent patch gets the answer that is stored under its request ID.
    pub request_dedup: bool,
    /// A crash puts a suspect into quarantine only if no other earlier suspect was in flight.
    pub single_suspect: bool,
    /// A claim that was not completed in time has an unknown outcome and is not granted again.
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
