//! Decides which work a target runs, which waits, and which is refused.
