//! Load balancing of one node: selects a target for each request, and decides on retries and
//! hedges.
//!
//! A [`balancer::Balancer`] selects a target by a [`policy`] and by what the node has measured of
//! each target ([`estimates`]). [`budget`], [`retry`] and [`hedge`] limit how often a request is
//! sent, [`throttle`] what is sent to a service that is full, and [`spillover`] what leaves the data
//! centre. [`returns`] says when the callers that a full service refuses are asked to return.
//! [`silence`] says whether a host has stopped responding, and [`prober`] which hosts to probe then.
//! [`subset`] bounds the targets that a node uses, and [`dialer`] says when to open links to them.
//! [`rollouts`] says what a new software version gets, [`verdicts`] whether it is bad, and [`progress`]
//! what to do next. Nothing here does I/O or reads a clock: the time, and random numbers or their seed, are arguments.

mod admissions;
pub mod balancer;
pub mod budget;
pub mod dialer;
pub mod estimates;
pub mod hedge;
mod peers;
pub mod policy;
pub mod prober;
pub mod progress;
pub mod retry;
pub mod returns;
pub mod rollouts;
pub mod senders;
pub mod silence;
pub mod spillover;
pub mod subset;
pub mod survey;
pub mod tallies;
pub mod throttle;
pub mod toggles;
mod usable;
pub mod verdicts;
