//! What a node is told at its start.

use std::{net, time};

use world::{hosts, mesh};

/// Settings of a node, checked.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The regions, data centres, control hosts and links that the settings name.
    pub mesh: mesh::Mesh,
    /// This node's host.
    pub me: hosts::HostKey,
    /// Where callers' HTTP requests arrive.
    pub callers: net::SocketAddr,
    /// Where the backend server of this host announces itself.
    pub announce: net::SocketAddr,
    /// Where metrics are read.
    pub metrics: net::SocketAddr,
    /// Threads that decide.
    pub workers: usize,
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
