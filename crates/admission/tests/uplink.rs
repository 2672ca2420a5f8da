//! Requests whose answers wait for the host's network link.

use std::{fmt::Write as _, time};

use admission::{load, uplink};
use world::requests;

const MS: fn(u64) -> time::Duration = time::Duration::from_millis;

/// Guards against requests that run although their answers cannot be sent in time, and against calls
/// that are refused while they can be answered, which loses the work of their callers.
#[test]
fn answers_wait_for_a_full_network_link() {
    let mut out = String::from("class, backlog, objective, time left: refused\n");
    for class in [requests::Class::Caller, requests::Class::Internal] {
        for (backlog, objective, left) in [
            (0, 800, 1_200),
            (119, 800, 1_200),
            (121, 800, 1_200),
            (121, 100, 1_200),
            (1_300, 800, 1_200),
            (1, 0, 1_200),
            (0, 0, 0),
        ] {
            let refused = uplink::is_full(MS(backlog), class, MS(objective), MS(left));
            writeln!(out, "{class:?}, {backlog}, {objective}, {left}: {refused}").expect("text");
        }
    }
    insta::assert_snapshot!(out);
}

/// Guards against a target behind a full network link that looks free to other nodes, which then
/// send it ever more requests.
#[test]
fn a_target_behind_a_full_network_link_looks_free() {
    let mut out = String::from("in flight, queued, slots, backlog: queued, expected wait\n");
    for (in_flight, queued, slots, backlog) in [
        (4, 0, 12, 0),
        (4, 0, 12, 100),
        (4, 0, 12, 400),
        (12, 3, 12, 100),
        (12, 30, 12, 100),
        (4, 0, 0, 100),
    ] {
        let service_time = MS(80);
        let report = load::LoadReport {
            in_flight,
            queued,
            slots,
            service_time,
            ..load::LoadReport::default()
        };
        let seen = report.with_wait(MS(backlog));
        let wait = seen.expected_wait();
        writeln!(out, "{in_flight}, {queued}, {slots}, {backlog}: {}, {wait:?}", seen.queued)
            .expect("text");
        assert!(seen.queued >= queued);
        let slack = service_time / slots.max(1);
        assert!(slots == 0 || wait + slack >= MS(backlog), "{wait:?} for {backlog} ms");
    }
    insta::assert_snapshot!(out);
}
