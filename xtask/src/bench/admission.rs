//! Compares the admission controller with queues in order of arrival (FIFO) in virtual time: while
//! demand exceeds capacity, and when short requests wait behind long ones.
//!
//! Each policy meets the same arrivals and service times. The choice of target is round robin, and
//! failures and slow targets are left out.

mod model;

use std::time;

use rand::{Rng as _, SeedableRng as _, rngs};
use world::{requests::Class, time::Time};

const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

const POOLS: [model::Pool; 2] = [
    model::Pool { name: "Riga logbook", targets: 4, slots: 6, hop: time::Duration::from_millis(1) },
    model::Pool {
        name: "Tamar listen",
        targets: 5,
        slots: 12,
        hop: time::Duration::from_micros(1_500),
    },
];

/// Requests that may wait at a target for each of its slots, unless the queue is unbounded.
const QUEUE_PER_SLOT: u32 = 4;

/// Virtual time in which requests arrive.
const RUN_LENGTH: time::Duration = time::Duration::from_secs(30);

/// Mean of the exponentially distributed service times in the bench of peak demand.
const PEAK_SERVICE: time::Duration = time::Duration::from_millis(20);
/// Time from arrival to deadline in that bench.
const PEAK_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Demand as a multiple of capacity in each second; the pattern repeats.
const DEMAND: [f64; 6] = [0.5, 0.5, 1.5, 3.0, 3.0, 1.0];
/// Routes as share of the demand in percent, weight and class.
const ROUTES: [(u32, u32, Class); 4] = [
    (40, 5, Class::Caller),
    (24, 20, Class::Caller),
    (16, 80, Class::Caller),
    (20, 1, Class::Internal),
];
/// Share of a target's slots that internal calls get at least.
const INTERNAL_SHARE: f64 = 1.0 / 8.0;

/// Mean service time of short requests.
const SHORT_SERVICE: time::Duration = time::Duration::from_millis(5);
/// Time from arrival to deadline of short and long requests.
const SHORT_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Factor between the service times of long and short requests.
const LONG_FACTOR: u32 = 50;
/// Share of long requests, in percent.
const LONG_PERCENT: u32 = 2;
/// Mean share of the slots that the load keeps busy, long requests included.
const UTILISATION: f64 = 0.7;
/// A request that has run for 8 times the median is a straggler. A short request that waits longer
/// than that has waited for a straggler to finish.
const STRAGGLER_FACTOR: u32 = 8;

/// Design goal for the decisions on one request, "a few microseconds", in microseconds.
const BOUND_US: f64 = 5.0;

/// A row of the printed table.
struct Row {
    load: String,
    seed: u64,
    measure: &'static str,
    value: f64,
    unit: &'static str,
    bound: String,
    /// Value with the unbounded FIFO queue, and after `short` with the bounded one.
    baseline: String,
    pass: bool,
}

/// Measures the requests answered in time while demand exceeds capacity, which the table calls the
/// crest.
pub(super) fn peak_demand(seeds: &[u64]) -> eyre::Result<()> {
    let mut rows = Vec::new();
    for pool in POOLS {
        for &seed in seeds_or_default(seeds) {
            peak_demand_run(pool, seed, &mut rows);
        }
    }
    print_rows(&rows)
}

/// Measures how long short requests wait behind long ones, with long requests on a route of their
/// own and hidden among the short ones.
pub(super) fn head_of_line(seeds: &[u64]) -> eyre::Result<()> {
    let mut rows = Vec::new();
    for pool in POOLS {
        for own_route in [true, false] {
            for &seed in seeds_or_default(seeds) {
                head_of_line_run(pool, own_route, seed, &mut rows);
            }
        }
    }
    print_rows(&rows)
}

fn seeds_or_default(seeds: &[u64]) -> &[u64] {
    if seeds.is_empty() { &SEEDS } else { seeds }
}

