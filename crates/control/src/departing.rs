//! Records the targets that drain or leave on this control's disk, and answers the heartbeats of nodes
//! that wait for that.

use std::{collections, path, sync, time as std_time};

use compact_str::CompactString;
use distribution::subscribers;
use membership::{departures, messages};
use protocol::streams;
use serde::{Deserialize, Serialize};
use storage::journal;
use world::{log_limits, time};

use crate::state;

/// The file in the data folder.
const JOURNAL: &str = "departures";
/// How many outdated records the file may have before it is written anew.
const MAX_OUTDATED: usize = 4_096;
/// The time after which a file that could not be written is written anew.
const REWRITE_INTERVAL: std_time::Duration = std_time::Duration::from_secs(1);
/// How often the heartbeats that wait are looked at while there are some.
const CHECK_INTERVAL: std_time::Duration = std_time::Duration::from_millis(50);
/// Most departures in one message to another control, which bounds its size.
const MAX_EVENTS: usize = 256;

/// A departure as it is on disk.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Record {
    entry: messages::Entry,
    /// The wall clock when this control heard of it, in milliseconds since the Unix epoch.
    at_ms: u64,
}

/// The journal of departures on this control's disk.
#[derive(Debug)]
pub(crate) struct Journal {
    journal: Option<journal::Journal>,
    folder: path::PathBuf,
    /// When to try again after a failure.
    retry_at: time::Time,
    /// Limits the log lines about failures.
    failures: log_limits::LogLimit,
}

/// The heartbeats that have not been answered yet, by host. A later one replaces the former.
#[derive(Debug, Default)]
pub(crate) struct Heartbeats {
    by_host:
        collections::BTreeMap<CompactString, (subscribers::SubscriberKey, messages::Heartbeat)>,
}

impl Journal {
    /// Opens the journal in the data folder. Returns the departures that it has and that may still
    /// matter. A journal that cannot be read is replaced: the other controls have the departures,
    /// too, and send them.
    pub(crate) fn open(folder: &path::Path) -> (Journal, Vec<messages::Event>) {
        let mut opened = Journal {
            journal: None,
            folder: folder.to_path_buf(),
            retry_at: time::Time::ZERO,
            failures: log_limits::LogLimit::default(),
        };
        let records = match journal::Journal::open::<Record>(folder, JOURNAL) {
            Ok((journal, records)) => {
                opened.journal = Some(journal);
                records
            }
            Err(err) => {
                log::warn!("the departures on disk are not used, and are replaced: {err}");
                Vec::new()
            }
        };
        let now_ms = state::unix_time_ms();
        let events = records.into_iter().filter_map(|it| {
            let age_ms = now_ms.saturating_sub(it.at_ms);
            let kept = std_time::Duration::from_millis(age_ms) < departures::DEPARTURE_AGE;
            kept.then_some(messages::Event { entry: it.entry, age_ms })
        });
        (opened, events.collect())
    }

    /// Writes departures to the disk. `all` are those that are kept, these included.
    fn write(
        &mut self,
        now: time::Time,
        new: &[messages::Event],
        all: &[messages::Event],
    ) -> storage::errors::Result<()> {
        let usable = self.journal.as_ref().is_some_and(journal::Journal::is_usable);
        if !usable && now < self.retry_at {
            return Err(storage::errors::Error::Unusable { path: self.folder.join(JOURNAL) });
        }
        self.retry_at = now + REWRITE_INTERVAL;
        let now_ms = state::unix_time_ms();
        let records = |events: &[messages::Event]| -> Vec<Record> {
            let record = |it: &messages::Event| {
                let at_ms = now_ms.saturating_sub(it.age_ms);
                Record { entry: it.entry.clone(), at_ms }
            };
            events.iter().map(record).collect()
        };
        let journal = match &mut self.journal {
            Some(it) => it,
            None => self.journal.insert(journal::Journal::create(&self.folder, JOURNAL)?),
        };
        if !usable || journal.len() >= all.len() + MAX_OUTDATED {
            return journal.rewrite(&records(all));
        }
        journal.append(&records(new))
    }
}

/// Writes departures, and answers heartbeats that wait, whenever there may be something to do, until
/// it is aborted.
pub(crate) async fn run(state: sync::Arc<state::State>) {
    let mut pending = false;
    loop {
        let changed = state.departures_changed.notified();
        if pending {
            // A heartbeat also waits for a time limit, which nothing announces.
            let _ = tokio::time::timeout(CHECK_INTERVAL, changed).await;
        } else {
            changed.await;
        }
        let shared = sync::Arc::clone(&state);
        let job = move || {
            let unwritten = !write(&shared);
            answer_due(&shared) || unwritten
        };
        pending = state.pool.run(job).await.unwrap_or(true);
    }
}

