//! Probes of the hosts of which nothing is heard.

use std::{net, sync, time};

use compact_str::CompactString;
use protocol::streams;
use world::targets;

use crate::state;

/// How long a probe waits for its answer: a round trip, or two with a new link, and a lost packet.
const PROBE_LIMIT: time::Duration = time::Duration::from_millis(300);

/// Notes that nothing is heard of a target's host, and has its data centre probed.
pub(crate) fn lost(state: &state::State, key: targets::TargetKey) {
    let now = state.now();
    let directory = state.directory.lock();
    let Some(target) = directory.get(key) else { return };
    let centre = &target.entry.data_centre;
    let neighbours = directory
        .targets()
        .iter()
        .filter(|(_, it)| it.entry.data_centre == *centre && it.entry.host != state.place.host);
    let neighbours: Vec<_> = neighbours.map(|it| it.0).filter(|it| *it != key).collect();
    let mut routing = state.routing.lock();
    let news = routing.reach.mark_silent(now, key, neighbours.into_iter());
    routing.router.estimates.mark_silent(now, key);
    if news {
        log_change(&target.entry.host, "silent", "nothing heard after a send");
    }
    state.lost.notify_one();
}

/// Sends the probes that are due, until the node stops.
pub(crate) async fn run(state: sync::Arc<state::State>) {
    loop {
        let shared = sync::Arc::clone(&state);
        let job = move || {
            let now = shared.now();
            let reach = &mut shared.routing.lock().reach;
            (reach.take_due(now), reach.next_due())
        };
        let Ok((due, next)) = state.pool.run(job).await else {
            tokio::time::sleep(PROBE_LIMIT).await;
            continue;
        };
        for key in due {
            tokio::spawn(check(sync::Arc::clone(&state), key));
        }
        let next = async {
            match next {
                Some(at) => tokio::time::sleep_until(state.instant(at)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = next => {}
            () = state.lost.notified() => {}
        }
    }
}

/// Probes a target's host and notes the result, also when there is too much work to probe it: a
/// probe without a result would be the last one.
async fn check(state: sync::Arc<state::State>, key: targets::TargetKey) {
    let shared = sync::Arc::clone(&state);
    let (host, heard) = match state.pool.run(move || find(&shared, key)).await {
        Ok(None) => return,
        Ok(Some((host, addr))) => {
            let probed = tokio::time::timeout(PROBE_LIMIT, probe(&state, &host, addr)).await;
            (host, matches!(probed, Ok(Ok(()))))
        }
        Err(_) => (CompactString::default(), false),
    };
    let shared = sync::Arc::clone(&state);
    state.pool.submit_or_run(move || {
        note(&shared, key, &host, heard);
        shared.lost.notify_one();
    });
}

/// Where a target's host listens; a target that is gone is no longer probed.
fn find(state: &state::State, key: targets::TargetKey) -> Option<(CompactString, net::SocketAddr)> {
    let directory = state.directory.lock();
    let Some(target) = directory.get(key) else {
        state.routing.lock().reach.remove(key);
        return None;
    };
    Some((target.entry.host.clone(), target.entry.addr))
}

async fn probe(
    state: &state::State,
    host: &CompactString,
    addr: net::SocketAddr,
) -> transport::errors::Result<()> {
    let link = state.links.link(host, addr).await?;
    let (mut sender, mut receiver) = link.open().await?;
    sender.send(&streams::Open::Probe).await?;
    sender.finish()?;
    receiver.recv::<streams::ProbeReply>().await?;
    Ok(())
}

fn note(state: &state::State, key: targets::TargetKey, host: &str, heard: bool) {
    let now = state.now();
    let mut routing = state.routing.lock();
    if heard {
        if routing.reach.remove(key) {
            log_change(host, "reachable", "a probe was answered");
        }
        routing.router.estimates.mark_reachable(key);
    } else {
        if routing.reach.record_unanswered(now, key) {
            log_change(host, "silent", "a probe was not answered");
        }
        routing.router.estimates.mark_silent(now, key);
    }
}

fn log_change(host: &str, outcome: &str, reason: &str) {
    log::info!(target: "decision", "host_state host={host} outcome={outcome} reason=\"{reason}\"");
}
