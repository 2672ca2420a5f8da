//! Requests that one node passes to another.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use world::requests;

/// A header field of a request or an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Field {
    /// The name, in lower case.
    pub name: CompactString,
    /// The value, which need not be text.
    pub value: Vec<u8>,
}

/// The head of a forwarded request, which the same message carries together with the body.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RequestHead {
    /// Names the request in the logs of all processes.
    pub id: CompactString,
    /// The service that the sender's configuration names for the request.
    pub service: CompactString,
    /// The route that the sender chose.
    pub route: CompactString,
    /// The HTTP method.
    pub method: CompactString,
    /// Path and query.
    pub path: CompactString,
    /// Header fields, end to end only.
    pub fields: Vec<Field>,
    /// Who asked.
    pub class: requests::Class,
    /// Share of a crowded target, against other routes.
    pub weight: u32,
    /// Extra sends, depth and time that are left.
    pub budget: routing::budget::Budget,
    /// Time from now within which an answer has its full worth, in microseconds.
    pub objective_us: u64,
    /// Whether the sender can try another target after a refusal.
    pub movable: bool,
    /// The wait, in microseconds, from which on the sender's next target is better; none when it
    /// has no other.
    pub patience_us: Option<u64>,
    /// Whether running the request twice is harmless.
    pub idempotent: bool,
    /// Identifies requests that do the same.
    pub fingerprint: requests::Fingerprint,
    /// Whether another target has had it before, so that its calls count as repeats.
    pub repeat: bool,
    /// Whether earlier evidence says that this request may crash a backend server.
    pub suspect: bool,
}

/// Why a target's node did not run a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum NotRun {
    /// The backend server is gone or runs another service.
    Absent,
    /// Long work holds the slots, and another target may be free.
    Blocked,
    /// The backend server is draining.
    Draining,
    /// The wait would have taken longer than the time that is left.
    Late,
    /// The queue is full.
    Full,
    /// A request of this fingerprint crashes backend servers.
    Quarantined,
    /// The backend server refused the connection.
    Refused,
    /// The backend server marked its answer as not run, as it does when it sheds load.
    Shed,
    /// The node is stopping.
    Stopping,
    /// The target's node cannot be reached.
    Unreachable,
    /// The wait would have been longer than its objective or the sender's patience.
    Busy,
}

impl NotRun {
    /// Whether the target's node found no slot for the request in time.
    pub fn is_overload(self) -> bool {
        matches!(self, NotRun::Blocked | NotRun::Busy | NotRun::Full | NotRun::Late)
    }

    /// Whether the backend server has seen the request, and refused it.
    pub fn was_shed(self) -> bool {
        self == NotRun::Shed
    }
}

/// How things stand at the target's node when an answer leaves it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeStatus {
    /// The target's load.
    pub load: admission::load::LoadReport,
    /// Extra sends that were passed on and not used.
    pub attempts: u8,
    /// Time from the send to the backend server to the head of its answer, in microseconds.
    pub backend_us: u64,
}

/// The head of an answer; for [`AnswerHead::Answered`] the body follows as byte frames.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum AnswerHead {
    /// The backend server answered.
    Answered {
        /// The HTTP status.
        status: u16,
        /// Header fields, end to end only.
        fields: Vec<Field>,
        /// How things stand there.
        standing: NodeStatus,
    },
    /// The request was certainly not run.
    NotRun {
        /// Why.
        reason: NotRun,
        /// How things stand there.
        standing: NodeStatus,
    },
    /// The backend server may have run the request, in full or in part.
    Unknown {
        /// What was seen.
        detail: CompactString,
        /// How things stand there.
        standing: NodeStatus,
    },
    /// The offered request was admitted; its body is awaited, and another head follows.
    Admitted,
}
