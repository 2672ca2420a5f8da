//! Latency that the mesh adds to a call, measured with real processes on loopback.
//!
//! Requests are sent at fixed times to a backend server, directly and through one or two nodes. The
//! difference between the quantiles is the added time. Loopback adds no latency and loses no
//! packets, and all requests come from the bench's process.

use std::{net, path, sync, sync::atomic, time};

use heatherwalk::example;
use tokio::{sync::Semaphore, task};

use super::processes;

/// Design goal: the mesh adds at most this many milliseconds to 99 of 100 calls.
const P99_BOUND_MS: f64 = 1.5;
/// Requests per second.
const REQUEST_RATES: [u32; 3] = [50, 200, 1_000];
/// Limit on the requests in flight. A request beyond it waits and counts as held back.
const CONCURRENCY: usize = 256;
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Length of one round of a load, which the heading of the table calls a turn. The first round of
/// each load isn't counted, since it opens connections and fills the nodes' estimates.
const ROUND: time::Duration = time::Duration::from_secs(1);
/// Requests that one backend server runs concurrently.
const SLOTS: u32 = 256;
/// Name of the load that goes to the backend server without a node.
const DIRECT: &str = "direct";
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

/// Measure the latency that the mesh adds to a call. Starts processes on loopback.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "added-time")]
pub(crate) struct Args {
    /// length of each measurement in seconds (default 5)
    #[argh(option, default = "5")]
    seconds: u64,
    /// also measure a mesh whose processes log their decisions to a file
    #[argh(switch)]
    decisions: bool,
    /// also measure a mesh that runs this other heatherwalk binary, in alternating rounds
    #[argh(option)]
    compare: Option<path::PathBuf>,
    /// skip the requests with claims
    #[argh(switch)]
    no_claims: bool,
}

/// A stream of equal requests and their destination.
struct Load {
    name: String,
    to: net::SocketAddr,
    path: &'static str,
    /// Whether each request has a new idempotency key, for which the nodes make a claim.
    claim: bool,
    /// Index of the setup that serves it.
    setup: usize,
    client: sync::Arc<web::client::Client>,
}

struct Measured {
    /// Latencies of the successful requests in nanoseconds, the time held back included.
    times: hdrhistogram::Histogram<u64>,
    failed: u64,
    /// Requests that waited because [`CONCURRENCY`] others were in flight.
    held_back: u64,
    /// CPU time of the nodes, in seconds.
    cpu_s: f64,
}

/// One of the meshes that are compared: two nodes, each with a backend server.
struct Setup {
    /// Prefix of the names of its loads in the table.
    label: &'static str,
    mesh: processes::Mesh,
    servers: Vec<example::Server>,
}

pub(crate) fn run(args: &Args) -> eyre::Result<()> {
    let binary = processes::build_release()?;
    processes::run_until_signal(async {
        print_heading(args);
        measure_meshes(args, &binary, 1).await?;
        if !args.no_claims {
            measure_meshes(args, &binary, 3).await?;
        }
        Ok(())
    })
}

#[expect(clippy::print_stdout, reason = "the table is the bench's output")]
fn print_heading(args: &Args) {
    println!(
        "each row {} s in turns of 1 s, open loop, at most {CONCURRENCY} in flight; ms\n",
        args.seconds,
    );
    println!(
        "| controls | requests/s | load | p50 | p90 | p99 | p99.9 | added p50 | added p90 \
         | added p99 | added p99.9 | bound | result | sent | failed | held back \
         | nodes' CPU us a request |"
    );
    println!("|{}", " --- |".repeat(17));
}

