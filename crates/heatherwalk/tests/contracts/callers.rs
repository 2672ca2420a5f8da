//! The responses of a node to callers and its requests to the backend server, as docs/callers.md
//! and docs/backend-servers.md specify them.

use std::{fmt::Write as _, net, sync, time};

use serde_json::Value;

use crate::mesh;

type Received = sync::Arc<sync::Mutex<Vec<String>>>;

/// Formats a request that the backend server received. Values that differ from run to run are
/// checked and replaced with a placeholder.
fn format_request(request: &web::exchange::Request) -> String {
    let query = request.query.as_deref().map_or(String::new(), |it| format!("?{it}"));
    let mut fields: Vec<_> = request
        .headers
        .iter()
        .map(|(name, value)| {
            let value = value.to_str().expect("text");
            let hidden = match name.as_str() {
                "heatherwalk-deadline-ms" => {
                    let left: u64 = value.parse().expect("milliseconds");
                    assert!(left <= 20_000, "the timeout of the route is 20 s, not {left} ms");
                    "MS"
                }
                "heatherwalk-parent" => {
                    u64::from_str_radix(value, 16).expect("a parent token");
                    "PARENT"
                }
                "heatherwalk-first-sent" => "SECONDS",
                "host" => "HOST",
                _ => value,
            };
            format!("\n  {name}: {hidden}")
        })
        .collect();
    fields.sort();
    format!("{} {}{query}{}\n", request.method, request.path, fields.concat())
}

fn answer(status: u16, name: &'static str, value: &str) -> web::exchange::Response {
    let status = http::StatusCode::from_u16(status).expect("a status");
    let mut answer = web::exchange::Response::text(status, "answer of the backend server\n");
    answer.headers.insert(name, value.parse().expect("a value"));
    answer
}

async fn handle(
    received: Received,
    callers: net::SocketAddr,
    request: web::exchange::Request,
) -> web::exchange::Response {
    received.lock().expect("not poisoned").push(format_request(&request));
    let parent = request.headers["heatherwalk-parent"].to_str().expect("text").to_owned();
    let body = request.body.collect(1024 * 1024).await.expect("a whole body");
    match request.path.as_str() {
        "/logs/shed" => {
            let mut refusal = answer(503, "heatherwalk-not-run", "true");
            // The connection is kept, so the refusal has to name its request.
            refusal.headers.insert("heatherwalk-parent", parent.parse().expect("a value"));
            refusal
        }
        "/logs/call" => {
            let fields = [("heatherwalk-parent", parent.as_str())];
            let client = mesh::client();
            let called = mesh::http(&client, callers, "GET /logs/called", &fields, b"").await;
            answer(called.0, "x-called", &called.0.to_string())
        }
        "/logs/deep" => {
            let fields = [("heatherwalk-parent", parent.as_str())];
            let client = mesh::client();
            let called = mesh::http(&client, callers, "GET /logs/deep", &fields, b"").await;
            let reason = called.1.get("heatherwalk-reason").or(called.1.get("x-reason"));
            let reason = reason.map_or("none", |it| it.to_str().expect("text")).to_owned();
            answer(called.0, "x-reason", &reason)
        }
        "/logs/spoof" => answer(200, "heatherwalk-outcome", "unknown"),
        "/logs/reason" => answer(200, "heatherwalk-reason", "mine"),
        "/logs/close" => {
            let (sender, cut) = web::body::Body::channel(1);
            tokio::spawn(async move {
                // The pause lets the head and the first chunk be sent before the connection breaks.
                let _ = sender.send("begun".into()).await;
                tokio::time::sleep(time::Duration::from_millis(200)).await;
                sender.abort();
            });
            let mut answer = web::exchange::Response::empty(http::StatusCode::OK);
            answer.body = cut;
            answer
        }
        _ => answer(200, "x-length", &body.len().to_string()),
    }
}

