//! `POST /announce`, as docs/backend-servers.md specifies it.

use std::{fmt::Write as _, time};

use serde_json::{Value, json};

use crate::mesh;

/// The wall clock in microseconds since the Unix epoch.
fn unix_us() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH).expect("after 1970");
    u64::try_from(since.as_micros()).expect("a time of this century")
}

/// Guards against an announcement that is accepted or refused contrary to the document.
#[tokio::test(flavor = "multi_thread")]
async fn announcements() {
    let mesh = mesh::Mesh::start(1).await;
    let api = mesh.api();
    api.create().await;
    let node = mesh.node("skulte-1").await;
    let client = mesh::client();
    let addr = "127.0.0.1:9000";
    let good = json!({"service": "logbook", "addr": addr, "incarnation": 100, "slots": 6});
    let edit = |name: &str, value: Value| {
        let mut body = good.clone();
        body[name] = value;
        body.to_string()
    };
    let without = |name: &str| {
        let mut body = good.clone();
        body.as_object_mut().expect("an object").remove(name);
        body.to_string()
    };
    let whole = good.to_string();
    let long = "s".repeat(65);
    let cases = [
        (200, "POST /announce", "good", whole.clone()),
        (200, "POST /announce", "renewal", whole.clone()),
        (200, "POST /announce", "drain given", edit("drain", false.into())),
        (200, "POST /announce", "no token", edit("token", Value::Null)),
        (200, "POST /announce", "not a token", edit("token", "what".into())),
        (200, "POST /announce", "service without a route", edit("service", "none".into())),
        (200, "POST /announce", "all slots", edit("slots", 1024.into())),
        (409, "POST /announce", "lower incarnation", edit("incarnation", 99.into())),
        (200, "POST /announce", "later incarnation", edit("incarnation", 101.into())),
        (409, "POST /announce", "replaced incarnation", whole.clone()),
        (400, "POST /announce", "unknown field", edit("slot", 6.into())),
        (400, "POST /announce", "no service", without("service")),
        (400, "POST /announce", "no address", without("addr")),
        (400, "POST /announce", "no incarnation", without("incarnation")),
        (400, "POST /announce", "no slots", without("slots")),
        (400, "POST /announce", "zero slots", edit("slots", 0.into())),
        (400, "POST /announce", "too many slots", edit("slots", 1025.into())),
        (400, "POST /announce", "negative slots", edit("slots", (-1).into())),
        (400, "POST /announce", "empty service", edit("service", "".into())),
        (400, "POST /announce", "long service", edit("service", long.into())),
        (400, "POST /announce", "service with a space", edit("service", "log book".into())),
        (400, "POST /announce", "host name", edit("addr", "localhost:9000".into())),
        (400, "POST /announce", "port 0", edit("addr", "127.0.0.1:0".into())),
        (400, "POST /announce", "unspecified address", edit("addr", "0.0.0.0:9000".into())),
        (400, "POST /announce", "not JSON", "service=logbook".into()),
        (400, "POST /announce", "empty", String::new()),
        (413, "POST /announce", "oversized", edit("token", "x".repeat(70_000).into())),
        (405, "GET /announce", "wrong method", String::new()),
        (405, "PUT /announce", "wrong method", whole.clone()),
        (404, "POST /", "wrong path", whole.clone()),
        (404, "POST /announce/skulte-1", "wrong path", whole),
    ];
    let mut out = String::new();
    for (expected, line, name, body) in cases {
        let (status, _, text) =
            mesh::http(&client, node.announce(), line, &[], body.as_bytes()).await;
        assert_eq!(status, expected, "{name}: {text}");
        // Only `renew_ms` is compared: as soon as the node has a version, an answer may contain a
        // token as well.
        let text = match serde_json::from_str::<Value>(&text) {
            Ok(answer) => format!("renew_ms {}", answer["renew_ms"]),
            Err(_) => text.trim().to_owned(),
        };
        writeln!(out, "{line}, {name}: {status} {text}").expect("text");
    }
    insta::assert_snapshot!(out);
    mesh.control.stop().await;
}

