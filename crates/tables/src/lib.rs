//! Shared tables with a lock order, and the pool of workers that uses them.
//!
//! A process keeps its state in a few [`table::Table`]s. Jobs run on a [`pool::Pool`], lock tables
//! in increasing rank, and return what is to be done; they never wait for the network.

pub mod pool;
pub mod rank;
pub mod table;
