//! The exit codes of the process. `heatherwalk --help` lists them.

/// The command did what was asked.
pub const DONE: u8 = 0;
/// The command failed; the message says why.
pub const FAILED: u8 = 1;
/// The command line is invalid.
pub const USAGE: u8 = 2;
/// The control refused the patch: conflict, invalid candidate or reused request ID.
pub const REFUSED: u8 = 3;
/// No current control could be reached.
pub const UNAVAILABLE: u8 = 4;
/// The version was not in force everywhere before the timeout.
pub const TIMED_OUT: u8 = 5;
