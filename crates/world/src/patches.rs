//! Merging a JSON Merge Patch (RFC 7386) into a document, and computing the patch between two
//! documents. A merge converts only the entries that the patch names to JSON and back.

use std::{collections, fmt};

use compact_str::{CompactString, format_compact};
use serde::{Serialize, de};

use crate::{bounds, document, faults, teams};

/// The services or routes of a document, by name.
type Entries<T> = collections::BTreeMap<CompactString, T>;

/// Merges `patch` into `base`, without validation of the result.
pub(crate) fn merge(
    base: &document::Document,
    patch: &serde_json::Value,
) -> document::Result<document::Document> {
    let Some(fields) = patch.as_object() else {
        // RFC 7386 would replace the whole document by such a patch.
        return Err(vec![shape_fault("patch", &"a patch must be a JSON object")]);
    };
    let mut candidate = base.clone();
    let mut faults = Vec::new();
    for (key, value) in fields {
        match key.as_str() {
            "labels" => merge_value(&mut candidate.labels, key, value, &mut faults),
            "level" => merge_level(&mut candidate.level, value, &mut faults),
            "limits" => merge_value(&mut candidate.limits, key, value, &mut faults),
            "revision" => merge_value(&mut candidate.revision, key, value, &mut faults),
            "routes" => merge_entries(&mut candidate.routes, key, value, &mut faults),
            "services" => merge_entries(&mut candidate.services, key, value, &mut faults),
            "teams" => merge_teams(&mut candidate.teams, value, &mut faults),
            // Removing an unknown field changes nothing.
            _ if value.is_null() => {}
            _ => faults.push(shape_fault(
                key,
                &"expected one of labels, level, limits, revision, routes, services, teams",
            )),
        }
    }
    if faults.is_empty() { Ok(candidate) } else { Err(faults) }
}

/// Returns the JSON Merge Patch (RFC 7386) that turns `from` into `to`.
pub fn diff(from: &document::Document, to: &document::Document) -> serde_json::Value {
    diff_values(&document::to_value(from), &document::to_value(to))
}

/// Compares objects field by field. A merge patch replaces any other value as a whole.
fn diff_values(from: &serde_json::Value, to: &serde_json::Value) -> serde_json::Value {
    let (serde_json::Value::Object(old), serde_json::Value::Object(new)) = (from, to) else {
        return to.clone();
    };
    let removed = old.keys().filter(|it| !new.contains_key(*it));
    let mut patch: serde_json::Map<_, _> =
        removed.map(|it| (it.clone(), serde_json::Value::Null)).collect();
    for (name, value) in new {
        match old.get(name) {
            Some(held) if held == value => {}
            Some(held) => _ = patch.insert(name.clone(), diff_values(held, value)),
            None => _ = patch.insert(name.clone(), value.clone()),
        }
    }
    serde_json::Value::Object(patch)
}

/// Returns the names of the entries in a section of the document, such as `routes`, that a patch
/// may change.
pub(crate) fn changed<'a>(
    patch: &'a serde_json::Value,
    section: &str,
    base: impl Iterator<Item = &'a CompactString>,
) -> collections::BTreeSet<&'a str> {
    match patch.get(section) {
        None => collections::BTreeSet::new(),
        Some(serde_json::Value::Object(entries)) => entries.keys().map(String::as_str).collect(),
        // The patch removes the whole section.
        Some(_) => base.map(CompactString::as_str).collect(),
    }
}

/// Returns a fault for JSON that does not match the schema.
pub(crate) fn shape_fault(path: &str, detail: &dyn fmt::Display) -> faults::Fault {
    let kind = faults::FaultKind::Shape;
    faults::Fault { path: path.into(), kind, detail: format_compact!("{detail}") }
}

fn merge_level(level: &mut u32, value: &serde_json::Value, faults: &mut Vec<faults::Fault>) {
    match value.as_u64().map(u32::try_from) {
        Some(Ok(it)) => *level = it,
        _ if value.is_null() => *level = 0,
        _ => faults.push(shape_fault("level", &format_args!("{value} is not a whole number"))),
    }
}

/// Merges a field that is neither the level nor a section of entries. Removing it resets it to its
/// default.
fn merge_value<T: Default + Serialize + de::DeserializeOwned>(
    held: &mut T,
    key: &str,
    change: &serde_json::Value,
    faults: &mut Vec<faults::Fault>,
) {
    if change.is_null() {
        *held = T::default();
        return;
    }
    let merged = serde_json::to_value(&*held).and_then(|mut value| {
        json_patch::merge(&mut value, change);
        T::deserialize(value)
    });
    match merged {
        Ok(it) => *held = it,
        Err(err) => faults.push(shape_fault(key, &err)),
    }
}

/// Merges the changes of a section's entries. Each entry that cannot be parsed adds a fault.
fn merge_entries<T: Serialize + de::DeserializeOwned>(
    entries: &mut Entries<T>,
    section: &str,
    value: &serde_json::Value,
    faults: &mut Vec<faults::Fault>,
) {
    let changes = match value {
        serde_json::Value::Object(changes) => changes,
        serde_json::Value::Null => return entries.clear(),
        _ => return faults.push(shape_fault(section, &"expected a JSON object")),
    };
    for (name, change) in changes {
        if change.is_null() {
            entries.remove(name.as_str());
            continue;
        }
        match merge_entry(entries.get(name.as_str()), change) {
            Ok(entry) => _ = entries.insert(name.into(), entry),
            Err(err) => faults.push(shape_fault(&format_compact!("{section}.{name}"), &err)),
        }
    }
}

/// Merges the changes of the teams. A fault does not quote the change, since it may hold a key.
fn merge_teams(
    teams: &mut Option<teams::Teams>,
    value: &serde_json::Value,
    faults: &mut Vec<faults::Fault>,
) {
    let changes = match value {
        serde_json::Value::Object(changes) => changes,
        serde_json::Value::Null => return *teams = None,
        _ => return faults.push(shape_fault("teams", &"expected a JSON object")),
    };
    let teams = teams.get_or_insert_default();
    for (name, change) in changes {
        if change.is_null() {
            teams.remove(name.as_str());
            continue;
        }
        let mut merged = match teams.get(name.as_str()) {
            Some(team) => serde_json::to_value(team).expect("teams have text keys only"),
            None => serde_json::Value::Null,
        };
        json_patch::merge(&mut merged, change);
        match teams::parse(merged) {
            Some(team) => _ = teams.insert(name.into(), team),
            None => {
                let place = format_compact!("teams.{}", bounds::excerpt(name));
                faults.push(shape_fault(&place, &teams::EXPECTED));
            }
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
        // Serde would also accept an array for a struct.
        return Err(de::Error::custom("expected a JSON object"));
    }
    T::deserialize(value)
}
