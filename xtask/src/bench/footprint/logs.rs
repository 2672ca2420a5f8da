//! The replicated logs: cost of claims and changes at the leader, and the time without a leader.

use std::{fs, path, sync, time};

use protocol::proposals;
use replicated::claims;
use tokio::{task, time as timers};
use world::requests;

use super::{mesh, say, stand_in};
use crate::bench::processes;

const REGION: &str = "vidzeme";
/// Proposals under way at once. With one, each pays for its own sync; with many, they share it.
const CONCURRENCY: [u32; 3] = [1, 16, 64];
const LENGTH: time::Duration = time::Duration::from_secs(4);
const CHANGES: u32 = 50;
const ELECTIONS: usize = 1;

pub(super) async fn measure(options: &processes::Options) -> eyre::Result<()> {
    let mut field = mesh::Field::start(options, 0).await?;
    let count = options.controls;
    say(&format!("\n### Logs, {count} controls\n"));
    measure_changes(&mut field).await?;
    measure_claims(&field).await?;
    if count > 1 {
        for _ in 0..ELECTIONS {
            measure_election(&mut field).await?;
        }
    }
    Ok(())
}

async fn measure_changes(field: &mut mesh::Field) -> eyre::Result<()> {
    let before = log_bytes(&field.mesh.controls[0].data)?;
    let begun = time::Instant::now();
    for index in 0..CHANGES {
        let patch = serde_json::json!({"services": {"here": {"slots": 10 + index}}});
        field.change(&patch).await?;
    }
    let elapsed = begun.elapsed().as_secs_f64() / f64::from(CHANGES) * 1e3;
    let bytes = (log_bytes(&field.mesh.controls[0].data)? - before) / f64::from(CHANGES);
    say(&format!("* a change, one after the other: {elapsed:.2} ms, {bytes:.0} B of log"));
    Ok(())
}

async fn measure_claims(field: &mesh::Field) -> eyre::Result<()> {
    let leader = leader(field).await?;
    let control = &field.mesh.controls[leader];
    let name = compact_str::format_compact!("claimer-{}", control.name);
    let (_endpoint, link) = stand_in::connect(&field.mesh, leader, &name).await?;
    // The claims log elects for itself; the first claim waits for its leader.
    claim(&link).await?;
    let log = log_bytes(&control.data)?;
    for _ in 0..CHANGES {
        claim(&link).await?;
    }
    let bytes = (log_bytes(&control.data)? - log) / f64::from(CHANGES);
    say(&format!("* claim and completion: {bytes:.0} B of log at the leader"));
    for concurrency in CONCURRENCY {
        let before: Vec<_> = usages(field)?;
        let done = sync::Arc::new(sync::atomic::AtomicU64::new(0));
        let until = timers::Instant::now() + LENGTH;
        let mut tasks = task::JoinSet::new();
        for _ in 0..concurrency {
            let (link, done) = (link.clone(), sync::Arc::clone(&done));
            tasks.spawn(async move {
                while timers::Instant::now() < until {
                    claim(&link).await?;
                    done.fetch_add(1, sync::atomic::Ordering::Relaxed);
                }
                eyre::Ok(())
            });
        }
        while let Some(it) = tasks.join_next().await {
            it??;
        }
        let count = done.load(sync::atomic::Ordering::Relaxed) as f64;
        let after = usages(field)?;
        let spent = |index: usize| (after[index] - before[index]) / count * 1e6;
        let others: Vec<_> = (0..after.len()).filter(|it| *it != leader).map(spent).collect();
        say(&format!(
            "* claim and completion, {concurrency} at once: {:.0}/s, {:.2} ms each, {:.0} us CPU \
             of the configuration's leader {}, {others:.0?} us of the others",
            count / LENGTH.as_secs_f64(),
            LENGTH.as_secs_f64() / count * f64::from(concurrency) * 1e3,
            spent(leader),
            control.name,
        ));
    }
    Ok(())
}

/// Claims a new key and completes it, with two entries in the log.
async fn claim(link: &transport::links::Link) -> eyre::Result<()> {
    let key = compact_str::format_compact!("{:032x}", rand::random::<u128>());
    let attempt = claims::AttemptId(rand::random());
    let fingerprint = requests::Fingerprint::of("here", "POST", "/here", key.as_bytes());
    let stored = claims::StoredAnswer {
        status: 201,
        headers: vec![("content-type".into(), "application/json".into())],
        body: vec![0; 64].into(),
        cut: false,
    };
    let actions =
        [claims::Action::Claim { fingerprint, limit_ms: 10_000 }, claims::Action::Complete(stored)];
    for action in actions {
        let request = proposals::Request::Claim(proposals::ClaimRequest {
            home: REGION.into(),
            name: claims::ClaimName { service: "here".into(), key: key.clone() },
            attempt,
            action,
        });
        let outcome = stand_in::propose(link, request).await?;
        let good = matches!(
            outcome,
            Some(proposals::Outcome::Answered(proposals::Answer::Claim(
                claims::Answer::Granted | claims::Answer::Stored
            )))
        );
        eyre::ensure!(good, "claim: {outcome:?}");
    }
    Ok(())
}

/// Ends the leader's process and waits until another control accepts a change.
async fn measure_election(field: &mut mesh::Field) -> eyre::Result<()> {
    let leader = leader(field).await?;
    let ended = field.mesh.controls.remove(leader);
    let name = ended.name.clone();
    drop(ended);
    let begun = time::Instant::now();
    field.change(&serde_json::json!({"services": {"here": {"slots": 9}}})).await?;
    let elapsed = begun.elapsed().as_secs_f64();
    say(&format!("* leader {name} killed: the next change was accepted after {elapsed:.2} s"));
    Ok(())
}

async fn leader(field: &mesh::Field) -> eyre::Result<usize> {
    let path = protocol::operators::STATUS_PATH;
    let reply = field.mesh.call(http::Method::GET, path, None).await?;
    let name = reply.body["leader"].as_str().unwrap_or_default();
    let index = field.mesh.controls.iter().position(|it| it.name == name);
    index.ok_or_else(|| eyre::eyre!("no leader: {}", reply.body))
}

/// CPU seconds of each control.
fn usages(field: &mesh::Field) -> eyre::Result<Vec<f64>> {
    field.mesh.controls.iter().map(|it| Ok(it.process.usage()?.cpu_s)).collect()
}

/// Bytes of all files below a data folder. A snapshot shortens the log, so a figure taken over more
/// than 4,096 entries is too low.
fn log_bytes(folder: &path::Path) -> eyre::Result<f64> {
    let mut bytes = 0.0;
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        let metadata = entry.metadata()?;
        bytes += if metadata.is_dir() { log_bytes(&entry.path())? } else { metadata.len() as f64 };
    }
    Ok(bytes)
}
