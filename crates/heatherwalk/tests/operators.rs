//! The operators' commands, with closures in place of the controls.

use std::{cell, collections, time};

use heatherwalk::{args, exit_codes, operators};
use serde_json::{Value, json};

type Answer = Result<operators::Reply, operators::RequestError>;

fn reply(status: u16, body: Value) -> Answer {
    Ok(operators::Reply { status, body })
}

fn lost() -> Answer {
    Err(operators::RequestError::Lost("connection reset".into()))
}

fn unreachable() -> Answer {
    Err(operators::RequestError::Unreachable("connection refused".into()))
}

fn unavailable() -> Answer {
    reply(503, json!({"result": "unavailable", "detail": "no leader with a lease"}))
}

fn progress(confirmed: usize, in_force: bool) -> Answer {
    let centre = |name, confirmed| json!({"data_centre": name, "nodes": 4, "confirmed": confirmed, "age_ms": 90});
    let centres = [centre("jugla", confirmed), centre("skulte", 4)];
    reply(200, json!({"version": 8, "in_force": in_force, "data_centres": centres}))
}

/// A command that has ended: its exit code, its output as text, and the requests that it sent.
struct Run {
    code: u8,
    summary: String,
    requests: Vec<operators::Request>,
}

/// Runs a command line. The controls answer its requests with `answers` in turn, and all further
/// requests with the last one.
fn run(line: &str, answers: &[Answer]) -> Run {
    let line: Vec<_> = line.split_whitespace().collect();
    let command = args::parse(&line).expect("a correct command line");
    let clock = cell::Cell::new(time::Duration::ZERO);
    let mut requests = Vec::new();
    let mut client = operators::Client {
        controls: command.common_options().expect("an operators' command").control,
        send: &mut |request: &operators::Request| {
            let answer = &answers[requests.len().min(answers.len() - 1)];
            requests.push(request.clone());
            answer.clone()
        },
        sleep: &mut |pause| {
            clock.set(clock.get() + pause);
            clock.get()
        },
    };
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let mut console = operators::Console {
        input: &mut r#"{"routes":{"logs":{"weight":7}}}"#.as_bytes(),
        out: &mut out,
        err: &mut err,
        user: Some("ilze".into()),
    };
    let result = operators::run(&command, &mut client, &mut console);
    let code = result.as_ref().map_or_else(operators::Error::exit_code, |()| exit_codes::DONE);
    let message = result.map_or_else(|err| format!("error: {err}\n"), |()| String::new());
    let text = |it| String::from_utf8(it).expect("text");
    let summary = format!(
        "code {code} after {:?} and {} requests\n{}-- err\n{}{message}",
        clock.get(),
        requests.len(),
        text(out),
        text(err),
    );
    Run { code, summary, requests }
}

fn history() -> Value {
    let record = |version: u64, operator: &str, patch: Value| {
        let accepted_ms = 1_709_251_199_000 + version * 1_000;
        json!({"version": version, "operator": operator, "accepted_ms": accepted_ms, "patch": patch})
    };
    json!([
        record(6, "ilze", json!({"routes": {"logs": {"weight": 9}, "old": null}})),
        record(7, "jānis", json!({"level": 1, "services": {"a": {}, "b": {}, "c": {}, "d": {}}})),
    ])
}

fn document(weight: u32) -> Value {
    let route = json!({"prefix": "/logs", "service": "logbook", "weight": weight});
    json!({"services": {"logbook": {"slots": 6}}, "routes": {"logs": route}})
}

const PATCH: &str = "patch --base 5 --file - --request-id r1 --control 127.0.0.1:1 \
                     --control 127.0.0.1:2";

