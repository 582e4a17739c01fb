//! Calls to engines: the commands that engines handle, the load model that sets how long calls run, and the replies.

use super::{Engine, EngineConnection, EngineFault, Engines};
use crate::config::{CORES_PER_ENGINE, IDEMPOTENCY_WINDOW, PROGRESS_INTERVAL};
use crate::records::{Attempt, Records};
use crate::statements::{result_page, work_ms, work_of};
use emberflow_peer_protocol::engine::{Call, EngineCommand, EngineReply, UsedResources};
use emberflow_peer_protocol::resp::decode_array;
use std::time::Duration;

/// Maximum number of running calls per core.
const MAX_CALLS_PER_CORE: f64 = 16.0;
/// Number of running calls at which an engine rejects further calls as overloaded.
const MAX_RUNNING_CALLS: usize = (MAX_CALLS_PER_CORE * CORES_PER_ENGINE) as usize;
/// The work of a statement that does not specify it.
const DEFAULT_WORK: Duration = Duration::from_millis(10);
/// The memory need that each result reports, in MB.
const NEEDED_MEMORY_MB: f64 = 10.0;

/// Shortest time after which an engine with [`EngineFault::FailingLate`] fails a call, as a fraction of the window of an
/// idempotency key.
const LATE_FAILURE_FRACTION: f64 = 0.6;
/// The base of the digits of a request id.
const REQUEST_ID_RADIX: u32 = 16;

/// A call that an engine runs.
pub(super) struct RunningCall {
    /// Index of the connection on which the call came.
    connection: usize,
    /// Index of the attempt in the request's record.
    attempt: usize,
    work: Duration,
    ends_at: Duration,
    /// Whether the call ends with a failure.
    fails: bool,
}

/// Identifies the call for which a timer was set. A timer is ignored if its call no longer runs.
#[derive(Clone, Debug)]
pub struct CallKey {
    engine: usize,
    incarnation: u32,
    request_id: String,
}

/// A timer of a call that an engine runs.
#[derive(Clone, Debug)]
pub enum EngineTimer {
    /// The run time of the call is over.
    CallEnds(CallKey),
    /// The next progress reply of the call is due.
    Progress(CallKey),
}

/// A command that an engine has read.
struct ReceivedCommand {
    command: EngineCommand,
    /// When the last byte of the command arrived.
    arrived_at: Duration,
}

impl Engine {
    /// Whether a call that came on this connection is running.
    pub(super) fn has_call_on(&self, connection: usize) -> bool {
        self.running.values().any(|call| call.connection == connection)
    }

    /// Ends the calls that came on a connection, without a reply.
    pub(super) fn end_calls_of(&mut self, connection: usize, now: Duration, records: &mut Records) {
        let ended = self.running.extract_if(.., |_, call| call.connection == connection);
        for (request_id, call) in ended {
            record_end(&request_id, call.attempt, now, records);
        }
    }

    /// Returns the reply with which the engine refuses a new call; `None` if it runs the call.
    fn refusal(&self) -> Option<EngineReply<'static>> {
        if self.fault == EngineFault::Failing {
            return Some(EngineReply::Failed);
        }
        (self.running.len() >= MAX_RUNNING_CALLS).then_some(EngineReply::Overloaded)
    }

    /// Returns the run time of a call that starts now: all running calls share the cores evenly.
    fn run_time(&self, work: Duration) -> Duration {
        let slowdown = if let EngineFault::Slow { slowdown } = self.fault { slowdown } else { 1.0 };
        let calls_per_core = (self.running.len() as f64 + 1.0) / CORES_PER_ENGINE;
        work.mul_f64(slowdown * calls_per_core.max(1.0))
    }
}

impl Engines {
    /// Handles all complete commands that have arrived on a connection.
    pub(super) fn handle_commands(&mut self, connection: usize, now: Duration, records: &mut Records) {
        while let Some(ReceivedCommand { command, arrived_at }) = self.take_command(connection) {
            match command {
                EngineCommand::Call(call) => self.start_call(connection, &call, arrived_at, now, records),
                EngineCommand::Cancel { request_id } => self.cancel(connection, &request_id, now, records),
                EngineCommand::Ping { tag } => self.send(connection, &tag, EngineReply::Pong),
                EngineCommand::ReadPage { request_id, page } => {
                    self.send_page(connection, &request_id, &page)
                }
                EngineCommand::ClosePages { request_id } => self.close_pages(connection, &request_id),
                // The load model has no priorities.
                EngineCommand::SetPriority { .. } | EngineCommand::Unknown(_) => {}
            }
        }
    }

    fn take_command(&mut self, connection: usize) -> Option<ReceivedCommand> {
        let stream = &mut self.connections.get_mut(connection)?.stream;
        let array = decode_array(stream.input()).ok()??;
        let arrived_at = stream.consume(array.encoded_length);
        Some(ReceivedCommand { command: EngineCommand::decode(&array.parts), arrived_at })
    }

