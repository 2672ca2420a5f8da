//! Stand-ins for a control. A stand-in gives its version to each node, keeps the registry of their
//! targets, acknowledges beats only while the test asks for it, and sends lists of controls.

use std::{
    net,
    sync::{Arc, atomic},
};

use distribution::messages as versions;
use protocol::{operators, streams};
use tokio::{sync::watch, task};
use transport::{endpoint, errors, identity, limits};
use world::{document, time};

use crate::mesh;

/// A running stand-in.
pub struct StandInControl {
    pub addr: net::SocketAddr,
    /// The version that it acknowledges beats with; 0 while it acknowledges none.
    acknowledged: Arc<atomic::AtomicU64>,
    /// The list of controls that is sent to each node; none before the test sets it.
    controls: watch::Sender<Option<Vec<operators::ControlRecord>>>,
    /// How many sessions nodes have opened.
    sessions: Arc<atomic::AtomicU64>,
    _tasks: task::JoinSet<()>,
}

impl StandInControl {
    /// Starts a stand-in with `document` as its version 1.
    pub fn spawn(identity: &identity::Identity, document: serde_json::Value) -> StandInControl {
        let bound = endpoint::Endpoint::bind(mesh::loopback(), identity, limits::Limits::default());
        let endpoint = bound.expect("binds");
        let addr = endpoint.local_addr().expect("has an address");
        let acknowledged = Arc::new(atomic::AtomicU64::new(1));
        let snapshot = snapshot(document);
        let mut tasks = task::JoinSet::new();
        let controls = watch::channel(None).0;
        let sessions = Arc::new(atomic::AtomicU64::new(0));
        let state = State {
            snapshot,
            latest: Arc::clone(&acknowledged),
            controls: controls.clone(),
            sessions: Arc::clone(&sessions),
        };
        tasks.spawn(transport::serving::serve(endpoint, move |_, sender, receiver| {
            let state = state.clone();
            // The stream breaks when the node stops.
            async move { drop(serve(state, sender, receiver).await) }
        }));
        StandInControl { addr, acknowledged, controls, sessions, _tasks: tasks }
    }

    /// Sends this list of controls to each node, with its next acknowledgement.
    pub fn list_controls(&self, controls: Vec<operators::ControlRecord>) {
        self.controls.send_replace(Some(controls));
    }

    /// How many sessions nodes have opened.
    pub fn sessions(&self) -> u64 {
        self.sessions.load(atomic::Ordering::SeqCst)
    }

    /// Acknowledges beats with this version from now on, or none.
    pub fn acknowledge(&self, version: Option<u64>) {
        self.acknowledged.store(version.unwrap_or(0), atomic::Ordering::SeqCst);
    }
}

fn snapshot(document: serde_json::Value) -> versions::Snapshot {
    let document: document::Document = serde_json::from_value(document).expect("a document");
    let digest = document::digest(&document);
    let of = versions::Numbered { version: document::Version(1), digest };
    versions::Snapshot { of, document: document::canonical_json(&document).into() }
}

/// What the streams of a stand-in share.
#[derive(Clone)]
struct State {
    snapshot: versions::Snapshot,
    latest: Arc<atomic::AtomicU64>,
    controls: watch::Sender<Option<Vec<operators::ControlRecord>>>,
    sessions: Arc<atomic::AtomicU64>,
}

async fn serve(
    state: State,
    mut sender: transport::streams::Sender,
    mut receiver: transport::streams::Receiver,
) -> errors::Result<()> {
    let Some(streams::Open::Attach) = receiver.recv().await? else { return Ok(()) };
    let mut controls = state.controls.subscribe();
    controls.mark_changed();
    let mut acks = 0;
    let mut held = None;
    while let Some(message) = receiver.recv::<streams::NodeMessage>().await? {
        let (session, hello) = match message {
            streams::NodeMessage::Event(it) => {
                held = Some(it.entry.clone());
                sender.send(&streams::ControlMessage::Event(it)).await?;
                continue;
            }
            streams::NodeMessage::Heartbeat(it) => {
                let digest = held.as_ref().map(membership::messages::Entry::digest);
                let answer = membership::messages::HeartbeatAnswer {
                    known: held.as_ref().map(|it| it.order),
                    wanted: it.digest.is_some() && it.digest != digest,
                    digest,
                    held: held.clone().filter(|_| it.digest != digest),
                    recorded: true,
                };
                sender.send(&streams::ControlMessage::Heartbeat(answer)).await?;
                continue;
            }
            streams::NodeMessage::Version(versions::ToControl::Hello(it)) => {
                state.sessions.fetch_add(1, atomic::Ordering::SeqCst);
                (it.session, it.running.is_none())
            }
            streams::NodeMessage::Version(versions::ToControl::Beat(it)) => (it.session, false),
            _ => continue,
        };
        let version = state.latest.load(atomic::Ordering::SeqCst);
        if version > 0 {
            acks += 1;
            let at = time::Time::from_millis(acks);
            let stamp = versions::Timestamp { epoch: 1, at };
            let version = document::Version(version);
            let ack = versions::Ack { session, stamp, isolated: false, version, age_ms: 0 };
            send_version(&mut sender, versions::ToNode::Ack(ack)).await?;
            let list = match controls.has_changed() {
                Ok(true) => controls.borrow_and_update().clone(),
                Ok(false) | Err(_) => None,
            };
            if let Some(list) = list {
                sender.send(&streams::ControlMessage::Controls(list)).await?;
            }
        }
        if hello {
            let proof = versions::Proof::Current;
            let message = versions::ToNode::Snapshot(session, proof, state.snapshot.clone());
            send_version(&mut sender, message).await?;
        }
    }
    Ok(())
}

async fn send_version(
    sender: &mut transport::streams::Sender,
    message: versions::ToNode,
) -> errors::Result<()> {
    sender.send(&streams::ControlMessage::Version(message)).await
}
