//! A stand-in for a target: it announces itself to the node beside it and runs requests.

use std::{
    collections::HashMap,
    net::{Shutdown, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, SystemTime},
};

use crate::{http, mesh::Record};

/// Where a target runs.
#[derive(Clone)]
pub struct Place {
    pub machine: String,
    pub zone: String,
    pub service: String,
    pub app: String,
    pub control: String,
}

/// What the targets of a case do with requests.
pub trait Behaviour: Send + Sync {
    /// Runs a request and answers it on its connection. Returns whether the connection is kept.
    fn run(
        &self,
        target: &Arc<Target>,
        request: &http::Message,
        connection: &mut http::Connection,
    ) -> bool;
}

/// One incarnation of a target's process.
pub struct Life {
    pub id: String,
    pub born: u64,
    /// The open connections, by number.
    open: Mutex<HashMap<u64, TcpStream>>,
    ended: AtomicBool,
    /// Whether the port is closed.
    closed: AtomicBool,
}

pub struct Target {
    pub place: Place,
    pub record: Arc<Record>,
    behaviour: Arc<dyn Behaviour>,
    life: Mutex<Option<Arc<Life>>>,
    announced: AtomicBool,
    stopped: AtomicBool,
    /// The last sequence that was sent.
    sequence: AtomicU64,
    pub draining: AtomicBool,
    /// Whether it sends status reports.
    pub reports: AtomicBool,
    /// The id of the next incarnation; none for a new one.
    pub next_id: Mutex<Option<String>>,
}

const HEARTBEAT: Duration = Duration::from_millis(1500);
pub const SLOTS: u32 = 6;

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_millis() as u64
}

impl Target {
    pub fn start(place: Place, record: Arc<Record>, behaviour: Arc<dyn Behaviour>) -> Arc<Target> {
        let target = Arc::new(Target {
            place,
            record,
            behaviour,
            life: Mutex::new(None),
            announced: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            reports: AtomicBool::new(true),
            next_id: Mutex::new(None),
        });
        target.begin();
        let reporter = target.clone();
        thread::spawn(move || reporter.report_forever());
        target
    }

    pub fn is_announced(&self) -> bool {
        self.announced.load(Ordering::SeqCst)
    }

    pub fn id(&self) -> String {
        self.life.lock().unwrap().as_ref().map_or(String::new(), |it| it.id.clone())
    }

