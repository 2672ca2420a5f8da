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
            table.insert(record(it));
        }
        if let Some(formed) = case.formed {
            table.merge(formed);
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
