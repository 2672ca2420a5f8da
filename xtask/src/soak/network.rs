//! A UDP relay in front of each process: delays, drops and queues the datagrams between processes.

use std::{
    collections, io, net,
    sync::{self, Arc},
    time,
};

use rand::{Rng as _, SeedableRng as _, rngs};
use tokio::{net::UdpSocket, task};

use super::{host_set, schedule};

/// The largest datagram, in bytes.
const MAX_DATAGRAM: usize = 65_536;
/// The largest time that a datagram waits in the queue of a narrow link before the link drops it.
const MAX_QUEUE: time::Duration = time::Duration::from_millis(500);

/// What happens to datagrams.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Effect {
    delay: time::Duration,
    /// From 0 to 100.
    loss_percent: u64,
}

/// An effect on the datagrams between two sets of hosts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rule {
    effect: Effect,
    hosts: host_set::HostSet,
    /// Whether datagrams to the hosts are affected, beside those from them.
    inwards: bool,
}

/// The links between all processes. Each process listens on an address of its own; the others know
/// it by the address of its relay. Dropping the last clone ends the relays.
#[derive(Clone)]
pub(crate) struct Network {
    state: Arc<State>,
}

struct State {
    table: sync::Mutex<Table>,
    /// The hosts by the address on which their processes listen, from which they also send.
    senders: collections::HashMap<net::SocketAddr, host_set::HostId>,
    tasks: sync::Mutex<task::JoinSet<()>>,
}

struct Table {
    rng: rngs::StdRng,
    rules: collections::BTreeMap<schedule::FaultId, Rule>,
    /// The bandwidth limits of hosts in kilobits per second.
    narrow: collections::BTreeMap<schedule::FaultId, (host_set::HostSet, u64)>,
    /// The end of the queue of each limited host, by direction.
    queues: collections::BTreeMap<(host_set::HostId, Direction), time::Instant>,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Direction {
    In,
    Out,
}

/// The addresses of one host's process and of its relay.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Place {
    pub(crate) host: host_set::HostId,
    /// Where the process listens.
    pub(crate) listen: net::SocketAddr,
}

impl Effect {
    pub(crate) fn delay(millis: u64) -> Effect {
        Effect { delay: time::Duration::from_millis(millis), loss_percent: 0 }
    }

    pub(crate) fn loss(percent: u64) -> Effect {
        Effect { delay: time::Duration::ZERO, loss_percent: percent }
    }
}

impl Rule {
    /// Affects the datagrams between `hosts` and all others, both ways.
    pub(crate) fn around(hosts: host_set::HostSet, effect: Effect) -> Rule {
        Rule { effect, hosts, inwards: true }
    }

    /// Loses all datagrams from `hosts` to others.
    pub(crate) fn outwards(hosts: host_set::HostSet) -> Rule {
        Rule { effect: Effect::loss(100), hosts, inwards: false }
    }

    fn affects(&self, from: host_set::HostId, to: host_set::HostId) -> bool {
        match (self.hosts.contains(from), self.hosts.contains(to)) {
            (true, false) => true,
            (false, true) => self.inwards,
            _ => false,
        }
    }
}

impl Network {
    /// Starts a relay in front of each process. Returns the addresses of the relays in the order of
    /// `places`. The losses come from `seed`.
    pub(crate) async fn spawn(
        places: &[Place],
        seed: u64,
    ) -> io::Result<(Network, Vec<net::SocketAddr>)> {
        let senders = places.iter().map(|it| (it.listen, it.host)).collect();
        let table = Table {
            rng: rngs::StdRng::seed_from_u64(seed),
            rules: collections::BTreeMap::new(),
            narrow: collections::BTreeMap::new(),
            queues: collections::BTreeMap::new(),
        };
        let state =
            State { table: sync::Mutex::new(table), senders, tasks: sync::Mutex::default() };
        let network = Network { state: Arc::new(state) };
        let mut addrs = Vec::new();
        for place in places {
            let front = Arc::new(UdpSocket::bind((net::Ipv4Addr::LOCALHOST, 0)).await?);
            addrs.push(front.local_addr()?);
            let relay = receive(Arc::downgrade(&network.state), *place, front);
            network.state.tasks.lock().expect("no holder panics").spawn(relay);
        }
        Ok((network, addrs))
    }

    pub(crate) fn add(&self, fault: schedule::FaultId, rule: Rule) {
        self.state.lock().rules.insert(fault, rule);
    }