/// Guards against wrong exit codes, refusals that do not say what to do next, and resends that
/// differ from the first request.
#[test]
fn patches() {
    let accepted = || reply(200, json!({"result": "accepted", "version": 8}));
    let fault =
        json!({"path": "routes.x.service", "kind": "dangling", "detail": "no service \"y\""});
    let invalid = || reply(422, json!({"result": "invalid", "faults": [fault]}));
    let conflict = || reply(409, json!({"result": "conflict", "current": 7, "since": history()}));
    let json = format!("{PATCH} --json");
    let wait = format!("{PATCH} --wait");
    let named = format!("{PATCH} --operator o'ilze");
    let cases: [(&str, &str, u8, &[Answer]); 13] = [
        ("accepted", PATCH, 0, &[accepted()]),
        ("accepted as JSON", &json, 0, &[accepted()]),
        ("accepted and in force", &wait, 0, &[accepted(), progress(2, false), progress(4, true)]),
        ("accepted, not in force", &wait, 5, &[accepted(), progress(2, false)]),
        ("conflict", PATCH, 3, &[conflict()]),
        ("conflict as JSON", &json, 3, &[conflict()]),
        ("invalid", PATCH, 3, &[invalid()]),
        ("request ID reused", PATCH, 3, &[reply(409, json!({"result": "request_reused"}))]),
        ("next control after unavailable", PATCH, 0, &[unavailable(), accepted()]),
        ("next control after a lost answer", PATCH, 0, &[lost(), accepted()]),
        ("all controls after a pause", PATCH, 0, &[lost(), unreachable(), accepted()]),
        ("no control", &named, 4, &[unavailable(), lost()]),
        ("wrong token", PATCH, 1, &[reply(401, Value::Null)]),
    ];
    let mut out = String::new();
    for (name, line, code, answers) in cases {
        let run = run(line, answers);
        assert_eq!(run.code, code, "{name}");
        let sent: Vec<_> = run.requests.iter().filter_map(|it| it.body.as_ref()).collect();
        assert!(sent.iter().all(|it| *it == sent[0]), "{name}: a resend differs");
        assert_eq!(sent[0]["request_id"], "r1", "{name}");
        let operator = if line.contains("--operator") { "o'ilze" } else { "ilze" };
        assert_eq!(sent[0]["operator"], operator, "{name}");
        out += &format!("== {name}\n{}", run.summary);
    }
    insta::assert_snapshot!(out);
}

/// Guards against resends to the control that has just failed, and against random request IDs that
/// change between the resends of a patch or are the same for two patches.
#[test]
fn resends() {
    let line = "patch --base 5 --file - --control 127.0.0.1:1 --control 127.0.0.1:2";
    let answers = [
        lost(),
        unavailable(),
        unreachable(),
        reply(200, json!({"result": "accepted", "version": 6})),
    ];
    let first = run(line, &answers);
    let ports: Vec<_> = first.requests.iter().map(|it| it.control.port()).collect();
    assert_eq!(ports, [1, 2, 1, 2]);
    let id = |run: &Run| {
        run.requests
            .iter()
            .map(|it| it.body.clone().expect("a body")["request_id"].to_string())
            .collect::<collections::BTreeSet<_>>()
    };
    assert_eq!(id(&first).len(), 1);
    let printed = id(&first).pop_first().expect("an ID").replace('"', "");
    assert!(first.summary.contains(&format!("request ID {printed}")), "{}", first.summary);
    assert_ne!(id(&first), id(&run(line, &answers)));
}

/// Guards against tables and JSON that cannot be read, and against requests for paths that the API
/// does not have.
#[test]
fn reads() {
    let node = json!({"host": "skulte-1", "data_centre": "skulte", "version": 7, "behind_ms": null, "heard_ms": 400});
    let behind = json!({"host": "jugla-12", "data_centre": "jugla", "version": null, "behind_ms": 75_000, "heard_ms": 3_725_000});
    let target = json!({"service": "logbook", "host": "skulte-1\u{1b}[2J", "data_centre": "skulte", "state": "serving", "slots": 6, "version": "v2\u{1b}"});
    let request = json!({"fingerprint": "0badcafe", "left_ms": 59_900});
    let status = |current| json!({"host": "skulte-c", "data_centre": "skulte", "role": "leader", "leader": "skulte-c", "current": current, "version": 7, "nodes": 4, "converged": 3});
    let version =
        |number, weight| reply(200, json!({"version": number, "document": document(weight)}));
    let missing = reply(404, json!({"detail": "version 9 is newer than this control's 7"}));
    let cases: [(&str, u8, &[Answer]); 16] = [
        ("show", 0, &[version(7, 1)]),
        ("show --version 6 --json", 0, &[version(6, 1)]),
        ("show --version 9", 1, std::slice::from_ref(&missing)),
        ("diff 6 7", 0, &[version(6, 1), version(7, 9)]),
        ("diff 7 7", 0, &[version(7, 9), version(7, 9)]),
        ("history --limit 2", 0, &[reply(200, history())]),
        ("nodes --behind", 0, &[reply(200, json!([behind]))]),
        ("nodes --json", 0, &[reply(200, json!([node]))]),
        ("nodes", 0, &[reply(200, json!([node, behind]))]),
        ("targets", 0, &[reply(200, json!([target]))]),
        ("quarantine", 0, &[reply(200, json!([request]))]),
        ("status --control 127.0.0.1:2", 0, &[unreachable(), reply(200, status(true))]),
        ("status", 4, &[reply(200, status(false))]),
        ("history", 1, &[reply(200, json!({"versions": 3}))]),
        ("targets", 1, &[reply(500, Value::Null)]),
        ("quarantine", 4, &[unreachable()]),
    ];
    let mut out = String::new();
    for (line, code, answers) in cases {
        let run = run(&format!("{line} --control 127.0.0.1:1"), answers);
        assert_eq!(run.code, code, "{line}");
        let paths: Vec<_> =
            run.requests.iter().map(|it| format!("{} {}", it.method, it.path)).collect();
        let paths = paths.iter().collect::<collections::BTreeSet<_>>();
        out += &format!("== {line}: {paths:?}\n{}", run.summary);
    }
    insta::assert_snapshot!(out);
}

