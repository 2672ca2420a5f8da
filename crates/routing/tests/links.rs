//! Which targets a node uses, and when it opens links to them.

use std::{collections, fmt::Write as _};

use rand::{SeedableRng as _, rngs};
use routing::{dialer, subset};
use slotmap::SlotMap;
use world::{targets, time::Time};

const SEED: u64 = 7;

/// A host with its data centre.
type Host = (String, &'static str);

fn hosts(centres: &[(&'static str, usize)]) -> Vec<Host> {
    let names = |&(centre, count): &(&'static str, usize)| {
        (0..count).map(move |index| (format!("{centre}-{index}"), centre))
    };
    centres.iter().flat_map(names).collect()
}

fn candidate(host: &Host) -> subset::Candidate<'_> {
    subset::Candidate { host: &host.0, data_centre: host.1 }
}

/// A fleet that is large enough for bounded subsets.
const FLEET: usize = 89;

/// The names of the targets in the subset of a node.
fn select<'a>(node: &Host, targets: &'a [Host], fleet: usize) -> collections::BTreeSet<&'a str> {
    let candidates: Vec<_> = targets.iter().map(candidate).collect();
    let subset = subset::select(candidate(node), &candidates, fleet);
    let indexes = subset.near.iter().chain(&subset.far);
    indexes.map(|&it| targets[it].0.as_str()).collect()
}

/// Appends a line with the least, the mean and the most of some counts.
fn add_line(out: &mut String, name: &str, counts: &[usize]) {
    let (least, most) = (counts.iter().min().expect("some"), counts.iter().max().expect("some"));
    let mean = counts.iter().sum::<usize>() as f64 / counts.len() as f64;
    writeln!(out, "  {name:<30} {least:>4} {mean:>6.1} {most:>4}").expect("text");
}

/// The four data centres of a deployment with 89 nodes, and a service with 42 targets in them.
const NODES: [(&str, usize); 4] =
    [("hobart", 26), ("launceston", 22), ("burnie", 21), ("devonport", 20)];
const TARGETS: [(&str, usize); 4] =
    [("hobart", 12), ("launceston", 10), ("burnie", 10), ("devonport", 10)];

/// Guards against links that grow with the square of the fleet, and against targets that many more
/// nodes use than others, or none.
#[test]
fn subsets_grow_with_the_fleet() {
    let large = [("hobart", 285), ("launceston", 285), ("burnie", 285), ("devonport", 285)];
    let single = [("hobart", 1_140)];
    let few = [("hobart", 2), ("launceston", 2), ("burnie", 1), ("devonport", 1)];
    let none_near = [("launceston", 10), ("burnie", 10), ("devonport", 10)];
    let cases = [
        ("89 nodes, 42 targets", hosts(&NODES), hosts(&TARGETS)),
        ("89 nodes, 6 targets", hosts(&NODES), hosts(&few)),
        ("89 nodes, 30 targets, none in hobart", hosts(&NODES), hosts(&none_near)),
        ("1,140 nodes, 1,140 targets, 4 data centres", hosts(&large), hosts(&large)),
        ("1,140 nodes, 1,140 targets, 1 data centre", hosts(&single), hosts(&single)),
    ];
    let mut out = String::from("least, mean and most\n");
    for (name, nodes, targets) in cases {
        let mut clients = collections::BTreeMap::new();
        let mut far_clients = clients.clone();
        let mut sizes = Vec::new();
        for target in &targets {
            clients.insert(target.0.as_str(), 0_usize);
            far_clients.insert(target.0.as_str(), 0_usize);
        }
        for node in &nodes {
            let selected = select(node, &targets, FLEET);
            sizes.push(selected.len());
            let most = subset::NEAR_TARGETS + 1 + subset::FAR_TARGETS;
            assert!(selected.len() <= most, "{name}: {} targets", selected.len());
            for it in &selected {
                *clients.get_mut(it).expect("a target") += 1;
                if !it.starts_with(node.1) {
                    *far_clients.get_mut(it).expect("a target") += 1;
                }
            }
        }
        writeln!(out, "{name}").expect("text");
        add_line(&mut out, "targets of a node", &sizes);
        let clients: Vec<_> = clients.into_values().collect();
        add_line(&mut out, "nodes of a target", &clients);
        add_line(&mut out, "of other data centres", &Vec::from_iter(far_clients.into_values()));
        assert!(clients.iter().all(|&it| it > 0), "{name}: a target without a node");
    }
    insta::assert_snapshot!(out);
}

/// Guards against links that are opened anew throughout the fleet because one target left.
#[test]
fn departure_changes_whole_subsets() {
    let large = hosts(&[("hobart", 60), ("launceston", 60), ("burnie", 60), ("devonport", 60)]);
    let small = hosts(&[("hobart", 3), ("launceston", 3), ("burnie", 3), ("devonport", 2)]);
    let cases = [("11 targets", small), ("42 targets", hosts(&TARGETS)), ("240 targets", large)];
    let mut out = String::from("nodes of 89 whose subset changes when one target leaves\n");
    for (name, targets) in cases {
        let mut changed = Vec::new();
        for left in (0..targets.len()).step_by(1 + targets.len() / 50) {
            let mut rest = targets.clone();
            let left = rest.remove(left);
            let mut count = 0;
            for node in &hosts(&NODES) {
                let (before, after) = (select(node, &targets, FLEET), select(node, &rest, FLEET));
                let added = after.difference(&before).count();
                let removed: Vec<_> = before.difference(&after).collect();
                assert!(added <= 1, "{name}: {added} added");
                assert!(removed.iter().all(|it| **it == left.0), "{name}: removed {removed:?}");
                assert!(added == 0 || removed.len() == 1, "{name}: {} stays out", left.0);
                count += removed.len();
            }
            changed.push(count);
        }
        add_line(&mut out, name, &changed);
    }
    insta::assert_snapshot!(out);
}

