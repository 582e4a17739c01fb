//! An emulated client: it sends requests of several profiles at random times over one connection, reads the answers,
//! and retries a rejected request after the pause that the router names. What it sends is the same for a seed; when it
//! is answered is not.

use crate::engine::{Run, RunLog};
use crate::outcome::{OutcomeKind, RequestOutcome, WaitEstimate};
use crate::workload::{RequestProfile, ScheduledRequest, schedule};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Open requests that the router takes on one connection.
const MOST_OPEN_REQUESTS: usize = 32;
/// An answer is waited for until so long after the request's deadline.
const ANSWER_GRACE: Duration = Duration::from_secs(1);
/// How long a read waits for the next byte before the client looks at what is due.
const READ_TIMEOUT: Duration = Duration::from_millis(1);
/// The pause before a retry where the router names none, in milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 100;
/// Error codes of the router's protocol.
const REJECTED_CODE: i64 = -32011;
const FAILED_CODE: i64 = -32000;

/// A client of one team, with one connection.
pub struct Client {
    pub team: &'static str,
    /// The parameter by which it asks for announcements of its waits, if it does.
    pub wait_field: Option<&'static str>,
    pub profiles: Vec<RequestProfile>,
    pub seed: u64,
    /// How often it retries a rejected request.
    pub most_retries: u32,
}

impl Client {
    /// Sends requests for a duration and waits for their answers; returns the outcome of all that were sent. `runs`
    /// holds when the engines ran them.
    pub fn run(
        &self,
        router: SocketAddr,
        duration: Duration,
        runs: &RunLog,
    ) -> std::io::Result<Vec<RequestOutcome>> {
        let mut random = StdRng::seed_from_u64(self.seed);
        let scheduled = schedule(&self.profiles, duration, &mut random);
        let socket = TcpStream::connect(router)?;
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(READ_TIMEOUT))?;
        let mut session = Session {
            client: self,
            runs,
            random,
            socket: BufReader::new(socket),
            line: Vec::new(),
            scheduled,
            open: BTreeMap::new(),
            retries: Vec::new(),
            next_id: 1,
            outcomes: Vec::new(),
        };
        session.run(duration)?;
        Ok(session.finish())
    }
}

/// A request that was sent and is not answered, or waits to be retried.
struct OpenRequest {
    profile: RequestProfile,
    /// Its identity in the router's protocol.
    req: String,
    message: Value,
    first_sent_at: Instant,
    retry_count: u32,
    work_s: f64,
    /// The first wait that was announced since it was sent last, and when.
    announced: Option<(Instant, WaitEstimate)>,
}

impl OpenRequest {
    fn is_overdue(&self) -> bool {
        self.first_sent_at.elapsed() > Duration::from_millis(self.profile.deadline_ms) + ANSWER_GRACE
    }

    /// Milliseconds until its deadline.
    fn remaining_ms(&self) -> u64 {
        self.profile.deadline_ms.saturating_sub(self.first_sent_at.elapsed().as_millis() as u64)
    }
}

/// A request that is sent again at a time.
struct Retry {
    at: Instant,
    request: OpenRequest,
}

/// What reading a line came to.
enum Incoming {
    Line(Value),
    Nothing,
    Closed,
}

/// One run of a client.
struct Session<'a> {
    client: &'a Client,
    runs: &'a RunLog,
    random: StdRng,
    socket: BufReader<TcpStream>,
    /// The part of a line that has come.
    line: Vec<u8>,
    scheduled: VecDeque<ScheduledRequest>,
    open: BTreeMap<u64, OpenRequest>,
    retries: Vec<Retry>,
    next_id: u64,
    outcomes: Vec<RequestOutcome>,
}

