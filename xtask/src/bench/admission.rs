//! Admission against queues in order of arrival: service at the crest and head-of-line blocking.

mod model;

use std::time;

use rand::{Rng as _, SeedableRng as _, rngs};
use world::{requests::Class, time::Time};

const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

const SITES: [model::Site; 2] = [
    model::Site { name: "Riga logbook", targets: 4, slots: 6, hop: time::Duration::from_millis(1) },
    model::Site {
        name: "Tamar listen",
        targets: 5,
        slots: 12,
        hop: time::Duration::from_micros(1_500),
    },
];

/// Requests that may wait at a target, per slot.
const QUEUE_PER_SLOT: u32 = 4;

/// Length of each run.
const RUN: time::Duration = time::Duration::from_secs(30);

/// Mean service time at the crest.
const CREST_SERVICE: time::Duration = time::Duration::from_millis(20);
const CREST_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Demand as a multiple of capacity, one value a second; it repeats.
const DEMAND: [f64; 6] = [0.5, 0.5, 1.5, 3.0, 3.0, 1.0];
/// Routes as (share of the demand in percent, weight, class).
const ROUTES: [(u32, u32, Class); 4] = [
    (40, 5, Class::Caller),
    (24, 20, Class::Caller),
    (16, 80, Class::Caller),
    (20, 1, Class::Internal),
];
/// Minimum share of internal calls in the target's slots.
const INTERNAL_SHARE: f64 = 1.0 / 8.0;

/// Mean service time of short work.
const SHORT_SERVICE: time::Duration = time::Duration::from_millis(5);
const SHORT_TIMEOUT: time::Duration = time::Duration::from_secs(2);
const LONG_FACTOR: u32 = 50;
const LONG_PERCENT: u32 = 2;
/// Share of the slots that the load, long work included, keeps busy on average.
const UTILISATION: f64 = 0.7;
/// Work that has run 8 times its median counts as a straggler. Short work that waits longer than
/// that waits for a straggler to end.
const STRAGGLER_FACTOR: u32 = 8;

/// Time that a decision may take: "a few microseconds".
const COST_BOUND: f64 = 5.0;

/// One measured value.
struct Row {
    load: String,
    seed: u64,
    measure: &'static str,
    value: f64,
    unit: &'static str,
    bound: String,
    baseline: String,
    pass: bool,
}

/// Measures service at the crest.
pub(super) fn crest(seeds: &[u64]) -> eyre::Result<()> {
    let mut rows = Vec::new();
    for site in SITES {
        for &seed in or_default(seeds) {
            crest_run(site, seed, &mut rows);
        }
    }
    report(&rows)
}

/// Measures how long short work waits.
pub(super) fn head_of_line(seeds: &[u64]) -> eyre::Result<()> {
    let mut rows = Vec::new();
    for site in SITES {
        for own_route in [true, false] {
            for &seed in or_default(seeds) {
                head_of_line_run(site, own_route, seed, &mut rows);
            }
        }
    }
    report(&rows)
}

fn or_default(seeds: &[u64]) -> &[u64] {
    if seeds.is_empty() { &SEEDS } else { seeds }
}

fn crest_run(site: model::Site, seed: u64, rows: &mut Vec<Row>) {
    let mut rng = rngs::StdRng::seed_from_u64(seed);
    let capacity = site.targets as f64 * f64::from(site.slots) / CREST_SERVICE.as_secs_f64();
    let jobs = arrivals(&mut rng, |at| DEMAND[second(at)] * capacity, crest_job);
    let run = |way| model::run(site, queue(site), way, &jobs);
    let [gate, fifo, short] = [model::Way::Gate, model::Way::Fifo, model::Way::ShortFifo].map(run);
    let weighted = |it: &model::Outcome| {
        in_time(&jobs, it, |job| match job.class {
            Class::Caller => job.weight.into(),
            Class::Internal => 0.0,
        })
    };
    let internal = |it: &model::Outcome| {
        in_time(&jobs, it, |job| f64::from(u8::from(job.class == Class::Internal)))
    };
    let row = |measure, value, unit, bound: String, baseline: String, pass| {
        let load = site.name.to_owned();
        Row { load, seed, measure, value, unit, bound, baseline, pass }
    };
    let (value, base) = (weighted(&gate), weighted(&fifo).max(weighted(&short)));
    let both = format!("{:.0}; short {:.0}", weighted(&fifo), weighted(&short));
    let bound = format!(">= {base:.0}");
    rows.push(row("weighted in time at the crest", value, "1/s", bound, both, value >= base));
    let (value, least) = (internal(&gate), INTERNAL_SHARE * capacity);
    let both = format!("{:.0}; short {:.0}", internal(&fifo), internal(&short));
    let bound = format!(">= {least:.0}");
    rows.push(row("internal in time at the crest", value, "1/s", bound, both, value >= least));
    // The time of a build without optimisation says nothing about the bound.
    if cfg!(debug_assertions) {
        return;
    }
    let value = gate.cost.as_secs_f64() * 1e6;
    let bound = format!("<= {COST_BOUND}");
    rows.push(row("gate's time per request", value, "us", bound, "-".into(), value <= COST_BOUND));
}

