//! The pages for operations: metrics, and explanations of a node's decisions.

use std::{net, sync};

use compact_str::CompactString;
use node::explaining;
use protocol::explanations;
use web::{exchange, routers, server};

use crate::metrics;

/// Holds the explainer of the node once it runs; it stays empty on a control.
pub type ExplainerCell = sync::Arc<sync::OnceLock<explaining::Explainer>>;

/// Starts the server of the pages.
///
/// # Errors
///
/// The port cannot be bound.
pub async fn serve(
    addr: net::SocketAddr,
    metrics: sync::Arc<metrics::Metrics>,
    explainer: ExplainerCell,
) -> server::Result<server::Server> {
    let router = routers::operations(move |page, request| {
        let (metrics, explainer) = (sync::Arc::clone(&metrics), sync::Arc::clone(&explainer));
        // The body of a request cannot be shared between threads while this waits.
        let query = request.query.unwrap_or_default();
        async move {
            match page {
                routers::Page::Metrics => metrics_page(&metrics),
                routers::Page::Explain => explain(&explainer, &query).await,
            }
        }
    });
    server::Server::bind(addr, server::Limits::default(), router).await
}

fn metrics_page(metrics: &metrics::Metrics) -> exchange::Response {
    match metrics.render() {
        Ok(page) => {
            let kind = metrics::CONTENT_TYPE.parse().unwrap_or(mime::TEXT_PLAIN_UTF_8);
            exchange::Response::full(http::StatusCode::OK, &kind, page.into())
        }
        Err(err) => {
            exchange::Response::text(http::StatusCode::INTERNAL_SERVER_ERROR, &format!("{err}\n"))
        }
    }
}

async fn explain(explainer: &ExplainerCell, query: &str) -> exchange::Response {
    let Some(question) = parse_query(query) else {
        let detail = "the query must hold a path that begins with '/', and may hold method, host \
                      and team\n";
        return exchange::Response::text(http::StatusCode::BAD_REQUEST, detail);
    };
    let Some(explainer) = explainer.get() else {
        let detail = "this process runs no node\n";
        return exchange::Response::text(http::StatusCode::NOT_FOUND, detail);
    };
    match explainer.explain(question).await {
        Some(it) => {
            let body = serde_json::to_vec(&it).expect("explanations have text keys only");
            exchange::Response::full(http::StatusCode::OK, &mime::APPLICATION_JSON, body.into())
        }
        None => {
            let detail = "the node stops, or its workers are busy; ask again\n";
            exchange::Response::text(http::StatusCode::SERVICE_UNAVAILABLE, detail)
        }
    }
}

/// Reads the query of an explanation; none without a path.
fn parse_query(query: &str) -> Option<explanations::Question> {
    let value = |name: &str| {
        let field = query.split('&').find_map(|it| it.strip_prefix(name)?.strip_prefix('='))?;
        decode(field)
    };
    let path = value("path").filter(|it| it.starts_with('/'))?;
    Some(explanations::Question {
        method: value("method").unwrap_or_else(|| "GET".into()),
        host: value("host").unwrap_or_default(),
        path,
        team: value("team").unwrap_or_default(),
    })
}

/// Decodes a percent-encoded value; none if that is not text.
fn decode(value: &str) -> Option<CompactString> {
    let decoded = percent_encoding::percent_decode_str(value).decode_utf8().ok()?;
    Some(CompactString::from(decoded))
}

/// Encodes a value for a query.
pub fn encode(value: &str) -> CompactString {
    let encoded = percent_encoding::utf8_percent_encode(value, percent_encoding::NON_ALPHANUMERIC);
    compact_str::format_compact!("{encoded}")
}
