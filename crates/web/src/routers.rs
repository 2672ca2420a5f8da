//! Gotham routers whose handlers are plain closures.

use std::{panic, pin::Pin, sync};

use gotham::{
    handler,
    helpers::http::Body as GothamBody,
    router::{
        self,
        builder::{self, DefineSingleRoute as _, DrawRoutes as _},
        route::matcher,
    },
    state::{self, FromState as _},
};

use crate::{body, exchange};

/// One place of a fixed router: a method and a path, and the key that the handler gets.
pub type Route<K> = (http::Method, &'static str, K);

/// A router that sends every path and method to one handler.
pub fn catch_all<H, F>(handler: H) -> router::Router
where
    H: Fn(exchange::Request) -> F + Send + Sync + 'static,
    F: Future<Output = exchange::Response> + Send + 'static,
{
    let closure = Closure::new(handler);
    builder::build_simple_router(|builder| {
        let any = matcher::AnyRouteMatcher::new;
        builder.request(any(), "/").to_new_handler(closure.clone());
        builder.request(any(), "/*").to_new_handler(closure);
    })
}

/// A router with a place for each key; other paths are answered 404, other methods 405.
pub fn fixed<K, H, F>(routes: &[Route<K>], handler: H) -> router::Router
where
    K: Copy + Send + Sync + 'static,
    H: Fn(K, exchange::Request) -> F + Send + Sync + 'static,
    F: Future<Output = exchange::Response> + Send + 'static,
{
    let handler = sync::Arc::new(handler);
    builder::build_simple_router(|builder| {
        for (method, path, key) in routes {
            let (key, handler) = (*key, handler.clone());
            let closure = Closure::new(move |request| handler(key, request));
            builder.request(vec![method.clone()], path).to_new_handler(closure);
        }
    })
}

/// The router of the port that tells whether a process is ready, with `GET /ready` alone.
pub fn ready<H, F>(handler: H) -> router::Router
where
    H: Fn(exchange::Request) -> F + Send + Sync + 'static,
    F: Future<Output = exchange::Response> + Send + 'static,
{
    fixed(&[(http::Method::GET, "/ready", ())], move |(), request| handler(request))
}

/// The router of the metrics port, with `GET /metrics` alone.
pub fn metrics<H, F>(handler: H) -> router::Router
where
    H: Fn(exchange::Request) -> F + Send + Sync + 'static,
    F: Future<Output = exchange::Response> + Send + 'static,
{
    fixed(&[(http::Method::GET, "/metrics", ())], move |(), request| handler(request))
}

/// A closure as a gotham handler. Gotham answers 500 when it panics; the closure's own state is
/// behind locks of its own, so it stays usable.
struct Closure<H>(panic::AssertUnwindSafe<sync::Arc<H>>);

impl<H> Closure<H> {
    fn new(handler: H) -> Closure<H> {
        Closure(panic::AssertUnwindSafe(sync::Arc::new(handler)))
    }
}

impl<H> Clone for Closure<H> {
    fn clone(&self) -> Closure<H> {
        Closure(panic::AssertUnwindSafe(self.0.0.clone()))
    }
}

impl<H, F> handler::NewHandler for Closure<H>
where
    H: Fn(exchange::Request) -> F + Send + Sync + 'static,
    F: Future<Output = exchange::Response> + Send + 'static,
{
    type Instance = Closure<H>;

    fn new_handler(&self) -> gotham::anyhow::Result<Closure<H>> {
        Ok(self.clone())
    }
}

impl<H, F> handler::Handler for Closure<H>
where
    H: Fn(exchange::Request) -> F + Send + Sync + 'static,
    F: Future<Output = exchange::Response> + Send + 'static,
{
    fn handle(self, mut state: state::State) -> Pin<Box<handler::HandlerFuture>> {
        let request = take_request(&mut state);
        Box::pin(async move {
            let answer = (self.0.0)(request).await;
            Ok((state, to_response(answer)))
        })
    }
}

fn take_request(state: &mut state::State) -> exchange::Request {
    let uri = http::Uri::take_from(state);
    exchange::Request {
        method: http::Method::take_from(state),
        path: uri.path().into(),
        query: uri.query().map(Into::into),
        headers: http::HeaderMap::take_from(state),
        body: body::Body::new(GothamBody::take_from(state)),
        remote: state::client_addr(state),
    }
}

fn to_response(answer: exchange::Response) -> http::Response<GothamBody> {
    let mut response = http::Response::new(answer.body.into_inner());
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}
