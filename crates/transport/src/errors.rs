//! Errors of endpoints, links and streams.

use std::{io, sync};

use compact_str::CompactString;

use crate::{codec, identity};

/// Why an operation on an endpoint, a link or a stream failed.
///
/// It can be cloned, since several callers may wait for the same connection.
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
    /// The connection could not be started.
    #[error("cannot connect: {0}")]
    Connect(#[from] quinn::ConnectError),
    /// The handshake failed, as with a certificate of another authority or another host.
    #[error("handshake failed: {0}")]
    Handshake(quinn::ConnectionError),
    /// The peer's certificate does not state a host name and role.
    #[error(transparent)]
    Identity(#[from] identity::Error),
    /// The link broke or was closed.
    #[error("link lost: {0}")]
    Lost(#[from] quinn::ConnectionError),
    /// The link holds too many bytes of incomplete frames.
    #[error("incomplete frames exceed the link's memory limit")]
    Memory,
    /// An earlier send or receive was abandoned halfway, so the stream cannot go on.
    #[error("an earlier operation left a partial message on the stream")]
    Partial,
    /// The sender reset the stream; what was received is incomplete.
    #[error("stream reset with code {code}")]
    Reset {
        /// The sender's error code.
        code: u64,
    },
    /// The receiver no longer reads the stream.
    #[error("stream stopped by the receiver with code {code}")]
    Stopped {
        /// The receiver's error code.
        code: u64,
    },
    /// The handshake took longer than its limit.
    #[error("handshake timed out")]
    TimedOut,
    /// TLS could not be set up with the identity.
    #[error("TLS configuration: {0}")]
    Tls(CompactString),
    /// The peer's certificate names another host.
    #[error("the peer is {found}, not {expected}")]
    WrongHost {
        /// The host that the caller asked for.
        expected: CompactString,
        /// The host in the certificate.
        found: CompactString,
    },
}

/// The result of an operation on an endpoint, a link or a stream.
pub type Result<T> = std::result::Result<T, Error>;
