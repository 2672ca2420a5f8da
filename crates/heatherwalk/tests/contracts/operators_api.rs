//! The operators' HTTP API, as docs/operators.md specifies it.

use std::{fmt::Write as _, time};

use protocol::{proposals, streams};
use replicated::quarantine;
use serde_json::{Value, json};
use world::{hosts, requests};

use crate::mesh::{self, TOKEN};

fn write_line(out: &mut String, name: &str, (status, body): &(u16, Value)) {
    // A cold start ends after 10 s, which a busy machine may reach.
    let body = body.to_string().replace("\"serving\"", "\"starting\"");
    writeln!(out, "{name}: {status} {body}").expect("text");
}

/// Guards against paths, statuses and bodies that differ from the document, and against a malformed
/// request that is interpreted as another one.
#[tokio::test(flavor = "multi_thread")]
async fn requests_and_answers() {
    let mesh = mesh::Mesh::start(1).await;
    let api = mesh.api();
    api.create().await;
    let node = mesh.node("skulte-1").await;
    let answer = heatherwalk::example::echo("skulte-1".into());
    let server = mesh::backend(node.announce(), answer).await;
    let in_force = |it: &(u16, Value)| it.1["data_centres"][0]["confirmed"] == 1;
    api.until(|| api.get("/v1/versions/1/progress"), in_force).await;
    api.until(|| api.get("/v1/targets"), |it| it.1[0]["service"] == "logbook").await;

    let token = format!("Bearer {TOKEN}");
    let good = json!({"base": 1, "request_id": "r-2", "operator": "ilze",
        "patch": {"routes": {"logs": {"weight": 7}}}});
    let edit = |change: &dyn Fn(&mut Value)| {
        let mut body = good.clone();
        change(&mut body);
        body.to_string()
    };
    let good_body = good.to_string();
    let reused = edit(&|it| it["operator"] = "janis".into());
    let conflict = edit(&|it| it["request_id"] = "r-3".into());
    let future_base = edit(&|it| (it["request_id"], it["base"]) = ("r-4".into(), 9.into()));
    let invalid = edit(&|it| {
        (it["request_id"], it["base"]) = ("r-5".into(), 2.into());
        it["patch"] = json!({
            "services": {"logbook": {"slots": 0, "home": "tas"}, "sonde lab": {"slots": 2000}},
            "routes": {"a": {"prefix": "x", "service": "none"}, "logs": {"weight": 101}},
        });
    });
    let unsupported = edit(&|it| {
        (it["request_id"], it["base"]) = ("r-7".into(), 2.into());
        it["patch"] = json!({"services": {"logbook": {"home": "tas"}}, "level": 9});
    });
    let not_object = edit(&|it| {
        (it["request_id"], it["base"], it["patch"]) = ("r-6".into(), 2.into(), json!([1]));
    });
    let unknown = edit(&|it| it["extra"] = 1.into());
    let no_base = edit(&|it| _ = it.as_object_mut().expect("an object").remove("base"));
    let negative = edit(&|it| it["base"] = (-1).into());
    let large = "x".repeat(3 * 1024 * 1024);
    let other = format!("Bearer {}", TOKEN.replace('t', "u"));
    let prefix = format!("Bearer {}", &TOKEN[1..]);
    let cases: &[(u16, &str, &str, &str)] = &[
        (401, "GET /v1/status", "", ""),
        (401, "GET /v1/status", &other, ""),
        (401, "GET /v1/status", &prefix, ""),
        (401, "GET /v1/status", TOKEN, ""),
        (401, "POST /v1/patches", &other, &good_body),
        (401, "GET /v1/nothing", "", ""),
        (200, "GET /v1/status", &token, ""),
        (200, "GET /v1/nodes", &token, ""),
        (200, "GET /v1/nodes?behind=true", &token, ""),
        (200, "GET /v1/nodes?behind=false", &token, ""),
        (400, "GET /v1/nodes?behind=yes", &token, ""),
        (200, "GET /v1/targets", &token, ""),
        (200, "GET /v1/quarantine", &token, ""),
        (200, "GET /v1/versions/1", &token, ""),
        (200, "GET /v1/versions/0", &token, ""),
        (200, "GET /v1/versions/0/progress", &token, ""),
        (404, "GET /v1/versions/2", &token, ""),
        (404, "GET /v1/versions/2/progress", &token, ""),
        (404, "GET /v1/versions/18446744073709551615", &token, ""),
        (404, "GET /v1/versions/18446744073709551616", &token, ""),
        (404, "GET /v1/versions/one", &token, ""),
        (404, "GET /v1/versions/+1", &token, ""),
        (404, "GET /v1/versions/1/", &token, ""),
        (404, "GET /v1/versions/", &token, ""),
        (404, "GET /v1/nothing", &token, ""),
        (404, "GET /", &token, ""),
        (404, "POST /v1/nothing", &token, ""),
        (405, "POST /v1/status", &token, ""),
        (405, "DELETE /v1/versions/1", &token, ""),
        (405, "GET /v1/patches", &token, ""),
        (400, "POST /v1/patches", &token, ""),
        (400, "POST /v1/patches", &token, "{"),
        (400, "POST /v1/patches", &token, &unknown),
        (400, "POST /v1/patches", &token, &no_base),
        (400, "POST /v1/patches", &token, &negative),
        (413, "POST /v1/patches", &token, &large),
        (200, "POST /v1/patches", &token, &good_body),
        (200, "POST /v1/patches", &token, &good_body),
        (409, "POST /v1/patches", &token, &reused),
        (409, "POST /v1/patches", &token, &conflict),
        (409, "POST /v1/patches", &token, &future_base),
        (422, "POST /v1/patches", &token, &invalid),
        (422, "POST /v1/patches", &token, &unsupported),
        (422, "POST /v1/patches", &token, &not_object),
        (200, "GET /v1/versions", &token, ""),
        (200, "GET /v1/versions?limit=1", &token, ""),
        (200, "GET /v1/versions?limit=0", &token, ""),
        (400, "GET /v1/versions?limit=-1", &token, ""),
        (400, "GET /v1/versions?limit=", &token, ""),
        (200, "GET /v1/versions/current", &token, ""),
    ];
    let mut out = String::new();
    for (status, request, token, body) in cases {
        let answer = api.send(request, token, body.as_bytes()).await;
        assert_eq!(answer.0, *status, "{request} {token} {body:.200}: {}", answer.1);
        if matches!(*status, 400 | 401 | 404 | 405 | 413) {
            assert!(answer.1["detail"].is_string(), "{request}: {}", answer.1);
        }
        write_line(&mut out, request, &answer);
    }
    insta::assert_snapshot!(out);
    server.stop(time::Duration::from_secs(1)).await;
    node.stop().await;
    mesh.control.stop().await;
}

