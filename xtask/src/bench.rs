//! Benches: simulations in virtual time, compared with baselines, and measurements of real
//! processes on loopback.

mod added_time;
mod admission;
mod distribution;
mod footprint;
mod links;
pub(crate) mod processes;
mod routing;

/// Run a bench and print its results.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "bench")]
pub(crate) struct Args {
    #[argh(subcommand)]
    bench: Bench,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum Bench {
    AddedTime(added_time::Args),
    Crest(PeakArgs),
    Distribution(distribution::Args),
    Footprint(footprint::Args),
    HeadOfLine(HeadOfLineArgs),
    Links(links::Args),
    Routing(routing::Args),
}

/// Compare admission policies while demand exceeds capacity.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "crest")]
struct PeakArgs {
    /// random seed; may be given several times (default 1 to 5)
    #[argh(option)]
    seed: Vec<u64>,
}

/// Measure how long short requests wait behind long ones.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "head-of-line")]
struct HeadOfLineArgs {
    /// random seed; may be given several times (default 1 to 5)
    #[argh(option)]
    seed: Vec<u64>,
}

pub(crate) fn run(args: &Args) -> eyre::Result<()> {
    match &args.bench {
        Bench::AddedTime(args) => added_time::run(args),
        Bench::Crest(PeakArgs { seed }) => admission::peak_demand(seed),
        Bench::Distribution(args) => distribution::run(args),
        Bench::Footprint(args) => footprint::run(args),
        Bench::HeadOfLine(HeadOfLineArgs { seed }) => admission::head_of_line(seed),
        Bench::Links(args) => links::run(args),
        Bench::Routing(args) => routing::run(args),
    }
}
