//! Callers: each uses its connection until the connection ends, and checks each answer.

use std::{sync, sync::atomic, time};

use rand::{Rng as _, SeedableRng as _, rngs};

use super::{
    backends, connection, history, history::Cause, host_set, hosts, ledger, settings, tcp_relay,
    teams,
};

/// How much later than its deadline an answer may come, on a machine that is busy with other work.
/// Times in which a fault held the node or its callers' connections are added.
const SLACK: time::Duration = time::Duration::from_millis(1_500);
/// Answers larger than this, in bytes, are begun before they are complete.
const LARGE_ANSWER: usize = 64 * 1_024;
/// How much later than its deadline an answer that was begun may end while it makes progress.
const MAX_LATE: time::Duration = time::Duration::from_secs(5);
/// How long before its process was signalled to end a request must have been sent, so that the node
/// has certainly read it.
const READ_TIME: time::Duration = time::Duration::from_millis(500);
/// The pause before a new connection.
const RECONNECT_PAUSE: time::Duration = time::Duration::from_millis(100);
/// The most sends of one non-idempotent request.
const MAX_SENDS: u32 = 3;
/// The deadlines of requests, in milliseconds.
const DEADLINES: [u64; 3] = [600, 1_500, 4_000];
/// Reasons for which no request of these callers may be refused.
const IMPOSSIBLE_REASONS: [&str; 12] = [
    "bad-api-key",
    "bad-body",
    "bad-deadline",
    "bad-first-sent",
    "bad-key",
    "bad-parent",
    "key-mismatch",
    "key-required",
    "no-home",
    "no-route",
    "no-team",
    "too-old",
];

/// What all callers share.
#[derive(Clone)]
pub(crate) struct Context {
    /// The relays in front of the nodes' ports for callers.
    pub(crate) relays: sync::Arc<Vec<sync::Arc<tcp_relay::Relay>>>,
    pub(crate) nodes: Vec<sync::Arc<hosts::Host>>,
    pub(crate) history: sync::Arc<history::History>,
    pub(crate) ledger: sync::Arc<ledger::Ledger>,
    pub(crate) stopping: sync::Arc<atomic::AtomicBool>,
    /// The longest time by which the soak itself was late, in microseconds.
    pub(crate) lag_us: sync::Arc<atomic::AtomicU64>,
}

/// A caller.
pub(crate) struct Caller {
    context: Context,
    rng: rngs::StdRng,
    /// The node that it uses.
    home: usize,
    /// The node of its connection: another one than `home` for some resends.
    node: usize,
    /// The first half of its requests' IDs.
    prefix: u64,
    requests: u64,
}

/// A request as its caller knows it.
#[derive(Clone, Debug)]
struct Request {
    service: settings::Service,
    work: backends::Work,
    send: ledger::SendId,
    idempotent: bool,
    deadline: time::Duration,
    /// The size of the request's body in bytes.
    size: usize,
    /// Its team; none for a request with a key that no team has.
    team: Option<teams::Team>,
}

/// A connection that is not used any longer: it broke, no answer came, or the last answer said so.
struct Ended;

impl Request {
    /// How much later than its deadline the answer may come on a slow link.
    fn lateness(&self) -> time::Duration {
        if self.work.size > LARGE_ANSWER { MAX_LATE } else { time::Duration::ZERO }
    }

    fn encode(&self) -> Vec<u8> {
        let Request { service, work, send, idempotent, deadline, size, team } = self;
        let path = work.path(*service);
        let (method, key) = match idempotent {
            true => ("GET", String::new()),
            false => ("POST", format!("idempotency-key: {}\r\n", work.id.0)),
        };
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: soak\r\nheatherwalk-deadline-ms: {}\r\n\
             {}: {}\r\nauthorization: Bearer {}\r\n{}: {}\r\n{}: forged\r\n\
             content-length: {size}\r\n{key}\r\n",
            deadline.as_millis(),
            backends::RESEND,
            send.resend,
            team.map_or(teams::UNKNOWN_KEY, teams::Team::key),
            teams::CLAIMED,
            team.map_or("", teams::Team::name),
            teams::TEAM,
        );
        let mut bytes = head.into_bytes();
        bytes.resize(bytes.len() + size, b'+');
        bytes
    }
}

impl Caller {
    /// A caller of `node`, the `index`-th of all.
    pub(crate) fn new(context: Context, seed: u64, index: u64, node: usize) -> Caller {
        let rng = rngs::StdRng::seed_from_u64(seed.wrapping_add(index << 32));
        Caller { context, rng, home: node, node, prefix: (index + 1) * 1_000_000, requests: 0 }
    }

    /// Sends requests until the callers are told to stop.
    pub(crate) async fn run(mut self) {
        while !self.is_stopping() {
            self.node = self.home;
            let addr = self.context.relays[self.node].addr();
            if let Ok(connection) = connection::Connection::open(addr).await {
                let _ = self.use_connection(connection).await;
            }
            tokio::time::sleep(RECONNECT_PAUSE).await;
        }
    }

