//! `nodes`, `targets`, `quarantine` and `status`: print the controls' records as tables or JSON.

use std::io;

use compact_str::{CompactString, format_compact};
use protocol::operators;

use super::{Client, Error, Result};
use crate::{args, render};

/// Lists the nodes and the versions that they run, all or only those behind the current version.
pub(super) fn nodes(
    args: &args::Nodes,
    client: &mut Client<'_>,
    out: &mut dyn io::Write,
) -> Result<()> {
    let query = if args.behind { "?behind=true" } else { "" };
    let path = format_compact!("{}{query}", operators::NODES_PATH);
    let nodes: Vec<operators::NodeRecord> = client.get(&path)?;
    write_records(out, args.json, &nodes, render::nodes)
}

/// Lists the targets and their states.
pub(super) fn targets(
    args: &args::Targets,
    client: &mut Client<'_>,
    out: &mut dyn io::Write,
) -> Result<()> {
    let targets: Vec<operators::TargetRecord> = client.get(operators::TARGETS_PATH)?;
    write_records(out, args.json, &targets, render::targets)
}

/// Lists the fingerprints of quarantined requests.
pub(super) fn quarantine(
    args: &args::Quarantine,
    client: &mut Client<'_>,
    out: &mut dyn io::Write,
) -> Result<()> {
    let requests: Vec<operators::QuarantineRecord> = client.get(operators::QUARANTINE_PATH)?;
    write_records(out, args.json, &requests, render::quarantine)
}

/// Shows the state of each control, current or not. Fails if none of them is current.
pub(super) fn status(
    args: &args::Status,
    client: &mut Client<'_>,
    out: &mut dyn io::Write,
) -> Result<()> {
    let mut controls = Vec::new();
    for control in client.controls.clone() {
        let status = client.get_from::<operators::Status>(control, operators::STATUS_PATH);
        controls.push(match status {
            Ok(status) => render::ControlState { control, status: Some(status), detail: None },
            // The other controls would refuse the same token as well.
            Err(err @ Error::BadToken(_)) => return Err(err),
            Err(err) => {
                let detail = Some(short_text(&err));
                render::ControlState { control, status: None, detail }
            }
        });
    }
    write_records(out, args.json, &controls, render::controls)?;
    let current = controls.iter().filter_map(|it| it.status.as_ref()).any(|it| it.current);
    if current { Ok(()) } else { Err(Error::NotCurrent) }
}

fn write_records<T: serde::Serialize>(
    out: &mut dyn io::Write,
    json: bool,
    records: &[T],
    table: fn(&[T]) -> String,
) -> Result<()> {
    if json {
        return Ok(render::write_json(out, &records)?);
    }
    Ok(out.write_all(table(records).as_bytes())?)
}

/// The reason in one line why the state of a control is not known.
fn short_text(err: &Error) -> CompactString {
    match err {
        Error::Unavailable { failures, .. } => {
            failures.iter().map(|it| it.detail.as_str()).collect::<Vec<_>>().join("; ").into()
        }
        _ => err.to_string().lines().next().unwrap_or_default().into(),
    }
}
