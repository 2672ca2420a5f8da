//! The role beside a backend server: takes requests, routes them and admits work.

mod answering;
mod attaching;
pub mod backend;
mod callers;
mod choosing;
mod claiming;
pub mod dialect;
mod forward;
mod headers;
mod hedging;
mod in_flight;
pub mod instruments;
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
