//! Hosts of a soak and sets of them, as small values.

use std::fmt;

/// The controls of a mesh, one in each data centre.
pub(crate) const CONTROLS: usize = 3;
/// The data centres of a mesh.
pub(crate) const DATA_CENTRES: [&str; CONTROLS] = ["skulte", "jugla", "imanta"];

/// The size of a mesh.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sizes {
    /// The number of nodes, at most 125.
    pub(crate) nodes: usize,
}

/// A host: the controls come first, then the nodes.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct HostId(pub(crate) usize);

/// A set of hosts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct HostSet(u128);

impl Sizes {
    /// All hosts.
    pub(crate) fn hosts(self) -> impl Iterator<Item = HostId> {
        (0..CONTROLS + self.nodes).map(HostId)
    }

    /// The nodes.
    pub(crate) fn nodes(self) -> impl Iterator<Item = HostId> {
        self.hosts().skip(CONTROLS)
    }
}

impl HostId {
    /// The position of a node among the nodes; none for a control.
    pub(crate) fn node(self) -> Option<usize> {
        self.0.checked_sub(CONTROLS)
    }

    /// The index of its data centre.
    pub(crate) fn data_centre(self) -> usize {
        self.0 % CONTROLS
    }
}

/// The name of the host, such as `skulte-c` for a control and `skulte-1` for a node.
impl fmt::Display for HostId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let data_centre = DATA_CENTRES[self.data_centre()];
        match self.node() {
            None => write!(out, "{data_centre}-c"),
            Some(_) => write!(out, "{data_centre}-{}", self.0 / CONTROLS),
        }
    }
}

impl HostSet {
    pub(crate) fn contains(self, host: HostId) -> bool {
        self.0 & (1 << host.0) != 0
    }

    pub(crate) fn intersects(self, other: HostSet) -> bool {
        self.0 & other.0 != 0
    }

    pub(crate) fn iter(self) -> impl Iterator<Item = HostId> {
        (0..128).map(HostId).filter(move |it| self.contains(*it))
    }
}

impl FromIterator<HostId> for HostSet {
    fn from_iter<I: IntoIterator<Item = HostId>>(hosts: I) -> HostSet {
        HostSet(hosts.into_iter().fold(0, |set, it| set | (1 << it.0)))
    }
}

impl From<HostId> for HostSet {
    fn from(host: HostId) -> HostSet {
        HostSet(1 << host.0)
    }
}

impl fmt::Display for HostSet {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<_> = self.iter().map(|it| it.to_string()).collect();
        out.write_str(&names.join(" "))
    }
}
