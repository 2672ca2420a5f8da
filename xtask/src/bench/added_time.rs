//! The time that the system adds to a call, with real processes on loopback.

use std::{net, path, sync, sync::atomic, time};

use heatherwalk::example;
use tokio::{sync::Semaphore, task};

use super::processes;

/// Goal of the design page: added to a call for 99 in 100.
const BOUND_MS: f64 = 1.5;
const RATES: [u32; 3] = [50, 200, 1_000];
/// Requests in flight at most. A request beyond it waits, and is counted as held back.
const CONCURRENCY: usize = 256;
const LIMIT: time::Duration = time::Duration::from_secs(2);
/// One turn of a load. A first turn is not counted: it opens connections and fills the estimates.
const TURN: time::Duration = time::Duration::from_secs(1);
const SLOTS: u32 = 256;
const DIRECT: &str = "direct";
/// The quantiles that are printed.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

/// The time that the system adds to a call. Starts processes on loopback.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "added-time")]
pub(crate) struct Args {
    /// seconds of each measurement, default 5
    #[argh(option, default = "5")]
    seconds: u64,
    /// also measure a mesh that writes the lines of decisions, to a file
    #[argh(switch)]
    decisions: bool,
    /// also measure a mesh of this other build of heatherwalk, in turns with this tree's
    #[argh(option)]
    compare: Option<path::PathBuf>,
    /// leave out the claims
    #[argh(switch)]
    no_claims: bool,
}

/// What is sent where.
struct Load {
    name: String,
    to: net::SocketAddr,
    path: &'static str,
    claim: bool,
    /// Which mesh's nodes carry it.
    site: usize,
    client: sync::Arc<web::client::Client>,
}

struct Measured {
    times: hdrhistogram::Histogram<u64>,
    failed: u64,
    held_back: u64,
    /// CPU time of the nodes, in seconds.
    cpu_s: f64,
}

/// One mesh with the backend servers of its two nodes.
struct Site {
    label: &'static str,
    mesh: processes::Mesh,
    servers: Vec<example::Server>,
}

/// Runs the bench.
pub(crate) fn run(args: &Args) -> eyre::Result<()> {
    let binary = processes::build()?;
    processes::run(async {
        heading(args);
        measure_meshes(args, &binary, 1).await?;
        if !args.no_claims {
            measure_meshes(args, &binary, 3).await?;
        }
        Ok(())
    })
}

