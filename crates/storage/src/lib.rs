//! The log and the snapshot of a consensus group on disk, and journals of other records, protected by
//! checksums.
//!
//! Each group has a folder. Its file `log` has a header with a magic number, a format version, the
//! name of the log and the disk ID, and then records, each with a length, a CRC-32 and a postcard
//! payload. The file `snapshot` has such a header, with a magic number of its own, and one record.
//! The file `caught-up` contains the disk ID once the disk has held everything that its group had
//! committed. A journal is one file with such a header, a magic number of its own, and records. To
//! replace a file, a new one is written, synced and renamed, and then the folder is synced.

pub mod errors;
pub mod faults;
mod files;
pub mod journal;
pub mod log;
mod records;
mod replay;
