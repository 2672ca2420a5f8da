//! Tests of real processes: controls and nodes are started from settings files and are killed,
//! suspended and stopped.

mod backends;
mod claims;
mod configuration;
mod crashes;
mod departures;
mod harness;
mod hosts;
mod outages;
mod rollouts;
mod stops;
