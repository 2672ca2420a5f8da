//! The exchange of host records over HTTP: the server of a control that has not started, and the
//! request to a seed.

use std::{net, sync, time};

use protocol::operators;

use super::{ASK_TIMEOUT, PeerTable, Result};

/// The largest list of controls, in bytes; 4,096 controls fit.
const MAX_BODY: usize = 1024 * 1024;

/// Answers requests for the list of controls on the operators' port until the control starts.
pub(super) struct Server {
    web: web::server::Server,
    table: sync::Arc<sync::Mutex<PeerTable>>,
}

impl Server {
    /// Binds the port and answers with the controls of `table`, to which each control that asks is
    /// added.
    pub(super) async fn bind(addr: net::SocketAddr, table: PeerTable) -> Result<Server> {
        let table = sync::Arc::new(sync::Mutex::new(table));
        let shared = sync::Arc::clone(&table);
        let router =
            web::routers::catch_all(move |request| answer(sync::Arc::clone(&shared), request));
        let web = web::server::Server::bind(addr, web::server::Limits::default(), router).await?;
        Ok(Server { web, table })
    }

    /// Adds the controls that `seed` returned.
    pub(super) fn merge(&self, seed: net::SocketAddr, hosts: operators::ControlList) {
        log::debug!("seed {seed} returned {} controls", hosts.controls.len());
        lock(&self.table).merge(hosts);
    }

    /// The complete list of controls, or `None` while it is not known.
    pub(super) fn complete_list(&self, elapsed: time::Duration) -> Option<operators::ControlList> {
        lock(&self.table).complete_list(elapsed)
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
    serde_json::from_slice(&body).ok()
}

async fn answer(
    table: sync::Arc<sync::Mutex<PeerTable>>,
    request: web::exchange::Request,
) -> web::exchange::Response {
    if request.path != operators::HOSTS_PATH {
        let text = "this control is starting and has not found the others yet; ask again\n";
        return web::exchange::Response::text(http::StatusCode::SERVICE_UNAVAILABLE, text);
    }
    let body = request.body.collect(MAX_BODY).await.unwrap_or_default();
    let record: Option<operators::ControlRecord> = serde_json::from_slice(&body).ok().flatten();
    let view = {
        let mut table = lock(&table);
        if let Some(record) = record {
            table.insert(record);
        }
        table.snapshot()
    };
    let bytes = serde_json::to_vec(&view).expect("records have text keys only");
    web::exchange::Response::full(http::StatusCode::OK, &mime::APPLICATION_JSON, bytes.into())
}

fn lock(table: &sync::Mutex<PeerTable>) -> sync::MutexGuard<'_, PeerTable> {
    // Each change is one insertion, so the table is consistent even if a thread panicked.
    table.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
