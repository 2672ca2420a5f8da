//! The role beside a backend server: takes requests, routes them and admits work.

mod answering;
pub mod answers;
mod attaching;
pub mod backend;
mod callers;
mod choosing;
mod claiming;
pub mod dialect;
mod flights;
mod forward;
mod gates;
mod headers;
mod hedging;
pub mod instruments;
mod loans;
mod reaching;
pub mod running;
mod sending;
mod serving;
pub mod settings;
mod state;
mod suspicion;
mod working;
