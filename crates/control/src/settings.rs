//! The settings of a control.

use std::{net, path, time};

use compact_str::CompactString;
use world::{hosts, mesh};

use crate::dialect;

/// The settings of a control. The reader of the settings file has checked them.
#[derive(Clone)]
pub struct Settings {
    /// The regions, data centres, control hosts and links between data centres.
    pub mesh: mesh::Mesh,
    /// The key of this control's own host in `mesh`.
    pub me: hosts::HostKey,
    /// The hosts that vote in the configuration group when it is formed.
    pub config_voters: Vec<hosts::HostKey>,
    /// The hosts that vote in the claims groups when these are formed, each in the group of its own
    /// region.
    pub claims_voters: Vec<hosts::HostKey>,
    /// The address that the operators' HTTP server listens on.
    pub operators_addr: net::SocketAddr,
    /// The bearer token that operators' requests must carry; `None` accepts all requests, for a
    /// port that only a trusted network reaches.
    pub token: Option<CompactString>,
    /// The format in which operators replace and read whole documents.
    pub dialect: dialect::Dialect,
    /// The shortest election timeout of the groups. All controls must have the same, since leases
    /// depend on it.
    pub election_timeout: time::Duration,
    /// The address that the metrics page is served on.
    pub metrics: net::SocketAddr,
    /// The folder of the logs and snapshots, which must survive a restart.
    pub data_folder: path::PathBuf,
    /// The number of worker threads that run the jobs.
    pub workers: usize,
    /// How long a planned stop waits for operators' requests in flight.
    pub stop_limit: time::Duration,
}
