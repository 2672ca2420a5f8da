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
    /// The data centre with the lower key.
    pub a: data_centres::DataCentreKey,
    /// The data centre with the higher key.
    pub b: data_centres::DataCentreKey,
    /// One-way latency, from the settings.
    pub latency: time::Duration,
}
