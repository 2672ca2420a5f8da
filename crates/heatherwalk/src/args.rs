//! Parsing of the command line.

mod commands;
mod operators;

use compact_str::CompactString;

pub use commands::{
    Authority, Check, Command, Control, Dev, Explain, Issue, Keys, KeysCommand, Node, TopLevel,
    Version,
};
pub use operators::{
    CommonOptions, Create, Diff, History, Nodes, Patch, Quarantine, Rollout, RolloutCommand,
    RolloutShow, RolloutStart, Show, Status, Targets, Wait,
};

use crate::exit_codes;

/// The name of the program in help texts and messages.
pub const PROGRAM: &str = "heatherwalk";
/// The environment variable with the operators' token, used when no --token-file is given.
pub const TOKEN_VARIABLE: &str = "HEATHERWALK_TOKEN";

/// What to print, and the code to exit with, when no command is to be run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Exit {
    /// The text: help for standard output if `code` is [`exit_codes::DONE`], else an error message
    /// for standard error.
    pub text: CompactString,
    /// The exit code: [`exit_codes::DONE`] or [`exit_codes::USAGE`].
    pub code: u8,
}

/// The result of parsing: on failure, what to print instead.
pub type Result<T, E = Exit> = std::result::Result<T, E>;

/// Parses the arguments of the process, which do not include the program's name.
pub fn parse(args: &[&str]) -> Result<Command> {
    let parsed = <TopLevel as argh::FromArgs>::from_args(&[PROGRAM], args);
    let top = parsed.map_err(|exit| match exit.status {
        Ok(()) => Exit { text: exit.output.trim_end().into(), code: exit_codes::DONE },
        Err(()) => usage_error(exit.output.trim_end()),
    })?;
    check(&top.command)?;
    Ok(top.command)
}

/// The text that `heatherwalk version` prints: the version of the program and the feature level of
/// the documents that it understands.
pub fn version() -> CompactString {
    let level = world::document::LEVEL;
    let version = env!("CARGO_PKG_VERSION");
    compact_str::format_compact!("{PROGRAM} {version} (feature level {level})")
}

/// Checks that an operators' command names a control; argh cannot require a repeated option.
fn check(command: &Command) -> Result<()> {
    let Some(options) = command.common_options() else { return Ok(()) };
    if options.control.is_empty() {
        return Err(usage_error("Required options not provided:\n    --control"));
    }
    Ok(())
}

fn usage_error(message: &str) -> Exit {
    let text = compact_str::format_compact!(
        "{message}\n\nRun {PROGRAM} --help, or {PROGRAM} COMMAND --help, for the usage."
    );
    Exit { text, code: exit_codes::USAGE }
}
