//! The messages between the processes of the system, as data.
//!
//! They say nothing of their encoding: the links between processes use a binary form, operators'
//! messages are JSON over HTTP.

pub mod forwarding;
pub mod operators;
pub mod proposals;
pub mod streams;
