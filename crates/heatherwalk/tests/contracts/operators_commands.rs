//! The operators' commands against a running control.

use std::{cell, fmt::Write as _, net, time};

use heatherwalk::{api_client, args, exit_codes, operators};

use crate::mesh::{self, TOKEN};

/// Runs a command line against a control and returns its exit code and output.
fn run_command(control: net::SocketAddr, token: &str, line: &str, input: &str) -> (u8, String) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    let line = format!("{line} --control {control}");
    let line: Vec<_> = line.split_whitespace().collect();
    let command = args::parse(&line).unwrap_or_else(|err| panic!("{line:?}: {err:?}"));
    let http = mesh::client();
    // Pauses count in full but take a quarter of their time, so that retries against an
    // unavailable control end sooner.
    let total_wait = cell::Cell::new(time::Duration::ZERO);
    let mut client = operators::Client {
        controls: command.common_options().expect("an operators' command").control,
        send: &mut |it: &operators::Request| runtime.block_on(api_client::send(&http, token, it)),
        sleep: &mut |pause: time::Duration| {
            std::thread::sleep(pause / 4);
            total_wait.set(total_wait.get() + pause);
            total_wait.get()
        },
    };
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let mut console = operators::Console {
        input: &mut input.as_bytes(),
        out: &mut out,
        err: &mut err,
        user: Some("ilze".into()),
    };
    let result = operators::run(&command, &mut client, &mut console);
    let code = result.as_ref().map_or_else(operators::Error::exit_code, |()| exit_codes::DONE);
    let message = result.map_or_else(|err| format!("error: {err}\n"), |()| String::new());
    let text = |it| String::from_utf8(it).expect("text");
    (code, format!("{}-- err\n{}{message}", text(out), text(err)))
}

/// Replaces what differs from run to run, addresses and times, with placeholders.
fn mask(text: &str, control: net::SocketAddr, folder: &str) -> String {
    let text = text.replace(&control.to_string(), "CONTROL").replace(folder, "DIR");
    let mut out = String::new();
    for line in text.lines() {
        let words: Vec<_> = line.split_whitespace().collect();
        let measured = |it: &&str| it.ends_with("_ms\":") && !it.contains("timeout");
        let hidden = match words.first() {
            Some(first) if measured(first) => format!("{first} MS"),
            _ => words
                .iter()
                .map(|it| match it.as_bytes() {
                    [b'2', b'0', _, _, b'-', ..] => "DATE",
                    [b'0'..=b'9', .., b's'] | [_, _, b':', _, _, b':', _, ..] => "TIME",
                    _ => it,
                })
                .collect::<Vec<_>>()
                .join(" "),
        };
        let hidden = match hidden.rsplitn(3, ' ').collect::<Vec<_>>()[..] {
            ["ms" | "s", number, rest] if number.parse::<u64>().is_ok() => format!("{rest} TIME"),
            _ => hidden,
        };
        // A cold start ends after 10 s, which a busy machine may reach.
        writeln!(out, "{}", hidden.replace("serving", "starting")).expect("text");
    }
    out
}

