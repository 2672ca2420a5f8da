//! The hosts of a soak: their processes, which signals end, suspend and resume, and which are
//! started again.

use std::{collections, fs, net, path, process, sync, time};

use rand::Rng as _;
use rustix::process as unix;

use super::{history, host_set};
use crate::bench::processes;

/// Below the ephemeral ports that the system gives to outgoing connections, so that the port of a
/// killed process is still free at its restart.
const PORTS: std::ops::Range<u16> = 12_000..32_000;
/// The samples of waits that are kept: a minute at the interval of the monitor.
const MAX_SAMPLES: usize = 240;
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// The time limit of a planned stop (the default of `[host] stop-limit-ms`) and some slack.
const MAX_STOP: time::Duration = time::Duration::from_secs(35);

/// A signal to a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Signal {
    Hangup,
    Kill,
    Term,
}

/// The addresses of a host's process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Addrs {
    /// For other processes.
    pub(crate) listen: net::SocketAddr,
    /// For clients: callers of a node, operators of a control.
    pub(crate) clients: net::SocketAddr,
    /// For announcements of a node.
    pub(crate) announce: net::SocketAddr,
    pub(crate) metrics: net::SocketAddr,
}

/// The files of a host.
#[derive(Clone, Debug)]
pub(crate) struct Files {
    pub(crate) settings: path::PathBuf,
    pub(crate) log: path::PathBuf,
    /// The folder of a control's data.
    pub(crate) data: path::PathBuf,
}

/// A host of the mesh, whose process runs unless a fault has taken it down.
pub(crate) struct Host {
    pub(crate) id: host_set::HostId,
    pub(crate) addrs: Addrs,
    pub(crate) files: Files,
    binary: path::PathBuf,
    history: sync::Arc<history::History>,
    state: sync::Mutex<State>,
}

#[derive(Default)]
struct State {
    process: Option<processes::Process>,
    /// Faults that keep the process down.
    downs: u32,
    /// Faults that suspend the process.
    pauses: u32,
    /// Whether the data are deleted before the next start.
    loses_data: bool,
    /// When the process was told to end.
    ending: Option<time::Instant>,
    /// Whether the process accepts connections.
    accepts: bool,
    /// Samples of the last minute, oldest first.
    waits: collections::VecDeque<(time::Instant, Waits)>,
}

/// How long each thread of a process has waited for a processor, in nanoseconds, by its ID.
type Waits = collections::BTreeMap<u64, u64>;

impl Addrs {
    pub(crate) fn allocate() -> Addrs {
        let [listen, clients, announce, metrics] = [(); 4].map(|()| free_port());
        Addrs { listen, clients, announce, metrics }
    }
}

impl Host {
    /// A host without a process; [`Host::supervise`] starts it.
    pub(crate) fn new(
        id: host_set::HostId,
        addrs: Addrs,
        files: Files,
        binary: path::PathBuf,
        history: sync::Arc<history::History>,
    ) -> Host {
        Host { id, addrs, files, binary, history, state: sync::Mutex::default() }
    }

    /// Ends the process by a signal, and keeps it down until [`Host::bring_up`].
    pub(crate) fn take_down(&self, signal: Signal) {
        let mut state = self.lock();
        state.downs += 1;
        state.accepts = false;
        if state.process.is_none() {
            return;
        }
        // Recorded before the signal, since callers may see its effect at once.
        self.history.begin(history::Cause::Down, self.id.into(), None);
        state.ending.get_or_insert_with(time::Instant::now);
        state.send(signal);
    }

    /// Allows the process to be started when it has ended.
    pub(crate) fn bring_up(&self) {
        self.lock().downs -= 1;
    }

    /// Suspends the process until as many calls of [`Host::resume`].
    pub(crate) fn pause(&self) {
        let mut state = self.lock();
        state.pauses += 1;
        state.send_unix(unix::Signal::STOP);
    }

    pub(crate) fn resume(&self) {
        let mut state = self.lock();
        state.pauses -= 1;
        if state.pauses == 0 {
            state.send_unix(unix::Signal::CONT);
        }
    }

    /// Deletes the data before the next start.
    pub(crate) fn lose_data(&self) {
        self.lock().loses_data = true;
    }

    pub(crate) fn signal(&self, signal: Signal) {
        self.lock().send(signal);
    }

    /// Whether the process runs and accepts connections.
    pub(crate) fn is_up(&self) -> bool {
        self.lock().accepts
    }

    /// The resident memory of the process in MB (10^6 bytes), if it runs.
    pub(crate) fn resident_mb(&self) -> Option<f64> {
        let state = self.lock();
        state.process.as_ref()?.usage().ok().map(|it| it.resident_mb)
    }

    /// Samples how long the threads of the process have waited for a processor.
    pub(crate) fn sample_waits(&self) {
        let mut state = self.lock();
        let Some(waits) = state.read_waits() else { return };
        state.waits.push_back((time::Instant::now(), waits));
        if state.waits.len() > MAX_SAMPLES {
            state.waits.pop_front();
        }
    }