async fn measure_meshes(args: &Args, binary: &path::Path, controls: usize) -> eyre::Result<()> {
    let options = processes::Options { controls, decisions: false, binary: binary.into() };
    let mut setups = vec![Setup::start("", options.clone()).await?];
    if let Some(other) = &args.compare {
        let options = processes::Options { binary: other.into(), ..options.clone() };
        setups.push(Setup::start("other binary, ", options).await?);
    }
    if args.decisions {
        let options = processes::Options { decisions: true, ..options };
        setups.push(Setup::start("decisions on, ", options).await?);
    }
    // New targets ramp up for 10 s, and their registrations have to reach the other node.
    tokio::time::sleep(time::Duration::from_secs(12)).await;
    let mut loads = vec![load(DIRECT.into(), setups[0].servers[0].local_addr(), "/here", false, 0)];
    for (index, setup) in setups.iter().enumerate() {
        let node = setup.mesh.nodes[0].callers;
        let mut add = |name, path, claim| {
            loads.push(load(format!("{}{name}", setup.label), node, path, claim, index));
        };
        if controls == 1 {
            add("own node", "/here", false);
            add("two nodes", "/there", false);
        }
        if !args.no_claims {
            add("own node, claim", "/here", true);
            add("two nodes, claim", "/there", true);
        }
    }
    for rate in REQUEST_RATES {
        let measured = measure(args, &setups, &loads, rate).await?;
        for (load, it) in loads.iter().zip(&measured) {
            let base = measured.first().filter(|_| load.name != DIRECT);
            print(controls, rate, load, it, base);
        }
    }
    for it in setups.into_iter().flat_map(|it| it.servers) {
        it.stop(time::Duration::from_secs(1)).await;
    }
    Ok(())
}

impl Setup {
    async fn start(label: &'static str, options: processes::Options) -> eyre::Result<Setup> {
        let mut mesh = processes::Mesh::start(options)?;
        mesh.patch(0, "create", &document()).await?;
        let mut servers = Vec::new();
        for service in ["here", "there"] {
            mesh.start_node()?;
            let announce = mesh.nodes.last().map(|it| it.announce);
            let announce = announce.ok_or_else(|| eyre::eyre!("no node was started"))?;
            let name = service.into();
            let settings =
                example::Settings { service: service.into(), name, announce, slots: SLOTS };
            servers.push(example::Server::spawn(settings, example::echo(service.into())).await?);
        }
        mesh.wait_converged(2).await?;
        Ok(Setup { label, mesh, servers })
    }

    /// CPU time of all nodes since their start.
    fn cpu_seconds(&self) -> eyre::Result<f64> {
        let mut sum = 0.0;
        for it in &self.mesh.nodes {
            sum += it.process.usage()?.cpu_s;
        }
        Ok(sum)
    }
}

fn load(name: String, to: net::SocketAddr, path: &'static str, claim: bool, setup: usize) -> Load {
    let client = sync::Arc::new(web::client::Client::new(web::client::Limits::default()));
    Load { name, to, path, claim, setup, client }
}

fn document() -> serde_json::Value {
    let service = serde_json::json!({"home": "vidzeme", "slots": SLOTS, "queue": 256});
    serde_json::json!({
        "services": {"here": service, "there": service},
        "routes": {
            "here": {"prefix": "/here", "service": "here"},
            "there": {"prefix": "/there", "service": "there"},
        },
    })
}

/// Measures the loads in alternating rounds, so that noise from other work on the machine affects
/// all of them alike.
async fn measure(
    args: &Args,
    setups: &[Setup],
    loads: &[Load],
    rate: u32,
) -> eyre::Result<Vec<Measured>> {
    let mut all = Vec::new();
    for load in loads {
        send_open_loop(load, rate, ROUND).await?;
        let times = hdrhistogram::Histogram::new(3)?;
        all.push(Measured { times, failed: 0, held_back: 0, cpu_s: 0.0 });
    }
    for _ in 0..args.seconds {
        for (load, measured) in loads.iter().zip(&mut all) {
            let before = setups[load.setup].cpu_seconds()?;
            let round = send_open_loop(load, rate, ROUND).await?;
            measured.cpu_s += setups[load.setup].cpu_seconds()? - before;
            measured.times.add(&round.times)?;
            measured.failed += round.failed;
            measured.held_back += round.held_back;
        }
    }
    Ok(all)
}

/// Sends requests at a fixed rate. Fails if one of them fails.
pub(super) async fn send_for(
    to: net::SocketAddr,
    path: &'static str,
    rate: u32,
    length: time::Duration,
) -> eyre::Result<()> {
    let client = sync::Arc::new(web::client::Client::new(web::client::Limits::default()));
    let load = Load { name: "requests".into(), to, path, claim: false, setup: 0, client };
    let measured = send_open_loop(&load, rate, length).await?;
    eyre::ensure!(measured.failed == 0, "{} requests failed", measured.failed);
    Ok(())
}

