//! Benches: measurements that decide between designs and check figures of the design page.

mod routing;

/// Run a bench.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "bench")]
pub struct Args {
    #[argh(subcommand)]
    bench: Bench,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum Bench {
    Routing(routing::Args),
}

/// Runs the bench that the arguments name.
pub fn run(args: &Args) -> eyre::Result<()> {
    match &args.bench {
        Bench::Routing(args) => routing::run(args),
    }
}