/// Guards against a status, a reason or an outcome header that differs from the documents, and
/// against outcome headers that a caller or a backend server forges.
#[tokio::test(flavor = "multi_thread")]
async fn requests() {
    let mesh = mesh::Mesh::start(1).await;
    let api = mesh.api();
    let node = mesh.node("skulte-1").await;
    let received = Received::default();
    let shared = sync::Arc::clone(&received);
    let callers = node.callers();
    let handler = move |request| handle(sync::Arc::clone(&shared), callers, request);
    // A cold start begins with a tenth of the 600 slots, which is enough for the nested calls.
    let settings = heatherwalk::example::Settings {
        service: "logbook".into(),
        name: "skulte-1".into(),
        announce: node.announce(),
        slots: 600,
    };
    let server = heatherwalk::example::Server::spawn(settings, handler).await.expect("starts");
    let client = mesh::client();
    let mut out = String::new();
    let before = mesh::http(&client, node.callers(), "GET /logs", &[], b"").await;
    write_case(&mut out, (503, "GET /logs", &[], "before the first version"), before, "");
    api.create().await;
    let patch = serde_json::json!({
        "services": {"logbook": {"timeout_ms": 20_000, "slots": 600}, "sondelab": {"slots": 1}},
        "routes": {"free": {"prefix": "/free", "service": "logbook", "keyless": true},
            "lab": {"prefix": "/lab", "service": "sondelab"}},
    });
    assert_eq!(api.patch(1, "r-2", &patch).await.0, 200);
    api.until(|| api.get("/v1/status"), |it| it.1["converged"] == 1 && it.1["version"] == 2).await;
    let known = |it: &(u16, Value)| it.1[0]["service"] == "logbook";
    api.until(|| api.get("/v1/targets"), known).await;
    let now = time::SystemTime::now().duration_since(time::UNIX_EPOCH).expect("after 1970");
    let (recent, old) = (now.as_secs().to_string(), (now.as_secs() - 90_000).to_string());
    let large = "x".repeat(1024 * 1024 + 1);
    let long_key = "k".repeat(257);
    let cases: &[Case] = &[
        (200, "GET /logs/a?b=c", &[], ""),
        (200, "GET /logs", &[("connection", "x-hop"), ("x-hop", "1"), ("x-own", "2")], ""),
        (200, "GET /logs", &[("heatherwalk-not-run", "true"), ("heatherwalk-stored", "cut")], ""),
        (200, "GET /logs", &[("heatherwalk-outcome", "x"), ("heatherwalk-reason", "x")], ""),
        (200, "GET /logs", &[("heatherwalk-deadline-ms", "15000")], ""),
        (200, "GET /logs", &[("heatherwalk-deadline-ms", "90000")], ""),
        (504, "GET /logs", &[("heatherwalk-deadline-ms", "0")], ""),
        (400, "GET /logs", &[("heatherwalk-deadline-ms", "-1")], ""),
        (400, "GET /logs", &[("heatherwalk-parent", "1")], ""),
        (400, "GET /logs", &[("heatherwalk-parent", "none")], ""),
        (404, "GET /nothing", &[], ""),
        (503, "GET /lab", &[], ""),
        (413, "PUT /logs", &[], &large),
        (200, "PUT /logs", &[], "text"),
        (428, "POST /logs", &[], "text"),
        (200, "POST /free", &[], "text"),
        (200, "POST /logs", &[("idempotency-key", "k-1")], "text"),
        (200, "POST /logs", &[("idempotency-key", "k-1")], "text"),
        (422, "POST /logs", &[("idempotency-key", "k-1")], "other"),
        (400, "POST /logs", &[("idempotency-key", "")], "text"),
        (400, "POST /logs", &[("idempotency-key", &long_key)], "text"),
        (503, "POST /lab", &[("idempotency-key", "k-1")], "text"),
        (200, "POST /logs", &[("idempotency-key", "k-2"), ("heatherwalk-first-sent", &recent)], ""),
        (410, "POST /logs", &[("idempotency-key", "k-3"), ("heatherwalk-first-sent", &old)], ""),
        (400, "POST /logs", &[("idempotency-key", "k-3"), ("heatherwalk-first-sent", "now")], ""),
        (503, "GET /logs/shed", &[], ""),
        (503, "POST /logs/shed", &[("idempotency-key", "k-4")], ""),
        (200, "GET /logs/call", &[], ""),
        (200, "GET /logs/spoof", &[], ""),
        (200, "GET /logs/reason", &[], ""),
        (502, "POST /logs/close", &[("idempotency-key", "k-5")], ""),
        (409, "POST /logs/close", &[("idempotency-key", "k-5")], ""),
    ];
    for case in cases {
        received.lock().expect("not poisoned").clear();
        let (_, line, fields, body) = case;
        let got = mesh::http(&client, node.callers(), line, fields, body.as_bytes()).await;
        let at_backend = received.lock().expect("not poisoned").concat();
        write_case(&mut out, *case, got, &at_backend);
    }
    insta::assert_snapshot!(out);
    received.lock().expect("not poisoned").clear();
    let (status, headers, text) =
        mesh::http(&client, node.callers(), "GET /logs/deep", &[], b"").await;
    assert!(status == 504 && headers["x-reason"] == "budget", "{status} {headers:?} {text}");
    // The caller's request is level 1 of 15; the call that level 15 makes is refused.
    assert_eq!(received.lock().expect("not poisoned").len(), 15, "calls that reached the server");
    server.stop(time::Duration::from_secs(1)).await;
    node.stop().await;
    mesh.control.stop().await;
}

/// Expected status, method and path, header fields, and body or title.
type Case<'a> = (u16, &'a str, &'a [(&'static str, &'a str)], &'a str);

fn write_case(out: &mut String, case: Case<'_>, got: mesh::Answer, at_backend: &str) {
    let (expected, line, fields, body) = case;
    let (status, headers, text) = got;
    assert_eq!(status, expected, "{line} {fields:?}: {text}");
    // The backend server runs each request that reaches it, unless it sheds the request.
    let not_run = headers.contains_key("heatherwalk-not-run");
    assert!(!not_run || at_backend.is_empty() || line.contains("shed"), "{line}: {at_backend}");
    let own_headers: Vec<_> = headers
        .iter()
        .filter(|it| it.0.as_str().starts_with("heatherwalk"))
        .map(|(name, value)| format!("{name}: {}", value.to_str().expect("text")))
        .collect();
    let fields: Vec<_> = fields
        .iter()
        .map(|(name, value)| match value.len() {
            8.. if *name == "heatherwalk-first-sent" => format!("{name}: SECONDS"),
            64.. => format!("{name}: {} bytes", value.len()),
            _ => format!("{name}: {value}"),
        })
        .collect();
    let body = if body.len() > 64 { format!("{} bytes", body.len()) } else { body.to_owned() };
    writeln!(out, "== {line} {fields:?} {body}").expect("text");
    writeln!(out, "{status} {own_headers:?} {}\n{at_backend}", text.trim()).expect("text");
}
