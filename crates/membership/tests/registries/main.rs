//! The registries of several data centres under restarts, lost messages and partitions.

mod odd;

use std::{fmt::Write as _, time};

use membership::{directory, local_target, messages, registry, targets, toggles};
use world::{targets as objects, time::Time};

fn entry(host: &str, registrar: &str, order: (u64, u64), state: objects::State) -> messages::Entry {
    let data_centre = host.split('-').next().expect("a part");
    messages::Entry {
        host: host.into(),
        data_centre: data_centre.into(),
        service: "logbook".into(),
        addr: "127.0.0.1:9000".parse().expect("an address"),
        order: messages::Order { incarnation: order.0, sequence: order.1 },
        slots: 6,
        state,
        announced: messages::Announced { incarnation: order.0, ..Default::default() },
        registrar: registrar.into(),
        version: "".into(),
    }
}

fn event(entry: messages::Entry) -> messages::Event {
    messages::Event { entry, age_ms: 0 }
}

fn serving(host: &str, order: (u64, u64)) -> messages::Event {
    let home = host.split('-').next().expect("a part");
    event(entry(host, home, order, objects::State::Serving))
}

fn registry(now: Time, name: &str) -> registry::Registry {
    registry::Registry::new(now, name.into(), toggles::Toggles::default())
}

/// Hands a heartbeat to a control without others. Returns the answer.
fn beat(
    control: &mut registry::Registry,
    now: Time,
    heartbeat: &messages::Heartbeat,
) -> messages::HeartbeatAnswer {
    control.heartbeat(now, &heartbeat.host);
    control.answer(now, heartbeat, &[]).expect("an answer")
}

fn heartbeat(event: &messages::Event) -> messages::Heartbeat {
    let digest = Some(event.entry.digest());
    messages::Heartbeat { host: event.entry.host.clone(), digest }
}

fn list(targets: &targets::Targets) -> String {
    let mut lines: Vec<String> = targets
        .iter()
        .map(|(_, it)| {
            let (entry, stale) = (&it.entry, if it.stale { " stale" } else { "" });
            let order = entry.order;
            let (incarnation, sequence) = (order.incarnation, order.sequence);
            format!("{} {:?} {incarnation}.{sequence}{stale}", entry.host, entry.state)
        })
        .collect();
    lines.sort();
    format!("[{}]", lines.join(", "))
}

/// One exchange of digests: each registry asks the other for the parts that differ.
fn exchange(now: Time, a: &mut registry::Registry, b: &mut registry::Registry) {
    let (for_a, for_b) =
        (b.targets().compare(&a.targets().digests()), a.targets().compare(&b.targets().digests()));
    let to_b: Vec<messages::Part> = for_a.iter().map(|it| a.part(now, it)).collect();
    let to_a: Vec<messages::Part> = for_b.iter().map(|it| b.part(now, it)).collect();
    for event in to_b.iter().flat_map(|it| &it.events) {
        b.apply_event(now, event);
    }
    for event in to_a.iter().flat_map(|it| &it.events) {
        a.apply_event(now, event);
    }
}

/// Guards against a result that depends on the order in which events arrive, or on how often: all
/// orders of five events, each delivered twice, must leave the newest entry. With the `ordering`
/// toggle off, some do not.
#[test]
fn crossed_and_duplicated_events() {
    let events = [
        serving("skulte-1", (50, 1)),
        event(entry("skulte-1", "skulte", (50, 2), objects::State::Draining)),
        event(entry("skulte-1", "skulte", (50, 3), objects::State::Gone)),
        serving("skulte-1", (90, 1)),
        event(entry("skulte-1", "skulte", (90, 2), objects::State::Draining)),
    ];
    let mut wrong = [0, 0];
    for (index, ordering) in [true, false].into_iter().enumerate() {
        let toggles = toggles::Toggles { ordering, ..Default::default() };
        for order in permutations(events.len()) {
            let mut targets = targets::Targets::new(toggles);
            for &it in order.iter().chain(order.iter().rev()) {
                targets.merge(Time::ZERO, &events[it]);
            }
            wrong[index] += usize::from(list(&targets) != "[skulte-1 Draining 90.2]");
        }
    }
    assert_eq!(wrong[0], 0, "orders with a wrong result");
    assert!(wrong[1] > 0, "the case must fail without ordering");
}

