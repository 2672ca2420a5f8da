//! The registry of targets: which backend servers requests can be sent to, and their states.
//!
//! A node decides what its own backend server is announced as ([`local_target`]). The control that
//! it is attached to holds the node's lease and the registry ([`registry`]), and every node has a
//! read copy of the registry ([`directory`]). The controls of all data centres send each other
//! their events, and compare digests to find what was lost.
//!
//! Of the entries, controls write those that drain or leave to their disks ([`departures`]).
//!
//! Nothing here does I/O: the caller passes in the time and the messages, and sends what is
//! returned.

pub mod departures;
pub mod directory;
pub mod local_target;
pub mod messages;
pub mod registry;
pub mod targets;
pub mod toggles;
