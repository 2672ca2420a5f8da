//! Exchanges versions of the configuration with other nodes of the data centre.

use std::sync;

use compact_str::CompactString;
use distribution::messages;
use protocol::streams;

use crate::{attaching, state};

pub(crate) async fn ask_peer(
    state: sync::Arc<state::State>,
    host: CompactString,
    version: messages::Numbered,
) {
    let answer = match fetch_version(&state, &host, version).await {
        Ok(streams::PeerVersion::Snapshot(snapshot)) => Some(snapshot),
        Ok(streams::PeerVersion::Absent) => None,
        Err(err) => {
            log::debug!("peer {host} did not send version {}: {err}", version.version);
            None
        }
    };
    let job = {
        let state = sync::Arc::clone(&state);
        move || {
            let now = state.now();
            let effects = {
                let mut table = state.configuration.lock();
                let table = &mut *table;
                table.updater.peer_answer(now, answer.as_ref(), &mut table.rng)
            };
            attaching::apply_effects(&state, effects);
        }
    };
    if state.pool.run(attaching::in_runtime(job)).await.is_err() {
        log::warn!(
            "worker queue is full; dropped the answer of peer {host}, which was asked for a version \
             of the configuration"
        );
    }
}

async fn fetch_version(
    state: &state::State,
    host: &str,
    version: messages::Numbered,
) -> transport::errors::Result<streams::PeerVersion> {
    let addr = state.directory.lock().targets().find_host(host).map(|it| it.entry.addr);
    let Some(addr) = addr else { return Ok(streams::PeerVersion::Absent) };
    let link = state.links.link(host, addr).await?;
    let (mut sender, mut receiver) = link.open_stream().await?;
    sender.send(&streams::Open::PeerVersion(version)).await?;
    sender.finish()?;
    Ok(receiver.recv().await?.unwrap_or(streams::PeerVersion::Absent))
}

/// The snapshot of the version that a peer asks for, or absent when the node does not have it.
pub(crate) fn serve_peer(
    state: &state::State,
    version: messages::Numbered,
) -> streams::PeerVersion {
    match state.configuration.lock().updater.serve_peer(version) {
        Some(snapshot) => streams::PeerVersion::Snapshot(snapshot),
        None => streams::PeerVersion::Absent,
    }
}
