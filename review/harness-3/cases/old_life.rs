//! A target starts again under its id and leaves later. A status report of its former incarnation
//! arrives after that.

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
/// How long the crashed target is away.
const AWAY: Duration = Duration::from_millis(500);
/// Times in seconds from the leave: when the report of the former incarnation arrives, and when
/// the target ends.
const ARRIVES_S: f64 = 3.9;
const END_S: f64 = 6.5;

pub fn run(record: &Arc<mesh::Record>, trouble: bool) -> Result<bool, String> {
    let targets = Arc::new(Targets { runs: Mutex::new(Vec::new()) });
    let behaviour: Arc<dyn target::Behaviour> = targets.clone();
    let services = ["launchdesk", "launchdesk", "launchdesk", "logbook", "logbook", "logbook"];
    let routes = [route("r-reg", "/reg/", "unsafe", 1000, "launchdesk")];
    let mesh = mesh::Mesh::start(record, &services, &behaviour, &config(1, &routes))?;
    let requesters = Requesters::start(&mesh, record, 3);
    let target = mesh.sidecars[0].target.clone();
    thread::sleep(Duration::from_secs(2));
    let (former, number) = target.next_report().ok_or("the target has ended")?;
    record.line(&format!(
        "report {number}, ready, of {} born {} is sent and is late",
        former.id, former.born
    ));
    *target.next_id.lock().unwrap() = Some(former.id.clone());
    target.crash(AWAY);
    // It has sent its first report by then, and leaves before the next one is due.
    thread::sleep(AWAY + Duration::from_millis(100));
    target.reports.store(false, Ordering::SeqCst);
    let (life, _) = target.next_report().ok_or("the target has not come back")?;
    record.line(&format!("{} has come back, born {}", life.id, life.born));
    thread::sleep(Duration::from_millis(1300));
    let acknowledged = target.leave();
    let acked_at = record.now();
    record.line(&format!("{} leaves, acknowledged: {acknowledged}", life.id));
    if !acknowledged {
        return Err("the leave is not acknowledged".into());
    }
    wait_until(record, acked_at + ARRIVES_S);
    if trouble {
        let acknowledged = target.deliver(&former, number, "ready");
        record.line(&format!(
            "report {number}, ready, of {} born {} has arrived, acknowledged: {acknowledged}",
            former.id, former.born
        ));
    }
    wait_until(record, acked_at + END_S);
    record.line("the target ends");
    target.crash(Duration::from_secs(600));
    thread::sleep(Duration::from_secs(2));
    let sent = requesters.end();
    let runs = targets.runs.lock().unwrap();
    let broken = count_late(record, &runs, &sent, acked_at, DRAIN_S);
    if !runs.iter().any(|it| it.0 < acked_at) {
        return Err("the target got no requests before".into());
    }
    Ok(broken == 0)
}
