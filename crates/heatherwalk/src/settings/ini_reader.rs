//! Typed access to an INI file that collects faults and notices unknown keys.

use std::{collections, fs};

use compact_str::{CompactString, ToCompactString as _, format_compact};

use super::{Error, Fault, Result};

/// An INI file that is being read.
pub(super) struct Reader {
    file: CompactString,
    ini: ini::Ini,
    known: collections::HashSet<(CompactString, CompactString)>,
    faults: Vec<Fault>,
}

impl Reader {
    /// Reads and parses a file.
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

    /// The names of the sections `prefix.NAME`, without the prefix.
    pub(super) fn sections(&self, prefix: &str) -> Vec<CompactString> {
        let names = self.ini.sections().flatten();
        names.filter_map(|it| it.strip_prefix(prefix)?.strip_prefix('.')).map(Into::into).collect()
    }

    /// The keys of a section.
    pub(super) fn keys(&self, section: &str) -> Vec<CompactString> {
        let section = self.ini.section(Some(section));
        section.into_iter().flat_map(|it| it.iter()).map(|(key, _)| key.into()).collect()
    }

    /// A value that must be there.
    pub(super) fn required<T>(
        &mut self,
        section: &str,
        key: &str,
        allowed: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let value = self.take(section, key);
        let parsed = value.as_deref().and_then(parse);
        if parsed.is_none() {
            self.fault(section, key, value, allowed.into());
        }
        parsed
    }

    /// A value with a default.
    pub(super) fn optional<T>(
        &mut self,
        section: &str,
        key: &str,
        allowed: &str,
        default: T,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> T {
        let Some(value) = self.take(section, key) else { return default };
        let Some(parsed) = parse(&value) else {
            self.fault(section, key, Some(value), allowed.into());
            return default;
        };
        parsed
    }

    /// Records a fault.
    pub(super) fn fault(
        &mut self,
        section: &str,
        key: &str,
        value: Option<CompactString>,
        allowed: CompactString,
    ) {
        let file = self.file.clone();
        // The token, also under a mistyped name, must not get into a terminal's or a log's text.
        let hidden = section == "control"
            && !matches!(key, "access" | "data" | "dialect" | "election-ms" | "operators");
        let secret = hidden || section == "identity" && key == "secret";
        let value = if secret { value.map(|_| "(hidden)".into()) } else { value };
        self.faults.push(Fault { file, section: section.into(), key: key.into(), value, allowed });
    }

    /// Ends the reading: fails when there were faults or keys that nothing asked for.
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
            self.fault(&section, &key, Some(value.into()), allowed);
        }
        if self.faults.is_empty() { Ok(()) } else { Err(Error::Faults(self.faults)) }
    }

    fn take(&mut self, section: &str, key: &str) -> Option<CompactString> {
        self.known.insert((section.into(), key.into()));
        self.ini.get_from(Some(section), key).map(Into::into)
    }

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
