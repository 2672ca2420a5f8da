//! When a starting control has the complete list of the mesh's controls.

use std::{fmt::Write as _, net, time};

use heatherwalk::discovery;
use protocol::operators;

fn addr(host: u8) -> net::SocketAddr {
    (net::Ipv4Addr::new(10, host, 0, 1), 7000).into()
}

fn record(host: u8) -> operators::ControlRecord {
    operators::ControlRecord {
        name: format!("control-{host}").into(),
        region: "vidzeme".into(),
        data_centre: format!("dc-{host}").into(),
        addr: addr(host),
        operators: Some(addr(host)),
        votes: false,
    }
}

fn formed(hosts: &[u8]) -> operators::ControlList {
    let controls = hosts.iter().map(|&it| operators::ControlRecord {
        votes: it <= 3,
        operators: None,
        ..record(it)
    });
    operators::ControlList { formed: true, controls: controls.collect() }
}

/// Guards against a second mesh beside a live one, which a control with an empty disk would form if
/// it did not wait for the list of a running control, and against groups that lack one of the
/// seeds.
#[test]
fn complete_lists() {
    struct Case {
        name: &'static str,
        me: u8,
        bootstrap: bool,
        introduced: &'static [u8],
        formed: Option<operators::ControlList>,
        elapsed_ms: u64,
    }
    let case = |name, me, bootstrap, introduced, formed, elapsed_ms| Case {
        name,
        me,
        bootstrap,
        introduced,
        formed,
        elapsed_ms,
    };
    let cases = [
        case("all seeds are there", 1, true, &[2, 3], None, 1_000),
        case("too early for others", 1, true, &[2, 3], None, 100),
        case("a seed is missing", 1, true, &[2], None, 60_000),
        case("a fourth control that is no seed", 4, true, &[1, 2, 3], None, 1_000),
        case("a seed with a fourth control", 1, true, &[2, 3, 4], None, 1_000),
        case("an empty disk without bootstrap", 1, false, &[2, 3], None, 60_000),
        case("an empty disk beside a live mesh", 1, false, &[], Some(formed(&[1, 2, 3])), 0),
        case("a new control beside a live mesh", 5, false, &[], Some(formed(&[1, 2, 3])), 0),
        case("late start in a new mesh", 3, true, &[], Some(formed(&[1, 2, 3])), 0),
    ];
    let mut out = String::new();
    for case in cases {
        let seeds = discovery::Seeds {
            addrs: vec![addr(1), addr(2), addr(3)],
            bootstrap: case.bootstrap,
            claims: true,
        };
        let mut table = discovery::PeerTable::new(seeds, record(case.me));
        for &it in case.introduced {
            table.introduce(record(it), Some(addr(it))).expect("a valid record");
        }
        if let Some(formed) = case.formed {
            table.merge(addr(1), formed);
        }
        assert!(!table.snapshot().formed, "{}: a snapshot is never a formed list", case.name);
        let result = table.complete_list(time::Duration::from_millis(case.elapsed_ms));
        let text = result.map_or("waits".into(), |it| {
            let names = it.controls.iter().map(|it| match it.votes {
                true => format!("{} votes", it.name),
                false => it.name.to_string(),
            });
            names.collect::<Vec<_>>().join(", ")
        });
        writeln!(out, "{}: {text}", case.name).expect("text");
    }
    insta::assert_snapshot!(out);
}

