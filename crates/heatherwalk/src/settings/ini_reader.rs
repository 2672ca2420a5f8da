//! Typed access to an INI file. Collects faults, and finds keys that nothing has read.

use std::{collections, fs};

use compact_str::{CompactString, ToCompactString as _, format_compact};

use super::{Error, Fault, Result};

/// A parsed INI file, with the faults found so far.
pub(super) struct Reader {
    file: CompactString,
    ini: ini::Ini,
    /// Sections and keys that have been read, whether or not the file contains them.
    known: collections::HashSet<(CompactString, CompactString)>,
    faults: Vec<Fault>,
}

impl Reader {
    /// Reads and parses the file at the path `file`.
    pub(super) fn open(file: &str) -> Result<Reader> {
        let text =
            fs::read_to_string(file).map_err(|source| Error::Read { file: file.into(), source })?;
        let ini = ini::Ini::load_from_str_noescape(&text).map_err(|err| Error::Syntax {
            file: file.into(),
            line: err.line,
            detail: err.msg.to_compact_string(),
        })?;
        let known = collections::HashSet::new();
        Ok(Reader { file: file.into(), ini, known, faults: Vec::new() })
    }

    /// The `NAME` of each section `prefix.NAME`, in the order of the file.
    pub(super) fn sections(&self, prefix: &str) -> Vec<CompactString> {
        let names = self.ini.sections().flatten();
        names.filter_map(|it| it.strip_prefix(prefix)?.strip_prefix('.')).map(Into::into).collect()
    }

    /// The keys of a section, in the order of the file; none if the file does not have the section.
    pub(super) fn keys(&self, section: &str) -> Vec<CompactString> {
        let section = self.ini.section(Some(section));
        section.into_iter().flat_map(|it| it.iter()).map(|(key, _)| key.into()).collect()
    }

    /// Reads a value that must be set. A missing value is a fault, and so is one that `parse`
    /// refuses; the fault says that `allowed` was expected.
    pub(super) fn required<T>(
        &mut self,
        section: &str,
        key: &str,
        allowed: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let value = self.read_text(section, key);
        let parsed = value.as_deref().and_then(parse);
        if parsed.is_none() {
            self.add_fault(section, key, value, allowed.into());
        }
        parsed
    }

    /// Reads a value, or returns `default` if it is not set. A value that `parse` refuses is a
    /// fault.
    pub(super) fn optional<T>(
        &mut self,
        section: &str,
        key: &str,
        allowed: &str,
        default: T,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> T {
        let Some(value) = self.read_text(section, key) else { return default };
        let Some(parsed) = parse(&value) else {
            self.add_fault(section, key, Some(value), allowed.into());
            return default;
        };
        parsed
    }

    /// Adds a fault. The value is hidden if it may be a secret.
    pub(super) fn add_fault(
        &mut self,
        section: &str,
        key: &str,
        value: Option<CompactString>,
        allowed: CompactString,
    ) {
        let file = self.file.clone();
        // A secret must not be shown in a terminal or a log. Any value of [control] may be the
        // token under a mistyped key, except those of the other known keys.
        let maybe_token = section == "control"
            && !matches!(key, "access" | "data" | "dialect" | "election-ms" | "operators");
        let secret = maybe_token || section == "identity" && key == "secret";
        let value = if secret { value.map(|_| "(hidden)".into()) } else { value };
        self.faults.push(Fault { file, section: section.into(), key: key.into(), value, allowed });
    }

    /// Fails if there are faults, or keys in the file that were not read.
    pub(super) fn finish(mut self) -> Result<()> {
        let mut unknown = Vec::new();
        for (section, properties) in &self.ini {
            let section = section.unwrap_or_default();
            for (key, value) in properties.iter() {
                if !self.known.contains(&(section.into(), key.into())) {
                    unknown.push((CompactString::from(section), key.to_owned(), value.to_owned()));
                }
            }
        }
        for (section, key, value) in unknown {
            let allowed = self.known_keys(&section);
            self.add_fault(&section, &key, Some(value.into()), allowed);
        }
        if self.faults.is_empty() { Ok(()) } else { Err(Error::Faults(self.faults)) }
    }

    /// Reads a value as text and marks its key as known.
    fn read_text(&mut self, section: &str, key: &str) -> Option<CompactString> {
        self.known.insert((section.into(), key.into()));
        self.ini.get_from(Some(section), key).map(Into::into)
    }

    /// The phrase for the keys of a section, or for the sections if the section is unknown.
    fn known_keys(&self, section: &str) -> CompactString {
        let mut keys: Vec<_> =
            self.known.iter().filter(|it| it.0 == section).map(|it| it.1.as_str()).collect();
        if keys.is_empty() {
            return self.known_sections();
        }
        keys.sort_unstable();
        format_compact!("one of the keys {}", keys.join(", "))
    }

    fn known_sections(&self) -> CompactString {
        let mut names: Vec<_> = self.known.iter().map(|it| it.0.as_str()).collect();
        names.sort_unstable();
        names.dedup();
        format_compact!("one of the sections {}", names.join(", "))
    }
}
