//! API keys of teams: who gets in, and what backend servers are told.

use std::sync::{Arc, Mutex};

use heatherwalk::example;
use serde_json::json;

use crate::{callers, mesh};

const KEY_A: &str = "key-of-team-a";
const KEY_B: &str = "key-of-team-b";

/// A key of 10 KB.
const LONG_KEY: Fields = &[("authorization", &{
    let mut field = [b'k'; 7 + 10_240];
    field.split_at_mut(7).0.copy_from_slice(b"Bearer ");
    field
})];

/// What a backend server received: the path, and the fields that name the team and the key.
type Seen = Arc<Mutex<Vec<String>>>;

fn teams_document() -> serde_json::Value {
    let mut document = mesh::document(&[
        ("logs", json!({}), json!({})),
        ("open", json!({}), json!({"public": true})),
    ]);
    document["teams"] = json!({"a": {"keys": [KEY_A]}, "b": {"keys": [KEY_B], "priority": 2}});
    document
}

async fn spawn_backend(
    mesh: &mesh::Mesh,
    node: usize,
    service: &str,
    seen: &Seen,
) -> example::Server {
    let settings = example::Settings {
        service: service.into(),
        name: service.into(),
        announce: mesh.announce(node),
        slots: 512,
    };
    let seen = Arc::clone(seen);
    let handler = move |request: web::exchange::Request| {
        let field = |name: &str| {
            let values = request.headers.get_all(name).iter();
            values.map(|it| String::from_utf8_lossy(it.as_bytes()).into_owned()).collect::<Vec<_>>()
        };
        let line = format!(
            "{} team {:?} authorization {:?}",
            request.path,
            field("heatherwalk-team"),
            field("authorization"),
        );
        seen.lock().expect("not poisoned").push(line);
        std::future::ready(web::exchange::Response::text(http::StatusCode::OK, "ok"))
    };
    example::Server::spawn(settings, handler).await.expect("starts")
}

/// Names and values of header fields.
type Fields = &'static [(&'static str, &'static [u8])];

fn request(path: &str, fields: Fields) -> callers::Request {
    let mut request = callers::get(path);
    for (name, value) in fields {
        let value = http::HeaderValue::from_bytes(value).expect("a field value");
        request.headers.append(*name, value);
    }
    request
}

/// Waits until a request with the key of team `a` is answered.
async fn ready(mesh: &mesh::Mesh, node: usize) {
    let until = tokio::time::Instant::now() + mesh::TIMEOUT;
    loop {
        let get = request("/logs/ready", &[("authorization", b"Bearer key-of-team-a")]);
        let reply = callers::send(mesh.callers(node), get).await;
        if reply.status == 200 {
            return;
        }
        assert!(tokio::time::Instant::now() < until, "{reply:?}");
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
}

/// Guards against requests without a known key that run, against keys that reach backend servers,
/// and against a team's name that a caller chooses.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_request_runs_for_a_team_that_it_does_not_belong_to() {
    let mesh = mesh::Mesh::spawn(3, teams_document()).await;
    let seen = Seen::default();
    let _logs = spawn_backend(&mesh, 1, "logs", &seen).await;
    let _open = spawn_backend(&mesh, 2, "open", &seen).await;
    ready(&mesh, 0).await;
    mesh.ready(0, &["open"]).await;
    seen.lock().expect("not poisoned").clear();
    let cases: [(&str, &str, Fields); 12] = [
        ("team a", "/logs/1", &[("authorization", b"Bearer key-of-team-a")]),
        ("team b, lower case", "/logs/2", &[("authorization", b"bearer key-of-team-b")]),
        (
            "a forged team",
            "/logs/3",
            &[("authorization", b"Bearer key-of-team-a"), ("heatherwalk-team", b"b")],
        ),
        ("no key", "/logs/4", &[]),
        ("an unknown key", "/logs/5", &[("authorization", b"Bearer other")]),
        ("an empty key", "/logs/6", &[("authorization", b"Bearer ")]),
        ("another scheme", "/logs/7", &[("authorization", b"Basic a2V5")]),
        (
            "two fields",
            "/logs/8",
            &[("authorization", b"Bearer key-of-team-a"), ("authorization", b"Bearer other")],
        ),
        ("a key of 10 KB", "/logs/9", LONG_KEY),
        ("bytes that are no text", "/logs/10", &[("authorization", b"Bearer \xff\xfe")]),
        ("public, no key", "/open/11", &[("heatherwalk-team", b"a")]),
        ("public, team b", "/open/12", &[("authorization", b"Bearer key-of-team-b")]),
    ];
    let mut lines = Vec::new();
    for (name, path, fields) in cases {
        let reply = callers::send(mesh.callers(0), request(path, fields)).await;
        let text = reply.text();
        assert!(!text.contains("key-of") && !text.contains("kkk"), "{name} shows a key: {text}");
        lines.push(format!("{name}: {reply}"));
    }
    lines.extend(seen.lock().expect("not poisoned").iter().map(|it| format!("ran: {it}")));
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against a key that is still accepted after a version without it is in force, on a
/// connection that was open before.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_removed_key_is_still_accepted() {
    let mesh = mesh::Mesh::spawn(2, teams_document()).await;
    let seen = Seen::default();
    let _logs = spawn_backend(&mesh, 1, "logs", &seen).await;
    ready(&mesh, 0).await;
    let connection = callers::Kept::new(mesh.callers(0));
    let get = || request("/logs/1", &[("authorization", b"Bearer key-of-team-a")]);
    let mut lines = vec![format!("before: {}", connection.send(get()).await)];
    mesh.patch(1, json!({"teams": {"a": {"keys": [KEY_B.to_owned() + "-new"]}}})).await;
    let until = tokio::time::Instant::now() + mesh::TIMEOUT;
    let reply = loop {
        let reply = connection.send(get()).await;
        if reply.status != 200 || tokio::time::Instant::now() >= until {
            break reply;
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    };
    lines.push(format!("after: {reply}"));
    insta::assert_snapshot!(lines.join("\n"), @r"
    before: 200
    after: 401, not run (no-team)
    ");
}
