//! The state machines above the replicated log: versions, claims and quarantine.