/// Sends requests in an open loop: at fixed times, whether or not earlier ones have been answered.
async fn send_open_loop(load: &Load, rate: u32, length: time::Duration) -> eyre::Result<Measured> {
    let client = sync::Arc::clone(&load.client);
    let permits = sync::Arc::new(Semaphore::new(CONCURRENCY));
    let failed = sync::Arc::new(atomic::AtomicU64::new(0));
    let mut tasks = task::JoinSet::new();
    let mut times = hdrhistogram::Histogram::<u64>::new(3)?;
    let mut held_back = 0;
    let start = tokio::time::Instant::now();
    let count = u32::try_from(length.as_millis())? * rate / 1_000;
    for index in 0..count {
        tokio::time::sleep_until(start + time::Duration::from_secs(1) * index / rate).await;
        let due = time::Instant::now();
        let permit = match sync::Arc::clone(&permits).try_acquire_owned() {
            Ok(it) => it,
            Err(_) => {
                held_back += 1;
                sync::Arc::clone(&permits).acquire_owned().await?
            }
        };
        let call = call(load);
        let (client, failed) = (sync::Arc::clone(&client), sync::Arc::clone(&failed));
        tasks.spawn(async move {
            let succeeded = send(&client, call).await;
            if !succeeded {
                failed.fetch_add(1, atomic::Ordering::Relaxed);
            }
            drop(permit);
            succeeded.then(|| due.elapsed())
        });
        while let Some(done) = tasks.try_join_next() {
            record(&mut times, done?)?;
        }
    }
    while let Some(done) = tasks.join_next().await {
        record(&mut times, done?)?;
    }
    Ok(Measured { times, failed: failed.load(atomic::Ordering::Relaxed), held_back, cpu_s: 0.0 })
}

fn record(
    times: &mut hdrhistogram::Histogram<u64>,
    elapsed: Option<time::Duration>,
) -> eyre::Result<()> {
    if let Some(elapsed) = elapsed {
        times.record(u64::try_from(elapsed.as_nanos())?)?;
    }
    Ok(())
}

fn call(load: &Load) -> web::client::Call {
    let mut headers = http::HeaderMap::new();
    if load.claim {
        let key = format!("\"{:032x}\"", rand::random::<u128>());
        if let Ok(value) = key.parse() {
            headers.insert("idempotency-key", value);
        }
    }
    web::client::Call {
        addr: load.to,
        method: if load.claim { http::Method::POST } else { http::Method::GET },
        path: load.path.into(),
        headers,
        body: web::body::Body::full(bytes::Bytes::new()),
        deadline: tokio::time::Instant::now() + REQUEST_TIMEOUT,
        close_delimited: false,
        reuse: web::client::Reuse::Allowed,
    }
}

async fn send(client: &web::client::Client, call: web::client::Call) -> bool {
    let Ok(answer) = client.send(call).await else { return false };
    let succeeded = answer.status == http::StatusCode::OK;
    succeeded && answer.body.collect(64 * 1024).await.is_ok()
}

#[expect(clippy::print_stdout, reason = "the table is the bench's output")]
fn print(controls: usize, rate: u32, load: &Load, measured: &Measured, base: Option<&Measured>) {
    let at = |it: &Measured, quantile| it.times.value_at_quantile(quantile) as f64 / 1e6;
    let mut row = format!("| {controls} | {rate} | {} |", load.name);
    for quantile in QUANTILES {
        row += &format!(" {:.3} |", at(measured, quantile));
    }
    match base {
        None => row += " | | | | | |",
        Some(base) => {
            let added = QUANTILES.map(|it| at(measured, it) - at(base, it));
            for it in added {
                row += &format!(" {it:.3} |");
            }
            // The design goal is for calls without a claim; those with one use the same bound.
            let result = match added[2] <= P99_BOUND_MS && measured.failed == 0 {
                // A difference from a base that itself exceeds the bound proves nothing.
                _ if at(base, 0.99) > P99_BOUND_MS => "base too noisy",
                true => "pass",
                false => "fail",
            };
            row += &format!(" {P99_BOUND_MS} | {result} |");
        }
    }
    let sent = measured.times.len() + measured.failed;
    let Measured { failed, held_back, cpu_s, .. } = measured;
    println!("{row} {sent} | {failed} | {held_back} | {:.0} |", cpu_s / sent as f64 * 1e6);
}
