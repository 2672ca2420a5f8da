//! The role of a control host: the configuration source, the claims and the registry.

mod distributing;
mod groups;
mod machines;
mod replica;
pub mod settings;
mod state;