impl Session<'_> {
    fn run(&mut self, duration: Duration) -> std::io::Result<()> {
        let started_at = Instant::now();
        while !self.is_done() {
            // What could not be sent in its time is not sent later.
            if started_at.elapsed() >= duration {
                self.scheduled.clear();
            }
            self.send_due(started_at)?;
            if self.retry_one_due()? {
                continue;
            }
            match self.read()? {
                Incoming::Line(message) => self.take_message(&message),
                Incoming::Nothing => {}
                Incoming::Closed => return Ok(()),
            }
        }
        Ok(())
    }

    fn is_done(&self) -> bool {
        self.scheduled.is_empty()
            && self.retries.is_empty()
            && self.open.values().all(OpenRequest::is_overdue)
    }

    fn has_capacity(&self) -> bool {
        self.open.len() < MOST_OPEN_REQUESTS
    }

    fn next_id(&mut self) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        id
    }

    fn send_due(&mut self, started_at: Instant) -> std::io::Result<()> {
        while self.has_capacity() {
            let is_due = |request: &ScheduledRequest| request.at <= started_at.elapsed();
            let Some(request) = self.scheduled.pop_front_if(|request| is_due(request)) else { break };
            self.send(request)?;
        }
        Ok(())
    }

    fn send(&mut self, scheduled: ScheduledRequest) -> std::io::Result<()> {
        let ScheduledRequest { profile, work_ms, memory_mb, .. } = scheduled;
        let id = self.next_id();
        let req = format!("{:016x}", self.random.random::<u64>());
        let statement = STANDARD.encode(format!("select work_ms={work_ms:.1} need_mb={memory_mb:.1}"));
        let mut message = json!({"jsonrpc": "2.0", "id": id, "method": profile.class, "params": {
            "team": self.client.team, "urgency": profile.urgency, "req": req, "timeout": profile.deadline_ms,
            "ms": work_ms, "memory": memory_mb, "data": statement}});
        if let Some(field) = self.client.wait_field {
            message["params"][field] = json!(true);
        }
        writeln!(self.socket.get_mut(), "{message}")?;
        let request = OpenRequest {
            profile,
            req,
            message,
            first_sent_at: Instant::now(),
            retry_count: 0,
            work_s: work_ms / 1e3,
            announced: None,
        };
        self.open.insert(id, request);
        Ok(())
    }

    /// Sends one request again that is due, with what remains of its deadline; returns whether its deadline had passed,
    /// so that another may be due at once.
    fn retry_one_due(&mut self) -> std::io::Result<bool> {
        if !self.has_capacity() {
            return Ok(false);
        }
        let now = Instant::now();
        let Some(index) = self.retries.iter().position(|retry| retry.at <= now) else { return Ok(false) };
        let mut request = self.retries.swap_remove(index).request;
        let remaining_ms = request.remaining_ms();
        if remaining_ms == 0 {
            let outcome = self.outcome(&request, OutcomeKind::Rejected, None);
            self.outcomes.push(outcome);
            return Ok(true);
        }
        let id = self.next_id();
        request.message["id"] = json!(id);
        request.message["params"]["timeout"] = json!(remaining_ms);
        writeln!(self.socket.get_mut(), "{}", request.message)?;
        self.open.insert(id, request);
        Ok(false)
    }

    /// A line that has come whole; a read that times out leaves its part for the next.
    fn read(&mut self) -> std::io::Result<Incoming> {
        match self.socket.read_until(b'\n', &mut self.line) {
            Ok(0) => Ok(Incoming::Closed),
            Ok(_) if self.line.ends_with(b"\n") => {
                let message = serde_json::from_slice(&self.line).unwrap_or_default();
                self.line.clear();
                Ok(Incoming::Line(message))
            }
            _ => Ok(Incoming::Nothing),
        }
    }

    fn take_message(&mut self, message: &Value) {
        if message["method"] == "waiting" {
            return self.take_announcement(message);
        }
        let Some(request) = message["id"].as_u64().and_then(|id| self.open.remove(&id)) else { return };
        self.take_answer(message, request);
    }

    /// Only the first announcement of a request counts.
    fn take_announcement(&mut self, message: &Value) {
        let seconds = |name: &str| message["params"][name].as_f64().unwrap_or(0.0) / 1e3;
        let estimate = WaitEstimate {
            least_s: seconds("leastMs"),
            likely_s: seconds("likelyMs"),
            most_s: seconds("mostMs"),
            actual_s: 0.0,
        };
        let id = message["params"]["id"].as_u64().unwrap_or_default();
        if let Some(request) = self.open.get_mut(&id) {
            request.announced.get_or_insert((Instant::now(), estimate));
        }
    }

    fn take_answer(&mut self, answer: &Value, mut request: OpenRequest) {
        let kind = match answer["error"]["code"].as_i64() {
            None => OutcomeKind::Succeeded,
            Some(REJECTED_CODE) => OutcomeKind::Rejected,
            Some(FAILED_CODE) => OutcomeKind::Failed,
            Some(_) => OutcomeKind::Invalid,
        };
        if kind == OutcomeKind::Rejected && request.retry_count < self.client.most_retries {
            let retry_after_ms = answer["error"]["data"]["holdoff"].as_u64();
            let pause = Duration::from_millis(retry_after_ms.unwrap_or(DEFAULT_RETRY_AFTER_MS));
            request.retry_count += 1;
            request.announced = None;
            self.retries.push(Retry { at: Instant::now() + pause, request });
            return;
        }
        let run = self.runs.last_run(&request.req);
        let outcome = self.outcome(&request, kind, run);
        self.outcomes.push(outcome);
    }

    fn outcome(&self, request: &OpenRequest, kind: OutcomeKind, run: Option<Run>) -> RequestOutcome {
        let started_at = run.map(|run| run.started_at);
        let wait_estimate =
            request.announced.zip(started_at).map(|((announced_at, estimate), started_at)| {
                let actual_s = started_at.saturating_duration_since(announced_at).as_secs_f64();
                WaitEstimate { actual_s, ..estimate }
            });
        RequestOutcome {
            team: self.client.team,
            class: request.profile.class,
            kind,
            wait: started_at.map(|started_at| started_at.saturating_duration_since(request.first_sent_at)),
            run: run.and_then(|run| run.duration()),
            is_urgent: request.profile.urgency > 0,
            started_at,
            work_s: request.work_s,
            wait_estimate,
        }
    }

    /// All outcomes; what is still open counts as unanswered.
    fn finish(mut self) -> Vec<RequestOutcome> {
        let open = std::mem::take(&mut self.open).into_values();
        let waiting_for_retry = std::mem::take(&mut self.retries).into_iter().map(|retry| retry.request);
        for request in open.chain(waiting_for_retry) {
            let outcome = self.outcome(&request, OutcomeKind::Unanswered, None);
            self.outcomes.push(outcome);
        }
        self.outcomes
    }
}
