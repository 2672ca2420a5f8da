//! Application error codes that a peer sees when a link is closed or a stream is reset.

use crate::codec;

/// Why a link was closed or a stream was reset.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Code {
    /// A planned close.
    Done = 0,
    /// A frame longer than the limit.
    TooLong = 1,
    /// A stream that finished inside a frame.
    Truncated = 2,
    /// A frame whose payload is malformed.
    Malformed = 3,
    /// A frame of another protocol version.
    Version = 4,
    /// A certificate without one host name and role, or of another host than expected.
    Identity = 5,
    /// More bytes of incomplete frames than a link may hold.
    Memory = 6,
    /// A stream given up by its sender.
    Cancelled = 7,
}

impl Code {
    /// The code for a frame that cannot be decoded.
    pub fn for_frame(error: codec::Error) -> Code {
        match error {
            codec::Error::TooLong { .. } => Code::TooLong,
            codec::Error::Truncated => Code::Truncated,
            codec::Error::Malformed | codec::Error::Unencodable => Code::Malformed,
            codec::Error::Version { .. } => Code::Version,
        }
    }

    pub(crate) fn wire(self) -> quinn::VarInt {
        quinn::VarInt::from_u32(self as u32)
    }
}
