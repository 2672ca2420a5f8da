//! Stand-ins for the nodes of targets. A stand-in names the address of a relay to the control, so
//! that a test can delay or silence the link to it.

use std::{
    net,
    sync::{self, atomic},
    time,
};

use distribution::{floor, messages as versions};
use membership::messages;
use protocol::{forwarding, streams};
use tokio::{sync::oneshot, task};
use transport::{endpoint, errors, identity, limits, pool};
use world::targets;

use crate::{mesh, relay};

const CONTROL: &str = "skulte-c";
const BEAT_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// A running stand-in with one target.
pub struct StandIn {
    /// The relay through which other nodes reach it.
    pub relay: relay::Relay,
    /// The bytes of bodies that it has received.
    pub body_bytes: sync::Arc<atomic::AtomicUsize>,
    _tasks: task::JoinSet<()>,
}

/// What a stand-in does with requests.
#[derive(Clone, Copy, Debug)]
pub enum Behaviour {
    /// Answers each with 200 and an empty body.
    Answers,
    /// Refuses each as not run, without a free slot.
    Refuses,
}

impl StandIn {
    /// Starts the stand-in `host` and returns when the control knows its target.
    pub async fn spawn(
        identity: &identity::Identity,
        control: net::SocketAddr,
        service: &str,
        behaviour: Behaviour,
    ) -> StandIn {
        let bound = endpoint::Endpoint::bind(mesh::loopback(), identity, limits::Limits::default());
        let endpoint = bound.expect("binds");
        let relay = relay::Relay::spawn(endpoint.local_addr().expect("has an address")).await;
        let entry = messages::Entry {
            host: identity.peer().host.clone(),
            data_centre: "skulte".into(),
            service: service.into(),
            addr: relay.addr,
            order: messages::Order { incarnation: 1, sequence: 0 },
            slots: 512,
            state: targets::State::Serving,
            announced: messages::Announced { incarnation: 1, ..messages::Announced::default() },
            registrar: "skulte".into(),
            version: "".into(),
        };
        let mut tasks = task::JoinSet::new();
        let links = pool::LinkPool::new(endpoint.clone());
        let body_bytes = sync::Arc::new(atomic::AtomicUsize::new(0));
        let counter = sync::Arc::clone(&body_bytes);
        tasks.spawn(transport::serving::serve(endpoint, move |_, sender, receiver| {
            let counter = sync::Arc::clone(&counter);
            async move {
                // The stream of a request that the other node has given up breaks.
                let _ = answer(sender, receiver, behaviour, &counter).await;
            }
        }));
        let (known_tx, known_rx) = oneshot::channel();
        tasks.spawn(async move {
            attach(&links, control, entry, known_tx).await.expect("stays attached");
        });
        known_rx.await.expect("registers its target");
        StandIn { relay, body_bytes, _tasks: tasks }
    }
}

/// Registers the target at the control and renews its lease.
async fn attach(
    links: &pool::LinkPool,
    control: net::SocketAddr,
    entry: messages::Entry,
    known: oneshot::Sender<()>,
) -> errors::Result<()> {
    let session = versions::SessionId(1);
    let link = links.link(CONTROL, control).await?;
    let (mut sender, mut receiver) = link.open_stream().await?;
    sender.send(&streams::Open::Attach).await?;
    let hello = versions::Hello {
        session,
        node: entry.host.clone(),
        data_centre: entry.data_centre.clone(),
        home: true,
        level: world::document::LEVEL,
        running: None,
        floor: floor::Floor::Absent,
    };
    let hello = versions::ToControl::Hello(hello);
    sender.send(&streams::NodeMessage::Version(hello)).await?;
    let event = messages::Event { entry: entry.clone(), age_ms: 0 };
    sender.send(&streams::NodeMessage::Event(event)).await?;
    let mut known = Some(known);
    let mut beats = tokio::time::interval(BEAT_INTERVAL);
    loop {
        tokio::select! {
            _ = beats.tick() => {
                let digest = Some(entry.digest());
                let heartbeat = messages::Heartbeat { host: entry.host.clone(), digest };
                sender.send(&streams::NodeMessage::Heartbeat(heartbeat)).await?;
                let highest = world::document::Version(0);
                let beat = versions::Beat { session, echo: None, highest };
                let beat = versions::ToControl::Beat(beat);
                sender.send(&streams::NodeMessage::Version(beat)).await?;
            }
            message = receiver.recv::<streams::ControlMessage>() => {
                let Some(message) = message? else { return Ok(()) };
                let streams::ControlMessage::Heartbeat(answer) = message else { continue };
                assert_eq!(answer.known, Some(entry.order), "the control has the entry");
                known.take().map(|it| it.send(()));
            }
        }
    }
}

/// Answers a stream of another node.
async fn answer(
    mut sender: transport::streams::Sender,
    mut receiver: transport::streams::Receiver,
    behaviour: Behaviour,
    body_bytes: &atomic::AtomicUsize,
) -> errors::Result<()> {
    let order = atomic::Ordering::SeqCst;
    match (receiver.recv::<streams::Open>().await?, behaviour) {
        (Some(streams::Open::Probe), _) => sender.send(&streams::ProbeReply).await?,
        (Some(streams::Open::Offer { .. }), Behaviour::Answers) => {
            sender.send(&forwarding::AnswerHead::Admitted).await?;
            while let Some(bytes) = receiver.recv_bytes().await? {
                body_bytes.fetch_add(bytes.len(), order);
            }
            sender.send(&answered()).await?;
        }
        (Some(streams::Open::Request { body, .. }), Behaviour::Answers) => {
            body_bytes.fetch_add(body.len(), order);
            sender.send(&answered()).await?;
        }
        (Some(streams::Open::Offer { .. }), Behaviour::Refuses) => sender.send(&refused()).await?,
        (Some(streams::Open::Request { body, .. }), Behaviour::Refuses) => {
            body_bytes.fetch_add(body.len(), order);
            sender.send(&refused()).await?;
        }
        _ => return Ok(()),
    }
    sender.finish()
}

fn refused() -> forwarding::AnswerHead {
    let standing = forwarding::NodeStatus::default();
    forwarding::AnswerHead::NotRun { reason: forwarding::NotRun::Busy, standing }
}

fn answered() -> forwarding::AnswerHead {
    let standing = forwarding::NodeStatus::default();
    forwarding::AnswerHead::Answered { status: 200, fields: Vec::new(), standing }
}
