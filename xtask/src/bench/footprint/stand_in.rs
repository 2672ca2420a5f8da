//! Stand-ins for nodes, in the bench's process, over real links.

use std::{net, ops, time};

use compact_str::format_compact;
use distribution::{floor, messages as versions};
use membership::messages;
use protocol::{proposals, streams};
use tokio::{sync::mpsc, task, time as timers};
use transport::{endpoint, identity, limits, links};
use world::{hosts, targets};

use crate::bench::processes;

/// Data centres over which the registered targets are spread.
const CENTRES: u32 = 22;
const SERVICES: u32 = 2_300;
/// Events a second; more would overrun the control's queues of 4,096 messages for each node.
const EVENT_RATE: u32 = 2_000;
const EVENT_BATCH: u32 = 100;
/// Heartbeats a second, those of the nodes of one data centre at the target scale.
const BEATS: u32 = 1_140;
const LIMIT: time::Duration = time::Duration::from_secs(20);

/// A stand-in node with a link to the first control.
pub(super) struct Follower {
    link: links::Link,
    outbox: mpsc::Sender<streams::NodeMessage>,
    /// Carries the messages in both directions; ends with the stand-in.
    _tasks: task::JoinSet<()>,
    first: tokio::sync::watch::Receiver<Option<u64>>,
    _endpoint: endpoint::Endpoint,
}

/// Makes a link as a node's process does.
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

/// Proposes a change over a link, as a node does.
pub(super) async fn propose(
    link: &links::Link,
    request: proposals::Request,
) -> eyre::Result<Option<proposals::Outcome>> {
    let (mut sender, mut receiver) = link.open_stream().await?;
    sender.send(&streams::Open::Propose(request)).await?;
    sender.finish()?;
    Ok(receiver.recv().await?)
}

impl Follower {
    /// Attaches as a node of the first data centre that has no version yet.
    pub(super) async fn attach(mesh: &processes::Mesh, name: &str) -> eyre::Result<Follower> {
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
        send_up(&mut sender, versions::ToControl::Hello(hello)).await?;
        let (noted, first) = tokio::sync::watch::channel(None);
        let mut tasks = task::JoinSet::new();
        let shared = link.clone();
        tasks.spawn(async move {
            while let Ok(Some(message)) = receiver.recv::<streams::ControlMessage>().await {
                let snapshot = matches!(
                    message,
                    streams::ControlMessage::Version(versions::ToNode::Snapshot(..))
                );
                if snapshot {
                    noted.send_replace(Some(shared.traffic().received));
                }
            }
        });
        let (outbox, queue) = mpsc::channel(1_024);
        tasks.spawn(async move {
            // An error means that the link ended, which the stand-in's owner sees.
            let _ = send_all(sender, queue).await;
        });
        Ok(Follower { link, outbox, _tasks: tasks, first, _endpoint: endpoint })
    }

    /// Bytes received until the snapshot was there, those of the handshake included.
    pub(super) async fn first_version(mut self) -> eyre::Result<u64> {
        let received = timers::timeout(LIMIT, self.first.wait_for(Option::is_some)).await??;
        received.ok_or_else(|| eyre::eyre!("the link ended"))
    }

    /// Registers targets of other data centres, which need no heartbeat here.
    pub(super) async fn register(&mut self, range: ops::Range<u32>) -> eyre::Result<()> {
        let pause = time::Duration::from_secs(1) * EVENT_BATCH / EVENT_RATE;
        let mut ticks = timers::interval(pause);
        for index in range {
            if index % EVENT_BATCH == 0 {
                ticks.tick().await;
            }
            let entry = entry(index, format_compact!("elsewhere-{}", index % CENTRES));
            let event = messages::Event { entry, age_ms: 0 };
            self.outbox.send(streams::NodeMessage::Event(event)).await?;
        }
        // The control and its nodes take in the last of them.
        timers::sleep(time::Duration::from_secs(1)).await;
        Ok(())
    }

    /// Sends heartbeats of many nodes. Returns how many.
    pub(super) async fn beat(&mut self, seconds: u64) -> eyre::Result<f64> {
        let mut ticks = timers::interval(time::Duration::from_secs(1) / 20);
        for round in 0..seconds * 20 {
            ticks.tick().await;
            for index in 0..BEATS / 20 {
                let digest = Some(entry(index, "elsewhere-0".into()).digest());
                let host = format_compact!("target-{index}");
                let beat = messages::Heartbeat { host, digest };
                self.outbox.send(streams::NodeMessage::Heartbeat(beat)).await?;
            }
            if round % 20 == 0 && self.link.is_closed() {
                eyre::bail!("the control closed the link");
            }
        }
        Ok((seconds * 20) as f64 * f64::from(BEATS / 20))
    }
}

/// Sends what is queued, and each second the beat without which a control forgets a node.
async fn send_all(
    mut sender: transport::streams::Sender,
    mut queue: mpsc::Receiver<streams::NodeMessage>,
) -> transport::errors::Result<()> {
    let mut ticks = timers::interval(time::Duration::from_secs(1));
    loop {
        tokio::select! {
            message = queue.recv() => match message {
                Some(message) => sender.send(&message).await?,
                None => return sender.finish(),
            },
            _ = ticks.tick() => {
                let session = versions::SessionId(1);
                let highest = world::document::Version::default();
                let beat = versions::Beat { session, echo: None, highest };
                send_up(&mut sender, versions::ToControl::Beat(beat)).await?;
            }
        }
    }
}

async fn send_up(
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
        registrar: data_centre.clone(),
        data_centre,
    }
}
