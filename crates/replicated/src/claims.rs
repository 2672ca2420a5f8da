//! Claims of non-idempotent requests. A node claims a request's idempotency key before it sends the
//! request to a backend server, so that a request with the same key runs at most once.

use std::collections;

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use world::requests;

use crate::{clock, toggles};

/// How long a claim is kept after it was granted, in milliseconds.
pub const CLAIM_TTL_MS: u64 = 24 * 3600 * 1_000;
/// How long after the deadline of a claimed request its response can still reach the log, in
/// milliseconds. After that the outcome counts as unknown.
pub const COMPLETION_GRACE_MS: u64 = 5_000;
/// The longest time limit of a claim, in milliseconds: the longest timeout of a route.
pub const MAX_TIME_LIMIT_MS: u64 = 600_000;
/// The largest body that is stored with a response, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// The longest idempotency key and the longest service name, in bytes.
pub const MAX_KEY_BYTES: usize = 256;
/// Maximum number of expired claims that one command removes, so that no command takes long.
const EXPIRY_BATCH: usize = 256;

/// Identifies one attempt of a node to run a request. Drawn at random by the node.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AttemptId(pub u128);

/// The key of a claim.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimName {
    /// The service that the request is for.
    pub service: CompactString,
    /// The idempotency key, chosen by the caller.
    pub key: CompactString,
}

/// The HTTP response to a request, stored so that resends of the request get the same response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredAnswer {
    /// The HTTP status code.
    pub status: u16,
    /// The header fields; empty if there was no room for them.
    pub headers: Vec<(CompactString, Bytes)>,
    /// The body; empty if it was too large or there was no room for it.
    pub body: Bytes,
    /// Whether the body or the header fields were left out.
    pub cut: bool,
}

/// What a node does to a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Action {
    /// Claim the key before the request is sent to a backend server.
    Claim {
        /// The fingerprint of the request. A key must not be reused for another request.
        fingerprint: requests::Fingerprint,
        /// How long from now the node may send the request, in milliseconds. A duration needs no
        /// common clock: the node counts from before it proposes the claim, so its deadline is
        /// never later than the state's.
        limit_ms: u64,
    },
    /// Store the response, since the request ran.
    Complete(StoredAnswer),
    /// Give up the claim, since the request certainly did not run.
    Release,
}

/// A command of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Command {
    /// Advances the clock and removes expired claims.
    Expire {
        /// The leader's wall clock, in milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// Performs a node's action on a claim. It advances the clock too.
    Act {
        /// The leader's wall clock, in milliseconds since the Unix epoch.
        at_ms: u64,
        /// The key of the claim.
        name: ClaimName,
        /// The attempt for which the node acts.
        attempt: AttemptId,
        /// The action.
        action: Action,
    },
}

/// The result of a command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Answer {
    /// The attempt holds the claim and may send the request within the time limit.
    Granted,
    /// Another attempt holds the claim.
    InProgress,
    /// The request ran, with this response.
    Completed(StoredAnswer),
    /// The request may have run, but its response is not known. It is not granted again.
    Unknown,
    /// The idempotency key was used for a different request.
    Mismatch,
    /// The table of claims is full. The request must not run.
    Full,
    /// The key is empty, the key or the service name is too long, or the time limit is too long.
    /// The request must not run.
    Malformed,
    /// The attempt has released its claim, and must not send the request.
    Released,
    /// The response is stored.
    Stored,
    /// The attempt does not hold the claim.
    NotHolder,
    /// The answer to `Expire`: expired claims were removed.
    Expired,
    /// The entry was applied before, and the state did not change.
    AlreadyApplied,
}

/// Bounds of the table of claims. They are part of the replicated state, since all replicas must
/// use the same ones.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Maximum number of claims.
    pub claims: usize,
    /// Maximum total size of the stored responses, in bytes.
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
    /// After this time the outcome of a running request counts as unknown.
    unknown_ms: u64,
    /// When the claim is removed.
    expires_ms: u64,
    state: State,
}

/// The replicated claims of one region.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Claims {
    applied: u64,
    clock: clock::Clock,
    limits: Limits,
    /// Total size of the stored responses.
    bytes: usize,
    claims: collections::BTreeMap<ClaimName, Claim>,
    /// The keys of all claims, ordered by expiry.
    expiry: collections::BTreeSet<(u64, ClaimName)>,
    #[serde(skip)]
    toggles: toggles::Toggles,
}

impl Claims {
    /// Creates an empty table with these bounds.
    pub fn new(limits: Limits) -> Claims {
        Claims { limits, ..Claims::default() }
    }

    /// Sets the feature toggles, for tests.
    pub fn set_toggles(&mut self, toggles: toggles::Toggles) {
        self.toggles = toggles;
    }

