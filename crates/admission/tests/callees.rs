//! Which requests are refused for the sake of the services that they call.

use std::{fmt::Write as _, time::Duration};

use admission::{callees, load};
use compact_str::CompactString;
use world::time::Time;

const PRESSURE: load::Pressure = load::Pressure { rank: 1, weight: 32, lost: 200 };

/// A node whose route `often` calls the service in seven of ten requests, and `seldom` in one of
/// fifty, and which has got 50 reports.
fn learned(pressure: load::Pressure) -> callees::Callees {
    let mut callees = callees::Callees::default();
    for index in 0..500 {
        for (route, calls) in [("often", index % 10 < 7), ("seldom", index % 50 == 0)] {
            callees.record_request(&route.into());
            if calls {
                callees.record_call(&route.into(), &"orders".into());
            }
        }
    }
    (0..50).for_each(|_| callees.record_report(Time::ZERO, &"orders".into(), pressure));
    callees
}

/// Guards against the refusal of requests that are not outranked, that hardly call the full service
/// or that come after its load, and against a route of which no request runs.
#[test]
fn other_requests_are_refused() {
    let mut out = String::new();
    for (name, pressure, route, urgency, after) in [
        ("less urgent", PRESSURE, "often", (2, 16), 0),
        ("much pressure", load::Pressure { lost: 900, ..PRESSURE }, "often", (2, 16), 0),
        ("little pressure", load::Pressure { lost: 60, ..PRESSURE }, "often", (2, 16), 0),
        ("of the same rank", PRESSURE, "often", (1, 32), 0),
        ("without a priority", PRESSURE, "often", (0, 10), 0),
        ("hardly calls", PRESSURE, "seldom", (2, 16), 0),
        ("unknown route", PRESSURE, "other", (2, 16), 0),
        ("a second later", PRESSURE, "often", (2, 16), 1_000),
        ("after the load", PRESSURE, "often", (2, 16), 2_000),
    ] {
        let mut callees = learned(pressure);
        let now = Time::ZERO + Duration::from_millis(after);
        let refuse = |_: &i32| callees.refuse(now, &route.into(), urgency).is_some();
        let refused = (0..100).filter(refuse).count();
        writeln!(out, "{name}: {refused} of 100").expect("text");
    }
    insta::assert_snapshot!(out);
}

/// Guards against memory that grows with the names of routes and services.
#[test]
fn names_are_kept() {
    let mut callees = learned(PRESSURE);
    let later = Time::ZERO + Duration::from_secs(10);
    for index in 0..2_000 {
        let name = CompactString::from(format!("name-{index}"));
        callees.record_request(&name);
        callees.record_call(&"often".into(), &name);
        callees.record_report(later, &name, PRESSURE);
    }
    assert!(callees.kept_names() <= 256 + 16 + 256 + 1, "{} names", callees.kept_names());
}
