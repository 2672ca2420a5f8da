//! Simulated nodes in the bench's process, which speak to a control over real links. They register
//! targets and send heartbeats, but apply no version and serve no requests.

use std::{net, ops, time};

use compact_str::format_compact;
use distribution::{floor, messages as versions};
use membership::messages;
use protocol::{proposals, streams};
use tokio::{sync::mpsc, task, time as timers};
use transport::{endpoint, identity, limits, links};
use world::{hosts, targets};

use crate::bench::processes;

/// Data centres to which the registered targets are assigned round robin.
const DATA_CENTRES: u32 = 22;
/// Services to which they are assigned in the same way.
const SERVICES: u32 = 2_300;
/// Registry events per second. More would overrun the control's queues of 4,096 messages for each
/// node.
const EVENTS_PER_S: u32 = 2_000;
/// Registry events that are sent without a pause.
const EVENT_BATCH: u32 = 100;
/// Heartbeats per second, as many as the nodes of one data centre send at the target scale.
const HEARTBEATS_PER_S: u32 = 1_140;
/// Limit on the wait for a snapshot.
const TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// A simulated node that is attached to the first control.
pub(super) struct Node {
    link: links::Link,
    outbox: mpsc::Sender<streams::NodeMessage>,
    /// Tasks that send and receive the node's messages; aborted on drop.
    _tasks: task::JoinSet<()>,
    /// Bytes received on the link up to the latest snapshot; none before the first.
    bytes: tokio::sync::watch::Receiver<Option<u64>>,
    _endpoint: endpoint::Endpoint,
}

/// Connects to a control with the certificate of a node.
pub(super) async fn connect(
    mesh: &processes::Mesh,
    control: usize,
    name: &str,
) -> eyre::Result<(endpoint::Endpoint, links::Link)> {
    let folder = mesh.keys();
    let authority = identity::Authority::load(
        &folder.join(heatherwalk::keys::AUTHORITY_CERTIFICATE),
        &folder.join(heatherwalk::keys::AUTHORITY_KEY),
    )?;
    let identity = authority.issue(name, hosts::Role::Node)?;
    let addr = (net::Ipv4Addr::LOCALHOST, 0).into();
    let endpoint = endpoint::Endpoint::bind(addr, &identity, limits::Limits::default())?;
    let control = &mesh.controls[control];
    let link = endpoint.connect(control.listen, &control.name).await?;
    Ok((endpoint, link))
}

/// Proposes a log entry over a link, as a node does. Returns none if the control closes the stream
/// without an answer.
pub(super) async fn propose(
    link: &links::Link,
    request: proposals::Proposal,
) -> eyre::Result<Option<proposals::Outcome>> {
    let (mut sender, mut receiver) = link.open_stream().await?;
    sender.send(&streams::Open::Propose(request)).await?;
    sender.finish()?;
    Ok(receiver.recv().await?)
}

impl Node {
    /// Attaches as a node of the first data centre that runs no version yet.
    pub(super) async fn attach(mesh: &processes::Mesh, name: &str) -> eyre::Result<Node> {
        let (endpoint, link) = connect(mesh, 0, name).await?;
        let (mut sender, mut receiver) = link.open_stream().await?;
        sender.send(&streams::Open::Attach).await?;
        let hello = versions::Hello {
            session: versions::SessionId(1),
            node: name.into(),
            data_centre: "centre-1".into(),
            home: true,
            level: world::document::LEVEL,
            running: None,
            floor: floor::Floor::Absent,
        };
        send_version(&mut sender, versions::ToControl::Hello(hello)).await?;
        let (bytes_sender, bytes) = tokio::sync::watch::channel(None);
        let mut tasks = task::JoinSet::new();
        let traffic_link = link.clone();
        tasks.spawn(async move {
            while let Ok(Some(message)) = receiver.recv::<streams::ControlMessage>().await {
                let snapshot = matches!(
                    message,
                    streams::ControlMessage::Version(versions::ToNode::Snapshot(..))
                );
                if snapshot {
                    bytes_sender.send_replace(Some(traffic_link.traffic().received));
                }
            }
        });
        let (outbox, queue) = mpsc::channel(1_024);
        tasks.spawn(async move {
            // An error means that the link ended; the next send to the queue then fails.
            let _ = send_all(sender, queue).await;
        });
        Ok(Node { link, outbox, _tasks: tasks, bytes, _endpoint: endpoint })
    }

