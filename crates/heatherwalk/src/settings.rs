//! Reads settings from INI files and reports everything that is wrong with them at once.

mod ini_reader;
mod roles;

use std::fmt;

use compact_str::CompactString;

pub use roles::{Identity, Log, Process, Settings, load};

/// One fault of a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// The file's path as it was given.
    pub file: CompactString,
    /// The section, without brackets.
    pub section: CompactString,
    /// The key; empty when the fault is about the section.
    pub key: CompactString,
    /// The value found; none when the key is missing.
    pub value: Option<CompactString>,
    /// What is allowed.
    pub allowed: CompactString,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: [{}]", self.file, self.section)?;
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        match &self.value {
            Some(value) => write!(f, " = {value:?}: expected {}", self.allowed),
            None => write!(f, ": expected {}", self.allowed),
        }
    }
}

/// An error of this module.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error(
        "cannot read {file}: {source}\nnext: name the settings file with --settings, and check its permissions"
    )]
    Read {
        /// The file's path.
        file: CompactString,
        /// The cause.
        source: std::io::Error,
    },
    /// The file is not INI.
    #[error(
        "{file}: line {line}: {detail}\nnext: write sections as [name] and keys as name = value"
    )]
    Syntax {
        /// The file's path.
        file: CompactString,
        /// The line, counted from 1.
        line: usize,
        /// What the parser expected.
        detail: CompactString,
    },
    /// Sections, keys or values are not allowed.
    #[error("{} in the settings:\n{}", count(.0), list(.0))]
    Faults(Vec<Fault>),
}

/// A result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

fn count(faults: &[Fault]) -> CompactString {
    match faults.len() {
        1 => "1 fault".into(),
        n => compact_str::format_compact!("{n} faults"),
    }
}

fn list(faults: &[Fault]) -> String {
    faults.iter().map(|it| format!("  {it}")).collect::<Vec<_>>().join("\n")
}
