//! Tables of the records of the operators' API, and the record that `status` prints.

use std::net;

use compact_str::{CompactString, ToCompactString as _, format_compact};
use protocol::{explanations, operators};
use serde::Serialize;

use super::{Align, Table, duration, utc};

/// How many changed members of a patch a table lists.
const MAX_LISTED: usize = 4;

/// The state of a control, or the reason why it is not known. `status --json` prints it.
#[derive(Clone, Debug, Serialize)]
pub struct ControlState {
    /// The control's operator port.
    pub control: net::SocketAddr,
    /// Its state; `None` if the control gave no valid answer.
    pub status: Option<operators::Status>,
    /// Why the state is not known; `None` if it is.
    pub detail: Option<CompactString>,
}

/// A table of versions with the changes of each.
pub fn versions(records: &[operators::VersionRecord]) -> String {
    let mut table = Table::new(&[
        ("VERSION", Align::Right),
        ("ACCEPTED", Align::Left),
        ("OPERATOR", Align::Left),
        ("CHANGES", Align::Left),
    ]);
    for it in records {
        let version = it.version.to_compact_string();
        table.push([version, utc(it.accepted_ms), it.operator.clone(), changes(&it.patch)]);
    }
    table.render()
}

/// A table of nodes. "Behind for" is empty for a node that runs the current version; "heard ago" is
/// the time since its last report.
pub fn nodes(records: &[operators::NodeRecord]) -> String {
    let mut table = Table::new(&[
        ("HOST", Align::Left),
        ("DATA CENTRE", Align::Left),
        ("VERSION", Align::Right),
        ("BEHIND FOR", Align::Right),
        ("HEARD AGO", Align::Right),
    ]);
    for it in records {
        let version = it.version.map(|it| it.to_compact_string()).unwrap_or_default();
        let behind = it.behind_ms.map(duration).unwrap_or_default();
        let heard = duration(it.heard_ms);
        table.push([it.host.clone(), it.data_centre.clone(), version, behind, heard]);
    }
    table.render()
}

/// A table of targets with their states and slots.
pub fn targets(records: &[operators::TargetRecord]) -> String {
    let mut table = Table::new(&[
        ("SERVICE", Align::Left),
        ("HOST", Align::Left),
        ("DATA CENTRE", Align::Left),
        ("STATE", Align::Left),
        ("SLOTS", Align::Right),
        ("SOFTWARE", Align::Left),
    ]);
    for it in records {
        let slots = it.slots.to_compact_string();
        let (service, host) = (it.service.clone(), it.host.clone());
        let (state, version) = (it.state.clone(), it.version.clone());
        table.push([service, host, it.data_centre.clone(), state, slots, version]);
    }
    table.render()
}

/// A table of quarantined requests, and how much longer each is refused.
pub fn quarantine(records: &[operators::QuarantineRecord]) -> String {
    let mut table = Table::new(&[("FINGERPRINT", Align::Left), ("REFUSED FOR", Align::Right)]);
    for it in records {
        table.push([it.fingerprint.clone(), duration(it.left_ms)]);
    }
    table.render()
}

/// A table of controls. "Converged" counts the nodes that run the version, of all nodes attached.
pub fn controls(records: &[ControlState]) -> String {
    let mut table = Table::new(&[
        ("CONTROL", Align::Left),
        ("HOST", Align::Left),
        ("DATA CENTRE", Align::Left),
        ("ROLE", Align::Left),
        ("LEADER", Align::Left),
        ("CURRENT", Align::Left),
        ("VERSION", Align::Right),
        ("CONVERGED", Align::Right),
        ("DETAIL", Align::Left),
    ]);
    for it in records {
        let control = it.control.to_compact_string();
        let detail = it.detail.clone().unwrap_or_default();
        let Some(status) = &it.status else {
            let mut cells = vec![CompactString::default(); 9];
            (cells[0], cells[8]) = (control, detail);
            table.push(cells);
            continue;
        };
        table.push([
            control,
            status.host.clone(),
            status.data_centre.clone(),
            status.role.clone(),
            status.leader.clone().unwrap_or_default(),
            if status.current { "yes".into() } else { "no".into() },
            status.version.to_compact_string(),
            format_compact!("{}/{}", status.converged, status.nodes),
            detail,
        ]);
    }
    table.render()
}

/// The members that a patch sets, as `routes.x`, and those that it removes, as `-routes.x`. Lists
/// at most four and the number of the others.
pub fn changes(patch: &serde_json::Value) -> CompactString {
    let mut changes = Vec::new();
    let members = patch.as_object().into_iter().flatten();
    for (kind, value) in members {
        match value.as_object() {
            Some(names) => changes.extend(names.iter().map(|(name, value)| {
                let sign = if value.is_null() { "-" } else { "" };
                format!("{sign}{kind}.{name}")
            })),
            None if value.is_null() => changes.push(format!("-{kind}")),
            None => changes.push(format!("{kind} = {value}")),
        }
    }
    let more = changes.len().saturating_sub(MAX_LISTED);
    changes.truncate(MAX_LISTED);
    if more > 0 {
        changes.push(format!("and {more} more"));
    }
    changes.join(", ").into()
}

/// A table of the targets that a node compares for a request, the chosen one first.
pub fn explained_targets(records: &[explanations::Target]) -> String {
    let mut table = Table::new(&[
        ("", Align::Left),
        ("HOST", Align::Left),
        ("DATA CENTRE", Align::Left),
        ("STATUS", Align::Left),
        ("LINK", Align::Left),
        ("IN FLIGHT", Align::Right),
        ("ROUND TRIP MS", Align::Right),
        ("WAIT MS", Align::Right),
        ("SERVICE MS", Align::Right),
        ("REFUSALS", Align::Right),
        ("COST MS", Align::Right),
    ]);
    for it in records {
        let millis = |it: f32| format_compact!("{it:.1}");
        table.push([
            if it.chosen { "=>".into() } else { "-".into() },
            it.host.clone(),
            it.data_centre.clone(),
            it.status.clone(),
            if it.linked { "open".into() } else { CompactString::default() },
            it.in_flight.to_compact_string(),
            millis(it.round_trip_ms),
            millis(it.wait_ms),
            millis(it.service_ms),
            format_compact!("{:.2}", it.refusals),
            millis(it.cost_ms),
        ]);
    }
    table.render()
}