    /// The longest time that a thread of the process has waited for a processor since the last
    /// sample before `from`.
    pub(crate) fn starved(&self, from: time::Instant) -> time::Duration {
        let state = self.lock();
        let before = state.waits.iter().rev().find(|it| it.0 <= from);
        let (Some((_, before)), Some(now)) = (before, state.read_waits()) else {
            return time::Duration::ZERO;
        };
        let waited = |(id, nanos): (&u64, &u64)| Some(nanos.saturating_sub(*before.get(id)?));
        let waited = now.iter().filter_map(waited).max();
        time::Duration::from_nanos(waited.unwrap_or(0))
    }

    /// Starts the process whenever it does not run and no fault keeps it down. Records a process
    /// that ends without a signal, or that does not end after one.
    pub(crate) async fn supervise(&self) {
        loop {
            if let Err(err) = self.step() {
                self.history.violate(format!("{}: {err}", self.id));
            }
            if !self.is_up() && self.accepts().await {
                self.record_up();
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn step(&self) -> eyre::Result<()> {
        let mut state = self.lock();
        let Some(process) = &mut state.process else {
            if state.downs == 0 {
                self.start(&mut state)?;
            }
            return Ok(());
        };
        if let Some(status) = process.try_wait()? {
            let ending = state.ending.take();
            state.process = None;
            state.accepts = false;
            if ending.is_none() {
                // It is not started again, since it would end again.
                state.downs += 1;
                eyre::bail!("the process ended by itself: {status}");
            }
        } else if state.pauses == 0 && state.ending.is_some_and(|it| it.elapsed() > MAX_STOP) {
            let held = state.ending.map(|it| self.history.held(self.id, it)).unwrap_or_default();
            if state.ending.is_some_and(|it| it.elapsed() > MAX_STOP + held) {
                state.ending = Some(time::Instant::now());
                state.send(Signal::Kill);
                eyre::bail!("the process did not end within {MAX_STOP:?} of SIGTERM");
            }
        }
        Ok(())
    }

    fn start(&self, state: &mut State) -> eyre::Result<()> {
        if state.loses_data {
            state.loses_data = false;
            fs::remove_dir_all(&self.files.data)?;
        }
        let open = || fs::OpenOptions::new().create(true).append(true).open(&self.files.log);
        let role = if self.id.node().is_some() { "node" } else { "control" };
        let mut command = process::Command::new(&self.binary);
        command.args([role, "--settings"]).arg(&self.files.settings);
        command.stdin(process::Stdio::null()).stdout(open()?).stderr(open()?);
        state.process = Some(processes::Process::spawn(command)?);
        Ok(())
    }

    async fn accepts(&self) -> bool {
        let runs = {
            let state = self.lock();
            state.process.is_some() && state.ending.is_none()
        };
        runs && tokio::net::TcpStream::connect(self.addrs.clients).await.is_ok()
    }

    fn record_up(&self) {
        let mut state = self.lock();
        if state.process.is_some() && state.ending.is_none() {
            state.accepts = true;
            self.history.end_down(self.id);
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

impl State {
    fn send(&self, signal: Signal) {
        self.send_unix(match signal {
            Signal::Hangup => unix::Signal::HUP,
            Signal::Kill => unix::Signal::KILL,
            Signal::Term => unix::Signal::TERM,
        });
    }

    /// Reads the second field of `schedstat`, see proc(5).
    fn read_waits(&self) -> Option<Waits> {
        let process = self.process.as_ref()?.child().id();
        let threads = fs::read_dir(format!("/proc/{process}/task")).ok()?;
        let wait = |thread: fs::DirEntry| {
            let text = fs::read_to_string(thread.path().join("schedstat")).ok()?;
            let nanos = text.split_whitespace().nth(1)?.parse().ok()?;
            Some((thread.file_name().to_str()?.parse().ok()?, nanos))
        };
        Some(threads.filter_map(|it| wait(it.ok()?)).collect())
    }

    fn send_unix(&self, signal: unix::Signal) {
        let Some(process) = &self.process else { return };
        // The process was not waited for yet, so its ID belongs to no other. It may have ended.
        let _ = unix::kill_process(unix::Pid::from_child(process.child()), signal);
    }
}

/// An address of loopback that no other soak uses, so that tests on 127.0.0.1 cannot take the ports
/// of processes that are down for a while.
fn own_loopback() -> net::Ipv4Addr {
    let [_, a, b, c] = process::id().to_be_bytes();
    net::Ipv4Addr::new(127, 64 | (a & 63), b, c)
}

/// An address whose port is free for TCP and UDP and is not returned again.
pub(crate) fn free_port() -> net::SocketAddr {
    static ALLOCATED: sync::Mutex<collections::BTreeSet<u16>> =
        sync::Mutex::new(collections::BTreeSet::new());
    loop {
        let port = rand::rng().random_range(PORTS);
        if !ALLOCATED.lock().expect("no holder panics").insert(port) {
            continue;
        }
        let addr = net::SocketAddr::from((own_loopback(), port));
        if net::TcpListener::bind(addr).is_ok() && net::UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
}