    /// Records an attempt, and runs the call or refuses it.
    fn start_call(
        &mut self,
        connection: usize,
        call: &Call,
        arrived_at: Duration,
        now: Duration,
        records: &mut Records,
    ) {
        let Some(source) = self.connections.get(connection) else { return };
        let engine_index = source.engine;
        let Some(request) = records.requests.get_mut(&call.request_id) else { return };
        let engine = &mut self.engines[engine_index];
        let refusal = engine.refusal();
        request.attempts.push(Attempt {
            at: arrived_at,
            engine: engine_index,
            time_left: call.fields.time_left.unwrap_or_default(),
            started: refusal.is_none(),
            pages: 0,
            ended_at: refusal.map(|_| now),
        });
        if let Some(refusal) = refusal {
            return self.send(connection, &call.request_id, refusal);
        }
        let work = work_of(&call.statement).unwrap_or(DEFAULT_WORK);
        let fails = engine.fault == EngineFault::FailingLate;
        let run_time = if fails { late_failure_time(&call.request_id) } else { engine.run_time(work) };
        let ends_at = now + run_time;
        let running = RunningCall { connection, attempt: request.attempts.len() - 1, work, ends_at, fails };
        engine.running.insert(call.request_id.clone(), running);
        let key = CallKey {
            engine: engine_index,
            incarnation: engine.incarnation,
            request_id: call.request_id.clone(),
        };
        self.new_timers.push((ends_at, EngineTimer::CallEnds(key.clone())));
        self.schedule_progress(key, ends_at, now);
    }

    /// Sets the timer of the next progress reply, if the call still runs at that time.
    fn schedule_progress(&mut self, key: CallKey, ends_at: Duration, now: Duration) {
        let due_at = now + PROGRESS_INTERVAL;
        if ends_at > due_at {
            self.new_timers.push((due_at, EngineTimer::Progress(key)));
        }
    }

    fn cancel(&mut self, connection: usize, request_id: &str, now: Duration, records: &mut Records) {
        let Some(EngineConnection { engine, .. }) = self.connections.get(connection) else { return };
        if let Some(call) = self.engines[*engine].running.remove(request_id) {
            record_end(request_id, call.attempt, now, records);
        }
    }

    pub(super) fn send(&mut self, connection: usize, id: &str, reply: EngineReply<'_>) {
        if let Some(connection) = self.connections.get_mut(connection) {
            connection.stream.send(&reply.encode(id));
        }
    }

    /// Handles a timer that has expired.
    pub fn handle_timer(&mut self, timer: EngineTimer, now: Duration, records: &mut Records) {
        match timer {
            EngineTimer::CallEnds(key) => self.finish_call(&key, now, records),
            EngineTimer::Progress(key) => self.send_progress(key, now),
        }
    }

    /// Ends a call and sends its result, if its run time is over.
    fn finish_call(&mut self, key: &CallKey, now: Duration, records: &mut Records) {
        let CallKey { engine: index, incarnation, request_id } = key;
        let engine = &mut self.engines[*index];
        let is_due = engine.running.get(request_id).is_some_and(|call| call.ends_at <= now);
        if engine.incarnation != *incarnation || !is_due {
            return;
        }
        let Some(call) = engine.running.remove(request_id) else { return };
        record_end(request_id, call.attempt, now, records);
        if call.fails {
            return self.send(call.connection, request_id, EngineReply::Failed);
        }
        let fault = engine.fault;
        let used = UsedResources { work_ms: work_ms(call.work), memory_mb: NEEDED_MEMORY_MB };
        let reply = if fault == EngineFault::Spoiling {
            self.make_paged_result(*index, request_id, call.attempt, used, records)
        } else {
            record_result(request_id, call.attempt, 1, records);
            let rows = result_page(request_id, *index, call.attempt, 0);
            EngineReply::Result { pages: 1, used: Some(used), rows: rows.as_bytes() }.encode(request_id)
        };
        let sent_bytes = match fault {
            EngineFault::Silent => return,
            EngineFault::Truncating => &reply[..reply.len() / 2],
            _ => &reply[..],
        };
        if let Some(connection) = self.connections.get_mut(call.connection) {
            connection.stream.send(sent_bytes);
        }
    }

    fn send_progress(&mut self, key: CallKey, now: Duration) {
        let engine = &self.engines[key.engine];
        if engine.incarnation != key.incarnation || engine.fault == EngineFault::Silent {
            return;
        }
        let Some(call) = engine.running.get(&key.request_id) else { return };
        let ends_at = call.ends_at;
        self.send(call.connection, &key.request_id, EngineReply::Progress(None));
        self.schedule_progress(key, ends_at, now);
    }
}

/// Returns the time after which an engine with [`EngineFault::FailingLate`] fails a call: a part of the window of an
/// idempotency key, from [`LATE_FAILURE_FRACTION`] on, that follows from the last digit of the request's id.
fn late_failure_time(request_id: &str) -> Duration {
    let last_digit = request_id.chars().last().and_then(|digit| digit.to_digit(REQUEST_ID_RADIX));
    let part = f64::from(last_digit.unwrap_or_default()) / f64::from(REQUEST_ID_RADIX);
    IDEMPOTENCY_WINDOW.mul_f64(LATE_FAILURE_FRACTION + (1.0 - LATE_FAILURE_FRACTION) * part)
}

/// Records that an engine has made a result of this many pages for an attempt.
pub(super) fn record_result(request_id: &str, attempt: usize, pages: u32, records: &mut Records) {
    if let Some(record) = attempt_record(request_id, attempt, records) {
        record.pages = pages;
    }
}

/// Returns the record of an attempt, by its index in the record of its request.
fn attempt_record<'a>(request_id: &str, attempt: usize, records: &'a mut Records) -> Option<&'a mut Attempt> {
    records.requests.get_mut(request_id)?.attempts.get_mut(attempt)
}

/// Records the end of an attempt at its engine.
fn record_end(request_id: &str, attempt: usize, now: Duration, records: &mut Records) {
    if let Some(record) = attempt_record(request_id, attempt, records) {
        record.ended_at = Some(now);
    }
}
