//! Logs and snapshots on disk, with checksums.
