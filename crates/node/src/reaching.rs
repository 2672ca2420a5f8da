//! Probes hosts that have stopped responding over their open links, and opens lost links again.

use std::{net, sync, time};

use compact_str::CompactString;
use membership::{directory, messages};
use protocol::streams;
use routing::silence;
use world::targets;

use crate::state;

/// Pause before the next look for due probes when the workers' queue is full.
const QUEUE_FULL_PAUSE: time::Duration = time::Duration::from_millis(300);
/// Most links whose round trips the median is taken of.
const MAX_COMPARED_LINKS: usize = 32;

/// Marks a target's host as unresponsive, and schedules probes of it and of other hosts in its data
/// centre to which links are open. A host without a link is no sign of the data centre, and a
/// handshake with it would cost 50 times as much as a probe.
pub(crate) fn report_unresponsive(state: &state::State, key: targets::TargetKey) {
    let now = state.now();
    let directory = state.directory.lock();
    let Some(target) = directory.get(key) else { return };
    let neighbours = neighbours(state, &directory, key);
    let linked: Vec<_> = neighbours
        .filter(|it| state.links.established(&it.1.host, it.1.addr).is_some())
        .map(|it| it.0)
        .collect();
    let mut routing = state.routing.lock();
    let changed = routing.prober.mark_unresponsive(now, key, linked.into_iter());
    routing.balancer.estimates.mark_unresponsive(now, key);
    if changed {
        log_change(&target.entry.host, "silent", "nothing received after a request was sent");
    }
    state.probe_wakeup.notify_one();
}

/// Sets aside a target to whose host no link could be opened, until a background attempt succeeds.
/// This says nothing of the other hosts: the attempt of a request ends long before that of the
/// handshake, also when only a queue on the way is long.
pub(crate) fn report_unconnected(state: &state::State, key: targets::TargetKey) {
    let now = state.now();
    let directory = state.directory.lock();
    let Some(target) = directory.get(key) else { return };
    let mut routing = state.routing.lock();
    let changed = routing.prober.mark_unconnected(now, key);
    routing.balancer.estimates.mark_unresponsive(now, key);
    if changed {
        log_change(&target.entry.host, "unconnected", "no link to it could be opened");
    }
    state.probe_wakeup.notify_one();
}

/// The median round trip of this node's open links to targets. A queue on the node's own link shows
/// in all of them. Zero without links.
pub(crate) fn typical_round_trip(state: &state::State) -> time::Duration {
    median_round_trip(state, &state.directory.lock())
}

fn median_round_trip(state: &state::State, directory: &directory::Directory) -> time::Duration {
    let entries = directory.targets().iter().map(|it| &it.1.entry);
    let links = entries.filter_map(|it| state.links.established(&it.host, it.addr));
    silence::median(links.take(MAX_COMPARED_LINKS).map(|it| it.round_trip()).collect())
}

/// The targets of other hosts in the data centre of a target, except that of this host.
fn neighbours<'a>(
    state: &'a state::State,
    directory: &'a directory::Directory,
    key: targets::TargetKey,
) -> impl Iterator<Item = (targets::TargetKey, &'a messages::Entry)> {
    let centre = directory.get(key).map(|it| &it.entry.data_centre);
    directory
        .targets()
        .iter()
        .filter(move |(_, it)| Some(&it.entry.data_centre) == centre)
        .filter(move |(other, it)| *other != key && it.entry.host != state.location.host)
        .map(|(key, it)| (key, &it.entry))
}