    /// Waits for the snapshot. Returns the bytes received until then, the handshake included.
    pub(super) async fn snapshot_bytes(mut self) -> eyre::Result<u64> {
        let received = timers::timeout(TIMEOUT, self.bytes.wait_for(Option::is_some)).await??;
        received.ok_or_else(|| eyre::eyre!("the link ended"))
    }

    /// Registers targets of other data centres, for which this control expects no heartbeats.
    pub(super) async fn register(&mut self, indexes: ops::Range<u32>) -> eyre::Result<()> {
        let pause = time::Duration::from_secs(1) * EVENT_BATCH / EVENTS_PER_S;
        let mut interval = timers::interval(pause);
        for index in indexes {
            if index % EVENT_BATCH == 0 {
                interval.tick().await;
            }
            let entry = entry(index, format_compact!("elsewhere-{}", index % DATA_CENTRES));
            let event = messages::Event { entry, age_ms: 0 };
            self.outbox.send(streams::NodeMessage::Event(event)).await?;
        }
        // Time for the control and its nodes to process the last events.
        timers::sleep(time::Duration::from_secs(1)).await;
        Ok(())
    }

    /// Sends heartbeats at the rate of a whole data centre. Returns their number.
    pub(super) async fn send_heartbeats(&mut self, seconds: u64) -> eyre::Result<f64> {
        let mut interval = timers::interval(time::Duration::from_secs(1) / 20);
        for round in 0..seconds * 20 {
            interval.tick().await;
            for index in 0..HEARTBEATS_PER_S / 20 {
                let digest = Some(entry(index, "elsewhere-0".into()).digest());
                let host = format_compact!("target-{index}");
                let heartbeat = messages::Heartbeat { host, digest };
                self.outbox.send(streams::NodeMessage::Heartbeat(heartbeat)).await?;
            }
            if round % 20 == 0 && self.link.is_closed() {
                eyre::bail!("the control closed the link");
            }
        }
        Ok((seconds * 20) as f64 * f64::from(HEARTBEATS_PER_S / 20))
    }
}

/// Sends the queued messages, and each second the beat without which a control drops the node.
async fn send_all(
    mut sender: transport::streams::Sender,
    mut queue: mpsc::Receiver<streams::NodeMessage>,
) -> transport::errors::Result<()> {
    let mut interval = timers::interval(time::Duration::from_secs(1));
    loop {
        tokio::select! {
            message = queue.recv() => match message {
                Some(message) => sender.send(&message).await?,
                None => return sender.finish(),
            },
            _ = interval.tick() => {
                let session = versions::SessionId(1);
                let highest = world::document::Version::default();
                let beat = versions::Beat { session, echo: None, highest };
                send_version(&mut sender, versions::ToControl::Beat(beat)).await?;
            }
        }
    }
}

async fn send_version(
    sender: &mut transport::streams::Sender,
    message: versions::ToControl,
) -> transport::errors::Result<()> {
    sender.send(&streams::NodeMessage::Version(message)).await
}

fn entry(index: u32, data_centre: compact_str::CompactString) -> messages::Entry {
    messages::Entry {
        host: format_compact!("target-{index}"),
        service: format_compact!("service-{}", index % SERVICES),
        addr: (net::Ipv4Addr::LOCALHOST, 9).into(),
        order: messages::Order { incarnation: 1_790_000_000_000_000, sequence: 1 },
        slots: 12,
        state: targets::State::Serving,
        announced: messages::Announced {
            incarnation: 1_790_000_000_000_000,
            sequence: 1,
            leaving: false,
            instance: messages::Announced::hash_instance(&format_compact!("instance-{index}")),
        },
        registrar: data_centre.clone(),
        version: "".into(),
        data_centre,
    }
}
