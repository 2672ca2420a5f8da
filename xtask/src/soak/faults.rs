//! The kinds of faults: how often each comes, which hosts it affects, and how it begins and ends.

use std::{sync, time};

use rand::{Rng as _, rngs, seq::IndexedRandom as _};

use super::{backends, history, host_set, hosts, network, operators, schedule, tcp_relay, world};

/// The time from a leave until the node is killed, which is enough for its acknowledgement.
const LEAVE_TIME: time::Duration = time::Duration::from_millis(1_000);
/// The time from then until the node is started again.
const DOWN_TIME: time::Duration = time::Duration::from_millis(300);

/// A kind of fault.
pub(crate) struct Kind {
    pub(crate) name: &'static str,
    /// How often it comes in relation to the others.
    weight: u32,
    /// Its shortest and longest duration in milliseconds.
    pub(crate) length_ms: (u64, u64),
    /// The lowest and highest amount, in `unit`.
    pub(crate) amount: (u64, u64),
    /// The unit of the amount; empty if the kind has none.
    unit: &'static str,
    /// Whether a schedule has it at most once.
    pub(crate) once: bool,
    /// What it explains in the checks; none if it explains nothing.
    pub(crate) cause: Option<history::Cause>,
    /// Chooses the hosts.
    pub(crate) pick: fn(&mut rngs::StdRng, host_set::Sizes) -> host_set::HostSet,
    pub(crate) begin: fn(&world::World, &schedule::Fault),
    pub(crate) end: fn(&world::World, &schedule::Fault),
}

impl Kind {
    /// The amount with its unit.
    pub(crate) fn describe(&self, amount: u64) -> String {
        if self.unit.is_empty() { String::new() } else { format!("{amount} {}", self.unit) }
    }
}

/// Chooses a kind at random by its weight.
pub(crate) fn pick_kind(rng: &mut rngs::StdRng) -> &'static Kind {
    KINDS.choose_weighted(rng, |it| it.weight).expect("the weights are positive")
}

const BASE: Kind = Kind {
    name: "",
    weight: 2,
    length_ms: (500, 6_000),
    amount: (0, 0),
    unit: "",
    once: false,
    cause: None,
    pick: any_hosts,
    begin: |_, _| {},
    end: |_, _| {},
};

const LINK: Kind = Kind {
    weight: 4,
    cause: Some(history::Cause::Link),
    end: |world, fault| world.network.remove(fault.id),
    ..BASE
};

const PROCESS: Kind = Kind { weight: 4, length_ms: (100, 4_000), ..BASE };

const CALLER: Kind = Kind {
    cause: Some(history::Cause::CallerLink),
    pick: any_nodes,
    end: |world, fault| world.caller_relays(fault).for_each(|it| it.remove(fault.id)),
    ..BASE
};

const BACKEND: Kind = Kind {
    cause: Some(history::Cause::Backend),
    pick: any_nodes,
    end: |world, fault| world.backends(fault).for_each(|it| it.remove(fault.id)),
    ..BASE
};

const OPERATOR: Kind =
    Kind { length_ms: (0, 0), pick: |_, _| host_set::HostSet::default(), ..BASE };