/// Guards against a token that is lost or is given to a replaced process, and against a drain that
/// the registry or the node's refusals don't show.
#[tokio::test(flavor = "multi_thread")]
async fn token_and_drain() {
    let mesh = mesh::Mesh::start(1).await;
    let api = mesh.api();
    api.create().await;
    let node = mesh.node("skulte-1").await;
    let client = mesh::client();
    let announce = async |incarnation: u64, drain: bool, token: &Value| {
        let body = json!({"service": "logbook", "addr": "127.0.0.1:1", "slots": 6,
            "incarnation": incarnation, "drain": drain, "token": token});
        let body = body.to_string();
        mesh::http(&client, node.announce(), "POST /announce", &[], body.as_bytes()).await
    };
    let end = time::Instant::now() + mesh::TIMEOUT;
    let token = loop {
        let (_, _, text) = announce(100, false, &Value::Null).await;
        let answer: Value = serde_json::from_str(&text).expect("JSON");
        if !answer["token"].is_null() {
            break answer["token"].clone();
        }
        assert!(time::Instant::now() < end, "timed out waiting for a token");
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    };
    let text = token.as_str().expect("text");
    assert!(text.starts_with("2.1."), "format 2, version 1: {text}");
    let (_, _, again) = announce(100, false, &token).await;
    assert_eq!(serde_json::from_str::<Value>(&again).expect("JSON")["token"], token);
    let (status, _, refused) = announce(99, false, &Value::Null).await;
    assert_eq!(status, 409);
    assert!(!refused.contains(text), "a replaced process must not get the token");

    let has_state = |state: &'static str| {
        move |it: &(u16, Value)| {
            let seen = it.1[0]["state"].as_str().unwrap_or_default();
            state.split(' ').any(|it| it == seen)
        }
    };
    for (drain, state) in
        [(false, "starting serving"), (true, "draining"), (false, "starting serving")]
    {
        assert_eq!(announce(100, drain, &token).await.0, 200);
        api.until(|| api.get("/v1/targets"), has_state(state)).await;
        // The node learns of the change from the control, so it may know it a little later.
        let end = time::Instant::now() + mesh::TIMEOUT;
        loop {
            let answer = mesh::http(&client, node.callers(), "GET /logs", &[], b"").await;
            let (_, headers, text) = answer;
            assert_eq!(headers["heatherwalk-not-run"], "true", "nothing listens there: {text}");
            if drain == text.contains("leaving") {
                break;
            }
            assert!(time::Instant::now() < end, "{text}");
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }
    // Without a renewal the lease ends after 2 s.
    api.until(|| api.get("/v1/targets"), |it| it.1 == json!([])).await;
    mesh.control.stop().await;
}

/// Guards against a backend server that gets requests after its leave was answered: a node that has
/// just started hears of the leave before it has had an announcement.
#[tokio::test(flavor = "multi_thread")]
async fn a_leave_before_the_first_announcement_is_forgotten() {
    let mesh = mesh::Mesh::start(1).await;
    let api = mesh.api();
    api.create().await;
    let node = mesh.node("skulte-1").await;
    let client = mesh::client();
    // A leave is acknowledged only once a control has recorded it, and the node has to attach first.
    let until = time::Instant::now() + mesh::TIMEOUT;
    loop {
        let line = "POST /leave?of=logbook-1";
        let leave = mesh::http(&client, node.announce(), line, &[], b"").await;
        if leave.0 == 200 {
            break;
        }
        assert_eq!(leave.0, 503, "{}", leave.2);
        assert!(time::Instant::now() < until, "{}", leave.2);
    }
    for (instance, incarnation, state) in
        [("logbook-1", 100, "draining"), ("logbook-2", 101, "starting")]
    {
        let body = json!({"service": "logbook", "addr": "127.0.0.1:1", "slots": 6,
            "incarnation": incarnation, "instance": instance});
        let body = body.to_string();
        let path = format!("POST /announce?of={instance}");
        let answer = mesh::http(&client, node.announce(), &path, &[], body.as_bytes()).await;
        assert_eq!(answer.0, 200, "{}", answer.2);
        api.until(|| api.get("/v1/targets"), |it| it.1[0]["state"] == state).await;
    }
    mesh.control.stop().await;
}

