//! QUIC application error codes that the peer receives when a link is closed or a stream is reset.

use crate::codec;

/// Why a link was closed or a stream was reset. The values are part of the protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Code {
    /// The link was closed as planned.
    Done = 0,
    /// A frame exceeded the length limit.
    TooLong = 1,
    /// A stream was finished inside a frame.
    Truncated = 2,
    /// The payload of a frame could not be decoded.
    Malformed = 3,
    /// A frame had another protocol version.
    Version = 4,
    /// The certificate does not name exactly one host and role, or names another host than the
    /// expected one.
    Identity = 5,
    /// The incomplete frames of the link exceeded their memory limit.
    Memory = 6,
    /// The sender ended the stream before it was complete.
    Cancelled = 7,
}

impl Code {
    /// The code to close a link with after a frame could not be decoded.
    pub fn for_frame(error: codec::Error) -> Code {
        match error {
            codec::Error::TooLong { .. } => Code::TooLong,
            codec::Error::Truncated => Code::Truncated,
            codec::Error::Malformed | codec::Error::Unencodable => Code::Malformed,
            codec::Error::Version { .. } => Code::Version,
        }
    }

    /// The number of the code, as QUIC encodes it.
    pub(crate) fn value(self) -> quinn::VarInt {
        quinn::VarInt::from_u32(self as u32)
    }
}
