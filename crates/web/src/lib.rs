//! HTTP/1.1 for callers, backend servers and operators: a server with its own accept loop that
//! dispatches requests to gotham routers, and a client with a connection pool. This crate only
//! transfers requests and responses; what to do with them is decided by the crates that use it.

pub mod body;
pub mod client;
mod connection;
mod connector;
pub mod exchange;
mod framing;
pub mod headers;
pub mod routers;
pub mod server;
