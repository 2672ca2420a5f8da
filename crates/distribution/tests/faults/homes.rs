//! Home controls that are replaced by others.

use distribution::{attach, toggles};
use rand::{Rng as _, SeedableRng as _, rngs};
use world::time::Time;

use crate::{cases, sim};

fn listed(names: &[&str]) -> Vec<attach::Listed> {
    let entry = |it: &&str| attach::Listed { name: (*it).into(), local: it.starts_with("home") };
    names.iter().map(entry).collect()
}

fn summary(attachment: &attach::Attachment) -> String {
    let control = |key| {
        let it = attachment.control(key).expect("a key of the attachment");
        format!("{} {}", it.name, if it.gone { "gone".into() } else { format!("{:?}", it.source) })
    };
    attachment.keys().map(control).collect::<Vec<_>>().join(", ")
}

/// Guards against a node that never takes a newcomer for its home control, that changes its home
/// control without need, or that drops the control which it is attached to.
#[test]
fn a_replaced_control_stays_home() {
    let lists: [(&str, &[&str]); 8] = [
        ("the same", &["home-1", "a", "b"]),
        ("a second one in the data centre", &["home-0", "home-1", "a", "b"]),
        ("the first one is gone", &["home-0", "a", "b"]),
        ("none in the data centre", &["a", "b"]),
        ("still none, another order", &["b", "a"]),
        ("a newcomer in the data centre", &["home-2", "a", "b"]),
        ("nothing", &[]),
        ("all are new", &["home-3", "c"]),
    ];
    let mut out = String::new();
    let mut attachment = attach::Attachment::new("home-1".into(), vec!["a".into(), "b".into()]);
    for (title, names) in lists {
        let changed = attachment.update(&listed(names));
        out += &format!("{title}: {}, changed {changed}\n", summary(&attachment));
    }
    let mut rng = rngs::StdRng::seed_from_u64(1);
    let now = Time::from_millis(1_000);
    let first = attachment.start_attempt(now).expect("an attempt");
    attachment.update(&listed(&["home-4", "d"]));
    out += &format!("replaced during the attempt: {}\n", summary(&attachment));
    attachment.complete_attempt(now, distribution::messages::SessionId(1));
    let second = attachment.start_attempt(now).expect("a better control is tried");
    out += &format!("attached to one that is gone: {}\n", summary(&attachment));
    assert_ne!(first, second);
    let previous = attachment.complete_attempt(now, distribution::messages::SessionId(2));
    assert_eq!(previous, Some(first));
    assert_eq!(attachment.start_attempt(now), None);
    out += &format!("attached to the newcomer: {}\n", summary(&attachment));
    attachment.update(&listed(&["d"]));
    assert!(attachment.record_failure(now, second, &mut rng), "the link is lost");
    attachment.update(&listed(&["d"]));
    out += &format!("lost one that is gone: {}\n", summary(&attachment));
    insta::assert_snapshot!(out);
}

/// Guards against a node that goes back to an older version, or gets none, at some moment after its
/// home control was replaced. It restarts the node at each 200 ms, alone or with its backend
/// server.
#[test]
fn restart_after_a_replacement() {
    for at in (0..10_000).step_by(200) {
        for backend in [false, true] {
            let mut sim = sim::Sim::new(at, &[0], toggles::Toggles::default());
            cases::settle(&mut sim);
            sim.accept(1);
            sim.isolate(0, at.is_multiple_of(400));
            sim.replace_home(0, 1);
            let mut left = at;
            while left > 0 {
                sim.accept(u64::from(left.is_multiple_of(400)));
                sim.run(200);
                left -= 200;
            }
            sim.isolate(1, true);
            sim.accept(1);
            sim.restart(0, backend);
            sim.cut(0, &[0, 2]);
            sim.run(4_000);
            sim.heal();
            sim.accept(1);
            let converged = sim.run_until(15_000, sim::Sim::all_run_latest);
            assert!(converged, "restart at {at} ms, backend {backend}: runs {}", sim.running(0));
            assert_eq!(sim.breaches, Vec::<String>::new(), "at {at} ms, backend {backend}");
        }
    }
}

/// Guards against breaches in combinations of faults with two replacements of the home control.
#[test]
fn random_replacements() {
    for seed in 0..500 {
        let mut sim = sim::Sim::new(seed, &[0, 0], toggles::Toggles::default());
        sim.tokens = !seed.is_multiple_of(5);
        (0..2).for_each(|it| sim.restart(it, false));
        for step in 0..60 {
            if step % 20 == 19 && step < 40 {
                (0..2).for_each(|it| sim.replace_home(it, step / 20 + 1));
            }
            let (node, control) = (sim.rng.random_range(0..2), sim.rng.random_range(0..3));
            let flag = sim.rng.random_bool(0.4);
            match sim.rng.random_range(0..12) {
                0..4 => sim.accept(1),
                4 | 5 => sim.isolate(control, flag),
                6 => sim.cut(node, &[control]),
                7 => sim.restart(node, flag),
                8 => sim.restart_control(control, None),
                9 => sim.nodes[node].unresponsive = flag,
                10 => sim.disconnect(node),
                _ => sim.heal(),
            }
            let millis = sim.rng.random_range(0..1_200);
            sim.run(millis);
        }
        assert_eq!(sim.breaches, Vec::<String>::new(), "seed {seed}");
        sim.heal();
        let converged = sim.run_until(20_000, sim::Sim::all_run_latest);
        let running = [sim.running(0), sim.running(1)];
        assert!(converged, "seed {seed}: {running:?} of {}", sim.latest());
        assert_eq!(sim.breaches, Vec::<String>::new(), "seed {seed}");
    }
}
