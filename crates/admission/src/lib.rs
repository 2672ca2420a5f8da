//! Admission control of one target: a [`controller::Controller`] decides which requests run, which
//! wait for a slot, and which are refused. Nothing here does I/O, reads a clock or draws random
//! numbers: the time is an argument, and effects are returned.
//!
//! A request is long if its route usually runs much longer than the target's short routes, and a
//! straggler once it has run much longer than its own route usually does. Long requests and
//! stragglers together are called slow; they may hold only a part of the slots.

mod admit;
pub mod answer_sizes;
pub mod callees;
pub mod controller;
mod counts;
mod dispatch;
pub mod downlink;
mod forecast;
pub mod limits;
pub mod load;
mod losses;
mod needs;
mod queue;
mod rate;
mod requests;
mod routes;
mod service_times;
mod shedding;
mod short_load;
mod suspects;
pub mod uplink;
pub mod work;
