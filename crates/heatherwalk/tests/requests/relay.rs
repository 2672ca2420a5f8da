//! A relay that delays or drops datagrams between two processes.

use std::{
    net,
    sync::{Arc, atomic},
    time,
};

use tokio::{net::UdpSocket, task};

use crate::mesh;

/// A running relay for one sender.
pub struct Relay {
    pub addr: net::SocketAddr,
    delay_ms: Arc<atomic::AtomicU64>,
    silent: Arc<atomic::AtomicBool>,
    arrived: Arc<atomic::AtomicUsize>,
    _tasks: task::JoinSet<()>,
}

impl Relay {
    /// Starts a relay to `target` without delay.
    pub async fn spawn(target: net::SocketAddr) -> Relay {
        let node_side = Arc::new(UdpSocket::bind(mesh::loopback()).await.expect("binds"));
        let target_side = Arc::new(UdpSocket::bind(mesh::loopback()).await.expect("binds"));
        let addr = node_side.local_addr().expect("has an address");
        let delay_ms = Arc::new(atomic::AtomicU64::new(0));
        let silent = Arc::new(atomic::AtomicBool::new(false));
        let mut tasks = task::JoinSet::new();
        let drops = Arc::clone(&silent);
        let arrived = Arc::new(atomic::AtomicUsize::new(0));
        tasks.spawn(forward(
            node_side,
            target_side,
            target,
            Arc::clone(&delay_ms),
            drops,
            Arc::clone(&arrived),
        ));
        Relay { addr, delay_ms, silent, arrived, _tasks: tasks }
    }

    /// Delays each later datagram by this time, in both directions.
    pub fn delay(&self, delay: time::Duration) {
        let millis = u64::try_from(delay.as_millis()).expect("short");
        self.delay_ms.store(millis, atomic::Ordering::SeqCst);
    }

    /// The datagrams that the sender has sent, those that were dropped included.
    pub fn arrived(&self) -> usize {
        self.arrived.load(atomic::Ordering::SeqCst)
    }

    /// Drops each later datagram, in both directions.
    pub fn silence(&self) {
        self.silent.store(true, atomic::Ordering::SeqCst);
    }
}

async fn forward(
    node_side: Arc<UdpSocket>,
    target_side: Arc<UdpSocket>,
    target: net::SocketAddr,
    delay_ms: Arc<atomic::AtomicU64>,
    silent: Arc<atomic::AtomicBool>,
    arrived: Arc<atomic::AtomicUsize>,
) {
    let mut node = None;
    let mut sends = task::JoinSet::new();
    let (mut to_target, mut to_node) = (vec![0; 65_536], vec![0; 65_536]);
    loop {
        let (bytes, socket, to) = tokio::select! {
            Some(_) = sends.join_next() => continue,
            Ok((length, from)) = node_side.recv_from(&mut to_target) => {
                node = Some(from);
                arrived.fetch_add(1, atomic::Ordering::SeqCst);
                (to_target[..length].to_vec(), Arc::clone(&target_side), target)
            }
            Ok((length, _)) = target_side.recv_from(&mut to_node) => {
                let Some(to) = node else { continue };
                (to_node[..length].to_vec(), Arc::clone(&node_side), to)
            }
        };
        if silent.load(atomic::Ordering::SeqCst) {
            continue;
        }
        let delay = time::Duration::from_millis(delay_ms.load(atomic::Ordering::SeqCst));
        sends.spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = socket.send_to(&bytes, to).await;
        });
    }
}
