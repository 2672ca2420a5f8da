//! The format of the files: a header, and records with a length and a checksum.

use std::path;

use agreement::{entries, events};
use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize, de};

use crate::errors;

/// The format version that this build reads and writes. It must change whenever the encoding of a
/// record changes.
const VERSION: u32 = 1;
/// Bytes before the payload of a record: 4 for its length and 4 for its checksum.
const RECORD_HEADER: usize = 8;
/// Bytes before the header record: 8 for the magic number and 4 for the format version.
const PREAMBLE: usize = 12;
/// The largest payload of a record in bytes. The largest snapshot with its voters fits.
const MAX_PAYLOAD: usize = 272 * 1024 * 1024;

/// The kind of a file, stated by its magic number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FileKind {
    Journal,
    Log,
    Snapshot,
}

impl FileKind {
    fn magic(self) -> &'static [u8; 8] {
        match self {
            FileKind::Journal => b"HWALKJNL",
            FileKind::Log => b"HWALKLOG",
            FileKind::Snapshot => b"HWALKSNP",
        }
    }
}

/// Which log and disk a file belongs to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Header {
    pub(crate) name: CompactString,
    /// A random number, encoded with a fixed length, so that the offsets in a file do not depend on
    /// its value.
    #[serde(with = "postcard::fixint::le")]
    disk: u64,
}

impl Header {
    pub(crate) fn new(name: &str, disk: entries::DiskId) -> Header {
        Header { name: name.into(), disk: disk.0 }
    }

    pub(crate) fn disk_id(&self) -> entries::DiskId {
        entries::DiskId(self.disk)
    }

    fn describe(&self) -> CompactString {
        format_compact!("log {} of disk {}", self.name, self.disk_id())
    }
}

/// A record of the log file. The order of the variants is part of the format.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum Record {
    /// Replaces the hard state.
    Hard(events::HardState),
    /// Appends an entry.
    Entry(entries::Entry),
    /// Removes the entries at and after this index.
    Truncate(entries::Index),
    /// The entries up to this index are only in the snapshot. The log must not be used without one
    /// that covers them.
    Base(entries::Index),
}

/// Encodes a value as a record and appends it to `out`. Fails if it is too long.
pub(crate) fn encode<T: Serialize>(value: &T, out: &mut Vec<u8>) -> errors::Result<()> {
    let payload = postcard::to_stdvec(value)?;
    if payload.len() > MAX_PAYLOAD {
        return Err(errors::Error::TooLong(payload.len()));
    }
    let length = u32::try_from(payload.len()).map_err(|_| errors::Error::TooLong(payload.len()))?;
    let length = length.to_le_bytes();
    out.extend_from_slice(&length);
    out.extend_from_slice(&checksum(&length, &payload).to_le_bytes());
    out.extend_from_slice(&payload);
    Ok(())
}

/// The CRC-32 of a record. It covers the length as well, so that a damaged length is detected.
fn checksum(length: &[u8], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(length);
    hasher.update(payload);
    hasher.finalize()
}

/// The bytes that a file starts with.
pub(crate) fn file_header(kind: FileKind, header: &Header) -> errors::Result<Vec<u8>> {
    let mut out = kind.magic().to_vec();
    out.extend_from_slice(&VERSION.to_le_bytes());
    encode(header, &mut out)?;
    Ok(out)
}

/// The payload of a record, or why there is none at the offset.
enum RawRecord<'a> {
    Whole(&'a [u8]),
    Incomplete,
    Damaged,
}

fn split_record(bytes: &[u8]) -> RawRecord<'_> {
    let Some((length, rest)) = bytes.split_first_chunk::<4>() else { return RawRecord::Incomplete };
    let Some((sum, rest)) = rest.split_first_chunk::<4>() else { return RawRecord::Incomplete };
    let size = u32::from_le_bytes(*length) as usize;
    if size == 0 || size > MAX_PAYLOAD {
        return RawRecord::Damaged;
    }
    let Some(payload) = rest.get(..size) else { return RawRecord::Incomplete };
    if checksum(length, payload) != u32::from_le_bytes(*sum) {
        return RawRecord::Damaged;
    }
    RawRecord::Whole(payload)
}

