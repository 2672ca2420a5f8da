//! The invariants of the distribution under faults: no node goes back to an older version or runs
//! part of one, and all nodes run the latest version in the end.

mod attaching;
mod cases;
mod homes;
mod routing;
mod sim;
