//! The command line.

mod commands;
mod operators;

use compact_str::CompactString;

pub use commands::{
    Authority, Check, Command, Control, Dev, Issue, Keys, KeysCommand, Node, TopLevel, Version,
};
pub use operators::{
    CommonOptions, Create, Diff, History, Nodes, Patch, Quarantine, Show, Status, Targets, Wait,
};

use crate::exit_codes;

/// The name of the program in help and messages.
pub const PROGRAM: &str = "heatherwalk";
/// The environment variable that holds the operators' token when no file is named.
pub const TOKEN_VARIABLE: &str = "HEATHERWALK_TOKEN";

/// What to print instead of running a command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Exit {
    /// The text: help for standard output when `code` is [`exit_codes::DONE`], otherwise a message
    /// for standard error.
    pub text: CompactString,
    /// The exit code.
    pub code: u8,
}

/// A result of this module.
pub type Result<T, E = Exit> = std::result::Result<T, E>;

/// Parses the command line, without the program's name.
pub fn parse(args: &[&str]) -> Result<Command> {
    let parsed = <TopLevel as argh::FromArgs>::from_args(&[PROGRAM], args);
    let top = parsed.map_err(|exit| match exit.status {
        Ok(()) => Exit { text: exit.output.trim_end().into(), code: exit_codes::DONE },
        Err(()) => refuse(exit.output.trim_end()),
    })?;
    check(&top.command)?;
    Ok(top.command)
}

/// The text that `heatherwalk version` prints.
pub fn version() -> CompactString {
    let level = world::document::LEVEL;
    let version = env!("CARGO_PKG_VERSION");
    compact_str::format_compact!("{PROGRAM} {version} (feature level {level})")
}

/// Checks what the parser cannot.
fn check(command: &Command) -> Result<()> {
    let Some(options) = command.common_options() else { return Ok(()) };
    if options.control.is_empty() {
        return Err(refuse("Required options not provided:\n    --control"));
    }
    Ok(())
}

fn refuse(message: &str) -> Exit {
    let text = compact_str::format_compact!(
        "{message}\n\nRun {PROGRAM} --help, or {PROGRAM} COMMAND --help, for the usage."
    );
    Exit { text, code: exit_codes::USAGE }
}