    fn is_stopping(&self) -> bool {
        self.context.stopping.load(atomic::Ordering::Relaxed)
    }

    fn host(&self) -> host_set::HostId {
        host_set::HostId(host_set::CONTROLS + self.node)
    }

    async fn use_connection(
        &mut self,
        mut connection: connection::Connection,
    ) -> Result<(), Ended> {
        while !self.is_stopping() {
            if self.rng.random_ratio(1, 4) {
                connection = self.send_once(connection).await?;
            } else {
                let count = if self.rng.random_ratio(1, 3) { 4 } else { 1 };
                let requests: Vec<_> = (0..count).map(|_| self.next_request(true)).collect();
                self.exchange(&mut connection, &requests).await?;
            }
            let pause = self.rng.random_range(10..120);
            tokio::time::sleep(time::Duration::from_millis(pause)).await;
        }
        Ok(())
    }

    /// Sends a non-idempotent request, and sends it again on a new connection, perhaps to another
    /// node, as long as it is not answered by a backend server. Returns the connection to go on
    /// with.
    async fn send_once(
        &mut self,
        mut connection: connection::Connection,
    ) -> Result<connection::Connection, Ended> {
        let mut request = self.next_request(false);
        self.context.ledger.record_once(request.work.id);
        loop {
            let result = self.exchange(&mut connection, std::slice::from_ref(&request)).await;
            let served = matches!(result, Ok(true));
            if served || request.send.resend + 1 >= MAX_SENDS || self.is_stopping() {
                let at_home = self.node == self.home;
                return result.and(if at_home { Ok(connection) } else { Err(Ended) });
            }
            if self.rng.random_ratio(1, 2) {
                self.node = self.rng.random_range(0..self.context.relays.len());
            }
            tokio::time::sleep(RECONNECT_PAUSE).await;
            let addr = self.context.relays[self.node].addr();
            connection = connection::Connection::open(addr).await.map_err(|_| Ended)?;
            request.send.resend += 1;
        }
    }

    fn next_request(&mut self, idempotent: bool) -> Request {
        self.requests += 1;
        let rng = &mut self.rng;
        let id = ledger::WorkId(self.prefix + self.requests);
        let service = settings::SERVICES[rng.random_range(0..settings::SERVICES.len())];
        let size = match rng.random_range(0..20) {
            0 => rng.random_range(50_000..200_000),
            1..4 => rng.random_range(2_000..20_000),
            _ => rng.random_range(10..500),
        };
        let duration = match rng.random_range(0..10) {
            0 => rng.random_range(50..300),
            _ => rng.random_range(0..15),
        };
        let deadline = DEADLINES[rng.random_range(0..DEADLINES.len())];
        let team = match rng.random_range(0..40) {
            0 => None,
            1..6 => Some(teams::Team::Limited),
            _ => Some(teams::Team::Steady),
        };
        let body = if rng.random_ratio(1, 10) { rng.random_range(0..30_000) } else { 0 };
        Request {
            service,
            work: backends::Work { id, size, duration: time::Duration::from_millis(duration) },
            send: ledger::SendId { work: id, resend: 0 },
            idempotent,
            deadline: time::Duration::from_millis(deadline),
            size: if idempotent { 0 } else { body },
            team,
        }
    }

    /// Sends requests at once and reads their answers in order. Returns whether the last one was
    /// answered by a backend server.
    async fn exchange(
        &self,
        connection: &mut connection::Connection,
        requests: &[Request],
    ) -> Result<bool, Ended> {
        let sent_at = time::Instant::now();
        let bytes: Vec<u8> = requests.iter().flat_map(Request::encode).collect();
        // A failure shows when the answer is read.
        let _ = connection.send(&bytes).await;
        let mut limit = time::Duration::ZERO;
        let mut served = false;
        for (index, request) in requests.iter().enumerate() {
            // An answer waits for those before it, which the node makes at the same time.
            limit = limit.max(request.deadline + SLACK + request.lateness());
            let result = self.read(connection, sent_at, limit).await;
            let result = match result {
                Some(it) => it,
                None => {
                    let starved = self.context.nodes[self.node].starved(sent_at);
                    let text = format!(
                        "no answer within {limit:?} of its send; the node's threads waited at most \
                         {starved:?} for a processor",
                    );
                    self.violate(request, &text);
                    self.context.ledger.count(|it| it.broken += 1);
                    return Err(Ended);
                }
            };
            let answer = match result {
                Ok(it) => it,
                Err(err) => {
                    self.check_break(request, &err, connection.alive_at(), sent_at);
                    self.context.ledger.count(|it| it.broken += 1);
                    return Err(Ended);
                }
            };
            served = self.check_answer(request, &answer);
            if answer.last {
                // The rest was not read; it may be sent again.
                let unread = u64::try_from(requests.len() - index - 1).unwrap_or_default();
                self.context.ledger.count(|it| it.broken += unread);
                return if served { Ok(true) } else { Err(Ended) };
            }
        }
        Ok(served)
    }