fn crest_job(rng: &mut rngs::StdRng, arrival: Time) -> model::Job {
    let mut draw = rng.random_range(0..100);
    let mut route = 0;
    while draw >= ROUTES[route].0 {
        draw -= ROUTES[route].0;
        route += 1;
    }
    let (_, weight, class) = ROUTES[route];
    let service = CREST_SERVICE.mul_f64(exponential(rng));
    model::Job { route, weight, class, arrival, deadline: arrival + CREST_TIMEOUT, service }
}

/// The weight of what arrived while demand exceeded capacity and was answered in time, per second
/// of such demand.
fn in_time(
    jobs: &[model::Job],
    outcome: &model::Outcome,
    weight: impl Fn(&model::Job) -> f64,
) -> f64 {
    let crest = |at: Time| DEMAND[second(at)] > 1.0;
    let seconds = (0..RUN.as_secs()).filter(|&it| crest(Time::from_millis(it * 1_000))).count();
    let sum: f64 = jobs
        .iter()
        .zip(&outcome.fates)
        .filter(|(job, _)| crest(job.arrival))
        .filter(|(job, fate)| fate.answered.is_some_and(|it| it <= job.deadline))
        .map(|(job, _)| weight(job))
        .sum();
    sum / seconds as f64
}

fn second(at: Time) -> usize {
    usize::try_from(at.as_micros() / 1_000_000).unwrap_or(0) % DEMAND.len()
}

fn head_of_line_run(site: model::Site, own_route: bool, seed: u64, rows: &mut Vec<Row>) {
    let mut rng = rngs::StdRng::seed_from_u64(seed);
    let slots = site.targets as f64 * f64::from(site.slots);
    let mean = f64::from(100 - LONG_PERCENT + LONG_PERCENT * LONG_FACTOR) / 100.0;
    let rate = UTILISATION * slots / (SHORT_SERVICE.as_secs_f64() * mean);
    let jobs = arrivals(&mut rng, |_| rate, |rng, arrival| mixed_job(rng, arrival, own_route));
    let run = |way| model::run(site, queue(site), way, &jobs);
    let runs = [model::Way::Gate, model::Way::Fifo, model::Way::ShortFifo].map(run);
    let [gate, fifo, short] = runs.each_ref().map(|it| waits(site, &jobs, it));
    let limit = (SHORT_SERVICE * STRAGGLER_FACTOR).as_secs_f64() * 1e3;
    let kind = if own_route { "own route" } else { "hidden" };
    for (measure, percent) in [("short work's wait, p50", 50), ("short work's wait, p99", 99)] {
        let [value, fifo, short] = [&gate, &fifo, &short].map(|it| percentile(it, percent));
        let bound = limit.min(fifo).min(short);
        rows.push(Row {
            load: format!("{}, long work {kind}", site.name),
            seed,
            measure,
            value,
            unit: "ms",
            bound: format!("<= {bound:.1}"),
            baseline: format!("{fifo:.1}; short {short:.1}"),
            pass: value <= bound,
        });
    }
    let lost = |it: &[f64]| {
        let timeout = SHORT_TIMEOUT.as_secs_f64() * 1e3;
        it.iter().filter(|&&it| it >= timeout).count() as f64 / it.len() as f64 * 100.0
    };
    let [value, fifo, short] = [&gate, &fifo, &short].map(|it| lost(it));
    rows.push(Row {
        load: format!("{}, long work {kind}", site.name),
        seed,
        measure: "short work not run",
        value,
        unit: "%",
        bound: format!("<= {:.3}", fifo.min(short)),
        baseline: format!("{fifo:.3}; short {short:.3}"),
        pass: value <= fifo.min(short),
    });
    let [value, fifo, short] = runs.each_ref().map(|it| long_in_time(&jobs, it));
    rows.push(Row {
        load: format!("{}, long work {kind}", site.name),
        seed,
        measure: "long work in time",
        value,
        unit: "%",
        bound: "-".into(),
        baseline: format!("{fifo:.3}; short {short:.3}"),
        pass: true,
    });
}

