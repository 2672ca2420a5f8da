//! The role of a control host: the configuration source, the claims and the registry.

mod attaching;
mod distributing;
mod groups;
pub mod instruments;
mod machines;
mod peers;
mod proposing;
mod registering;
mod replica;
pub mod settings;
mod state;
