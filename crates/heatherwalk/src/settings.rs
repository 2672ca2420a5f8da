//! Reads settings from INI files. All faults of a file are reported together.

mod ini_reader;
mod roles;

use std::fmt;

use compact_str::CompactString;

pub use roles::{Identity, Log, Process, Settings, load};

/// A fault of a settings file: a missing, unknown or invalid key or section.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// The path of the file, as given on the command line or in the environment.
    pub file: CompactString,
    /// The section, without brackets.
    pub section: CompactString,
    /// The key; empty if the fault concerns the whole section.
    pub key: CompactString,
    /// The value in the file, with secrets hidden; `None` if the key is missing.
    pub value: Option<CompactString>,
    /// The allowed values, as a phrase that follows "expected".
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

/// Why the settings were not loaded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error(
        "cannot read {file}: {source}\nnext: name the settings file with --settings, and check its permissions"
    )]
    Read {
        /// The path of the file.
        file: CompactString,
        /// The cause.
        source: std::io::Error,
    },
    /// The file is not valid INI.
    #[error(
        "{file}: line {line}: {detail}\nnext: write sections as [name] and keys as name = value"
    )]
    Syntax {
        /// The path of the file.
        file: CompactString,
        /// The line, counted from 1.
        line: usize,
        /// What the parser expected.
        detail: CompactString,
    },
    /// The file has faults.
    #[error("{} in the settings:\n{}", count(.0), list(.0))]
    Faults(Vec<Fault>),
}

/// The result of loading a settings file.
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
