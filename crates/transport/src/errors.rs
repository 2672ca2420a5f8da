//! Errors of endpoints, links and streams.

use std::{io, sync};

use compact_str::CompactString;

use crate::{codec, identity};

/// Why an operation on an endpoint, a link or a stream failed.
///
/// It can be cloned, since several tasks may wait for the same connection attempt.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Error {
    /// The UDP port could not be bound.
    #[error(
        "cannot bind the endpoint: {0}\nnext: stop the program that uses the address, or name another in the settings"
    )]
    Bind(sync::Arc<io::Error>),
    /// A frame could not be encoded or decoded.
    #[error(transparent)]
    Codec(#[from] codec::Error),
    /// The connection attempt could not be started, for example with an invalid address.
    #[error("cannot connect: {0}")]
    Connect(#[from] quinn::ConnectError),
    /// The handshake failed, for example because the peer's certificate is of another authority or
    /// host.
    #[error("handshake failed: {0}")]
    Handshake(quinn::ConnectionError),
    /// A certificate does not name exactly one host and role, or a host name is invalid.
    #[error(transparent)]
    Identity(#[from] identity::Error),
    /// The link broke or was closed.
    #[error("link lost: {0}")]
    Lost(#[from] quinn::ConnectionError),
    /// The incomplete frames of the link exceed their memory limit.
    #[error("incomplete frames exceed the link's memory limit")]
    Memory,
    /// An earlier send or receive was dropped or failed in the middle of a message, so the stream
    /// cannot be used any further.
    #[error("an earlier operation left a partial message on the stream")]
    Partial,
    /// The sender reset the stream; what was received is incomplete.
    #[error("stream reset with code {code}")]
    Reset {
        /// The error code, usually the number of a [`codes::Code`](crate::codes::Code).
        code: u64,
    },
    /// The receiver stopped reading the stream.
    #[error("stream stopped by the receiver with code {code}")]
    Stopped {
        /// The error code, 0 if the receiver was dropped.
        code: u64,
    },
    /// The handshake exceeded its time limit, or the process is shutting down.
    #[error("handshake timed out")]
    TimedOut,
    /// TLS could not be configured with the identity.
    #[error("TLS configuration: {0}")]
    Tls(CompactString),
    /// The peer's certificate names another host.
    #[error("the peer is {found}, not {expected}")]
    WrongHost {
        /// The host to connect to.
        expected: CompactString,
        /// The host in the certificate.
        found: CompactString,
    },
}

/// The result of an operation on an endpoint, a link or a stream.
pub type Result<T> = std::result::Result<T, Error>;
