//! The streams between controls.

use std::{sync, time};

use compact_str::CompactString;
use protocol::streams;
use rand::Rng as _;
use tokio::sync::mpsc;

use crate::{groups, registering, state};

/// The longest wait before a broken stream is opened again.
const BACKOFF_CAP: time::Duration = time::Duration::from_millis(1_000);
const BACKOFF_BASE: time::Duration = time::Duration::from_millis(50);

/// Sends what is queued for another control, over one stream that is opened again when it breaks.
pub(crate) async fn send(
    state: sync::Arc<state::State>,
    host: CompactString,
    mut queue: mpsc::Receiver<streams::PeerMessage>,
) {
    let mut failures = 0;
    loop {
        let result = send_stream(&state, &host, &mut queue).await;
        let Err(err) = result else { return };
        log::debug!("stream to control {host} ended: {err}");
        failures = (failures + 1).min(5);
        let cap = BACKOFF_CAP.min(BACKOFF_BASE * (1 << failures));
        let wait = rand::rng().random_range(time::Duration::ZERO..cap);
        tokio::time::sleep(wait).await;
    }
}

/// Takes in what another control sends.
pub(crate) async fn receive(
    state: &sync::Arc<state::State>,
    host: &str,
    receiver: &mut transport::streams::Receiver,
) -> transport::errors::Result<()> {
    let host = CompactString::from(host);
    while let Some(message) = receiver.recv::<streams::PeerMessage>().await? {
        let job = {
            let state = sync::Arc::clone(state);
            let host = host.clone();
            move || take_in(&state, host, message)
        };
        if state.pool.submit(job).is_err() {
            log::warn!("too much work; a message of control {host} was dropped");
        }
    }
    Ok(())
}

async fn send_stream(
    state: &state::State,
    host: &str,
    queue: &mut mpsc::Receiver<streams::PeerMessage>,
) -> transport::errors::Result<()> {
    let mesh = &state.settings.mesh;
    let Some(peer) = mesh.find_host(host).and_then(|it| mesh.host(it)) else { return Ok(()) };
    let link = state.links.link(host, peer.addr).await?;
    let (mut sender, _receiver) = link.open_stream().await?;
    sender.send(&streams::Open::Peer).await?;
    // What was queued while there was no link is old; the protocols send it again. This empties a
    // bounded queue and waits for nothing.
    while queue.try_recv().is_ok() {}
    let mut counted = link.traffic().sent;
    loop {
        let message = tokio::select! {
            it = queue.recv() => it,
            err = link.closed() => return Err(err),
        };
        let Some(message) = message else { return sender.finish() };
        sender.send(&message).await?;
        let sent = link.traffic().sent;
        state.instruments.count_sent(link.role(), sent.saturating_sub(counted));
        counted = sent;
    }
}

fn take_in(state: &state::State, host: CompactString, message: streams::PeerMessage) {
    match message {
        streams::PeerMessage::Agreement(group, message) => {
            groups::receive(state, host, &group, message);
        }
        streams::PeerMessage::Digests(digests) => registering::digests(state, &host, &digests),
        streams::PeerMessage::Event(event) => registering::peer_event(state, &event),
        streams::PeerMessage::PartRequests(requests) => {
            registering::part_requests(state, &host, &requests);
        }
        streams::PeerMessage::Parts(parts) => registering::parts(state, &parts),
        streams::PeerMessage::Report(report) => {
            let now = state.now();
            state.relay.lock().reports.insert(host, (report, now));
        }
    }
}
