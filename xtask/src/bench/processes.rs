//! Runs a mesh of real processes on loopback for the benches: writes their settings, starts and
//! ends them, and reads their CPU time and memory from `/proc`.

use std::{fs, io, net, path, process, time};

use compact_str::CompactString;
use eyre::WrapErr as _;
use heatherwalk::{api_client, keys, operators};
use tokio::signal;
use world::hosts;

/// Token of the operators' interface. It needn't be secret, since the ports are on loopback.
const OPERATOR_TOKEN: &str = "bench-token-for-loopback";
const REGION: &str = "vidzeme";
/// Clock ticks per second, the unit of CPU time in `/proc/PID/stat` on Linux.
const TICKS_PER_S: f64 = 100.0;
/// Limit on a request for metrics, and on the retries of a patch while the controls start and elect
/// a leader.
const TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// Pause between two polls of a control.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Parameters of a mesh.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// Number of controls, each in its own data centre. All of them vote in both consensus groups.
    pub(crate) controls: usize,
    /// Whether the processes log their decisions.
    pub(crate) decisions: bool,
    /// The heatherwalk binary that all processes run.
    pub(crate) binary: path::PathBuf,
}

/// A running mesh. Dropping it kills its processes and removes its files.
pub(crate) struct Mesh {
    pub(crate) controls: Vec<Control>,
    pub(crate) nodes: Vec<Node>,
    options: Options,
    /// Folder of the certificates and keys.
    keys: path::PathBuf,
    folder: tempfile::TempDir,
    /// The settings sections that name the controls, the same for all processes.
    control_sections: String,
}

/// A control process.
pub(crate) struct Control {
    pub(crate) name: CompactString,
    pub(crate) listen: net::SocketAddr,
    pub(crate) operators: net::SocketAddr,
    pub(crate) metrics: net::SocketAddr,
    pub(crate) data: path::PathBuf,
    pub(crate) process: Process,
}

/// A node process.
pub(crate) struct Node {
    pub(crate) callers: net::SocketAddr,
    pub(crate) announce: net::SocketAddr,
    pub(crate) metrics: net::SocketAddr,
    pub(crate) process: Process,
}

/// A child process, killed on drop.
pub(crate) struct Process(process::Child);

/// CPU time and memory of a process.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    /// CPU time since the start of the process in seconds, with a resolution of 10 ms.
    pub(crate) cpu_s: f64,
    /// Resident memory in MB (10^6 bytes).
    pub(crate) resident_mb: f64,
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail if the process has already ended.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    /// Starts a process.
    pub(crate) fn spawn(mut command: process::Command) -> io::Result<Process> {
        command.spawn().map(Process)
    }

    /// The process, which has not been waited for unless [`Process::try_wait`] returned a status.
    pub(crate) fn child(&self) -> &process::Child {
        &self.0
    }

    /// The status of the process if it has ended.
    pub(crate) fn try_wait(&mut self) -> io::Result<Option<process::ExitStatus>> {
        self.0.try_wait()
    }

    /// Reads CPU time and memory from `/proc`.
    pub(crate) fn usage(&self) -> eyre::Result<Usage> {
        read_usage(self.0.id())
    }
}

/// Reads the CPU time and memory of a process from `/proc`.
pub(crate) fn read_usage(id: u32) -> eyre::Result<Usage> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The name in parentheses may contain spaces, so the fields are counted after it: user and
    // system time are fields 14 and 15 of the line.
    let (_, fields) = stat
        .rsplit_once(')')
        .ok_or_else(|| eyre::eyre!("/proc/{id}/stat has no name in parentheses"))?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"));
    let kib = line.and_then(|it| it.split_whitespace().next()).unwrap_or("0");
    let resident_mb = kib.parse::<f64>()? * 1_024.0 / 1e6;
    Ok(Usage { cpu_s: ticks / TICKS_PER_S, resident_mb })
}

