//! The registry of a data centre: which targets there are and what state they are in.
//!
//! A node ([`local_target`]) is the authority on its own backend server. The control it is attached
//! to ([`registry`]) holds its lease, and every node has a read copy ([`directory`]).

pub mod directory;
pub mod local_target;
pub mod mechanisms;
pub mod messages;
pub mod registry;
pub mod targets;
