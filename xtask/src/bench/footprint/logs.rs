//! Cost of the replicated logs: claims and changes at the leader, and the time until a new leader
//! accepts a change.
//!
//! The claims have new keys and answers of 64 B; repeated and conflicting claims are left out.

use std::{fs, path, sync, time};

use protocol::proposals;
use replicated::claims;
use tokio::{task, time as timers};
use world::requests;

use super::{mesh, print, stand_in};
use crate::bench::processes;

const REGION: &str = "vidzeme";
/// Concurrent proposals. A single one waits for its own disk sync; many share one.
const CONCURRENCY: [u32; 3] = [1, 16, 64];
/// Length of the measurement at each concurrency.
const CLAIM_DURATION: time::Duration = time::Duration::from_secs(4);
/// Changes, and claims one after the other, over which the log bytes are averaged.
const CHANGES: u32 = 50;
/// Times that the leader is killed; a majority of 3 controls survives one.
const ELECTIONS: usize = 1;

pub(super) async fn measure(options: &processes::Options) -> eyre::Result<()> {
    let mut testbed = mesh::Testbed::start(options, 0).await?;
    let count = options.controls;
    print(&format!("\n### Logs, {count} controls\n"));
    measure_changes(&mut testbed).await?;
    measure_claims(&testbed).await?;
    if count > 1 {
        for _ in 0..ELECTIONS {
            measure_election(&mut testbed).await?;
        }
    }
    Ok(())
}

async fn measure_changes(testbed: &mut mesh::Testbed) -> eyre::Result<()> {
    let before = log_bytes(&testbed.mesh.controls[0].data)?;
    let start = time::Instant::now();
    for index in 0..CHANGES {
        let patch = serde_json::json!({"services": {"here": {"slots": 10 + index}}});
        testbed.patch(&patch).await?;
    }
    let elapsed = start.elapsed().as_secs_f64() / f64::from(CHANGES) * 1e3;
    let bytes = (log_bytes(&testbed.mesh.controls[0].data)? - before) / f64::from(CHANGES);
    print(&format!("* a change, one after the other: {elapsed:.2} ms, {bytes:.0} B of log"));
    Ok(())
}

async fn measure_claims(testbed: &mesh::Testbed) -> eyre::Result<()> {
    let leader = leader(testbed).await?;
    let control = &testbed.mesh.controls[leader];
    let name = compact_str::format_compact!("claimer-{}", control.name);
    let (_endpoint, link) = stand_in::connect(&testbed.mesh, leader, &name).await?;
    // The claims log elects its own leader, for which the first claim waits.
    claim_once(&link).await?;
    let log = log_bytes(&control.data)?;
    for _ in 0..CHANGES {
        claim_once(&link).await?;
    }
    let bytes = (log_bytes(&control.data)? - log) / f64::from(CHANGES);
    print(&format!("* claim and completion: {bytes:.0} B of log at the leader"));
    for concurrency in CONCURRENCY {
        let before: Vec<_> = control_cpu(testbed)?;
        let completed = sync::Arc::new(sync::atomic::AtomicU64::new(0));
        let until = timers::Instant::now() + CLAIM_DURATION;
        let mut tasks = task::JoinSet::new();
        for _ in 0..concurrency {
            let (link, completed) = (link.clone(), sync::Arc::clone(&completed));
            tasks.spawn(async move {
                while timers::Instant::now() < until {
                    claim_once(&link).await?;
                    completed.fetch_add(1, sync::atomic::Ordering::Relaxed);
                }
                eyre::Ok(())
            });
        }
        while let Some(it) = tasks.join_next().await {
            it??;
        }
        let count = completed.load(sync::atomic::Ordering::Relaxed) as f64;
        let after = control_cpu(testbed)?;
        let cpu_us = |index: usize| (after[index] - before[index]) / count * 1e6;
        let others: Vec<_> = (0..after.len()).filter(|it| *it != leader).map(cpu_us).collect();
        print(&format!(
            "* claim and completion, {concurrency} at once: {:.0}/s, {:.2} ms each, {:.0} us CPU \
             of the configuration's leader {}, {others:.0?} us of the others",
            count / CLAIM_DURATION.as_secs_f64(),
            CLAIM_DURATION.as_secs_f64() / count * f64::from(concurrency) * 1e3,
            cpu_us(leader),
            control.name,
        ));
    }
    Ok(())
}

/// Claims a new key and completes it, which appends two entries to the log.
async fn claim_once(link: &transport::links::Link) -> eyre::Result<()> {
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
        let request = proposals::Proposal::Claim(proposals::ClaimRequest {
            home: REGION.into(),
            name: claims::ClaimName { service: "here".into(), key: key.clone() },
            attempt,
            action,
        });
        let outcome = stand_in::propose(link, request).await?;
        let accepted = matches!(
            outcome,
            Some(proposals::Outcome::Answered(proposals::Answer::Claim(
                claims::Answer::Granted | claims::Answer::Stored
            )))
        );
        eyre::ensure!(accepted, "claim: {outcome:?}");
    }
    Ok(())
}

/// Kills the leader's process and waits until another control accepts a change.
async fn measure_election(testbed: &mut mesh::Testbed) -> eyre::Result<()> {
    let leader = leader(testbed).await?;
    let killed = testbed.mesh.controls.remove(leader);
    let name = killed.name.clone();
    drop(killed);
    let start = time::Instant::now();
    testbed.patch(&serde_json::json!({"services": {"here": {"slots": 9}}})).await?;
    let elapsed = start.elapsed().as_secs_f64();
    print(&format!("* leader {name} killed: the next change was accepted after {elapsed:.2} s"));
    Ok(())
}

async fn leader(testbed: &mesh::Testbed) -> eyre::Result<usize> {
    let path = protocol::operators::STATUS_PATH;
    let reply = testbed.mesh.call(http::Method::GET, path, None).await?;
    let name = reply.body["leader"].as_str().unwrap_or_default();
    let index = testbed.mesh.controls.iter().position(|it| it.name == name);
    index.ok_or_else(|| eyre::eyre!("no leader: {}", reply.body))
}

/// CPU time of each control so far, in seconds.
fn control_cpu(testbed: &mesh::Testbed) -> eyre::Result<Vec<f64>> {
    testbed.mesh.controls.iter().map(|it| Ok(it.process.usage()?.cpu_s)).collect()
}

/// Total size of the files below a data folder. A snapshot truncates the log, so a difference over
/// more than 4,096 entries is too low.
fn log_bytes(folder: &path::Path) -> eyre::Result<f64> {
    let mut bytes = 0.0;
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        let metadata = entry.metadata()?;
        bytes += if metadata.is_dir() { log_bytes(&entry.path())? } else { metadata.len() as f64 };
    }
    Ok(bytes)
}