static KINDS: [Kind; 25] = [
    Kind {
        name: "link delay",
        amount: (10, 300),
        unit: "ms",
        begin: |world, fault| limit(world, fault, network::Effect::delay(fault.amount)),
        ..LINK
    },
    Kind {
        name: "link loss",
        amount: (2, 40),
        unit: "%",
        begin: |world, fault| limit(world, fault, network::Effect::loss(fault.amount)),
        ..LINK
    },
    Kind {
        name: "link narrow",
        amount: (800, 3_000),
        unit: "kbit/s",
        pick: any_hosts_or_all,
        begin: |world, fault| world.network.narrow(fault.id, fault.hosts, fault.amount),
        ..LINK
    },
    Kind {
        name: "link cut",
        begin: |world, fault| limit(world, fault, network::Effect::loss(100)),
        ..LINK
    },
    Kind {
        name: "link cut outwards",
        begin: |world, fault| {
            world.network.add(fault.id, network::Rule::outwards(fault.hosts));
        },
        ..LINK
    },
    Kind {
        name: "process stop",
        // A planned stop explains no broken request, so it is no cause; the time without a process
        // is recorded by the host.
        begin: |world, fault| world.hosts(fault).for_each(|it| it.take_down(hosts::Signal::Term)),
        end: |world, fault| world.hosts(fault).for_each(hosts::Host::bring_up),
        ..PROCESS
    },
    Kind {
        name: "process kill",
        cause: Some(history::Cause::Kill),
        begin: |world, fault| world.hosts(fault).for_each(|it| it.take_down(hosts::Signal::Kill)),
        end: |world, fault| world.hosts(fault).for_each(hosts::Host::bring_up),
        ..PROCESS
    },
    Kind {
        name: "process pause",
        length_ms: (200, 8_000),
        cause: Some(history::Cause::Pause),
        begin: |world, fault| world.hosts(fault).for_each(hosts::Host::pause),
        end: |world, fault| world.hosts(fault).for_each(hosts::Host::resume),
        ..PROCESS
    },
    Kind {
        name: "control loses its disk",
        weight: 2,
        // A second lost disk before the first one is replaced would lose the majority.
        once: true,
        cause: Some(history::Cause::Kill),
        pick: |rng, _| host_set::HostId(rng.random_range(0..host_set::CONTROLS)).into(),
        begin: |world, fault| {
            for host in world.hosts(fault) {
                host.lose_data();
                host.take_down(hosts::Signal::Kill);
            }
        },
        end: |world, fault| world.hosts(fault).for_each(hosts::Host::bring_up),
        ..PROCESS
    },
    Kind {
        name: "process reads its settings again",
        weight: 1,
        length_ms: (0, 0),
        begin: |world, fault| world.hosts(fault).for_each(|it| it.signal(hosts::Signal::Hangup)),
        ..PROCESS
    },
    Kind {
        name: "callers' connections slow",
        amount: (20, 400),
        unit: "ms",
        begin: |world, fault| relay_callers(world, fault, tcp_relay::Effect::Delay(fault.amount)),
        ..CALLER
    },
    Kind {
        name: "callers' connections silent",
        begin: |world, fault| relay_callers(world, fault, tcp_relay::Effect::Silence),
        ..CALLER
    },
    Kind {
        name: "callers' connections reset",
        length_ms: (100, 500),
        begin: |world, fault| relay_callers(world, fault, tcp_relay::Effect::Reset),
        ..CALLER
    },
    Kind {
        name: "backend server freezes",
        begin: |world, fault| behave(world, fault, backends::Behaviour::Freeze),
        ..BACKEND
    },
    Kind {
        name: "backend server late",
        amount: (100, 3_000),
        unit: "ms",
        begin: |world, fault| behave(world, fault, backends::Behaviour::Late(fault.amount)),
        ..BACKEND
    },
    Kind {
        name: "backend server cuts answers",
        begin: |world, fault| behave(world, fault, backends::Behaviour::Cut),
        ..BACKEND
    },
    Kind {
        name: "backend server sends without end",
        begin: |world, fault| behave(world, fault, backends::Behaviour::Endless),
        ..BACKEND
    },
    Kind {
        name: "backend server sheds",
        begin: |world, fault| behave(world, fault, backends::Behaviour::Shed),
        ..BACKEND
    },
    Kind {
        name: "backend server drains",
        begin: |world, fault| behave(world, fault, backends::Behaviour::Drain),
        ..BACKEND
    },
    Kind {
        name: "backend server crashes",
        length_ms: (100, 4_000),
        begin: |world, fault| behave(world, fault, backends::Behaviour::Crash),
        ..BACKEND
    },
    Kind {
        name: "backend server's connections silent",
        begin: |world, fault| relay_backends(world, fault, tcp_relay::Effect::Silence),
        ..BACKEND
    },
    Kind {
        name: "backend server's connections reset",
        length_ms: (100, 500),
        begin: |world, fault| relay_backends(world, fault, tcp_relay::Effect::Reset),
        ..BACKEND
    },
    Kind {
        name: "patches in quick succession",
        amount: (3, 8),
        unit: "patches",
        begin: |world, fault| world.operators.send(operators::Command::Burst(fault.amount)),
        ..OPERATOR
    },
    Kind {
        name: "patches race",
        amount: (2, 4),
        unit: "patches",
        begin: |world, fault| world.operators.send(operators::Command::Race(fault.amount)),
        ..OPERATOR
    },
    Kind {
        name: "invalid patch",
        begin: |world, _| world.operators.send(operators::Command::Invalid),
        ..OPERATOR
    },
];

