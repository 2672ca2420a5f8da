//! The state machines above the replicated log: versions, claims and quarantine.
//!
//! Each is deterministic: the same commands in the same order give the same bytes on every replica.

pub mod claims;
pub mod clock;
pub mod mechanisms;
pub mod overlay;
pub mod quarantine;
pub mod replacement;
pub mod versions;