/// Guards against a list of faults of an invalid candidate that is truncated without a count of the
/// omitted ones.
#[tokio::test(flavor = "multi_thread")]
async fn many_faults() {
    let mesh = mesh::Mesh::start(1).await;
    let api = mesh.api();
    api.create().await;
    let services: serde_json::Map<_, _> =
        (0..40).map(|it| (format!("s{it:02}"), json!({"slots": 0}))).collect();
    let (status, body) = api.patch(1, "r-2", &json!({"services": services})).await;
    assert_eq!(status, 422);
    let listed = body["faults"].as_array().expect("a list").len();
    assert_eq!(listed as u64 + body["more"].as_u64().expect("a count"), 40, "{body}");
}

/// Guards against wrong answers about versions that are no longer in the bounded history.
#[tokio::test(flavor = "multi_thread")]
async fn bounded_history() {
    let mesh = mesh::Mesh::start(1).await;
    let api = mesh.api();
    api.create().await;
    // A patch that removes a nonexistent route changes nothing and can be of any size.
    let patch = json!({"routes": {"x".repeat(1_000_000): null}});
    for base in 1..19 {
        let (status, body) = api.patch(base, &format!("r-{}", base + 1), &patch).await;
        assert_eq!((status, &body["version"]), (200, &json!(base + 1)));
    }
    let mut out = String::new();
    for version in [0, 1, 19, 20] {
        let (status, body) = api.get(&format!("/v1/versions/{version}")).await;
        writeln!(out, "version {version}: {status} {}", body["detail"]).expect("text");
    }
    let (status, body) = api.patch(1, "late", &patch).await;
    let since: Vec<_> = body["since"].as_array().expect("a list").iter().collect();
    writeln!(out, "conflict {status}: current {}, {} changes", body["current"], since.len())
        .expect("text");
    insta::assert_snapshot!(out, @r#"
    version 0: 404 "this control does not have the version: it does not exist yet, or the history no longer reaches back to it; list the versions with GET /v1/versions"
    version 1: 404 "this control does not have the version: it does not exist yet, or the history no longer reaches back to it; list the versions with GET /v1/versions"
    version 19: 200 null
    version 20: 404 "this control does not have the version: it does not exist yet, or the history no longer reaches back to it; list the versions with GET /v1/versions"
    conflict 409: current 19, 1 changes
    "#);
}

/// Guards against a quarantined request that is missing from the operator's list.
#[tokio::test(flavor = "multi_thread")]
async fn quarantine_list() {
    let mesh = mesh::Mesh::start(1).await;
    let api = mesh.api();
    api.create().await;
    let peer = mesh.peer("skulte-1", hosts::Role::Node);
    let link = peer.connect(mesh.control.listen().expect("bound"), "skulte-c").await;
    let link = link.expect("connects");
    for incarnation in [1, 2] {
        let crash = quarantine::CrashId { host: "skulte-1".into(), incarnation };
        let fingerprints = vec![requests::Fingerprint([7; 32])];
        let evidence = quarantine::Evidence::Crashed { crash, fingerprints };
        let request = proposals::Proposal::Evidence { age_ms: 0, evidence };
        let (mut sender, mut answers) = link.open_stream().await.expect("opens");
        sender.send(&streams::Open::Propose(request)).await.expect("sends");
        let outcome = answers.recv::<proposals::Outcome>().await.expect("an answer");
        assert!(matches!(outcome, Some(proposals::Outcome::Answered(_))), "{outcome:?}");
    }
    let listed = |it: &(u16, Value)| it.1.as_array().is_some_and(|it| !it.is_empty());
    let (status, body) = api.until(|| api.get("/v1/quarantine"), listed).await;
    assert_eq!(status, 200);
    assert_eq!(body, json!([{"fingerprint": "07".repeat(32), "left_ms": "MS"}]));
}

/// Guards against a control without a majority that answers as if it were current.
#[tokio::test(flavor = "multi_thread")]
async fn without_majority() {
    let mesh = mesh::Mesh::start(3).await;
    let api = mesh.api();
    let mut out = String::new();
    for (status, path) in [
        (503, "/v1/versions/current"),
        (200, "/v1/status"),
        (200, "/v1/versions"),
        (200, "/v1/nodes"),
        (200, "/v1/targets"),
        (200, "/v1/quarantine"),
        (200, "/v1/versions/0/progress"),
    ] {
        let answer = api.get(path).await;
        assert_eq!(answer.0, status, "{path}: {}", answer.1);
        write_line(&mut out, path, &answer);
    }
    let answer = api.patch(0, "r-1", &json!({})).await;
    assert_eq!(answer.0, 503);
    write_line(&mut out, "patch", &answer);
    insta::assert_snapshot!(out);
}