fn permutations(count: usize) -> Vec<Vec<usize>> {
    let mut all = vec![vec![]];
    for _ in 0..count {
        let extend = |it: &Vec<usize>| {
            let free = (0..count).filter(|next| !it.contains(next));
            free.map(|next| [it.as_slice(), &[next]].concat()).collect::<Vec<_>>()
        };
        all = all.iter().flat_map(extend).collect();
    }
    all
}

/// Guards against a late event that brings a removed target back, and against tombstones that grow
/// without a bound.
#[test]
fn removed_entries() {
    for (tombstones, expected) in [(true, "[]"), (false, "[skulte-1 Serving 50.1]")] {
        let toggles = toggles::Toggles { tombstones, ..Default::default() };
        let mut targets = targets::Targets::new(toggles);
        let gone = event(entry("skulte-1", "skulte", (50, 2), objects::State::Gone));
        targets.merge(Time::ZERO, &serving("skulte-1", (50, 1)));
        targets.merge(Time::ZERO, &gone);
        targets.merge(Time::ZERO, &serving("skulte-1", (50, 1)));
        assert_eq!(list(&targets), expected, "tombstones: {tombstones}");
    }
    let mut targets = targets::Targets::new(toggles::Toggles::default());
    for host in 0..targets::MAX_TOMBSTONES + 100 {
        let host = format!("skulte-{host}");
        let gone = event(entry(&host, "skulte", (50, 2), objects::State::Gone));
        targets.merge(Time::ZERO, &gone);
    }
    assert_eq!(targets.tombstones(), targets::MAX_TOMBSTONES);
    targets.merge(Time::ZERO + targets::TOMBSTONE_AGE, &serving("jugla-1", (50, 1)));
    assert_eq!(targets.tombstones(), 0, "old tombstones go");
}

/// A node whose backend server has announced itself, and the registry of its control, which has the
/// entry.
fn announced(toggles: toggles::Toggles) -> (local_target::LocalTarget, registry::Registry) {
    let location = local_target::Location {
        host: "skulte-1".into(),
        data_centre: "skulte".into(),
        addr: "127.0.0.1:9000".parse().expect("an address"),
    };
    let mut node = local_target::LocalTarget::new(location, "skulte".into(), toggles);
    let mut control = registry(Time::ZERO, "skulte");
    let announcement = messages::Announcement {
        service: "logbook".into(),
        addr: "127.0.0.1:8000".parse().expect("an address"),
        incarnation: 50,
        sequence: 0,
        slots: 6,
        drain: false,
        cold_ms: None,
        version: "".into(),
        instance: 0,
        dated: true,
    };
    let first = node.announce(Time::ZERO, &announcement).event.expect("an event");
    control.apply_event(Time::ZERO, &first);
    (node, control)
}

/// Guards against an unresponsive node's target that stays, against a live one that is removed, and
/// against a node that cannot register its target again after its lease ended. Without the known
/// orders it cannot, since its entry is not newer than the removal.
#[test]
fn lease_ends_and_node_returns() {
    let mut out = String::new();
    for known_orders in [true, false] {
        let toggles = toggles::Toggles { known_orders, ..Default::default() };
        let (mut node, mut control) = announced(toggles);
        writeln!(out, "known_orders: {known_orders}").expect("text");
        // The node is cut off from second 2 to second 8.
        for second in 1..=12 {
            let now = Time::from_millis(second * 1_000);
            let removed = control.tick(now).events.len();
            if !(2..8).contains(&second) {
                let answer = beat(&mut control, now, &node.heartbeat());
                if let Some(event) = node.heartbeat_answered(now, &answer).event {
                    control.apply_event(now, &event);
                }
            }
            writeln!(out, "  {second:>2} s removed {removed} {}", list(control.targets()))
                .expect("text");
        }
        assert_eq!(control.targets().iter().count(), usize::from(known_orders));
    }
    insta::assert_snapshot!(out);
}

/// Guards against a dead node's target that stays in the registry. Without leases it does.
#[test]
fn dead_node() {
    for (leases, left) in [(true, 0), (false, 1)] {
        let toggles = toggles::Toggles { leases, ..Default::default() };
        let mut control = registry::Registry::new(Time::ZERO, "skulte".into(), toggles);
        control.apply_event(Time::ZERO, &serving("skulte-1", (50, 1)));
        control.tick(Time::ZERO + registry::NODE_LEASE);
        assert_eq!(control.targets().iter().count(), left, "leases: {leases}");
    }
}

