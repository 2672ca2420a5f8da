//! Settings files: what is accepted, and what is said about the others.

use std::fs;

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

/// Guards against settings that are accepted with a mistake in them, and against errors that do
/// not name file, section, key, value and what is allowed.
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
            Ok(settings::Settings::Node(it, _, log)) => {
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
