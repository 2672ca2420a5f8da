//! Contracts of the interfaces between processes, with operators and with backend servers.

mod links;
mod mesh;
mod operators_api;
mod operators_commands;
