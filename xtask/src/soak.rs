//! A randomized fault soak: runs the real `heatherwalk` binary as separate processes on loopback,
//! injects faults from outside and checks what callers, backend servers and operators see.

mod backends;
mod callers;
mod checks;
mod connection;
mod faults;
mod history;
mod host_set;
mod hosts;
mod ledger;
mod monitor;
mod network;
mod operators;
mod schedule;
mod settings;
mod tcp_relay;
mod teams;
mod world;

use std::{path, process, time};

use eyre::WrapErr as _;

use crate::bench::processes;

/// Run real processes on loopback under random faults and check the promises of docs/callers.md,
/// docs/backend-servers.md and docs/operators.md.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "soak")]
pub(crate) struct Args {
    /// seed of the first run; all that is random follows from it (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// number of runs, with consecutive seeds (default 1)
    #[argh(option, default = "1")]
    seeds: u64,
    /// length of the phase with faults in seconds (default 40)
    #[argh(option, default = "40")]
    seconds: u64,
    /// number of nodes, 3 to 100 (default 9)
    #[argh(option, default = "9")]
    nodes: usize,
    /// callers of each node (default 3)
    #[argh(option, default = "3")]
    callers: usize,
    /// heatherwalk binary to run (default: build the one of this repository)
    #[argh(option)]
    binary: Option<path::PathBuf>,
    /// build and run the binary in release mode
    #[argh(switch)]
    release: bool,
    /// folder for the controls' data (default: that for temporary files)
    #[argh(option, default = "std::env::temp_dir()")]
    data: path::PathBuf,
    /// print the schedule of each seed and run nothing
    #[argh(switch)]
    plan: bool,
    /// keep the logs also of runs that pass
    #[argh(switch)]
    keep: bool,
}

pub(crate) fn run(args: &Args) -> eyre::Result<()> {
    let sizes = host_set::Sizes { nodes: args.nodes };
    eyre::ensure!((3..=100).contains(&args.nodes), "--nodes must be 3 to 100");
    let length = time::Duration::from_secs(args.seconds);
    let seeds = args.seed..args.seed.saturating_add(args.seeds);
    if args.plan {
        for seed in seeds {
            print(&schedule::Schedule::generate(seed, sizes, length).to_string());
        }
        return Ok(());
    }
    let binary = match &args.binary {
        Some(it) => it.clone(),
        None if args.release => processes::build_release()?,
        None => build_debug()?,
    };
    let mut failed = Vec::new();
    processes::run_until_signal(async {
        for seed in seeds {
            let options = world::Options {
                binary: binary.clone(),
                data: args.data.clone(),
                schedule: schedule::Schedule::generate(seed, sizes, length),
                callers: args.callers,
                keep: args.keep,
            };
            let report = world::run(options).await?;
            print(&report.text);
            failed.extend((!report.passed).then_some(seed));
        }
        Ok(())
    })?;
    eyre::ensure!(failed.is_empty(), "failed seeds: {failed:?}");
    Ok(())
}

/// Builds heatherwalk in debug mode, in which the order of locks is checked.
fn build_debug() -> eyre::Result<path::PathBuf> {
    let mut cargo = process::Command::new(env!("CARGO"));
    cargo.args(["build", "--quiet", "--locked", "-p", "heatherwalk"]);
    let status = cargo.status().wrap_err("running cargo build")?;
    eyre::ensure!(status.success(), "cargo build failed: {status}");
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    Ok(root.join("target/debug/heatherwalk"))
}

#[expect(clippy::print_stdout, reason = "the report is the task's output")]
fn print(text: &str) {
    println!("{text}");
}