#[expect(clippy::print_stdout, reason = "the table is the bench's output")]
fn heading(args: &Args) {
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
    let mut sites = vec![Site::start("", options.clone()).await?];
    if let Some(other) = &args.compare {
        let options = processes::Options { binary: other.into(), ..options.clone() };
        sites.push(Site::start("other binary, ", options).await?);
    }
    if args.decisions {
        let options = processes::Options { decisions: true, ..options };
        sites.push(Site::start("decisions on, ", options).await?);
    }
    // Registered targets ramp up for 10 s, and the other node has to hear of them.
    tokio::time::sleep(time::Duration::from_secs(12)).await;
    let mut loads = vec![load(DIRECT.into(), sites[0].servers[0].local_addr(), "/here", false, 0)];
    for (index, site) in sites.iter().enumerate() {
        let node = site.mesh.nodes[0].callers;
        let mut add = |name, path, claim| {
            loads.push(load(format!("{}{name}", site.label), node, path, claim, index));
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
    for rate in RATES {
        let measured = measure(args, &sites, &loads, rate).await?;
        for (load, it) in loads.iter().zip(&measured) {
            let base = measured.first().filter(|_| load.name != DIRECT);
            report(controls, rate, load, it, base);
        }
    }
    for it in sites.into_iter().flat_map(|it| it.servers) {
        it.stop(time::Duration::from_secs(1)).await;
    }
    Ok(())
}

impl Site {
    async fn start(label: &'static str, options: processes::Options) -> eyre::Result<Site> {
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
        mesh.settle(2).await?;
        Ok(Site { label, mesh, servers })
    }

    /// CPU time of the nodes so far, in seconds.
    fn cpu(&self) -> eyre::Result<f64> {
        let mut sum = 0.0;
        for it in &self.mesh.nodes {
            sum += it.process.usage()?.cpu_s;
        }
        Ok(sum)
    }
}

fn load(name: String, to: net::SocketAddr, path: &'static str, claim: bool, site: usize) -> Load {
    let client = sync::Arc::new(web::client::Client::new(web::client::Limits::default()));
    Load { name, to, path, claim, site, client }
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

/// Measures the loads in turns of one second each, so that a busy spell of the machine meets all of
/// them and not one.
async fn measure(
    args: &Args,
    sites: &[Site],
    loads: &[Load],
    rate: u32,
) -> eyre::Result<Vec<Measured>> {
    let mut all = Vec::new();
    for load in loads {
        drive(load, rate, TURN).await?;
        let times = hdrhistogram::Histogram::new(3)?;
        all.push(Measured { times, failed: 0, held_back: 0, cpu_s: 0.0 });
    }
    for _ in 0..args.seconds {
        for (load, measured) in loads.iter().zip(&mut all) {
            let before = sites[load.site].cpu()?;
            let turn = drive(load, rate, TURN).await?;
            measured.cpu_s += sites[load.site].cpu()? - before;
            measured.times.add(&turn.times)?;
            measured.failed += turn.failed;
            measured.held_back += turn.held_back;
        }
    }
    Ok(all)
}

/// Sends requests at a fixed rate and fails when one of them does.
pub(super) async fn send_for(
    to: net::SocketAddr,
    path: &'static str,
    rate: u32,
    length: time::Duration,
) -> eyre::Result<()> {
    let client = sync::Arc::new(web::client::Client::new(web::client::Limits::default()));
    let load = Load { name: "requests".into(), to, path, claim: false, site: 0, client };
    let measured = drive(&load, rate, length).await?;
    eyre::ensure!(measured.failed == 0, "{} requests failed", measured.failed);
    Ok(())
}

/// Sends at fixed times, whether earlier requests have been answered or not.
async fn drive(load: &Load, rate: u32, length: time::Duration) -> eyre::Result<Measured> {
    let client = sync::Arc::clone(&load.client);
    let permits = sync::Arc::new(Semaphore::new(CONCURRENCY));
    let failed = sync::Arc::new(atomic::AtomicU64::new(0));
    let mut tasks = task::JoinSet::new();
    let mut times = hdrhistogram::Histogram::<u64>::new(3)?;
    let mut held_back = 0;
    let begun = tokio::time::Instant::now();
    let count = u32::try_from(length.as_millis())? * rate / 1_000;
    for index in 0..count {
        tokio::time::sleep_until(begun + time::Duration::from_secs(1) * index / rate).await;
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
            let good = send(&client, call).await;
            if !good {
                failed.fetch_add(1, atomic::Ordering::Relaxed);
            }
            drop(permit);
            good.then(|| due.elapsed())
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
        deadline: tokio::time::Instant::now() + LIMIT,
        unframed: false,
        reuse: web::client::Reuse::Pooled,
    }
}

async fn send(client: &web::client::Client, call: web::client::Call) -> bool {
    let Ok(answer) = client.send(call).await else { return false };
    let good = answer.status == http::StatusCode::OK;
    good && answer.body.whole(64 * 1024).await.is_ok()
}

#[expect(clippy::print_stdout, reason = "the table is the bench's output")]
fn report(controls: usize, rate: u32, load: &Load, measured: &Measured, base: Option<&Measured>) {
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
            // The goal is for calls; a call with a claim is shown against the same bound.
            let result = match added[2] <= BOUND_MS && measured.failed == 0 {
                // A difference from a base that is itself this slow says nothing.
                _ if at(base, 0.99) > BOUND_MS => "base too noisy",
                true => "pass",
                false => "fail",
            };
            row += &format!(" {BOUND_MS} | {result} |");
        }
    }
    let sent = measured.times.len() + measured.failed;
    let Measured { failed, held_back, cpu_s, .. } = measured;
    println!("{row} {sent} | {failed} | {held_back} | {:.0} |", cpu_s / sent as f64 * 1e6);
}
