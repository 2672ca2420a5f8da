//! Starts a small deployment as separate processes on loopback: controls, nodes, and a stand-in
//! target beside each node.

use std::{
    collections::BTreeMap,
    fs,
    io::Write as _,
    net::{TcpListener, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{http, target};

/// What the cases write to `record.txt`.
pub struct Record {
    file: Mutex<fs::File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> Arc<Record> {
        let file = Mutex::new(fs::File::create(path).expect("the record can be written"));
        Arc::new(Record { file, started: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
    }

    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
}

/// A process that the case started. It is killed when dropped.
pub struct Process {
    pub settings: PathBuf,
    pub role: &'static str,
    pub child: Option<Child>,
    pub log: PathBuf,
}

/// The ids of the processes that were started and have not ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// The longest time that a case may take.
const LONGEST: Duration = Duration::from_secs(112);

/// Ends the case, with all processes that it started, if it takes too long.
pub fn watch() {
    thread::spawn(|| {
        thread::sleep(LONGEST);
        for id in STARTED.lock().unwrap().iter() {
            let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
        }
        eprintln!("could not run: the case took longer than {LONGEST:?}");
        std::process::exit(2);
    });
}

impl Process {
    pub fn start(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log).unwrap();
        let errors = log.try_clone().unwrap();
        let mut command = Command::new("target/release/heatherwalk");
        command.arg(self.role).env_clear().env("HEATHERWALK_CONFIG", &self.settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        let child = command.stdin(Stdio::null()).stdout(log).stderr(errors).spawn();
        let child = child.expect("the program can be started");
        STARTED.lock().unwrap().push(child.id());
        self.child = Some(child);
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|it| *it != child.id());
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A machine with a node and a target.
pub struct Sidecar {
    pub name: String,
    pub outbound: String,
    pub ready: String,
    pub node: Process,
    pub target: Arc<target::Target>,
}

pub struct Mesh {
    pub record: Arc<Record>,
    pub controls: Vec<(String, Process)>,
    pub sidecars: Vec<Sidecar>,
    folder: PathBuf,
}

const ZONES: [&str; 3] = ["skulte", "jugla", "imanta"];

/// A port that is free for TCP and UDP now. Ports are below those that the system gives to outgoing
/// connections, and cases that run at the same time begin at different ones.
pub fn free_port() -> u16 {
    static NEXT: Mutex<Option<u16>> = Mutex::new(None);
    let mut next = NEXT.lock().unwrap();
    let mut port = next.unwrap_or(12_000 + (std::process::id() % 180) as u16 * 100);
    loop {
        port = if port >= 31_900 { 12_000 } else { port + 1 };
        *next = Some(port);
        let tcp = TcpListener::bind(("127.0.0.1", port));
        if tcp.is_ok() && UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// Fills a template of the deploy folder in, as the platform does.
fn fill(template: &str, fields: &BTreeMap<&str, String>) -> String {
    let mut text = fs::read_to_string(template).expect("the template can be read");
    for (name, value) in fields {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(!text.contains("{{"), "a placeholder of {template} has no value");
    text
}

impl Mesh {
    /// Starts three controls, and a node with its target for each of `services`; the zones follow
    /// each other. Waits until all processes serve `config`.
    pub fn start(
        record: &Arc<Record>,
        services: &[&str],
        behaviour: &Arc<dyn target::Behaviour>,
        config: &str,
    ) -> Result<Mesh, String> {
        let folder = std::env::temp_dir().join(format!("hw-review-3-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).map_err(|err| err.to_string())?;
        let operators: Vec<u16> = (0..3).map(|_| free_port()).collect();
        let seeds: Vec<String> = operators.iter().map(|it| format!("127.0.0.1:{it}")).collect();
        let mut mesh =
            Mesh { record: record.clone(), controls: Vec::new(), sidecars: Vec::new(), folder };
        for (index, port) in operators.iter().enumerate() {
            mesh.add_control(index, *port, &seeds);
        }
        for (index, service) in services.iter().enumerate() {
            mesh.add_sidecar(index, service, &seeds, behaviour);
        }
        mesh.put(config, 0)?;
        mesh.wait_ready()?;
        Ok(mesh)
    }

    fn process(&self, name: &str, role: &'static str, settings: &str) -> Process {
        let path = self.folder.join(format!("{name}.conf"));
        fs::write(&path, settings).expect("the settings can be written");
        let log = self.folder.join(format!("{name}.log"));
        let mut process = Process { settings: path, role, child: None, log };
        process.start();
        process
    }

    fn add_control(&mut self, index: usize, port: u16, seeds: &[String]) {
        let (zone, addr) = (ZONES[index % 3], format!("127.0.0.1:{port}"));
        let name = format!("core-{zone}-1");
        let data = self.folder.join(format!("data-{index}"));
        let fields = BTreeMap::from([
            ("node", name.clone()),
            ("region", "vidzeme".into()),
            ("zone", zone.into()),
            ("listen.control", addr.clone()),
            ("ip", "127.0.0.1".into()),
            ("portRange.1", free_port().to_string()),
            ("seeds", seeds.join(",")),
            ("bootstrap", "true".into()),
            ("dataDir", data.display().to_string()),
        ]);
        let settings = fill("deploy/control.ini", &fields);
        let process = self.process(&name, "control", &settings);
        self.controls.push((addr, process));
    }

    fn add_sidecar(
        &mut self,
        index: usize,
        service: &str,
        seeds: &[String],
        behaviour: &Arc<dyn target::Behaviour>,
    ) {
        let zone = ZONES[index % 3];
        let name = format!("sidecar-{zone}-{index}");
        let addr = || format!("127.0.0.1:{}", free_port());
        let (outbound, control, ready, app) = (addr(), addr(), addr(), addr());
        let fields = BTreeMap::from([
            ("node", name.clone()),
            ("region", "vidzeme".into()),
            ("zone", zone.into()),
            ("ip", "127.0.0.1".into()),
            ("portRange.0", free_port().to_string()),
            ("portRange.1", free_port().to_string()),
            ("seeds", seeds.join(",")),
            ("listen.outbound", outbound.clone()),
            ("listen.control", control.clone()),
            ("listen.readyAddr", ready.clone()),
            ("service", service.into()),
            ("limits.linkMbps", "1000.0".into()),
        ]);
        let settings = fill("deploy/node.ini", &fields);
        let node = self.process(&name, "node", &settings);
        let place = target::Place {
            machine: name.clone(),
            zone: zone.into(),
            service: service.into(),
            app,
            control,
        };
        let target = target::Target::start(place, self.record.clone(), behaviour.clone());
        self.sidecars.push(Sidecar { name, outbound, ready, node, target });
    }

    /// Sends a configuration to the controls in turn until one acknowledges it.
    pub fn put(&self, config: &str, base: u64) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(30);
        let mut index = 0;
        while Instant::now() < end {
            let (addr, _) = &self.controls[index % self.controls.len()];
            index += 1;
            let head = format!(
                "PUT /v1/document HTTP/1.1\r\nHost: {addr}\r\nBase-Version: {base}\r\n\
                 Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{config}",
                config.len()
            );
            match http::exchange(addr, head.as_bytes(), Duration::from_secs(3)) {
                Ok(answer) if answer.status == 200 => {
                    self.record.line(&format!("operator: base {base} acknowledged by {addr}"));
                    return Ok(());
                }
                Ok(answer) if answer.status < 500 && answer.status != 404 => {
                    let text = String::from_utf8_lossy(&answer.body).into_owned();
                    return Err(format!("the configuration got {}: {text}", answer.status));
                }
                _ => thread::sleep(Duration::from_millis(200)),
            }
        }
        Err("no control acknowledged the configuration in 30 s".into())
    }

    /// Waits until all nodes are ready and have taken an announcement of their targets.
    pub fn wait_ready(&self) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(30);
        for it in &self.sidecars {
            loop {
                let question = format!("GET /ready HTTP/1.1\r\nHost: {}\r\n\r\n", it.ready);
                let answer = http::exchange(&it.ready, question.as_bytes(), Duration::from_secs(1));
                if answer.is_ok_and(|a| a.status == 200) && it.target.is_announced() {
                    break;
                }
                if Instant::now() > end {
                    return Err(format!("{} is not ready after 30 s", it.name));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        // The registry's entries spread, and the links between the nodes open.
        thread::sleep(Duration::from_secs(4));
        Ok(())
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        for it in &mut self.sidecars {
            it.target.stop();
            it.node.kill();
        }
        for (_, it) in &mut self.controls {
            it.kill();
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
