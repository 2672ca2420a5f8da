//! What is wrong with a configuration document, each fault with its place.

use std::fmt;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// The kind of a fault in a document.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// A reference to an object that the document does not have.
    Dangling,
    /// Two routes with the same prefix.
    Duplicate,
    /// A value that may not change once it is set.
    Fixed,
    /// A name or text of a form that is not allowed.
    Form,
    /// A feature level that some process of the mesh does not have.
    Level,
    /// A value outside its range.
    Range,
    /// The document is not of the expected shape.
    Shape,
    /// The document is larger than every process can hold.
    Size,
}

/// One fault of a document.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fault {
    /// The place in the document, as `routes.launches.service`.
    pub path: CompactString,
    /// What kind of fault it is.
    pub kind: FaultKind,
    /// The value found and what is allowed.
    pub detail: CompactString,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.detail)
    }
}
