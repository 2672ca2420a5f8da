//! One replicated log: elections, replication, leader leases, membership changes and snapshots.
//!
//! A [`group::Group`] is a value that is stepped with events and returns effects. It does no I/O
//! and reads no clock. Whoever steps it performs the effects in the order of the list; when one
//! fails, the rest of the list must not be performed and the group must be dropped.

mod election;
pub mod entries;
pub mod events;
mod formation;
pub mod group;
mod lease;
mod members;
mod membership;
pub mod messages;
mod reads;
mod replication;
pub mod settings;
mod snapshots;
pub mod status;
