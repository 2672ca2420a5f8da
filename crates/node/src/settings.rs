//! What a node is told at its start.

use std::{net, time};

use compact_str::CompactString;
use world::{hosts, mesh};

use crate::dialect;

/// Settings of a node, checked.
#[derive(Clone)]
pub struct Settings {
    /// The regions, data centres, control hosts and links that the settings name.
    pub mesh: mesh::Mesh,
    /// This node's host.
    pub me: hosts::HostKey,
    /// Where callers' HTTP requests arrive.
    pub callers: net::SocketAddr,
    /// Where the backend server of this host announces itself.
    pub announce: net::SocketAddr,
    /// Where `GET /ready` tells whether the node serves callers; none when nobody asks.
    pub ready: Option<net::SocketAddr>,
    /// How callers and the backend server write what the mesh needs to know.
    pub dialect: dialect::Dialect,
    /// The service of this host's backend server, which is named as the origin of requests that
    /// arrive here; empty when the dialect names none.
    pub service: CompactString,
    /// How long an announcement of the backend server holds without a renewal.
    pub lease: time::Duration,
    /// Whether the backend server returns floor tokens with its renewals.
    pub tokens: bool,
    /// How targets are chosen.
    pub policy: routing::policy::Policy,
    /// Where metrics are read.
    pub metrics: net::SocketAddr,
    /// Threads that decide.
    pub workers: usize,
    /// How long a planned stop goes on taking callers' requests. The backend server of this host
    /// gets none of them.
    pub linger: time::Duration,
    /// Retries and hedges of a service, as a percentage of the requests for it.
    pub retry_percent: u32,
    /// How long a planned stop waits for requests in flight.
    pub stop_limit: time::Duration,
}

impl Settings {
    /// Replaces the address for other processes by the one that was bound.
    pub(crate) fn listen(&mut self, addr: net::SocketAddr) {
        if let Some(host) = self.mesh.host(self.me) {
            let host = hosts::Host { addr, ..host.clone() };
            self.mesh.put_host(host);
        }
    }
}
