//! Hosts: the machines that run a node beside a backend server, or a control.

use std::net;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::data_centres;

slotmap::new_key_type! {
    /// Key of a [`Host`] in a mesh's arena.
    pub struct HostKey;
}

/// The task of the process on a host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Role {
    /// Replicates the configuration and the claims, and owns the registry of its data centre.
    Control,
    /// Takes callers' requests and admits work for the backend server on its host.
    Node,
}

/// A machine of the mesh.
#[derive(Clone, Debug)]
pub struct Host {
    /// The name in the host's certificate, unique in the mesh.
    pub name: CompactString,
    /// The address where its process listens for other processes.
    pub addr: net::SocketAddr,
    /// The data centre that the host is in.
    pub data_centre: data_centres::DataCentreKey,
    /// The task of its process.
    pub role: Role,
}
