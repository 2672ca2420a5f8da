//! A relay of datagrams that delays them, in front of a control.

use std::{
    net,
    sync::{Arc, atomic},
    time,
};

use tokio::{net::UdpSocket, task};

use crate::mesh;

/// A running relay for one node.
pub struct Relay {
    pub addr: net::SocketAddr,
    delay_ms: Arc<atomic::AtomicU64>,
    _tasks: task::JoinSet<()>,
}

impl Relay {
    /// Starts a relay to `target` without delay.
    pub async fn spawn(target: net::SocketAddr) -> Relay {
        let near = Arc::new(UdpSocket::bind(mesh::loopback()).await.expect("binds"));
        let far = Arc::new(UdpSocket::bind(mesh::loopback()).await.expect("binds"));
        let addr = near.local_addr().expect("has an address");
        let delay_ms = Arc::new(atomic::AtomicU64::new(0));
        let mut tasks = task::JoinSet::new();
        tasks.spawn(pass(near, far, target, Arc::clone(&delay_ms)));
        Relay { addr, delay_ms, _tasks: tasks }
    }

    /// Delays each datagram by this time from now on.
    pub fn delay(&self, delay: time::Duration) {
        let millis = u64::try_from(delay.as_millis()).expect("short");
        self.delay_ms.store(millis, atomic::Ordering::SeqCst);
    }
}

async fn pass(
    near: Arc<UdpSocket>,
    far: Arc<UdpSocket>,
    target: net::SocketAddr,
    delay_ms: Arc<atomic::AtomicU64>,
) {
    let mut node = None;
    let mut sends = task::JoinSet::new();
    let (mut there, mut back) = (vec![0; 65_536], vec![0; 65_536]);
    loop {
        let (bytes, socket, to) = tokio::select! {
            Some(_) = sends.join_next() => continue,
            Ok((length, from)) = near.recv_from(&mut there) => {
                node = Some(from);
                (there[..length].to_vec(), Arc::clone(&far), target)
            }
            Ok((length, _)) = far.recv_from(&mut back) => {
                let Some(to) = node else { continue };
                (back[..length].to_vec(), Arc::clone(&near), to)
            }
        };
        let delay = time::Duration::from_millis(delay_ms.load(atomic::Ordering::SeqCst));
        sends.spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = socket.send_to(&bytes, to).await;
        });
    }
}
