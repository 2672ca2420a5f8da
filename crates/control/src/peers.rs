//! The streams between controls: sends them this control's messages and handles theirs.

use std::{sync, time};

use compact_str::CompactString;
use protocol::streams;
use rand::Rng as _;
use tokio::sync::mpsc;

use crate::{departing, groups, quotas, registering, rollouts, state};

/// Upper bound of the random delay before a broken stream is opened again.
const BACKOFF_CAP: time::Duration = time::Duration::from_millis(1_000);
/// Half of the bound after the first failure; each further failure doubles it, up to
/// [`BACKOFF_CAP`].
const BACKOFF_BASE: time::Duration = time::Duration::from_millis(50);

/// Sends the queued messages to another control, over one stream that is opened again when it
/// breaks. Returns when the queue is closed or the directory does not have the host.
pub(crate) async fn send(
    state: sync::Arc<state::State>,
    host: CompactString,
    mut queue: mpsc::Receiver<streams::PeerMessage>,
) {
    let mut failures = 0;
    loop {
        let result = send_on_stream(&state, &host, &mut queue).await;
        let Err(err) = result else { return };
        log::debug!("the stream to control {host} broke: {err}; opening it again after a delay");
        failures = (failures + 1).min(5);
        let cap = BACKOFF_CAP.min(BACKOFF_BASE * (1 << failures));
        let wait = rand::rng().random_range(time::Duration::ZERO..cap);
        tokio::time::sleep(wait).await;
    }
}

/// Receives another control's messages and submits a job for each, until the stream ends.
pub(crate) async fn receive(
    state: &sync::Arc<state::State>,
    link: &transport::links::Link,
    receiver: &mut transport::streams::Receiver,
) -> transport::errors::Result<()> {
    let host = CompactString::from(link.host());
    while let Some(message) = receiver.recv::<streams::PeerMessage>().await? {
        if let streams::PeerMessage::Introduction(record) = &message
            && record.name != host
        {
            log::warn!("control {host} introduced itself as another one; closing its stream");
            return Ok(());
        }
        let job = {
            let state = sync::Arc::clone(state);
            let host = host.clone();
            move || dispatch(&state, host, message)
        };
        if state.pool.submit(job).is_err() {
            log::warn!(
                "the worker pool's queue is full; dropped a message of control {host}, which the \
                 protocols make up for later",
            );
        }
    }
    Ok(())
}

async fn send_on_stream(
    state: &state::State,
    host: &str,
    queue: &mut mpsc::Receiver<streams::PeerMessage>,
) -> transport::errors::Result<()> {
    let (addr, own) = {
        let directory = state.directory.lock();
        (directory.addr(host), directory.own_record())
    };
    let (Some(addr), Some(own)) = (addr, own) else { return Ok(()) };
    let link = state.links.link_control(host, addr).await?;
    let (mut sender, _receiver) = link.open_stream().await?;
    sender.send(&streams::Open::Peer).await?;
    sender.send(&streams::PeerMessage::Introduction(own)).await?;
    // Messages queued while there was no link are out of date, and the protocols send them again.
    // The queue is bounded and `try_recv` doesn't wait, so this loop ends.
    while queue.try_recv().is_ok() {}
    // The other control may have started, and nobody sends it these again.
    for message in departing::messages(state) {
        sender.send(&message).await?;
    }
    let mut counted_bytes = link.traffic().sent;
    loop {
        let message = tokio::select! {
            it = queue.recv() => it,
            err = link.closed() => return Err(err),
        };
        let Some(message) = message else { return sender.finish() };
        sender.send(&message).await?;
        let sent = link.traffic().sent;
        state.instruments.count_sent(link.role(), sent.saturating_sub(counted_bytes));
        counted_bytes = sent;
    }
}

fn dispatch(state: &state::State, host: CompactString, message: streams::PeerMessage) {
    match message {
        streams::PeerMessage::Agreement(group, message) => {
            groups::receive(state, host, &group, message);
        }
        streams::PeerMessage::DepartureRecorded { host: of, digest } => {
            departing::record_copy(state, &host, &of, digest);
        }
        streams::PeerMessage::Departures { events, is_last } => {
            departing::receive(state, &host, &events, is_last);
        }
        streams::PeerMessage::DeparturesRequest => departing::send_to_peer(state, &host),
        streams::PeerMessage::Digests(digests) => {
            registering::compare_digests(state, &host, &digests)
        }
        streams::PeerMessage::Event(event) => registering::receive_peer_event(state, &event),
        streams::PeerMessage::PartRequests(requests) => {
            registering::send_parts_to_peer(state, &host, &requests);
        }
        streams::PeerMessage::Introduction(record) => {
            let now = state.now();
            state.directory.lock().introduce(now, &record);
        }
        streams::PeerMessage::Leaving => {
            log::info!("control {host} is about to stop");
            let now = state.now();
            state.directory.lock().record_leaving(now, host);
            state.controls_changed.notify_one();
        }
        streams::PeerMessage::Rollouts(summaries) => {
            rollouts::record_summaries(state, host, summaries);
        }
        streams::PeerMessage::Quota(message) => quotas::receive(state, &host, &message),
        streams::PeerMessage::Parts(parts) => registering::merge_parts(state, &parts),
        streams::PeerMessage::Report(report) => {
            let now = state.now();
            state.distributor.lock().reports.insert(host, (report, now));
        }
    }
}
