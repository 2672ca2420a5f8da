//! Feature toggles of the safety rules of the state machines.

/// Feature toggles of the safety rules. Production code uses the default, all on. A test turns one
/// off to show that the failure that the rule prevents then occurs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Toggles {
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

impl Default for Toggles {
    fn default() -> Toggles {
        Toggles {
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
