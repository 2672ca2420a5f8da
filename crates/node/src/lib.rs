//! The role beside a backend server: takes requests, routes them and admits work.

mod answers;
mod attaching;
pub mod backend;
mod callers;
mod choosing;
mod claiming;
mod flights;
mod gates;
mod headers;
pub mod instruments;
pub mod running;
mod sending;
mod serving;
pub mod settings;
mod state;
mod suspicion;
mod working;
