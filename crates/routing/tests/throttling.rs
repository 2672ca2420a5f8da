//! What many nodes send to a service that is full.

use std::{fmt::Write as _, time};

use rand::{Rng as _, SeedableRng as _, rngs};
use routing::{senders, throttle};
use world::time::Time;

const NODES: usize = 70;
/// Requests that the targets of the service admit in each step.
const CAPACITY: u32 = 10;
/// Targets that a request may be sent to.
const SENDS: usize = 3;
const STEP: time::Duration = time::Duration::from_millis(10);
const STEPS_A_SECOND: u64 = 100;

/// Requests without teams and ranks.
const ONE: senders::Sender<'static> = senders::Sender { team: "", rank: 0 };

/// What happened in one second.
#[derive(Clone, Copy, Debug, Default)]
struct Second {
    requests: u32,
    sends: u32,
    admitted: u32,
    held: u32,
}

/// A service and the nodes that send to it.
struct Mesh {
    throttles: Vec<throttle::Throttle>,
    enabled: bool,
    /// Whether a node learns from an answer that the targets have room.
    reports: bool,
    /// Whether half of the capacity of the last step was not used.
    half_free: bool,
    rng: rngs::SmallRng,
    steps: u64,
}

impl Mesh {
    fn new(enabled: bool, reports: bool) -> Mesh {
        let throttles = vec![throttle::Throttle::default(); NODES];
        let rng = rngs::SmallRng::seed_from_u64(5_011);
        Mesh { throttles, enabled, reports, half_free: true, rng, steps: 0 }
    }

    /// Plays a second with `demand` requests in each step. Of the requests that are sent while
    /// there is room, one in ten finds a full target.
    fn play(&mut self, demand: u32) -> Second {
        let mut second = Second::default();
        for _ in 0..STEPS_A_SECOND {
            let now = Time::ZERO + STEP * u32::try_from(self.steps).expect("small");
            self.steps += 1;
            let mut room = CAPACITY;
            for _ in 0..demand {
                second.requests += 1;
                self.send(now, &mut room, &mut second);
            }
            self.half_free = room * 2 >= CAPACITY;
        }
        second
    }

    fn send(&mut self, now: Time, room: &mut u32, second: &mut Second) {
        let throttle = &mut self.throttles[self.rng.random_range(0..NODES)];
        for send in 0..SENDS {
            if self.enabled && !throttle.try_send(now, ONE, send > 0, &mut self.rng) {
                second.held += 1;
                return;
            }
            second.sends += 1;
            let admitted = *room > 0 && self.rng.random_range(0..10) > 0;
            throttle.record(now, ONE, admitted);
            if admitted {
                if self.reports && self.half_free {
                    throttle.clear();
                }
                *room -= 1;
                second.admitted += 1;
                return;
            }
        }
    }
}

/// Guards against a full service whose refusals take the network: each request was sent to three
/// targets. Guards also against requests that are held back though there is room, and for long
/// after the load.
#[test]
fn refusals_take_the_network() {
    let mut out = String::new();
    for enabled in [false, true] {
        let mut mesh = Mesh::new(enabled, false);
        writeln!(out, "throttle {enabled}").expect("text");
        let mut before = 0;
        for demand in [5, 9, 20, 20, 20, 50, 50, 50, 5, 5, 5, 9] {
            let second = mesh.play(demand);
            let settled = std::mem::replace(&mut before, demand) == demand;
            writeln!(out, "  {second:?}").expect("text");
            let useful = (demand * 100).min(CAPACITY * 100);
            if enabled && settled {
                // The stated number of sends, and a tenth for chance.
                assert!(f64::from(second.sends) <= 3.3 * f64::from(useful), "{second:?}");
                assert!(f64::from(second.admitted) >= 0.95 * f64::from(useful), "{second:?}");
            }
        }
    }
    insta::assert_snapshot!(out);
}

