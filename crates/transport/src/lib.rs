//! Links between the processes of a mesh: QUIC connections with mutual TLS, the certificates that
//! identify a process, and the encoding of messages into frames. This crate transfers bytes and
//! messages of any serde type. The messages themselves, and decisions about them, are elsewhere.

pub mod ages;
pub mod codec;
pub mod codes;
pub mod endpoint;
pub mod errors;
mod handshakes;
pub mod identity;
pub mod limits;
pub mod links;
mod names;
pub mod pacer;
mod pieces;
pub mod pool;
pub mod serving;
pub mod streams;
mod tls;
mod turns;
pub mod wire;
