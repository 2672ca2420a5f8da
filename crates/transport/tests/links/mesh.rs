//! Two endpoints of a mesh, and the limits of the tests.

use std::{net, time};

use transport::{endpoint, identity, limits, links, streams};
use world::hosts;

/// Longer than any step takes, also on a busy machine.
pub const TIMEOUT: time::Duration = time::Duration::from_secs(20);

pub struct Mesh {
    pub authority: identity::Authority,
    pub server: endpoint::Endpoint,
    pub client: endpoint::Endpoint,
}

pub fn local() -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], 0))
}

pub fn bind(identity: &identity::Identity) -> endpoint::Endpoint {
    endpoint::Endpoint::bind(local(), identity, limits::Limits::default()).expect("binds")
}

pub fn addr(endpoint: &endpoint::Endpoint) -> net::SocketAddr {
    endpoint.local_addr().expect("bound")
}

impl Mesh {
    pub fn start() -> Mesh {
        let authority = identity::Authority::create().expect("creates");
        let server = bind(&authority.issue("skulte", hosts::Role::Control).expect("issues"));
        let client = bind(&authority.issue("jugla-1", hosts::Role::Node).expect("issues"));
        Mesh { authority, server, client }
    }

    pub async fn pair(&self) -> (links::Link, links::Link) {
        let near = self.client.connect(addr(&self.server), "skulte").await.expect("connects");
        let far = in_time(self.server.accept()).await.expect("accepts");
        (near, far)
    }
}

pub async fn in_time<T>(future: impl Future<Output = T>) -> T {
    tokio::time::timeout(TIMEOUT, future).await.expect("in time")
}

pub async fn next(link: &links::Link) -> (streams::Sender, streams::Receiver) {
    in_time(link.accept_stream()).await.expect("link is whole").expect("link is open")
}

/// Starts an endpoint that accepts links, in a runtime of its own that can be shut down without
/// notice to the peers.
pub async fn start_server(
    identity: identity::Identity,
) -> (tokio::runtime::Runtime, net::SocketAddr) {
    let starting = tokio::task::spawn_blocking(move || {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(1).enable_all().build().expect("starts");
        let endpoint = runtime.block_on(async { bind(&identity) });
        let at = addr(&endpoint);
        runtime.spawn(async move {
            let link = endpoint.accept().await;
            std::future::pending::<()>().await;
            drop((link, endpoint));
        });
        (runtime, at)
    });
    starting.await.expect("no panic")
}