/// Kinds that come at most once in a schedule, chosen apart from the others, whose schedules they
/// leave as they were.
pub(crate) static RARE: [Kind; 2] = [
    Kind {
        name: "backend server leaves, its node restarts, and announcements are late",
        length_ms: (4_000, 7_000),
        cause: Some(history::Cause::Kill),
        pick: one_node,
        begin: |world, fault| {
            behave(world, fault, backends::Behaviour::Leave);
            for id in fault.hosts.iter() {
                tokio::spawn(restart_after_leave(sync::Arc::clone(&world.hosts[id.0])));
            }
        },
        ..BACKEND
    },
    Kind {
        name: "backend server crashes within its answers",
        pick: one_node,
        begin: |world, fault| behave(world, fault, backends::Behaviour::CrashWithin),
        ..BACKEND
    },
];

/// Kills a node when the leave of its backend server has been acknowledged, and starts it again.
async fn restart_after_leave(host: sync::Arc<hosts::Host>) {
    tokio::time::sleep(LEAVE_TIME).await;
    host.take_down(hosts::Signal::Kill);
    tokio::time::sleep(DOWN_TIME).await;
    host.bring_up();
}

fn one_node(rng: &mut rngs::StdRng, sizes: host_set::Sizes) -> host_set::HostSet {
    let nodes: Vec<_> = sizes.nodes().collect();
    nodes.choose_multiple(rng, 1).copied().collect()
}

fn limit(world: &world::World, fault: &schedule::Fault, effect: network::Effect) {
    world.network.add(fault.id, network::Rule::around(fault.hosts, effect));
}

fn behave(world: &world::World, fault: &schedule::Fault, behaviour: backends::Behaviour) {
    world.backends(fault).for_each(|it| it.add(fault.id, behaviour));
}

fn relay_callers(world: &world::World, fault: &schedule::Fault, effect: tcp_relay::Effect) {
    world.caller_relays(fault).for_each(|it| it.add(fault.id, effect));
}

fn relay_backends(world: &world::World, fault: &schedule::Fault, effect: tcp_relay::Effect) {
    world.backends(fault).for_each(|it| it.relay_connections(fault.id, effect));
}

/// One host, a few, or a whole data centre.
fn any_hosts(rng: &mut rngs::StdRng, sizes: host_set::Sizes) -> host_set::HostSet {
    pick(rng, &sizes.hosts().collect::<Vec<_>>())
}

/// All hosts, as in the incident LOST, SHORT, or else those of [`any_hosts`].
fn any_hosts_or_all(rng: &mut rngs::StdRng, sizes: host_set::Sizes) -> host_set::HostSet {
    if rng.random_ratio(1, 2) { sizes.hosts().collect() } else { any_hosts(rng, sizes) }
}

/// One node, a few, or those of a whole data centre.
fn any_nodes(rng: &mut rngs::StdRng, sizes: host_set::Sizes) -> host_set::HostSet {
    pick(rng, &sizes.nodes().collect::<Vec<_>>())
}

fn pick(rng: &mut rngs::StdRng, all: &[host_set::HostId]) -> host_set::HostSet {
    match rng.random_range(0..10) {
        0..5 => all.choose_multiple(rng, 1).copied().collect(),
        5..8 => {
            let count = rng.random_range(2..=all.len().div_ceil(3).max(2));
            all.choose_multiple(rng, count).copied().collect()
        }
        _ => {
            let data_centre = rng.random_range(0..host_set::DATA_CENTRES.len());
            all.iter().copied().filter(|it| it.data_centre() == data_centre).collect()
        }
    }
}