/// Guards against a wait that ends before the version is in force everywhere or after the timeout,
/// or that fails because a control is behind or unreachable for a moment.
#[test]
fn waits() {
    let missing = || reply(404, json!({"detail": "version 8 is newer than this control's 7"}));
    let cases: [(&str, u8, &[Answer]); 5] = [
        ("done at once", 0, &[progress(4, true)]),
        (
            "done later",
            0,
            &[
                missing(),
                unreachable(),
                progress(1, false),
                progress(1, false),
                progress(4, false),
                progress(4, true),
            ],
        ),
        ("timed out", 5, &[progress(3, false)]),
        ("controls lost", 5, &[progress(3, false), unreachable()]),
        ("wrong token", 1, &[reply(401, Value::Null)]),
    ];
    let mut out = String::new();
    for (name, code, answers) in cases {
        let run = run("wait --version 8 --timeout-s 3 --control 127.0.0.1:1", answers);
        assert_eq!(run.code, code, "{name}");
        assert!(run.requests.iter().all(|it| it.path == "/v1/versions/8/progress"), "{name}");
        out += &format!("== {name}\n{}", run.summary);
    }
    insta::assert_snapshot!(out);
}

/// Guards against an order of a rollout that is sent changed or to the wrong place, and against
/// refusals that an operator cannot tell from success.
#[test]
fn rollouts() {
    const START: &str = "rollout start --service logbook --target v2 --over 12s --control 127.0.0.1:1 \
                         --control 127.0.0.1:2";
    const SHOW: &str = "rollout show --service logbook --control 127.0.0.1:1";
    let state = |it: &str| reply(200, json!({"state": it, "target": "v2"}));
    let problem = |status, detail: &str| reply(status, json!({"detail": detail}));
    let json = format!("{SHOW} --json");
    let cases: [(&str, &str, u8, &[Answer]); 8] = [
        ("accepted", START, 0, &[state("running")]),
        ("sent again after a lost answer", START, 0, &[lost(), state("running")]),
        ("another one in progress", START, 3, &[problem(409, "in progress")]),
        ("unknown version", START, 3, &[problem(400, "no target has it")]),
        ("no control", START, 4, &[unavailable()]),
        ("show", SHOW, 0, &[state("rolled_back")]),
        ("show as JSON", &json, 0, &[state("complete")]),
        ("no order", SHOW, 1, &[problem(404, "there is no order")]),
    ];
    let mut out = String::new();
    for (name, line, code, answers) in cases {
        let run = run(line, answers);
        assert_eq!(run.code, code, "{name}");
        let last = run.requests.last().expect("a request");
        assert!(run.requests.iter().all(|it| it.body == last.body), "{name}: a resend differs");
        let body = last.body.clone().unwrap_or_default();
        out += &format!("{name}: {} {} {body}\n{}\n", last.method, last.path, run.summary);
    }
    insta::assert_snapshot!(out);
}
