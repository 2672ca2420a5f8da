//! Runs a control or a node, with its metrics page, until the process is asked to stop.

use std::{net, sync, time};

use protocol::operators as messages;
use tokio::{sync::watch, task};
use transport::identity;
use world::{hosts, mesh};

use crate::{discovery, metrics, pages, settings};

/// Why a role did not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The control could not start.
    #[error(transparent)]
    Control(#[from] control::running::Error),
    /// The control could not discover the other controls.
    #[error(transparent)]
    Discovery(#[from] discovery::Error),
    /// The certificate or key cannot be read, or does not fit the authority.
    #[error(transparent)]
    Identity(#[from] identity::Error),
    /// The metrics could not be set up.
    #[error(transparent)]
    Metrics(#[from] metrics::Error),
    /// The node could not start.
    #[error(transparent)]
    Node(#[from] node::running::Error),
    /// The port of the metrics page cannot be bound.
    #[error(transparent)]
    Web(#[from] web::server::Error),
}

/// The result of starting or running a role.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Loads the certificate and key with which the process of `host` proves its identity to others.
/// With a shared secret, the certificate for `host` and `role` is derived from the secret instead.
pub fn load_identity(
    settings: &settings::Identity,
    host: &str,
    role: hosts::Role,
) -> Result<identity::Identity> {
    Ok(match settings {
        settings::Identity::Files { authority, certificate, key } => {
            identity::Identity::load(certificate, key, authority)?
        }
        settings::Identity::Secret(secret) => {
            identity::Authority::from_secret(secret)?.issue(host, role)?
        }
    })
}

/// Adds the controls that discovery finds to the settings of a control: their hosts to the mesh,
/// and the voters among them to the groups. Returns when the list of controls is complete.
pub async fn find_peers(
    settings: &mut control::settings::Settings,
    seeds: &discovery::Seeds,
) -> Result<()> {
    let mesh = &settings.mesh;
    let host = mesh.host(settings.me).expect("the settings contain this host");
    let centre = mesh.data_centre(host.data_centre).expect("a host has a data centre");
    let region = mesh.region(centre.region).expect("a data centre has a region");
    let me = messages::ControlRecord {
        name: host.name.clone(),
        region: region.name.clone(),
        data_centre: centre.name.clone(),
        addr: host.addr,
        operators: Some(settings.operators_addr),
        votes: false,
    };
    let name = me.name.clone();
    let found = discovery::join(seeds, me, settings.operators_addr, &settings.data_folder).await?;
    for record in found.controls {
        let key = put_control(&mut settings.mesh, &record);
        if record.votes {
            settings.config_voters.push(key);
            settings.claims_voters.extend(seeds.claims.then_some(key));
        }
        if record.name == name {
            settings.me = key;
        }
    }
    Ok(())
}

/// Adds the controls that discovery finds to the mesh in a node's settings. Returns when the list
/// of controls is complete.
pub async fn find_controls(settings: &mut node::settings::Settings, seeds: &discovery::Seeds) {
    for record in discovery::find_controls(seeds).await.controls {
        put_control(&mut settings.mesh, &record);
    }
}

fn put_control(mesh: &mut mesh::Mesh, record: &messages::ControlRecord) -> hosts::HostKey {
    mesh.put_control(&record.name, &record.region, &record.data_centre, record.addr)
}

/// Runs a control until `stop` completes, then shuts it down gracefully. With seeds, it asks them
/// for other controls whenever it knows no leader.
pub async fn run_control(
    settings: control::settings::Settings,
    identity: &identity::Identity,
    seeds: Option<watch::Receiver<discovery::Seeds>>,
    stop: impl Future<Output = ()>,
) -> Result<()> {
    let (addr, limit) = (settings.metrics, settings.stop_limit);
    with_pages(addr, limit, async |meter, _| {
        let instruments = control::instruments::Instruments::new(meter);
        let control = control::running::Control::spawn(settings, identity, instruments).await?;
        let mut tasks = task::JoinSet::new();
        if let Some(seeds) = seeds {
            tasks.spawn(discovery::follow_control(control.peers(), seeds));
        }
        stop.await;
        tasks.shutdown().await;
        control.stop().await;
        Ok(())
    })
    .await
}

/// Runs a node until `stop` completes, then shuts it down gracefully. With seeds, it asks them for
/// controls whenever it reaches none.
pub async fn run_node(
    settings: node::settings::Settings,
    identity: &identity::Identity,
    seeds: Option<watch::Receiver<discovery::Seeds>>,
    stop: impl Future<Output = ()>,
) -> Result<()> {
    let (addr, limit) = (settings.metrics, settings.stop_limit);
    with_pages(addr, limit, async |meter, explainer| {
        let instruments = node::instruments::Instruments::new(meter);
        let node = node::running::Node::spawn(settings, identity, instruments).await?;
        // Set once: the process runs one node.
        let _ = explainer.set(node.explainer());
        let mut tasks = task::JoinSet::new();
        if let Some(seeds) = seeds {
            tasks.spawn(discovery::follow_node(node.controls(), seeds));
        }
        stop.await;
        tasks.shutdown().await;
        node.stop().await;
        Ok(())
    })
    .await
}

/// Serves the pages for operations at `addr` while `role` runs. The server's stop waits up to
/// `limit` for requests in flight.
async fn with_pages(
    addr: net::SocketAddr,
    limit: time::Duration,
    role: impl AsyncFnOnce(&opentelemetry::metrics::Meter, &pages::ExplainerCell) -> Result<()>,
) -> Result<()> {
    let metrics = sync::Arc::new(metrics::Metrics::new()?);
    let explainer = pages::ExplainerCell::default();
    let page = pages::serve(addr, sync::Arc::clone(&metrics), explainer.clone()).await?;
    role(&metrics.meter(), &explainer).await?;
    page.stop(limit).await;
    Ok(())
}
