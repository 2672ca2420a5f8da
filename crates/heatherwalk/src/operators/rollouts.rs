//! `rollout`: orders that a service moves to another software version, and shows how far that is.

use std::io;

use compact_str::format_compact;
use protocol::operators;

use super::{Client, Error, Result, client};
use crate::{args, render};

const INVALID: u16 = 400;
const CONFLICT: u16 = 409;

/// Orders a rollout or shows the last one of a service.
pub(super) fn run(
    args: &args::Rollout,
    client: &mut Client<'_>,
    out: &mut dyn io::Write,
) -> Result<()> {
    match &args.command {
        args::RolloutCommand::Start(it) => start(it, client, out),
        args::RolloutCommand::Show(it) => show(it, client, out),
    }
}

/// Orders a rollout. A control takes an order that is sent again for the same one.
fn start(
    args: &args::RolloutStart,
    client: &mut Client<'_>,
    out: &mut dyn io::Write,
) -> Result<()> {
    let args::RolloutStart { service, target, over, json, .. } = args;
    let path = operators::ROLLOUTS_PATH;
    let body = serde_json::json!({ "service": service, "target": target, "over": over });
    let reply = client.send_with_retries(http::Method::POST, path, Some(body))?;
    if [CONFLICT, INVALID].contains(&reply.status) {
        return Err(Error::RolloutRefused(client::problem_detail(&reply)));
    }
    write(out, *json, service, &client::parse(path, &reply)?)
}

fn show(args: &args::RolloutShow, client: &mut Client<'_>, out: &mut dyn io::Write) -> Result<()> {
    let args::RolloutShow { service, json, .. } = args;
    let path = format_compact!("{}?service={service}", operators::ROLLOUTS_PATH);
    write(out, *json, service, &client.get(&path)?)
}

fn write(
    out: &mut dyn io::Write,
    json: bool,
    service: &str,
    record: &operators::RolloutRecord,
) -> Result<()> {
    if json {
        return Ok(render::write_json(out, record)?);
    }
    let state = match record.state {
        operators::RolloutState::Running => "running",
        operators::RolloutState::Complete => "complete",
        operators::RolloutState::RolledBack => "rolled back",
    };
    Ok(writeln!(out, "{service} to {}: {state}", record.target)?)
}
