//! The way of a request through a whole mesh in one process: faults at each step, calls of calls,
//! and what has to arrive unchanged.

mod callers;
mod calls;
mod faults;
mod hedges;
mod leaving;
mod mesh;
mod passing;
mod relay;
mod servers;
