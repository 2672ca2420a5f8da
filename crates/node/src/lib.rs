//! The node: the process beside each backend server. It takes callers' requests, chooses targets,
//! forwards requests to other nodes and admits work for its own backend server.

mod answering;
mod attaching;
pub mod backend;
mod bodies;
mod callers;
mod choosing;
mod claiming;
pub mod dialect;
mod forward;
mod headers;
mod hedging;
mod in_flight;
pub mod instruments;
mod linking;
mod reaching;
pub mod refusals;
mod reservations;
pub mod running;
mod sending;
mod serving;
pub mod settings;
mod slots;
mod state;
mod suspects;
mod working;
