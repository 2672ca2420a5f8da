//! CPU time, memory and control traffic of real processes, and how they grow with sizes.

mod logs;
mod mesh;
mod stand_in;
mod states;

use std::path;

use super::processes;

/// CPU time, memory and control traffic by size. Starts up to 120 node processes on loopback.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "footprint")]
pub(crate) struct Args {
    /// seconds of each idle measurement, default 10
    #[argh(option, default = "10")]
    seconds: u64,
    /// only this part: nodes, services, targets, requests, logs or states; may be given several
    /// times
    #[argh(option)]
    only: Vec<String>,
}

/// Runs the bench.
pub(crate) fn run(args: &Args) -> eyre::Result<()> {
    let binary = processes::build()?;
    let wanted = |part: &str| args.only.is_empty() || args.only.iter().any(|it| it == part);
    processes::run(async {
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
fn say(line: &str) {
    println!("{line}");
}

/// One figure at several sizes.
struct Series {
    name: &'static str,
    unit: &'static str,
    points: Vec<(f64, f64)>,
}

/// Figures at several sizes of one thing, and their slopes.
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

    /// Prints the figures with the slope of the least-squares line.
    fn print(&self, title: &str) {
        let Some(first) = self.series.first() else { return };
        let sizes: Vec<_> = first.points.iter().map(|it| format!(" {} |", it.0)).collect();
        say(&format!("\n### By {title}\n"));
        say(&format!("| figure | unit |{} at 0 (fitted) | slope per 1 |", sizes.concat()));
        say(&format!("|{}", " --- |".repeat(sizes.len() + 4)));
        for it in &self.series {
            let values: Vec<_> = it.points.iter().map(|it| format!(" {} |", show(it.1))).collect();
            let (start, slope) = fit(&it.points);
            let Series { name, unit, .. } = it;
            say(&format!("| {name} | {unit} |{} {} | {slope:.2e} |", values.concat(), show(start)));
        }
    }
}

/// A figure with about three digits.
fn show(value: f64) -> String {
    match value.abs() {
        100.0.. => format!("{value:.0}"),
        1.0.. => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}

/// Start and slope of the least-squares line.
fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|it| it.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|it| it.1).sum::<f64>() / count;
    let above: f64 = points.iter().map(|it| (it.0 - mean_x) * (it.1 - mean_y)).sum();
    let below: f64 = points.iter().map(|it| (it.0 - mean_x).powi(2)).sum();
    let slope = if below > 0.0 { above / below } else { 0.0 };
    (mean_y - slope * mean_x, slope)
}
