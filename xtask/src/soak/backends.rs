//! Stand-in backend servers that announce themselves, record what they run, and misbehave.

use std::{collections, net, sync, time};

use bytes::Bytes;
use heatherwalk::example;
use tokio::{sync::watch, task};

use super::{hosts, ledger, schedule, settings, tcp_relay};

/// The header in which a caller numbers the sends of a request.
pub(crate) const RESEND: &str = "x-resend";
/// The largest body of a request, in bytes.
const MAX_BODY: usize = 1024 * 1024;
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// How long the first half of an answer is ahead of its cut.
const CUT_DELAY: time::Duration = time::Duration::from_millis(20);
/// How much an endless answer sends at once, in bytes.
const ENDLESS_CHUNK: usize = 8 * 1024;
/// Keeps the bytes from filling the buffers of the soak's relays, where they would hide for seconds
/// that the node has reset the connection.
const ENDLESS_PAUSE: time::Duration = time::Duration::from_millis(2);

/// How a backend server misbehaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Behaviour {
    /// Runs requests, and ends its connections and announcements at once until it comes back.
    Crash,
    /// Breaks off in the middle of each answer.
    Cut,
    /// Announces that it is leaving.
    Drain,
    /// Sends answers without end.
    Endless,
    /// Runs requests and does not answer.
    Freeze,
    /// Answers this many milliseconds later.
    Late(u64),
    /// Answers that it did not run the request.
    Shed,
}

/// A backend server that is restarted after each crash. Dropping it ends it.
pub(crate) struct Backend {
    shared: sync::Arc<Shared>,
    /// The connections of the node to it.
    inbound: sync::Arc<tcp_relay::Relay>,
    /// Its announcements to the node.
    outbound: tcp_relay::Relay,
    _task: task::JoinSet<()>,
}

struct Shared {
    service: settings::Service,
    ledger: sync::Arc<ledger::Ledger>,
    behaviours: watch::Sender<collections::BTreeMap<schedule::FaultId, Behaviour>>,
    /// Whether it announces that it is leaving.
    drain: watch::Sender<bool>,
    /// Where it listens, behind the relay.
    listen: net::SocketAddr,
}

/// A request as its path tells it: `/PREFIX/WORK/SIZE/MILLIS`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Work {
    pub(crate) id: ledger::WorkId,
    /// The size of the answer in bytes.
    pub(crate) size: usize,
    /// How long the backend server works.
    pub(crate) duration: time::Duration,
}

impl Work {
    pub(crate) fn path(&self, service: settings::Service) -> String {
        let Work { id, size, duration } = self;
        format!("{}/{}/{size}/{}", service.prefix, id.0, duration.as_millis())
    }

    fn parse(path: &str) -> Option<Work> {
        let mut parts = path.split('/').skip(2).map(|it| it.parse::<u64>().ok());
        let id = ledger::WorkId(parts.next()??);
        let size = usize::try_from(parts.next()??).ok()?;
        let duration = time::Duration::from_millis(parts.next()??);
        Some(Work { id, size, duration })
    }

    /// The only right answer.
    pub(crate) fn answer(&self, service: settings::Service) -> Vec<u8> {
        let line = format!("{} {} ", service.name, self.id.0);
        line.bytes().cycle().take(self.size).collect()
    }
}

impl Backend {
    /// Starts a backend server of `service` for the node that takes announcements at `announce`.
    pub(crate) async fn spawn(
        service: settings::Service,
        announce: net::SocketAddr,
        ledger: sync::Arc<ledger::Ledger>,
    ) -> std::io::Result<Backend> {
        let listen = hosts::free_port();
        let inbound = sync::Arc::new(tcp_relay::Relay::spawn(listen).await?);
        let outbound = tcp_relay::Relay::spawn(announce).await?;
        let (behaviours, drain) = (watch::Sender::default(), watch::Sender::default());
        let shared = sync::Arc::new(Shared { service, ledger, behaviours, drain, listen });
        let mut task = task::JoinSet::new();
        task.spawn(supervise(sync::Arc::clone(&shared), inbound.addr(), outbound.addr()));
        Ok(Backend { shared, inbound, outbound, _task: task })
    }

    pub(crate) fn add(&self, fault: schedule::FaultId, behaviour: Behaviour) {
        self.shared.behaviours.send_modify(|it| _ = it.insert(fault, behaviour));
        self.shared.update_drain();
    }

    /// Disturbs its connections with its node, both those of requests and of announcements.
    pub(crate) fn relay_connections(&self, fault: schedule::FaultId, effect: tcp_relay::Effect) {
        self.inbound.add(fault, effect);
        self.outbound.add(fault, effect);
    }

