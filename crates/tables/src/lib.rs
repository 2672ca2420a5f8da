//! Shared tables with a lock order, the pool of workers that uses them, and the clock of the
//! process.
//!
//! A process keeps its state in a few [`table::Table`]s. Jobs run on a [`pool::Pool`] and lock
//! tables in increasing rank. They never wait for the network: they return what is to be done
//! there.

pub mod clock;
pub mod pool;
pub mod rank;
pub mod table;
