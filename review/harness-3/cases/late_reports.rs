//! A target drains. Its status reports arrive seconds late, those from before the drain as well.

use std::{
    sync::{atomic::Ordering, Arc, Mutex},
    thread,
    time::Duration,
};

use super::{
    config,
    requesters::{count_late, wait_until, Requesters, Targets},
    route,
};
use crate::{mesh, target};

/// `terms.bounds.drain` of the site.
const DRAIN_S: f64 = 2.0;
/// When reports are sent and when they arrive, in seconds from the report that the target drains.
/// The target sends one each 1.5 s, and that one as soon as it drains.
const READY: [(f64, f64); 2] = [(-1.6, 5.15), (-0.1, 5.3)];
const DRAINING: [(f64, f64); 4] = [(1.4, 7.4), (2.9, 7.5), (4.4, 7.6), (5.9, 7.7)];
/// When the target ends, in seconds from the report that it drains.
const END_S: f64 = 6.5;

pub fn run(record: &Arc<mesh::Record>, trouble: bool) -> Result<bool, String> {
    let targets = Arc::new(Targets { runs: Mutex::new(Vec::new()) });
    let behaviour: Arc<dyn target::Behaviour> = targets.clone();
    let services = ["launchdesk", "launchdesk", "launchdesk", "logbook", "logbook", "logbook"];
    let routes = [route("r-reg", "/reg/", "unsafe", 1000, "launchdesk")];
    let mesh = mesh::Mesh::start(record, &services, &behaviour, &config(1, &routes))?;
    let requesters = Requesters::start(&mesh, record, 3);
    thread::sleep(Duration::from_secs(2));
    let target = mesh.sidecars[0].target.clone();
    // From here on the reports of this target follow the two tables.
    target.reports.store(false, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(1600));
    let start = record.now() + 2.0;
    let mut late = Vec::new();
    for (at, arrives) in READY {
        wait_until(record, start + at);
        let arrives = if trouble { arrives } else { at };
        late.push(deliver(record, &target, "ready", start, arrives));
    }
    wait_until(record, start);
    let (life, number) = target.next_report().ok_or("the target has ended")?;
    let acknowledged = target.deliver(&life, number, "draining");
    let acked_at = record.now();
    record.line(&format!("report {number}, draining, acknowledged: {acknowledged}"));
    if !acknowledged {
        return Err("the drain is not acknowledged".into());
    }
    for (at, arrives) in DRAINING {
        wait_until(record, start + at);
        let arrives = if trouble { arrives } else { at };
        late.push(deliver(record, &target, "draining", start, arrives));
    }
    wait_until(record, start + END_S);
    let left = target.leave();
    record.line(&format!("the target says that it leaves, acknowledged: {left}; it ends"));
    target.crash(Duration::from_secs(600));
    for it in late {
        let _ = it.join();
    }
    let sent = requesters.end();
    let runs = targets.runs.lock().unwrap();
    let broken = count_late(record, &runs, &sent, acked_at, DRAIN_S);
    if !runs.iter().any(|it| it.0 < acked_at) {
        return Err("the target got no requests before".into());
    }
    Ok(broken == 0)
}

/// Sends a status report now, which arrives at `arrives` seconds from `start`.
fn deliver(
    record: &Arc<mesh::Record>,
    target: &Arc<target::Target>,
    state: &'static str,
    start: f64,
    arrives: f64,
) -> thread::JoinHandle<()> {
    let (record, target) = (record.clone(), target.clone());
    let report = target.next_report();
    thread::spawn(move || {
        let Some((life, number)) = report else { return };
        record.line(&format!("report {number}, {state}, is sent"));
        wait_until(&record, start + arrives);
        let acknowledged = target.deliver(&life, number, state);
        record
            .line(&format!("report {number}, {state}, has arrived, acknowledged: {acknowledged}"));
    })
}
