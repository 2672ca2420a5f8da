//! The role beside a backend server: takes requests, routes them and admits work.

pub mod instruments;
pub mod settings;