fn peak_demand_run(pool: model::Pool, seed: u64, rows: &mut Vec<Row>) {
    let mut rng = rngs::StdRng::seed_from_u64(seed);
    let capacity = pool.targets as f64 * f64::from(pool.slots) / PEAK_SERVICE.as_secs_f64();
    let jobs = arrivals(&mut rng, |at| DEMAND[demand_step(at)] * capacity, peak_job);
    let run = |policy| model::run(pool, queue_limit(pool), policy, &jobs);
    let [controller, fifo, bounded] =
        [model::Policy::Controller, model::Policy::Fifo, model::Policy::BoundedFifo].map(run);
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
        let load = pool.name.to_owned();
        Row { load, seed, measure, value, unit, bound, baseline, pass }
    };
    let (value, base) = (weighted(&controller), weighted(&fifo).max(weighted(&bounded)));
    let both = format!("{:.0}; short {:.0}", weighted(&fifo), weighted(&bounded));
    let bound = format!(">= {base:.0}");
    rows.push(row("weighted in time at the crest", value, "1/s", bound, both, value >= base));
    let (value, least) = (internal(&controller), INTERNAL_SHARE * capacity);
    let both = format!("{:.0}; short {:.0}", internal(&fifo), internal(&bounded));
    let bound = format!(">= {least:.0}");
    rows.push(row("internal in time at the crest", value, "1/s", bound, both, value >= least));
    // The bound is for optimised builds.
    if cfg!(debug_assertions) {
        return;
    }
    let value = controller.cost.as_secs_f64() * 1e6;
    let bound = format!("<= {BOUND_US}");
    rows.push(row("gate's time per request", value, "us", bound, "-".into(), value <= BOUND_US));
}

fn peak_job(rng: &mut rngs::StdRng, arrival: Time) -> model::Job {
    let mut draw = rng.random_range(0..100);
    let mut route = 0;
    while draw >= ROUTES[route].0 {
        draw -= ROUTES[route].0;
        route += 1;
    }
    let (_, weight, class) = ROUTES[route];
    let service_time = PEAK_SERVICE.mul_f64(exponential(rng));
    model::Job { route, weight, class, arrival, deadline: arrival + PEAK_TIMEOUT, service_time }
}

/// Total weight of the requests that arrived while demand exceeded capacity and were answered in
/// time, per second of such demand.
fn in_time(
    jobs: &[model::Job],
    outcome: &model::Outcome,
    weight: impl Fn(&model::Job) -> f64,
) -> f64 {
    let is_peak = |at: Time| DEMAND[demand_step(at)] > 1.0;
    let seconds =
        (0..RUN_LENGTH.as_secs()).filter(|&it| is_peak(Time::from_millis(it * 1_000))).count();
    let sum: f64 = jobs
        .iter()
        .zip(&outcome.results)
        .filter(|(job, _)| is_peak(job.arrival))
        .filter(|(job, result)| result.answered.is_some_and(|it| it <= job.deadline))
        .map(|(job, _)| weight(job))
        .sum();
    sum / seconds as f64
}

/// Index into [`DEMAND`].
fn demand_step(at: Time) -> usize {
    usize::try_from(at.as_micros() / 1_000_000).unwrap_or(0) % DEMAND.len()
}

