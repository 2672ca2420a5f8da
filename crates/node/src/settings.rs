//! The settings of a node.

use std::{net, time};

use compact_str::CompactString;
use membership::local_target;
use world::{hosts, mesh};

use crate::dialect;

/// The default of [`Settings::workers`].
pub const DEFAULT_WORKERS: usize = 2;
/// The default of [`Settings::body_memory`].
pub const DEFAULT_BODY_MEMORY: usize = 32 * 1024 * 1024;
/// The default of [`Settings::stop_limit`].
pub const DEFAULT_STOP_LIMIT: time::Duration = time::Duration::from_secs(30);

/// The settings of a node. They are taken as valid; the reader of the settings file checks them.
#[derive(Clone)]
pub struct Settings {
    /// The regions, data centres, control hosts and links that the settings name.
    pub mesh: mesh::Mesh,
    /// This node's host, which `mesh` must contain.
    pub me: hosts::HostKey,
    /// The address at which other processes reach this node; none if it is the address of its host,
    /// on which the node listens. The two differ behind a relay.
    pub advertise: Option<net::SocketAddr>,
    /// The address for callers' HTTP requests.
    pub callers: net::SocketAddr,
    /// The address for announcements of the backend server of this host.
    pub announce: net::SocketAddr,
    /// The address where `GET /ready` tells load balancers whether the node serves callers; none
    /// disables it.
    pub ready: Option<net::SocketAddr>,
    /// The header fields, refusals and announcements of callers and the backend server.
    pub dialect: dialect::Dialect,
    /// The service of this host's backend server, which is added as the origin to requests that
    /// arrive here; empty when the dialect adds no origin.
    pub service: CompactString,
    /// The lease of an announcement: how long it is valid without a renewal. The settings file
    /// allows 0.5 to 60 s.
    pub lease: time::Duration,
    /// Whether the backend server keeps a floor token and returns it with each renewal.
    pub floor_tokens: bool,
    /// The policy by which targets are chosen.
    pub policy: routing::policy::Policy,
    /// The address where metrics are read.
    pub metrics: net::SocketAddr,
    /// The number of worker threads for routing and admission decisions.
    pub workers: usize,
    /// How long a planned stop goes on taking callers' requests before it refuses new ones, so that
    /// load balancers can see that the node is not ready. The settings file allows 0 to 60 s.
    pub linger: time::Duration,
    /// Retries and hedges of a service, as a percentage of the requests for it, from 0 to 100.
    pub retry_percent: u32,
    /// The rate of the host's network link in bytes per second, to which messages to other nodes are
    /// paced; none if it is not known.
    pub link_rate: Option<u64>,
    /// The most bytes that the bodies of requests take in memory. Requests beyond it are refused.
    pub body_memory: usize,
    /// The time limit of a planned stop, including `linger`.
    pub stop_limit: time::Duration,
}

impl Settings {
    /// The defaults of the settings file for the node `me` of `mesh`, with the product's own dialect.
    /// `take_addr` is called for the address of each of its ports.
    pub fn with_defaults(
        mesh: mesh::Mesh,
        me: hosts::HostKey,
        mut take_addr: impl FnMut() -> net::SocketAddr,
    ) -> Settings {
        Settings {
            mesh,
            me,
            callers: take_addr(),
            announce: take_addr(),
            advertise: None,
            ready: None,
            dialect: dialect::OWN,
            service: CompactString::default(),
            lease: local_target::ANNOUNCEMENT_LEASE,
            floor_tokens: true,
            policy: routing::policy::DEFAULT,
            metrics: take_addr(),
            workers: DEFAULT_WORKERS,
            linger: time::Duration::ZERO,
            retry_percent: routing::budget::RETRY_PERCENT,
            link_rate: None,
            body_memory: DEFAULT_BODY_MEMORY,
            stop_limit: DEFAULT_STOP_LIMIT,
        }
    }

    /// Replaces this host's address in `mesh`, by which other processes will know it: the one that
    /// is advertised, or else `bound`.
    pub(crate) fn set_listen_addr(&mut self, bound: net::SocketAddr) {
        let addr = self.advertise.unwrap_or(bound);
        if let Some(host) = self.mesh.host(self.me) {
            let host = hosts::Host { addr, ..host.clone() };
            self.mesh.put_host(host);
        }
    }
}
