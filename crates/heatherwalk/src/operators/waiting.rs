//! `wait`: polls the controls until a version is in force everywhere.

use std::{io, time};

use compact_str::{CompactString, format_compact};
use protocol::operators;
use world::document;

use super::{Client, Console, Error, Result, client};
use crate::{args, render};

/// Pause between two polls. A version is expected to be in force everywhere within 5 s.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Waits until a version is in force everywhere, and prints that it is.
pub(super) fn wait(
    args: &args::Wait,
    client: &mut Client<'_>,
    console: &mut Console<'_>,
) -> Result<()> {
    let version = document::Version(args.version);
    let timeout = time::Duration::from_secs(args.timeout_s);
    let progress = wait_for(version, timeout, client, console.err)?;
    if args.json {
        return Ok(render::write_json(console.out, &progress)?);
    }
    Ok(writeln!(console.out, "version {version} is in force everywhere")?)
}

/// Waits until `version` is in force everywhere, and writes a line to `err` whenever the progress
/// changes.
///
/// # Errors
///
/// [`Error::TimedOut`] after `timeout`. Missing versions and controls that cannot be reached do not
/// end the wait; other errors do.
pub(super) fn wait_for(
    version: document::Version,
    timeout: time::Duration,
    client: &mut Client<'_>,
    err: &mut dyn io::Write,
) -> Result<operators::Progress> {
    let started = (client.sleep)(time::Duration::ZERO);
    let mut last = CompactString::default();
    loop {
        let detail = match fetch_progress(version, client) {
            Ok(progress) if progress.in_force => return Ok(progress),
            Ok(progress) => progress_text(&progress),
            // The control may lag behind the one that accepted the patch, and an outage of the
            // controls may end before the timeout.
            Err(Error::NotFound { .. }) => {
                format_compact!("the control does not have version {version} yet")
            }
            Err(Error::Unavailable { .. }) => "no control answers as current".into(),
            Err(err) => return Err(err),
        };
        if detail != last {
            writeln!(err, "version {version}: {detail}")?;
            last = detail;
        }
        let waited = (client.sleep)(time::Duration::ZERO).saturating_sub(started);
        let left = timeout.saturating_sub(waited);
        if left.is_zero() {
            return Err(Error::TimedOut { version, timeout, detail: last });
        }
        (client.sleep)(left.min(POLL_INTERVAL));
    }
}

fn fetch_progress(
    version: document::Version,
    client: &mut Client<'_>,
) -> Result<operators::Progress> {
    let path = operators::progress_path(version);
    // One round only: `wait_for` does the pauses itself, within its timeout.
    let reply = client.send_to_each(http::Method::GET, &path, None)?;
    client::parse(&path, &reply)
}

fn progress_text(progress: &operators::Progress) -> CompactString {
    let centres = &progress.data_centres;
    let nodes: usize = centres.iter().map(|it| it.nodes).sum();
    let confirmed: usize = centres.iter().map(|it| it.confirmed).sum();
    let behind: Vec<_> = centres
        .iter()
        .filter(|it| it.confirmed < it.nodes)
        .map(|it| format!("{} {}/{}", it.data_centre, it.confirmed, it.nodes))
        .collect();
    if behind.is_empty() {
        return format_compact!("{confirmed} of {nodes} nodes; waiting for fresh reports");
    }
    format_compact!("{confirmed} of {nodes} nodes; behind: {}", behind.join(", "))
}
