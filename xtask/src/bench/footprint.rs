//! CPU time, memory and control traffic of real processes on loopback, and their growth with the
//! number of nodes, services and targets.
//!
//! Most parts vary one size, measure the idle mesh and then a series of changes or events at each
//! size, and fit a line through the figures. Loopback adds no latency and loses no packets, and
//! all processes share one machine.

mod logs;
mod mesh;
mod stand_in;
mod states;

use std::path;

use super::processes;

/// Measure CPU time, memory and control traffic at several sizes of the mesh. Starts up to 120 node
/// processes on loopback.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "footprint")]
pub(crate) struct Args {
    /// length of each idle measurement in seconds (default 10)
    #[argh(option, default = "10")]
    seconds: u64,
    /// run only this part: nodes, services, targets, requests, logs or states; may be given
    /// several times (default all)
    #[argh(option)]
    only: Vec<String>,
}

pub(crate) fn run(args: &Args) -> eyre::Result<()> {
    let binary = processes::build_release()?;
    let wanted = |part: &str| args.only.is_empty() || args.only.iter().any(|it| it == part);
    processes::run_until_signal(async {
        if wanted("states") {
            states::measure()?;
        }
        if wanted("logs") {
            logs::measure(&options(&binary, 1)).await?;
            logs::measure(&options(&binary, 3)).await?;
        }
        if wanted("nodes") {
            mesh::measure_nodes(args.seconds, &options(&binary, 1)).await?;
        }
        if wanted("services") {
            mesh::measure_services(args.seconds, &options(&binary, 1)).await?;
        }
        if wanted("targets") {
            mesh::measure_targets(args.seconds, &options(&binary, 1)).await?;
        }
        if wanted("requests") {
            mesh::measure_requests(args.seconds, &options(&binary, 1)).await?;
        }
        Ok(())
    })
}

fn options(binary: &path::Path, controls: usize) -> processes::Options {
    processes::Options { controls, decisions: false, binary: binary.into() }
}

#[expect(clippy::print_stdout, reason = "the tables are the bench's output")]
fn print(line: &str) {
    println!("{line}");
}

/// Values of one figure at several sizes.
struct Series {
    name: &'static str,
    unit: &'static str,
    /// Pairs of size and value.
    points: Vec<(f64, f64)>,
}

/// Figures measured while one size varies, such as the number of nodes.
#[derive(Default)]
struct Table {
    series: Vec<Series>,
}

impl Table {
    fn add(&mut self, name: &'static str, unit: &'static str, size: u32, value: f64) {
        let point = (f64::from(size), value);
        match self.series.iter_mut().find(|it| it.name == name) {
            Some(series) => series.points.push(point),
            None => self.series.push(Series { name, unit, points: vec![point] }),
        }
    }

    /// Prints the figures, each with the least-squares line through its points.
    fn print(&self, title: &str) {
        let Some(first) = self.series.first() else { return };
        let sizes: Vec<_> = first.points.iter().map(|it| format!(" {} |", it.0)).collect();
        print(&format!("\n### By {title}\n"));
        print(&format!("| figure | unit |{} at 0 (fitted) | slope per 1 |", sizes.concat()));
        print(&format!("|{}", " --- |".repeat(sizes.len() + 4)));
        for it in &self.series {
            let row: Vec<_> = it.points.iter().map(|it| format!(" {} |", round(it.1))).collect();
            let (start, slope) = least_squares(&it.points);
            let Series { name, unit, .. } = it;
            print(&format!("| {name} | {unit} |{} {} | {slope:.2e} |", row.concat(), round(start)));
        }
    }
}

/// Formats a value with about three significant digits.
fn round(value: f64) -> String {
    match value.abs() {
        100.0.. => format!("{value:.0}"),
        1.0.. => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}

/// Value at size 0 and slope of the least-squares line through the points.
fn least_squares(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|it| it.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|it| it.1).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|it| (it.0 - mean_x) * (it.1 - mean_y)).sum();
    let variance: f64 = points.iter().map(|it| (it.0 - mean_x).powi(2)).sum();
    let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
    (mean_y - slope * mean_x, slope)
}
