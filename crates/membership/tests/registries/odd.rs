//! Entries that cannot be those of a target, or that leave no room for later ones.

use std::fmt::Write as _;

use membership::{messages, targets};
use world::{targets as objects, time::Time};

use crate::{entry, event, list, registry, serving};

/// Guards against an odd entry that is listed as a target, that no later entry of its host
/// replaces, or that hides the entries beside it.
#[test]
fn an_odd_entry_hides_the_others() {
    let good = || entry("skulte-1", "skulte", (50, 1), objects::State::Serving);
    let addr = |text: &str| messages::Entry { addr: text.parse().expect("an address"), ..good() };
    let order = |incarnation, sequence| messages::Entry {
        order: messages::Order { incarnation, sequence },
        ..good()
    };
    let cases = [
        ("good", good()),
        ("port 0", addr("10.0.0.1:0")),
        ("unspecified address", addr("0.0.0.0:80")),
        ("unspecified IPv6 address", addr("[::]:80")),
        ("multicast address", addr("224.0.0.1:80")),
        ("broadcast address", addr("255.255.255.255:80")),
        ("mapped multicast address", addr("[::ffff:224.0.0.1]:80")),
        ("no slots", messages::Entry { slots: 0, ..good() }),
        ("a million slots", messages::Entry { slots: 1_000_000, ..good() }),
        ("empty host", messages::Entry { host: "".into(), ..good() }),
        ("host of a megabyte", messages::Entry { host: "h".repeat(1 << 20).into(), ..good() }),
        ("service with a control character", messages::Entry { service: "a\nb".into(), ..good() }),
        ("empty data centre", messages::Entry { data_centre: "".into(), ..good() }),
        (
            "registrar of a megabyte",
            messages::Entry { registrar: "r".repeat(1 << 20).into(), ..good() },
        ),
        ("last start", order(u64::MAX, 1)),
        ("last sequence", order(50, u64::MAX)),
        ("last sequence in the range", order(50, messages::MAX_ORDER)),
    ];
    let mut out = String::new();
    for (name, odd) in cases {
        let mut registry = registry(Time::ZERO, "skulte");
        registry.apply_event(Time::ZERO, &serving("skulte-2", (50, 1)));
        let merge = registry.apply_event(Time::ZERO, &event(odd));
        let listed = list(registry.targets());
        // The node's next entry, of the next start; then the lease ends without a heartbeat.
        registry.apply_event(Time::ZERO, &serving("skulte-1", (60, 1)));
        let next = list(registry.targets());
        let removed = registry.tick(Time::ZERO + registry::NODE_LEASE).events.len();
        let end = list(registry.targets());
        let merge = match merge {
            targets::MergeResult::Refused(err) => format!("refused: {err}"),
            _ => format!("{merge:?}"),
        };
        writeln!(out, "{name}: {merge}\n  {listed}\n  then {next}, {removed} removed, {end}")
            .expect("text");
    }
    insta::assert_snapshot!(out);
}

/// Guards against the removal of a target that is lost, since its order has no successor.
#[test]
fn a_removal_is_lost_at_the_last_sequence() {
    let mut registry = registry(Time::ZERO, "skulte");
    registry.apply_event(Time::ZERO, &serving("skulte-1", (50, messages::MAX_ORDER)));
    let due = registry.tick(Time::ZERO + registry::NODE_LEASE);
    assert_eq!(due.events.len(), 1);
    assert_eq!(list(registry.targets()), "[]");
}

/// Guards against a host whose entries name ever new data centres and so fill the memory and the
/// digests that are sent.
#[test]
fn odd_data_centres_fill_the_digests() {
    let mut registry = registry(Time::ZERO, "skulte");
    registry.apply_event(Time::ZERO, &serving("skulte-2", (50, 1)));
    for sequence in 1..=1_000 {
        let mut event = serving("skulte-1", (50, sequence));
        event.entry.data_centre = format!("odd-{sequence}").into();
        registry.apply_event(Time::ZERO, &event);
    }
    assert_eq!(registry.targets().digests().len(), 2, "those of the two entries that are held");
    let gone = event(entry("skulte-1", "skulte", (51, 1), objects::State::Gone));
    registry.apply_event(Time::ZERO, &gone);
    assert_eq!(registry.targets().digests().len(), 1);
}
