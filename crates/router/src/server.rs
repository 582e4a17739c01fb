//! The machine that owns the decisions: what comes in is told to them, and what they say is carried out. Lines,
//! frames, bytes and times in; bytes to write and connections to dial or to close out. It holds no socket.

use crate::admission_queue::{Admission, AdmissionQueue};
use crate::bootstrap::Bootstrap;
use crate::clients::{MAX_OPEN_REQUESTS, ReadOutcome};
use crate::context::Context;
use crate::discovery::{Discovery, Row};
use crate::dispatch::{Dispatcher, Request};
use crate::engine_pool::PoolEvent;
use crate::jsonrpc::{self, Objection, Withdrawal};
use crate::ring::Ring;
use crate::slots::Slot;
use crate::statement;
use crate::timers::Timer;
use emberflow::{
    Actions, Arrival, AttemptEnded, EndpointUpdate, Fingerprint, KeyId, Lifecycle, RequestId, Scheduler,
};
use emberflow_operator::Roll;
use emberflow_operator::roll::LONGEST_NAME;
use emberflow_settings::{Fields, SettingsError, from_ms};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::Read;
use std::time::Duration;

/// The largest figure that a client is believed.
const MOST_FIGURE: f64 = 1e9;
/// The longest that a client's wait is believed to be.
const LONGEST: Duration = Duration::from_secs(3600);
/// What a request and its answer may take on their way beside what is seen here: the protocol makes each time limit as
/// much longer on sockets. Guards against answers that leave in time and come too late.
const BETWEEN: Duration = Duration::from_millis(50);
/// After SIGTERM clients go on coming for so long. SIGKILL comes as long after the longest deadline, of which
/// no more than the second figure counts.
const STRAGGLERS: Duration = Duration::from_millis(700);
const LONGEST_COUNTED: Duration = Duration::from_secs(3);
/// What the signal and the last answers may take on their way.
const ON_THE_WAY: Duration = Duration::from_millis(150);
/// How often an end is looked for.
const LOOK: Duration = Duration::from_millis(10);

#[derive(Clone)]
pub struct Server {
    scheduler: Scheduler,
    pub dispatcher: Dispatcher,
    pub discovery: Discovery,
    /// Clients that are gone, whose connections are to be closed, and what was last said to them.
    pub closed: Vec<(Slot, Ring)>,
    /// When the process ends at the latest, once that is planned.
    leaving: Option<Duration>,
    /// Whether clients may have said what was not heard yet, as whoever holds the sockets knows.
    pub unheard: bool,
    pub left: bool,
    /// The longest deadline of any request class.
    longest: Duration,
    /// Where the operator has told teams.
    admission_queue: Option<AdmissionQueue>,
    admission_queue_due: Option<Duration>,
    /// By request class, the target and whether requests of one key keep their order.
    habits: Vec<(Duration, bool)>,
    max_retry_after: Option<Duration>,
}

impl Server {
    /// Begins with the events that the configuration tells.
    pub fn new(bootstrap: Bootstrap, context: Context) -> Self {
        let Bootstrap { config, fleet, classes, attempt_limits, last, events, orders, unread: _ } = bootstrap;
        let (habits, now) =
            (classes.iter().map(|t| (t.latency_objective, t.keeps_order)).collect(), context.now());
        let max_retry_after = attempt_limits.max_retry_after;
        let longest = classes.iter().map(|class| class.deadline).max().unwrap_or_default();
        let mut server = Self {
            scheduler: Scheduler::new(fleet, classes, attempt_limits),
            discovery: Discovery::after(last, config.kinds.len(), config.locations.len()),
            closed: Vec::new(),
            leaving: None,
            unheard: false,
            left: false,
            longest,
            admission_queue: None,
            admission_queue_due: None,
            habits,
            max_retry_after,
            dispatcher: Dispatcher::within(config, context),
        };
        if let Some(roll) = orders.teams {
            log::info!("{} teams, each with a full budget", roll.names.len());
            server.open_admission_queue(roll, now);
        }
        for (whole, rows) in events {
            server.listed(whole, &rows);
        }
        server
    }