/// Guards against a node that never sends again after all of its sends were refused.
#[test]
fn nothing_is_sent_after_refusals() {
    let mut rng = rngs::SmallRng::seed_from_u64(1);
    let mut throttle = throttle::Throttle::default();
    let mut sent = Vec::new();
    for second in 0..4 {
        let mut count = 0;
        for step in 0..50 {
            let now = Time::from_millis(second * 1_000 + step * 20);
            if throttle.try_send(now, ONE, false, &mut rng) {
                count += 1;
                throttle.record(now, ONE, false);
            }
        }
        sent.push(count);
    }
    assert!(sent.iter().all(|&it| it > 0), "{sent:?}");
    let later = Time::from_millis(4_000) + throttle::WINDOW;
    assert!((0..5).all(|_| throttle.try_send(later, ONE, false, &mut rng)), "the window is over");
}

/// Guards against requests that are held back for a second after the load, although the answers
/// show that the targets have room, and against reports that end the throttle during the load.
#[test]
fn requests_are_held_back_after_the_load() {
    let mut out = String::new();
    for reports in [false, true] {
        let mut mesh = Mesh::new(true, reports);
        writeln!(out, "reports {reports}").expect("text");
        for demand in [20, 20, 50, 50, 5, 5, 20, 20] {
            let second = mesh.play(demand);
            writeln!(out, "  {second:?}").expect("text");
            if reports && demand == 5 {
                assert!(second.held * 5 <= second.requests, "{second:?}");
            }
        }
    }
    insta::assert_snapshot!(out);
}

/// Guards against a node that holds back the most urgent requests, or those of a team that sends
/// little, for others that send too much.
#[test]
fn urgent_requests_and_small_teams_are_held_back() {
    // The requests of each sender in each step.
    let senders = [("small", 1, 1), ("large", 1, 9), ("other", 1, 1), ("urgent", 0, 2), ("", 2, 7)];
    let mut out = String::new();
    let mut rng = rngs::SmallRng::seed_from_u64(3);
    for admitted in [5, 3, 1] {
        let mut throttle = throttle::Throttle::default();
        let (mut held, mut sends) = ([0; 5], 0);
        for step in 0..400 {
            let now = Time::from_millis(step * 10);
            let mut room = admitted;
            for (index, &(team, rank, count)) in senders.iter().enumerate() {
                let sender = senders::Sender { team, rank };
                for _ in 0..count {
                    let sent = throttle.try_send(now, sender, false, &mut rng);
                    if sent {
                        throttle.record(now, sender, room > 0);
                        room -= i32::from(room > 0);
                    }
                    // The first second is left for the throttle to settle.
                    held[index] += u32::from(!sent && step >= 100);
                    sends += u32::from(sent && step >= 100);
                }
            }
        }
        let late = Time::from_millis(4_000);
        let new = |_: &i32| {
            let sender = senders::Sender { team: "new", rank: 1 };
            throttle.clone().try_send(late, sender, false, &mut rng)
        };
        let sent = (0..100).filter(new).count();
        let parts: Vec<f32> =
            senders.iter().zip(held).map(|(it, held)| held as f32 / (300 * it.2) as f32).collect();
        writeln!(
            out,
            "room {admitted}: {sends} sends; held {parts:.2?}; of a new team, {sent} of 100 are sent"
        )
        .expect("text");
        let [small, large, other, urgent, last] = parts[..] else { panic!("five senders") };
        assert!(last <= 0.95 && last >= large - 0.05 && large >= small.max(other) - 0.05, "{out}");
        assert!(urgent <= small.min(other) + 0.05, "{out}");
    }
    insta::assert_snapshot!(out);
}

/// Guards against requests of a new team that are held back although nothing was refused: the
/// faded counts of the other teams were below its one request.
#[test]
fn a_new_team_is_held_back_without_refusals() {
    let mut rng = rngs::SmallRng::seed_from_u64(7);
    let mut throttle = throttle::Throttle::default();
    let mut held = 0;
    for step in 0..200 {
        let now = Time::from_millis(5_000 + step * 130);
        let team = format!("team-{step}");
        let sender = senders::Sender { team: &team, rank: 0 };
        if throttle.try_send(now, sender, false, &mut rng) {
            throttle.record(now, sender, true);
        } else {
            held += 1;
        }
    }
    assert_eq!(held, 0);
}
