//! Compares load-balancing policies on simulated targets in virtual time, and measures the time
//! that one choice takes.
//!
//! The simulation has slots, queues, link latencies and slowed targets, and nothing else of a mesh:
//! it leaves out claims, admission control, hedging, crashes and changes of the configuration. Each
//! policy meets the same arrivals and service times.

mod model;
mod shapes;

use std::time;

use rand::{SeedableRng as _, rngs};
use routing::{balancer, estimates, policy, toggles};
use world::{requests, targets, time::Time};

/// Choices timed for each row of the cost table.
const TIMED_CHOICES: u32 = 200_000;

/// Compare load-balancing policies while some targets are slowed.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "routing")]
pub struct Args {
    /// seeds, separated by commas (default 1,2,3)
    #[argh(option, default = "String::from(\"1,2,3\")")]
    seeds: String,
    /// mean share of all slots that the load keeps busy, in percent (default 70)
    #[argh(option, default = "70")]
    load: u32,
    /// length of a run in virtual seconds (default 60)
    #[argh(option, default = "60")]
    seconds: u64,
    /// age of the load reports that nodes see, in milliseconds (default 1000)
    #[argh(option, default = "1_000")]
    lag_ms: u64,
    /// disable the ejection of slow targets
    #[argh(switch)]
    no_ejection: bool,
    /// skip the measurement of the time that one choice takes
    #[argh(switch)]
    no_cost: bool,
}

#[expect(clippy::print_stdout, reason = "the tables are the bench's output")]
pub fn run(args: &Args) -> eyre::Result<()> {
    let seeds: Vec<u64> =
        args.seeds.split(',').map(|it| it.trim().parse()).collect::<Result<_, _>>()?;
    println!(
        "| shape | seed | policy | p50 ms | p99 ms | p99.9 ms | in time | sends | ejections |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for shape in &shapes::ALL {
        for &seed in &seeds {
            for policy in policy::ALL {
                let run = model::Run {
                    shape,
                    policy,
                    seed,
                    load: args.load,
                    seconds: args.seconds,
                    lag: time::Duration::from_millis(args.lag_ms),
                    ejection: !args.no_ejection,
                };
                let result = run.measure()?;
                println!("| {} | {seed} | {} | {result} |", shape.name, policy.name);
            }
        }
    }
    if !args.no_cost {
        println!();
        println!("| targets | policy | ns per choice |");
        println!("| --- | --- | --- |");
        for count in [11, 50] {
            for policy in policy::ALL {
                println!("| {count} | {} | {} |", policy.name, choice_cost(count, *policy));
            }
        }
    }
    Ok(())
}

/// Mean wall-clock nanoseconds to choose among `count` targets and to record the send and the
/// answer.
fn choice_cost(count: usize, policy: policy::Policy) -> u128 {
    let mut keys = slotmap::SlotMap::<targets::TargetKey, ()>::with_key();
    let candidates: Vec<balancer::Candidate> = (0..count)
        .map(|index| balancer::Candidate {
            key: keys.insert(()),
            state: targets::State::Serving,
            since: Time::ZERO,
            slots: 12,
            link: time::Duration::from_micros(100 + 300 * (index as u64 % 7)),
            in_subset: true,
            linked: true,
        })
        .collect();
    let mut router = balancer::Balancer::new(policy, toggles::Toggles::default());
    let mut rng = rngs::SmallRng::seed_from_u64(1);
    let start = time::Instant::now();
    for step in 0..TIMED_CHOICES {
        let now = Time::from_micros(u64::from(step) * 100);
        let request = balancer::Request {
            candidates: &candidates,
            excluded: &[],
            class: requests::Class::Caller,
            idempotent: true,
            deadline: now + time::Duration::from_secs(1),
            objective: time::Duration::from_secs(1),
            penalty_share: 1.0,
        };
        let Ok(choice) = router.choose(now, &request, &mut rng) else {
            continue;
        };
        let trial = choice.reason.kind == balancer::Kind::Trial;
        router.estimates.record_send(choice.target, trial);
        let sample = estimates::Sample {
            elapsed: time::Duration::from_micros(9_000 + u64::from(step % 100) * 20),
            link: time::Duration::from_micros(100),
            load: Some(estimates::Load {
                busy: step % 12,
                queued: 0,
                ..estimates::Load::default()
            }),
            trial,
        };
        let peers = candidates.iter().map(|it| it.key);
        router.estimates.record_answer(now, choice.target, &sample, peers);
    }
    start.elapsed().as_nanos() / u128::from(TIMED_CHOICES)
}