    /// Applies the command of the committed entry at `index`. An index that is not above the last
    /// applied one is ignored.
    pub fn apply(&mut self, index: u64, command: &Command) -> Answer {
        if index <= self.applied {
            return Answer::AlreadyApplied;
        }
        self.applied = index;
        let (Command::Expire { at_ms } | Command::Act { at_ms, .. }) = command;
        self.clock.advance(*at_ms);
        self.remove_expired();
        let Command::Act { name, attempt, action, .. } = command else {
            return Answer::Expired;
        };
        // Callers that send an empty key would get each other's stored responses.
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

    /// The index of the last applied entry; 0 before the first.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The number of claims, including expired ones that are not removed yet.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Whether an `Expire` command at `at_ms` would remove a claim.
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
        let Some(existing) = self.claims.get(name) else {
            if self.claims.len() >= self.limits.claims {
                return Answer::Full;
            }
            return self.grant(name, attempt, fingerprint, limit_ms);
        };
        if matches!(existing.state, State::Released) {
            if existing.attempt == attempt {
                return Answer::Released;
            }
            return self.grant(name, attempt, fingerprint, limit_ms);
        }
        if self.toggles.fingerprint_check && existing.fingerprint != Some(fingerprint) {
            return Answer::Mismatch;
        }
        if let State::Completed(answer) = &existing.state {
            return Answer::Completed(answer.clone());
        }
        if existing.unknown_ms < self.clock.now_ms() {
            if self.toggles.unknown_state {
                return Answer::Unknown;
            }
            return self.grant(name, attempt, fingerprint, limit_ms);
        }
        if existing.attempt == attempt { Answer::Granted } else { Answer::InProgress }
    }

    /// Gives the claim to the attempt and starts its deadline.
    fn grant(
        &mut self,
        name: &ClaimName,
        attempt: AttemptId,
        fingerprint: requests::Fingerprint,
        limit_ms: u64,
    ) -> Answer {
        let now = self.clock.now_ms();
        self.insert(
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

    /// Stores the response. The holder may do this even after the outcome became unknown: the
    /// request is not run again, and callers then get the response.
    fn complete(&mut self, name: &ClaimName, attempt: AttemptId, answer: &StoredAnswer) -> Answer {
        let Some(existing) = self.claims.get(name) else { return Answer::NotHolder };
        if self.toggles.attempt_check && existing.attempt != attempt {
            return Answer::NotHolder;
        }
        match existing.state {
            State::Completed(_) => return Answer::Stored,
            State::Released => return Answer::NotHolder,
            State::Running => {}
        }
        let room = self.limits.bytes.saturating_sub(self.bytes);
        let claim =
            Claim { state: State::Completed(truncate_answer(answer, room)), ..existing.clone() };
        self.insert(name, claim);
        Answer::Stored
    }

    fn release(&mut self, name: &ClaimName, attempt: AttemptId) -> Answer {
        let now = self.clock.now_ms();
        let Some(existing) = self.claims.get(name) else {
            return self.release_unclaimed(name, attempt, now);
        };
        if self.toggles.attempt_check && existing.attempt != attempt {
            return Answer::NotHolder;
        }
        match &existing.state {
            State::Completed(answer) => return Answer::Completed(answer.clone()),
            State::Released => return Answer::Released,
            State::Running => {}
        }
        if existing.unknown_ms < now && self.toggles.unknown_state {
            return Answer::Unknown;
        }
        // A released claim is kept until its deadline. Otherwise a delayed duplicate of the `Claim`
        // command would grant the claim to an attempt that has ended.
        let claim = Claim {
            expires_ms: existing.unknown_ms + 1,
            state: State::Released,
            ..existing.clone()
        };
        self.insert(name, claim);
        Answer::Released
    }

    /// Handles a release without a claim. A node that got no answer to its claim releases it, and
    /// the release can overtake the claim, so the attempt is recorded as released in advance.
    fn release_unclaimed(&mut self, name: &ClaimName, attempt: AttemptId, now: u64) -> Answer {
        if self.claims.len() >= self.limits.claims {
            return Answer::Released;
        }
        let until = now.saturating_add(MAX_TIME_LIMIT_MS + COMPLETION_GRACE_MS);
        self.insert(
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

    fn insert(&mut self, name: &ClaimName, claim: Claim) {
        self.remove(name);
        self.bytes += claim.state.size();
        self.expiry.insert((claim.expires_ms, name.clone()));
        self.claims.insert(name.clone(), claim);
    }

    fn remove(&mut self, name: &ClaimName) {
        let Some(old) = self.claims.remove(name) else { return };
        self.bytes -= old.state.size();
        self.expiry.remove(&(old.expires_ms, name.clone()));
    }

    /// Removes up to `EXPIRY_BATCH` expired claims.
    fn remove_expired(&mut self) {
        for _ in 0..EXPIRY_BATCH {
            if !self.has_expired(self.clock.now_ms()) {
                return;
            }
            let Some((_, name)) = self.expiry.pop_first() else { return };
            self.remove(&name);
        }
    }
}

impl State {
    /// Size of the stored response in bytes.
    fn size(&self) -> usize {
        match self {
            State::Completed(answer) => answer.size(),
            State::Released | State::Running => 0,
        }
    }
}

impl StoredAnswer {
    /// Size of the header fields and the body in bytes.
    fn size(&self) -> usize {
        let headers: usize =
            self.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
        headers + self.body.len()
    }
}

/// The part of a response that is stored with `room` bytes left. A body that is too large is left
/// out, and so are the header fields if they alone exceed the room.
fn truncate_answer(answer: &StoredAnswer, room: usize) -> StoredAnswer {
    let mut kept = answer.clone();
    if kept.body.len() > MAX_BODY_BYTES {
        kept.body = Bytes::new();
        kept.cut = true;
    }
    if kept.size() > room {
        kept.body = Bytes::new();
        kept.cut = true;
    }
    if kept.size() > room {
        kept.headers.clear();
    }
    kept
}