/// Guards against a backend server that gets requests again after its leave was acknowledged: its
/// node restarts, and an announcement from before the leave arrives late. The next process at the
/// same address gets requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_leave_before_a_restart_of_the_node_is_forgotten() {
    let mesh = mesh::Mesh::start(1).await;
    let api = mesh.api();
    api.create().await;
    let client = mesh::client();
    let announce = async |node: &node::running::Node, instance: &str, incarnation: u64| {
        let body = json!({"service": "logbook", "addr": "127.0.0.1:1", "slots": 6, "cold_ms": 0,
            "incarnation": incarnation, "instance": instance, "sequence": 1});
        let body = body.to_string();
        let path = format!("POST /announce?of={instance}");
        mesh::http(&client, node.announce(), &path, &[], body.as_bytes()).await.0
    };
    let state = async || api.get("/v1/targets").await.1[0]["state"].clone();
    let node = mesh.node("skulte-1").await;
    assert_eq!(announce(&node, "logbook-1", 100).await, 200);
    api.until(|| api.get("/v1/targets"), |it| it.1[0]["state"] == "serving").await;
    let leave = mesh::http(&client, node.announce(), "POST /leave?of=logbook-1", &[], b"").await;
    assert_eq!(leave.0, 200, "{}", leave.2);
    assert_eq!(state().await, "draining", "the acknowledged leave is recorded");
    drop(node);
    let node = mesh.node("skulte-1").await;
    let end = time::Instant::now() + time::Duration::from_secs(4);
    while time::Instant::now() < end {
        assert_eq!(announce(&node, "logbook-1", 100).await, 200);
        let answer = mesh::http(&client, node.callers(), "GET /logs", &[], b"").await;
        assert_ne!(answer.0, 200);
        let seen = state().await;
        assert!(seen != "serving" && seen != "starting", "the target is {seen}");
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    assert_eq!(announce(&node, "logbook-2", 101).await, 200);
    api.until(|| api.get("/v1/targets"), |it| it.1[0]["state"] == "serving").await;
    mesh.control.stop().await;
}

/// Guards against a leave that is acknowledged although no control has recorded it, so that it is
/// lost when the node restarts.
#[tokio::test(flavor = "multi_thread")]
async fn a_leave_that_no_control_has_recorded_is_acknowledged() {
    let mesh = mesh::Mesh::start(1).await;
    let api = mesh.api();
    api.create().await;
    let node = mesh.node("skulte-1").await;
    let client = mesh::client();
    let body = json!({"service": "logbook", "addr": "127.0.0.1:1", "slots": 6,
        "incarnation": 100, "instance": "logbook-1"});
    let body = body.to_string();
    let path = "POST /announce?of=logbook-1";
    let answer = mesh::http(&client, node.announce(), path, &[], body.as_bytes()).await;
    assert_eq!(answer.0, 200, "{}", answer.2);
    api.until(|| api.get("/v1/targets"), |it| it.1[0]["state"] == "starting").await;
    mesh.control.stop().await;
    for line in ["POST /leave?of=logbook-1", "POST /leave?of=logbook-1"] {
        let answer = mesh::http(&client, node.announce(), line, &[], b"").await;
        assert_eq!(answer.0, 503, "{}", answer.2);
    }
    let refused = mesh::http(&client, node.callers(), "GET /logs", &[], b"").await;
    assert_ne!(refused.0, 200, "the node drains the backend server all the same");
}

