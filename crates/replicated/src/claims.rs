//! Claims of non-idempotent requests: each key is run at most once.

use std::collections;

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use world::requests;

use crate::{clock, mechanisms};

/// How long a claim lives, in milliseconds.
pub const CLAIM_TTL_MS: u64 = 24 * 3600 * 1_000;
/// Time after its deadline in which the answer of a claimed request can still arrive at the log.
pub const COMPLETION_GRACE_MS: u64 = 5_000;
/// The longest time limit of a claim: the longest timeout of a route.
pub const MAX_TIME_LIMIT_MS: u64 = 600_000;
/// The largest body of a stored answer, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// The longest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;
/// Expired claims removed with one command, so that no command takes long.
const MAX_PRUNED: usize = 256;

/// Identifies one node's attempt at a request, chosen at random by the node.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AttemptId(pub u128);

/// What a claim is for.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimName {
    /// The service that runs the request.
    pub service: CompactString,
    /// The caller's idempotency key.
    pub key: CompactString,
}

/// The answer of a request as it is kept for resends.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: Vec<(CompactString, Bytes)>,
    /// The body, empty when it was too large.
    pub body: Bytes,
    /// Whether a part was too large to be kept.
    pub cut: bool,
}

/// What a node asks for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Action {
    /// Claim the name before the work is sent.
    Claim {
        /// Which request it is.
        fingerprint: requests::Fingerprint,
        /// Time from now in which the node may send the work. A duration needs no common clock: the
        /// node counts from before it asked, so its deadline is never later than the state's.
        limit_ms: u64,
    },
    /// Store the answer.
    Complete(StoredAnswer),
    /// The work certainly did not run.
    Release,
}

/// An entry of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Command {
    /// Only moves the time on, which removes expired claims.
    Expire {
        /// The leader's wall clock, in milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// A node's action on a claim.
    Act {
        /// The leader's wall clock, in milliseconds since the Unix epoch.
        at_ms: u64,
        /// The claim.
        name: ClaimName,
        /// The attempt on whose behalf the node acts.
        attempt: AttemptId,
        /// The action.
        action: Action,
    },
}

/// What became of an action.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Answer {
    /// The attempt holds the claim and may send the work within its time limit.
    Granted,
    /// Another attempt holds the claim.
    InProgress,
    /// The request ran; this is its answer.
    Completed(StoredAnswer),
    /// The request may have run, and its answer is not known.
    Unknown,
    /// The key belongs to a different request.
    Mismatch,
    /// The table is full: refused as not run.
    Full,
    /// The key is empty or too long, or the time limit too large: refused as not run.
    Malformed,
    /// The attempt released its claim. It must not run the work.
    Released,
    /// The answer is stored.
    Stored,
    /// The attempt does not hold the claim.
    NotHolder,
    /// The time moved on.
    Expired,
    /// The state already contains the log entry.
    AlreadyApplied,
}

/// Bounds of the table. They are part of the state, since replicas must agree on them.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// The largest number of claims.
    pub claims: usize,
    /// Bytes of all stored answers together.
    pub bytes: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { claims: 1_000_000, bytes: 256 * 1024 * 1024 }
    }
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
enum State {
    Running,
    Completed(StoredAnswer),
    Released,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Claim {
    attempt: AttemptId,
    fingerprint: Option<requests::Fingerprint>,
    /// When the claim becomes unknown.
    unknown_ms: u64,
    expires_ms: u64,
    state: State,
}

/// The replicated claims of one region.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Claims {
    applied: u64,
    clock: clock::Clock,
    limits: Limits,
    bytes: usize,
    claims: collections::BTreeMap<ClaimName, Claim>,
    /// The same claims ordered by expiry.
    expiry: collections::BTreeSet<(u64, ClaimName)>,
    #[serde(skip)]
    mechanisms: mechanisms::Mechanisms,
}

impl Claims {
    /// An empty table with these bounds.
    pub fn new(limits: Limits) -> Claims {
        Claims { limits, ..Claims::default() }
    }

    /// Switches mechanisms, for tests.
    pub fn set_mechanisms(&mut self, mechanisms: mechanisms::Mechanisms) {
        self.mechanisms = mechanisms;
    }

    /// Applies the committed entry at `index`.
    pub fn apply(&mut self, index: u64, command: &Command) -> Answer {
        if index <= self.applied {
            return Answer::AlreadyApplied;
        }
        self.applied = index;
        let (Command::Expire { at_ms } | Command::Act { at_ms, .. }) = command;
        self.clock.advance(*at_ms);
        self.prune();
        let Command::Act { name, attempt, action, .. } = command else {
            return Answer::Expired;
        };
        // Callers that all send an empty key would get each other's stored answers.
        if !(1..=MAX_KEY_BYTES).contains(&name.key.len()) || name.service.len() > MAX_KEY_BYTES {
            return Answer::Malformed;
        }
        if self.claims.get(name).is_some_and(|it| it.expires_ms <= self.clock.now_ms()) {
            self.remove(name);
        }
        match action {
            Action::Claim { fingerprint, limit_ms } => {
                self.claim(name, *attempt, *fingerprint, *limit_ms)
            }
            Action::Complete(answer) => self.complete(name, *attempt, answer),
            Action::Release => self.release(name, *attempt),
        }
    }

    /// The index of the last entry applied.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether there is no claim.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Whether a claim has expired, so that an `Expire` command has work to do at `at_ms`.
    pub fn has_expired(&self, at_ms: u64) -> bool {
        self.expiry.first().is_some_and(|(expires, _)| *expires <= at_ms)
    }

