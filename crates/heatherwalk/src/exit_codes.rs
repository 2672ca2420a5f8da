//! What the process's exit code means. `heatherwalk --help` lists them.

/// The command did what was asked.
pub const DONE: u8 = 0;
/// The command failed; the message says why.
pub const FAILED: u8 = 1;
/// The command line is wrong.
pub const USAGE: u8 = 2;
/// The control refused: conflict, invalid candidate or reused request ID.
pub const REFUSED: u8 = 3;
/// No control could be reached that is current.
pub const UNAVAILABLE: u8 = 4;
/// The wait for a version timed out.
pub const TIMED_OUT: u8 = 5;
