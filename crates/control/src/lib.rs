//! The role of a control host: the configuration source, the claims and the registry.

pub mod instruments;
pub mod settings;
