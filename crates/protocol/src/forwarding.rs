//! Requests that one node forwards to the node of a target, and their answers.

use std::time as std_time;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use world::{requests, time};

/// An HTTP header field of a request or an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Field {
    /// The name, in lower case.
    pub name: CompactString,
    /// The value, which may be any bytes.
    pub value: Vec<u8>,
}

/// The head of a forwarded request. [`streams::Open`](crate::streams::Open) says how the body
/// follows.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RequestHead {
    /// The request ID, the same in the logs of all processes.
    pub id: CompactString,
    /// The service that runs the request, according to the sender's version of the configuration.
    pub service: CompactString,
    /// The route that the sender found.
    pub route: CompactString,
    /// The HTTP method.
    pub method: CompactString,
    /// The path and the query.
    pub path: CompactString,
    /// The end-to-end header fields. Hop-by-hop fields are left out.
    pub fields: Vec<Field>,
    /// Whether the request comes from a caller or from a backend server.
    pub class: requests::Class,
    /// On whose behalf the request runs, how urgent it is and until when, by the sender's clock.
    pub context: requests::Context,
    /// When the durations of this head were true, by the sender's clock: `budget.remaining_ms` and
    /// `patience_us` count from here.
    pub sent: time::Time,
    /// The remaining extra sends, call depth and time.
    pub budget: routing::budget::Budget,
    /// Whether the sender can send the request to another target after a refusal.
    pub movable: bool,
    /// The longest wait for a slot, in microseconds, that the sender accepts, since another target
    /// is the better choice beyond it. `None` if there is no other target.
    pub patience_us: Option<u64>,
    /// Whether running the request twice is harmless.
    pub idempotent: bool,
    /// The fingerprint, equal for equal requests.
    pub fingerprint: requests::Fingerprint,
    /// Whether another target has received the request before, so that calls made for it count as
    /// repeats.
    pub repeat: bool,
    /// Whether the request may crash backend servers, since it was in flight during a crash.
    pub suspect: bool,
}

impl RequestHead {
    /// Takes time that has passed since `sent` off the durations of the head.
    pub fn elapse(&mut self, elapsed: std_time::Duration) {
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let millis = u32::try_from(elapsed.as_millis()).unwrap_or(u32::MAX);
        self.budget.remaining_ms = self.budget.remaining_ms.saturating_sub(millis);
        self.patience_us = self.patience_us.map(|it| it.saturating_sub(micros));
    }

    /// Converts the times of a received head to the receiver's clock, on which it is `now`. The
    /// head has `waited` since it was sent.
    pub fn receive(&mut self, now: time::Time, waited: std_time::Duration) {
        self.elapse(waited);
        let sent = now.checked_sub(waited).unwrap_or(now);
        self.context = std::mem::take(&mut self.context).received(self.sent, sent);
    }
}

/// Why a request was not run at a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum NotRun {
    /// The target's host has no backend server, or one of another service.
    Absent,
    /// Long requests hold the slots, and the sender can try another target.
    Blocked,
    /// The backend server is draining.
    Draining,
    /// The request cannot be answered before its deadline.
    Late,
    /// The target's queue or the job queue of its node is full.
    Full,
    /// The request's fingerprint is quarantined, because such requests crash backend servers.
    Quarantined,
    /// The backend server refused the connection.
    Refused,
    /// The backend server received the request and answered that it did not run it, for example
    /// because it sheds load.
    Shed,
    /// The node is stopping.
    Stopping,
    /// The target's node cannot be reached.
    Unreachable,
    /// The wait would be too long for the latency objective, or longer than the sender accepts.
    Busy,
    /// A more urgent request has taken its place in the queue.
    Displaced,
    /// A service that its calls need is full of more urgent work.
    Outranked,
    /// The answer would wait too long for the network link of the target's host.
    LinkFull,
}

impl NotRun {
    /// Whether the request was refused because it would not get a slot in time.
    pub fn is_overload(self) -> bool {
        matches!(
            self,
            NotRun::Blocked
                | NotRun::Busy
                | NotRun::Displaced
                | NotRun::Full
                | NotRun::Late
                | NotRun::LinkFull
        )
    }

    /// Whether the backend server received the request and refused it. For all other reasons it did
    /// not receive it.
    pub fn was_shed(self) -> bool {
        self == NotRun::Shed
    }
}

/// What the target's node reports with an answer: its load and what the request used.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeStatus {
    /// The load of the target.
    pub load: admission::load::LoadReport,
    /// Extra sends of the request's budget that were not used.
    pub attempts: u8,
    /// Time from sending the request to the backend server to the head of its answer, in
    /// microseconds. 0 if there was none.
    pub backend_us: u64,
}

/// The head of an answer. After [`AnswerHead::Answered`] the body follows as bytes.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum AnswerHead {
    /// The backend server answered.
    Answered {
        /// The HTTP status code.
        status: u16,
        /// The end-to-end header fields. Hop-by-hop fields are left out.
        fields: Vec<Field>,
        /// The state of the target's node.
        standing: NodeStatus,
    },
    /// The request was not run, so sending it again is safe.
    NotRun {
        /// Why it was not run.
        reason: NotRun,
        /// The state of the target's node.
        standing: NodeStatus,
    },
    /// The backend server may have run the request, in full or in part.
    Unknown {
        /// What happened, for logs.
        detail: CompactString,
        /// The state of the target's node.
        standing: NodeStatus,
    },
    /// The target admitted the offered request and waits for its body. Another head follows.
    Admitted,
}