/// Guards against a client and a control that interpret the operators' API differently.
#[tokio::test(flavor = "multi_thread")]
async fn commands() {
    let mesh = mesh::Mesh::start(1).await;
    let api = mesh.api();
    let control = mesh.control.operators_addr();
    let node = mesh.node("skulte-1").await;
    let answer = heatherwalk::example::echo("skulte-1".into());
    let server = mesh::backend(node.announce(), answer).await;
    let file = mesh.folder.path().join("riga.json");
    let document = r#"{"services":{"logbook":{"home":"vidzeme","slots":6}},
        "routes":{"logs":{"prefix":"/logs","service":"logbook"}}}"#;
    std::fs::write(&file, document).expect("writes");
    api.until(|| api.get("/v1/status"), |it| it.1["current"] == true).await;
    api.until(|| api.get("/v1/targets"), |it| it.1[0]["service"] == "logbook").await;
    let file = file.to_str().expect("UTF-8").to_owned();
    let create = format!("create --file {file} --request-id r-1 --wait --timeout-s 60");
    let from_file = format!("patch --base 1 --file {file} --request-id r-3");
    let weight = r#"{"routes":{"logs":{"weight":7}}}"#;
    let bad = r#"{"routes":{"logs":{"weight":700,"service":"none"}}}"#;
    let cases: Vec<(u8, &str, &str, &str)> = vec![
        (0, TOKEN, &create, ""),
        (0, TOKEN, "patch --base 1 --file - --request-id r-2 --json", weight),
        (0, TOKEN, "patch --base 1 --file - --request-id r-2", weight),
        (3, TOKEN, "patch --base 1 --file - --request-id r-2 --operator janis", weight),
        (3, TOKEN, &from_file, ""),
        (3, TOKEN, "patch --base 2 --file - --request-id r-4", bad),
        (3, TOKEN, "patch --base 2 --file - --request-id r-4 --json", bad),
        (1, TOKEN, "patch --base 2 --file - --request-id r-5", "{"),
        (1, TOKEN, "patch --base 2 --file /does/not/exist --request-id r-5", ""),
        (0, TOKEN, "wait --version 2 --timeout-s 60", ""),
        (0, TOKEN, "wait --version 2 --json", ""),
        (5, TOKEN, "wait --version 3 --timeout-s 1", ""),
        (0, TOKEN, "show", ""),
        (0, TOKEN, "show --version 1 --json", ""),
        (1, TOKEN, "show --version 9", ""),
        (0, TOKEN, "diff 1 2", ""),
        (0, TOKEN, "diff 1 2 --json", ""),
        (0, TOKEN, "history", ""),
        (0, TOKEN, "history --limit 1 --json", ""),
        (0, TOKEN, "nodes", ""),
        (0, TOKEN, "nodes --behind --json", ""),
        (0, TOKEN, "targets", ""),
        (0, TOKEN, "targets --json", ""),
        (0, TOKEN, "quarantine", ""),
        (0, TOKEN, "quarantine --json", ""),
        (0, TOKEN, "status", ""),
        (0, TOKEN, "status --json", ""),
        (1, "another-token-than-the-control", "history", ""),
    ];
    let folder = mesh.folder.path().to_str().expect("UTF-8").to_owned();
    let mut out = String::new();
    for (expected, token, line, input) in cases {
        let (owned, input) = (line.to_owned(), input.to_owned());
        let ran = tokio::task::spawn_blocking(move || run_command(control, token, &owned, &input));
        let (code, text) = ran.await.expect("runs");
        assert_eq!(code, expected, "{line}: {text}");
        // The progress lines of a wait depend on the speed of the machine.
        let text = if line.contains("timeout-s 60") {
            text.lines()
                .filter(|it| !it.starts_with("version") || it.contains("in force"))
                .fold(String::new(), |all, it| all + it + "\n")
        } else {
            text
        };
        let line = line.replace(&folder, "DIR");
        writeln!(out, "== {line}: {code}\n{}", mask(&text, control, &folder)).expect("text");
    }
    insta::assert_snapshot!(out);
    server.stop(time::Duration::from_secs(1)).await;
    node.stop().await;
    mesh.control.stop().await;
}

/// Guards against a command that succeeds or hangs when its control is not current.
#[tokio::test(flavor = "multi_thread")]
async fn control_without_majority() {
    let mesh = mesh::Mesh::start(3).await;
    let control = mesh.control.operators_addr();
    let mut out = String::new();
    for (expected, line) in
        [(4, "show"), (4, "status"), (5, "wait --version 1 --timeout-s 1"), (0, "history")]
    {
        let ran = tokio::task::spawn_blocking(move || run_command(control, TOKEN, line, ""));
        let (code, text) = ran.await.expect("runs");
        assert_eq!(code, expected, "{line}: {text}");
        writeln!(out, "== {line}: {code}\n{}", mask(&text, control, "DIR")).expect("text");
    }
    insta::assert_snapshot!(out);
}
