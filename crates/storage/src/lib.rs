//! The log and the snapshot of a group on disk, with checksums.
//!
//! A folder holds one group's log. The file `log` has a header with a magic, a format version, the
//! log's name and the disk ID, then records: length, CRC-32 and postcard payload. The file
//! `snapshot` has the same header and one record. The file `caught-up` holds the disk ID once the
//! disk has held everything that its group had committed. Files are replaced by writing a new one, syncing
//! it, renaming it and syncing the folder.

pub mod errors;
pub mod faults;
mod files;
pub mod log;
mod records;
mod replay;
