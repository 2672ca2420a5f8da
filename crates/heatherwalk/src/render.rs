//! The output of the operators' commands: tables for people and JSON for scripts.

mod records;
mod table;
mod times;

use std::io;

use compact_str::CompactString;
use serde::Serialize;
use world::document;

pub use records::{
    ControlState, changes, controls, explained_targets, nodes, quarantine, targets, versions,
};
pub use table::{Align, Table};
pub use times::{duration, utc};

/// The JSON output of `diff`.
#[derive(Clone, Debug, Serialize)]
pub struct Diff {
    /// The version that the difference starts from.
    pub old: document::Version,
    /// The version that the difference leads to.
    pub new: document::Version,
    /// The difference in the unified format; empty when the documents are equal.
    pub diff: CompactString,
}

/// Writes a value as indented JSON with a trailing newline.
pub fn write_json<T: Serialize>(out: &mut dyn io::Write, value: &T) -> io::Result<()> {
    out.write_all(pretty(value).as_bytes())
}

/// A value as indented JSON with a trailing newline.
pub fn pretty<T: Serialize>(value: &T) -> String {
    let mut text = serde_json::to_string_pretty(value).expect("records always serialize");
    text.push('\n');
    text
}
