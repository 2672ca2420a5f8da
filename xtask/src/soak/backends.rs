//! Stand-in backend servers that announce themselves, record what they run, and misbehave.

use std::{collections, net, sync, time};

use bytes::Bytes;
use compact_str::CompactString;
use heatherwalk::example;
use tokio::{sync::watch, task};

use super::{history, host_set, hosts, ledger, schedule, settings, tcp_relay, teams};

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

/// How long a crashed server that nothing else holds back stays away.
const RESTART_DELAY: time::Duration = time::Duration::from_millis(300);
/// How long an answer to a leave is waited for.
const LEAVE_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// The pause between two late announcements.
const LATE_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// How long after the acknowledgement of its leave a server may still get requests: 2 s, and what
/// a busy machine adds.
const MAX_LEAVING: time::Duration = time::Duration::from_millis(3_500);

/// How a backend server misbehaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Behaviour {
    /// Runs requests, and ends its connections and announcements at once until it comes back.
    Crash,
    /// Ends in the middle of each answer, and comes back a moment later.
    CrashWithin,
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
    /// Leaves for good, goes on serving, and sends announcements from before the leave.
    Leave,
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
    host: host_set::HostId,
    ledger: sync::Arc<ledger::Ledger>,
    history: sync::Arc<history::History>,
    /// When its node acknowledged that it leaves.
    left: sync::Mutex<Option<time::Instant>>,
    /// Ends the server.
    crash: tokio::sync::Notify,
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
    /// Starts a backend server of `service` beside `node`.
    pub(crate) async fn spawn(
        service: settings::Service,
        node: &hosts::Host,
        ledger: sync::Arc<ledger::Ledger>,
        history: sync::Arc<history::History>,
    ) -> std::io::Result<Backend> {
        let listen = hosts::free_port();
        let inbound = sync::Arc::new(tcp_relay::Relay::spawn(listen).await?);
        let outbound = tcp_relay::Relay::spawn(node.addrs.announce).await?;
        let (behaviours, drain) = (watch::Sender::default(), watch::Sender::default());
        let shared = sync::Arc::new(Shared {
            service,
            host: node.id,
            ledger,
            history,
            left: sync::Mutex::default(),
            crash: tokio::sync::Notify::new(),
            behaviours,
            drain,
            listen,
        });
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

impl Shared {
    /// Records a request that arrives though the server has left. A node that was suspended, or
    /// could not be reached by the server, may have had it before.
    fn check_left(&self, path: &str) {
        let left = *self.left.lock().expect("no holder panics");
        let Some(left) = left.filter(|it| it.elapsed() > MAX_LEAVING) else { return };
        let hosts = host_set::HostSet::from(self.host);
        if !self.history.was(history::Cause::Pause, hosts, left) {
            let since = left.elapsed();
            self.history.violate(format!("{path} reaches {} {since:?} after its leave", self.host));
        }
    }
}

/// What a request says of its caller's team.
struct TeamFields {
    /// By the caller.
    claimed: CompactString,
    /// By the node.
    named: CompactString,
    /// Whether the API key was passed on.
    has_key: bool,
}

impl TeamFields {
    fn read(headers: &http::HeaderMap) -> TeamFields {
        let text = |name: &str| {
            let values =
                headers.get_all(name).iter().map(|it| String::from_utf8_lossy(it.as_bytes()));
            CompactString::from(values.collect::<Vec<_>>().join(","))
        };
        TeamFields {
            claimed: text(teams::CLAIMED),
            named: text(teams::TEAM),
            has_key: headers.contains_key(http::header::AUTHORIZATION),
        }
    }
}

impl Shared {
    /// Records a request that comes with its key, or with another team than its caller's.
    fn check_team(&self, path: &str, team: &TeamFields) {
        if team.has_key {
            self.history.violate(format!("{path} reaches {} with its key", self.host));
        }
        if team.named != team.claimed || team.named.is_empty() {
            let TeamFields { claimed, named, .. } = team;
            let text = format!("{path} of team {claimed:?} reaches {} as of {named:?}", self.host);
            self.history.violate(text);
        }
        if team.named == teams::Team::Limited.name() {
            self.ledger.limited.record();
        }
    }
}

/// Leaves, and sends announcements from before that until the fault ends.
async fn leave(
    shared: &Shared,
    announce: net::SocketAddr,
    announcement: &node::backend::Announcement,
) {
    let client = web::client::Client::new(web::client::Limits::default());
    let mut changes = shared.behaviours.subscribe();
    let late = async {
        while !send_leave(&client, announce, &announcement.instance).await {
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        *shared.left.lock().expect("no holder panics") = Some(time::Instant::now());
        loop {
            tokio::time::sleep(LATE_INTERVAL).await;
            let _ = example::send(&client, announce, announcement).await;
        }
    };
    tokio::select! {
        () = late => {}
        _ = changes.wait_for(|it| !it.values().any(|it| *it == Behaviour::Leave)) => {}
    }
    *shared.left.lock().expect("no holder panics") = None;
}

async fn send_leave(client: &web::client::Client, announce: net::SocketAddr, name: &str) -> bool {
    let call = web::client::Call {
        addr: announce,
        method: http::Method::POST,
        path: format!("/leave?of={name}").into(),
        headers: http::HeaderMap::new(),
        body: web::body::Body::empty(),
        deadline: tokio::time::Instant::now() + LEAVE_TIMEOUT,
        close_delimited: false,
        reuse: web::client::Reuse::Never,
    };
    client.send(call).await.is_ok_and(|it| it.status == http::StatusCode::OK)
}

/// Why a server ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Crash,
    CrashWithin,
    Leave,
}

/// Runs the server, and replaces it after each crash.
async fn supervise(shared: sync::Arc<Shared>, addr: net::SocketAddr, announce: net::SocketAddr) {
    let mut changes = shared.behaviours.subscribe();
    let mut leaving = shared.behaviours.subscribe();
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
        let settings = example::Settings {
            service: shared.service.name.into(),
            name: shared.service.name.into(),
            announce,
            slots: settings::SLOTS,
        };
        let mut announcement = example::announcement(settings, addr);
        announcement.instance =
            compact_str::format_compact!("{}", announcement.incarnation.unwrap_or_default());
        let leaves = |it: &collections::BTreeMap<_, Behaviour>| {
            it.values().any(|it| *it == Behaviour::Leave)
        };
        let renewed = example::renew(announce, announcement.clone(), shared.drain.subscribe());
        let end = tokio::select! {
            () = renewed => End::Crash,
            _ = changes.wait_for(crashed) => End::Crash,
            () = shared.crash.notified() => End::CrashWithin,
            _ = leaving.wait_for(leaves) => End::Leave,
        };
        if end == End::Leave {
            leave(&shared, announce, &announcement).await;
        }
        drop(server);
        if end == End::CrashWithin {
            tokio::time::sleep(RESTART_DELAY).await;
        }
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
    let request_path = request.path.clone();
    let team = TeamFields::read(&request.headers);
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
    shared.check_left(&request_path);
    shared.check_team(&request_path, &team);
    shared.ledger.record_run(send);
    tokio::time::sleep(work.duration).await;
    let bytes = work.answer(shared.service);
    let behaviours: Vec<_> = shared.behaviours.borrow().values().copied().collect();
    for behaviour in behaviours {
        match behaviour {
            Behaviour::CrashWithin => {
                let crashing = sync::Arc::clone(&shared);
                tokio::spawn(async move {
                    tokio::time::sleep(CUT_DELAY).await;
                    crashing.crash.notify_one();
                });
                return cut(&bytes);
            }
            Behaviour::Cut => return cut(&bytes),
            Behaviour::Endless => return endless(),
            Behaviour::Freeze => return std::future::pending().await,
            Behaviour::Late(millis) => {
                tokio::time::sleep(time::Duration::from_millis(millis)).await;
            }
            Behaviour::Crash | Behaviour::Drain | Behaviour::Leave | Behaviour::Shed => {}
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