impl Mesh {
    /// Issues the certificates and starts the controls.
    pub(crate) fn start(options: Options) -> eyre::Result<Mesh> {
        let folder = tempfile::tempdir()?;
        let keys = folder.path().join("keys");
        keys::create_authority(&keys)?;
        let mut addresses = Vec::new();
        let mut control_sections = String::new();
        for index in 1..=options.controls {
            let listen = free_udp_addr()?;
            control_sections += &format!(
                "[control.control-{index}]\nregion = {REGION}\ndata-centre = centre-{index}\n\
                 address = {listen}\nvotes = configuration claims\n"
            );
            addresses.push(listen);
        }
        let (controls, nodes) = (Vec::new(), Vec::new());
        let mut mesh = Mesh { controls, nodes, options, keys, folder, control_sections };
        for (index, listen) in addresses.into_iter().enumerate() {
            mesh.start_control(index + 1, listen)?;
        }
        Ok(mesh)
    }

    /// Starts a node in the first data centre.
    pub(crate) fn start_node(&mut self) -> eyre::Result<()> {
        let name = format!("node-{}", self.nodes.len() + 1);
        let (callers, announce, metrics) = (free_tcp_addr()?, free_tcp_addr()?, free_tcp_addr()?);
        let listen = free_udp_addr()?;
        let role = format!("[node]\ncallers = {callers}\nannounce = {announce}\n");
        let host = Host { name: &name, role: hosts::Role::Node, centre: 1, listen, metrics };
        let process = self.launch(host, &role)?;
        self.nodes.push(Node { callers, announce, metrics, process });
        Ok(())
    }

    /// Folder of the certificates and keys.
    pub(crate) fn keys(&self) -> &path::Path {
        &self.keys
    }

    /// Proposes a patch and retries until a control accepts it. Fails at once if the patch is
    /// invalid.
    pub(crate) async fn patch(
        &self,
        base: u64,
        request_id: &str,
        patch: &serde_json::Value,
    ) -> eyre::Result<()> {
        let body = serde_json::json!({
            "base": base, "request_id": request_id, "operator": "bench", "patch": patch,
        });
        let path = protocol::operators::PATCHES_PATH;
        let deadline = time::Instant::now() + TIMEOUT;
        loop {
            let reply = self.call(http::Method::POST, path, Some(body.clone())).await;
            match reply {
                Ok(reply) if reply.status == 200 => return Ok(()),
                Ok(reply) if reply.status == 422 => eyre::bail!("patch is invalid: {}", reply.body),
                _ if time::Instant::now() < deadline => tokio::time::sleep(POLL_INTERVAL).await,
                other => eyre::bail!("no control accepted the patch in time: {other:?}"),
            }
        }
    }