/// Sends probes when they are due. Runs until the task is aborted.
pub(crate) async fn run(state: sync::Arc<state::State>) {
    loop {
        let shared = sync::Arc::clone(&state);
        let job = move || {
            let now = shared.now();
            let prober = &mut shared.routing.lock().prober;
            (prober.take_due(now), prober.next_due())
        };
        let Ok((due, next)) = state.pool.run(job).await else {
            tokio::time::sleep(QUEUE_FULL_PAUSE).await;
            continue;
        };
        for key in due {
            tokio::spawn(probe_target(sync::Arc::clone(&state), key));
        }
        let next = async {
            match next {
                Some(at) => tokio::time::sleep_until(state.instant(at)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = next => {}
            () = state.probe_wakeup.notified() => {}
        }
    }
}

/// The result of a probe.
enum Probed {
    Answered,
    Unanswered,
    /// No link was open, and a background attempt to open one failed.
    Unconnected,
}

/// Probes a target's host and records the result. When the workers' queue is full, so that the
/// host cannot be looked up, the probe counts as unanswered: without a result, no further probe
/// would be scheduled.
async fn probe_target(state: sync::Arc<state::State>, key: targets::TargetKey) {
    let shared = sync::Arc::clone(&state);
    let (host, probed) = match state.pool.run(move || find_peer(&shared, key)).await {
        Ok(None) => return,
        Ok(Some(Peer::Linked(host, link, limit))) => (host, probe(&link, limit).await),
        Ok(Some(Peer::Unlinked(host, addr))) => {
            let opened = state.links.link(&host, addr).await;
            (host, if opened.is_ok() { Probed::Answered } else { Probed::Unconnected })
        }
        Err(_) => (CompactString::default(), Probed::Unanswered),
    };
    let shared = sync::Arc::clone(&state);
    state.pool.submit_or_run(move || {
        record_result(&shared, key, &host, &probed);
        shared.probe_wakeup.notify_one();
    });
}

/// The host of a target that is to be probed.
enum Peer {
    /// The link is open. Holds how long to wait for the answer to a probe.
    Linked(CompactString, transport::links::Link, time::Duration),
    /// A link is to be opened.
    Unlinked(CompactString, net::SocketAddr),
}

/// Finds the host of a target and the link to it. Returns none when it is not to be probed now: the
/// target was removed, or no link is open and none is to be opened.
fn find_peer(state: &state::State, key: targets::TargetKey) -> Option<Peer> {
    let now = state.now();
    let directory = state.directory.lock();
    let Some(target) = directory.get(key) else {
        state.routing.lock().prober.discard(now, key);
        state.probe_wakeup.notify_one();
        return None;
    };
    let (host, addr) = (target.entry.host.clone(), target.entry.addr);
    if let Some(link) = state.links.established(&host, addr) {
        let round_trip = link.round_trip().max(median_round_trip(state, &directory));
        return Some(Peer::Linked(host, link, silence::limit(round_trip)));
    }
    let connects = state.routing.lock().prober.start_connect(now, key);
    state.probe_wakeup.notify_one();
    connects.then_some(Peer::Unlinked(host, addr))
}

/// Probes a host. Any packet from it shows that it responds, also when the answer is still in a
/// queue.
async fn probe(link: &transport::links::Link, limit: time::Duration) -> Probed {
    let received = link.traffic().received;
    match tokio::time::timeout(limit, send_probe(link)).await {
        Ok(Ok(())) => Probed::Answered,
        Ok(Err(_)) | Err(_) if link.traffic().received > received => Probed::Answered,
        Ok(Err(_)) | Err(_) => Probed::Unanswered,
    }
}

async fn send_probe(link: &transport::links::Link) -> transport::errors::Result<()> {
    let (mut sender, mut receiver) = link.open_stream().await?;
    sender.send(&streams::Open::Probe).await?;
    sender.finish()?;
    receiver.recv::<streams::ProbeReply>().await?;
    Ok(())
}

fn record_result(state: &state::State, key: targets::TargetKey, host: &str, probed: &Probed) {
    let now = state.now();
    match probed {
        Probed::Answered => {
            state.instruments.count_probe(true);
            record_reachable(state, key, host);
        }
        Probed::Unanswered => {
            state.instruments.count_probe(false);
            let mut routing = state.routing.lock();
            if routing.prober.record_unanswered(now, key) {
                log_change(host, "silent", "a probe was not answered");
            }
            // Without a further probe, nothing would readmit the target.
            if routing.prober.is_probed(key) {
                routing.balancer.estimates.mark_unresponsive(now, key);
            }
        }
        Probed::Unconnected => state.routing.lock().prober.record_unconnected(now, key),
    }
}

/// Readmits a target whose host has answered, and probes the unresponsive hosts of its data centre
/// at once: a partition often ends for all of them.
fn record_reachable(state: &state::State, key: targets::TargetKey, host: &str) {
    let now = state.now();
    let directory = state.directory.lock();
    let neighbours: Vec<_> = neighbours(state, &directory, key).map(|it| it.0).collect();
    let mut routing = state.routing.lock();
    if routing.prober.remove(key) {
        log_change(host, "reachable", "a probe was answered or a link was opened");
        routing.prober.expedite(now, neighbours.into_iter());
    }
    routing.balancer.estimates.mark_reachable(key);
    state.probe_wakeup.notify_one();
}

fn log_change(host: &str, outcome: &str, reason: &str) {
    log::info!(target: "decision", "host_state host={host} outcome={outcome} reason=\"{reason}\"");
}
