//! The list of commands, and the arguments of those that start processes or prepare files.

use std::{net, path};

use compact_str::CompactString;
use world::hosts;

use super::operators;

/// Distributes service mesh configuration and forwards the mesh's requests.
#[derive(Clone, Debug, argh::FromArgs, PartialEq)]
#[argh(
    error_code(0, "done"),
    error_code(1, "failed; the message says why"),
    error_code(2, "the command line is invalid"),
    error_code(3, "refused: conflict, invalid candidate or request ID reused"),
    error_code(4, "no current control could be reached"),
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

/// A command with its arguments.
#[derive(Clone, Debug, argh::FromArgs, PartialEq)]
#[argh(subcommand)]
pub enum Command {
    /// Runs a node beside a backend server.
    Node(Node),
    /// Runs a control.
    Control(Control),
    /// Checks a settings file.
    Check(Check),
    /// Runs an example mesh in one process.
    Dev(Dev),
    /// Creates the authority or issues a host's certificate.
    Keys(Keys),
    /// Prints the version of the program.
    Version(Version),
    /// Creates version 1 of the configuration.
    Create(operators::Create),
    /// Changes the configuration by a JSON Merge Patch.
    Patch(operators::Patch),
    /// Prints the document of a version.
    Show(operators::Show),
    /// Prints the difference between the documents of two versions.
    Diff(operators::Diff),
    /// Lists the newest versions.
    History(operators::History),
    /// Lists the nodes and the versions that they run.
    Nodes(operators::Nodes),
    /// Lists the targets and their states.
    Targets(operators::Targets),
    /// Lists the quarantined requests.
    Quarantine(operators::Quarantine),
    /// Shows the state of each control.
    Status(operators::Status),
    /// Waits until a version is in force everywhere.
    Wait(operators::Wait),
    /// Explains where a node would send a request.
    Explain(Explain),
    /// Moves a service to another software version.
    Rollout(operators::Rollout),
}

impl Command {
    /// The options that the operators' commands share; `None` for other commands.
    pub fn common_options(&self) -> Option<operators::CommonOptions> {
        match self {
            Command::Node(_)
            | Command::Control(_)
            | Command::Check(_)
            | Command::Dev(_)
            | Command::Explain(_)
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
            Command::Rollout(it) => Some(it.common_options()),
        }
    }
}

/// Explain where a running node would send a request now and why, without sending it.
#[derive(Clone, Debug, argh::FromArgs, PartialEq)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// address of the node's metrics page, as 127.0.0.1:7002
    #[argh(option)]
    pub node: net::SocketAddr,
    /// path of the request, as /logs/17
    #[argh(option)]
    pub path: CompactString,
    /// HTTP method; default GET
    #[argh(option, default = "\"GET\".into()")]
    pub method: CompactString,
    /// host that the request names; by default none
    #[argh(option, default = "CompactString::default()")]
    pub host: CompactString,
    /// name of the caller's team; by default none
    #[argh(option, default = "CompactString::default()")]
    pub team: CompactString,
    /// print JSON instead of tables
    #[argh(switch)]
    pub json: bool,
}

/// Run a node beside a backend server.
#[derive(Clone, Debug, argh::FromArgs, PartialEq)]
#[argh(subcommand, name = "node")]
pub struct Node {
    /// settings file (INI) with role = node; by default the one that HEATHERWALK_CONFIG names
    #[argh(option)]
    pub settings: Option<CompactString>,
}

/// Run a control on a host with a disk.
#[derive(Clone, Debug, argh::FromArgs, PartialEq)]
#[argh(subcommand, name = "control")]
pub struct Control {
    /// settings file (INI) with role = control; by default the one that HEATHERWALK_CONFIG names
    #[argh(option)]
    pub settings: Option<CompactString>,
}

/// Check a settings file without starting anything.
#[derive(Clone, Debug, argh::FromArgs, PartialEq)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// settings file (INI)
    #[argh(option)]
    pub settings: CompactString,
}

/// Run a control, nodes and example backend servers in one process on loopback, without files.
#[derive(Clone, Debug, argh::FromArgs, PartialEq)]
#[argh(subcommand, name = "dev")]
pub struct Dev {
    /// first of the ports to listen on; by default the system chooses free ones
    #[argh(option)]
    pub port: Option<u16>,
}

/// Create the mesh's certificate authority and issue the certificates of its hosts.
#[derive(Clone, Debug, argh::FromArgs, PartialEq)]
#[argh(subcommand, name = "keys")]
pub struct Keys {
    /// what to create
    #[argh(subcommand)]
    pub command: KeysCommand,
}

/// What `keys` creates.
#[derive(Clone, Debug, argh::FromArgs, PartialEq)]
#[argh(subcommand)]
pub enum KeysCommand {
    /// The mesh's certificate authority.
    Authority(Authority),
    /// The certificate of a host.
    Issue(Issue),
}

/// Create the mesh's certificate authority: authority.pem and authority.key.
#[derive(Clone, Debug, argh::FromArgs, PartialEq)]
#[argh(subcommand, name = "authority")]
pub struct Authority {
    /// folder for the two files; existing files are not overwritten
    #[argh(option)]
    pub out: path::PathBuf,
}

/// Issue a host's certificate: HOST.pem and HOST.key.
#[derive(Clone, Debug, argh::FromArgs, PartialEq)]
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
#[derive(Clone, Debug, argh::FromArgs, PartialEq)]
#[argh(subcommand, name = "version")]
pub struct Version {}

fn parse_role(text: &str) -> Result<hosts::Role, String> {
    match text {
        "control" => Ok(hosts::Role::Control),
        "node" => Ok(hosts::Role::Node),
        _ => Err("expected \"node\" or \"control\"".to_owned()),
    }
}

/// Parses a host name. It becomes part of a file name, so it must not lead into another folder or
/// replace the files of the authority.
fn parse_host(text: &str) -> Result<CompactString, String> {
    let allowed = |it: char| it.is_ascii_alphanumeric() || matches!(it, '-' | '_' | '.');
    let valid = (1..=64).contains(&text.len()) && text.chars().all(allowed);
    let reserved = matches!(text, "." | ".." | "authority");
    if !valid || reserved {
        let message = "expected 1 to 64 letters, digits, '-', '_' or '.', and not \"authority\"";
        return Err(message.to_owned());
    }
    Ok(text.into())
}
