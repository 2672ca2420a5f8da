//! Fault injection into file operations, for tests.

/// A file operation that is about to be done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Operation {
    /// Appends this many bytes to a file.
    Write(usize),
    /// Syncs a file or a folder.
    Sync,
    /// Replaces a file by renaming a new one.
    Rename,
}

/// What happens to a file operation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The operation is done normally.
    None,
    /// The operation fails without any effect.
    Fail,
    /// Only this many bytes are written, then the operation fails. Operations other than writes
    /// fail without any effect.
    Torn(usize),
}

/// Injects no fault.
pub fn none(_: Operation) -> Fault {
    Fault::None
}
