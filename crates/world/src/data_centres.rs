//! Regions and the data centres in them.

use compact_str::CompactString;

slotmap::new_key_type! {
    /// Key of a [`Region`] in a mesh's arena.
    pub struct RegionKey;
    /// Key of a [`DataCentre`] in a mesh's arena.
    pub struct DataCentreKey;
}

/// A group of data centres near each other. Two regions can lose their connection for an hour.
#[derive(Clone, Debug)]
pub struct Region {
    /// The name used in settings and documents.
    pub name: CompactString,
}

/// A site with its own backend servers and one control host. The network can cut it off from the
/// others.
#[derive(Clone, Debug)]
pub struct DataCentre {
    /// The name used in settings and documents.
    pub name: CompactString,
    /// The region that the data centre belongs to.
    pub region: RegionKey,
}
