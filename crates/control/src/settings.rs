//! What a control is told at its start.

use std::{net, path, time};

use compact_str::CompactString;
use world::{hosts, mesh};

use crate::dialect;

/// Settings of a control, checked.
#[derive(Clone)]
pub struct Settings {
    /// The regions, data centres, control hosts and links that the settings name.
    pub mesh: mesh::Mesh,
    /// This control's host.
    pub me: hosts::HostKey,
    /// The voters that form the configuration group.
    pub config_voters: Vec<hosts::HostKey>,
    /// The voters that form the claims groups, each of its own region.
    pub claims_voters: Vec<hosts::HostKey>,
    /// Where operators' HTTP requests arrive.
    pub operators: net::SocketAddr,
    /// The token that an operator's request must carry; none when the network that reaches the
    /// port is trusted.
    pub token: Option<CompactString>,
    /// How operators write whole documents.
    pub dialect: dialect::Dialect,
    /// The shortest election timeout of the groups, equal on all controls.
    pub election: time::Duration,
    /// Where metrics are read.
    pub metrics: net::SocketAddr,
    /// The folder of the files that must survive.
    pub data: path::PathBuf,
    /// Threads that decide.
    pub workers: usize,
    /// How long a planned stop waits for requests in flight.
    pub stop_limit: time::Duration,
}
