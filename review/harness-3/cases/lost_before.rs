//! One request crashes each target that begins to run it. The status reports of the targets have been
//! late for some seconds before.

use std::{
    collections::HashMap,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

use super::{config, requesters, route};
use crate::{http, mesh, target};

/// How long a crashed target is away.
const BACK_AFTER: Duration = Duration::from_millis(1500);
/// How long no report of a target arrives, and when those are sent that are late, in seconds from
/// the beginning of that.
const LATE_S: f64 = 5.6;
const SENT_S: [f64; 3] = [1.5, 3.0, 4.5];
/// `terms.bounds.stability` of the site.
const STABILITY_S: f64 = 3.0;
/// The most retries that the rule allows after that.
const MOST: usize = 3;
const ROUNDS: usize = 6;
/// The targets of the service, each on a machine of its own.
const TARGETS: usize = 3;

struct Targets {
    /// When the request arrived at a target.
    arrivals: Mutex<Vec<f64>>,
    /// Other requests that a target had in work as it crashed.
    lost: AtomicUsize,
    working: Mutex<HashMap<String, usize>>,
}

impl target::Behaviour for Targets {
    fn run(
        &self,
        target: &Arc<target::Target>,
        request: &http::Message,
        connection: &mut http::Connection,
    ) -> bool {
        let id = request.field("request-id").unwrap_or("").to_string();
        let machine = &target.place.machine;
        if request.body == b"poison" {
            self.arrivals.lock().unwrap().push(target.record.now());
            let lost = self.working.lock().unwrap().get(machine).copied().unwrap_or(0);
            self.lost.fetch_add(lost, Ordering::SeqCst);
            target.record.line(&format!("{machine} runs {id}, beside {lost} others"));
            target.crash(BACK_AFTER);
            return false;
        }
        *self.working.lock().unwrap().entry(machine.clone()).or_default() += 1;
        thread::sleep(Duration::from_millis(80));
        *self.working.lock().unwrap().entry(machine.clone()).or_default() -= 1;
        connection.write(&target::success(&id, b"registered")).is_ok()
    }
}

pub fn run(record: &Arc<mesh::Record>, trouble: bool) -> Result<bool, String> {
    let targets = Arc::new(Targets {
        arrivals: Mutex::new(Vec::new()),
        lost: AtomicUsize::new(0),
        working: Mutex::new(HashMap::new()),
    });
    let behaviour: Arc<dyn target::Behaviour> = targets.clone();
    let services = ["launchdesk", "launchdesk", "launchdesk"];
    let routes = [route("r-reg", "/reg/", "unsafe", 1000, "launchdesk")];
    let mesh = mesh::Mesh::start(record, &services, &behaviour, &config(1, &routes))?;
    let others = requesters::Requesters::start(&mesh, record, 4);
    thread::sleep(Duration::from_secs(1));
    let mut refused = 0;
    for round in 0..ROUNDS {
        delay_reports(record, &mesh, trouble);
        for place in 0..TARGETS {
            let id = format!("beef{round:06x}{place:06x}");
            let sidecar = &mesh.sidecars[place];
            let before = targets.arrivals.lock().unwrap().len();
            let request = format!(
                "POST /reg/2f HTTP/1.1\r\nHost: jepu9.example\r\nRequest-Id: {id}\r\n\
                 Deadline-Ms: 1000\r\nContent-Length: 6\r\n\r\npoison"
            );
            let limit = Duration::from_millis(1200);
            let answer = http::exchange(&sidecar.outbound, request.as_bytes(), limit);
            let text = match &answer {
                Ok(it) => it.status.to_string(),
                Err(err) => format!("no answer: {err}"),
            };
            record.line(&format!("answer to {id} at {}: {text}", sidecar.name));
            refused += usize::from(targets.arrivals.lock().unwrap().len() == before);
            thread::sleep(Duration::from_millis(700));
        }
        thread::sleep(BACK_AFTER + Duration::from_secs(2));
    }
    let sent = others.end();
    let served = sent.values().filter(|it| it.status == Some(200)).count();
    let arrivals = targets.arrivals.lock().unwrap().clone();
    let after = arrivals
        .get(2)
        .map_or(0, |third| arrivals.iter().filter(|it| **it > third + STABILITY_S).count());
    record.line(&format!(
        "{served} of {} other requests served; {} of them were in work at a target that crashed",
        sent.len(),
        targets.lost.load(Ordering::SeqCst)
    ));
    record.line(&format!(
        "{} runs of the request, {refused} of {} sends reached no target; {after} later than \
         stability after the third, {MOST} allowed",
        arrivals.len(),
        ROUNDS * TARGETS
    ));
    if served == 0 || arrivals.is_empty() {
        return Err("nothing is served".into());
    }
    Ok(after <= MOST)
}

/// Lets the reports of all targets be late for [`LATE_S`], unless there is no trouble.
fn delay_reports(record: &Arc<mesh::Record>, mesh: &mesh::Mesh, trouble: bool) {
    let start = record.now();
    let targets: Vec<_> = mesh.sidecars.iter().map(|it| it.target.clone()).collect();
    let mut held = Vec::new();
    if trouble {
        targets.iter().for_each(|it| it.reports.store(false, Ordering::SeqCst));
        record.line("the reports of the targets are late from now on");
        for at in SENT_S {
            requesters::wait_until(record, start + at);
            for it in &targets {
                held.extend(it.next_report().map(|(life, number)| (it.clone(), life, number)));
            }
        }
    }
    requesters::wait_until(record, start + LATE_S);
    for (target, life, number) in held {
        target.deliver(&life, number, "ready");
    }
    if trouble {
        record.line("the late reports have arrived");
        targets.iter().for_each(|it| it.reports.store(true, Ordering::SeqCst));
    }
    thread::sleep(Duration::from_millis(1600));
}
