//! Teams: the groups of callers that share API keys, a priority and a quota.

use std::{collections, fmt};

use compact_str::CompactString;
use serde::{Deserialize, Serialize, de};

use crate::{contracts, document};

/// Largest number of teams in a document.
pub const MAX_TEAMS: usize = 16_384;
/// Largest rate, in requests per second, and largest burst, in requests.
pub const MAX_AMOUNT: f64 = 1e9;

/// Teams by name.
pub type Teams = collections::BTreeMap<CompactString, TeamSpec>;

/// A team, in the form that operators read and patch.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    /// Requests that the team may send at once, on top of its rate. None by default.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub burst: Option<Amount>,
    /// The API keys by which the team's requests are known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub keys: Option<Vec<ApiKey>>,
    /// Values that front ends store with the team. They are kept and not interpreted.
    #[serde(default, skip_serializing_if = "document::Labels::is_empty")]
    pub labels: document::Labels,
    /// Priority of the team's requests, in place of that of their routes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u32>,
    /// Requests per second that the team may send to all nodes together. Without it, or with 0,
    /// there is no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<Amount>,
}

impl TeamSpec {
    /// Returns the quota of the team; `None` without a limit.
    pub fn quota(&self) -> Option<contracts::Quota> {
        let amount = |it: Option<Amount>| it.map_or(0.0, |it| it.0);
        let (rate, burst) = (amount(self.rate), amount(self.burst));
        (rate > 0.0).then_some(contracts::Quota { rate, burst })
    }
}

/// The secret by which callers prove that they belong to a team. Its debug text does not show it.
#[derive(Clone, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ApiKey(CompactString);

impl ApiKey {
    /// Creates a key from its text.
    pub fn new(text: &str) -> ApiKey {
        ApiKey(text.into())
    }

    /// Returns the text of the key. It must not get into logs, metrics or answers to callers.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

/// A number of requests, or of requests per second, which may have a fraction. A whole number is
/// written without one, as operators write it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(transparent)]
pub struct Amount(pub f64);

impl Amount {
    /// Whether the amount is one that a quota can have.
    pub fn is_valid(self) -> bool {
        (0.0..=MAX_AMOUNT).contains(&self.0)
    }
}

/// JSON has no number that differs from itself, so the comparison is an equivalence.
impl Eq for Amount {}

impl Serialize for Amount {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        /// Largest whole number up to which each one has a `f64` of its own.
        const MAX_WHOLE: f64 = 9_007_199_254_740_992.0;
        let whole = self.0.fract() == 0.0 && self.0.abs() <= MAX_WHOLE;
        if whole {
            serializer.serialize_i64(self.0 as i64)
        } else {
            serializer.serialize_f64(self.0)
        }
    }
}

impl fmt::Display for Amount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// What a team that cannot be read should look like.
pub(crate) const EXPECTED: &str =
    "expected an object with keys (a list of texts), priority, rate and burst (numbers)";

/// Reads teams by name, in the form `T` of a front end. The error does not quote the text that does
/// not fit, since it may be a key.
///
/// # Errors
///
/// Returns an error if the value is neither null nor an object of teams.
pub fn deserialize<'de, D, T>(
    deserializer: D,
) -> Result<Option<collections::BTreeMap<CompactString, T>>, D::Error>
where
    D: serde::Deserializer<'de>,
    T: de::DeserializeOwned,
{
    let value = serde_json::Value::deserialize(deserializer)?;
    let teams: Option<collections::BTreeMap<CompactString, serde_json::Value>> =
        Option::deserialize(value).map_err(|_| de::Error::custom("teams must be an object"))?;
    let read = |(name, value)| match parse(value) {
        Some(team) => Ok((name, team)),
        None => Err(de::Error::custom(format_args!("teams.{name}: {EXPECTED}"))),
    };
    teams.map(|it| it.into_iter().map(read).collect()).transpose()
}

/// Reads one team; none if the value is not a team. The reason is not told, since it could quote a
/// key.
pub(crate) fn parse<T: de::DeserializeOwned>(value: serde_json::Value) -> Option<T> {
    // Serde would also accept an array for a struct.
    value.is_object().then(|| T::deserialize(value).ok()).flatten()
}
