//! Requesters that register launches at all machines, one request after the other.

use std::{
    collections::HashMap,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

use crate::{http, mesh, target};

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Sent {
    pub at: f64,
    /// The status of the answer; none without an answer.
    pub status: Option<u16>,
}

pub struct Requesters {
    stop: Arc<AtomicBool>,
    sent: Arc<Mutex<HashMap<String, Sent>>>,
    tasks: Vec<thread::JoinHandle<()>>,
}

impl Requesters {
    /// Starts `count` requesters at each machine.
    pub fn start(mesh: &mesh::Mesh, record: &Arc<mesh::Record>, count: usize) -> Requesters {
        let stop = Arc::new(AtomicBool::new(false));
        let sent = Arc::new(Mutex::new(HashMap::new()));
        let tasks = (0..mesh.sidecars.len() * count).map(|number| {
            let addr = mesh.sidecars[number % mesh.sidecars.len()].outbound.clone();
            let (record, stop, sent) = (record.clone(), stop.clone(), sent.clone());
            thread::spawn(move || {
                let mut count = 0;
                while !stop.load(Ordering::SeqCst) {
                    count += 1;
                    let id = format!("{number:04x}{count:012x}");
                    let at = record.now();
                    let request = format!(
                        "POST /reg/{id} HTTP/1.1\r\nHost: jepu9.example\r\nRequest-Id: {id}\r\n\
                         Deadline-Ms: 1000\r\nContent-Length: 4\r\n\r\nbody"
                    );
                    sent.lock().unwrap().insert(id.clone(), Sent { at, status: None });
                    let limit = Duration::from_millis(1200);
                    let answer = http::exchange(&addr, request.as_bytes(), limit);
                    let status = answer.ok().map(|it| it.status);
                    sent.lock().unwrap().insert(id, Sent { at, status });
                    thread::sleep(Duration::from_millis(20));
                }
            })
        });
        Requesters { tasks: tasks.collect(), stop, sent }
    }

    /// Ends the requesters and returns what they sent.
    pub fn end(self) -> HashMap<String, Sent> {
        self.stop.store(true, Ordering::SeqCst);
        for it in self.tasks {
            let _ = it.join();
        }
        let sent = self.sent.lock().unwrap();
        sent.clone()
    }
}

/// Targets that run each request for 30 ms. Those of the first machine are recorded.
pub struct Targets {
    pub runs: Mutex<Vec<(f64, String)>>,
}

impl target::Behaviour for Targets {
    fn run(
        &self,
        target: &Arc<target::Target>,
        request: &http::Message,
        connection: &mut http::Connection,
    ) -> bool {
        let id = request.field("request-id").unwrap_or("").to_string();
        if target.place.machine.ends_with("-0") {
            self.runs.lock().unwrap().push((target.record.now(), id.clone()));
        }
        thread::sleep(Duration::from_millis(30));
        connection.write(&target::success(&id, b"registered")).is_ok()
    }
}

/// Records the runs of the first machine's target later than `bound` after the ack of its leave.
/// Returns how many there are.
///
/// All runs there, and all requests with their answers, are written down.
pub fn count_late(
    record: &mesh::Record,
    runs: &[(f64, String)],
    sent: &HashMap<String, Sent>,
    acked_at: f64,
    bound: f64,
) -> usize {
    let mut requests: Vec<_> = sent.iter().collect();
    requests.sort_by(|a, b| a.1.at.total_cmp(&b.1.at));
    for (id, it) in requests {
        let status = it.status.map_or("no answer".into(), |it| it.to_string());
        record.line(&format!("request {id} sent at {:.3}: {status}", it.at));
    }
    for (at, id) in runs {
        record.line(&format!("run of {id} by the target at {at:.3}"));
    }
    let late: Vec<_> = runs.iter().filter(|it| it.0 > acked_at + bound).collect();
    for (at, id) in late.iter().take(10) {
        let Some(it) = sent.get(id) else { continue };
        record.line(&format!(
            "the target ran {id} at {at:.3}, {:.3} s after the ack; sent at {:.3}, answer {:?}",
            at - acked_at,
            it.at,
            it.status
        ));
    }
    let lost = late.iter().filter(|it| sent.get(&it.1).is_some_and(|it| it.status != Some(200)));
    let before = runs.iter().filter(|it| it.0 < acked_at).count();
    record.line(&format!(
        "{before} runs before the ack; {} requests reached the target later than {bound} s after it; \
         {} of these got no success",
        late.len(),
        lost.count()
    ));
    late.len()
}

pub fn wait_until(record: &mesh::Record, at: f64) {
    thread::sleep(Duration::from_secs_f64((at - record.now()).max(0.0)));
}
