//! Links between data centres.

use std::time;

use crate::data_centres;

slotmap::new_key_type! {
    /// Key of a [`Link`] in a mesh's arena.
    pub struct LinkKey;
}

/// The network path between two data centres, the same in both directions.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    /// One end; the lower key of the two.
    pub a: data_centres::DataCentreKey,
    /// The other end.
    pub b: data_centres::DataCentreKey,
    /// One-way latency: configured at first, then measured.
    pub latency: time::Duration,
}
