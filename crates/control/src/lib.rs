//! The role of a control: it replicates the configuration and the claims of non-idempotent requests
//! with the other controls, keeps its data centre's registry of targets, hands configuration
//! versions to nodes and serves the operators' HTTP interface.

mod attaching;
pub mod configuration;
mod controls;
mod departing;
pub mod dialect;
mod directory;
mod distributing;
mod groups;
mod http;
pub mod instruments;
mod operators;
mod ordering;
mod peers;
mod proposing;
mod quotas;
mod registering;
mod replica;
mod rollouts;
pub mod running;
pub mod settings;
mod state;
mod state_machines;
mod unknown_values;
