//! Faults that tests inject into writes and syncs.

/// What is about to be done to a file.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Operation {
    /// Writing this many bytes.
    Write(usize),
    /// Syncing a file or a folder.
    Sync,
    /// Replacing a file by a new one.
    Rename,
}

/// What happens instead of an operation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Nothing; the operation is done.
    None,
    /// The operation fails.
    Fail,
    /// Only the first bytes are written, then the operation fails.
    Torn(usize),
}

/// The function that injects no faults.
pub fn none(_: Operation) -> Fault {
    Fault::None
}
