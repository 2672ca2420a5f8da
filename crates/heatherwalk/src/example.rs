//! An example backend server, for `dev` and for tests. It is what an operator's own server does
//! towards its node: it answers HTTP and announces itself.

use std::{net, sync, time};

use bytes::Bytes;
use compact_str::CompactString;
use node::backend;
use tokio::{sync::watch, task};

/// Pause before an announcement is tried again after a failure.
const RETRY: time::Duration = time::Duration::from_millis(100);
/// How long an announcement may take.
const LIMIT: time::Duration = time::Duration::from_secs(2);

/// A result of this module.
pub type Result<T, E = web::server::Error> = std::result::Result<T, E>;

/// What the server is.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its service.
    pub service: CompactString,
    /// Its name in answers.
    pub name: CompactString,
    /// Where its node takes announcements.
    pub announce: net::SocketAddr,
    /// Requests that it runs at the same time.
    pub slots: u32,
}

/// A running example server. Dropping it ends it at once, as a crash does.
pub struct Server {
    web: web::server::Server,
    drain: watch::Sender<bool>,
    /// Aborted when it is dropped.
    announcing: task::JoinSet<()>,
}

impl Server {
    /// Binds a port, answers requests with `handler` and announces itself until it is dropped.
    pub async fn spawn<H, F>(settings: Settings, handler: H) -> Result<Server>
    where
        H: Fn(web::exchange::Request) -> F + Send + Sync + 'static,
        F: Future<Output = web::exchange::Answer> + Send + 'static,
    {
        let addr = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        let router = web::routers::every(handler);
        let limits = web::server::Limits::default();
        let web = web::server::Server::bind(addr, limits, router).await?;
        let mut announcing = task::JoinSet::new();
        let (drain, drained) = watch::channel(false);
        announcing.spawn(announce_until(settings, web.local_addr(), drained));
        Ok(Server { web, drain, announcing })
    }

    /// Where it listens.
    pub fn local_addr(&self) -> net::SocketAddr {
        self.web.local_addr()
    }

    /// Announces at once, and from now on, that the server is leaving.
    pub fn drain(&self) {
        self.drain.send_replace(true);
    }

    /// Ends the server as planned.
    pub async fn stop(mut self, limit: time::Duration) {
        self.announcing.shutdown().await;
        self.web.stop(limit).await;
    }
}

/// Answers with the server's name and the request's method and path.
pub fn echo(
    name: CompactString,
) -> impl Fn(web::exchange::Request) -> std::future::Ready<web::exchange::Answer> {
    let name = sync::Arc::new(name);
    move |request| {
        let text = format!("{name} answers {} {}\n", request.method, request.path);
        std::future::ready(web::exchange::Answer::text(http::StatusCode::OK, &text))
    }
}

/// Announces a server that listens at `addr` until the future is dropped.
pub async fn announce(settings: Settings, addr: net::SocketAddr) {
    let (_keep, drain) = watch::channel(false);
    announce_until(settings, addr, drain).await;
}

async fn announce_until(
    settings: Settings,
    addr: net::SocketAddr,
    mut drain: watch::Receiver<bool>,
) {
    let client = web::client::Client::new(web::client::Limits::default());
    let started = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    let mut announcement = backend::Announcement {
        service: settings.service,
        addr,
        incarnation: Some(u64::try_from(started.as_micros()).unwrap_or(u64::MAX)),
        instance: CompactString::default(),
        sequence: 0,
        cold_ms: None,
        slots: settings.slots,
        drain: false,
        token: None,
    };
    loop {
        announcement.drain = *drain.borrow_and_update();
        let pause = match send(&client, settings.announce, &announcement).await {
            Some(answer) => {
                announcement.token = answer.token;
                time::Duration::from_millis(answer.renew_ms)
            }
            None => RETRY,
        };
        // The server holds the sender for as long as this task runs.
        let _ = tokio::time::timeout(pause, drain.changed()).await;
    }
}

async fn send(
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
        deadline: tokio::time::Instant::now() + LIMIT,
        unframed: false,
        reuse: web::client::Reuse::Pooled,
    };
    let answer = client.send(call).await.ok()?;
    if answer.status != http::StatusCode::OK {
        return None;
    }
    let body = answer.body.whole(64 * 1024).await.ok()?;
    serde_json::from_slice(&body).ok()
}
