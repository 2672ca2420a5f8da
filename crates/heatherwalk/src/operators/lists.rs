//! `nodes`, `targets`, `quarantine` and `status`.

use std::{io, time};

use compact_str::{CompactString, format_compact};
use protocol::operators;

use super::{Call, CallError, Client, Error, Reply, Result};
use crate::{args, render};

/// Lists nodes.
pub(super) fn nodes<C, P>(
    args: &args::Nodes,
    client: &mut Client<C, P>,
    out: &mut impl io::Write,
) -> Result<()>
where
    C: FnMut(&Call) -> Result<Reply, CallError>,
    P: FnMut(time::Duration) -> time::Duration,
{
    let query = if args.behind { "?behind=true" } else { "" };
    let path = format_compact!("{}{query}", operators::NODES_PATH);
    let nodes: Vec<operators::NodeRecord> = client.get(&path)?;
    write(out, args.json, &nodes, render::nodes)
}

/// Lists targets.
pub(super) fn targets<C, P>(
    args: &args::Targets,
    client: &mut Client<C, P>,
    out: &mut impl io::Write,
) -> Result<()>
where
    C: FnMut(&Call) -> Result<Reply, CallError>,
    P: FnMut(time::Duration) -> time::Duration,
{
    let targets: Vec<operators::TargetRecord> = client.get(operators::TARGETS_PATH)?;
    write(out, args.json, &targets, render::targets)
}

/// Lists quarantined requests.
pub(super) fn quarantine<C, P>(
    args: &args::Quarantine,
    client: &mut Client<C, P>,
    out: &mut impl io::Write,
) -> Result<()>
where
    C: FnMut(&Call) -> Result<Reply, CallError>,
    P: FnMut(time::Duration) -> time::Duration,
{
    let requests: Vec<operators::QuarantineRecord> = client.get(operators::QUARANTINE_PATH)?;
    write(out, args.json, &requests, render::quarantine)
}

/// Shows the state of each control, also of those that are not current.
pub(super) fn status<C, P>(
    args: &args::Status,
    client: &mut Client<C, P>,
    out: &mut impl io::Write,
) -> Result<()>
where
    C: FnMut(&Call) -> Result<Reply, CallError>,
    P: FnMut(time::Duration) -> time::Duration,
{
    let mut controls = Vec::new();
    for control in client.controls.clone() {
        let status = client.get_from::<operators::Status>(control, operators::STATUS_PATH);
        controls.push(match status {
            Ok(status) => render::ControlState { control, status: Some(status), detail: None },
            // The other controls would refuse the token as well.
            Err(err @ Error::Denied(_)) => return Err(err),
            Err(err) => {
                let detail = Some(short(&err));
                render::ControlState { control, status: None, detail }
            }
        });
    }
    write(out, args.json, &controls, render::controls)?;
    let current = controls.iter().filter_map(|it| it.status.as_ref()).any(|it| it.current);
    if current { Ok(()) } else { Err(Error::NotCurrent) }
}

fn write<T: serde::Serialize>(
    out: &mut impl io::Write,
    json: bool,
    records: &[T],
    table: fn(&[T]) -> String,
) -> Result<()> {
    if json {
        return Ok(render::write_json(out, &records)?);
    }
    Ok(out.write_all(table(records).as_bytes())?)
}

/// One line that says why a control's state is not known.
fn short(err: &Error) -> CompactString {
    match err {
        Error::Unavailable { tried, .. } => {
            tried.iter().map(|it| it.detail.as_str()).collect::<Vec<_>>().join("; ").into()
        }
        _ => err.to_string().lines().next().unwrap_or_default().into(),
    }
}
