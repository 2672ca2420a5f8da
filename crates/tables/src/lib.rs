//! Shared tables with a lock order, and the pool of workers that uses them.
