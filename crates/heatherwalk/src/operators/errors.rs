//! The errors of the operators' commands. Each text says what the operator can do next.

use std::{io, net, path, time};

use compact_str::CompactString;
use protocol::operators;
use world::{document, faults};

use super::Failure;
use crate::{exit_codes, render};

/// An error of an operators' command.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The patch was written against a version that is no longer current.
    #[error("{}", conflict_text(*.base, *.current, .since))]
    Conflict {
        /// The version that the patch was written against.
        base: document::Version,
        /// The current version.
        current: document::Version,
        /// The versions since the base, oldest first. The oldest may no longer be kept.
        since: Vec<operators::VersionRecord>,
    },
    /// The candidate, the document that the patch results in, has these faults. The number counts
    /// further faults that are not listed.
    #[error("the candidate is invalid and nothing was changed:\n{}{}\nnext: correct each place in the file and send it again with a new request ID", indent(.0), unlisted_text(*.1))]
    Invalid(Vec<faults::Fault>, u32),
    /// The request ID was used for another patch.
    #[error(
        "request ID {0} was used for another patch; this one was not applied\nnext: leave out --request-id, or give a new one"
    )]
    RequestReused(CompactString),
    /// The control refused the order of a rollout.
    #[error(
        "refused: {0}\nnext: see the targets with `heatherwalk targets` and the last rollout with `heatherwalk rollout show`"
    )]
    RolloutRefused(CompactString),
    /// No control answered as current.
    #[error("no control answered as current:\n{}\nnext: {}", indent(.failures), next_step(.resend))]
    Unavailable {
        /// Why each control failed in the last round, in the order in which they were tried.
        failures: Vec<Failure>,
        /// The command that resends the patch; `None` for a command that only reads.
        resend: Option<CompactString>,
    },
    /// Each control that answered says that it is not current.
    #[error(
        "no control says that it is current\nnext: name more controls with --control; see docs/operators.md, \"When something is lost\""
    )]
    NotCurrent,
    /// The version was not in force everywhere before the timeout.
    #[error("version {version} is not in force everywhere after {} s: {detail}\nnext: see which nodes are behind with `heatherwalk nodes --behind`; an accepted version stays accepted", .timeout.as_secs())]
    TimedOut {
        /// The version that was waited for.
        version: document::Version,
        /// How long the command waited.
        timeout: time::Duration,
        /// The last progress.
        detail: CompactString,
    },
    /// The control refused the token.
    #[error(
        "{0} refused the token\nnext: give the token of the control's settings, [control] token, with --token-file or HEATHERWALK_TOKEN"
    )]
    BadToken(net::SocketAddr),
    /// The control has nothing at this path, for example no such version.
    #[error("{path}: not found: {detail}\nnext: list the versions with `heatherwalk history`")]
    NotFound {
        /// The path of the request.
        path: CompactString,
        /// The control's explanation.
        detail: CompactString,
    },
    /// The answer has an unexpected status or an unexpected body.
    #[error(
        "{path}: unexpected answer with status {status}: {detail}\nnext: check that --control names an operator port and that both programs have the same version"
    )]
    UnexpectedAnswer {
        /// The path of the request.
        path: CompactString,
        /// The HTTP status.
        status: u16,
        /// The control's explanation, or what is wrong with the body.
        detail: CompactString,
    },
    /// No token was given.
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
    /// The command is not one of the operators' commands.
    #[error("this is not an operators' command; see `heatherwalk --help`")]
    NotAnOperatorCommand,
}

/// The result of an operators' command.
pub type Result<T, E = Error> = std::result::Result<T, E>;

impl Error {
    /// The exit code of a process that fails with this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::Conflict { .. }
            | Error::Invalid(..)
            | Error::RequestReused(_)
            | Error::RolloutRefused(_) => exit_codes::REFUSED,
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

fn conflict_text(
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

fn next_step(resend: &Option<CompactString>) -> CompactString {
    match resend {
        Some(command) => compact_str::format_compact!(
            "the patch may have been accepted; send it again under the same request ID: `{command}`"
        ),
        None => {
            "name other controls with --control, or look at them with `heatherwalk status`".into()
        }
    }
}

fn unlisted_text(count: u32) -> CompactString {
    match count {
        0 => CompactString::default(),
        _ => compact_str::format_compact!("\n  and {count} more faults, which are not listed"),
    }
}

fn indent<T: std::fmt::Display>(items: &[T]) -> String {
    items.iter().map(|it| format!("  {it}")).collect::<Vec<_>>().join("\n")
}
