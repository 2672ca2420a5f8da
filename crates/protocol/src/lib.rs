//! The messages between processes, and those of the operators' interface, as plain data.
//!
//! The encoding is chosen elsewhere: processes exchange a binary form, and operators' messages are
//! JSON over HTTP.

pub mod explanations;
pub mod forwarding;
pub mod operators;
pub mod proposals;
pub mod rollouts;
pub mod streams;