/// Guards against a control that restarts or takes over nodes of another, and then misses a live
/// target, keeps a dead one, or removes one whose lease another control holds.
#[test]
fn takeover_and_restart() {
    let mut out = String::new();
    let at = |millis| Time::from_millis(millis);
    let (live, dead) = (serving("skulte-1", (50, 1)), serving("skulte-2", (50, 1)));
    let mut home = registry(at(0), "skulte");
    let mut fallback = registry(at(0), "jugla");
    for it in [&live, &dead] {
        home.apply_event(at(0), it);
        fallback.apply_event(at(0), it);
    }
    writeln!(out, "at first             {}", list(fallback.targets())).expect("text");

    // The home control stops. The first node attaches to the fallback control; the second one dies.
    let moved = event(entry("skulte-1", "jugla", (50, 2), objects::State::Serving));
    fallback.apply_event(at(3_000), &moved);
    beat(&mut fallback, at(6_000), &heartbeat(&moved));
    let due = fallback.tick(at(8_000));
    assert!(due.events.is_empty(), "the fallback control removes only what it holds the lease of");
    writeln!(out, "after the takeover   {}", list(fallback.targets())).expect("text");

    // The home control restarts empty, and gets the entries from the fallback control.
    let mut home = registry(at(9_000), "skulte");
    exchange(at(9_000), &mut home, &mut fallback);
    writeln!(out, "restarted, exchanged {}", list(home.targets())).expect("text");
    let answer = beat(&mut home, at(9_500), &heartbeat(&moved));
    assert!(!answer.wanted, "the exchange brought the entry");
    let back = event(entry("skulte-1", "skulte", (50, 3), objects::State::Serving));
    assert!(beat(&mut home, at(9_600), &heartbeat(&back)).wanted, "a changed entry is asked for");
    home.apply_event(at(9_700), &back);
    fallback.apply_event(at(9_700), &back);
    beat(&mut home, at(12_000), &heartbeat(&back));
    for removal in home.tick(at(13_500)).events {
        fallback.apply_event(at(13_500), &removal);
    }
    assert!(fallback.tick(at(14_000)).events.is_empty(), "the lease went back to home");
    writeln!(out, "dead node's lease    {}", list(home.targets())).expect("text");
    assert_eq!(list(home.targets()), list(fallback.targets()));
    insta::assert_snapshot!(out);
}

/// Guards against a removed target that its node sends again with each heartbeat, and that each
/// control passes on to all nodes: the registry compared it with live targets only.
#[test]
fn a_removed_target_is_sent_again() {
    let (mut node, mut control) = announced(toggles::Toggles::default());
    let gone = node.backend_lost(Time::from_millis(500)).event.expect("an event");
    control.apply_event(Time::from_millis(500), &gone);
    let sent = (1..=5).filter(|second| {
        let now = Time::from_millis(second * 1_000);
        let answer = beat(&mut control, now, &node.heartbeat());
        let event = node.heartbeat_answered(now, &answer).event;
        event.is_some_and(|it| control.apply_event(now, &it).is_change())
    });
    assert_eq!(sent.count(), 0, "of 5 heartbeats");
}

/// Guards against a partition that removes the other side's targets, against stale marks that
/// remain after it, and against registries that differ after it, also when both sides changed an
/// entry. The short partition ends while the tombstone is still kept, the long one after that.
#[test]
fn partition() {
    let mut out = String::new();
    for seconds in [60, 3_600] {
        writeln!(out, "cut off for {seconds} s").expect("text");
        run_partition(time::Duration::from_secs(seconds), &mut out);
    }
    insta::assert_snapshot!(out);
}