/// Guards against an odd record of another writer that replaces a control in the list from which a
/// new mesh is formed, that becomes a voter, or that keeps the next proper record out.
#[test]
fn an_odd_record_replaces_a_control() {
    let odd = |change: fn(&mut operators::ControlRecord)| {
        let mut record = record(9);
        change(&mut record);
        record
    };
    let name = |name: &str| operators::ControlRecord { name: name.into(), ..record(9) };
    let as_seed = operators::ControlRecord { operators: Some(addr(2)), ..record(9) };
    let no_port = (net::Ipv4Addr::new(10, 9, 0, 1), 0).into();
    let cases = [
        ("a fourth control", record(9)),
        ("port 0", odd(|it| it.addr.set_port(0))),
        ("operators' port 0", operators::ControlRecord { operators: Some(no_port), ..record(9) }),
        ("unspecified address", odd(|it| it.addr.set_ip(net::Ipv4Addr::UNSPECIFIED.into()))),
        ("multicast address", odd(|it| it.addr.set_ip(net::Ipv4Addr::new(224, 0, 0, 1).into()))),
        ("broadcast address", odd(|it| it.addr.set_ip(net::Ipv4Addr::BROADCAST.into()))),
        ("empty name", name("")),
        ("name of a megabyte", name(&"n".repeat(1 << 20))),
        ("control character in the name", name("a\nb")),
        ("region of a megabyte", odd(|it| it.region = "r".repeat(1 << 20).into())),
        ("empty data centre", odd(|it| it.data_centre = "".into())),
        ("says that it votes", odd(|it| it.votes = true)),
        ("at a seed's operators' port", as_seed),
        ("with a seed's name", name("control-2")),
        ("with the own name", name("control-1")),
    ];
    let mut out = String::new();
    for (name, odd) in cases {
        let seeds = discovery::Seeds {
            addrs: vec![addr(1), addr(2), addr(3)],
            bootstrap: true,
            claims: true,
        };
        let mut table = discovery::PeerTable::new(seeds, record(1));
        // The odd record comes before and after the seed's own, from another host.
        let first = table.introduce(odd.clone(), Some(addr(9)));
        for it in [2, 3] {
            table.introduce(record(it), Some(addr(it))).expect("a valid record");
        }
        let second = table.introduce(odd.clone(), Some(addr(9)));
        // A seed passes it on that does not check what others send.
        table.merge(addr(3), operators::ControlList { formed: false, controls: vec![odd] });
        let hosts = table.complete_list(time::Duration::from_secs(1)).expect("all seeds are known");
        let voters = hosts.controls.iter().filter(|it| it.votes);
        let voters: Vec<_> = voters.map(|it| (it.name.to_string(), it.addr)).collect();
        assert_eq!(voters, [1, 2, 3].map(|it| (format!("control-{it}"), addr(it))), "{name}");
        let text = |result: Result<(), discovery::RecordError>| match result {
            Ok(()) => "accepted".to_owned(),
            Err(err) => format!("refused: {err}"),
        };
        let (first, second, count) = (text(first), text(second), hosts.controls.len());
        writeln!(out, "{name}: {first}, then {second}; {count} controls").expect("text");
    }
    insta::assert_snapshot!(out);
}

/// Guards against a list of controls that grows with each record of another writer, until it can no
/// longer be sent.
#[test]
fn odd_records_fill_the_list() {
    let seeds = discovery::Seeds { addrs: vec![addr(1), addr(2)], bootstrap: true, claims: true };
    let mut table = discovery::PeerTable::new(seeds, record(1));
    let mut refused = 0;
    for port in 1..=u16::MAX {
        let operators = net::SocketAddr::from((net::Ipv4Addr::new(10, 9, 0, 1), port));
        let name = format!("{}-{port}", "n".repeat(58)).into();
        let record = operators::ControlRecord { name, operators: Some(operators), ..record(9) };
        refused += u32::from(table.introduce(record, Some(operators)).is_err());
    }
    table.introduce(record(2), Some(addr(2))).expect("a seed always finds room");
    let bytes = serde_json::to_vec(&table.snapshot()).expect("JSON").len();
    assert!(refused > 60_000, "{refused} refused");
    assert!(bytes < 512 * 1024, "{bytes} bytes");
}

/// Guards against a stored list of controls that is damaged, or written by somebody else, and ends
/// the control or sends it to addresses of nobody. The list is then discovered again.
#[tokio::test]
async fn an_odd_stored_list_is_used() {
    let good = serde_json::to_value(formed(&[1, 2, 3])).expect("JSON");
    let edit = |path: &str, value: serde_json::Value| {
        let mut list = good.clone();
        *list.pointer_mut(path).expect("a field") = value;
        list.to_string()
    };
    let cases = [
        ("good", good.to_string()),
        ("empty file", String::new()),
        ("cut", good.to_string()[..90].to_owned()),
        ("nested", "[".repeat(100_000)),
        ("port 65536", edit("/controls/0/addr", "10.1.0.1:65536".into())),
        ("port 0", edit("/controls/0/addr", "10.1.0.1:0".into())),
        ("multicast address", edit("/controls/0/addr", "224.0.0.1:7000".into())),
        ("empty name", edit("/controls/0/name", "".into())),
        ("name of a megabyte", edit("/controls/0/name", "n".repeat(1 << 20).into())),
        ("not formed", edit("/formed", false.into())),
        ("no controls", edit("/controls", serde_json::json!([]))),
        ("no voters", serde_json::to_string(&formed(&[4, 5])).expect("JSON")),
    ];
    let mut out = String::new();
    for (name, text) in cases {
        let folder = tempfile::tempdir().expect("a folder");
        std::fs::write(folder.path().join("hosts.json"), text).expect("written");
        // The only seed is the control itself: a list that is not used is formed again.
        let listen: net::SocketAddr = (net::Ipv4Addr::LOCALHOST, 0).into();
        let seeds = discovery::Seeds { addrs: vec![listen], bootstrap: true, claims: true };
        let mut me = record(1);
        me.operators = Some(listen);
        let joined = discovery::join(&seeds, me, listen, folder.path()).await.expect("a list");
        writeln!(out, "{name}: {} controls", joined.controls.len()).expect("text");
    }
    insta::assert_snapshot!(out);
}

