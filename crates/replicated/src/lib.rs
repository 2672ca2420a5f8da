//! The replicated state machines: configuration versions, the controls of the mesh, claims of
//! non-idempotent requests, the quarantine of requests that crash backend servers, and rollouts.
//!
//! Each is deterministic: applying the same commands in the same order yields the same encoded
//! state on every replica.

pub mod claims;
pub mod clock;
pub mod controls;
pub mod overlay;
pub mod quarantine;
pub mod replacement;
pub mod rollouts;
pub mod toggles;
pub mod versions;
