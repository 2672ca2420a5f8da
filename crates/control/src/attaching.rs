//! The streams of attached nodes: receives their messages and sends them those of this control.

use std::sync;

use compact_str::CompactString;
use distribution::{messages, subscribers};
use protocol::{proposals, streams};
use replicated::quarantine;
use tokio::{sync::mpsc, task};
use transport::links;

use crate::{departing, distributing, proposing, quotas, registering, rollouts, state};

/// Most pieces of evidence of one node that are recorded and proposed at the same time. Each waits
/// for the log; the node sends again what was not acknowledged.
const MAX_EVIDENCE_TASKS: usize = 16;

/// Serves the stream of a node until either side ends it. The node's name is that of its
/// certificate; the stream is closed when a message names another host as its sender.
pub(crate) async fn serve(
    state: &sync::Arc<state::State>,
    link: &links::Link,
    sender: transport::streams::Sender,
    mut receiver: transport::streams::Receiver,
) -> transport::errors::Result<()> {
    let host = link.host();
    let hello = receive_hello(&mut receiver).await?;
    // A node that sends messages in another host's name could confirm versions that the other host
    // does not run.
    let Some(hello) = hello.filter(|it| it.node == host) else {
        log::warn!("node {host} did not begin with a hello in its own name; closing its stream");
        return Ok(());
    };
    let (queue_tx, queue_rx) = mpsc::channel(distributing::NODE_QUEUE_MESSAGES);
    let Some(mut key) = attach(state, hello, queue_tx).await else { return Ok(()) };
    let result = tokio::select! {
        it = receive_messages(state, host, &mut key, &mut receiver) => it,
        it = send_messages(state, link, sender, queue_rx) => it,
    };
    let job = {
        let state = sync::Arc::clone(state);
        move || state.distributor.lock().disconnect(key)
    };
    if state.pool.submit(job).is_err() {
        log::debug!(
            "the worker pool's queue is full; node {host}, whose stream ended, is removed only \
             when its session times out",
        );
    }
    result
}

async fn receive_hello(
    receiver: &mut transport::streams::Receiver,
) -> transport::errors::Result<Option<messages::Hello>> {
    match receiver.recv().await? {
        Some(streams::NodeMessage::Version(messages::ToControl::Hello(hello))) => Ok(Some(hello)),
        _ => Ok(None),
    }
}

async fn attach(
    state: &sync::Arc<state::State>,
    hello: messages::Hello,
    queue_tx: mpsc::Sender<streams::ControlMessage>,
) -> Option<subscribers::SubscriberKey> {
    let job = {
        let state = sync::Arc::clone(state);
        move || {
            let key = distributing::attach(&state, hello, queue_tx);
            registering::send_registry(&state, key);
            key
        }
    };
    state.pool.run(job).await.ok()
}

async fn reattach(
    state: &sync::Arc<state::State>,
    key: subscribers::SubscriberKey,
    hello: messages::Hello,
) -> Option<subscribers::SubscriberKey> {
    let shared = sync::Arc::clone(state);
    let job = move || distributing::reattach(&shared, key, hello);
    state.pool.run(job).await.ok().flatten()
}

async fn receive_messages(
    state: &sync::Arc<state::State>,
    host: &str,
    session: &mut subscribers::SubscriberKey,
    receiver: &mut transport::streams::Receiver,
) -> transport::errors::Result<()> {
    let mut tasks = task::JoinSet::new();
    while let Some(message) = receiver.recv::<streams::NodeMessage>().await? {
        if !is_from(host, &message) {
            log::warn!(
                "node {host} sent a message in the name of another host; closing its stream"
            );
            return Ok(());
        }
        let key = *session;
        let message = match message {
            streams::NodeMessage::Version(messages::ToControl::Hello(hello)) => {
                match reattach(state, key, hello).await {
                    Some(key) => *session = key,
                    None => return Ok(()),
                }
                continue;
            }
            it => it,
        };
        if let streams::NodeMessage::Evidence { sequence, age_ms, evidence } = message {
            while tasks.len() >= MAX_EVIDENCE_TASKS {
                tasks.join_next().await;
            }
            tasks.spawn(record_evidence(sync::Arc::clone(state), key, sequence, age_ms, evidence));
            while tasks.try_join_next().is_some() {}
            continue;
        }
        let job = {
            let state = sync::Arc::clone(state);
            let host = CompactString::from(host);
            move || dispatch(&state, &host, key, message)
        };
        // Waiting for each job keeps the node's messages in order and bounds the work it can queue.
        if state.pool.run(job).await.is_err() {
            log::warn!(
                "a message of node {host} was not handled, since the worker pool's queue is full \
                 or the job failed; disconnecting the node, which will attach again",
            );
            return Ok(());
        }
    }
    Ok(())
}