/// Guards against a node that does not use its own target, and against a node of a small fleet that
/// uses a part of the targets only.
#[test]
fn small_fleet_is_used_in_part() {
    let targets = hosts(&[("hobart", 4), ("launceston", 4), ("burnie", 5)]);
    for node in &targets {
        assert_eq!(select(node, &targets, targets.len()).len(), 13, "{node:?}");
    }
    let targets = hosts(&[("hobart", 100)]);
    for node in &targets {
        assert!(select(node, &targets, FLEET).contains(node.0.as_str()), "{node:?}");
    }
}

/// Guards against two hosts that both connect first, or both wait for each other.
#[test]
fn both_hosts_connect_first() {
    let all = hosts(&NODES);
    let mut first = 0;
    for a in &all {
        for b in all.iter().filter(|it| *it != a) {
            assert_ne!(subset::connects_first(&a.0, &b.0), subset::connects_first(&b.0, &a.0));
            first += usize::from(subset::connects_first(&a.0, &b.0) && a < b);
        }
    }
    let share = first as f64 / (89.0 * 88.0 / 2.0);
    assert!((0.4..0.6).contains(&share), "{share}");
}

fn keys(count: usize) -> Vec<targets::TargetKey> {
    let mut arena = SlotMap::<targets::TargetKey, ()>::with_key();
    (0..count).map(|_| arena.insert(())).collect()
}

/// Guards against a node that connects to all its targets at once, that tries failed hosts without
/// a pause, or whose failed hosts keep it from connecting to the others.
#[test]
fn links_are_opened_all_at_once() {
    let keys = keys(30);
    let mut dialer = dialer::Dialer::default();
    let mut rng = rngs::SmallRng::seed_from_u64(SEED);
    let mut linked = [false; 30];
    let mut started: Vec<Vec<u64>> = vec![Vec::new(); 30];
    let mut running: Vec<(u64, usize)> = Vec::new();
    let mut last_start = None;
    for now in (0..20_000).step_by(5) {
        let at = Time::from_millis(now);
        running.retain(|&(until, index)| {
            let done = until <= now;
            if done {
                linked[index] = index >= 10;
                dialer.record_result(at, keys[index], linked[index], &mut rng);
            }
            !done
        });
        let wanted: Vec<_> = (0..30)
            .map(|it| dialer::Wanted { key: keys[it], linked: linked[it], peer_first: false })
            .collect();
        let Some(key) = dialer.take_due(at, &wanted, &mut rng) else { continue };
        let index = keys.iter().position(|it| *it == key).expect("wanted");
        assert!(!linked[index], "{index} is linked");
        started[index].push(now);
        // The first 10 hosts do not answer; the others take 20 ms.
        running.push((now + if index < 10 { 1_000 } else { 20 }, index));
        assert!(running.len() <= dialer::MAX_OPENING, "{} in flight", running.len());
        let gap = last_start.map_or(u64::MAX, |it| now - it);
        assert!(gap >= 100, "an attempt {gap} ms after the last one");
        last_start = Some(now);
    }
    let opened: Vec<u64> = started[10..].iter().map(|it| it[0]).collect();
    assert!(started[10..].iter().all(|it| it.len() == 1), "{started:?}");
    let mut out = format!("the 20 hosts that answer are linked by {:?} ms\n", opened.iter().max());
    for (index, starts) in started[..10].iter().enumerate() {
        writeln!(out, "silent host {index}: {} attempts, {starts:?} ms", starts.len())
            .expect("text");
    }
    insta::assert_snapshot!(out);
}

/// Guards against two hosts that connect to each other at the same time.
#[test]
fn peer_that_waits_connects() {
    let key = keys(1)[0];
    let mut rng = rngs::SmallRng::seed_from_u64(SEED);
    let mut first_start = |peer_first, linked_from: u64| {
        let mut dialer = dialer::Dialer::default();
        (0..5_000).step_by(5).find(|&now| {
            let wanted = [dialer::Wanted { key, linked: now >= linked_from, peer_first }];
            dialer.take_due(Time::from_millis(now), &wanted, &mut rng).is_some()
        })
    };
    let jitter = dialer::FIRST_JITTER.as_millis() as u64;
    let grace = dialer::PEER_GRACE.as_millis() as u64;
    for _ in 0..20 {
        assert!(first_start(false, u64::MAX).is_some_and(|it| it <= jitter));
        assert_eq!(first_start(true, grace / 2), None, "the peer has opened the link");
        let latest = grace + jitter;
        assert!(first_start(true, u64::MAX).is_some_and(|it| (grace..=latest).contains(&it)));
    }
}