    /// Takes a client's connection in, of which nothing was read yet.
    pub fn admit(&mut self) -> Slot {
        let Dispatcher { clients, context, .. } = &mut self.dispatcher;
        let slot = clients.table.next();
        let due = clients.admit(context.now());
        context.timers.set(due, Timer::Client(slot));
        context.counters.count("clients_admitted");
        slot
    }

    /// Whether a client's request under this id is open.
    pub fn owes(&self, client: Slot, id: u64) -> bool {
        self.dispatcher.clients.table.get(client).is_some_and(|client| client.open.contains_key(&id))
    }

    /// Feeds the state to `into`: states that print alike go on alike, whatever comes.
    pub fn fingerprint(&self, into: &mut impl Hasher) {
        let now = self.dispatcher.context.now();
        let since = |at: Duration| at.as_micros() as i64 - now.as_micros() as i64;
        self.scheduler.fingerprint(
            &Fingerprint { now, more_arrivals: true, engines_interchangeable: false, engine_state: &|_| 0 },
            into,
        );
        self.dispatcher.fingerprint(into);
        (self.leaving.map(since), self.left).hash(into);
    }

    pub fn context(&mut self) -> &mut Context {
        &mut self.dispatcher.context
    }

    /// What falls due; whoever holds the sockets has read what came for it before.
    pub fn due(&mut self, due: Timer) {
        let now = self.dispatcher.context.now();
        let Dispatcher { engines, context, .. } = &mut self.dispatcher;
        match due {
            Timer::Wake => self.scheduler.wake(now, &mut self.dispatcher),
            Timer::Attempt(slot) => engines.attempt_overdue(slot, context),
            Timer::Connection(slot) => engines.connection_check_due(slot, now, context),
            Timer::Whole(slot) => engines.reply_overdue(slot, context),
            Timer::Idle(slot) => engines.connection_idle(slot, context),
            Timer::Client(slot) => self.client_overdue(slot, now),
            Timer::Leave => self.leave(),
            Timer::Discovery | Timer::Admit | Timer::AdmissionQueue | Timer::Reload | Timer::Part(_) => {}
        }
        self.tell();
    }

    /// Lets clients go to whom nothing more is owed, and those that read too little.
    pub fn clear(&mut self) {
        for slot in std::mem::take(&mut self.dispatcher.clients.maybe_finished) {
            if self.dispatcher.clients.is_finished(slot) {
                self.client_gone(slot, "nothing more to hear or to say");
            }
        }
        while let Some(slot) = self.dispatcher.clients.slowest_reader() {
            self.dispatcher.context.counters.count("clients_too_slow");
            self.client_gone(slot, "it reads least of its answers");
        }
    }

    /// Tells the decisions what came of their attempts, until nothing is new, and hands on what they have room for.
    pub fn tell(&mut self) {
        self.tell_news();
        while self.attend() {
            self.tell_news();
        }
    }

    fn tell_news(&mut self) {
        while let Some(news) = self.dispatcher.engines.events.pop_front() {
            let now = self.dispatcher.context.now();
            match news {
                PoolEvent::Progress(request, attempt, notice) => {
                    self.scheduler.progress_noted(now, request, attempt, notice, &mut self.dispatcher);
                }
                PoolEvent::Ended(ended, body, owing) => {
                    if let Some((connection, request)) =
                        owing.zip(self.dispatcher.requests.get_mut(ended.request))
                    {
                        request.owing.push(connection);
                    }
                    self.ended(now, ended, body);
                }
            }
        }
    }

    fn ended(&mut self, now: Duration, mut ended: AttemptEnded, body: Option<Vec<u8>>) {
        if let Some((admission_queue, usage)) = self.admission_queue.as_mut().zip(ended.usage.as_ref())
            && body.is_some()
            && self.dispatcher.requests.get(ended.request).is_some()
        {
            admission_queue.billed(ended.request, usage.cost);
        }
        if let Some(body) = body {
            // Not owed where the client has withdrawn in between.
            self.dispatcher.answer(ended.request, "requests_succeeded", |id| jsonrpc::result_line(id, &body));
        }
        ended.request_done = self.dispatcher.requests.get(ended.request).is_none();
        self.scheduler.attempt_ended(now, ended, &mut self.dispatcher);
    }

