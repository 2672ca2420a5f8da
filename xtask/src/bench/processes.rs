//! A mesh of real processes on loopback, for benches: settings files, start, figures of `/proc`.

use std::{fs, io, net, path, process, time};

use compact_str::CompactString;
use eyre::WrapErr as _;
use heatherwalk::{api_client, keys, operators};
use tokio::signal;
use world::hosts;

/// The operators' token. The ports are on loopback.
const TOKEN: &str = "bench-token-for-loopback";
const REGION: &str = "vidzeme";
/// Clock ticks in a second, as `/proc/PID/stat` counts CPU time on Linux.
const TICKS_PER_S: f64 = 100.0;
const START_LIMIT: time::Duration = time::Duration::from_secs(20);
const START_PAUSE: time::Duration = time::Duration::from_millis(100);

/// What the processes of a mesh have in common.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// How many controls, each in its own data centre; all of them vote in both groups.
    pub(crate) controls: usize,
    /// Whether the lines of decisions are written.
    pub(crate) decisions: bool,
    /// The binary to run.
    pub(crate) binary: path::PathBuf,
}

/// A running mesh. Dropping it ends its processes.
pub(crate) struct Mesh {
    pub(crate) controls: Vec<Control>,
    pub(crate) nodes: Vec<Node>,
    options: Options,
    keys: path::PathBuf,
    folder: tempfile::TempDir,
    sections: String,
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

/// A process of ours, which is ended by its ID when it is dropped.
pub(crate) struct Process(process::Child);

/// CPU time and memory of a process.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    /// CPU time since the start of the process, in seconds, in steps of 10 ms.
    pub(crate) cpu_s: f64,
    /// Resident memory in MB (10^6 bytes).
    pub(crate) resident_mb: f64,
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    /// Reads the process's figures.
    pub(crate) fn usage(&self) -> eyre::Result<Usage> {
        let id = self.0.id();
        let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
        // The name in parentheses may contain spaces, so fields are counted after it.
        let (_, fields) = stat.rsplit_once(')').ok_or_else(|| eyre::eyre!("odd stat file"))?;
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
        let status = fs::read_to_string(format!("/proc/{id}/status"))?;
        let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"));
        let kib = line.and_then(|it| it.split_whitespace().next()).unwrap_or("0");
        let resident_mb = kib.parse::<f64>()? * 1_024.0 / 1e6;
        Ok(Usage { cpu_s: ticks / TICKS_PER_S, resident_mb })
    }
}

impl Mesh {
    /// Makes certificates and starts the controls.
    pub(crate) fn start(options: Options) -> eyre::Result<Mesh> {
        let folder = tempfile::tempdir()?;
        let keys = folder.path().join("keys");
        keys::create_authority(&keys)?;
        let mut places = Vec::new();
        let mut sections = String::new();
        for index in 1..=options.controls {
            let listen = free_udp()?;
            sections += &format!(
                "[control.control-{index}]\nregion = {REGION}\ndata-centre = centre-{index}\n\
                 address = {listen}\nvotes = configuration claims\n"
            );
            places.push(listen);
        }
        let (controls, nodes) = (Vec::new(), Vec::new());
        let mut mesh = Mesh { controls, nodes, options, keys, folder, sections };
        for (index, listen) in places.into_iter().enumerate() {
            mesh.start_control(index + 1, listen)?;
        }
        Ok(mesh)
    }

    /// Starts a node in the first data centre.
    pub(crate) fn start_node(&mut self) -> eyre::Result<()> {
        let name = format!("node-{}", self.nodes.len() + 1);
        let (callers, announce, metrics) = (free_tcp()?, free_tcp()?, free_tcp()?);
        let listen = free_udp()?;
        let role = format!("[node]\ncallers = {callers}\nannounce = {announce}\n");
        let place = Place { name: &name, role: hosts::Role::Node, centre: 1, listen, metrics };
        let process = self.launch(place, &role)?;
        self.nodes.push(Node { callers, announce, metrics, process });
        Ok(())
    }

    /// The folder with the certificates.
    pub(crate) fn keys(&self) -> &path::Path {
        &self.keys
    }