fn is_from(host: &str, message: &streams::NodeMessage) -> bool {
    match message {
        streams::NodeMessage::Event(it) => it.entry.host == host,
        streams::NodeMessage::Heartbeat(it) => it.host == host,
        streams::NodeMessage::Version(messages::ToControl::Hello(it)) => it.node == host,
        streams::NodeMessage::Evidence { evidence, .. } => match evidence {
            quarantine::Evidence::Crashed { crash, .. } => crash.host == host,
            quarantine::Evidence::Finished(_) => true,
        },
        streams::NodeMessage::Parts(_)
        | streams::NodeMessage::Rollouts(_)
        | streams::NodeMessage::Quota(_)
        | streams::NodeMessage::Version(_) => true,
    }
}

async fn send_messages(
    state: &state::State,
    link: &links::Link,
    mut sender: transport::streams::Sender,
    mut queue_rx: mpsc::Receiver<streams::ControlMessage>,
) -> transport::errors::Result<()> {
    // A node may attach again on the same link, so only bytes sent from now on are counted.
    let mut counted_bytes = link.traffic().sent;
    while let Some(message) = queue_rx.recv().await {
        sender.send(&message).await?;
        let sent = link.traffic().sent;
        state.instruments.count_sent(link.role(), sent.saturating_sub(counted_bytes));
        counted_bytes = sent;
    }
    sender.finish()
}

fn dispatch(
    state: &state::State,
    host: &str,
    key: subscribers::SubscriberKey,
    message: streams::NodeMessage,
) {
    match message {
        streams::NodeMessage::Rollouts(reports) => rollouts::record_reports(state, host, reports),
        streams::NodeMessage::Event(event) => registering::receive_node_event(state, &event),
        streams::NodeMessage::Heartbeat(it) => departing::receive_heartbeat(state, key, &it),
        streams::NodeMessage::Parts(requests) => {
            registering::send_parts_to_node(state, key, &requests)
        }
        streams::NodeMessage::Quota(question) => quotas::answer(state, key, host, &question),
        streams::NodeMessage::Version(message) => distributing::receive(state, key, message),
        // A task of its own handles evidence, since it waits for the log.
        streams::NodeMessage::Evidence { .. } => {}
    }
}

/// Records a node's evidence and acknowledges it, then proposes it. It counts in this data centre
/// once it is recorded, and in the whole mesh once it is in the log.
async fn record_evidence(
    state: sync::Arc<state::State>,
    key: subscribers::SubscriberKey,
    sequence: u64,
    age_ms: u64,
    evidence: quarantine::Evidence,
) {
    let job = {
        let state = sync::Arc::clone(&state);
        let evidence = evidence.clone();
        move || {
            let at_ms = state::unix_time_ms().saturating_sub(age_ms);
            let answer = state.evidence.lock().record(at_ms, evidence);
            log::info!(
                target: "decision",
                "a node sent evidence of a crash or of a suspect that finished: {answer:?}",
            );
            let taken = streams::ControlMessage::EvidenceTaken(sequence);
            state.distributor.lock().send(key, taken);
        }
    };
    if state.pool.run(job).await.is_ok() {
        propose_pending_evidence(&state).await;
    }
}

/// Proposes all evidence that is not in the log yet, and stops at the first failure; the next
/// maintenance tick tries again.
pub(crate) async fn propose_pending_evidence(state: &sync::Arc<state::State>) {
    let pending: Vec<_> = state.evidence.lock().pending(state::unix_time_ms()).collect();
    for (sequence, command) in pending {
        let request =
            proposals::Proposal::Evidence { age_ms: command.age_ms, evidence: command.evidence };
        let outcome = proposing::propose(state, request).await;
        if !matches!(outcome, proposals::Outcome::Answered(_)) {
            return;
        }
        state.evidence.lock().mark_committed(sequence);
    }
}
