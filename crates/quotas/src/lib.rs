//! Quotas of teams over all nodes: which requests have a token, and who hands tokens out.
//!
//! Each control has a [`ledger::Ledger`], which hands out its share of a team's tokens. Each node
//! has a [`stock::Stock`] of tokens that it takes one from for each request. The crate has no I/O
//! and reads no clock.

mod account;
mod demand;
pub mod ledger;
pub mod limits;
mod loans;
mod lots;
pub mod messages;
pub mod stock;
mod team;