/// The share of long work that was answered in time, in percent. It has no bound: it shows what
/// long work pays for the short.
fn long_in_time(jobs: &[model::Job], outcome: &model::Outcome) -> f64 {
    let long = jobs.iter().zip(&outcome.fates).filter(|(job, _)| !is_short(job));
    let [mut all, mut good] = [0, 0];
    for (job, fate) in long {
        all += 1;
        good += u32::from(fate.answered.is_some_and(|it| it <= job.deadline));
    }
    f64::from(good) / f64::from(all) * 100.0
}

fn is_short(job: &model::Job) -> bool {
    job.service < SHORT_SERVICE * 2
}

fn mixed_job(rng: &mut rngs::StdRng, arrival: Time, own_route: bool) -> model::Job {
    let long = rng.random_range(0..100) < LONG_PERCENT;
    let factor = if long { LONG_FACTOR } else { 1 };
    let service = SHORT_SERVICE.mul_f64(rng.random_range(0.5..1.5)) * factor;
    let route = if long && own_route { 3 } else { rng.random_range(0..3) };
    let deadline = arrival + SHORT_TIMEOUT;
    model::Job { route, weight: 10, class: Class::Caller, arrival, deadline, service }
}

/// Sorted waiting times of short work in milliseconds, from arrival to start without the first
/// hop. Work that did not run counts with the timeout, so that a refusal does not look quick.
fn waits(site: model::Site, jobs: &[model::Job], outcome: &model::Outcome) -> Vec<f64> {
    let mut waits: Vec<f64> = jobs
        .iter()
        .zip(&outcome.fates)
        .filter(|(job, _)| is_short(job))
        .map(|(job, fate)| {
            let wait = fate.started.map(|it| it.since(job.arrival + site.hop));
            wait.unwrap_or(SHORT_TIMEOUT).as_secs_f64() * 1e3
        })
        .collect();
    waits.sort_by(f64::total_cmp);
    waits
}

fn percentile(sorted: &[f64], percent: usize) -> f64 {
    sorted
        .get((sorted.len() * percent / 100).min(sorted.len().saturating_sub(1)))
        .map_or(0.0, |it| *it)
}

fn queue(site: model::Site) -> u32 {
    site.slots * QUEUE_PER_SLOT
}

fn arrivals(
    rng: &mut rngs::StdRng,
    rate: impl Fn(Time) -> f64,
    mut job: impl FnMut(&mut rngs::StdRng, Time) -> model::Job,
) -> Vec<model::Job> {
    let mut jobs = Vec::new();
    let mut now = Time::ZERO;
    loop {
        now = now + time::Duration::from_secs_f64(exponential(rng) / rate(now));
        if now >= Time::ZERO + RUN {
            return jobs;
        }
        jobs.push(job(rng, now));
    }
}

/// A draw from the exponential distribution with mean 1.
fn exponential(rng: &mut rngs::StdRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

#[expect(clippy::print_stdout, reason = "the table is the bench's output")]
fn report(rows: &[Row]) -> eyre::Result<()> {
    println!("| load | seed | measure | value | unit | bound | baseline | result |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for it in rows {
        let Row { load, seed, measure, value, unit, bound, baseline, pass } = it;
        let result = if *pass { "pass" } else { "FAIL" };
        println!(
            "| {load} | {seed} | {measure} | {value:.3} | {unit} | {bound} | {baseline} | {result} |"
        );
    }
    let failed = rows.iter().filter(|it| !it.pass).count();
    println!("\n{} rows, {failed} failed", rows.len());
    eyre::ensure!(failed == 0, "{failed} of {} rows failed", rows.len());
    Ok(())
}
