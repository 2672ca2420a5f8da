//! The commands that start processes and prepare files.

use std::path;

use compact_str::CompactString;
use world::hosts;

use super::operators;

/// Distributes service mesh configuration and carries the mesh's calls.
#[derive(argh::FromArgs, Clone, Debug, PartialEq)]
#[argh(
    error_code(0, "done"),
    error_code(1, "failed; the message says why"),
    error_code(2, "wrong usage of the command line"),
    error_code(3, "refused: conflict, invalid candidate or request ID reused"),
    error_code(4, "no control could be reached that is current"),
    error_code(5, "the wait for a version timed out"),
    note = "Operators' commands take the address of a control's operator port with --control \
            (repeat it: the next one is tried when one cannot be reached or is unavailable) and \
            the token from --token-file or the environment variable HEATHERWALK_TOKEN."
)]
pub struct TopLevel {
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// A command.
#[derive(argh::FromArgs, Clone, Debug, PartialEq)]
#[argh(subcommand)]
pub enum Command {
    /// Runs a node.
    Node(Node),
    /// Runs a control.
    Control(Control),
    /// Checks settings.
    Check(Check),
    /// Runs a whole mesh in one process.
    Dev(Dev),
    /// Makes certificates.
    Keys(Keys),
    /// Prints the version.
    Version(Version),
    /// Makes version 1.
    Create(operators::Create),
    /// Changes the configuration.
    Patch(operators::Patch),
    /// Shows a version.
    Show(operators::Show),
    /// Compares two versions.
    Diff(operators::Diff),
    /// Lists versions.
    History(operators::History),
    /// Lists nodes.
    Nodes(operators::Nodes),
    /// Lists targets.
    Targets(operators::Targets),
    /// Lists quarantined requests.
    Quarantine(operators::Quarantine),
    /// Shows the controls.
    Status(operators::Status),
    /// Waits for a version.
    Wait(operators::Wait),
}

impl Command {
    /// How to reach the controls, for an operators' command.
    pub fn common_options(&self) -> Option<operators::CommonOptions> {
        match self {
            Command::Node(_)
            | Command::Control(_)
            | Command::Check(_)
            | Command::Dev(_)
            | Command::Keys(_)
            | Command::Version(_) => None,
            Command::Create(it) => Some(it.common_options()),
            Command::Patch(it) => Some(it.common_options()),
            Command::Show(it) => Some(it.common_options()),
            Command::Diff(it) => Some(it.common_options()),
            Command::History(it) => Some(it.common_options()),
            Command::Nodes(it) => Some(it.common_options()),
            Command::Targets(it) => Some(it.common_options()),
            Command::Quarantine(it) => Some(it.common_options()),
            Command::Status(it) => Some(it.common_options()),
            Command::Wait(it) => Some(it.common_options()),
        }
    }
}

/// Run the process beside a backend server.
#[derive(argh::FromArgs, Clone, Debug, PartialEq)]
#[argh(subcommand, name = "node")]
pub struct Node {
    /// settings file (INI) with role = node; by default the one that HEATHERWALK_CONFIG names
    #[argh(option)]
    pub settings: Option<CompactString>,
}

/// Run a control on a host with a disk.
#[derive(argh::FromArgs, Clone, Debug, PartialEq)]
#[argh(subcommand, name = "control")]
pub struct Control {
    /// settings file (INI) with role = control; by default the one that HEATHERWALK_CONFIG names
    #[argh(option)]
    pub settings: Option<CompactString>,
}

/// Check a settings file without starting anything.
#[derive(argh::FromArgs, Clone, Debug, PartialEq)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// settings file (INI)
    #[argh(option)]
    pub settings: CompactString,
}

/// Run a control, nodes and an example backend server in one process on loopback, without files.
#[derive(argh::FromArgs, Clone, Debug, PartialEq)]
#[argh(subcommand, name = "dev")]
pub struct Dev {
    /// first of the ports to listen on; by default the system chooses free ones
    #[argh(option)]
    pub port: Option<u16>,
}

/// Make the mesh's authority and the certificates of its hosts.
#[derive(argh::FromArgs, Clone, Debug, PartialEq)]
#[argh(subcommand, name = "keys")]
pub struct Keys {
    /// what to make
    #[argh(subcommand)]
    pub command: KeysCommand,
}

/// What `keys` makes.
#[derive(argh::FromArgs, Clone, Debug, PartialEq)]
#[argh(subcommand)]
pub enum KeysCommand {
    /// The authority.
    Authority(Authority),
    /// A host's certificate.
    Issue(Issue),
}

/// Make the mesh's authority: authority.pem and authority.key.
#[derive(argh::FromArgs, Clone, Debug, PartialEq)]
#[argh(subcommand, name = "authority")]
pub struct Authority {
    /// folder for the two files; existing files are not overwritten
    #[argh(option)]
    pub out: path::PathBuf,
}

/// Issue a host's certificate: HOST.pem and HOST.key.
#[derive(argh::FromArgs, Clone, Debug, PartialEq)]
#[argh(subcommand, name = "issue")]
pub struct Issue {
    /// folder of the authority's files
    #[argh(option)]
    pub authority: path::PathBuf,
    /// name of the host, as in its settings
    #[argh(option, from_str_fn(parse_host))]
    pub host: CompactString,
    /// node or control
    #[argh(option, from_str_fn(parse_role))]
    pub role: hosts::Role,
    /// folder for the two files; existing files are not overwritten
    #[argh(option)]
    pub out: path::PathBuf,
}

/// Print the version of the program.
#[derive(argh::FromArgs, Clone, Debug, PartialEq)]
#[argh(subcommand, name = "version")]
pub struct Version {}

fn parse_role(text: &str) -> Result<hosts::Role, String> {
    match text {
        "control" => Ok(hosts::Role::Control),
        "node" => Ok(hosts::Role::Node),
        _ => Err("expected \"node\" or \"control\"".to_owned()),
    }
}

/// The name becomes a file name, so it may not lead into another folder.
fn parse_host(text: &str) -> Result<CompactString, String> {
    let allowed = |it: char| it.is_ascii_alphanumeric() || matches!(it, '-' | '_' | '.');
    let good = (1..=64).contains(&text.len()) && text.chars().all(allowed);
    let reserved = matches!(text, "." | ".." | "authority");
    if !good || reserved {
        let allowed = "expected 1 to 64 letters, digits, '-', '_' or '.', and not \"authority\"";
        return Err(allowed.to_owned());
    }
    Ok(text.into())
}