    // ---- clients ----

    /// Takes in the next line of a client, which may come from `from` and came there at `since` at the earliest;
    /// tells whether more may follow at once.
    pub fn hear(
        &mut self,
        slot: Slot,
        since: Duration,
        from: &mut impl Read,
        failed: impl Fn() -> bool,
    ) -> bool {
        let now = self.dispatcher.context.now();
        match self.dispatcher.clients.read_line(slot, (now, since), from, failed) {
            ReadOutcome::Line(line, came) => {
                let taken_back = self.dispatcher.clients.look_ahead(slot);
                let open = taken_back.iter().filter_map(|named| self.named(slot, named));
                let open: Vec<_> = open.collect();
                if !open.is_empty() {
                    self.clients_left(open, Vec::new());
                }
                if let Err((id, code, message)) = self.line(slot, &line, now.saturating_sub(came)) {
                    self.object(slot, id, code, &message);
                }
                self.tell();
            }
            ReadOutcome::Discarded => {}
            ReadOutcome::TooLong => self.object(slot, None, jsonrpc::PARSE, "a line without end"),
            ReadOutcome::EndOfInput => {
                self.clients_left(Vec::new(), vec![slot]);
            }
            ReadOutcome::Closed => {
                self.client_gone(slot, "reset or closed by the client");
                return false;
            }
            ReadOutcome::Pending => return false,
        }
        true
    }

    fn object(&mut self, slot: Slot, id: Option<u64>, code: i64, message: &str) {
        self.dispatcher.context.counters.count("client_input_refused");
        log::debug!("refused from client {slot:?} under id {id:?}: {message}");
        self.dispatcher.clients.send_line(slot, &jsonrpc::error_line(id, code, message, None));
    }

    /// A line that has waited to be read for so long.
    fn line(&mut self, slot: Slot, line: &[u8], waited: Duration) -> Result<(), Objection> {
        let (id, method, params) = jsonrpc::parse_request(line)?;
        match method.as_str() {
            "status" => self.status(slot, id),
            "withdraw" => {
                let withdrawn = self.named(slot, &jsonrpc::withdrawal_of(id, Fields::of(&params)));
                withdrawn.into_iter().for_each(|request| self.withdraw(request));
                Ok(())
            }
            _ => self.take(slot, id, (&method, Fields::of(&params)), waited),
        }
    }

    fn status(&mut self, slot: Slot, id: Option<u64>) -> Result<(), Objection> {
        let id = id.ok_or_else(|| (id, jsonrpc::INVALID, "`status` without an id".to_owned()))?;
        let serving = self.dispatcher.serving && self.leaving.is_none();
        self.dispatcher.clients.send_line(slot, &jsonrpc::status_line(id, serving));
        Ok(())
    }

    /// The open request that a client names by its `req` or by its id here.
    fn named(&self, slot: Slot, (req, id): &Withdrawal) -> Option<RequestId> {
        let named = |number: &RequestId| {
            self.dispatcher
                .requests
                .get(*number)
                .is_some_and(|request| request.req == *req || Some(request.id) == *id)
        };
        self.dispatcher.clients.table.get(slot)?.open.values().copied().find(named)
    }

    /// What clients have that may have stopped waiting, which came at `since` at the earliest: looked at for all
    /// of them before anything else is done, and told to the decisions at once.
    pub fn peek<R: Read>(&mut self, since: Duration, clients: impl IntoIterator<Item = (Slot, R)>) {
        let now = self.dispatcher.context.now();
        let (mut withdrawn, mut ended, mut closed) = (Vec::new(), Vec::new(), Vec::new());
        for (slot, mut from) in clients {
            let seen = self.dispatcher.clients.scan_ahead(slot, (now, since), &mut from);
            withdrawn.extend(seen.withdrawn.iter().filter_map(|named| self.named(slot, named)));
            ended.extend(seen.ended.then_some(slot));
            closed.extend(seen.closed.then_some(slot));
        }
        withdrawn
            .extend(closed.into_iter().flat_map(|slot| self.part(slot, "reset or closed by the client")));
        if !withdrawn.is_empty() || !ended.is_empty() {
            self.clients_left(withdrawn, ended);
        }
    }