/// Guards against an odd announcement of another writer that replaces the backend server which is
/// announced, or that keeps the next proper announcement out.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_entry_hides_the_others() {
    let mesh = mesh::Mesh::start(1).await;
    let api = mesh.api();
    api.create().await;
    let node = mesh.node_of("skulte-1", "logbook").await;
    let client = mesh::client();
    let start = unix_us();
    let good = json!({"service": "logbook", "addr": "127.0.0.1:9000", "incarnation": start,
        "slots": 6, "cold_ms": 0, "sequence": 5});
    let with = |fields: &[(&str, Value)]| {
        let mut body = good.clone();
        fields.iter().for_each(|(name, value)| body[*name] = value.clone());
        body.to_string()
    };
    let raw = |name: &str, text: &str| with(&[(name, "@".into())]).replace("\"@\"", text);
    let deep = "[".repeat(60_000);
    let day_us = 86_400_000_000_u64;
    let cases = [
        ("nested", raw("slots", &deep)),
        ("unknown field, nested", raw("odd", &deep)),
        ("slots above a float", raw("slots", "1e400")),
        ("slots above 64 bits", raw("slots", "18446744073709551616")),
        ("a million slots", with(&[("slots", 1_000_000.into())])),
        ("slots not a number", raw("slots", "NaN")),
        ("negative start", raw("incarnation", "-1")),
        ("start above 64 bits", raw("incarnation", "18446744073709551616")),
        ("last start", with(&[("incarnation", u64::MAX.into())])),
        ("start in two days", with(&[("incarnation", (start + 2 * day_us).into())])),
        ("last sequence", with(&[("sequence", u64::MAX.into())])),
        ("sequence above 64 bits", raw("sequence", "18446744073709551616")),
        ("negative cold start", raw("cold_ms", "-1")),
        ("cold start of a century", with(&[("cold_ms", (36_525 * 86_400_000_u64).into())])),
        ("port 0", with(&[("addr", "127.0.0.1:0".into())])),
        ("port 65536", with(&[("addr", "127.0.0.1:65536".into())])),
        ("unspecified address", with(&[("addr", "0.0.0.0:80".into())])),
        ("multicast address", with(&[("addr", "224.0.0.1:80".into())])),
        ("broadcast address", with(&[("addr", "255.255.255.255:80".into())])),
        ("empty service", with(&[("service", "".into())])),
        ("long service", with(&[("service", "s".repeat(60_000).into())])),
        ("control character", with(&[("service", "log\u{0}book".into())])),
        ("service that is not named", with(&[("service", "none".into())])),
        (
            "start of such a service",
            with(&[("service", "none".into()), ("incarnation", (start + 9).into())]),
        ),
        ("control character in the instance", with(&[("instance", "a\r\nb".into())])),
        ("long instance", with(&[("instance", "i".repeat(60_000).into())])),
        ("unknown state", with(&[("drain", "odd".into())])),
    ];
    let announce = async |body: &str| {
        let answer = mesh::http(&client, node.announce(), "POST /announce", &[], body.as_bytes());
        answer.await
    };
    let mut out = String::new();
    for (name, body) in cases {
        assert_eq!(announce(&good.to_string()).await.0, 200, "before {name}");
        let (status, _, text) = announce(&body).await;
        assert!(text.len() < 1_000, "{name}: the answer has {} bytes", text.len());
        let text = if status == 200 { "accepted" } else { text.trim() };
        // A column depends on the digits of the start.
        let text = text.split(" at line ").next().unwrap_or_default();
        let (next, _, _) = announce(&good.to_string()).await;
        writeln!(out, "{name}: {status} {text}; then {next}").expect("text");
    }
    api.until(|| api.get("/v1/targets"), |it| it.1[0]["service"] == "logbook").await;
    insta::assert_snapshot!(out);
    mesh.control.stop().await;
}

