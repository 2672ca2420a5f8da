//! The command line: accepted and refused arguments, exit codes and help texts.

use heatherwalk::{args, exit_codes};

const COMMANDS: [&str; 17] = [
    "node",
    "control",
    "check",
    "dev",
    "keys",
    "version",
    "create",
    "patch",
    "show",
    "diff",
    "history",
    "nodes",
    "targets",
    "quarantine",
    "status",
    "wait",
    "explain",
];

fn parse(line: &str) -> args::Result<args::Command> {
    args::parse(&line.split_whitespace().collect::<Vec<_>>())
}

/// Guards against options that are not parsed, changed defaults, and invalid arguments that are
/// accepted or end with another exit code than [`exit_codes::USAGE`].
#[test]
fn lines() {
    let accepted = [
        "node --settings node.ini",
        "node",
        "check --settings control.ini",
        "dev --port 7000",
        "dev",
        "version",
        "keys authority --out keys",
        "keys issue --authority keys --host skulte-1 --role node --out skulte-1",
        "create --file - --control 127.0.0.1:1",
        "patch --base 4 --file p.json --wait --request-id r1 --operator ilze \
         --control 127.0.0.1:1 --control [::1]:2 --token-file token --json",
        "show --version 3 --control 127.0.0.1:1",
        "diff 3 4 --control 127.0.0.1:1",
        "nodes --behind --control 127.0.0.1:1",
        "wait --version 7 --timeout-s 5 --control 127.0.0.1:1",
        "explain --node 127.0.0.1:1 --path /logs/1",
        "explain --node [::1]:2 --path / --method POST --host a.example --team b --json",
    ];
    let refused = [
        "",
        "proxy",
        "check",
        "dev --port 70000",
        "keys",
        "keys issue --authority keys --host ../x --role node --out out",
        "keys issue --authority keys --host authority --role node --out out",
        "keys issue --authority keys --host x --role proxy --out out",
        "patch --file p.json --control 127.0.0.1:1",
        "patch --base four --file p.json --control 127.0.0.1:1",
        "show --control localhost:1",
        "show --control 127.0.0.1:1 --versoin 3",
        "diff 3 --control 127.0.0.1:1",
        "status",
    ];
    let mut out = String::new();
    for line in accepted {
        let command = parse(line).expect(line);
        out += &format!("== {line}\n{command:?}\n");
    }
    for line in refused {
        let exit = parse(line).expect_err(line);
        assert_eq!(exit.code, exit_codes::USAGE, "{line}");
        out += &format!("== {line}\n{}\n", exit.text);
    }
    insta::assert_snapshot!(out);
}

/// Guards against a command without help, and against exit codes that are missing from the help.
#[test]
fn help() {
    let top = parse("--help").expect_err("help is printed");
    assert_eq!(top.code, exit_codes::DONE);
    for name in COMMANDS {
        assert!(top.text.contains(&format!("\n  {name} ")), "{name} is not in the help");
        let exit = parse(&format!("{name} --help")).expect_err("help is printed");
        assert_eq!(exit.code, exit_codes::DONE, "{name}");
    }
    let codes = exit_codes::DONE..=exit_codes::TIMED_OUT;
    for code in codes {
        assert!(top.text.contains(&format!("\n  {code} ")), "code {code} is not in the help");
    }
    let patch = parse("patch --help").expect_err("help is printed");
    insta::assert_snapshot!(format!("{}\n\n{}", top.text, patch.text));
    assert!(args::version().starts_with("heatherwalk "));
}
