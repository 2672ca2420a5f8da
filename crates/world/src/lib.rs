//! The objects of a service mesh: regions, data centres, hosts, the links between them, and the
//! contracts that the configuration makes with callers. Nothing here does I/O or reads a clock.

pub mod bounds;
pub mod config;
pub mod contracts;
pub mod data_centres;
pub mod document;
pub mod faults;
pub mod hosts;
pub mod links;
pub mod log_limits;
pub mod mesh;
pub mod patches;
pub mod requests;
pub mod rollouts;
pub mod targets;
pub mod teams;
pub mod time;
pub mod validation;
