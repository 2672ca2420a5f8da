//! `create` and `patch`: send a patch and print its result.

use std::{path, time};

use compact_str::{CompactString, format_compact};
use protocol::operators;
use world::document;

use super::{Client, Console, Error, Reply, Result, client, inputs, waiting};
use crate::{args, render};

const CONFLICT: u16 = 409;
const INVALID: u16 = 422;
const OK: u16 = 200;
/// The operator's name if neither the command line nor the environment gives one.
const UNKNOWN_OPERATOR: &str = "unknown";

/// The arguments that `create` and `patch` have in common.
struct Change<'a> {
    /// The name of the command.
    name: &'a str,
    base: document::Version,
    file: &'a path::Path,
    request_id: Option<&'a CompactString>,
    operator: Option<&'a CompactString>,
    /// How long to wait until the version is in force everywhere; `None` does not wait.
    wait: Option<time::Duration>,
    json: bool,
}

/// Creates version 1. A document is the patch that makes it from the empty document.
pub(super) fn create(
    args: &args::Create,
    client: &mut Client<'_>,
    console: &mut Console<'_>,
) -> Result<()> {
    let change = Change {
        name: "create",
        base: document::Version(0),
        file: &args.file,
        request_id: args.request_id.as_ref(),
        operator: args.operator.as_ref(),
        wait: args.wait.then_some(time::Duration::from_secs(args.timeout_s)),
        json: args.json,
    };
    send(&change, client, console)
}

/// Changes the configuration by a patch of a stated version.
pub(super) fn patch(
    args: &args::Patch,
    client: &mut Client<'_>,
    console: &mut Console<'_>,
) -> Result<()> {
    let change = Change {
        name: "patch",
        base: document::Version(args.base),
        file: &args.file,
        request_id: args.request_id.as_ref(),
        operator: args.operator.as_ref(),
        wait: args.wait.then_some(time::Duration::from_secs(args.timeout_s)),
        json: args.json,
    };
    send(&change, client, console)
}

fn send(change: &Change<'_>, client: &mut Client<'_>, console: &mut Console<'_>) -> Result<()> {
    let patch = inputs::read_json(change.file, console.input)?;
    let request_id = change.request_id.cloned().unwrap_or_else(inputs::new_request_id);
    // Printed before the request is sent, so that the operator can resend it after any failure.
    writeln!(console.err, "request ID {request_id}")?;
    let user = change.operator.or(console.user.as_ref());
    let request = operators::PatchRequest {
        base: change.base,
        request_id,
        operator: user.cloned().unwrap_or_else(|| UNKNOWN_OPERATOR.into()),
        patch,
    };
    let body = serde_json::to_value(&request).expect("a patch request always serializes");
    let reply = client.send_with_retries(http::Method::POST, operators::PATCHES_PATH, Some(body));
    let reply = reply.map_err(|err| add_resend(err, change, &request))?;
    let answer = parse_answer(&reply)?;
    if change.json {
        render::write_json(console.out, &answer)?;
    }
    let version = accepted_version(answer, change, &request)?;
    if !change.json {
        writeln!(console.out, "accepted as version {version}")?;
    }
    let Some(timeout) = change.wait else { return Ok(()) };
    waiting::wait_for(version, timeout, client, console.err)?;
    if !change.json {
        writeln!(console.out, "version {version} is in force everywhere")?;
    }
    Ok(())
}

fn parse_answer(reply: &Reply) -> Result<operators::PatchAnswer> {
    match reply.status {
        OK | CONFLICT | INVALID => client::decode(operators::PATCHES_PATH, reply),
        _ => client::parse(operators::PATCHES_PATH, reply),
    }
}

fn accepted_version(
    answer: operators::PatchAnswer,
    change: &Change<'_>,
    request: &operators::PatchRequest,
) -> Result<document::Version> {
    match answer {
        operators::PatchAnswer::Accepted { version } => Ok(version),
        operators::PatchAnswer::Conflict { current, since } => {
            Err(Error::Conflict { base: change.base, current, since })
        }
        operators::PatchAnswer::Invalid { faults, more } => Err(Error::Invalid(faults, more)),
        operators::PatchAnswer::RequestReused => {
            Err(Error::RequestReused(request.request_id.clone()))
        }
        operators::PatchAnswer::Unavailable { .. } => {
            let err = Error::Unavailable { failures: Vec::new(), resend: None };
            Err(add_resend(err, change, request))
        }
    }
}

/// Adds the command that resends the request to the error that no control answered. The command
/// names the operator as well, because a request ID may only be used again for an identical
/// request.
fn add_resend(err: Error, change: &Change<'_>, request: &operators::PatchRequest) -> Error {
    let Error::Unavailable { failures, .. } = err else { return err };
    let base = match change.name {
        "create" => CompactString::default(),
        _ => format_compact!(" --base {}", change.base),
    };
    let command = format_compact!(
        "heatherwalk {}{base} --file {} --request-id {} --operator {}",
        change.name,
        quote(&change.file.to_string_lossy()),
        quote(&request.request_id),
        quote(&request.operator),
    );
    Error::Unavailable { failures, resend: Some(command) }
}

/// Quotes a word for a POSIX shell, if that is necessary.
fn quote(word: &str) -> CompactString {
    let plain = |it: char| it.is_alphanumeric() || "-_./:@".contains(it);
    if !word.is_empty() && word.chars().all(plain) {
        return word.into();
    }
    format_compact!("'{}'", word.replace('\'', r"'\''"))
}
