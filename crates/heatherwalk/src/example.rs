//! An example backend server for `heatherwalk dev` and for tests. It does what every backend server
//! has to do beside its node: it serves HTTP requests and announces itself.

use std::{net, pin::Pin, sync, time};

use bytes::Bytes;
use compact_str::CompactString;
use node::backend;
use tokio::{sync::watch, task};

/// Pause before a failed announcement is sent again.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// The longest wait for the answer to an announcement.
const ANNOUNCE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// The header that names a request to its backend server, which repeats it in the answer.
const PARENT: &str = "heatherwalk-parent";

/// The result of starting an example server.
pub type Result<T, E = web::server::Error> = std::result::Result<T, E>;

/// The settings of an example server.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The service that it announces.
    pub service: CompactString,
    /// The server's name. It is not sent in announcements.
    pub name: CompactString,
    /// The address on which its node takes announcements.
    pub announce: net::SocketAddr,
    /// How many requests it processes at the same time, as announced. The server itself has no
    /// limit.
    pub slots: u32,
}

/// A running example server. Dropping it closes its connections at once, as a crash does.
pub struct Server {
    web: web::server::Server,
    drain: watch::Sender<bool>,
    /// The task that announces the server. It is aborted when the set is dropped.
    announcing: task::JoinSet<()>,
}

impl Server {
    /// Starts a server on a free port of loopback. It answers requests with `handler` and announces
    /// itself until it is stopped or dropped.
    pub async fn spawn<H, F>(settings: Settings, handler: H) -> Result<Server>
    where
        H: Fn(web::exchange::Request) -> F + Send + Sync + 'static,
        F: Future<Output = web::exchange::Response> + Send + 'static,
    {
        Server::spawn_version(settings, CompactString::default(), handler).await
    }

    /// Starts a server like [`Server::spawn`], which announces this software version.
    pub async fn spawn_version<H, F>(
        settings: Settings,
        version: CompactString,
        handler: H,
    ) -> Result<Server>
    where
        H: Fn(web::exchange::Request) -> F + Send + Sync + 'static,
        F: Future<Output = web::exchange::Response> + Send + 'static,
    {
        let addr = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        let router = web::routers::catch_all(name_answers(handler));
        let limits = web::server::Limits::default();
        let web = web::server::Server::bind(addr, limits, router).await?;
        let mut announcing = task::JoinSet::new();
        let (drain, drained) = watch::channel(false);
        let announce = settings.announce;
        let announcement =
            backend::Announcement { version, ..announcement(settings, web.local_addr()) };
        announcing.spawn(renew(announce, announcement, drained));
        Ok(Server { web, drain, announcing })
    }

    /// The address on which it listens.
    pub fn local_addr(&self) -> net::SocketAddr {
        self.web.local_addr()
    }

    /// Announces at once, and in every later announcement, that the server is draining.
    pub fn drain(&self) {
        self.drain.send_replace(true);
    }

    /// Ends the announcements, then stops the server, which waits up to `limit` for requests in
    /// flight.
    pub async fn stop(mut self, limit: time::Duration) {
        self.announcing.shutdown().await;
        self.web.stop(limit).await;
    }
}

/// A handler whose answers name their requests, so that their connections are used again.
fn name_answers<H, F>(
    handler: H,
) -> impl Fn(web::exchange::Request) -> Pin<Box<dyn Future<Output = web::exchange::Response> + Send>>
where
    H: Fn(web::exchange::Request) -> F + Send + Sync + 'static,
    F: Future<Output = web::exchange::Response> + Send + 'static,
{
    move |request| {
        let parent = request.headers.get(PARENT).cloned();
        let answer = handler(request);
        Box::pin(async move {
            let mut answer = answer.await;
            if let Some(parent) = parent {
                answer.headers.insert(PARENT, parent);
            }
            answer
        })
    }
}

/// A handler that answers with `name` and the request's method and path.
pub fn echo(
    name: CompactString,
) -> impl Fn(web::exchange::Request) -> std::future::Ready<web::exchange::Response> {
    let name = sync::Arc::new(name);
    move |request| {
        let text = format!("{name} answers {} {}\n", request.method, request.path);
        std::future::ready(web::exchange::Response::text(http::StatusCode::OK, &text))
    }
}

/// Announces a server that listens at `addr`, again and again until the future is dropped. For
/// tests whose server is not a [`Server`].
pub async fn announce(settings: Settings, addr: net::SocketAddr) {
    let (_keep, drain) = watch::channel(false);
    announce_until(settings, addr, drain).await;
}

/// Announces a server that listens at `addr`, again and again until the future is dropped, and says
/// that it is draining while `drain` is true. The sender of `drain` has to outlive the future.
pub async fn announce_until(
    settings: Settings,
    addr: net::SocketAddr,
    drain: watch::Receiver<bool>,
) {
    let announce = settings.announce;
    renew(announce, announcement(settings, addr), drain).await;
}

/// The announcement of a server that starts now and listens at `addr`.
pub fn announcement(settings: Settings, addr: net::SocketAddr) -> backend::Announcement {
    let started = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    backend::Announcement {
        service: settings.service,
        addr,
        incarnation: Some(u64::try_from(started.as_micros()).unwrap_or(u64::MAX)),
        instance: CompactString::default(),
        sequence: 0,
        cold_ms: None,
        slots: settings.slots,
        drain: false,
        token: None,
        version: CompactString::default(),
    }
}

/// Sends an announcement again and again until the future is dropped, like [`announce_until`].
pub async fn renew(
    to: net::SocketAddr,
    mut announcement: backend::Announcement,
    mut drain: watch::Receiver<bool>,
) {
    let client = web::client::Client::new(web::client::Limits::default());
    loop {
        announcement.drain = *drain.borrow_and_update();
        let pause = match send(&client, to, &announcement).await {
            Some(answer) => {
                announcement.token = answer.token;
                time::Duration::from_millis(answer.renew_ms)
            }
            None => RETRY_INTERVAL,
        };
        // The sender outlives this task; if it were dropped, `changed` would fail without a pause.
        let _ = tokio::time::timeout(pause, drain.changed()).await;
    }
}

/// Sends an announcement once. Returns the answer of a node that accepts it.
pub async fn send(
    client: &web::client::Client,
    to: net::SocketAddr,
    announcement: &backend::Announcement,
) -> Option<backend::AnnounceAnswer> {
    let body = serde_json::to_vec(announcement).ok()?;
    let call = web::client::Call {
        addr: to,
        method: http::Method::POST,
        path: "/announce".into(),
        headers: http::HeaderMap::new(),
        body: web::body::Body::full(Bytes::from(body)),
        deadline: tokio::time::Instant::now() + ANNOUNCE_TIMEOUT,
        close_delimited: false,
        reuse: web::client::Reuse::Allowed,
    };
    let answer = client.send(call).await.ok()?;
    if answer.status != http::StatusCode::OK {
        return None;
    }
    let body = answer.body.collect(64 * 1024).await.ok()?;
    serde_json::from_slice(&body).ok()
}