fn run_partition(length: time::Duration, out: &mut String) {
    let mut skulte = registry(Time::ZERO, "skulte");
    let mut jugla = registry(Time::ZERO, "jugla");
    let mut copy = directory::Directory::new("skulte".into(), toggles::Toggles::default());
    let (a, b) = (serving("skulte-1", (50, 1)), serving("jugla-1", (50, 1)));
    for it in [&a, &b] {
        skulte.apply_event(Time::ZERO, it);
        jugla.apply_event(Time::ZERO, it);
        copy.apply_event(Time::ZERO, it);
    }
    skulte.mark_alive(Time::ZERO, "jugla");
    let moved = event(entry("jugla-1", "skulte", (50, 2), objects::State::Serving));
    let mut now = Time::ZERO;
    while now < Time::ZERO + length {
        now = now + registry::EXCHANGE_INTERVAL / 2;
        beat(&mut skulte, now, &heartbeat(&a));
        beat(&mut skulte, now, &heartbeat(&moved));
        let due = skulte.tick(now);
        assert!(due.events.is_empty(), "skulte removes nothing");
        due.unreachable.iter().for_each(|it| copy.set_reachability(it));
        jugla.tick(now);
        if now == Time::from_millis(20_000) {
            writeln!(out, "  20 s, skulte {}", list(skulte.targets())).expect("text");
            writeln!(out, "  20 s, a node {}", list(copy.targets())).expect("text");
            // The node of jugla-1 can reach only the control of skulte, and attaches to it.
            skulte.apply_event(now, &moved);
            copy.apply_event(now, &moved);
        }
    }
    writeln!(out, "  end, skulte  {}", list(skulte.targets())).expect("text");
    writeln!(out, "  end, jugla   {}", list(jugla.targets())).expect("text");
    copy.set_reachability(&skulte.mark_alive(now, "jugla").expect("jugla was unreachable"));
    exchange(now, &mut skulte, &mut jugla);
    writeln!(out, "  healed       {}", list(skulte.targets())).expect("text");
    if beat(&mut skulte, now, &heartbeat(&moved)).wanted {
        let again = event(entry("jugla-1", "skulte", (50, 3), objects::State::Serving));
        skulte.apply_event(now, &again);
        jugla.apply_event(now, &again);
    }
    let parts = copy.parts_to_request(&skulte.targets().digests(), 8);
    parts.iter().for_each(|it| drop(copy.apply_part(now, &skulte.part(now, it))));
    writeln!(out, "  next second  {}", list(skulte.targets())).expect("text");
    assert_eq!(list(skulte.targets()), list(jugla.targets()));
    assert_eq!(list(skulte.targets()), list(copy.targets()));
    assert_eq!(skulte.targets().iter().count(), 2, "both targets are alive");
}

/// Guards against a node that keeps a target whose removal it missed, and against a node that drops
/// its targets because its control has just restarted and does not know them yet.
#[test]
fn missed_removal() {
    let mut copy = directory::Directory::new("skulte".into(), toggles::Toggles::default());
    copy.apply_event(Time::ZERO, &serving("skulte-1", (50, 1)));
    let control = registry(Time::ZERO, "skulte");
    for (now, kept) in [(Time::ZERO, 1), (Time::ZERO + registry::STALE_AFTER, 0)] {
        let parts = copy.parts_to_request(&control.targets().digests(), 8);
        assert_eq!(parts.len(), 1);
        parts.iter().for_each(|it| drop(copy.apply_part(now, &control.part(now, it))));
        assert_eq!(copy.targets().iter().count(), kept, "at {now}");
    }
}

/// A control's registry with one target in each of the given parts of two data centres.
fn full_registry(parts: usize, targets: usize) -> registry::Registry {
    let mut control = registry(Time::ZERO, "skulte");
    for centre in ["skulte", "jugla"] {
        let mut left = vec![targets; parts];
        for index in 0.. {
            let name = format!("{centre}-{index}");
            let target = entry(&name, centre, (50, 1), objects::State::Serving);
            if let Some(it) = left.get_mut(target.part()).filter(|it| **it > 0) {
                *it -= 1;
                control.apply_event(Time::ZERO, &event(target));
            }
            if left.iter().all(|it| *it == 0) {
                break;
            }
        }
    }
    control
}

/// Guards against a node that asks again for a part that is on its way, which loads a full link
/// further, and against one that does not ask again when the answer will not come.
#[test]
fn a_part_on_its_way_is_asked_for_again() {
    let control = full_registry(8, 1);
    let mut copy = directory::Directory::new("skulte".into(), toggles::Toggles::default());
    let digests = control.targets().digests();
    let first = copy.parts_to_request(&digests, 16);
    assert_eq!(first.len(), 16);
    assert_eq!(copy.parts_to_request(&digests, 16), [], "all are on their way");
    copy.forget_requests();
    assert_eq!(copy.parts_to_request(&digests, 16), first, "the session has ended");
}

