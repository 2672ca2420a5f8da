//! Merging a JSON Merge Patch (RFC 7386) into a document. Only the entries that the patch names
//! are converted to JSON and back.

use std::{collections, fmt};

use compact_str::{CompactString, format_compact};
use serde::{Serialize, de};

use crate::{document, faults};

type Entries<T> = collections::BTreeMap<CompactString, T>;

/// The document that `patch` makes of `base`. It is not validated.
pub(crate) fn merge(
    base: &document::Document,
    patch: &serde_json::Value,
) -> document::Result<document::Document> {
    let Some(fields) = patch.as_object() else {
        // A merge patch that is not an object would replace the whole document.
        return Err(vec![fault("patch", &"a patch must be a JSON object")]);
    };
    let mut candidate = base.clone();
    let mut faults = Vec::new();
    for (key, value) in fields {
        match key.as_str() {
            "level" => merge_level(&mut candidate.level, value, &mut faults),
            "routes" => merge_entries(&mut candidate.routes, key, value, &mut faults),
            "services" => merge_entries(&mut candidate.services, key, value, &mut faults),
            // Removing what is not there changes nothing.
            _ if value.is_null() => {}
            _ => faults.push(fault(key, &"expected one of level, routes, services")),
        }
    }
    if faults.is_empty() { Ok(candidate) } else { Err(faults) }
}

/// The names in a section of the document that a patch may change.
pub(crate) fn touched<'a>(
    patch: &'a serde_json::Value,
    section: &str,
    base: impl Iterator<Item = &'a CompactString>,
) -> collections::BTreeSet<&'a str> {
    match patch.get(section) {
        None => collections::BTreeSet::new(),
        Some(serde_json::Value::Object(entries)) => entries.keys().map(String::as_str).collect(),
        // The section is removed as a whole.
        Some(_) => base.map(CompactString::as_str).collect(),
    }
}

/// A fault in the shape of a document.
pub(crate) fn fault(path: &str, detail: &dyn fmt::Display) -> faults::Fault {
    let kind = faults::FaultKind::Shape;
    faults::Fault { path: path.into(), kind, detail: format_compact!("{detail}") }
}

fn merge_level(level: &mut u32, value: &serde_json::Value, faults: &mut Vec<faults::Fault>) {
    match value.as_u64().map(u32::try_from) {
        Some(Ok(it)) => *level = it,
        _ if value.is_null() => *level = 0,
        _ => faults.push(fault("level", &format_args!("{value} is not a whole number"))),
    }
}

fn merge_entries<T: Serialize + de::DeserializeOwned>(
    entries: &mut Entries<T>,
    section: &str,
    value: &serde_json::Value,
    faults: &mut Vec<faults::Fault>,
) {
    let changes = match value {
        serde_json::Value::Object(changes) => changes,
        serde_json::Value::Null => return entries.clear(),
        _ => return faults.push(fault(section, &"expected a JSON object")),
    };
    for (name, change) in changes {
        if change.is_null() {
            entries.remove(name.as_str());
            continue;
        }
        match merge_entry(entries.get(name.as_str()), change) {
            Ok(entry) => _ = entries.insert(name.into(), entry),
            Err(err) => faults.push(fault(&format_compact!("{section}.{name}"), &err)),
        }
    }
}

fn merge_entry<T: Serialize + de::DeserializeOwned>(
    old: Option<&T>,
    change: &serde_json::Value,
) -> serde_json::Result<T> {
    let mut value = match old {
        Some(old) => serde_json::to_value(old)?,
        None => serde_json::Value::Null,
    };
    json_patch::merge(&mut value, change);
    if !value.is_object() {
        // Serde also reads a struct from an array.
        return Err(de::Error::custom("expected a JSON object"));
    }
    T::deserialize(value)
}
