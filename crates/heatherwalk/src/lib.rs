//! The binary's parts: command line, settings, logs, metrics and the roles.

pub mod api_client;
pub mod args;
pub mod dev;
pub mod dialects;
pub mod discovery;
pub mod example;
pub mod exit_codes;
pub mod keys;
pub mod logs;
pub mod metrics;
pub mod operators;
pub mod render;
pub mod roles;
pub mod settings;
