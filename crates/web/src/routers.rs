//! Gotham routers whose handlers are closures from [`exchange::Request`] to
//! [`exchange::Response`].

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

/// A route of a [`fixed`] router: its method, its path, and the key that the handler receives.
pub type Route<K> = (http::Method, &'static str, K);

/// A router that passes requests of every path and method to one handler.
pub fn catch_all<H, F>(handler: H) -> router::Router
where
    H: Fn(exchange::Request) -> F + Send + Sync + 'static,
    F: Future<Output = exchange::Response> + Send + 'static,
{
    let closure = ClosureHandler::new(handler);
    builder::build_simple_router(|builder| {
        let any = matcher::AnyRouteMatcher::new;
        builder.request(any(), "/").to_new_handler(closure.clone());
        builder.request(any(), "/*").to_new_handler(closure);
    })
}

/// A router with the given routes. Other paths are answered with 404, other methods with 405.
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
            let closure = ClosureHandler::new(move |request| handler(key, request));
            builder.request(vec![method.clone()], path).to_new_handler(closure);
        }
    })
}

/// The router of the readiness port, whose only route is `GET /ready`.
pub fn ready<H, F>(handler: H) -> router::Router
where
    H: Fn(exchange::Request) -> F + Send + Sync + 'static,
    F: Future<Output = exchange::Response> + Send + 'static,
{
    fixed(&[(http::Method::GET, "/ready", ())], move |(), request| handler(request))
}

/// What a path of the port for operations names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Page {
    /// `GET /metrics`: the metrics.
    Metrics,
    /// `GET /explain`: where a request would go.
    Explain,
}

/// The router of the port for operations.
pub fn operations<H, F>(handler: H) -> router::Router
where
    H: Fn(Page, exchange::Request) -> F + Send + Sync + 'static,
    F: Future<Output = exchange::Response> + Send + 'static,
{
    let pages = [("/metrics", Page::Metrics), ("/explain", Page::Explain)];
    let routes = pages.map(|(path, page)| (http::Method::GET, path, page));
    fixed(&routes, handler)
}

/// A closure as a gotham handler. Gotham answers with 500 when it panics. That is unwind safe,
/// because closures keep their state behind locks.
struct ClosureHandler<H>(panic::AssertUnwindSafe<sync::Arc<H>>);

impl<H> ClosureHandler<H> {
    fn new(handler: H) -> ClosureHandler<H> {
        ClosureHandler(panic::AssertUnwindSafe(sync::Arc::new(handler)))
    }
}

impl<H> Clone for ClosureHandler<H> {
    fn clone(&self) -> ClosureHandler<H> {
        ClosureHandler(panic::AssertUnwindSafe(self.0.0.clone()))
    }
}

impl<H, F> handler::NewHandler for ClosureHandler<H>
where
    H: Fn(exchange::Request) -> F + Send + Sync + 'static,
    F: Future<Output = exchange::Response> + Send + 'static,
{
    type Instance = ClosureHandler<H>;

    fn new_handler(&self) -> gotham::anyhow::Result<ClosureHandler<H>> {
        Ok(self.clone())
    }
}

impl<H, F> handler::Handler for ClosureHandler<H>
where
    H: Fn(exchange::Request) -> F + Send + Sync + 'static,
    F: Future<Output = exchange::Response> + Send + 'static,
{
    fn handle(self, mut state: state::State) -> Pin<Box<handler::HandlerFuture>> {
        let request = take_request(&mut state);
        Box::pin(async move {
            let response = (self.0.0)(request).await;
            Ok((state, to_response(response)))
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

fn to_response(response: exchange::Response) -> http::Response<GothamBody> {
    let mut converted = http::Response::new(response.body.into_inner());
    *converted.status_mut() = response.status;
    *converted.headers_mut() = response.headers;
    converted
}
