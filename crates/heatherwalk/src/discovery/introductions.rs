//! Introductions over HTTP: the port of a control that has not started, and the question.

use std::{net, sync, time};

use protocol::operators;

use super::{ASK_LIMIT, Gathering, Result};

/// The largest list of controls in bytes; 4,096 controls fit.
const MAX_BODY: usize = 1024 * 1024;

/// Answers those who look for the mesh until the control starts.
pub(super) struct Server {
    web: web::server::Server,
    gathering: sync::Arc<sync::Mutex<Gathering>>,
}

impl Server {
    /// Binds the port.
    pub(super) async fn bind(addr: net::SocketAddr, gathering: Gathering) -> Result<Server> {
        let gathering = sync::Arc::new(sync::Mutex::new(gathering));
        let shared = sync::Arc::clone(&gathering);
        let router = web::routers::every(move |request| answer(sync::Arc::clone(&shared), request));
        let web = web::server::Server::bind(addr, web::server::Limits::default(), router).await?;
        Ok(Server { web, gathering })
    }

    /// A seed has answered.
    pub(super) fn heard(&self, seed: net::SocketAddr, hosts: operators::ControlList) {
        log::debug!("seed {seed} knows {} controls", hosts.controls.len());
        lock(&self.gathering).heard(hosts);
    }

    /// All controls, when enough is known.
    pub(super) fn result(&self, elapsed: time::Duration) -> Option<operators::ControlList> {
        lock(&self.gathering).result(elapsed)
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
    me: Option<&operators::ControlRecord>,
) -> Option<operators::ControlList> {
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
    gathering: sync::Arc<sync::Mutex<Gathering>>,
    request: web::exchange::Request,
) -> web::exchange::Answer {
    if request.path != operators::HOSTS_PATH {
        let text = "this control looks for the others; ask again\n";
        return web::exchange::Answer::text(http::StatusCode::SERVICE_UNAVAILABLE, text);
    }
    let body = request.body.whole(MAX_BODY).await.unwrap_or_default();
    let record: Option<operators::ControlRecord> = serde_json::from_slice(&body).ok().flatten();
    let view = {
        let mut gathering = lock(&gathering);
        if let Some(record) = record {
            gathering.introduce(record);
        }
        gathering.view()
    };
    let bytes = serde_json::to_vec(&view).expect("records have text keys only");
    web::exchange::Answer::full(http::StatusCode::OK, &mime::APPLICATION_JSON, bytes.into())
}

fn lock(gathering: &sync::Mutex<Gathering>) -> sync::MutexGuard<'_, Gathering> {
    // Each change is one insertion, so a poisoned lock is usable.
    gathering.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