/// Takes the heartbeat of an attached node, which [`answer_due`] answers.
pub(crate) fn receive_heartbeat(
    state: &state::State,
    key: subscribers::SubscriberKey,
    heartbeat: &messages::Heartbeat,
) {
    let host = heartbeat.host.clone();
    state.heartbeats.lock().by_host.insert(host.clone(), (key, heartbeat.clone()));
    state.registry.lock().heartbeat(state.now(), &host);
    if answer_due(state) {
        state.departures_changed.notify_one();
    }
}

/// Answers the heartbeats whose answers are known. Returns whether others wait.
fn answer_due(state: &state::State) -> bool {
    let now = state.now();
    let mut answers = Vec::new();
    let mut heartbeats = state.heartbeats.lock();
    let registry = state.registry.lock();
    let others: Vec<_> = state.directory.lock().peers().cloned().collect();
    if !registry.is_informed(now, &others) {
        return true;
    }
    heartbeats.by_host.retain(|_, (key, heartbeat)| {
        let answer = registry.answer(now, heartbeat, &others);
        let waits = answer.is_none();
        answers.extend(answer.map(|it| (*key, it)));
        waits
    });
    drop(registry);
    let waits = !heartbeats.by_host.is_empty();
    drop(heartbeats);
    let mut distributor = state.distributor.lock();
    for (key, answer) in answers {
        distributor.send(key, streams::ControlMessage::Heartbeat(answer));
    }
    waits
}

/// Writes the departures that are not on this control's disk, and tells the controls that hold their
/// leases. Returns whether all are on disk.
fn write(state: &state::State) -> bool {
    let now = state.now();
    let (new, all) = {
        let registry = state.registry.lock();
        let departures = registry.departures();
        (departures.unwritten(now), departures.events(now))
    };
    if new.is_empty() {
        return true;
    }
    let mut journal = state.departures.lock();
    if let Err(err) = journal.write(now, &new, &all) {
        if let Some(skipped) = journal.failures.count(now) {
            log::warn!(
                "{} departures of targets are not on disk, and {skipped} attempts before failed: {err}",
                new.len(),
            );
        }
        return false;
    }
    drop(journal);
    let mut registry = state.registry.lock();
    new.iter().for_each(|it| registry.departures_mut().record_written(&it.entry));
    drop(registry);
    for event in &new {
        let entry = &event.entry;
        log::info!(
            target: "decision",
            "departure of target {} of {} is on disk, {:?}",
            entry.host,
            entry.service,
            entry.announced,
        );
        let recorded = streams::PeerMessage::DepartureRecorded {
            host: entry.host.clone(),
            digest: entry.digest(),
        };
        state.send_peer(&entry.registrar, recorded);
    }
    true
}

/// The messages with all departures that this control knows.
pub(crate) fn messages(state: &state::State) -> Vec<streams::PeerMessage> {
    let events = state.registry.lock().departures().events(state.now());
    let count = events.len().div_ceil(MAX_EVENTS).max(1);
    let chunk = |index: usize| {
        let events = events.iter().skip(index * MAX_EVENTS).take(MAX_EVENTS).cloned().collect();
        streams::PeerMessage::Departures { events, is_last: index + 1 == count }
    };
    (0..count).map(chunk).collect()
}

/// Sends another control the departures that it asked for.
pub(crate) fn send_to_peer(state: &state::State, host: &str) {
    for it in messages(state) {
        state.send_peer(host, it);
    }
}

/// Takes the departures that another control has recorded.
pub(crate) fn receive(state: &state::State, host: &str, events: &[messages::Event], is_last: bool) {
    let now = state.now();
    let mut registry = state.registry.lock();
    for event in events {
        registry.restore_departure(now, event);
    }
    if is_last {
        registry.record_informed(host);
    }
    let count = registry.departures().len();
    drop(registry);
    log::info!(
        target: "decision",
        "control {host} has sent departures, last={is_last}; {count} are known here",
    );
    state.departures_changed.notify_one();
}

/// Records that another control has a departure on its disk.
pub(crate) fn record_copy(state: &state::State, control: &str, host: &str, digest: u64) {
    state.registry.lock().departures_mut().record_copy(control, host, digest);
    state.departures_changed.notify_one();
}

/// Wakes the task that writes departures if there is one that is not on disk.
pub(crate) fn wake(state: &state::State) {
    if state.registry.lock().departures().has_unwritten() {
        state.departures_changed.notify_one();
    }
}

/// Asks the other controls for their departures after a pause of this process.
pub(crate) fn resume(state: &state::State) {
    state.send_peers(&streams::PeerMessage::DeparturesRequest);
}
