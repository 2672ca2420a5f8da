//! Asks the seeds again for a process that runs: all controls that it knows may have been replaced.

use std::{collections, time};

use distribution::attach;
use protocol::operators;
use rand::Rng as _;
use tokio::sync::watch;

use super::{Seeds, introductions};

/// Pause between two checks of what the process reaches.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// How long a node reaches no control, or a control no leader, before it asks the seeds.
const NOTHING_LIMIT: time::Duration = time::Duration::from_secs(2);
/// How long a node reaches no leader, but a control, before it asks the seeds. An election takes
/// about 2 s, and a data centre can be cut off for an hour.
const NO_LEADER_LIMIT: time::Duration = time::Duration::from_secs(10);
/// How many times the pause between two rounds of questions doubles, so that the nodes of a large
/// mesh without controls don't keep those that come back busy.
const MAX_DOUBLINGS: u32 = 3;

/// Asks all seeds at once for the controls that they know. Returns each of them once; none when no
/// seed that belongs to a formed mesh answers in time.
async fn ask_seeds(seeds: &Seeds) -> Vec<operators::ControlRecord> {
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

/// Asks the seeds while a node reaches no control, or for long no leader, and adds the controls
/// that they name. `seeds` changes with the settings. Runs until it is dropped.
pub async fn follow_node(controls: node::running::Controls, seeds: watch::Receiver<Seeds>) {
    let mut schedule = Schedule::default();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let Some(reach) = controls.reach().await else { continue };
        if schedule.is_due(time::Instant::now(), reach) {
            let found = ask_current(&seeds).await;
            controls.add(found).await;
        }
    }
}

/// Asks the seeds while a control knows no leader, and adds the controls that they name: those of
/// its stored list may all be gone, and the others may have dropped this one from theirs. `seeds`
/// changes with the settings. Runs until it is dropped.
pub async fn follow_control(peers: control::running::Peers, seeds: watch::Receiver<Seeds>) {
    let mut schedule = Schedule::default();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let reach = match peers.knows_leader().await {
            Some(true) => attach::Reach::Leader,
            Some(false) => attach::Reach::Nothing,
            None => continue,
        };
        if schedule.is_due(time::Instant::now(), reach) {
            let found = ask_current(&seeds).await;
            peers.add(found).await;
        }
    }
}

async fn ask_current(seeds: &watch::Receiver<Seeds>) -> Vec<operators::ControlRecord> {
    let seeds = seeds.borrow().clone();
    let found = ask_seeds(&seeds).await;
    let names: Vec<_> = found.iter().map(|it| it.name.as_str()).collect();
    log::info!(
        target: "decision",
        "asked {} seeds for controls, since none of those known was reached; they name {names:?}",
        seeds.addrs.len(),
    );
    found
}

/// When the seeds are asked.
#[derive(Clone, Copy, Debug, Default)]
struct Schedule {
    /// Since when the process reaches no leader.
    lost: Option<time::Instant>,
    /// The next round of questions; none before the first one.
    next: Option<time::Instant>,
    rounds: u32,
}

impl Schedule {
    /// Whether the seeds are to be asked now. If so, the next round is after a random pause.
    fn is_due(&mut self, now: time::Instant, reach: attach::Reach) -> bool {
        let limit = match reach {
            attach::Reach::Leader => {
                *self = Schedule::default();
                return false;
            }
            attach::Reach::Control => NO_LEADER_LIMIT,
            attach::Reach::Nothing => NOTHING_LIMIT,
        };
        let lost = *self.lost.get_or_insert(now);
        if now.duration_since(lost) < limit || self.next.is_some_and(|it| now < it) {
            return false;
        }
        let pause = limit * (1 << self.rounds);
        self.next = Some(now + rand::rng().random_range(pause / 2..=pause * 3 / 2));
        self.rounds = MAX_DOUBLINGS.min(self.rounds + 1);
        true
    }
}
