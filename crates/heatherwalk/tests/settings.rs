//! Settings files: which are accepted, and the errors of the others.

use std::{fs, process};

use heatherwalk::settings;

const NODE: &str = "
[host]
name = skulte-1
role = node
region = vidzeme
data-centre = skulte
listen = 127.0.0.1:7101
metrics = 127.0.0.1:9101

[identity]
authority = keys/authority.pem
certificate = keys/skulte-1.pem
key = keys/skulte-1.key

[node]
callers = 127.0.0.1:8101
announce = 127.0.0.1:8201
advertise = 127.0.0.1:7301

[control.skulte-c]
region = vidzeme
data-centre = skulte
address = 127.0.0.1:7001
votes = configuration claims

[control.jugla-c]
region = vidzeme
data-centre = jugla
address = 127.0.0.1:7002
votes = none

[links]
skulte/jugla = 1000
";

/// Guards against faulty settings that are accepted, and against errors that do not name the file,
/// the section, the key, the value and the allowed values.
#[test]
fn files() {
    let cases = [
        ("complete", NODE.to_owned()),
        ("unknown key", NODE.replace("workers", "w") + "[host]\nwrokers = 3\n"),
        ("unknown section", NODE.to_owned() + "[nodes]\ncallers = x\n"),
        ("bad values", NODE.replace("= node", "= proxy").replace("127.0.0.1:8101", "localhost")),
        ("missing", NODE.replace("listen = 127.0.0.1:7101", "")),
        ("bad link", NODE.replace("skulte/jugla = 1000", "skulte/riga = 0")),
        ("log", NODE.to_owned() + "[log]\nlevel = debug\ndecisions = off\n"),
        ("bad log", NODE.to_owned() + "[log]\nlevel = Loud\ndecisions = maybe\nfile = x\n"),
        ("no votes", NODE.replace("votes = configuration claims", "votes = claims")),
        ("no section for itself", NODE.replace("role = node", "role = control")),
        ("not INI", "[host\nname".to_owned()),
    ];
    let folder = tempfile::tempdir().expect("a folder for the files");
    let mut out = String::new();
    for (name, text) in cases {
        let path = folder.path().join("settings.ini");
        fs::write(&path, text).expect("writing a settings file");
        let result = settings::load(path.to_str().expect("a path in UTF-8"));
        let summary = match result {
            Ok(settings::Settings::Node(it, settings::Process { log, .. })) => {
                let hosts = it.mesh.hosts().count();
                format!("node, {hosts} hosts, {} workers, {log:?}", it.workers)
            }
            Ok(settings::Settings::Control(..)) => "control".to_owned(),
            Err(err) => err.to_string(),
        };
        let folder = folder.path().to_str().expect("a path in UTF-8");
        out += &format!("== {name}\n{}\n", summary.replace(folder, "DIR"));
    }
    insta::assert_snapshot!(out);
}

const CONTROL: &str = "
[host]
name = skulte-c
role = control
region = vidzeme
data-centre = skulte
listen = 127.0.0.1:7001
metrics = 127.0.0.1:9001
workers = 64
stop-limit-ms = 600000

[identity]
authority = keys/authority.pem
certificate = keys/skulte-c.pem
key = keys/skulte-c.key

[control]
operators = 127.0.0.1:7501
token = 0123456789abcdef
data = /var/lib/heatherwalk

[control.skulte-c]
region = vidzeme
data-centre = skulte
address = 127.0.0.1:7001
votes = configuration claims
";

/// Guards against a required key that may be missing, a key that takes any value, and a fault that
/// does not name its key.
#[test]
fn each_key() {
    let folder = tempfile::tempdir().expect("a folder for the files");
    let path = folder.path().join("settings.ini");
    let path = path.to_str().expect("a path in UTF-8");
    let load = |lines: &[String]| {
        fs::write(path, lines.join("\n")).expect("writing a settings file");
        match settings::load(path) {
            Ok(_) => "accepted".to_owned(),
            Err(err) => err.to_string().replace(path, "FILE").replace("\n", "").to_string(),
        }
    };
    let mut out = String::new();
    for (role, text) in [("node", NODE), ("control", CONTROL)] {
        let lines: Vec<_> = text.lines().map(str::to_owned).collect();
        assert_eq!(load(&lines), "accepted", "{role}");
        let mut section = "";
        for (index, line) in text.lines().enumerate() {
            if line.starts_with('[') {
                section = line;
            }
            let Some((key, _)) = line.split_once(" = ") else { continue };
            let with = |new: String| {
                let mut lines = lines.clone();
                lines[index] = new;
                load(&lines)
            };
            let (missing, bad) = (with(String::new()), with(format!("{key} = ?")));
            out += &format!("{role} {section} {key}\n  missing: {missing}\n  bad: {bad}\n");
        }
    }
    for (name, from, to) in [
        ("no workers", "workers = 64", "workers = 0"),
        ("too many workers", "workers = 64", "workers = 65"),
        ("long stop", "stop-limit-ms = 600000", "stop-limit-ms = 600001"),
        ("short token", "token = 0123456789abcdef", "token = 0123456789abcde"),
    ] {
        let text = CONTROL.replace(from, to);
        let lines: Vec<_> = text.lines().map(str::to_owned).collect();
        out += &format!("{name}: {}\n", load(&lines));
    }
    insta::assert_snapshot!(out);
}

/// Guards against a `check` command that reports only the first fault, or that succeeds on a faulty
/// file.
#[test]
fn check_command() {
    let folder = tempfile::tempdir().expect("a folder for the files");
    let mut out = String::new();
    for (name, text) in [
        ("good.ini", CONTROL.to_owned()),
        ("bad.ini", CONTROL.replace("workers = 64", "workers = x").replace("data =", "date =")),
    ] {
        let path = folder.path().join(name);
        fs::write(&path, text).expect("writing a settings file");
        let run = process::Command::new(env!("CARGO_BIN_EXE_heatherwalk"))
            .arg("check")
            .arg("--settings")
            .arg(&path)
            .output()
            .expect("runs");
        let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).expect("text");
        let folder = folder.path().to_str().expect("a path in UTF-8");
        out += &format!("== {name}: {:?}\n{}", run.status.code(), text(&run.stdout));
        out += &text(&run.stderr).replace(folder, "DIR");
    }
    insta::assert_snapshot!(out);
}