    /// Ends what a fault does.
    pub(crate) fn remove(&self, fault: schedule::FaultId) {
        self.shared.behaviours.send_modify(|it| _ = it.remove(&fault));
        self.shared.update_drain();
        self.inbound.remove(fault);
        self.outbound.remove(fault);
    }
}

impl Shared {
    fn has(&self, behaviour: Behaviour) -> bool {
        self.behaviours.borrow().values().any(|it| *it == behaviour)
    }

    fn update_drain(&self) {
        let drains = self.has(Behaviour::Drain);
        self.drain.send_if_modified(|it| std::mem::replace(it, drains) != drains);
    }
}

/// Runs the server, and replaces it after each crash.
async fn supervise(shared: sync::Arc<Shared>, addr: net::SocketAddr, announce: net::SocketAddr) {
    let mut changes = shared.behaviours.subscribe();
    let crashed =
        |it: &collections::BTreeMap<_, Behaviour>| it.values().any(|it| *it == Behaviour::Crash);
    loop {
        let _ = changes.wait_for(|it| !crashed(it)).await;
        let handler = sync::Arc::clone(&shared);
        let router = web::routers::catch_all(move |it| answer(sync::Arc::clone(&handler), it));
        let limits = web::server::Limits::default();
        // The port of the crashed server may be in use for a moment.
        let Ok(server) = web::server::Server::bind(shared.listen, limits, router).await else {
            tokio::time::sleep(RETRY_INTERVAL).await;
            continue;
        };
        let announcement = example::Settings {
            service: shared.service.name.into(),
            name: shared.service.name.into(),
            announce,
            slots: settings::SLOTS,
        };
        tokio::select! {
            () = example::announce_until(announcement, addr, shared.drain.subscribe()) => {}
            _ = changes.wait_for(crashed) => {}
        }
        drop(server);
    }
}

async fn answer(
    shared: sync::Arc<Shared>,
    request: web::exchange::Request,
) -> web::exchange::Response {
    let Some(work) = Work::parse(&request.path) else {
        // A probe of a route that an operator added.
        return web::exchange::Response::text(http::StatusCode::OK, "probed");
    };
    let resend = request.headers.get(RESEND).and_then(|it| it.to_str().ok()?.parse().ok());
    let send = ledger::SendId { work: work.id, resend: resend.unwrap_or(0) };
    if request.body.collect(MAX_BODY).await.is_err() {
        return web::exchange::Response::empty(http::StatusCode::BAD_REQUEST);
    }
    if shared.has(Behaviour::Shed) {
        let mut answer = web::exchange::Response::empty(http::StatusCode::SERVICE_UNAVAILABLE);
        let value = http::HeaderValue::from_static("true");
        answer.headers.insert("heatherwalk-not-run", value);
        return answer;
    }
    shared.ledger.record_run(send);
    tokio::time::sleep(work.duration).await;
    let bytes = work.answer(shared.service);
    let behaviours: Vec<_> = shared.behaviours.borrow().values().copied().collect();
    for behaviour in behaviours {
        match behaviour {
            Behaviour::Cut => return cut(&bytes),
            Behaviour::Endless => return endless(),
            Behaviour::Freeze => return std::future::pending().await,
            Behaviour::Late(millis) => {
                tokio::time::sleep(time::Duration::from_millis(millis)).await;
            }
            Behaviour::Crash | Behaviour::Drain | Behaviour::Shed => {}
        }
    }
    let mut answer = web::exchange::Response::empty(http::StatusCode::OK);
    answer.body = web::body::Body::full(bytes.into());
    answer
}

/// An answer of a declared length that breaks off in its middle.
fn cut(bytes: &[u8]) -> web::exchange::Response {
    let mut answer = web::exchange::Response::empty(http::StatusCode::OK);
    let (sender, body) = web::body::Body::channel(2);
    answer.body = body;
    answer.headers.insert(http::header::CONTENT_LENGTH, bytes.len().into());
    let half = Bytes::copy_from_slice(&bytes[..bytes.len() / 2]);
    tokio::spawn(async move {
        let _ = sender.send(half).await;
        // The server replaces an answer that fails before its first byte is written.
        tokio::time::sleep(CUT_DELAY).await;
        sender.abort();
    });
    answer
}

fn endless() -> web::exchange::Response {
    let mut answer = web::exchange::Response::empty(http::StatusCode::OK);
    let (sender, body) = web::body::Body::channel(2);
    answer.body = body;
    tokio::spawn(async move {
        let chunk = Bytes::from(vec![b'-'; ENDLESS_CHUNK]);
        while sender.send(chunk.clone()).await.is_ok() {
            tokio::time::sleep(ENDLESS_PAUSE).await;
        }
    });
    answer
}
