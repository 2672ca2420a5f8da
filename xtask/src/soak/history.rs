//! When which fault was in force, by which the checks tell what is explained by a fault.

use std::{sync, time};

use super::{host_set, schedule};

/// How long after its end a fault still explains a broken connection: a restarted process does not
/// listen at once, and a relay passes on what it held while it was silent, such as the end of a
/// connection whose process was killed meanwhile.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(500);
/// How long after its end a fault can still explain a failed request: links and leases that broke
/// meanwhile are replaced within this time.
const AFTERMATH: time::Duration = time::Duration::from_secs(5);

/// What a fault can explain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Cause {
    /// A backend server, or its connections to its node, misbehave.
    Backend,
    /// The connections between callers and a node are slow, silent or reset.
    CallerLink,
    /// The process does not run, or does not accept connections yet.
    Down,
    /// A process was killed.
    Kill,
    /// Datagrams between processes are delayed, limited or lost.
    Link,
    /// A process is suspended.
    Pause,
}

/// The time in which a fault was in force.
#[derive(Clone, Copy, Debug)]
struct Window {
    cause: Cause,
    hosts: host_set::HostSet,
    fault: Option<schedule::FaultId>,
    from: time::Instant,
    /// None while it is in force.
    to: Option<time::Instant>,
}

/// A promise that was not kept.
#[derive(Clone, Debug)]
pub(crate) struct Violation {
    pub(crate) at: time::Instant,
    pub(crate) text: String,
}

/// The faults that were in force, and the violations that were seen.
#[derive(Default)]
pub(crate) struct History {
    windows: sync::Mutex<Vec<Window>>,
    violations: sync::Mutex<Vec<Violation>>,
}

impl History {
    /// Records that a fault is in force from now on.
    pub(crate) fn begin(
        &self,
        cause: Cause,
        hosts: host_set::HostSet,
        fault: Option<schedule::FaultId>,
    ) {
        let window = Window { cause, hosts, fault, from: time::Instant::now(), to: None };
        self.lock().push(window);
    }

    /// Records that a fault of the schedule has ended.
    pub(crate) fn end(&self, fault: schedule::FaultId) {
        self.close(|it| it.fault == Some(fault));
    }

    /// Records that a process accepts connections again.
    pub(crate) fn end_down(&self, host: host_set::HostId) {
        self.close(|it| it.cause == Cause::Down && it.hosts.contains(host));
    }

    fn close(&self, matches: impl Fn(&Window) -> bool) {
        let now = time::Instant::now();
        for window in self.lock().iter_mut().filter(|it| matches(it)) {
            window.to.get_or_insert(now);
        }
    }

    /// Whether a fault on one of `hosts` was in force, or what it held was still on its way, between
    /// `from` and now.
    pub(crate) fn was(&self, cause: Cause, hosts: host_set::HostSet, from: time::Instant) -> bool {
        let windows = self.lock();
        let mut of_hosts =
            windows.iter().filter(|it| it.cause == cause && it.hosts.intersects(hosts));
        of_hosts.any(|it| it.to.is_none_or(|to| to + SETTLE_TIME >= from))
    }

    /// Whether a fault on any host was in force, or left its traces, between `from` and now.
    pub(crate) fn was_anywhere(&self, causes: &[Cause], from: time::Instant) -> bool {
        let windows = self.lock();
        let mut of_cause = windows.iter().filter(|it| causes.contains(&it.cause));
        of_cause.any(|it| it.to.is_none_or(|to| to + AFTERMATH >= from))
    }

    /// When the process of `host` was last signalled to end, if it was down after `from`.
    pub(crate) fn down_since(
        &self,
        host: host_set::HostId,
        from: time::Instant,
    ) -> Option<time::Instant> {
        let windows = self.lock();
        let mut of_host =
            windows.iter().filter(|it| it.cause == Cause::Down && it.hosts.contains(host));
        of_host.find(|it| it.to.is_none_or(|to| to + SETTLE_TIME >= from)).map(|it| it.from)
    }

    /// How long, between `from` and now, faults suspended `host` or held its callers' connections.
    /// Times of overlapping faults count twice.
    pub(crate) fn held(&self, host: host_set::HostId, from: time::Instant) -> time::Duration {
        let now = time::Instant::now();
        let holds = |it: &&Window| {
            matches!(it.cause, Cause::Pause | Cause::CallerLink) && it.hosts.contains(host)
        };
        let overlap =
            |it: &Window| it.to.unwrap_or(now).saturating_duration_since(it.from.max(from));
        self.lock().iter().filter(holds).map(overlap).sum()
    }

    /// Records a violation.
    pub(crate) fn violate(&self, text: String) {
        let violation = Violation { at: time::Instant::now(), text };
        self.violations.lock().expect("no holder panics").push(violation);
    }

    /// The violations so far, in the order in which they were seen.
    pub(crate) fn violations(&self) -> Vec<Violation> {
        self.violations.lock().expect("no holder panics").clone()
    }

    fn lock(&self) -> sync::MutexGuard<'_, Vec<Window>> {
        self.windows.lock().expect("no holder panics")
    }
}