/// Guards against an odd introduction that stops a starting control, or keeps the next proper one
/// out: the control must form the list with the other seed, and with nobody else.
#[tokio::test]
async fn an_odd_introduction_stops_the_exchange() {
    let bound = [(); 2].map(|()| net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)));
    let bound = bound.map(|it| it.expect("a free port"));
    let [own, other] = bound.each_ref().map(|it| it.local_addr().expect("bound"));
    drop(bound);
    let seeds = discovery::Seeds { addrs: vec![own, other], bootstrap: true, claims: true };
    let at =
        |host, operators| operators::ControlRecord { operators: Some(operators), ..record(host) };
    let folder = tempfile::tempdir().expect("a folder");
    let joined = discovery::join(&seeds, at(1, own), own, folder.path());
    let deep = "[".repeat(500_000);
    let text = |it: &operators::ControlRecord| serde_json::to_string(it).expect("JSON");
    let good = text(&at(2, other));
    let bodies = [
        ("nothing", "null".to_owned()),
        ("nested", deep.clone()),
        ("nested name", good.replace("\"control-2\"", &deep)),
        ("not JSON", "\u{0}\u{1}".to_owned()),
        ("port 65536", good.replace(":7000", ":65536")),
        ("votes as a number", good.replace("false", "1e400")),
        ("two megabytes", "x".repeat(2 << 20)),
        ("another host's port", text(&record(3))),
        ("the own port", text(&at(3, own))),
        ("the own name", text(&at(1, other))),
        ("the other seed", good),
    ];
    let exchange = async {
        let client = web::client::Client::new(web::client::Limits::default());
        let mut out = String::new();
        for (name, body) in bodies {
            let answer = loop {
                if let Ok(it) = client.send(introduction(own, body.clone())).await {
                    break it;
                }
                tokio::time::sleep(time::Duration::from_millis(20)).await;
            };
            let body = answer.body.collect(1 << 20).await.expect("a body");
            let hosts: Result<operators::ControlList, _> = serde_json::from_slice(&body);
            let names = hosts.map(|it| it.controls.into_iter().map(|it| it.name.to_string()));
            let mut names = names.map(Iterator::collect::<Vec<_>>);
            // The list is in the order of the ports, which the system chooses.
            let _ = names.as_mut().map(|it| it.sort());
            writeln!(out, "{name}: {} {names:?}", answer.status).expect("text");
        }
        out
    };
    let (joined, out) = tokio::join!(joined, exchange);
    let mut names: Vec<_> =
        joined.expect("a list").controls.into_iter().map(|it| it.name).collect();
    names.sort();
    insta::assert_snapshot!(format!("{out}the list: {names:?}"));
}

fn introduction(to: net::SocketAddr, body: String) -> web::client::Call {
    web::client::Call {
        addr: to,
        method: http::Method::POST,
        path: operators::HOSTS_PATH.into(),
        headers: http::HeaderMap::new(),
        body: web::body::Body::full(body.into()),
        deadline: tokio::time::Instant::now() + time::Duration::from_secs(5),
        close_delimited: false,
        reuse: web::client::Reuse::Never,
    }
}

/// Guards against an odd list of a seed that a node takes for the complete one, so that it knows no
/// control or the address of nobody. It must go on asking until a list can be used.
#[tokio::test]
async fn an_odd_list_ends_the_search() {
    let good = serde_json::to_value(formed(&[1, 2, 3])).expect("JSON");
    let edit = |path: &str, value: serde_json::Value| {
        let mut list = good.clone();
        *list.pointer_mut(path).expect("a field") = value;
        list.to_string()
    };
    let mut odd = formed(&[1, 2, 3]);
    odd.controls
        .push(operators::ControlRecord { addr: (net::Ipv4Addr::BROADCAST, 0).into(), ..record(9) });
    let odd = serde_json::to_string(&odd).expect("JSON");
    let lists = [
        "[".repeat(100_000),
        edit("/controls/0/addr", "10.1.0.1:65536".into()),
        edit("/controls", serde_json::json!([])),
        serde_json::to_string(&formed(&[4, 5])).expect("JSON"),
        odd,
    ];
    let count = lists.len();
    let asked = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let counter = std::sync::Arc::clone(&asked);
    let router = web::routers::catch_all(move |_| {
        let next = counter.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let body = lists[next.min(lists.len() - 1)].clone().into();
        std::future::ready(web::exchange::Response::full(
            http::StatusCode::OK,
            &mime::APPLICATION_JSON,
            body,
        ))
    });
    let addr = (net::Ipv4Addr::LOCALHOST, 0).into();
    let limits = web::server::Limits::default();
    let server = web::server::Server::bind(addr, limits, router).await.expect("binds");
    let seeds =
        discovery::Seeds { addrs: vec![server.local_addr()], bootstrap: false, claims: true };
    let found = discovery::find_controls(&seeds).await;
    assert_eq!(asked.load(std::sync::atomic::Ordering::Relaxed), count);
    assert_eq!(found, formed(&[1, 2, 3]), "without the odd record");
}
