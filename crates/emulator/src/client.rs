//! An emulated client: it sends requests of several profiles at random times over one connection, reads the answers,
//! and retries a rejected request after the router's Retry-After. The requests depend only on the seed; the times of the
//! answers vary between runs.

use crate::outcome::{OutcomeKind, RequestOutcome, WaitEstimate};
use crate::run_log::{Run, RunLog};
use crate::statements::StatementNeed;
use crate::workload::{RequestProfile, ScheduledRequest, schedule};
use emberflow_peer_protocol::client::{
    ClientRequest, MAX_OPEN_REQUESTS, Outcome, Response, RouterMessage, WaitAnnouncement,
};
use emberflow_peer_protocol::request_id;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How long after a request's deadline the client still waits for the answer.
const ANSWER_GRACE: Duration = Duration::from_secs(1);
/// How long a read waits for the next byte. Requests that become due in the meantime are delayed, so it is short.
const READ_TIMEOUT: Duration = Duration::from_millis(1);
/// The pause before a retry if the rejection has no Retry-After.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);
const MS_PER_SECOND: f64 = 1e3;

/// A client of one team, with one connection to the router.
pub struct Client {
    pub team: &'static str,
    /// The request parameter by which the client subscribes to announcements of waits; `None` for no announcements.
    pub wait_field: Option<&'static str>,
    pub profiles: Vec<RequestProfile>,
    pub seed: u64,
    /// Maximum number of retries of a rejected request.
    pub max_retries: u32,
}

