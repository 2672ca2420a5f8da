//! What can go wrong with a log on disk.

use std::{io, path};

use compact_str::CompactString;

/// A result of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A failure of a log on disk. After any of them the host must not serve from this disk.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The operating system reported a failure.
    #[error("cannot {action} {}: {source}", path.display())]
    Io {
        /// What was attempted.
        action: &'static str,
        /// The file or folder.
        path: path::PathBuf,
        /// The report.
        source: io::Error,
    },
    /// The content is not what was written.
    #[error("{} is corrupt at offset {offset}: {detail}", path.display())]
    Corrupt {
        /// The file.
        path: path::PathBuf,
        /// Where the damaged part begins.
        offset: u64,
        /// What is wrong there.
        detail: &'static str,
    },
    /// The file has a format that this build does not know.
    #[error("{} has format version {found}; this build knows only {known}", path.display())]
    Version {
        /// The file.
        path: path::PathBuf,
        /// The version in the file.
        found: u32,
        /// The version that this build reads and writes.
        known: u32,
    },
    /// The file belongs to another log or disk.
    #[error("{} belongs to {found}, not to {expected}", path.display())]
    Foreign {
        /// The file.
        path: path::PathBuf,
        /// The log and disk named in the file.
        found: CompactString,
        /// What was opened.
        expected: CompactString,
    },
    /// One of log and snapshot is there without the other: votes or entries may be forgotten.
    #[error("{} is missing although other files of the log are there", path.display())]
    Missing {
        /// The file that should be there.
        path: path::PathBuf,
    },
    /// Another process holds the folder.
    #[error("{} is in use by another process", path.display())]
    Locked {
        /// The lock file.
        path: path::PathBuf,
    },
    /// A value could not be encoded.
    #[error("cannot encode a record: {0}")]
    Encode(#[from] postcard::Error),
    /// A record is longer than a length field can say or a reader accepts.
    #[error("a record of {0} bytes is too long")]
    TooLong(usize),
    /// An earlier write or sync failed. What the disk holds is not known, since the operating
    /// system may have dropped the pages that it could not write.
    #[error("an earlier write or sync of {} failed", path.display())]
    Failed {
        /// The folder of the log.
        path: path::PathBuf,
    },
}