/// Guards against a backend server that gets requests again after its leave was acknowledged, when
/// its announcements name no start: its restarted node takes a late one for the next process.
#[tokio::test(flavor = "multi_thread")]
async fn a_leave_of_a_server_without_a_start_is_forgotten() {
    let mesh = mesh::Mesh::start(1).await;
    let api = mesh.api();
    api.create().await;
    let parse = |body: &bytes::Bytes, _: &str| {
        serde_json::from_slice(body).map_err(|err| compact_str::format_compact!("{err}"))
    };
    let dialect = node::dialect::Dialect { parse_announcement: parse, ..node::dialect::OWN };
    let client = mesh::client();
    let announce = async |node: &node::running::Node, instance: &str| {
        let body = json!({"service": "logbook", "addr": "127.0.0.1:1", "slots": 6, "cold_ms": 0,
            "instance": instance, "sequence": 1});
        let body = body.to_string();
        mesh::http(&client, node.announce(), "POST /announce", &[], body.as_bytes()).await.0
    };
    let node = mesh.node_with("skulte-1", |it| it.dialect = dialect).await;
    assert_eq!(announce(&node, "i-1").await, 200);
    api.until(|| api.get("/v1/targets"), |it| it.1[0]["state"] == "serving").await;
    let leave = mesh::http(&client, node.announce(), "POST /leave?of=i-1", &[], b"").await;
    assert_eq!(leave.0, 200, "{}", leave.2);
    drop(node);
    let node = mesh.node_with("skulte-1", |it| it.dialect = dialect).await;
    let end = time::Instant::now() + time::Duration::from_secs(4);
    while time::Instant::now() < end {
        announce(&node, "i-1").await;
        let seen = api.get("/v1/targets").await.1[0]["state"].clone();
        assert!(seen != "serving" && seen != "starting", "the target is {seen}");
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    assert_eq!(announce(&node, "i-2").await, 200);
    api.until(|| api.get("/v1/targets"), |it| it.1[0]["state"] == "serving").await;
    mesh.control.stop().await;
}

/// Guards against an announcement of another writer, without a start, that counts as the latest
/// start and keeps the proper announcements out until its lease ends.
#[tokio::test(flavor = "multi_thread")]
async fn an_announcement_without_a_start_hides_the_others() {
    let mesh = mesh::Mesh::start(1).await;
    // A dialect whose announcements may leave the start out.
    let parse = |body: &bytes::Bytes, _: &str| {
        serde_json::from_slice(body).map_err(|err| compact_str::format_compact!("{err}"))
    };
    let dialect = node::dialect::Dialect { parse_announcement: parse, ..node::dialect::OWN };
    let node = mesh.node_with("skulte-1", |it| it.dialect = dialect).await;
    let client = mesh::client();
    let announce = async |instance: &str, start: Option<u64>| {
        let body = json!({"service": "logbook", "addr": "127.0.0.1:9000", "slots": 6,
            "instance": instance, "incarnation": start});
        let body = body.to_string();
        mesh::http(&client, node.announce(), "POST /announce", &[], body.as_bytes()).await.0
    };
    assert_eq!(announce("i-1", None).await, 200, "the first, without a start");
    assert_eq!(announce("i-2", None).await, 200, "another, without a start");
    assert_eq!(announce("i-3", Some(100)).await, 409, "one with a start, which is lower");
    let start = unix_us();
    assert_eq!(announce("i-3", Some(start)).await, 200, "it is later");
    assert_eq!(announce("i-4", None).await, 409, "another, without a start");
    assert_eq!(announce("i-3", Some(start)).await, 200, "its renewal");
    assert_eq!(announce("i-3", None).await, 200, "its renewal, without the start");
    assert_eq!(announce("i-4", Some(unix_us())).await, 200, "another, with a start");
    mesh.control.stop().await;
}
