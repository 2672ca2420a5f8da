//! What can go wrong with a log on disk.

use std::{io, path};

use compact_str::CompactString;

/// What to do with a folder that cannot be served from.
const LOST: &str =
    "treat the disk as lost: docs/operators.md, \"When something is lost\", a control's disk";

/// A result of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A failure of a log on disk. After any of them the host must not serve from this disk.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The operating system reported a failure.
    #[error("cannot {action} {}: {source}\nnext: correct the cause on this host, then start the control again", path.display())]
    Io {
        /// What was attempted.
        action: &'static str,
        /// The file or folder.
        path: path::PathBuf,
        /// The report.
        source: io::Error,
    },
    /// The content is not what was written.
    #[error("{} is corrupt at offset {offset}: {detail}\nnext: {LOST}", path.display())]
    Corrupt {
        /// The file.
        path: path::PathBuf,
        /// Where the damaged part begins.
        offset: u64,
        /// What is wrong there.
        detail: &'static str,
    },
    /// The file has a format that this build does not know.
    #[error("{} has format version {found} at offset 8; this build knows only {known}\nnext: start the build that wrote the file", path.display())]
    Version {
        /// The file.
        path: path::PathBuf,
        /// The version in the file.
        found: u32,
        /// The version that this build reads and writes.
        known: u32,
    },
    /// The file belongs to another log or disk.
    #[error("{} belongs to {found}, not to {expected}\nnext: put each file back into its own folder; if that is not possible, {LOST}", path.display())]
    WrongOwner {
        /// The file.
        path: path::PathBuf,
        /// The log and disk named in the file.
        found: CompactString,
        /// What was opened.
        expected: CompactString,
    },
    /// One of log and snapshot is there without the other: votes or entries may be forgotten.
    #[error("{} is missing although other files of the log are there\nnext: {LOST}", path.display())]
    Missing {
        /// The file that should be there.
        path: path::PathBuf,
    },
    /// Another process holds the folder.
    #[error("{} is in use by another process\nnext: stop that process, or name another folder in [control] data", path.display())]
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
    #[error("an earlier write or sync of {} failed\nnext: look at the disk; then start the control again", path.display())]
    Unusable {
        /// The folder of the log.
        path: path::PathBuf,
    },
}
