//! Decides which work a target runs, which waits, and which is refused. Nothing here does I/O,
//! reads a clock or draws random numbers: time is an argument, and effects are returned.

pub mod controller;
mod dispatch;
mod forecast;
pub mod limits;
pub mod load;
mod queue;
mod requests;
mod routes;
mod service_times;
mod short_load;
mod suspects;
pub mod work;
