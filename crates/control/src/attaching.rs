//! The streams of attached nodes.

use std::sync;

use distribution::{messages, subscribers};
use protocol::{proposals, streams};
use tokio::sync::mpsc;
use transport::links;

use crate::{distributing, proposing, registering, state};

/// Serves a node's stream until either side ends it.
pub(crate) async fn serve(
    state: &sync::Arc<state::State>,
    link: &links::Link,
    sender: transport::streams::Sender,
    mut receiver: transport::streams::Receiver,
) -> transport::errors::Result<()> {
    let Some(hello) = first_hello(&mut receiver).await? else { return Ok(()) };
    let (outbox, queue) = mpsc::channel(distributing::NODE_QUEUE);
    let Some(key) = attach(state, hello, outbox).await else { return Ok(()) };
    let result = tokio::select! {
        it = receive(state, key, &mut receiver) => it,
        it = send(state, link, sender, queue) => it,
    };
    let job = {
        let state = sync::Arc::clone(state);
        move || state.relay.lock().close(key)
    };
    if state.pool.submit(job).is_err() {
        log::debug!("too much work; a node that left is forgotten when it is silent");
    }
    result
}

async fn first_hello(
    receiver: &mut transport::streams::Receiver,
) -> transport::errors::Result<Option<messages::Hello>> {
    match receiver.recv().await? {
        Some(streams::NodeMessage::Version(messages::Up::Hello(hello))) => Ok(Some(hello)),
        _ => Ok(None),
    }
}

async fn attach(
    state: &sync::Arc<state::State>,
    hello: messages::Hello,
    outbox: mpsc::Sender<streams::ControlMessage>,
) -> Option<subscribers::SubscriberKey> {
    let job = {
        let state = sync::Arc::clone(state);
        move || {
            let key = distributing::hello(&state, hello, outbox);
            registering::greet(&state, key);
            key
        }
    };
    state.pool.run(job).await.ok()
}

async fn receive(
    state: &sync::Arc<state::State>,
    key: subscribers::SubscriberKey,
    receiver: &mut transport::streams::Receiver,
) -> transport::errors::Result<()> {
    while let Some(message) = receiver.recv::<streams::NodeMessage>().await? {
        if let streams::NodeMessage::Evidence { sequence, age_ms, evidence } = message {
            tokio::spawn(take_evidence(sync::Arc::clone(state), key, sequence, age_ms, evidence));
            continue;
        }
        let job = {
            let state = sync::Arc::clone(state);
            move || take_in(&state, key, message)
        };
        // Waiting for each job keeps the messages of a node in order and bounds its work.
        if state.pool.run(job).await.is_err() {
            log::warn!("too much work; a node is disconnected and will come back");
            return Ok(());
        }
    }
    Ok(())
}

async fn send(
    state: &state::State,
    link: &links::Link,
    mut sender: transport::streams::Sender,
    mut queue: mpsc::Receiver<streams::ControlMessage>,
) -> transport::errors::Result<()> {
    // A node that attaches again may do so on the same link, so what was counted is left out.
    let mut counted = link.traffic().sent;
    while let Some(message) = queue.recv().await {
        sender.send(&message).await?;
        let sent = link.traffic().sent;
        state.instruments.count_sent(link.role(), sent.saturating_sub(counted));
        counted = sent;
    }
    sender.finish()
}

fn take_in(state: &state::State, key: subscribers::SubscriberKey, message: streams::NodeMessage) {
    match message {
        streams::NodeMessage::Event(event) => registering::node_event(state, &event),
        streams::NodeMessage::Heartbeat(it) => registering::heartbeat(state, key, &it),
        streams::NodeMessage::Parts(requests) => registering::node_parts(state, key, &requests),
        streams::NodeMessage::Version(message) => distributing::message(state, key, message),
        // Handled by its own task, since it waits for the log.
        streams::NodeMessage::Evidence { .. } => {}
    }
}

/// Evidence counts in this data centre at once, and everywhere when the log has it.
async fn take_evidence(
    state: sync::Arc<state::State>,
    key: subscribers::SubscriberKey,
    sequence: u64,
    age_ms: u64,
    evidence: replicated::quarantine::Evidence,
) {
    let job = {
        let state = sync::Arc::clone(&state);
        let evidence = evidence.clone();
        move || {
            let at_ms = state::wall_ms().saturating_sub(age_ms);
            let answer = state.evidence.lock().note(at_ms, evidence);
            log::info!(target: "decision", "evidence of a crash or a finished suspect: {answer:?}");
            let taken = streams::ControlMessage::EvidenceTaken(sequence);
            state.relay.lock().send(key, taken);
        }
    };
    if state.pool.run(job).await.is_ok() {
        propose_evidence(&state).await;
    }
}

/// Proposes the evidence that the log does not have yet. What is refused is tried again by
/// [`retry_evidence`].
pub(crate) async fn propose_evidence(state: &sync::Arc<state::State>) {
    let pending: Vec<_> = state.evidence.lock().pending(state::wall_ms()).collect();
    for (sequence, command) in pending {
        let request =
            proposals::Request::Evidence { age_ms: command.age_ms, evidence: command.evidence };
        let outcome = proposing::propose(state, request).await;
        if !matches!(outcome, proposals::Outcome::Answered(_)) {
            return;
        }
        state.evidence.lock().settle(sequence);
    }
}