    /// Waits until `nodes` nodes are attached to the first control and run its version.
    pub(crate) async fn wait_converged(&self, nodes: u64) -> eyre::Result<()> {
        let deadline = time::Instant::now() + 3 * TIMEOUT;
        let path = protocol::operators::STATUS_PATH;
        loop {
            let status = match self.call(http::Method::GET, path, None).await {
                Ok(reply) => reply.body,
                Err(_) => serde_json::Value::Null,
            };
            let count = |name| status[name].as_u64().unwrap_or(0);
            if count("nodes") >= nodes && count("converged") >= nodes {
                return Ok(());
            }
            eyre::ensure!(
                time::Instant::now() < deadline,
                "nodes did not converge in time: {status}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends an operator's request to the first control.
    pub(crate) async fn call(
        &self,
        method: http::Method,
        path: &str,
        body: Option<serde_json::Value>,
    ) -> eyre::Result<operators::Reply> {
        let client = web::client::Client::new(web::client::Limits::default());
        let control = self.controls[0].operators;
        let call = operators::Request { control, method, path: path.into(), body };
        Ok(api_client::send(&client, OPERATOR_TOKEN, &call).await?)
    }

    fn start_control(&mut self, index: usize, listen: net::SocketAddr) -> eyre::Result<()> {
        let name = format!("control-{index}");
        let (operators, metrics) = (free_tcp_addr()?, free_tcp_addr()?);
        let data = self.folder.path().join(format!("{name}.data"));
        let role = format!(
            "[control]\noperators = {operators}\ntoken = {OPERATOR_TOKEN}\ndata = {}\n",
            data.display()
        );
        let host = Host { name: &name, role: hosts::Role::Control, centre: index, listen, metrics };
        let process = self.launch(host, &role)?;
        let name = name.into();
        self.controls.push(Control { name, listen, operators, metrics, data, process });
        Ok(())
    }

    fn launch(&self, host: Host<'_>, section: &str) -> eyre::Result<Process> {
        let Host { name, role, centre, listen, metrics } = host;
        let files = keys::issue_host(&self.keys, name, role, &self.keys)?;
        let role = if role == hosts::Role::Node { "node" } else { "control" };
        let decisions = if self.options.decisions { "on" } else { "off" };
        let text = format!(
            "[host]\nname = {name}\nrole = {role}\nregion = {REGION}\n\
             data-centre = centre-{centre}\nlisten = {listen}\nmetrics = {metrics}\n\
             [identity]\nauthority = {}\ncertificate = {}\nkey = {}\n\
             [log]\nlevel = info\ndecisions = {decisions}\n{section}{}",
            self.keys.join(keys::AUTHORITY_CERTIFICATE).display(),
            files.certificate.display(),
            files.key.display(),
            self.control_sections,
        );
        let settings = self.folder.path().join(format!("{name}.ini"));
        fs::write(&settings, text)?;
        let log = fs::File::create(self.folder.path().join(format!("{name}.log")))?;
        let mut command = process::Command::new(&self.options.binary);
        command.args([role, "--settings"]).arg(&settings);
        command.stdin(process::Stdio::null()).stdout(process::Stdio::null()).stderr(log);
        Ok(Process(command.spawn().wrap_err("starting heatherwalk")?))
    }
}

/// Sum of all series of a process's metrics page whose name starts with `name`.
pub(crate) async fn metric_sum(page: net::SocketAddr, name: &str) -> eyre::Result<f64> {
    let client = web::client::Client::new(web::client::Limits::default());
    let call = web::client::Call {
        addr: page,
        method: http::Method::GET,
        path: "/metrics".into(),
        headers: http::HeaderMap::new(),
        body: web::body::Body::full(bytes::Bytes::new()),
        deadline: tokio::time::Instant::now() + TIMEOUT,
        close_delimited: false,
        reuse: web::client::Reuse::Never,
    };
    let text = client.send(call).await?.body.collect(1024 * 1024).await?;
    let text = String::from_utf8_lossy(&text);
    let lines = text.lines().filter(|it| it.starts_with(name));
    Ok(lines.filter_map(|it| it.rsplit_once(' ')?.1.parse::<f64>().ok()).sum())
}

/// What differs between the settings files of the processes.
struct Host<'a> {
    name: &'a str,
    role: hosts::Role,
    centre: usize,
    listen: net::SocketAddr,
    metrics: net::SocketAddr,
}

/// Runs a bench. On SIGTERM or Ctrl-C, the bench is dropped, and with it the processes that it
/// started.
pub(crate) fn run_until_signal(work: impl Future<Output = eyre::Result<()>>) -> eyre::Result<()> {
    tokio::runtime::Runtime::new()?.block_on(async {
        let mut signals = signal::unix::signal(signal::unix::SignalKind::terminate())?;
        tokio::select! {
            it = work => it,
            _ = signals.recv() => Err(eyre::eyre!("stopped by SIGTERM")),
            _ = signal::ctrl_c() => Err(eyre::eyre!("interrupted by Ctrl-C")),
        }
    })
}

/// Builds heatherwalk in release mode, so that a bench never measures an outdated binary.
pub(crate) fn build_release() -> eyre::Result<path::PathBuf> {
    let mut cargo = process::Command::new(env!("CARGO"));
    cargo.args(["build", "--quiet", "--release", "--locked", "-p", "heatherwalk"]);
    let status = cargo.status().wrap_err("running cargo build")?;
    eyre::ensure!(status.success(), "cargo build failed: {status}");
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    Ok(root.join("target/release/heatherwalk"))
}

/// Address of a free port. Another process may take the port before ours binds it; the bench then
/// fails at its start.
fn free_tcp_addr() -> io::Result<net::SocketAddr> {
    net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))?.local_addr()
}

fn free_udp_addr() -> io::Result<net::SocketAddr> {
    net::UdpSocket::bind((net::Ipv4Addr::LOCALHOST, 0))?.local_addr()
}
