//! The clock of a process.

use std::{fs, thread, time};

use tables::clock;
use world::time::Time;

/// The resolution of `/proc/uptime`.
const RESOLUTION: time::Duration = time::Duration::from_millis(10);

/// The time since the machine was started, with the time for which it was suspended.
fn uptime() -> time::Duration {
    let text = fs::read_to_string("/proc/uptime").expect("a Linux machine");
    let seconds = text.split(' ').next().and_then(|it| it.parse().ok());
    time::Duration::from_secs_f64(seconds.expect("seconds"))
}

/// Guards against a clock that counts something else than the system does for the machine, which is
/// the time with its suspensions.
#[test]
fn counts_the_time_since_the_machine_started() {
    let clock = clock::Clock::start();
    let (before, start, after) = (uptime(), clock.now(), uptime());
    thread::sleep(time::Duration::from_millis(200));
    let (least, end, most) = (uptime(), clock.now(), uptime());
    let elapsed = end.since(start);
    assert!(elapsed + RESOLUTION >= least - after, "{elapsed:?}");
    assert!(elapsed <= most - before + RESOLUTION, "{elapsed:?}");
}

/// Guards against a date of another process's knowledge that falls before the origin of the clock:
/// it would be taken for the time of the start.
#[test]
fn has_times_before_its_start() {
    let start = clock::Clock::start().now();
    assert!(start.since(Time::ZERO) >= time::Duration::from_secs(60), "{start}");
}

/// Guards against timers that end before or long after the time that they stand for, and against
/// one for a time that has passed.
#[test]
fn converts_times_to_instants() {
    let clock = clock::Clock::start();
    let wait = time::Duration::from_millis(500);
    let before = time::Instant::now();
    let instant = clock.instant(clock.now() + wait);
    let after = time::Instant::now();
    // The clock is read before the conversion, so the wait that is left can only be shorter.
    assert!(instant <= after + wait, "{:?}", instant - after);
    assert!(instant + (after - before) >= before + wait, "{:?}", instant - before);
    assert!(clock.instant(Time::ZERO) <= time::Instant::now());
}

/// Guards against a report of a suspension on a machine that was only busy.
#[test]
fn reports_no_suspension_of_a_busy_machine() {
    let clock = clock::Clock::start();
    for _ in 0..1_000 {
        assert_eq!(clock.take_suspension(), None);
    }
}
