//! Running a role from its settings, with its metrics page, until the process is told to stop.

use std::{net, sync, time};

use transport::identity;

use crate::{metrics, settings};

/// An error of this module.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The control could not start.
    #[error(transparent)]
    Control(#[from] control::running::Error),
    /// The identity's files cannot be used.
    #[error(transparent)]
    Identity(#[from] identity::Error),
    /// The metrics could not be set up.
    #[error(transparent)]
    Metrics(#[from] metrics::Error),
    /// The node could not start.
    #[error(transparent)]
    Node(#[from] node::running::Error),
    /// The metrics port cannot be used.
    #[error(transparent)]
    Web(#[from] web::server::Error),
}

/// A result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Reads the files that prove who the process is.
pub fn load_identity(files: &settings::Identity) -> Result<identity::Identity> {
    Ok(identity::Identity::load(&files.certificate, &files.key, &files.authority)?)
}

/// Runs a control until `stop` completes, and ends it as planned.
pub async fn run_control(
    settings: control::settings::Settings,
    identity: &identity::Identity,
    stop: impl Future<Output = ()>,
) -> Result<()> {
    let (addr, limit) = (settings.metrics, settings.stop_limit);
    with_metrics(addr, limit, async |meter| {
        let instruments = control::instruments::Instruments::new(meter);
        let control = control::running::Control::spawn(settings, identity, instruments).await?;
        stop.await;
        control.stop().await;
        Ok(())
    })
    .await
}

/// Runs a node until `stop` completes, and ends it as planned.
pub async fn run_node(
    settings: node::settings::Settings,
    identity: &identity::Identity,
    stop: impl Future<Output = ()>,
) -> Result<()> {
    let (addr, limit) = (settings.metrics, settings.stop_limit);
    with_metrics(addr, limit, async |meter| {
        let instruments = node::instruments::Instruments::new(meter);
        let node = node::running::Node::spawn(settings, identity, instruments).await?;
        stop.await;
        node.stop().await;
        Ok(())
    })
    .await
}

/// Serves the metrics page while `role` runs.
async fn with_metrics(
    addr: net::SocketAddr,
    limit: time::Duration,
    role: impl AsyncFnOnce(&opentelemetry::metrics::Meter) -> Result<()>,
) -> Result<()> {
    let metrics = sync::Arc::new(metrics::Metrics::open()?);
    let page = bind_metrics(addr, sync::Arc::clone(&metrics)).await?;
    role(&metrics.meter()).await?;
    page.stop(limit).await;
    Ok(())
}

/// Serves the metrics page.
async fn bind_metrics(
    addr: net::SocketAddr,
    metrics: sync::Arc<metrics::Metrics>,
) -> Result<web::server::Server> {
    let router = web::routers::metrics(move |_| {
        let answer = match metrics.render() {
            Ok(page) => {
                let kind = metrics::CONTENT_TYPE.parse().unwrap_or(mime::TEXT_PLAIN_UTF_8);
                web::exchange::Answer::full(http::StatusCode::OK, &kind, page.into())
            }
            Err(err) => {
                let status = http::StatusCode::INTERNAL_SERVER_ERROR;
                web::exchange::Answer::text(status, &format!("{err}\n"))
            }
        };
        std::future::ready(answer)
    });
    Ok(web::server::Server::bind(addr, web::server::Limits::default(), router).await?)
}
