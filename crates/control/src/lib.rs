//! The role of a control host: the configuration source, the claims and the registry.

mod attaching;
pub mod dialect;
mod distributing;
mod groups;
mod http;
pub mod instruments;
mod machines;
mod operators;
mod peers;
mod proposing;
mod registering;
mod replica;
pub mod running;
pub mod settings;
mod state;
