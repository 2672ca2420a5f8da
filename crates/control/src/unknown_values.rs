//! Remembers which unknown values of documents were logged, so that each is logged once.

use std::collections;

use compact_str::CompactString;
use replicated::replacement;

/// Most values that are remembered. Further ones are not logged.
const MAX_VALUES: usize = 256;

/// The unknown values that were logged since the start of the process.
#[derive(Debug, Default)]
pub(crate) struct UnknownValues(collections::BTreeSet<CompactString>);

impl UnknownValues {
    /// Returns whether a value is to be logged now.
    pub(crate) fn insert(&mut self, unknown: &replacement::Unknown) -> bool {
        self.0.len() < MAX_VALUES && self.0.insert(unknown.value.clone())
    }
}