    /// Requests are owed to nobody any more; clients have ended their side, and may be gone as well. What waits in
    /// any queue for one of these is rejected, and what is out has its end waited for.
    fn clients_left(&mut self, mut withdrawn: Vec<RequestId>, ended: Vec<Slot>) {
        let now = self.dispatcher.context.now();
        withdrawn.retain(|request| self.dispatcher.close(*request, "requests_withdrawn").is_some());
        let open = ended.iter().filter_map(|slot| self.dispatcher.clients.table.get(*slot));
        let mut left: Vec<RequestId> = open.flat_map(|client| client.open.values().copied()).collect();
        for request in &left {
            let attempts = self
                .dispatcher
                .requests
                .get(*request)
                .map(|request| request.attempts.clone())
                .unwrap_or_default();
            for attempt in attempts {
                self.dispatcher.engines.disable_resend(attempt, &mut self.dispatcher.context);
            }
        }
        let in_admission_queue = |request: &RequestId| {
            self.admission_queue.as_ref().is_some_and(|admission_queue| admission_queue.holds(*request))
        };
        for request in left.extract_if(.., |request| in_admission_queue(request)) {
            self.dispatcher.reject(request, None);
        }
        self.scheduler.clients_left(now, &withdrawn, &left, &mut self.dispatcher);
        self.tell();
    }