    fn claim(
        &mut self,
        name: &ClaimName,
        attempt: AttemptId,
        fingerprint: requests::Fingerprint,
        limit_ms: u64,
    ) -> Answer {
        if limit_ms > MAX_TIME_LIMIT_MS {
            return Answer::Malformed;
        }
        let Some(held) = self.claims.get(name) else {
            if self.claims.len() >= self.limits.claims {
                return Answer::Full;
            }
            return self.grant(name, attempt, fingerprint, limit_ms);
        };
        if matches!(held.state, State::Released) {
            if held.attempt == attempt {
                return Answer::Released;
            }
            return self.grant(name, attempt, fingerprint, limit_ms);
        }
        if self.mechanisms.fingerprint_check && held.fingerprint != Some(fingerprint) {
            return Answer::Mismatch;
        }
        if let State::Completed(answer) = &held.state {
            return Answer::Completed(answer.clone());
        }
        if held.unknown_ms < self.clock.now_ms() {
            if self.mechanisms.unknown_state {
                return Answer::Unknown;
            }
            return self.grant(name, attempt, fingerprint, limit_ms);
        }
        if held.attempt == attempt { Answer::Granted } else { Answer::InProgress }
    }

    fn grant(
        &mut self,
        name: &ClaimName,
        attempt: AttemptId,
        fingerprint: requests::Fingerprint,
        limit_ms: u64,
    ) -> Answer {
        let now = self.clock.now_ms();
        self.put(
            name,
            Claim {
                attempt,
                fingerprint: Some(fingerprint),
                unknown_ms: now.saturating_add(limit_ms + COMPLETION_GRACE_MS),
                expires_ms: now.saturating_add(CLAIM_TTL_MS),
                state: State::Running,
            },
        );
        Answer::Granted
    }

    /// Stores the answer. The holder may do this after the claim became unknown: the work is not
    /// run again, and callers get the answer in place of an unknown outcome.
    fn complete(&mut self, name: &ClaimName, attempt: AttemptId, answer: &StoredAnswer) -> Answer {
        let Some(held) = self.claims.get(name) else { return Answer::NotHolder };
        if self.mechanisms.attempt_check && held.attempt != attempt {
            return Answer::NotHolder;
        }
        match held.state {
            State::Completed(_) => return Answer::Stored,
            State::Released => return Answer::NotHolder,
            State::Running => {}
        }
        let room = self.limits.bytes.saturating_sub(self.bytes);
        let claim = Claim { state: State::Completed(bounded(answer, room)), ..held.clone() };
        self.put(name, claim);
        Answer::Stored
    }

    fn release(&mut self, name: &ClaimName, attempt: AttemptId) -> Answer {
        let now = self.clock.now_ms();
        let Some(held) = self.claims.get(name) else {
            return self.release_early(name, attempt, now);
        };
        if self.mechanisms.attempt_check && held.attempt != attempt {
            return Answer::NotHolder;
        }
        match &held.state {
            State::Completed(answer) => return Answer::Completed(answer.clone()),
            State::Released => return Answer::Released,
            State::Running => {}
        }
        if held.unknown_ms < now && self.mechanisms.unknown_state {
            return Answer::Unknown;
        }
        // The released claim is kept until its deadline, since a delayed duplicate of the claim
        // would otherwise take the name for an attempt that has ended.
        let claim =
            Claim { expires_ms: held.unknown_ms + 1, state: State::Released, ..held.clone() };
        self.put(name, claim);
        Answer::Released
    }

    /// A node that got no answer to its claim releases it, and the release can overtake the claim.
    fn release_early(&mut self, name: &ClaimName, attempt: AttemptId, now: u64) -> Answer {
        if self.claims.len() >= self.limits.claims {
            return Answer::Released;
        }
        let until = now.saturating_add(MAX_TIME_LIMIT_MS + COMPLETION_GRACE_MS);
        self.put(
            name,
            Claim {
                attempt,
                fingerprint: None,
                unknown_ms: until,
                expires_ms: until,
                state: State::Released,
            },
        );
        Answer::Released
    }

    fn put(&mut self, name: &ClaimName, claim: Claim) {
        self.remove(name);
        self.bytes += claim.state.bytes();
        self.expiry.insert((claim.expires_ms, name.clone()));
        self.claims.insert(name.clone(), claim);
    }

    fn remove(&mut self, name: &ClaimName) {
        let Some(old) = self.claims.remove(name) else { return };
        self.bytes -= old.state.bytes();
        self.expiry.remove(&(old.expires_ms, name.clone()));
    }

    fn prune(&mut self) {
        for _ in 0..MAX_PRUNED {
            if !self.has_expired(self.clock.now_ms()) {
                return;
            }
            let Some((_, name)) = self.expiry.pop_first() else { return };
            self.remove(&name);
        }
    }
}

impl State {
    fn bytes(&self) -> usize {
        match self {
            State::Completed(answer) => answer.bytes(),
            State::Released | State::Running => 0,
        }
    }
}

impl StoredAnswer {
    fn bytes(&self) -> usize {
        let headers: usize =
            self.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
        headers + self.body.len()
    }
}

/// The part of an answer that is kept: a large body is left out, and without room the headers too.
fn bounded(answer: &StoredAnswer, room: usize) -> StoredAnswer {
    let mut kept = answer.clone();
    if kept.body.len() > MAX_BODY_BYTES {
        kept.body = Bytes::new();
        kept.cut = true;
    }
    if kept.bytes() > room {
        kept.body = Bytes::new();
        kept.cut = true;
    }
    if kept.bytes() > room {
        kept.headers.clear();
    }
    kept
}
