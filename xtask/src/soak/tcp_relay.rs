//! A TCP relay that delays, silences and resets connections.

use std::{collections, io, net, sync, time};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream, tcp},
    sync::watch,
    task,
};

use super::schedule;

/// Bytes that are relayed at once.
const CHUNK: usize = 16 * 1024;

/// What happens to connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Effect {
    /// Bytes are held back for this many milliseconds.
    Delay(u64),
    /// All connections are reset when it begins.
    Reset,
    /// No byte and no end of a connection is passed on.
    Silence,
}

/// A running relay. Dropping it resets its connections.
pub(crate) struct Relay {
    addr: net::SocketAddr,
    effects: sync::Mutex<collections::BTreeMap<schedule::FaultId, Effect>>,
    mode: watch::Sender<Mode>,
    _task: task::JoinSet<()>,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Mode {
    delay: time::Duration,
    silent: bool,
    /// How often all connections were reset.
    resets: u32,
}

impl Relay {
    /// Starts a relay to `target`.
    pub(crate) async fn spawn(target: net::SocketAddr) -> io::Result<Relay> {
        let listener = TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await?;
        let addr = listener.local_addr()?;
        let mode = watch::Sender::new(Mode::default());
        let mut task = task::JoinSet::new();
        task.spawn(accept(listener, target, mode.subscribe()));
        Ok(Relay { addr, effects: sync::Mutex::default(), mode, _task: task })
    }

    /// The address that stands for the target.
    pub(crate) fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    pub(crate) fn add(&self, fault: schedule::FaultId, effect: Effect) {
        self.effects.lock().expect("no holder panics").insert(fault, effect);
        self.update(u32::from(effect == Effect::Reset));
    }

    /// Ends the effect of a fault.
    pub(crate) fn remove(&self, fault: schedule::FaultId) {
        self.effects.lock().expect("no holder panics").remove(&fault);
        self.update(0);
    }

    fn update(&self, resets: u32) {
        let effects = self.effects.lock().expect("no holder panics");
        let delays = effects.values().map(|it| if let Effect::Delay(ms) = it { *ms } else { 0 });
        let delay = time::Duration::from_millis(delays.max().unwrap_or(0));
        let silent = effects.values().any(|it| *it == Effect::Silence);
        self.mode.send_modify(|it| *it = Mode { delay, silent, resets: it.resets + resets });
    }
}

async fn accept(listener: TcpListener, target: net::SocketAddr, mode: watch::Receiver<Mode>) {
    let mut tasks = task::JoinSet::new();
    loop {
        tokio::select! {
            Some(_) = tasks.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => _ = tasks.spawn(relay(stream, target, mode.clone())),
                Err(_) => tokio::time::sleep(time::Duration::from_millis(10)).await,
            },
        }
    }
}

async fn relay(mut near: TcpStream, target: net::SocketAddr, mode: watch::Receiver<Mode>) {
    let Ok(mut far) = TcpStream::connect(target).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let resets = mode.borrow().resets;
    let mut reset = mode.clone();
    let ended = {
        let (near_reader, near_writer) = near.split();
        let (far_reader, far_writer) = far.split();
        let (there, back) = (mode.clone(), mode);
        let both = async {
            tokio::try_join!(
                copy(near_reader, far_writer, there),
                copy(far_reader, near_writer, back)
            )
        };
        tokio::select! {
            it = both => it.is_ok(),
            _ = reset.wait_for(|it| it.resets != resets) => false,
        }
    };
    if !ended {
        // A broken connection is passed on as a reset, never as the end of an answer.
        let _ = (near.set_zero_linger(), far.set_zero_linger());
    }
}

async fn copy(
    mut reader: tcp::ReadHalf<'_>,
    mut writer: tcp::WriteHalf<'_>,
    mut mode: watch::Receiver<Mode>,
) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK];
    loop {
        let length = reader.read(&mut buffer).await?;
        let delay = match mode.wait_for(|it| !it.silent).await {
            Ok(mode) => mode.delay,
            Err(_) => return Err(io::ErrorKind::ConnectionReset.into()),
        };
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if length == 0 {
            return writer.shutdown().await;
        }
        writer.write_all(&buffer[..length]).await?;
    }
}