    /// Proposes a patch until it is accepted.
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
        let until = time::Instant::now() + START_LIMIT;
        loop {
            let reply = self.call(http::Method::POST, path, Some(body.clone())).await;
            match reply {
                Ok(reply) if reply.status == 200 => return Ok(()),
                Ok(reply) if reply.status == 422 => eyre::bail!("patch: {}", reply.body),
                _ if time::Instant::now() < until => tokio::time::sleep(START_PAUSE).await,
                other => eyre::bail!("patch was not accepted: {other:?}"),
            }
        }
    }

    /// Waits until the first control has `nodes` nodes attached that all run its version.
    pub(crate) async fn settle(&self, nodes: u64) -> eyre::Result<()> {
        let until = time::Instant::now() + 3 * START_LIMIT;
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
            eyre::ensure!(time::Instant::now() < until, "nodes did not settle: {status}");
            tokio::time::sleep(START_PAUSE).await;
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
        Ok(api_client::send(&client, TOKEN, &call).await?)
    }

    fn start_control(&mut self, index: usize, listen: net::SocketAddr) -> eyre::Result<()> {
        let name = format!("control-{index}");
        let (operators, metrics) = (free_tcp()?, free_tcp()?);
        let data = self.folder.path().join(format!("{name}.data"));
        let role = format!(
            "[control]\noperators = {operators}\ntoken = {TOKEN}\ndata = {}\n",
            data.display()
        );
        let place =
            Place { name: &name, role: hosts::Role::Control, centre: index, listen, metrics };
        let process = self.launch(place, &role)?;
        let name = name.into();
        self.controls.push(Control { name, listen, operators, metrics, data, process });
        Ok(())
    }

    fn launch(&self, place: Place<'_>, section: &str) -> eyre::Result<Process> {
        let Place { name, role, centre, listen, metrics } = place;
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
            self.sections,
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

/// The sum of a metric's values on a process's page.
pub(crate) async fn metric(page: net::SocketAddr, name: &str) -> eyre::Result<f64> {
    let client = web::client::Client::new(web::client::Limits::default());
    let call = web::client::Call {
        addr: page,
        method: http::Method::GET,
        path: "/metrics".into(),
        headers: http::HeaderMap::new(),
        body: web::body::Body::full(bytes::Bytes::new()),
        deadline: tokio::time::Instant::now() + START_LIMIT,
        unframed: false,
        reuse: web::client::Reuse::Fresh,
    };
    let text = client.send(call).await?.body.whole(1024 * 1024).await?;
    let text = String::from_utf8_lossy(&text);
    let lines = text.lines().filter(|it| it.starts_with(name));
    Ok(lines.filter_map(|it| it.rsplit_once(' ')?.1.parse::<f64>().ok()).sum())
}

struct Place<'a> {
    name: &'a str,
    role: hosts::Role,
    centre: usize,
    listen: net::SocketAddr,
    metrics: net::SocketAddr,
}

/// Runs a bench's work. When the bench is told to stop, the work is dropped, and with it the
/// processes that it started.
pub(crate) fn run(work: impl Future<Output = eyre::Result<()>>) -> eyre::Result<()> {
    tokio::runtime::Runtime::new()?.block_on(async {
        let mut signals = signal::unix::signal(signal::unix::SignalKind::terminate())?;
        tokio::select! {
            it = work => it,
            _ = signals.recv() => Err(eyre::eyre!("told to stop")),
            _ = signal::ctrl_c() => Err(eyre::eyre!("interrupted")),
        }
    })
}

/// Builds the binary in release, so that a bench never measures an old one.
pub(crate) fn build() -> eyre::Result<path::PathBuf> {
    let mut cargo = process::Command::new(env!("CARGO"));
    cargo.args(["build", "--quiet", "--release", "--locked", "-p", "heatherwalk"]);
    let status = cargo.status().wrap_err("running cargo build")?;
    eyre::ensure!(status.success(), "cargo build failed: {status}");
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    Ok(root.join("target/release/heatherwalk"))
}

/// A port that was free just now. Another process may take it before ours binds it; the bench
/// then fails at its start.
fn free_tcp() -> io::Result<net::SocketAddr> {
    net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))?.local_addr()
}

fn free_udp() -> io::Result<net::SocketAddr> {
    net::UdpSocket::bind((net::Ipv4Addr::LOCALHOST, 0))?.local_addr()
}
