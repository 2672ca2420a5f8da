//! The `heatherwalk` binary: its command line, settings, logs and metrics, the discovery of the
//! controls, the two roles and the operators' commands.

pub mod api_client;
pub mod args;
pub mod dev;
pub mod dialects;
pub mod discovery;
pub mod example;
pub mod exit_codes;
pub mod explaining;
pub mod keys;
pub mod logs;
pub mod metrics;
pub mod operators;
pub mod pages;
pub mod render;
pub mod roles;
pub mod settings;
