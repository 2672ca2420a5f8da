//! Asks the seeds again for a process that runs: all controls that it knows may have been replaced.

use std::{collections, time};

use distribution::attach;
use protocol::operators;
use rand::Rng as _;
use tokio::sync::watch;

use super::{Seeds, introductions};

/// Pause between two checks of what a node reaches.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// How long a node reaches no control before it asks the seeds.
const NOTHING_LIMIT: time::Duration = time::Duration::from_secs(2);
/// How long a node reaches no leader, but a control, before it asks the seeds. An election takes
/// about 2 s, and a data centre can be cut off for an hour.
const NO_LEADER_LIMIT: time::Duration = time::Duration::from_secs(10);
/// How many times the pause between two rounds of questions doubles, so that the nodes of a large
/// mesh without controls don't keep those that come back busy.
const MAX_DOUBLINGS: u32 = 3;

/// Asks all seeds at once for the controls that they know. Returns each of them once; none when no
/// seed that belongs to a formed mesh answers in time.
pub async fn ask_seeds(seeds: &Seeds) -> Vec<operators::ControlRecord> {
    let client = web::client::Client::new(web::client::Limits::default());
    let mut questions = tokio::task::JoinSet::new();
    for &addr in &seeds.addrs {
        let client = client.clone();
        questions.spawn(async move { introductions::ask(&client, addr, None).await });
    }
    let mut found = collections::BTreeMap::new();
    for hosts in questions.join_all().await.into_iter().flatten().filter(|it| it.formed) {
        found.extend(hosts.controls.into_iter().map(|it| (it.name.clone(), it)));
    }
    found.into_values().collect()
}

/// Asks the seeds while the node reaches no control, or for long no leader, and adds the controls
/// that they name. `seeds` changes with the settings. Runs until it is dropped.
pub async fn follow(controls: node::running::Controls, seeds: watch::Receiver<Seeds>) {
    let mut lost: Option<time::Instant> = None;
    let mut rounds = 0;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let limit = match controls.reach().await {
            Some(attach::Reach::Leader) => {
                (lost, rounds) = (None, 0);
                continue;
            }
            Some(attach::Reach::Control) => NO_LEADER_LIMIT,
            Some(attach::Reach::Nothing) => NOTHING_LIMIT,
            None => continue,
        };
        if lost.get_or_insert_with(time::Instant::now).elapsed() < limit {
            continue;
        }
        let asked = seeds.borrow().clone();
        let found = ask_seeds(&asked).await;
        log::info!(
            target: "decision",
            "asked {} seeds for controls, since none was reached for {limit:?}; they name {}",
            asked.addrs.len(),
            found.len(),
        );
        if !found.is_empty() {
            controls.add(found).await;
        }
        tokio::time::sleep(pause(limit, rounds)).await;
        rounds = MAX_DOUBLINGS.min(rounds + 1);
    }
}

/// A random time around the limit, doubled for each round before.
fn pause(limit: time::Duration, rounds: u32) -> time::Duration {
    let limit = limit * (1 << rounds);
    rand::rng().random_range(limit / 2..=limit * 3 / 2)
}
