//! How long messages have waited, by the clocks of both ends of a link.

use std::{fmt::Write as _, time};

use transport::ages;
use world::time::Time;

const MILLISECOND: time::Duration = time::Duration::from_millis(1);
/// What each message takes that does not wait, in milliseconds.
const LATENCY_MS: u64 = 2;

/// Messages of a link: when each was sent and how long it took, in milliseconds of true time.
type Messages = Vec<(u64, u64)>;

/// The clocks of two processes, as functions of true time in milliseconds.
struct Clocks {
    sender: fn(u64) -> Time,
    receiver: fn(u64) -> Time,
}

const SAME: Clocks = Clocks { sender: Time::from_millis, receiver: Time::from_millis };

/// The waits of the messages, in milliseconds.
fn waits(clocks: &Clocks, messages: &[(u64, u64)]) -> Vec<u128> {
    let mut ages = ages::Ages::default();
    let wait = |&(sent, took): &(u64, u64)| {
        ages.record((clocks.sender)(sent), (clocks.receiver)(sent + took)).as_millis()
    };
    messages.iter().map(wait).collect()
}

/// A message each 100 ms, which takes what `took` says.
fn stream(from_ms: u64, until_ms: u64, took: impl Fn(u64) -> u64) -> Messages {
    (from_ms..until_ms).step_by(100).map(|it| (it, took(it))).collect()
}

/// Guards against a wait on the way that is not seen, or seen where there is none: in a queue,
/// after a pause of either end, and with clocks of any origin.
#[test]
fn waits_on_the_way() {
    let late_origin = Clocks {
        sender: |it| Time::from_millis(it + 86_400_000),
        receiver: |it| Time::from_millis(it + 5),
    };
    let early_origin = Clocks { sender: Time::from_millis, receiver: late_origin.sender };
    let queue = vec![(0, 2), (100, 40), (200, 402), (300, 302), (400, 2), (500, 3)];
    // The receiver stands still from 1,000 to 4,000; its clock counts that time.
    let pause = stream(800, 1_300, |it| if it < 1_000 { 2 } else { 4_000 - it + 2 });
    let after_pause = [pause, vec![(4_100, 2), (4_200, 2)]].concat();
    // The sender stands still from 1,000 to 4,000 and sends nothing.
    let silence = vec![(900, 2), (1_000, 3_002), (4_100, 2), (4_200, 12)];
    let mut out = String::new();
    for (name, clocks, messages) in [
        ("a queue", &SAME, &queue),
        ("a queue, a sender that started a day earlier", &late_origin, &queue),
        ("a queue, a sender that started a day later", &early_origin, &queue),
        ("a pause of the receiver", &late_origin, &after_pause),
        ("a pause of the sender", &early_origin, &silence),
        ("the first message waits", &SAME, &vec![(0, 300), (100, 200), (200, 2), (300, 50)]),
    ] {
        writeln!(out, "{name}: {:?}", waits(clocks, messages)).expect("text");
    }
    insta::assert_snapshot!(out);
}

/// Guards against clocks that drift apart until each message seems to have waited, and against a
/// link that has become longer for good and seems full from then on.
#[test]
fn differences_that_change_for_good() {
    let drifting = Clocks {
        sender: Time::from_millis,
        receiver: |it| Time::from_micros(it * 1_000 + it / 10),
    };
    let drift = waits(&drifting, &stream(0, 3_600_000, |_| LATENCY_MS));
    let most = drift.into_iter().max().expect("messages");
    assert!(most <= 2 * (ages::WINDOW / 10_000).as_millis(), "{most} ms by drift alone");
    let longer = stream(0, 60_000, |it| if it < 20_000 { LATENCY_MS } else { LATENCY_MS + 30 });
    let waits = waits(&SAME, &longer);
    let last = waits.iter().rposition(|&it| it > 0).map(|it| longer[it].0).expect("waits");
    let limit = 20_000 + (2 * ages::WINDOW).as_millis();
    assert!(u128::from(last) <= limit, "a longer link seems full until {last} ms");
}

/// Guards against a queue that is forgotten while it lasts: it is seen in full for a window at
/// least.
#[test]
fn a_lasting_queue_is_forgotten() {
    for start in (10_000..20_000).step_by(700) {
        let queue = stream(0, start + 10_000, |it| LATENCY_MS + if it < start { 0 } else { 400 });
        let waits = waits(&SAME, &queue);
        for (&(sent, _), &wait) in queue.iter().zip(&waits).filter(|it| it.0.0 >= start) {
            let wait = MILLISECOND * u32::try_from(wait).expect("small");
            let seen =
                sent - start + 400 >= ages::WINDOW.as_millis() as u64 || wait == 400 * MILLISECOND;
            assert!(seen, "a queue that began at {start} ms: {wait:?} at {sent} ms");
        }
    }
}

/// Guards against the offset of a process that has ended: each process start makes new links, whose
/// messages are compared among themselves.
#[test]
fn a_new_process_is_compared_with_the_old_one() {
    let before = waits(&SAME, &stream(0, 2_000, |_| LATENCY_MS));
    let restarted = Clocks { sender: |it| Time::from_millis(it - 2_000), ..SAME };
    let after = waits(&restarted, &[(2_000, 2), (2_100, 52), (2_200, 2)]);
    assert!(before.into_iter().all(|it| it == 0));
    assert_eq!(after, [0, 50, 0]);
}
