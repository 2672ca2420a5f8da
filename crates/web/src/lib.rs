//! HTTP/1.1 towards callers, backend servers and operators: a server with its own accept loop that
//! calls gotham routers, and a client. This crate carries bytes; it makes no decisions.

pub mod body;
pub mod client;
mod connection;
pub mod exchange;
mod framing;
pub mod headers;
pub mod routers;
pub mod server;
