//! Encoding of values into frames. A frame is a 4-byte big-endian length, one byte with the
//! protocol version, and a postcard payload. The length counts the version and the payload.

use bytes::Bytes;
use serde::{Serialize, de};

/// The size of the length field at the start of a frame, in bytes.
pub const LENGTH_SIZE: usize = 4;
/// The largest value of the length field, in bytes. A snapshot of the largest document, 4 MiB,
/// fits.
pub const MAX_LENGTH: usize = 8 * 1024 * 1024;
/// The only protocol version that this build encodes and decodes.
pub const VERSION: u8 = 6;

/// Why a value or frame could not be encoded or decoded.
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
pub enum Error {
    /// The payload is not a value of the expected type, or bytes follow the value or the frame.
    #[error("the frame's payload is malformed")]
    Malformed,
    /// The frame is longer than [`MAX_LENGTH`].
    #[error("a frame of {length} bytes exceeds the limit of {MAX_LENGTH}")]
    TooLong {
        /// The length of the frame in bytes, without the length field.
        length: usize,
    },
    /// The input ends before the frame does.
    #[error("the frame is truncated")]
    Truncated,
    /// postcard cannot encode the value, for example a sequence of unknown length.
    #[error("the value cannot be encoded")]
    Unencodable,
    /// The frame has another protocol version.
    #[error("protocol version {found} instead of {VERSION}")]
    Version {
        /// The version in the frame.
        found: u8,
    },
}

/// The result of encoding or decoding a frame.
pub type Result<T> = std::result::Result<T, Error>;

/// Encodes a value as a frame. Fails if it cannot be encoded or is longer than [`MAX_LENGTH`].
pub fn encode<T: Serialize>(value: &T) -> Result<Bytes> {
    let mut frame = vec![0; LENGTH_SIZE];
    frame.push(VERSION);
    let mut frame = postcard::to_extend(value, frame).map_err(|_| Error::Unencodable)?;
    let length = frame.len() - LENGTH_SIZE;
    if length > MAX_LENGTH {
        return Err(Error::TooLong { length });
    }
    let prefix = u32::try_from(length).map_err(|_| Error::TooLong { length })?;
    frame[..LENGTH_SIZE].copy_from_slice(&prefix.to_be_bytes());
    Ok(Bytes::from(frame))
}

/// Decodes a value from `frame`, which must be exactly one frame.
pub fn decode<T: de::DeserializeOwned>(frame: &[u8]) -> Result<T> {
    let (prefix, body) = frame.split_first_chunk().ok_or(Error::Truncated)?;
    let length = read_length(*prefix)?;
    if body.len() < length {
        return Err(Error::Truncated);
    }
    if body.len() > length {
        return Err(Error::Malformed);
    }
    let (&found, payload) = body.split_first().ok_or(Error::Malformed)?;
    if found != VERSION {
        return Err(Error::Version { found });
    }
    let (value, rest) = postcard::take_from_bytes(payload).map_err(|_| Error::Malformed)?;
    if rest.is_empty() { Ok(value) } else { Err(Error::Malformed) }
}

/// Reads a length field. Fails with [`Error::TooLong`] if it exceeds [`MAX_LENGTH`].
pub fn read_length(prefix: [u8; LENGTH_SIZE]) -> Result<usize> {
    let length = usize::try_from(u32::from_be_bytes(prefix)).unwrap_or(usize::MAX);
    if length > MAX_LENGTH { Err(Error::TooLong { length }) } else { Ok(length) }
}