    /// Starts a new incarnation at the target's address.
    pub fn begin(self: &Arc<Target>) {
        static COUNT: AtomicU64 = AtomicU64::new(1);
        let number = COUNT.fetch_add(1, Ordering::SeqCst);
        let life = Arc::new(Life {
            id: self
                .next_id
                .lock()
                .unwrap()
                .take()
                .unwrap_or_else(|| format!("i-{:08x}", 0x7f3a_0000 + number * 7919)),
            born: unix_ms(),
            open: Mutex::new(HashMap::new()),
            ended: AtomicBool::new(false),
            closed: AtomicBool::new(false),
        });
        let listener = loop {
            match TcpListener::bind(&self.place.app) {
                Ok(it) => break it,
                Err(_) => thread::sleep(Duration::from_millis(50)),
            }
        };
        listener.set_nonblocking(true).unwrap();
        self.record.line(&format!("{} starts as {}", self.place.machine, life.id));
        self.sequence.store(0, Ordering::SeqCst);
        *self.life.lock().unwrap() = Some(life.clone());
        let target = self.clone();
        thread::spawn(move || {
            let mut number = 0;
            while !life.ended.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).unwrap();
                        number += 1;
                        if let Ok(copy) = stream.try_clone() {
                            life.open.lock().unwrap().insert(number, copy);
                        }
                        let (target, life) = (target.clone(), life.clone());
                        thread::spawn(move || {
                            target.serve(&life, stream);
                            life.open.lock().unwrap().remove(&number);
                        });
                    }
                    Err(_) => thread::sleep(Duration::from_micros(300)),
                }
            }
            drop(listener);
            life.closed.store(true, Ordering::SeqCst);
        });
    }

    /// Ends the incarnation as a crash does: all its connections end, and it sends nothing more.
    pub fn crash(self: &Arc<Target>, back_after: Duration) {
        let Some(life) = self.life.lock().unwrap().take() else { return };
        life.ended.store(true, Ordering::SeqCst);
        while !life.closed.load(Ordering::SeqCst) {
            thread::yield_now();
        }
        for (_, it) in life.open.lock().unwrap().drain() {
            let _ = it.shutdown(Shutdown::Both);
        }
        self.record.line(&format!("{} crashed as {}", self.place.machine, life.id));
        let target = self.clone();
        thread::spawn(move || {
            thread::sleep(back_after);
            if !target.stopped.load(Ordering::SeqCst) {
                target.begin();
                target.report();
            }
        });
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        if let Some(life) = self.life.lock().unwrap().take() {
            life.ended.store(true, Ordering::SeqCst);
        }
    }

    fn report_forever(self: Arc<Target>) {
        while !self.stopped.load(Ordering::SeqCst) {
            if self.reports.load(Ordering::SeqCst) && self.life.lock().unwrap().is_some() {
                self.report();
            }
            let pause = if self.is_announced() { HEARTBEAT } else { Duration::from_millis(300) };
            thread::sleep(pause);
        }
    }

    /// Sends a status report. Returns whether it was acknowledged.
    pub fn report(&self) -> bool {
        let Some(life) = self.life.lock().unwrap().clone() else { return false };
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if self.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        self.deliver(&life, sequence, state)
    }

    /// Takes the next number for a status report that is delivered later.
    pub fn next_report(&self) -> Option<(Arc<Life>, u64)> {
        let life = self.life.lock().unwrap().clone()?;
        Some((life, self.sequence.fetch_add(1, Ordering::SeqCst) + 1))
    }

    /// Says that the target leaves. Returns whether that was acknowledged.
    pub fn leave(&self) -> bool {
        let control = &self.place.control;
        let request = format!(
            "POST /leave?of={} HTTP/1.1\r\nHost: {control}\r\nContent-Length: 0\r\n\r\n",
            self.id()
        );
        let answer = http::exchange(control, request.as_bytes(), Duration::from_secs(1));
        answer.is_ok_and(|it| (200..300).contains(&it.status))
    }

    /// Delivers a status report to the node. Returns whether it was acknowledged.
    pub fn deliver(&self, life: &Life, sequence: u64, state: &str) -> bool {
        let Place { zone, service, app, control, .. } = &self.place;
        let body = format!(
            "{{\"addr\":\"{app}\",\"service\":\"{service}\",\"version\":\"v1\",\"zone\":\"{zone}\",\
             \"slots\":{SLOTS},\"state\":\"{state}\",\"sequence\":{sequence},\"warm_in\":\"0ms\",\
             \"born\":{}}}",
            life.born
        );
        let request = format!(
            "POST /announce?of={} HTTP/1.1\r\nHost: {control}\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{body}",
            life.id,
            body.len()
        );
        let answer = http::exchange(control, request.as_bytes(), Duration::from_secs(1));
        let acknowledged = answer.is_ok_and(|it| (200..300).contains(&it.status));
        if acknowledged {
            self.announced.store(true, Ordering::SeqCst);
        }
        acknowledged
    }

    fn serve(self: &Arc<Target>, life: &Arc<Life>, stream: TcpStream) {
        let mut connection = http::Connection::new(stream);
        let _ = connection.stream.set_read_timeout(Some(Duration::from_secs(10)));
        while !life.ended.load(Ordering::SeqCst) {
            let Ok(request) = connection.message() else { return };
            if !self.handle(life, &request, &mut connection) {
                return;
            }
        }
    }

    fn handle(
        self: &Arc<Target>,
        life: &Arc<Life>,
        request: &http::Message,
        connection: &mut http::Connection,
    ) -> bool {
        let id = request.field("request-id").unwrap_or("").to_string();
        if request.target().1 == "/healthz" {
            let text =
                format!("HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n", life.id);
            return connection.write(text.as_bytes()).is_ok();
        }
        if request.field("expect-instance").is_some_and(|it| it != life.id) {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {}\r\nNot-Executed: 1\r\n\
                 Request-Id: {id}\r\nContent-Length: 0\r\n\r\n",
                life.id
            );
            return connection.write(text.as_bytes()).is_ok();
        }
        self.behaviour.run(self, request, connection)
    }
}

/// A success of a target with its seal.
pub fn success(id: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: {}\r\nContent-Length: {}\r\n\r\n",
        seal(id, body),
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// The seal over an answer's request and body (FNV-1a), which the requesters check.
pub fn seal(id: &str, body: &[u8]) -> String {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in id.as_bytes().iter().chain(body) {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    format!("{hash:016x}")
}
