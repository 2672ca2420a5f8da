//! Decides which process gets which version of the configuration, and when it may run it.

pub mod attach;
pub mod floor;
pub mod mechanisms;
pub mod messages;
pub mod relay;
mod serving;
mod sessions;
pub mod subscribers;
mod swap;
pub mod updater;
