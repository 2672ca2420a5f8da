//! Serves the streams that peers open, each in a task of its own.

use tokio::task;

use crate::{endpoint, links, pool, streams};

/// Accepts links until the endpoint closes, and calls `handler` for each stream that a peer opens.
/// The task of a stream is aborted when its link ends, and all tasks when the returned future is
/// dropped or completes.
pub async fn serve<H, F>(endpoint: endpoint::Endpoint, handler: H)
where
    H: Fn(links::Link, streams::Sender, streams::Receiver) -> F + Clone + Send + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let mut tasks = task::JoinSet::new();
    while let Some(link) = endpoint.accept().await {
        tasks.spawn(serve_link(link, handler.clone()));
        while tasks.try_join_next().is_some() {}
    }
}

/// Serves the streams of peers like [`serve`], also on the links that `links` opens, until the
/// endpoint closes. The links that peers open are put into the pool, so that two processes need one
/// link, whichever of them opens it.
pub async fn serve_pool<H, F>(links: pool::LinkPool, mut dialled: pool::Dialled, handler: H)
where
    H: Fn(links::Link, streams::Sender, streams::Receiver) -> F + Clone + Send + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let mut tasks = task::JoinSet::new();
    loop {
        let link = tokio::select! {
            accepted = links.endpoint().accept() => {
                if let Some(link) = &accepted {
                    links.adopt(link);
                }
                accepted
            }
            opened = dialled.next() => opened,
        };
        let Some(link) = link else { return };
        tasks.spawn(serve_link(link, handler.clone()));
        while tasks.try_join_next().is_some() {}
    }
}

async fn serve_link<H, F>(link: links::Link, handler: H)
where
    H: Fn(links::Link, streams::Sender, streams::Receiver) -> F,
    F: Future<Output = ()> + Send + 'static,
{
    let mut tasks = task::JoinSet::new();
    loop {
        let stream = tokio::select! {
            it = link.accept_stream() => it,
            Some(_) = tasks.join_next() => continue,
        };
        match stream {
            Ok(Some((sender, receiver))) => {
                _ = tasks.spawn(handler(link.clone(), sender, receiver))
            }
            Ok(None) => return,
            Err(err) => {
                log::debug!("stopped serving the link to {}: {err}", link.host());
                return;
            }
        }
    }
}
