//! `show`, `diff` and `history`: print versions of the configuration.

use std::io;

use compact_str::format_compact;
use protocol::operators;
use world::document;

use super::{Client, Result, line_diff};
use crate::{args, render};

/// How many unchanged lines `diff` prints around each change.
const CONTEXT: usize = 3;

/// Prints the document of a version, or of the current one.
pub(super) fn show(
    args: &args::Show,
    client: &mut Client<'_>,
    out: &mut dyn io::Write,
) -> Result<()> {
    let path = match args.version {
        Some(version) => operators::version_path(document::Version(version)),
        None => operators::CURRENT_PATH.into(),
    };
    let version: operators::VersionDocument = client.get(&path)?;
    if args.json {
        return Ok(render::write_json(out, &version)?);
    }
    writeln!(out, "version {}", version.version)?;
    Ok(render::write_json(out, &version.document)?)
}

/// Prints the difference between the documents of two versions.
pub(super) fn diff(
    args: &args::Diff,
    client: &mut Client<'_>,
    out: &mut dyn io::Write,
) -> Result<()> {
    let mut read = |version| {
        let path = operators::version_path(document::Version(version));
        client.get::<operators::VersionDocument>(&path)
    };
    let (old, new) = (read(args.old)?, read(args.new)?);
    let old_text = render::pretty(&old.document);
    let new_text = render::pretty(&new.document);
    let text = line_diff::unified(
        &format_compact!("version {}", old.version),
        &format_compact!("version {}", new.version),
        &old_text,
        &new_text,
        CONTEXT,
    );
    if args.json {
        let diff = render::Diff { old: old.version, new: new.version, diff: text.into() };
        return Ok(render::write_json(out, &diff)?);
    }
    Ok(out.write_all(text.as_bytes())?)
}

/// Lists the newest versions, oldest first.
pub(super) fn history(
    args: &args::History,
    client: &mut Client<'_>,
    out: &mut dyn io::Write,
) -> Result<()> {
    let path = format_compact!("{}?limit={}", operators::VERSIONS_PATH, args.limit);
    let versions: Vec<operators::VersionRecord> = client.get(&path)?;
    if args.json {
        return Ok(render::write_json(out, &versions)?);
    }
    Ok(out.write_all(render::versions(&versions).as_bytes())?)
}
