//! Tables for people and JSON for scripts.

mod records;
mod table;
mod times;

use std::io;

use compact_str::CompactString;
use serde::Serialize;
use world::document;

pub use records::{ControlState, changes, controls, nodes, quarantine, targets, versions};
pub use table::{Align, Table};
pub use times::{duration, utc};

/// A difference between two versions, as JSON.
#[derive(Clone, Debug, Serialize)]
pub struct Diff {
    /// The first version.
    pub old: document::Version,
    /// The second version.
    pub new: document::Version,
    /// The difference in the unified format; empty when the documents are equal.
    pub diff: CompactString,
}

/// Writes a value as indented JSON with a line end.
pub fn write_json<T: Serialize>(out: &mut dyn io::Write, value: &T) -> io::Result<()> {
    out.write_all(pretty(value).as_bytes())
}

/// A value as indented JSON with a line end.
pub fn pretty<T: Serialize>(value: &T) -> String {
    let mut text = serde_json::to_string_pretty(value).expect("records always serialize");
    text.push('\n');
    text
}
