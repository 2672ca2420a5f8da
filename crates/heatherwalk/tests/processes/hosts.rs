//! The hosts of a mesh of real processes, and signals to their processes.

use std::{collections, net, process, sync};

use compact_str::CompactString;
use rand::Rng as _;

use crate::harness;

/// Below the ephemeral ports that the system gives to outgoing connections, so that the port of a
/// killed process is still free at its restart.
const PORTS: std::ops::Range<u16> = 12_000..32_000;
static ALLOCATED: sync::Mutex<collections::BTreeSet<u16>> =
    sync::Mutex::new(collections::BTreeSet::new());

/// A host of the mesh: its settings and its process.
pub struct Host {
    /// Its name, such as `skulte-1`, or `skulte-c` for a control.
    pub name: CompactString,
    pub data_centre: &'static str,
    /// The port for other processes.
    pub listen: net::SocketAddr,
    /// The port of the metrics page.
    pub metrics: net::SocketAddr,
    /// The port for clients: callers of a node, operators of a control.
    pub clients: net::SocketAddr,
    /// The port for announcements of a node.
    pub announce: net::SocketAddr,
    /// The process, while it runs.
    pub process: Option<Process>,
}

/// A child process that is killed when the test ends, also by a panic.
pub struct Process(pub process::Child);

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Host {
    /// A host with ports of its own and no process.
    pub fn new(name: CompactString, data_centre: &'static str) -> Host {
        let [listen, metrics, clients, announce] = [(); 4].map(|()| free_port());
        Host { name, data_centre, listen, metrics, clients, announce, process: None }
    }

    /// Ends the process at once, by SIGKILL.
    pub fn kill(&mut self) {
        drop(self.process.take().expect("the process runs"));
    }

    /// Suspends the process, by SIGSTOP.
    pub fn suspend(&self) {
        self.signal("-STOP");
    }

    /// Resumes a suspended process, by SIGCONT.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Makes the process read its settings again, by SIGHUP.
    pub fn reload(&self) {
        self.signal("-HUP");
    }

    /// Stops the process as planned, by SIGTERM. Returns whether it reported success.
    pub async fn stop(&mut self) -> bool {
        self.signal("-TERM");
        let mut process = self.process.take().expect("the process runs");
        let mut status = None;
        harness::eventually("a planned stop", async || {
            status = process.0.try_wait().expect("a child");
            status.is_some()
        })
        .await;
        status.is_some_and(|it| it.success())
    }

    fn signal(&self, signal: &str) {
        let process = self.process.as_ref().expect("the process runs");
        let id = process.0.id().to_string();
        let status = process::Command::new("kill").args([signal, &id]).status();
        assert!(status.expect("kill is there").success());
    }
}

/// A port that is free for TCP and UDP. None is allocated twice, because a process binds its ports
/// only when it starts, and cases run concurrently.
fn free_port() -> net::SocketAddr {
    loop {
        let port = rand::rng().random_range(PORTS);
        if !ALLOCATED.lock().expect("no holder panics").insert(port) {
            continue;
        }
        let addr = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port));
        if net::TcpListener::bind(addr).is_ok() && net::UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// Guards against two processes with the same port, of which the second one fails to start.
#[test]
fn ports_are_allocated_once() {
    let mut ports: Vec<_> = (0..2_000).map(|_| free_port().port()).collect();
    ports.sort_unstable();
    let count = ports.len();
    ports.dedup();
    assert_eq!(ports.len(), count, "a port was allocated twice");
}
