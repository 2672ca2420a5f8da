//! The node: the process beside each backend server. It takes callers' requests, chooses targets,
//! forwards requests to other nodes and admits work for its own backend server.

pub mod announcements;
mod answering;
mod arrivals;
mod attaching;
pub mod authenticating;
pub mod backend;
mod bodies;
mod callers;
mod choosing;
mod claiming;
mod confirming;
mod controls;
pub mod dialect;
mod forward;
mod headers;
mod hedging;
mod in_flight;
pub mod instruments;
mod linking;
mod peer_versions;
mod planning;
mod quotas;
mod reaching;
pub mod refusals;
mod reservations;
pub mod running;
mod sending;
mod serving;
mod sessions;
pub mod settings;
mod slots;
mod state;
mod storing;
mod suspects;
mod working;