/// Whether `bytes` are a complete record of which only the length is damaged.
fn is_valid_except_length(bytes: &[u8]) -> bool {
    let Some((header, payload)) = bytes.split_first_chunk::<RECORD_HEADER>() else { return false };
    let Ok(size) = u32::try_from(payload.len()) else { return false };
    checksum(&size.to_le_bytes(), payload).to_le_bytes() == header[4..]
}

/// Reads the records of one file.
pub(crate) struct Reader<'a> {
    path: &'a path::Path,
    bytes: &'a [u8],
    offset: usize,
}

impl<'a> Reader<'a> {
    /// Reads and checks the start of a file. Returns the reader and the file's header.
    pub(crate) fn open(
        path: &'a path::Path,
        kind: FileKind,
        bytes: &'a [u8],
    ) -> errors::Result<(Reader<'a>, Header)> {
        let mut reader = Reader { path, bytes, offset: 0 };
        if bytes.len() < PREAMBLE || !bytes.starts_with(kind.magic()) {
            return Err(reader.corrupt("the magic is missing"));
        }
        let version = bytes[8..PREAMBLE].iter().rev().fold(0, |sum, &it| sum << 8 | u32::from(it));
        if version != VERSION {
            let path = path.to_path_buf();
            return Err(errors::Error::Version { path, found: version, known: VERSION });
        }
        reader.offset = PREAMBLE;
        let header = reader.read_one()?;
        Ok((reader, header))
    }

    /// Fails if the header of the file is not the expected one.
    pub(crate) fn check_owner(&self, found: &Header, expected: &Header) -> errors::Result<()> {
        if found == expected {
            return Ok(());
        }
        let path = self.path.to_path_buf();
        let (found, expected) = (found.describe(), expected.describe());
        Err(errors::Error::WrongOwner { path, found, expected })
    }

    /// Reads the record at the offset, which must be complete.
    pub(crate) fn read_one<T: de::DeserializeOwned>(&mut self) -> errors::Result<T> {
        match split_record(&self.bytes[self.offset..]) {
            RawRecord::Whole(payload) => self.decode(payload),
            RawRecord::Incomplete => Err(self.corrupt("the record is incomplete")),
            RawRecord::Damaged => Err(self.corrupt("the checksum does not match")),
        }
    }

    /// Reads the next record. Returns `None` at the end of the file or before an incomplete last
    /// record, and leaves the offset there.
    pub(crate) fn read_next<T: de::DeserializeOwned>(&mut self) -> errors::Result<Option<T>> {
        let rest = &self.bytes[self.offset..];
        if rest.is_empty() {
            return Ok(None);
        }
        match split_record(rest) {
            RawRecord::Whole(payload) => self.decode(payload).map(Some),
            // After a crash, a file system may have extended the file without writing the data.
            _ if rest.iter().all(|&it| it == 0) => Ok(None),
            RawRecord::Damaged => Err(self.corrupt("the checksum does not match")),
            // A damaged length may point past the end of the file. Truncating the file there would
            // lose records that were acknowledged.
            RawRecord::Incomplete if self.contains_record(rest) => {
                Err(self.corrupt("the length does not match the records after it"))
            }
            RawRecord::Incomplete => Ok(None),
        }
    }

    /// The offset of the next record in bytes.
    pub(crate) fn offset(&self) -> usize {
        self.offset
    }

    /// Whether there is a complete record anywhere in `rest`. At its start, one with a damaged
    /// length counts as well.
    fn contains_record(&self, rest: &[u8]) -> bool {
        (1..rest.len()).any(|start| matches!(split_record(&rest[start..]), RawRecord::Whole(_)))
            || is_valid_except_length(rest)
    }

    fn decode<T: de::DeserializeOwned>(&mut self, payload: &[u8]) -> errors::Result<T> {
        let value =
            postcard::from_bytes(payload).map_err(|_| self.corrupt("the record is malformed"))?;
        self.offset += RECORD_HEADER + payload.len();
        Ok(value)
    }

    /// An error about damage at the offset.
    pub(crate) fn corrupt(&self, detail: &'static str) -> errors::Error {
        let offset = self.offset as u64;
        errors::Error::Corrupt { path: self.path.to_path_buf(), offset, detail }
    }
}
