//! The front ends that a process can have, by the names that settings use.

/// The dialects of callers and backend servers.
pub const NODE: [node::dialect::Dialect; 2] = [node::dialect::OWN, platform::callers::DIALECT];
/// The dialects of operators.
pub const CONTROL: [control::dialect::Dialect; 2] =
    [control::dialect::OWN, platform::operators::DIALECT];
