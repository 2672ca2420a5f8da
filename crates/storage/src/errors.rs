//! Errors of logs on disk.

use std::{io, path};

use compact_str::CompactString;

/// What an operator has to do about a folder whose content cannot be used.
const REPLACE_DISK: &str =
    "treat the disk as lost: docs/operators.md, \"When something is lost\", a control's disk";

/// The result of an operation on a log.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why an operation on a log failed. After any of these errors the host must not serve from the
/// disk.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The operating system reported an error.
    #[error("cannot {action} {}: {source}\nnext: correct the cause on this host, then start the control again", path.display())]
    Io {
        /// What was attempted, as a verb such as `write`.
        action: &'static str,
        /// The file or folder.
        path: path::PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The content of a file is damaged, or its records contradict each other.
    #[error("{} is corrupt at offset {offset}: {detail}\nnext: {REPLACE_DISK}", path.display())]
    Corrupt {
        /// The file.
        path: path::PathBuf,
        /// The offset in bytes from which on the file cannot be read.
        offset: u64,
        /// What is wrong at the offset.
        detail: &'static str,
    },
    /// The file has a format version that this build does not know.
    #[error("{} has format version {found} at offset 8; this build knows only {known}\nnext: start the build that wrote the file", path.display())]
    Version {
        /// The file.
        path: path::PathBuf,
        /// The format version in the file.
        found: u32,
        /// The format version that this build reads and writes.
        known: u32,
    },
    /// The file belongs to another log or disk.
    #[error("{} belongs to {found}, not to {expected}\nnext: put each file back into its own folder; if that is not possible, {REPLACE_DISK}", path.display())]
    WrongOwner {
        /// The file.
        path: path::PathBuf,
        /// The log and disk that the file names.
        found: CompactString,
        /// The log and disk that were opened.
        expected: CompactString,
    },
    /// A file of the log is missing while others exist, so votes or entries may have been lost.
    #[error("{} is missing although other files of the log are there\nnext: {REPLACE_DISK}", path.display())]
    Missing {
        /// The missing file.
        path: path::PathBuf,
    },
    /// Another process has opened the folder.
    #[error("{} is in use by another process\nnext: stop that process, or name another folder in [control] data", path.display())]
    Locked {
        /// The lock file.
        path: path::PathBuf,
    },
    /// A value could not be encoded.
    #[error("cannot encode a record: {0}")]
    Encode(#[from] postcard::Error),
    /// A record is longer than the limit, which readers enforce, or than its length field can
    /// state. The number is its length in bytes.
    #[error("a record of {0} bytes is too long")]
    TooLong(usize),
    /// An earlier write or sync failed, or the log was closed. After a failure the content of the
    /// disk is unknown, since the operating system may have dropped pages that it could not write.
    #[error("an earlier write or sync of {} failed\nnext: look at the disk; then start the control again", path.display())]
    Unusable {
        /// The folder of the log.
        path: path::PathBuf,
    },
}