/// Guards against a node that waits 5 s for the next digests before it asks for the rest of a small
/// registry, and against one that asks for a large registry without a pause.
#[test]
fn parts_wait_for_the_next_digests() {
    let now = Time::ZERO;
    for (targets, rounds) in [(1, 4), (100, 2)] {
        let control = full_registry(16, targets);
        let mut copy = directory::Directory::new("jugla".into(), toggles::Toggles::default());
        let digests = control.targets().digests();
        let mut parts = copy.parts_to_request(&digests, 8);
        assert!(parts.iter().all(|it| it.data_centre == "jugla"), "the own ones come first");
        let mut sent = 0;
        while !parts.is_empty() {
            sent += 1;
            for it in &parts {
                assert_eq!(copy.next_parts(8), [], "one batch is on its way at a time");
                copy.apply_part(now, &control.part(now, it));
            }
            parts = copy.next_parts(8);
        }
        assert_eq!(sent, rounds, "{targets} targets a part");
    }
}

/// Guards against measurements of a former process that count for the next one, and against a key
/// that changes without a restart.
#[test]
fn target_keys() {
    let mut targets = targets::Targets::new(toggles::Toggles::default());
    let mut key = |state, order| {
        targets.merge(Time::ZERO, &event(entry("skulte-1", "skulte", order, state)));
        targets.of_service("logbook").to_vec()
    };
    let first = key(objects::State::Starting, (50, 1));
    assert_eq!(key(objects::State::Serving, (50, 2)), first);
    assert_eq!(key(objects::State::Draining, (50, 3)), first);
    assert_ne!(key(objects::State::Starting, (90, 1)), first);
    assert!(key(objects::State::Gone, (90, 2)).is_empty());
}

/// Guards against a control that was suspended and removes the targets of all nodes when it
/// resumes: it has had no heartbeat because it did not run.
#[test]
fn a_suspended_control_removes_all_targets() {
    let mut control = registry(Time::ZERO, "skulte");
    for host in ["skulte-1", "skulte-2"] {
        control.apply_event(Time::ZERO, &serving(host, (1, 1)));
    }
    let resumed = Time::ZERO + time::Duration::from_secs(6);
    control.resume(resumed);
    assert!(control.tick(resumed).events.is_empty(), "their heartbeats wait in its sockets");
    let due = control.tick(resumed + registry::NODE_LEASE);
    assert_eq!(due.events.len(), 2, "no heartbeat came after it either");
}

/// Guards against nodes that drop the targets which a control has missed while it was suspended.
#[test]
fn a_suspended_control_counts_as_settled() {
    let mut control = registry(Time::ZERO, "skulte");
    control.apply_event(Time::ZERO, &serving("skulte-1", (1, 1)));
    let other = registry(Time::ZERO, "jugla");
    let request = other.targets().compare(&control.targets().digests());
    let resumed = Time::ZERO + registry::STALE_AFTER;
    assert!(control.part(resumed, &request[0]).settled);
    control.resume(resumed);
    assert!(!control.part(resumed, &request[0]).settled);
    assert!(control.part(resumed + registry::STALE_AFTER, &request[0]).settled);
}

/// Guards against two controls of a data centre of which one removes the targets whose nodes send
/// their heartbeats to the other.
#[test]
fn a_second_control_of_a_data_centre_removes_targets() {
    let at = |millis| Time::ZERO + time::Duration::from_millis(millis);
    let (mut first, mut second) = (registry(at(0), "skulte"), registry(at(0), "skulte-c2"));
    let announced = serving("skulte-1", (1, 1));
    first.apply_event(at(0), &announced);
    second.apply_event(at(0), &announced);
    for second_count in 1..=10 {
        let now = at(second_count * 1_000);
        beat(&mut first, now, &heartbeat(&announced));
        assert!(first.tick(now).events.is_empty());
        let removed = second.tick(now).events;
        assert!(removed.is_empty(), "after {second_count} s: {removed:?}");
    }
}