    /// Reads an answer; none if it does not come within `limit` of `sent_at`, which is extended by
    /// the time in which a fault held the node or the connection.
    async fn read(
        &self,
        connection: &mut connection::Connection,
        sent_at: time::Instant,
        limit: time::Duration,
    ) -> Option<connection::Result<connection::Answer>> {
        let mut reading = std::pin::pin!(connection.read());
        loop {
            let until = sent_at + limit + self.held(sent_at);
            let starved = match until <= time::Instant::now() {
                true => self.context.nodes[self.node].starved(sent_at),
                false => time::Duration::ZERO,
            };
            if until + starved <= time::Instant::now() {
                return None;
            }
            let until = until + starved;
            if let Ok(it) = tokio::time::timeout_at(until.into(), &mut reading).await {
                return Some(it);
            }
        }
    }

    /// Checks an answer. Returns whether a backend server gave it.
    fn check_answer(&self, request: &Request, answer: &connection::Answer) -> bool {
        let ledger = &self.context.ledger;
        let Some(team) = request.team else { return self.check_unknown_key(request, answer) };
        if answer.not_run {
            ledger.record_not_run(request.send);
            if team == teams::Team::Limited && answer.status == 429 {
                ledger.count(|it| it.limited += 1);
                return false;
            }
            ledger.count(|it| it.refused += 1);
            if IMPOSSIBLE_REASONS.contains(&answer.reason.as_str()) {
                self.violate(request, &format!("refused as {}", answer.reason));
            }
            return false;
        }
        if answer.status != 200 {
            ledger.count(|it| it.failed += 1);
            let explained = answer.unknown && !answer.reason.is_empty();
            if !explained {
                self.violate(request, &format!("an answer that no page lists: {answer:?}"));
            }
            return false;
        }
        ledger.count(|it| it.served += 1);
        if !answer.stored_cut && answer.body != request.work.answer(request.service) {
            let start = String::from_utf8_lossy(&answer.body[..answer.body.len().min(100)]);
            let length = answer.body.len();
            self.violate(request, &format!("another answer, of {length} bytes: {start}"));
        }
        true
    }

    /// Checks the answer to a request whose key no team has: it must not be run.
    fn check_unknown_key(&self, request: &Request, answer: &connection::Answer) -> bool {
        self.context.ledger.record_not_run(request.send);
        if !answer.not_run {
            self.violate(request, &format!("its unknown key was accepted: {answer:?}"));
        }
        false
    }

    /// Checks that a fault explains a connection that broke after `alive_at`.
    fn check_break(
        &self,
        request: &Request,
        error: &connection::Error,
        alive_at: time::Instant,
        sent_at: time::Instant,
    ) {
        let history = &self.context.history;
        let host = self.host();
        let hosts = host_set::HostSet::from(host);
        let killed = history.was(Cause::Kill, hosts, alive_at);
        let reset = history.was(Cause::CallerLink, hosts, alive_at);
        // The process was told to end, or was not there, before it can have read the request.
        let read_at = sent_at + READ_TIME + self.held(sent_at);
        let unread = history.down_since(host, alive_at).is_some_and(|it| it < read_at);
        let cut = matches!(error, connection::Error::Cut { .. });
        // A node cuts an answer that has begun when the deadline passes.
        let late = cut && sent_at.elapsed() >= request.deadline;
        let causes = [Cause::Backend, Cause::Kill, Cause::Link, Cause::Pause];
        let disturbed = cut && history.was_anywhere(&causes, alive_at);
        if !(killed || reset || unread || late || disturbed) {
            self.violate(request, &format!("its connection broke without a fault: {error}"));
        }
    }

    /// How much longer the node may take since `from`, because a fault held it or its callers'
    /// connections, or because the machine is busy.
    fn held(&self, from: time::Instant) -> time::Duration {
        let lag = self.context.lag_us.load(atomic::Ordering::Relaxed);
        self.context.history.held(self.host(), from) + time::Duration::from_micros(lag)
    }

    fn violate(&self, request: &Request, text: &str) {
        let method = if request.idempotent { "GET" } else { "POST" };
        let path = request.work.path(request.service);
        let host = self.host();
        self.context.history.violate(format!("{method} {path} to {host}: {text}"));
    }
}

/// Records by how much the soak itself is late, until it is dropped.
pub(crate) async fn measure_lag(lag_us: sync::Arc<atomic::AtomicU64>) {
    let pause = time::Duration::from_millis(20);
    loop {
        let started = time::Instant::now();
        tokio::time::sleep(pause).await;
        let late = started.elapsed().saturating_sub(pause).as_micros();
        let late = u64::try_from(late).unwrap_or(u64::MAX);
        lag_us.fetch_max(late, atomic::Ordering::Relaxed);
    }
}
