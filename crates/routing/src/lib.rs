//! Chooses a target for a request and decides on retries and hedges.
//!
//! A [`balancer::Balancer`] holds what a node has measured of the targets ([`estimates`]) and its
//! [`policy`]. [`budget`], [`retry`] and [`hedge`] decide how often a request is sent.

pub mod balancer;
pub mod budget;
pub mod estimates;
pub mod hedge;
pub mod mechanisms;
pub mod policy;
pub mod prober;
pub mod retry;
