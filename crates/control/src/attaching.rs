//! The streams of attached nodes.

use std::sync;

use distribution::{messages, subscribers};
use protocol::{proposals, streams};
use replicated::quarantine;
use tokio::{sync::mpsc, task};
use transport::links;

use crate::{distributing, proposing, registering, state};

/// Evidence of one node that is taken over at the same time. Each waits for the log, and the node
/// sends what was not taken again.
const EVIDENCE_AT_ONCE: usize = 16;

/// Serves the stream of a node until either side ends it. The name comes from the
/// node's certificate; what it says in the name of another host is not taken.
pub(crate) async fn serve(
    state: &sync::Arc<state::State>,
    link: &links::Link,
    sender: transport::streams::Sender,
    mut receiver: transport::streams::Receiver,
) -> transport::errors::Result<()> {
    let host = link.host();
    let hello = first_hello(&mut receiver).await?;
    // A node that speaks for another host could confirm versions that the other does not run.
    let Some(hello) = hello.filter(|it| it.node == host) else {
        log::warn!("{host} did not begin with a hello in its own name; its stream is closed");
        return Ok(());
    };
    let (outbox, queue) = mpsc::channel(distributing::NODE_QUEUE);
    let Some(mut key) = attach(state, hello, outbox).await else { return Ok(()) };
    let result = tokio::select! {
        it = receive(state, host, &mut key, &mut receiver) => it,
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
        Some(streams::NodeMessage::Version(messages::ToControl::Hello(hello))) => Ok(Some(hello)),
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

async fn attach_again(
    state: &sync::Arc<state::State>,
    key: subscribers::SubscriberKey,
    hello: messages::Hello,
) -> Option<subscribers::SubscriberKey> {
    let shared = sync::Arc::clone(state);
    let job = move || distributing::hello_again(&shared, key, hello);
    state.pool.run(job).await.ok().flatten()
}

async fn receive(
    state: &sync::Arc<state::State>,
    host: &str,
    session: &mut subscribers::SubscriberKey,
    receiver: &mut transport::streams::Receiver,
) -> transport::errors::Result<()> {
    let mut tasks = task::JoinSet::new();
    while let Some(message) = receiver.recv::<streams::NodeMessage>().await? {
        if !is_own(host, &message) {
            log::warn!("node {host} sent a message in the name of another; its stream is closed");
            return Ok(());
        }
        let key = *session;
        let message = match message {
            streams::NodeMessage::Version(messages::ToControl::Hello(hello)) => {
                match attach_again(state, key, hello).await {
                    Some(key) => *session = key,
                    None => return Ok(()),
                }
                continue;
            }
            it => it,
        };
        if let streams::NodeMessage::Evidence { sequence, age_ms, evidence } = message {
            while tasks.len() >= EVIDENCE_AT_ONCE {
                tasks.join_next().await;
            }
            tasks.spawn(take_evidence(sync::Arc::clone(state), key, sequence, age_ms, evidence));
            while tasks.try_join_next().is_some() {}
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

fn is_own(host: &str, message: &streams::NodeMessage) -> bool {
    match message {
        streams::NodeMessage::Event(it) => it.entry.host == host,
        streams::NodeMessage::Heartbeat(it) => it.host == host,
        streams::NodeMessage::Version(messages::ToControl::Hello(it)) => it.node == host,
        streams::NodeMessage::Evidence { evidence, .. } => match evidence {
            quarantine::Evidence::Crashed { crash, .. } => crash.host == host,
            quarantine::Evidence::Finished(_) => true,
        },
        streams::NodeMessage::Parts(_) | streams::NodeMessage::Version(_) => true,
    }
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
    evidence: quarantine::Evidence,
) {
    let job = {
        let state = sync::Arc::clone(&state);
        let evidence = evidence.clone();
        move || {
            let at_ms = state::wall_ms().saturating_sub(age_ms);
            let answer = state.evidence.lock().record(at_ms, evidence);
            log::info!(target: "decision", "evidence of a crash or a finished suspect: {answer:?}");
            let taken = streams::ControlMessage::EvidenceTaken(sequence);
            state.relay.lock().send(key, taken);
        }
    };
    if state.pool.run(job).await.is_ok() {
        propose_evidence(&state).await;
    }
}

/// Proposes the evidence that the log does not have yet. What is refused is tried again with the
/// next slow tick.
pub(crate) async fn propose_evidence(state: &sync::Arc<state::State>) {
    let pending: Vec<_> = state.evidence.lock().pending(state::wall_ms()).collect();
    for (sequence, command) in pending {
        let request =
            proposals::Request::Evidence { age_ms: command.age_ms, evidence: command.evidence };
        let outcome = proposing::propose(state, request).await;
        if !matches!(outcome, proposals::Outcome::Answered(_)) {
            return;
        }
        state.evidence.lock().mark_committed(sequence);
    }
}
