//! Two targets of a service crash at the same moment while requesters read one path. The path has
//! nothing to do with the crashes, and the targets come back.

use std::{
    collections::BTreeMap,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use super::{config, route};
use crate::{http, mesh, target};

/// The targets of the service, each on a machine of its own, and how many of them crash.
const TARGETS: usize = 15;
const CRASHES: usize = 2;
/// How long the crashed targets are away.
const AWAY: Duration = Duration::from_millis(4500);
/// How long requests are sent before the crash, and after it.
const BEFORE: Duration = Duration::from_secs(5);
const AFTER: Duration = Duration::from_secs(60);
/// Requesters of each kind at each machine, and how often each of them sends.
const REQUESTERS: usize = 3;
const INTERVAL: Duration = Duration::from_millis(110);

/// Targets that answer after 76 ms.
struct Targets;

impl target::Behaviour for Targets {
    fn run(
        &self,
        _: &Arc<target::Target>,
        request: &http::Message,
        connection: &mut http::Connection,
    ) -> bool {
        let id = request.field("request-id").unwrap_or("").to_string();
        thread::sleep(Duration::from_millis(76));
        connection.write(&target::success(&id, b"record")).is_ok()
    }
}

/// What became of the requests of one kind.
#[derive(Default)]
struct Counts {
    /// The requests of each second, by the status of the answer; 0 stands for no answer.
    by_second: Mutex<BTreeMap<(u64, u16), usize>>,
    sent: AtomicUsize,
    served: AtomicUsize,
    sent_after: AtomicUsize,
    served_after: AtomicUsize,
    refused_after: AtomicUsize,
}

pub fn run(record: &Arc<mesh::Record>, trouble: bool) -> Result<bool, String> {
    let behaviour: Arc<dyn target::Behaviour> = Arc::new(Targets);
    let services = [super::SERVICES[0]; TARGETS];
    // The kinds differ in this only: one is read at one path, the other at many.
    let routes = [
        route("r-board", "/board/", "safe", 800, services[0]),
        route("r-entry", "/entry/", "safe", 800, services[0]),
    ];
    let mesh = mesh::Mesh::start(record, &services, &behaviour, &config(1, &routes))?;
    let counts = Arc::new([Counts::default(), Counts::default()]);
    let (stop, after) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let mut tasks = Vec::new();
    for (place, sidecar) in mesh.sidecars.iter().enumerate() {
        for number in 0..REQUESTERS * 2 {
            let (counts, stop, after) = (counts.clone(), stop.clone(), after.clone());
            let (addr, record) = (sidecar.outbound.clone(), record.clone());
            let kind = number % 2;
            tasks.push(thread::spawn(move || {
                read(&record, &addr, kind, place * 100 + number, &counts[kind], &stop, &after);
            }));
        }
    }
    thread::sleep(BEFORE);
    if trouble {
        thread::scope(|scope| {
            for it in mesh.sidecars.iter().take(CRASHES) {
                scope.spawn(|| it.target.crash(AWAY));
            }
        });
    }
    // The targets come back, and the rules with a bound hold `stability` later.
    thread::sleep(AWAY + Duration::from_secs(3));
    after.store(true, Ordering::SeqCst);
    thread::sleep(AFTER);
    stop.store(true, Ordering::SeqCst);
    for it in tasks {
        let _ = it.join();
    }
    for (it, name) in counts.iter().zip(["one path", "many paths"]) {
        for ((second, status), count) in it.by_second.lock().unwrap().iter() {
            record.line(&format!("second {second}, {name}: {count} answers with {status}"));
        }
    }
    let mut shares = Vec::new();
    for (it, name) in counts.iter().zip(["one path", "many paths"]) {
        let number = |it: &AtomicUsize| it.load(Ordering::SeqCst);
        record.line(&format!(
            "{name}: {} of {} served; of those sent later than 3 s after the targets were back {} \
             of {}, {} got 503",
            number(&it.served),
            number(&it.sent),
            number(&it.served_after),
            number(&it.sent_after),
            number(&it.refused_after),
        ));
        shares.push((number(&it.served), number(&it.sent)));
    }
    let share = |(served, sent): (usize, usize)| served as f64 / sent.max(1) as f64;
    let all = share((shares[0].0 + shares[1].0, shares[0].1 + shares[1].1));
    let (one, many) = (share(shares[0]), share(shares[1]));
    record.line(&format!("served: one path {one:.3}, many paths {many:.3}, all {all:.3}"));
    if many < 0.5 {
        return Err("the other kind is not served either".into());
    }
    Ok(one >= all / 4.0 && many >= all / 4.0)
}

/// Sends requests of one kind, one after the other, until `stop`.
fn read(
    record: &mesh::Record,
    addr: &str,
    kind: usize,
    name: usize,
    counts: &Counts,
    stop: &AtomicBool,
    after: &AtomicBool,
) {
    let mut number = 0;
    let mut shown = 0;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("{name:04x}{number:012x}");
        let path = if kind == 0 { "/board/2f".into() } else { format!("/entry/{id}") };
        let request = format!(
            "GET {path} HTTP/1.1\r\nHost: jepu9.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: 800\r\n\r\n"
        );
        let late = after.load(Ordering::SeqCst);
        let sent = Instant::now();
        let answer = http::exchange(addr, request.as_bytes(), Duration::from_millis(800));
        let status = answer.as_ref().map_or(0, |it| it.status);
        let second = record.now() as u64;
        *counts.by_second.lock().unwrap().entry((second, status)).or_default() += 1;
        let served = answer.as_ref().is_ok_and(|it| it.status == 200);
        counts.sent.fetch_add(1, Ordering::SeqCst);
        counts.served.fetch_add(usize::from(served), Ordering::SeqCst);
        if late {
            counts.sent_after.fetch_add(1, Ordering::SeqCst);
            counts.served_after.fetch_add(usize::from(served), Ordering::SeqCst);
            let refused = answer.as_ref().is_ok_and(|it| it.status == 503);
            counts.refused_after.fetch_add(usize::from(refused), Ordering::SeqCst);
        }
        if !served && shown < 2 {
            shown += 1;
            let text = match &answer {
                Ok(it) => format!("{} {}", it.status, String::from_utf8_lossy(&it.body).trim()),
                Err(err) => format!("no answer: {err}"),
            };
            record.line(&format!("GET {path} {id} at {addr}: {text}"));
        }
        thread::sleep(INTERVAL.saturating_sub(sent.elapsed()));
    }
}
