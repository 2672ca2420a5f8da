//! The command `explain`: asks a running node where it would send a request.

use std::time;

use compact_str::{CompactString, format_compact};
use protocol::explanations;

use crate::{args, exit_codes, pages, render};

/// The longest wait for the node's answer.
const TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// The largest answer, in bytes. 1,000 targets take about 300 KB.
const MAX_BODY: usize = 16 * 1024 * 1024;

/// Why there is no explanation.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The node cannot be reached, or does not answer.
    #[error("node {node} gave no answer: {detail}\nnext: give the address of its metrics page")]
    Unreachable {
        /// The address that was asked.
        node: std::net::SocketAddr,
        /// What happened.
        detail: CompactString,
    },
    /// The node cannot explain the request.
    #[error("the node answered {status}: {detail}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The node's reason.
        detail: CompactString,
    },
    /// The node would refuse the request, which has no target.
    #[error("the request would be refused with {status}: {detail}")]
    NotRouted {
        /// The HTTP status that a caller would get.
        status: u16,
        /// The reason.
        detail: CompactString,
    },
}

/// The result of asking a node.
pub type Result<T, E = Error> = std::result::Result<T, E>;

impl Error {
    /// The exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::Unreachable { .. } => exit_codes::UNAVAILABLE,
            Error::Refused { .. } => exit_codes::FAILED,
            Error::NotRouted { .. } => exit_codes::REFUSED,
        }
    }
}

/// Asks the node for an explanation.
///
/// # Errors
///
/// [`Error::Unreachable`] without an answer, and [`Error::Refused`] for one that is no explanation.
pub async fn ask(args: &args::Explain) -> Result<explanations::Explanation> {
    let unreachable = |detail: &dyn std::fmt::Display| Error::Unreachable {
        node: args.node,
        detail: format_compact!("{detail}"),
    };
    let client = web::client::Client::new(web::client::Limits::default());
    let answer = client.send(call(args)).await.map_err(|err| unreachable(&err))?;
    let status = answer.status;
    let body = answer.body.collect(MAX_BODY).await.map_err(|err| unreachable(&err))?;
    if status != http::StatusCode::OK {
        let detail = String::from_utf8_lossy(&body).trim().into();
        return Err(Error::Refused { status: status.as_u16(), detail });
    }
    serde_json::from_slice(&body).map_err(|err| unreachable(&err))
}

fn call(args: &args::Explain) -> web::client::Call {
    let path = format_compact!(
        "{}?method={}&host={}&path={}&team={}",
        explanations::EXPLAIN_PATH,
        pages::encode(&args.method),
        pages::encode(&args.host),
        pages::encode(&args.path),
        pages::encode(&args.team),
    );
    web::client::Call {
        addr: args.node,
        method: http::Method::GET,
        path,
        headers: http::HeaderMap::new(),
        body: web::body::Body::full(bytes::Bytes::new()),
        deadline: tokio::time::Instant::now() + TIMEOUT,
        close_delimited: false,
        reuse: web::client::Reuse::Never,
    }
}

/// Writes an explanation as text.
pub fn to_text(explanation: &explanations::Explanation) -> String {
    let explanations::Explanation { node, data_centre, version, routable, .. } = explanation;
    let version = version.map_or("no version".into(), |it| format_compact!("version {it}"));
    let state = if *routable { "in use" } else { "not confirmed as the latest" };
    let mut text = format!("node {node} in {data_centre}, {version}, {state}\n");
    if let Some(refusal) = &explanation.refusal {
        let explanations::Refusal { status, reason, detail } = refusal;
        text += &format!("refused: {status} {reason}: {detail}\n");
    }
    if let Some(route) = &explanation.route {
        let repeat = if route.idempotent { "idempotent" } else { "runs at most once" };
        text += &format!(
            "route {} ({}), {repeat}, rank {}, worth {}, objective {} ms, timeout {} ms\n",
            route.name, route.prefix, route.rank, route.worth, route.objective_ms, route.timeout_ms,
        );
    }
    let total: u32 = explanation.services.iter().map(|it| it.weight).sum();
    for it in &explanation.services {
        text += &format!(
            "\nservice {}, {} of {total} requests; policy {}, leaving the data centre costs {:.1} ms\n",
            it.service, it.weight, it.policy, it.penalty_ms,
        );
        text += &render::explained_targets(&it.targets);
    }
    text
}

/// Returns the error for a request that would be refused.
pub fn check(explanation: &explanations::Explanation) -> Result<()> {
    match &explanation.refusal {
        Some(it) => Err(Error::NotRouted { status: it.status, detail: it.detail.clone() }),
        None => Ok(()),
    }
}
