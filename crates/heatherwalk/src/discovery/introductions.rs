//! Introductions over HTTP: the port of a control that has not started, and the question.

use std::{net, sync, time};

use protocol::operators;

use super::{ASK_LIMIT, PeerTable, Result};

/// The largest list of controls in bytes; 4,096 controls fit.
const MAX_BODY: usize = 1024 * 1024;

/// Answers those who look for the mesh until the control starts.
pub(super) struct Server {
    web: web::server::Server,
    table: sync::Arc<sync::Mutex<PeerTable>>,
}

impl Server {
    /// Binds the port.
    pub(super) async fn bind(addr: net::SocketAddr, table: PeerTable) -> Result<Server> {
        let table = sync::Arc::new(sync::Mutex::new(table));
        let shared = sync::Arc::clone(&table);
        let router = web::routers::every(move |request| answer(sync::Arc::clone(&shared), request));
        let web = web::server::Server::bind(addr, web::server::Limits::default(), router).await?;
        Ok(Server { web, table })
    }

    /// A seed has answered.
    pub(super) fn merge(&self, seed: net::SocketAddr, hosts: operators::Hosts) {
        log::debug!("seed {seed} knows {} controls", hosts.controls.len());
        lock(&self.table).merge(hosts);
    }

    /// All controls, when enough is known.
    pub(super) fn complete_list(&self, elapsed: time::Duration) -> Option<operators::Hosts> {
        lock(&self.table).complete_list(elapsed)
    }

    /// Gives the port free.
    pub(super) async fn stop(self) {
        self.web.stop(time::Duration::ZERO).await;
    }
}

/// Asks a control which controls it knows, and introduces the one that asks.
pub(super) async fn ask(
    client: &web::client::Client,
    addr: net::SocketAddr,
    me: Option<&operators::HostRecord>,
) -> Option<operators::Hosts> {
    let body = serde_json::to_vec(&me).ok()?;
    let call = web::client::Call {
        addr,
        method: http::Method::POST,
        path: operators::HOSTS_PATH.into(),
        headers: http::HeaderMap::new(),
        body: web::body::Body::full(body.into()),
        deadline: tokio::time::Instant::now() + ASK_LIMIT,
        unframed: false,
        reuse: web::client::Reuse::Fresh,
    };
    let answer = client.send(call).await;
    let answer = answer.inspect_err(|err| log::debug!("{addr} was asked for hosts: {err}")).ok()?;
    let body = answer.body.whole(MAX_BODY).await.ok()?;
    serde_json::from_slice(&body).ok()
}

async fn answer(
    table: sync::Arc<sync::Mutex<PeerTable>>,
    request: web::exchange::Request,
) -> web::exchange::Answer {
    if request.path != operators::HOSTS_PATH {
        let text = "this control looks for the others; ask again\n";
        return web::exchange::Answer::text(http::StatusCode::SERVICE_UNAVAILABLE, text);
    }
    let body = request.body.whole(MAX_BODY).await.unwrap_or_default();
    let record: Option<operators::HostRecord> = serde_json::from_slice(&body).ok().flatten();
    let view = {
        let mut table = lock(&table);
        if let Some(record) = record {
            table.insert(record);
        }
        table.snapshot()
    };
    let bytes = serde_json::to_vec(&view).expect("records have text keys only");
    web::exchange::Answer::full(http::StatusCode::OK, &mime::APPLICATION_JSON, bytes.into())
}

fn lock(table: &sync::Mutex<PeerTable>) -> sync::MutexGuard<'_, PeerTable> {
    // Each change is one insertion, so a poisoned lock is usable.
    table.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
