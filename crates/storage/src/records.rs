//! The format of files: header, and records with a length and a checksum.

use std::path;

use agreement::{entries, events};
use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize, de};

use crate::errors;

/// The format version that this build writes. It changes when a record's encoding changes.
const VERSION: u32 = 1;
/// Bytes before a record's payload: its length and its checksum.
const FRAME: usize = 8;
/// Bytes before the header record: the magic and the version.
const PREAMBLE: usize = 12;
/// Largest payload in bytes, as large as the largest snapshot plus its voters.
const MAX_PAYLOAD: usize = 272 * 1024 * 1024;

/// Which file a header begins.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    Log,
    Snapshot,
}

impl Kind {
    fn magic(self) -> &'static [u8; 8] {
        match self {
            Kind::Log => b"HWALKLOG",
            Kind::Snapshot => b"HWALKSNP",
        }
    }
}

/// Which log and disk a file belongs to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Header {
    pub(crate) name: CompactString,
    /// Of fixed length, so that the offsets in a file do not depend on the random number.
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

/// A record of the log file.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum Record {
    Hard(events::HardState),
    Entry(entries::Entry),
    Truncate(entries::Index),
    /// Entries up to this index are in a snapshot, without which the log must not be used.
    Base(entries::Index),
}

/// Appends a value as a record.
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

/// The checksum covers the length too, so a damaged length is found.
fn checksum(length: &[u8], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(length);
    hasher.update(payload);
    hasher.finalize()
}

/// The beginning of a file.
pub(crate) fn begin(kind: Kind, header: &Header) -> errors::Result<Vec<u8>> {
    let mut out = kind.magic().to_vec();
    out.extend_from_slice(&VERSION.to_le_bytes());
    encode(header, &mut out)?;
    Ok(out)
}

/// What stands at an offset of a file.
enum Frame<'a> {
    Whole(&'a [u8]),
    Incomplete,
    Damaged,
}

fn frame(bytes: &[u8]) -> Frame<'_> {
    let Some((length, rest)) = bytes.split_first_chunk::<4>() else { return Frame::Incomplete };
    let Some((sum, rest)) = rest.split_first_chunk::<4>() else { return Frame::Incomplete };
    let size = u32::from_le_bytes(*length) as usize;
    if size == 0 || size > MAX_PAYLOAD {
        return Frame::Damaged;
    }
    let Some(payload) = rest.get(..size) else { return Frame::Incomplete };
    if checksum(length, payload) != u32::from_le_bytes(*sum) {
        return Frame::Damaged;
    }
    Frame::Whole(payload)
}

/// Whether `bytes` are a whole record of which only the length is damaged.
fn is_whole_but_length(bytes: &[u8]) -> bool {
    let Some((frame, payload)) = bytes.split_first_chunk::<FRAME>() else { return false };
    let Ok(size) = u32::try_from(payload.len()) else { return false };
    checksum(&size.to_le_bytes(), payload).to_le_bytes() == frame[4..]
}

/// Reads the records of one file.
pub(crate) struct Reader<'a> {
    path: &'a path::Path,
    bytes: &'a [u8],
    offset: usize,
}

impl<'a> Reader<'a> {
    /// Checks the beginning of a file and returns its header.
    pub(crate) fn open(
        path: &'a path::Path,
        kind: Kind,
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
        let header = reader.one()?;
        Ok((reader, header))
    }

    /// Checks that the file belongs to `expected`.
    pub(crate) fn check(&self, found: &Header, expected: &Header) -> errors::Result<()> {
        if found == expected {
            return Ok(());
        }
        let path = self.path.to_path_buf();
        let (found, expected) = (found.describe(), expected.describe());
        Err(errors::Error::WrongOwner { path, found, expected })
    }

    /// A record that must be whole.
    pub(crate) fn one<T: de::DeserializeOwned>(&mut self) -> errors::Result<T> {
        match frame(&self.bytes[self.offset..]) {
            Frame::Whole(payload) => self.decode(payload),
            Frame::Incomplete => Err(self.corrupt("the record is incomplete")),
            Frame::Damaged => Err(self.corrupt("the checksum does not match")),
        }
    }

    /// The next record; none at the end or at a torn tail, where `offset` then stands.
    pub(crate) fn next<T: de::DeserializeOwned>(&mut self) -> errors::Result<Option<T>> {
        let rest = &self.bytes[self.offset..];
        if rest.is_empty() {
            return Ok(None);
        }
        match frame(rest) {
            Frame::Whole(payload) => self.decode(payload).map(Some),
            // A file system may have extended the file without writing the bytes.
            _ if rest.iter().all(|&it| it == 0) => Ok(None),
            Frame::Damaged => Err(self.corrupt("the checksum does not match")),
            // A damaged length may reach past the end of the file; cutting there would drop
            // records that were acknowledged.
            Frame::Incomplete if self.holds_record(rest) => {
                Err(self.corrupt("the length does not match the records after it"))
            }
            Frame::Incomplete => Ok(None),
        }
    }

    pub(crate) fn offset(&self) -> usize {
        self.offset
    }

    /// Whether a whole record stands anywhere in `rest`, at its start with a wrong length.
    fn holds_record(&self, rest: &[u8]) -> bool {
        (1..rest.len()).any(|at| matches!(frame(&rest[at..]), Frame::Whole(_)))
            || is_whole_but_length(rest)
    }

    fn decode<T: de::DeserializeOwned>(&mut self, payload: &[u8]) -> errors::Result<T> {
        let value =
            postcard::from_bytes(payload).map_err(|_| self.corrupt("the record is malformed"))?;
        self.offset += FRAME + payload.len();
        Ok(value)
    }

    pub(crate) fn corrupt(&self, detail: &'static str) -> errors::Error {
        let offset = self.offset as u64;
        errors::Error::Corrupt { path: self.path.to_path_buf(), offset, detail }
    }
}