    fn take(
        &mut self,
        slot: Slot,
        id: Option<u64>,
        (method, fields): (&str, Fields),
        waited: Duration,
    ) -> Result<(), Objection> {
        let now = self.dispatcher.context.now();
        let class = self.dispatcher.config.classes.iter().position(|name| name == method);
        let class = class.ok_or_else(|| (id, jsonrpc::NO_METHOD, format!("no method `{method}`")))?;
        let invalid = |id: Option<u64>, what: &str| Err((id, jsonrpc::INVALID, what.to_owned()));
        let Some(number) = id else { return invalid(None, "a task without an id") };
        let Some(client) = self.dispatcher.clients.table.get(slot) else { return Ok(()) };
        if client.open.contains_key(&number) {
            // Under that id it would pass for the answer that the open one is owed.
            return invalid(None, "`id` is open already");
        }
        if client.open.len() >= MAX_OPEN_REQUESTS {
            return invalid(id, "too many open requests");
        }
        let wrong = |what: String| (id, jsonrpc::BAD_PARAMS, what);
        let undecoded = |error: SettingsError| wrong(error.to_string());
        let maybe_text = |name: &str| fields.optional(name, Fields::text).map_err(undecoded);
        // A figure that can't be true is not learned from: none is below 0 or beyond years or petabytes.
        let positive = |name: &str| {
            let value = fields.optional(name, Fields::number).map_err(undecoded)?;
            match value {
                Some(value) if !(0.0..=MOST_FIGURE).contains(&value) => {
                    Err(wrong(format!("`{name}` is out of range")))
                }
                value => Ok(value.filter(|v| *v > 0.0)),
            }
        };
        let req = fields.text("req").map_err(undecoded)?;
        if req.len() != 16 || !req.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(wrong("`req` is not 16 hex digits".into()));
        }
        // Its client ended its side before this line's turn came: nobody may wait for it any more.
        if self.dispatcher.clients.has_ended_input(slot, now) {
            return Err((id, jsonrpc::REJECTED, "its client has left".into()));
        }
        // Guards against requests sent on for nobody: its client had taken it back before its turn came.
        if self.dispatcher.clients.has_withdrawn(slot, req, number) {
            self.dispatcher.context.counters.count("requests_withdrawn");
            log::debug!("task {req} of client {slot:?}: withdrawn before it was heard");
            return Ok(());
        }
        // Engines tell requests apart by it alone, whoever asks.
        if self.dispatcher.requests.holds(req) {
            return invalid(id, "`req` is open already");
        }
        let opkey = maybe_text("opkey")?;
        if opkey.is_some_and(|key| key.bytes().any(|b| !b.is_ascii_alphanumeric())) {
            return Err(wrong("`opkey` holds more than letters and digits".into()));
        }
        let subject = maybe_text("subject")?;
        let deadline = positive("timeout")?.ok_or_else(|| wrong("`timeout` is not above 0".into()))?;
        let (cost, memory_mb) = (positive("ms")?.map(from_ms).filter(|c| !c.is_zero()), positive("memory")?);
        let body = jsonrpc::decode_body(fields.text("data").map_err(undecoded)?);
        let statement = body.ok_or_else(|| wrong("`data` is not base64".into()))?;
        let group = std::str::from_utf8(&statement).map(statement::table_group);
        let group = group.map_err(|_| wrong("`data` is no text".into()))?;
        let resent = match fields
            .maybe("resent")
            .map(|value| value.as_bool().map_or(value.as_u64(), |b| Some(b.into())))
        {
            None => false,
            Some(Some(told @ (0 | 1))) => told == 1,
            Some(_) => return Err(wrong("`resent` is not 0 or 1".into())),
        };
        let dispatcher = &mut self.dispatcher;
        let arrival = Arrival {
            request: dispatcher.requests.next,
            class,
            key: subject.map(key),
            cost,
            memory_mb,
            deadline: from_ms(deadline).min(LONGEST).saturating_sub(BETWEEN),
            waited,
            is_retry: dispatcher.config.marks_retries.then_some(resent),
            group,
        };
        log::debug!(
            "task {} {req} of client {slot:?}: {method}, cost {cost:?}, memory {memory_mb:?} MB, group {:?}, \
             patience {deadline} ms, resent {resent}, key {opkey:?}",
            arrival.request,
            arrival.group
        );
        let asks = self
            .admission_queue
            .as_ref()
            .map(|admission_queue| team_and_urgency(&admission_queue.roll, fields))
            .transpose()
            .map_err(wrong)?;
        let dispatcher = &mut self.dispatcher;
        let same = key(opkey.unwrap_or(req)) as u64;
        let (req, opkey) = (req.to_owned(), opkey.map(str::to_owned));
        if !dispatcher.open(Request::new(slot, number, req, class, opkey, statement)) {
            return Err((id, jsonrpc::REJECTED, "too many tasks are open".into()));
        }
        match asks {
            Some((team, urgency, told)) => self.enqueue(now, arrival, (team, urgency, same, told)),
            None => self.scheduler.accept(now, arrival, dispatcher),
        }
        Ok(())
    }

    // ---- teams ----

    fn open_admission_queue(&mut self, roll: Roll, now: Duration) {
        self.admission_queue = Some(AdmissionQueue::new(roll, now));
        self.dispatcher.closed = Some(Vec::new());
    }

    /// A request waits for its team's turn, or is turned away with the time after which such a one would be taken.
    fn enqueue(
        &mut self,
        now: Duration,
        arrival: Arrival,
        (team, urgency, identity, told): (usize, u8, u64, bool),
    ) {
        let (latency_objective, ordered) = self.habits[arrival.class];
        let admission = Admission {
            team,
            urgency,
            identity,
            key: arrival.key.filter(|_| ordered).map(|key| key as u64),
            work: self.scheduler.expected_work(&arrival),
            latency_objective,
            // The decisions answer in time what they are given in time.
            margin: self.scheduler.margin() * 2,
            asks_to_be_told: told,
        };
        let request = arrival.request;
        let Some(Err(refusal)) = self
            .admission_queue
            .as_mut()
            .map(|admission_queue| admission_queue.enqueue(now, arrival, admission))
        else {
            return;
        };
        self.dispatcher.context.counters.count("requests_refused_at_the_door");
        log::debug!("task {request}: {:?}, back in {:?}", refusal.reason, refusal.retry_after);
        let retry_after = self.max_retry_after.map(|longest| refusal.retry_after.min(longest));
        self.dispatcher.reject(request, retry_after);
    }

    /// Settles what was closed, hands on the next request that has room, and tells clients of their waits; tells
    /// whether one was handed on.
    fn attend(&mut self) -> bool {
        let Some(admission_queue) = &mut self.admission_queue else { return false };
        let now = self.dispatcher.context.now();
        for (request, how) in self.dispatcher.closed.as_mut().map(std::mem::take).unwrap_or_default() {
            admission_queue.closed(now, request, how);
        }
        if let Some(arrival) = admission_queue.next(now, || self.scheduler.capacity(now)) {
            self.scheduler.accept(now, arrival, &mut self.dispatcher);
            return true;
        }
        for (request, wait) in admission_queue.to_tell(now) {
            if let Some(request) = self.dispatcher.requests.get(request) {
                self.dispatcher.clients.send_line(request.client, &jsonrpc::waiting_line(request.id, &wait));
            }
        }
        // What opens by time alone is looked for by the decisions' own step.
        let due = admission_queue.due().map(|due| due.min(now + self.scheduler.margin()));
        if due != self.admission_queue_due {
            let timers = &mut self.dispatcher.context.timers;
            if let Some(old) = std::mem::replace(&mut self.admission_queue_due, due) {
                timers.clear(old, Timer::AdmissionQueue);
            }
            due.into_iter().for_each(|at| timers.set(at, Timer::AdmissionQueue));
        }
        false
    }

    /// Hands on all that waits, whatever its turn.
    fn drain_admission_queue(&mut self, now: Duration) {
        while let Some(arrival) =
            self.admission_queue.as_mut().and_then(|admission_queue| admission_queue.any(now))
        {
            self.scheduler.accept(now, arrival, &mut self.dispatcher);
        }
    }

    /// The operator's file, read anew: what waits moves with its team; where there are no teams any more, it is
    /// handed on.
    pub fn reorder(&mut self, roll: Option<Roll>) {
        let now = self.dispatcher.context.now();
        match (&mut self.admission_queue, roll) {
            (Some(admission_queue), Some(roll)) => {
                admission_queue.roll.changes(&roll).iter().for_each(|what| log::info!("teams: {what}"));
                admission_queue.change(now, roll);
            }
            (Some(_), None) => {
                log::info!("no teams any more");
                self.drain_admission_queue(now);
                (self.admission_queue, self.dispatcher.closed) = (None, None);
                if let Some(due) = self.admission_queue_due.take() {
                    self.dispatcher.context.timers.clear(due, Timer::AdmissionQueue);
                }
            }
            (None, Some(roll)) => {
                log::info!("{} teams, each with a full budget", roll.names.len());
                self.open_admission_queue(roll, now);
            }
            (None, None) => {}
        }
        self.tell();
    }

    /// No answer is owed any more.
    fn withdraw(&mut self, number: RequestId) {
        self.clients_left(vec![number], Vec::new());
    }

    fn client_overdue(&mut self, slot: Slot, now: Duration) {
        // It may have ended with what was read before.
        if self.dispatcher.clients.table.get(slot).is_none() {
            return;
        }
        match self.dispatcher.clients.check_idle(slot, now) {
            Ok(begun) => {
                self.dispatcher.context.counters.count(if begun {
                    "clients_stalled"
                } else {
                    "clients_idle"
                });
                if begun {
                    self.object(slot, None, jsonrpc::PARSE, "a line that stopped short");
                }
                self.client_gone(slot, if begun { "stopped within a line" } else { "idle" });
            }
            Err(due) => self.dispatcher.context.timers.set(due, Timer::Client(slot)),
        }
    }

    /// A client's connection ends; what is open on it is owed to nobody any more.
    pub fn client_gone(&mut self, slot: Slot, why: &str) {
        let open = self.part(slot, why);
        if !open.is_empty() {
            self.clients_left(open, Vec::new());
        }
    }

    /// Takes a client's connection out; tells what was open on it.
    fn part(&mut self, slot: Slot, why: &str) -> Vec<RequestId> {
        let Some(client) = self.dispatcher.clients.take(slot) else { return Vec::new() };
        log::debug!("client {slot:?} over with {}: {why}", client.held());
        self.dispatcher.context.timers.clear(client.due, Timer::Client(slot));
        self.closed.push((slot, client.output));
        client.open.into_values().collect()
    }

    // ---- engines and their list ----

    pub fn listed(&mut self, whole: bool, rows: &[Row]) {
        let Dispatcher { engines, context, .. } = &mut self.dispatcher;
        if whole {
            engines.drain_unlisted(rows, context);
        }
        let endpoints: Vec<_> = rows.iter().map(|row| engines.update_endpoint(row, context)).collect();
        self.dispatcher.serving |= endpoints.iter().any(|row| row.lifecycle == Lifecycle::Ready);
        self.dispatcher.context.counters.count("list_events");
        let now = self.dispatcher.context.now();
        let update = if whole { EndpointUpdate::FullList } else { EndpointUpdate::Changes };
        self.scheduler.endpoints_changed(now, update, endpoints, &mut self.dispatcher);
        self.tell();
    }

    /// Takes in all whole frames that the discovery service's connection has brought; tells whether there were any.
    pub fn discovery_heard(&mut self) -> Result<bool, String> {
        let mut any = false;
        while let Some((number, rows)) = self.discovery.take(&mut self.dispatcher.context.counters)? {
            any = true;
            if let Some((whole, rows)) = rows {
                log::info!("bulletin: event {number} with {} engines", rows.len());
                self.listed(whole, &rows);
            }
        }
        Ok(any)
    }

    // ---- the end ----

    /// A planned restart: the process ends once nothing is open, or when SIGKILL may come.
    pub fn close(&mut self) {
        if self.leaving.is_some() {
            return;
        }
        let context = &mut self.dispatcher.context;
        let now = context.now();
        let by = now + self.longest.min(LONGEST_COUNTED) + STRAGGLERS - ON_THE_WAY;
        self.leaving = Some(by);
        context.timers.set(now + STRAGGLERS, Timer::Leave);
        self.drain_admission_queue(now);
        self.scheduler.shutting_down(now, by, &mut self.dispatcher);
        self.tell();
    }

    /// Ends once nothing is open, or when SIGKILL may come.
    fn leave(&mut self) {
        let now = self.dispatcher.context.now();
        let done = self.is_done() && !self.unheard;
        self.left = done || self.leaving.is_some_and(|by| now >= by);
        self.dispatcher.context.timers.set(now + LOOK, Timer::Leave);
    }

    /// Whether nothing is owed, as far as clients were heard.
    pub fn is_done(&self) -> bool {
        let Dispatcher { requests, clients, engines, .. } = &self.dispatcher;
        requests.is_empty() && clients.all_sent() && engines.all_written()
    }
}

/// What a request says of its team, its urgency and whether its client wants to be told of its wait.
fn team_and_urgency(roll: &Roll, fields: Fields) -> Result<(usize, u8, bool), String> {
    let (team, urgency) = (roll.team_field.as_str(), roll.urgency_field.as_str());
    let name = fields.maybe(team).map(|_| fields.text(team)).transpose()?.unwrap_or_default();
    if name.len() > LONGEST_NAME {
        return Err(format!("`{team}` is over {LONGEST_NAME} bytes"));
    }
    let urgency = match fields.maybe(urgency).map(|value| value.as_u64()) {
        None => 0,
        Some(Some(told @ 0..=3)) => told as u8,
        Some(_) => return Err(format!("`{urgency}` is not 0, 1, 2 or 3")),
    };
    let told = roll.waits_field.as_ref().is_some_and(|field| fields.maybe_flag(field));
    Ok((roll.team(name), urgency, told))
}

/// The index of what a request's order goes by. Two names that came to one would only wait for each other.
fn key(subject: &str) -> KeyId {
    let mut hasher = DefaultHasher::new();
    subject.hash(&mut hasher);
    hasher.finish() as KeyId
}
