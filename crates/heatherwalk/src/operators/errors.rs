//! Why a command did not do what was asked, and what to do next.

use std::{io, net, path, time};

use compact_str::CompactString;
use protocol::operators;
use world::{document, faults};

use super::Failure;
use crate::{exit_codes, render};

/// An error of an operators' command.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Another patch came first.
    #[error("{}", conflict(*.base, *.current, .since))]
    Conflict {
        /// The version that the patch was written against.
        base: document::Version,
        /// The version that is current now.
        current: document::Version,
        /// What has changed since; the oldest may be gone.
        since: Vec<operators::VersionRecord>,
    },
    /// The candidate has these faults, and a number of others that are not listed.
    #[error("the candidate is invalid and nothing was changed:\n{}{}\nnext: correct each place in the file and send it again with a new request ID", lines(.0), more(*.1))]
    Invalid(Vec<faults::Fault>, u32),
    /// The request ID belongs to another patch.
    #[error(
        "request ID {0} was used for another patch; this one was not applied\nnext: leave out --request-id, or give a new one"
    )]
    RequestReused(CompactString),
    /// No control answered as current.
    #[error("no control answered as current:\n{}\nnext: {}", lines(.failures), next_control(.resend))]
    Unavailable {
        /// The controls, and what was seen.
        failures: Vec<Failure>,
        /// The command that resends a patch; none when nothing was to be changed.
        resend: Option<CompactString>,
    },
    /// No control is current, as its own status says.
    #[error(
        "no control says that it is current\nnext: name more controls with --control; see docs/operators.md, \"When something is lost\""
    )]
    NotCurrent,
    /// The version is not in force everywhere in time.
    #[error("version {version} is not in force everywhere after {} s: {detail}\nnext: see which nodes are behind with `heatherwalk nodes --behind`; an accepted version stays accepted", .timeout.as_secs())]
    TimedOut {
        /// The version.
        version: document::Version,
        /// How long was waited.
        timeout: time::Duration,
        /// What was seen last.
        detail: CompactString,
    },
    /// The control does not take the token.
    #[error(
        "{0} refused the token\nnext: give the token of the control's settings, [control] token, with --token-file or HEATHERWALK_TOKEN"
    )]
    BadToken(net::SocketAddr),
    /// The control does not have what was asked for.
    #[error("{path}: not found: {detail}\nnext: list the versions with `heatherwalk history`")]
    NotFound {
        /// The path of the request.
        path: CompactString,
        /// What the control said.
        detail: CompactString,
    },
    /// The answer is not one that the command knows.
    #[error(
        "{path}: unexpected answer with status {status}: {detail}\nnext: check that --control names an operator port and that both programs have the same version"
    )]
    UnexpectedAnswer {
        /// The path of the request.
        path: CompactString,
        /// The HTTP status.
        status: u16,
        /// What was seen.
        detail: CompactString,
    },
    /// There is no token.
    #[error("no token: give --token-file FILE or set HEATHERWALK_TOKEN")]
    NoToken,
    /// A file cannot be read.
    #[error("cannot read {}: {source}\nnext: check the path and its permissions; `-` is standard input", file.display())]
    Read {
        /// The file.
        file: path::PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A file is not JSON.
    #[error("{} is not JSON: {source}\nnext: correct the file at that place", file.display())]
    Json {
        /// The file.
        file: path::PathBuf,
        /// The cause.
        source: serde_json::Error,
    },
    /// The output cannot be written.
    #[error("cannot write the output: {0}")]
    Output(#[from] io::Error),
    /// The command does not ask a control.
    #[error("the command does not ask a control; see `heatherwalk --help`")]
    NotAnOperatorCommand,
}

/// A result of an operators' command.
pub type Result<T, E = Error> = std::result::Result<T, E>;

impl Error {
    /// The exit code of the process that ends with this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::Conflict { .. } | Error::Invalid(..) | Error::RequestReused(_) => {
                exit_codes::REFUSED
            }
            Error::Unavailable { .. } | Error::NotCurrent => exit_codes::UNAVAILABLE,
            Error::TimedOut { .. } => exit_codes::TIMED_OUT,
            Error::NoToken => exit_codes::USAGE,
            Error::BadToken(_)
            | Error::Json { .. }
            | Error::NotFound { .. }
            | Error::NotAnOperatorCommand
            | Error::Output(_)
            | Error::Read { .. }
            | Error::UnexpectedAnswer { .. } => exit_codes::FAILED,
        }
    }
}

fn conflict(
    base: document::Version,
    current: document::Version,
    since: &[operators::VersionRecord],
) -> String {
    let mut text = format!("conflict: the patch is against version {base}, current is {current}");
    if !since.is_empty() {
        text += "; changed since:\n";
        text += &render::versions(since);
    }
    if since.first().is_some_and(|it| it.version > base.next()) {
        text += "(older changes are no longer kept)\n";
    }
    let text = text.trim_end();
    format!(
        "{text}\nnext: compare with `heatherwalk diff {base} {current}`, adapt the patch, and send \
         it with `heatherwalk patch --base {current}` and a new request ID"
    )
}

fn next_control(resend: &Option<CompactString>) -> CompactString {
    match resend {
        Some(command) => compact_str::format_compact!(
            "the patch may have been accepted; send it again under the same request ID: `{command}`"
        ),
        None => {
            "name other controls with --control, or look at them with `heatherwalk status`".into()
        }
    }
}

fn more(count: u32) -> CompactString {
    match count {
        0 => CompactString::default(),
        _ => compact_str::format_compact!("\n  and {count} more faults, which are not listed"),
    }
}

fn lines<T: std::fmt::Display>(items: &[T]) -> String {
    items.iter().map(|it| format!("  {it}")).collect::<Vec<_>>().join("\n")
}
