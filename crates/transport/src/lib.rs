//! Links between the processes of a mesh: the encoding of messages into frames, the certificates
//! that name a process, and QUIC connections with mutual TLS. This crate carries bytes and
//! messages of any serde type; it makes no decisions and knows no message.

pub mod codec;
pub mod codes;
pub mod endpoint;
pub mod errors;
pub mod identity;
pub mod limits;
pub mod links;
mod names;
pub mod pool;
pub mod serving;
pub mod streams;
mod tls;
