//! One request crashes each target that begins to run it, and comes again at any machine of its
//! caller's service. Its route is split among the services.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use super::{config, split_route};
use crate::{http, mesh, target};

/// How long a crashed target is away.
const BACK_AFTER: Duration = Duration::from_millis(1500);
/// How long after an arrival the request comes again.
const PAUSE: Duration = Duration::from_millis(3300);
/// `terms.bounds.stability` of the site.
const STABILITY_S: f64 = 3.0;
/// The most retries that the rule allows after that.
const MOST: usize = 3;
const SENDS: usize = 24;
/// The machines at which the request comes, which have one service.
const ORIGINS: usize = 3;

struct Targets {
    /// Whether the request crashes them.
    crash: bool,
    /// When the request arrived at a target.
    arrivals: Mutex<Vec<f64>>,
}

impl target::Behaviour for Targets {
    fn run(
        &self,
        target: &Arc<target::Target>,
        request: &http::Message,
        connection: &mut http::Connection,
    ) -> bool {
        let id = request.field("request-id").unwrap_or("").to_string();
        let origin = request.field("caller-service").unwrap_or("-");
        if request.body == b"poison" {
            let now = target.record.now();
            self.arrivals.lock().unwrap().push(now);
            target.record.line(&format!(
                "{} runs {id}: {}, Caller-Service {origin}",
                target.place.machine, request.line
            ));
            if self.crash {
                target.crash(BACK_AFTER);
                return false;
            }
        }
        thread::sleep(Duration::from_millis(20));
        connection.write(&target::success(&id, b"registered")).is_ok()
    }
}

pub fn run(record: &Arc<mesh::Record>, trouble: bool) -> Result<bool, String> {
    let targets = Arc::new(Targets { crash: trouble, arrivals: Mutex::new(Vec::new()) });
    let behaviour: Arc<dyn target::Behaviour> = targets.clone();
    let services = [
        "launchdesk",
        "launchdesk",
        "launchdesk",
        "logbook",
        "logbook",
        "sondelab",
        "sondelab",
        "flightrec",
        "flightrec",
    ];
    let routes = [split_route("r-reg", "/reg/", "unsafe", 1000)];
    let mesh = mesh::Mesh::start(record, &services, &behaviour, &config(1, &routes))?;
    // A harmless request is served at each machine before and after.
    let served = |name: &str| {
        mesh.sidecars.iter().enumerate().all(|(index, it)| {
            let id = format!("{name}{index:04}");
            (0..40).any(|_| {
                let answer = send(it, &id, b"harmless");
                let done = matches!(&answer, Ok(it) if it.status == 200);
                if !done {
                    thread::sleep(Duration::from_millis(250));
                }
                done
            })
        })
    };
    if !served("before") {
        return Err("a harmless request is not served".into());
    }
    let mut refused = 0;
    for number in 0..SENDS {
        let sidecar = &mesh.sidecars[number % ORIGINS];
        let id = format!("beef{number:012x}");
        let before = targets.arrivals.lock().unwrap().len();
        record.line(&format!("requester at {} sends {id}", sidecar.name));
        let answer = send(sidecar, &id, b"poison");
        let text = match &answer {
            Ok(it) => format!("{} {:?}", it.status, it.field("retry-after")),
            Err(err) => format!("no answer: {err}"),
        };
        record.line(&format!("answer to {id}: {text}"));
        let arrived = targets.arrivals.lock().unwrap().len() > before;
        refused += usize::from(!arrived);
        thread::sleep(if arrived { PAUSE } else { Duration::from_millis(500) });
    }
    let arrivals = targets.arrivals.lock().unwrap().clone();
    let after = arrivals
        .get(2)
        .map_or(0, |third| arrivals.iter().filter(|it| **it > third + STABILITY_S).count());
    let ends =
        mesh.sidecars.iter().take(ORIGINS).map(|it| it.name.clone()).collect::<Vec<_>>().join(",");
    record.line(&format!("machines {ends}; {refused} of {SENDS} sends reached no target"));
    let effect = if trouble { "crashes each target" } else { "crashes no target" };
    record.line(&format!(
        "the request {effect}; {} runs, {after} later than stability after the third; at most {MOST} \
         are allowed of one that crashes targets",
        arrivals.len()
    ));
    if !served("after") {
        return Err("a harmless request is not served in the end".into());
    }
    Ok(!trouble || after <= MOST)
}

fn send(sidecar: &mesh::Sidecar, id: &str, body: &[u8]) -> std::io::Result<http::Message> {
    let mut request = format!(
        "POST /reg/2f HTTP/1.1\r\nHost: jepu9.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 1000\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    request.extend_from_slice(body);
    http::exchange(&sidecar.outbound, &request, Duration::from_millis(1200))
}