    /// Limits the bandwidth of `hosts`, each way, to `kbits` per second.
    pub(crate) fn narrow(&self, fault: schedule::FaultId, hosts: host_set::HostSet, kbits: u64) {
        self.state.lock().narrow.insert(fault, (hosts, kbits));
    }

    /// Ends the effects of a fault.
    pub(crate) fn remove(&self, fault: schedule::FaultId) {
        let mut table = self.state.lock();
        table.rules.remove(&fault);
        table.narrow.remove(&fault);
        table.queues.clear();
    }
}

impl State {
    fn lock(&self) -> sync::MutexGuard<'_, Table> {
        self.table.lock().expect("no holder panics")
    }
}

impl Table {
    /// How long a datagram is held back; none if it is lost.
    fn forward(
        &mut self,
        from: host_set::HostId,
        to: host_set::HostId,
        bytes: usize,
    ) -> Option<time::Duration> {
        let mut delay = time::Duration::ZERO;
        for rule in self.rules.values().filter(|it| it.affects(from, to)) {
            if self.rng.random_range(0..100) < rule.effect.loss_percent {
                return None;
            }
            delay += rule.effect.delay;
        }
        delay += self.queue(from, Direction::Out, bytes)?;
        delay += self.queue(to, Direction::In, bytes)?;
        Some(delay)
    }

    fn queue(
        &mut self,
        host: host_set::HostId,
        direction: Direction,
        bytes: usize,
    ) -> Option<time::Duration> {
        let limits = self.narrow.values().filter(|it| it.0.contains(host));
        let Some(kbits) = limits.map(|it| it.1).min() else { return Some(time::Duration::ZERO) };
        let now = time::Instant::now();
        let end = self.queues.entry((host, direction)).or_insert(now);
        let start = (*end).max(now);
        if start - now > MAX_QUEUE {
            return None;
        }
        let bits = u64::try_from(bytes).unwrap_or(u64::MAX).saturating_mul(8);
        *end = start + time::Duration::from_micros(bits * 1_000 / kbits);
        Some(*end - now)
    }
}

/// Receives what others send to the process, which reaches it from a socket for each sender.
async fn receive(state: sync::Weak<State>, place: Place, front: Arc<UdpSocket>) {
    let mut sockets = collections::HashMap::new();
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let Ok((length, addr)) = front.recv_from(&mut buffer).await else { continue };
        let Some(state) = state.upgrade() else { return };
        let Some(&from) = state.senders.get(&addr) else { continue };
        let socket = match sockets.get(&from) {
            Some(it) => Arc::clone(it),
            None => {
                let Ok(socket) = connect(place.listen).await else { continue };
                let answers =
                    answer(Arc::downgrade(&state), place.host, from, addr, &socket, &front);
                state.tasks.lock().expect("no holder panics").spawn(answers);
                sockets.insert(from, Arc::clone(&socket));
                socket
            }
        };
        let delay = state.lock().forward(from, place.host, length);
        let bytes = &buffer[..length];
        match delay {
            Some(time::Duration::ZERO) => _ = socket.send(bytes).await,
            Some(delay) => {
                let bytes = bytes.to_vec();
                send_later(delay, async move { _ = socket.send(&bytes).await });
            }
            None => {}
        }
    }
}

async fn connect(to: net::SocketAddr) -> io::Result<Arc<UdpSocket>> {
    let socket = UdpSocket::bind((net::Ipv4Addr::LOCALHOST, 0)).await?;
    socket.connect(to).await?;
    Ok(Arc::new(socket))
}

/// Receives what the process of `from` sends back to `to`, through the socket of this sender.
fn answer(
    state: sync::Weak<State>,
    from: host_set::HostId,
    to: host_set::HostId,
    addr: net::SocketAddr,
    socket: &Arc<UdpSocket>,
    front: &Arc<UdpSocket>,
) -> impl Future<Output = ()> + use<> {
    let (socket, front) = (Arc::clone(socket), Arc::clone(front));
    async move {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            // It fails once for each datagram that found no process.
            let Ok(length) = socket.recv(&mut buffer).await else { continue };
            let Some(state) = state.upgrade() else { return };
            let delay = state.lock().forward(from, to, length);
            let bytes = &buffer[..length];
            match delay {
                Some(time::Duration::ZERO) => _ = front.send_to(bytes, addr).await,
                Some(delay) => {
                    let (bytes, front) = (bytes.to_vec(), Arc::clone(&front));
                    send_later(delay, async move { _ = front.send_to(&bytes, addr).await });
                }
                None => {}
            }
        }
    }
}

fn send_later(delay: time::Duration, send: impl Future<Output = ()> + Send + 'static) {
    tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        send.await;
    });
}
