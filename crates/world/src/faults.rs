//! Validation errors of a configuration document, each with its place in the document.

use std::fmt;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// The kind of a [`Fault`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// A reference to a service that the document does not have, or a route that does not have
    /// exactly one of `service` and `split`.
    Dangling,
    /// Two routes with the same host and prefix.
    Duplicate,
    /// A change of a value that cannot change once it is set.
    Fixed,
    /// A malformed name, prefix or host.
    Form,
    /// A feature level above the one that a process of the mesh supports.
    Level,
    /// A value outside its range, or in conflict with another value.
    Range,
    /// JSON that does not match the document's schema, such as an unknown field.
    Shape,
    /// Too many services or routes, or too large a document.
    Size,
}

/// A validation error of a document.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fault {
    /// The place in the document, for example `routes.launches.service`.
    pub path: CompactString,
    /// The kind of error, for programs.
    pub kind: FaultKind,
    /// The value found and the values allowed, for operators.
    pub detail: CompactString,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.detail)
    }
}
