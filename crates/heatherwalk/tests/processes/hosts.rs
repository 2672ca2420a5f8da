//! The hosts of a mesh of real processes, and the signals that their processes get.

use std::{collections, net, process, sync};

use compact_str::CompactString;
use rand::Rng as _;

use crate::harness;

/// Below the ports that the system gives to outgoing connections, so that the port of a killed
/// process is still free when it is started again.
const PORTS: std::ops::Range<u16> = 12_000..32_000;
static HANDED_OUT: sync::Mutex<collections::BTreeSet<u16>> =
    sync::Mutex::new(collections::BTreeSet::new());

/// A process of the mesh with its settings.
pub struct Host {
    /// Its name, as `skulte-1`, or `skulte-c` for a control.
    pub name: CompactString,
    /// Its data centre.
    pub centre: &'static str,
    /// The port for other processes.
    pub listen: net::SocketAddr,
    /// The port of the metrics page.
    pub metrics: net::SocketAddr,
    /// Callers' port of a node, operators' port of a control.
    pub front: net::SocketAddr,
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
    pub fn new(name: CompactString, centre: &'static str) -> Host {
        let [listen, metrics, front, announce] = [(); 4].map(|()| free_port());
        Host { name, centre, listen, metrics, front, announce, process: None }
    }

    /// Ends the process at once, by SIGKILL.
    pub fn kill(&mut self) {
        drop(self.process.take().expect("the process runs"));
    }

    /// Freezes the process.
    pub fn freeze(&self) {
        self.signal("-STOP");
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.signal("-CONT");
    }

    /// Ends the process as planned. Returns whether it reported success.
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

/// A port that nothing uses, for TCP and UDP. None is handed out twice: a process binds its ports
/// only when it starts, and cases run side by side.
fn free_port() -> net::SocketAddr {
    loop {
        let port = rand::rng().random_range(PORTS);
        if !HANDED_OUT.lock().expect("no holder panics").insert(port) {
            continue;
        }
        let addr = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port));
        if net::TcpListener::bind(addr).is_ok() && net::UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// Guards against two processes that are given the same port: the second one ends at its start.
#[test]
fn ports_are_handed_out_once() {
    let mut ports: Vec<_> = (0..2_000).map(|_| free_port().port()).collect();
    ports.sort_unstable();
    let count = ports.len();
    ports.dedup();
    assert_eq!(ports.len(), count, "a port was handed out twice");
}
