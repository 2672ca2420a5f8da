//! The operators' commands: the requests that each sends to a control, and its output.
//!
//! A command is a function of its arguments, a [`Client`] made of closures, and the [`Console`]. It
//! opens no connection and reads no clock itself.

mod client;
mod errors;
pub mod inputs;
pub mod line_diff;
mod lists;
mod patches;
mod rollouts;
mod versions;
mod waiting;

use std::io;

use compact_str::CompactString;

pub use client::{Client, Failure, Reply, Request, RequestError};
pub use errors::{Error, Result};

use crate::args;

/// The streams of a command, and the name of its user.
pub struct Console<'a> {
    /// Standard input, from which `--file -` reads.
    pub input: &'a mut dyn io::Read,
    /// Standard output, for the result.
    pub out: &'a mut dyn io::Write,
    /// Standard error, for progress and request IDs.
    pub err: &'a mut dyn io::Write,
    /// The operator's name, used when no --operator is given.
    pub user: Option<CompactString>,
}

/// Runs an operators' command. `client` reaches the controls of the command's
/// [`args::CommonOptions`]. Fails with [`Error::NotAnOperatorCommand`] for any other command.
pub fn run(
    command: &args::Command,
    client: &mut Client<'_>,
    console: &mut Console<'_>,
) -> Result<()> {
    let out = &mut *console.out;
    match command {
        args::Command::Create(it) => patches::create(it, client, console),
        args::Command::Patch(it) => patches::patch(it, client, console),
        args::Command::Show(it) => versions::show(it, client, out),
        args::Command::Diff(it) => versions::diff(it, client, out),
        args::Command::History(it) => versions::history(it, client, out),
        args::Command::Nodes(it) => lists::nodes(it, client, out),
        args::Command::Targets(it) => lists::targets(it, client, out),
        args::Command::Quarantine(it) => lists::quarantine(it, client, out),
        args::Command::Status(it) => lists::status(it, client, out),
        args::Command::Wait(it) => waiting::wait(it, client, console),
        args::Command::Rollout(it) => rollouts::run(it, client, out),
        args::Command::Node(_)
        | args::Command::Control(_)
        | args::Command::Check(_)
        | args::Command::Dev(_)
        | args::Command::Explain(_)
        | args::Command::Keys(_)
        | args::Command::Version(_) => Err(Error::NotAnOperatorCommand),
    }
}
