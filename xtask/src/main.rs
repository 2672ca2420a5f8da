//! Development tasks: running the tests except the known failures, the benches and the fault soak.

mod bench;
mod known_red;
mod soak;

use std::process;

use eyre::WrapErr as _;

/// Development tasks of heatherwalk.
#[derive(argh::FromArgs)]
struct Args {
    #[argh(subcommand)]
    task: Task,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum Task {
    Bench(bench::Args),
    Soak(soak::Args),
    Test(TestArgs),
}

/// Run all tests except those listed in KNOWN-RED.txt, and print the skipped ones.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "test")]
struct TestArgs {}

fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    match args.task {
        Task::Bench(args) => bench::run(&args),
        Task::Soak(args) => soak::run(&args),
        Task::Test(TestArgs {}) => run_tests(),
    }
}

fn run_tests() -> eyre::Result<()> {
    let failures = known_red::read("KNOWN-RED.txt").wrap_err("reading KNOWN-RED.txt")?;
    let mut cargo = process::Command::new(env!("CARGO"));
    cargo.args(["test", "--workspace", "--locked", "--no-fail-fast", "--"]);
    for entry in &failures {
        #[expect(clippy::print_stdout, reason = "the list is the task's output")]
        {
            println!("known red, not run: {} ({})", entry.test, entry.issue);
        }
        cargo.args(["--skip", &entry.test]);
    }
    if !failures.is_empty() {
        // Without it, --skip would also skip each test whose name contains a listed one.
        cargo.arg("--exact");
    }
    let status = cargo.status().wrap_err("running cargo test")?;
    eyre::ensure!(status.success(), "cargo test failed: {status}");
    Ok(())
}
