//! Targets of one service break off some of their large answers. Requests of another service, whose
//! targets are sound, wait behind them on kept connections.

use std::{
    collections::HashSet,
    io::ErrorKind,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

use super::{config, route};
use crate::{http, mesh, target};

/// Bytes of an answer of the first service, and of its part when it is broken off.
const LARGE: usize = 90_000;
const PART: usize = 70_000;
/// One answer in this many is broken off, at one of the three targets.
const BROKEN: usize = 34;
/// Requests that are sent behind a large one.
const BEHIND: usize = 3;
const CONNECTIONS: usize = 1;
const LENGTH: Duration = Duration::from_secs(45);
/// The most requests that the rule lets a machine leave without an answer.
const MOST: usize = 3;

struct Targets {
    garble: bool,
    answers: AtomicUsize,
    /// The requests that a sound target has begun to run.
    begun: Mutex<HashSet<String>>,
}

impl target::Behaviour for Targets {
    fn run(
        &self,
        target: &Arc<target::Target>,
        request: &http::Message,
        connection: &mut http::Connection,
    ) -> bool {
        let id = request.field("request-id").unwrap_or("").to_string();
        if target.place.service != "logbook" {
            self.begun.lock().unwrap().insert(id.clone());
            thread::sleep(Duration::from_millis(100));
            return connection.write(&target::success(&id, b"status")).is_ok();
        }
        thread::sleep(Duration::from_millis(20));
        let answer = target::success(&id, &vec![b'x'; LARGE]);
        let number = self.answers.fetch_add(1, Ordering::SeqCst);
        let faulty = target.place.machine.ends_with("-1");
        if self.garble && faulty && number % BROKEN == 0 {
            target.record.line(&format!("{} breaks off {id}", target.place.machine));
            let _ = connection.write(&answer[..PART]);
            thread::sleep(Duration::from_millis(10));
            let _ = connection.stream.shutdown(std::net::Shutdown::Both);
            return false;
        }
        connection.write(&answer).is_ok()
    }
}

pub fn run(record: &Arc<mesh::Record>, trouble: bool) -> Result<bool, String> {
    let targets = Arc::new(Targets {
        garble: trouble,
        answers: AtomicUsize::new(0),
        begun: Mutex::new(HashSet::new()),
    });
    let behaviour: Arc<dyn target::Behaviour> = targets.clone();
    let services = ["logbook", "logbook", "logbook", "launchdesk", "launchdesk", "launchdesk"];
    let routes = [
        route("r-export", "/export/", "download", 1000, "logbook"),
        route("r-status", "/status/", "safe", 1000, "launchdesk"),
    ];
    let mesh = mesh::Mesh::start(record, &services, &behaviour, &config(1, &routes))?;
    let stop = Arc::new(AtomicBool::new(false));
    let tasks: Vec<_> = (0..mesh.sidecars.len() * CONNECTIONS)
        .map(|number| {
            let addr = mesh.sidecars[number % mesh.sidecars.len()].outbound.clone();
            let (record, targets, stop) = (record.clone(), targets.clone(), stop.clone());
            thread::spawn(move || send_batches(&record, &addr, number, &targets, &stop))
        })
        .collect();
    thread::sleep(LENGTH);
    stop.store(true, Ordering::SeqCst);
    let mut sum = [0; 4];
    let mut by_machine = vec![0; mesh.sidecars.len()];
    for (number, it) in tasks.into_iter().enumerate() {
        let counts = it.join().map_err(|_| "a requester failed")?;
        (0..4).for_each(|index| sum[index] += counts[index]);
        by_machine[number % mesh.sidecars.len()] += counts[3];
    }
    let [batches, answered, closed, lost] = sum;
    let most = by_machine.iter().copied().max().unwrap_or(0);
    record.line(&format!(
        "{batches} batches, {answered} requests answered, {closed} connections closed early; {lost} \
         requests were passed on to a sound target and their kept connection was closed without an \
         answer, {by_machine:?} by machine, {MOST} allowed"
    ));
    if answered == 0 {
        return Err("nothing is served".into());
    }
    // The rule is read as a limit of each machine.
    Ok(most <= MOST)
}

/// Sends batches on kept connections: a large answer is asked for first, and smaller ones behind it.
/// Returns the numbers of batches, of answers, of connections that were closed early, and of
/// requests without an answer that a sound target had begun.
fn send_batches(
    record: &mesh::Record,
    addr: &str,
    name: usize,
    targets: &Targets,
    stop: &AtomicBool,
) -> [usize; 4] {
    let mut counts = [0; 4];
    let mut kept = None;
    while !stop.load(Ordering::SeqCst) {
        counts[0] += 1;
        let batch = counts[0];
        let ids: Vec<String> =
            (0..=BEHIND).map(|it| format!("{name:04x}{batch:08x}{it:04x}")).collect();
        let connection = match kept.take() {
            Some(it) => Ok(it),
            None => http::Connection::open(addr, Duration::from_millis(1500)),
        };
        let Ok(mut connection) = connection else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let mut text = String::new();
        for (index, id) in ids.iter().enumerate() {
            let place = if index == 0 { "export" } else { "status" };
            text.push_str(&format!(
                "GET /{place}/{id} HTTP/1.1\r\nHost: jepu9.example\r\nRequest-Id: {id}\r\n\
                 Deadline-Ms: 1000\r\n\r\n"
            ));
        }
        if connection.write(text.as_bytes()).is_err() {
            continue;
        }
        let mut unanswered = 0;
        let mut failure = None;
        for (index, id) in ids.iter().enumerate() {
            match connection.message() {
                Ok(_) => counts[1] += 1,
                Err(err) => {
                    let begun = targets.begun.lock().unwrap();
                    unanswered =
                        ids[index.max(1)..].iter().filter(|it| begun.contains(*it)).count();
                    failure = Some(format!("{id}: {err}"));
                    // A time-out would be no close by the node.
                    if matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) {
                        unanswered = 0;
                    }
                    break;
                }
            }
        }
        match failure {
            None => kept = Some(connection),
            Some(text) => {
                counts[2] += 1;
                counts[3] += unanswered;
                record.line(&format!(
                    "{addr} closed a kept connection at {text}; {unanswered} behind it had been \
                     begun by a sound target"
                ));
            }
        }
    }
    counts
}