impl Client {
    /// Sends requests for `duration` and waits for the answers; returns the outcomes of all requests. `runs` is the log
    /// in which the engines record the runs of requests.
    pub fn run(
        &self,
        router: SocketAddr,
        duration: Duration,
        runs: &RunLog,
    ) -> std::io::Result<Vec<RequestOutcome>> {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let scheduled = schedule(&self.profiles, duration, &mut rng);
        let socket = TcpStream::connect(router)?;
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(READ_TIMEOUT))?;
        let mut session = Session {
            client: self,
            runs,
            rng,
            socket: BufReader::new(socket),
            partial_line: Vec::new(),
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

/// A request that has no final answer yet: it is in progress, or waits for its retry.
struct OpenRequest {
    profile: RequestProfile,
    message: ClientRequest,
    first_sent_at: Instant,
    retry_count: u32,
    /// The first announcement of a wait since the request was last sent.
    announced: Option<ReceivedAnnouncement>,
}

struct ReceivedAnnouncement {
    at: Instant,
    announcement: WaitAnnouncement,
}

impl OpenRequest {
    /// Whether the client has stopped waiting for the answer.
    fn is_overdue(&self) -> bool {
        self.first_sent_at.elapsed() > self.profile.deadline + ANSWER_GRACE
    }

    /// Returns the time until the request's deadline; zero after it. The elapsed time is rounded down to milliseconds.
    fn time_left(&self) -> Duration {
        let elapsed_ms = self.first_sent_at.elapsed().as_millis() as u64;
        self.profile.deadline.saturating_sub(Duration::from_millis(elapsed_ms))
    }
}

/// A rejected request that is sent again at a given time.
struct Retry {
    at: Instant,
    request: OpenRequest,
}

/// The result of a read from the router.
enum Incoming {
    Message(RouterMessage),
    /// No complete and valid line has arrived.
    Nothing,
    Closed,
}

/// One run of a client.
struct Session<'a> {
    client: &'a Client,
    runs: &'a RunLog,
    rng: StdRng,
    socket: BufReader<TcpStream>,
    /// The bytes of an incomplete line.
    partial_line: Vec<u8>,
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
            // Requests that could not be sent within the duration, for lack of capacity, are dropped.
            if started_at.elapsed() >= duration {
                self.scheduled.clear();
            }
            self.send_due(started_at)?;
            if self.retry_one_due()? {
                continue;
            }
            match self.read()? {
                Incoming::Message(message) => self.handle_message(message),
                Incoming::Nothing => {}
                Incoming::Closed => return Ok(()),
            }
        }
        Ok(())
    }

    /// Whether no request is scheduled, waits for a retry, or is open without being overdue.
    fn is_done(&self) -> bool {
        self.scheduled.is_empty()
            && self.retries.is_empty()
            && self.open.values().all(OpenRequest::is_overdue)
    }

    /// Whether the connection allows another open request.
    fn has_capacity(&self) -> bool {
        self.open.len() < MAX_OPEN_REQUESTS
    }

    fn next_id(&mut self) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        id
    }

    /// Sends the scheduled requests that are due, as long as there is capacity.
    fn send_due(&mut self, started_at: Instant) -> std::io::Result<()> {
        while self.has_capacity() {
            let is_due = |request: &mut ScheduledRequest| request.at <= started_at.elapsed();
            let Some(request) = self.scheduled.pop_front_if(is_due) else { break };
            self.send(request)?;
        }
        Ok(())
    }

    fn send(&mut self, scheduled: ScheduledRequest) -> std::io::Result<()> {
        let ScheduledRequest { profile, work_ms, memory_mb, .. } = scheduled;
        let id = self.next_id();
        let request_id = request_id(self.rng.random());
        let statement = StatementNeed { work_ms, memory_mb }.statement();
        let wait_parameter = self.client.wait_field.map(|field| (field.to_owned(), Value::from(true)));
        let message = ClientRequest {
            work_ms,
            memory_mb,
            team: Some(self.client.team.to_owned()),
            urgency: Some(profile.urgency),
            further_parameters: wait_parameter.into_iter().collect(),
            ..ClientRequest::new(id, profile.class, &request_id, profile.deadline, statement.as_bytes())
        };
        let first_sent_at = Instant::now();
        self.send_message(OpenRequest { profile, message, first_sent_at, retry_count: 0, announced: None })
    }

    /// Sends the message of a request and adds the request to the open ones.
    fn send_message(&mut self, request: OpenRequest) -> std::io::Result<()> {
        self.socket.get_mut().write_all(&request.message.encode())?;
        self.open.insert(request.message.id, request);
        Ok(())
    }

    /// Sends one retry that is due, with the time left until the deadline as its timeout. Returns true if the deadline
    /// has passed; then the request is recorded as rejected, and another retry may be due.
    fn retry_one_due(&mut self) -> std::io::Result<bool> {
        if !self.has_capacity() {
            return Ok(false);
        }
        let now = Instant::now();
        let Some(index) = self.retries.iter().position(|retry| retry.at <= now) else { return Ok(false) };
        let mut request = self.retries.swap_remove(index).request;
        let time_left = request.time_left();
        if time_left.is_zero() {
            self.record_outcome(&request, OutcomeKind::Rejected, None);
            return Ok(true);
        }
        request.message.id = self.next_id();
        request.message.timeout = time_left;
        self.send_message(request)?;
        Ok(false)
    }

    /// Reads a line. If the read times out, `partial_line` keeps the bytes of an incomplete line for the next read.
    fn read(&mut self) -> std::io::Result<Incoming> {
        match self.socket.read_until(b'\n', &mut self.partial_line) {
            Ok(0) => Ok(Incoming::Closed),
            Ok(_) if self.partial_line.ends_with(b"\n") => {
                let line = std::mem::take(&mut self.partial_line);
                Ok(RouterMessage::decode(&line).map_or(Incoming::Nothing, Incoming::Message))
            }
            _ => Ok(Incoming::Nothing),
        }
    }

    fn handle_message(&mut self, message: RouterMessage) {
        match message {
            RouterMessage::WaitAnnouncement(announcement) => self.record_announcement(announcement),
            RouterMessage::Response(Response { id, outcome }) => {
                if let Some(request) = self.open.remove(&id) {
                    self.handle_answer(request, &outcome);
                }
            }
            RouterMessage::Other => {}
        }
    }

    /// Records the first announcement of a request; later ones are ignored.
    fn record_announcement(&mut self, announcement: WaitAnnouncement) {
        if let Some(request) = self.open.get_mut(&announcement.id) {
            request.announced.get_or_insert(ReceivedAnnouncement { at: Instant::now(), announcement });
        }
    }

    /// Schedules the retry of a rejected request that has retries left; otherwise records the outcome.
    fn handle_answer(&mut self, mut request: OpenRequest, outcome: &Outcome) {
        let kind = match outcome {
            Outcome::Result { .. } | Outcome::Status { .. } => OutcomeKind::Succeeded,
            Outcome::Rejected { retry_after } if request.retry_count < self.client.max_retries => {
                request.retry_count += 1;
                request.announced = None;
                let at = Instant::now() + retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
                self.retries.push(Retry { at, request });
                return;
            }
            Outcome::Rejected { .. } => OutcomeKind::Rejected,
            Outcome::Failed => OutcomeKind::Failed,
            Outcome::Invalid { .. } => OutcomeKind::Invalid,
        };
        let run = self.runs.last_run(&request.message.request_id);
        self.record_outcome(&request, kind, run);
    }

    fn record_outcome(&mut self, request: &OpenRequest, kind: OutcomeKind, run: Option<Run>) {
        let started_at = run.map(|run| run.started_at);
        self.outcomes.push(RequestOutcome {
            team: self.client.team,
            class: request.profile.class,
            kind,
            wait: started_at.map(|started_at| started_at.saturating_duration_since(request.first_sent_at)),
            run: run.and_then(|run| run.duration()),
            is_urgent: request.profile.urgency > 0,
            started_at,
            work_s: request.message.work_ms / MS_PER_SECOND,
            wait_estimate: wait_estimate(request, started_at),
        });
    }

    /// Returns all outcomes; requests that are still open or wait for a retry count as unanswered.
    fn finish(mut self) -> Vec<RequestOutcome> {
        let open = std::mem::take(&mut self.open).into_values();
        let retries = std::mem::take(&mut self.retries).into_iter().map(|retry| retry.request);
        for request in open.chain(retries) {
            self.record_outcome(&request, OutcomeKind::Unanswered, None);
        }
        self.outcomes
    }
}

/// Returns the announced and the actual wait of a request; `None` if the wait was not announced or no run is known.
fn wait_estimate(request: &OpenRequest, started_at: Option<Instant>) -> Option<WaitEstimate> {
    let ReceivedAnnouncement { at, announcement } = request.announced.as_ref()?;
    let actual_s = started_at?.saturating_duration_since(*at).as_secs_f64();
    Some(WaitEstimate { announced: *announcement, actual_s })
}
