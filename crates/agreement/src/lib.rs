//! A Raft-like replicated log as a pure state machine: elections, leader leases, replication,
//! membership changes and snapshots.
//!
//! A [`group::Group`] is one host's replica of the log. [`group::Group::step`] takes an event and
//! returns the effects to perform; the group itself does no I/O and reads no clock. Effects are
//! performed in the order in which they are returned. When one fails, the remaining ones must not
//! be performed and the group must be dropped.

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
