//! The exchange of host records over HTTP: the server of a control that has not started, and the
//! request to a seed.

use std::{net, sync, time};

use compact_str::{CompactString, format_compact};
use protocol::operators;
use world::{bounds, log_limits, time::Time};

use super::{ASK_TIMEOUT, PeerTable, Result, records};

/// The largest list of controls, in bytes; 2,048 controls fit.
const MAX_BODY: usize = 1024 * 1024;

/// Answers requests for the list of controls on the operators' port until the control starts.
pub(super) struct Server {
    web: web::server::Server,
    shared: sync::Arc<Shared>,
}

struct Shared {
    table: sync::Mutex<PeerTable>,
    /// Limits the log lines about refused introductions.
    refusals: sync::Mutex<log_limits::LogLimit>,
    started: time::Instant,
}

impl Server {
    /// Binds the port and answers with the controls of `table`, to which each control that asks is
    /// added.
    pub(super) async fn bind(addr: net::SocketAddr, table: PeerTable) -> Result<Server> {
        let shared = sync::Arc::new(Shared {
            table: sync::Mutex::new(table),
            refusals: sync::Mutex::default(),
            started: time::Instant::now(),
        });
        let served = sync::Arc::clone(&shared);
        let router =
            web::routers::catch_all(move |request| answer(sync::Arc::clone(&served), request));
        let web = web::server::Server::bind(addr, web::server::Limits::default(), router).await?;
        Ok(Server { web, shared })
    }

    /// Adds the controls that `seed` returned.
    pub(super) fn merge(&self, seed: net::SocketAddr, hosts: operators::ControlList) {
        log::debug!("seed {seed} returned {} controls", hosts.controls.len());
        lock(&self.shared.table).merge(seed, hosts);
    }

    /// The complete list of controls, or `None` while it is not known.
    pub(super) fn complete_list(&self, elapsed: time::Duration) -> Option<operators::ControlList> {
        lock(&self.shared.table).complete_list(elapsed)
    }

    /// Stops the server. The port is free when this returns.
    pub(super) async fn stop(self) {
        self.web.stop(time::Duration::ZERO).await;
    }
}

/// Asks the control at `addr` for the controls that it knows, and sends it the record `me` of the
/// control that asks. Returns `None` if there is no valid answer in time.
pub(super) async fn ask(
    client: &web::client::Client,
    addr: net::SocketAddr,
    me: Option<&operators::ControlRecord>,
) -> Option<operators::ControlList> {
    let body = serde_json::to_vec(&me).ok()?;
    let call = web::client::Call {
        addr,
        method: http::Method::POST,
        path: operators::HOSTS_PATH.into(),
        headers: http::HeaderMap::new(),
        body: web::body::Body::full(body.into()),
        deadline: tokio::time::Instant::now() + ASK_TIMEOUT,
        close_delimited: false,
        reuse: web::client::Reuse::Never,
    };
    let answer = client.send(call).await;
    let answer = answer
        .inspect_err(|err| log::debug!("no list of controls from {addr}; it is asked again: {err}"))
        .ok()?;
    let body = answer.body.collect(MAX_BODY).await.ok()?;
    let hosts: Result<operators::ControlList, _> = serde_json::from_slice(&body);
    let mut hosts = hosts
        .inspect_err(|err| log::debug!("no list of controls from {addr}; it is asked again: {err}"))
        .ok()?;
    records::retain_valid(&mut hosts, addr);
    if hosts.formed && !records::is_complete(&hosts) {
        log::debug!("the list of controls from {addr} has no voter; it is asked again");
        return None;
    }
    Some(hosts)
}

async fn answer(
    shared: sync::Arc<Shared>,
    request: web::exchange::Request,
) -> web::exchange::Response {
    if request.path != operators::HOSTS_PATH {
        let text = "this control is starting and has not found the others yet; ask again\n";
        return web::exchange::Response::text(http::StatusCode::SERVICE_UNAVAILABLE, text);
    }
    if let Err(detail) = introduce(&shared, request).await {
        let now = Time::ZERO + shared.started.elapsed();
        if let Some(skipped) = lock(&shared.refusals).count(now) {
            let detail = bounds::excerpt(&detail);
            log::warn!(
                "refused the introduction of a control, and {skipped} others before it: {detail}"
            );
        }
    }
    let view = lock(&shared.table).snapshot();
    let bytes = serde_json::to_vec(&view).expect("records have text keys only");
    web::exchange::Response::full(http::StatusCode::OK, &mime::APPLICATION_JSON, bytes.into())
}

/// Adds the control that a request introduces, if it does. The error says why it is refused.
async fn introduce(shared: &Shared, request: web::exchange::Request) -> Result<(), CompactString> {
    let body = request.body.collect(MAX_BODY).await.map_err(|err| format_compact!("{err}"))?;
    if body.is_empty() {
        return Ok(());
    }
    let record: Option<operators::ControlRecord> =
        serde_json::from_slice(&body).map_err(|err| format_compact!("{err}"))?;
    let Some(record) = record else { return Ok(()) };
    let name = record.name.clone();
    let introduced = lock(&shared.table).introduce(record, request.remote);
    introduced.map_err(|err| format_compact!("{err}; it says that it is {name}"))
}

fn lock<T>(table: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    // Each change leaves the table consistent, even if a thread panicked.
    table.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
