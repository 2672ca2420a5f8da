//! The teams of the callers: their keys, which operators replace, and a quota.

use std::{sync, time};

use compact_str::{CompactString, format_compact};
use serde_json::json;

/// The header in which a caller tells the backend server of which team it is.
pub(crate) const CLAIMED: &str = "x-team";
/// The header in which a node tells the backend server of which team the caller is.
pub(crate) const TEAM: &str = "heatherwalk-team";
/// The key of a request that no team has.
pub(crate) const UNKNOWN_KEY: &str = "soak-unknown-key";

/// Requests a second of the limited team, and its burst.
const RATE: f64 = 4.0;
const BURST: f64 = 4.0;
/// The window in which the requests of the limited team are counted.
const WINDOW: time::Duration = time::Duration::from_secs(5);
/// What may run beyond the quota in a window: a share, and a number of requests.
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 20.0;

/// A team of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Team {
    /// Without a limit.
    Steady,
    /// With a quota that its callers exceed.
    Limited,
}

impl Team {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Team::Steady => "steady",
            Team::Limited => "limited",
        }
    }

    pub(crate) fn key(self) -> &'static str {
        match self {
            Team::Steady => "soak-steady-key",
            Team::Limited => "soak-limited-key",
        }
    }
}

/// The key of the team `rotating` after this many changes.
pub(crate) fn rotating_key(number: u64) -> CompactString {
    format_compact!("soak-rotating-key-{number}")
}

/// The patch that replaces the key of the team `rotating`.
pub(crate) fn rotation(number: u64) -> serde_json::Value {
    json!({"rotating": {"keys": [rotating_key(number)]}})
}

/// The teams of the first version.
pub(crate) fn document() -> serde_json::Value {
    let mut teams = rotation(0);
    for team in [Team::Steady, Team::Limited] {
        teams[team.name()] = json!({"keys": [team.key()]});
    }
    teams[Team::Limited.name()]["rate"] = json!(RATE);
    teams[Team::Limited.name()]["burst"] = json!(BURST);
    teams
}

/// When requests of the limited team ran.
#[derive(Default)]
pub(crate) struct Runs(sync::Mutex<Vec<time::Instant>>);

impl Runs {
    pub(crate) fn record(&self) {
        self.lock().push(time::Instant::now());
    }

    /// The most runs in any window, if that is more than the quota allows.
    pub(crate) fn excess(&self) -> Option<CompactString> {
        let mut runs = self.lock().clone();
        runs.sort_unstable();
        let most = (0..runs.len())
            .map(|end| {
                let from = runs.partition_point(|it| runs[end].duration_since(*it) > WINDOW);
                end + 1 - from
            })
            .max()?;
        let limit = (RATE * WINDOW.as_secs_f64() + BURST) * (1.0 + OVERSHOOT) + SLACK;
        #[expect(clippy::cast_precision_loss, reason = "the counts are small")]
        let exceeded = most as f64 > limit;
        exceeded.then(|| {
            format_compact!("{most} requests of the limited team ran in {WINDOW:?}, not {limit}")
        })
    }

    fn lock(&self) -> sync::MutexGuard<'_, Vec<time::Instant>> {
        self.0.lock().expect("no holder panics")
    }
}
