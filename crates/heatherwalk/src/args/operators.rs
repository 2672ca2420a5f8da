//! The arguments of the operators' commands. Each command has the options of [`CommonOptions`].

use std::{net, path};

use compact_str::CompactString;

/// The longest wait for a version, in seconds, by default. An accepted version is expected to be in
/// force everywhere within 5 s.
const DEFAULT_TIMEOUT_S: u64 = 30;
/// Versions that `history` lists by default.
const DEFAULT_HISTORY: usize = 20;

/// The options that all operators' commands share.
#[derive(Clone, Debug, PartialEq)]
pub struct CommonOptions {
    /// Operator ports of controls, in the order in which they are tried.
    pub control: Vec<net::SocketAddr>,
    /// The file with the operators' token; `None` stands for the environment variable.
    pub token_file: Option<path::PathBuf>,
    /// Whether the output is JSON instead of tables.
    pub json: bool,
}

/// Declares the struct of a command and adds the options of [`CommonOptions`], because argh cannot
/// nest one struct of options in another. A field type is matched as its tokens: argh's derive
/// recognises `Option`, `Vec` and `bool` by name, which it cannot do for a type that a macro passes
/// on as a whole.
macro_rules! operator_command {
    (
        $(#[$meta:meta])*
        pub struct $name:ident { $($(#[$option:meta])* pub $field:ident: $($part:ident)::+ $(<$inner:ident>)?,)* }
    ) => {
        #[derive(Clone, Debug, argh::FromArgs, PartialEq)]
        $(#[$meta])*
        pub struct $name {
            $($(#[$option])* pub $field: $($part)::+ $(<$inner>)?,)*
            /// operator port of a control, as 127.0.0.1:7001; repeat it to name more
            #[argh(option)]
            pub control: Vec<net::SocketAddr>,
            /// file that holds the operators' token; default: HEATHERWALK_TOKEN
            #[argh(option)]
            pub token_file: Option<path::PathBuf>,
            /// print JSON instead of tables
            #[argh(switch)]
            pub json: bool,
        }

        impl $name {
            /// The options that all operators' commands share.
            pub fn common_options(&self) -> CommonOptions {
                let token_file = self.token_file.clone();
                CommonOptions { control: self.control.clone(), token_file, json: self.json }
            }
        }
    };
}

operator_command! {
    /// Create version 1 from an empty configuration.
    #[argh(subcommand, name = "create")]
    pub struct Create {
        /// file with the document as JSON; - reads standard input
        #[argh(option)]
        pub file: path::PathBuf,
        /// identifies the patch when it is sent again; by default a random ID
        #[argh(option)]
        pub request_id: Option<CompactString>,
        /// name of the operator in the history; default: the variable USER
        #[argh(option)]
        pub operator: Option<CompactString>,
        /// wait until the version is in force everywhere
        #[argh(switch)]
        pub wait: bool,
        /// how long to wait, in seconds; default 30
        #[argh(option, default = "DEFAULT_TIMEOUT_S")]
        pub timeout_s: u64,
    }
}

operator_command! {
    /// Change the configuration with a JSON Merge Patch (RFC 7386) against a stated version.
    #[argh(subcommand, name = "patch")]
    pub struct Patch {
        /// number of the version that the patch was written against
        #[argh(option)]
        pub base: u64,
        /// file with the patch as JSON; - reads standard input
        #[argh(option)]
        pub file: path::PathBuf,
        /// identifies the patch when it is sent again; by default a random ID
        #[argh(option)]
        pub request_id: Option<CompactString>,
        /// name of the operator in the history; default: the variable USER
        #[argh(option)]
        pub operator: Option<CompactString>,
        /// wait until the version is in force everywhere
        #[argh(switch)]
        pub wait: bool,
        /// how long to wait, in seconds; default 30
        #[argh(option, default = "DEFAULT_TIMEOUT_S")]
        pub timeout_s: u64,
    }
}

operator_command! {
    /// Print a version's document as JSON.
    #[argh(subcommand, name = "show")]
    pub struct Show {
        /// number of the version; by default the current one
        #[argh(option)]
        pub version: Option<u64>,
    }
}

operator_command! {
    /// Print the difference between the documents of two versions, line by line.
    #[argh(subcommand, name = "diff")]
    pub struct Diff {
        /// number of the first version; 0 is the empty configuration
        #[argh(positional)]
        pub old: u64,
        /// number of the second version
        #[argh(positional)]
        pub new: u64,
    }
}

operator_command! {
    /// List the newest versions, oldest first: who made them and when.
    #[argh(subcommand, name = "history")]
    pub struct History {
        /// how many versions at most; default 20
        #[argh(option, default = "DEFAULT_HISTORY")]
        pub limit: usize,
    }
}

operator_command! {
    /// List the nodes and the versions that they run.
    #[argh(subcommand, name = "nodes")]
    pub struct Nodes {
        /// only nodes that do not run the current version
        #[argh(switch)]
        pub behind: bool,
    }
}

operator_command! {
    /// List the targets and their states.
    #[argh(subcommand, name = "targets")]
    pub struct Targets {}
}

operator_command! {
    /// List the requests that are refused because they crash backend servers.
    #[argh(subcommand, name = "quarantine")]
    pub struct Quarantine {}
}

operator_command! {
    /// Show the state of each control named with --control.
    #[argh(subcommand, name = "status")]
    pub struct Status {}
}

operator_command! {
    /// Wait until a version is in force everywhere; progress goes to standard error.
    #[argh(subcommand, name = "wait")]
    pub struct Wait {
        /// number of the version
        #[argh(option)]
        pub version: u64,
        /// how long to wait, in seconds; default 30
        #[argh(option, default = "DEFAULT_TIMEOUT_S")]
        pub timeout_s: u64,
    }
}

/// Move a service to targets with another software version, or show how far that is.
#[derive(Clone, Debug, argh::FromArgs, PartialEq)]
#[argh(subcommand, name = "rollout")]
pub struct Rollout {
    /// what to do
    #[argh(subcommand)]
    pub command: RolloutCommand,
}

/// What `rollout` does.
#[derive(Clone, Debug, argh::FromArgs, PartialEq)]
#[argh(subcommand)]
pub enum RolloutCommand {
    /// Orders a rollout.
    Start(RolloutStart),
    /// Shows the last rollout of a service.
    Show(RolloutShow),
}

operator_command! {
    /// Order that a service moves to targets with another software version.
    #[argh(subcommand, name = "start")]
    pub struct RolloutStart {
        /// name of the service
        #[argh(option)]
        pub service: CompactString,
        /// software version that targets of the service have announced
        #[argh(option)]
        pub target: CompactString,
        /// time within which the traffic moves, as 12s
        #[argh(option)]
        pub over: CompactString,
    }
}

operator_command! {
    /// Show the last rollout of a service.
    #[argh(subcommand, name = "show")]
    pub struct RolloutShow {
        /// name of the service
        #[argh(option)]
        pub service: CompactString,
    }
}

impl Rollout {
    /// The options that all operators' commands share.
    pub fn common_options(&self) -> CommonOptions {
        match &self.command {
            RolloutCommand::Start(it) => it.common_options(),
            RolloutCommand::Show(it) => it.common_options(),
        }
    }
}