fn head_of_line_run(pool: model::Pool, own_route: bool, seed: u64, rows: &mut Vec<Row>) {
    let mut rng = rngs::StdRng::seed_from_u64(seed);
    let slots = pool.targets as f64 * f64::from(pool.slots);
    let mean = f64::from(100 - LONG_PERCENT + LONG_PERCENT * LONG_FACTOR) / 100.0;
    let rate = UTILISATION * slots / (SHORT_SERVICE.as_secs_f64() * mean);
    let jobs = arrivals(&mut rng, |_| rate, |rng, arrival| mixed_job(rng, arrival, own_route));
    let run = |policy| model::run(pool, queue_limit(pool), policy, &jobs);
    let runs =
        [model::Policy::Controller, model::Policy::Fifo, model::Policy::BoundedFifo].map(run);
    let [controller, fifo, bounded] = runs.each_ref().map(|it| sorted_waits(pool, &jobs, it));
    let limit = (SHORT_SERVICE * STRAGGLER_FACTOR).as_secs_f64() * 1e3;
    let kind = if own_route { "own route" } else { "hidden" };
    for (measure, percent) in [("short work's wait, p50", 50), ("short work's wait, p99", 99)] {
        let [value, fifo, bounded] =
            [&controller, &fifo, &bounded].map(|it| percentile(it, percent));
        let bound = limit.min(fifo).min(bounded);
        rows.push(Row {
            load: format!("{}, long work {kind}", pool.name),
            seed,
            measure,
            value,
            unit: "ms",
            bound: format!("<= {bound:.1}"),
            baseline: format!("{fifo:.1}; short {bounded:.1}"),
            pass: value <= bound,
        });
    }
    let not_run = |it: &[f64]| {
        let timeout = SHORT_TIMEOUT.as_secs_f64() * 1e3;
        it.iter().filter(|&&it| it >= timeout).count() as f64 / it.len() as f64 * 100.0
    };
    let [value, fifo, bounded] = [&controller, &fifo, &bounded].map(|it| not_run(it));
    rows.push(Row {
        load: format!("{}, long work {kind}", pool.name),
        seed,
        measure: "short work not run",
        value,
        unit: "%",
        bound: format!("<= {:.3}", fifo.min(bounded)),
        baseline: format!("{fifo:.3}; short {bounded:.3}"),
        pass: value <= fifo.min(bounded),
    });
    let [value, fifo, bounded] = runs.each_ref().map(|it| long_in_time(&jobs, it));
    rows.push(Row {
        load: format!("{}, long work {kind}", pool.name),
        seed,
        measure: "long work in time",
        value,
        unit: "%",
        bound: "-".into(),
        baseline: format!("{fifo:.3}; short {bounded:.3}"),
        pass: true,
    });
}

/// Share of the long requests that were answered in time, in percent. It has no bound and only
/// shows what favouring short requests costs the long ones.
fn long_in_time(jobs: &[model::Job], outcome: &model::Outcome) -> f64 {
    let long = jobs.iter().zip(&outcome.results).filter(|(job, _)| !is_short(job));
    let [mut all, mut good] = [0, 0];
    for (job, result) in long {
        all += 1;
        good += u32::from(result.answered.is_some_and(|it| it <= job.deadline));
    }
    f64::from(good) / f64::from(all) * 100.0
}

fn is_short(job: &model::Job) -> bool {
    job.service_time < SHORT_SERVICE * 2
}

fn mixed_job(rng: &mut rngs::StdRng, arrival: Time, own_route: bool) -> model::Job {
    let long = rng.random_range(0..100) < LONG_PERCENT;
    let factor = if long { LONG_FACTOR } else { 1 };
    let service_time = SHORT_SERVICE.mul_f64(rng.random_range(0.5..1.5)) * factor;
    let route = if long && own_route { 3 } else { rng.random_range(0..3) };
    let deadline = arrival + SHORT_TIMEOUT;
    model::Job { route, weight: 10, class: Class::Caller, arrival, deadline, service_time }
}

/// Sorted waiting times of the short requests in milliseconds, from arrival at the first target to
/// the start of work. A request that did not run counts with the timeout, so that a refusal doesn't
/// look fast.
fn sorted_waits(pool: model::Pool, jobs: &[model::Job], outcome: &model::Outcome) -> Vec<f64> {
    let mut waits: Vec<f64> = jobs
        .iter()
        .zip(&outcome.results)
        .filter(|(job, _)| is_short(job))
        .map(|(job, result)| {
            let wait = result.started.map(|it| it.since(job.arrival + pool.hop));
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

fn queue_limit(pool: model::Pool) -> u32 {
    pool.slots * QUEUE_PER_SLOT
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
        if now >= Time::ZERO + RUN_LENGTH {
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
fn print_rows(rows: &[Row]) -> eyre::Result<()> {
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
