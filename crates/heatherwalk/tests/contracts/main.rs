//! Contracts of the interfaces between processes, with operators and with backend servers.

mod announcements;
mod callers;
mod files;
mod links;
mod mesh;
mod operators_api;
mod operators_commands;
