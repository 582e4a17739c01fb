//! Tests of the engine pool without sockets: attempts, and their connections to engines.

use super::{Call, EnginePool, PoolEvent};
use crate::context::Context;
use crate::discovery::EndpointRecord;
use crate::slots::Slot;
use emberflow::{Lifecycle, RequestId, SendLimits};
use emberflow_peer_protocol::engine::EngineReply;
use expect_test::expect;
use std::io::{self, Cursor, Read, Write};
use std::time::Duration;

mod partial_calls;
mod reply_limits;
mod spoilt_replies;

const REQUEST_ID: &str = "9b1f03aa5c7e2d41";
const HEALTH_CHECK_ID: &str = "0";
/// A timeout that is longer than any test.
const LONG_TIMEOUT: Duration = Duration::from_secs(20);
/// The idle timeout of engines.
const IDLE_CLOSE: Duration = Duration::from_secs(20);

/// A pool with one ready engine and an attempt that was sent to it.
struct Fixture {
    context: Context,
    pool: EnginePool,
    attempt: Slot,
    connection: Slot,
    /// The bytes written to the engine.
    written: Vec<u8>,
}

impl Fixture {
    fn new(connect_timeout: Duration, deadline: Duration) -> Self {
        let mut context = Context::default();
        let mut pool = EnginePool::new(1, connect_timeout, IDLE_CLOSE, 1);
        let engine = pool.update_endpoint(&record(Lifecycle::Ready), &mut context).engine;
        let call = call(0, REQUEST_ID, deadline);
        let attempt = pool.send(engine, call, &[], &mut context);
        let connection = pool.connection_of(attempt).expect("the engine is ready");
        Self { context, pool, attempt, connection, written: Vec::new() }
    }

    /// Returns a pool whose attempt was written to its engine.
    fn with_written_call() -> Self {
        let mut fixture = Self::new(LONG_TIMEOUT, LONG_TIMEOUT);
        fixture.establish();
        fixture
    }

    fn establish(&mut self) {
        self.pool.connection_established(self.connection, &mut self.context);
        self.write();
    }

    fn write(&mut self) {
        self.pool
            .flush(self.connection, &mut self.written, &mut self.context)
            .expect("writing to memory never fails");
    }

    /// Writes to a socket that accepts this number of bytes.
    fn write_limited(&mut self, capacity: usize) {
        self.pool
            .flush(self.connection, &mut LimitedSocket { capacity }, &mut self.context)
            .expect("a full socket only blocks");
    }

    /// Delivers a reply of the engine with an id to the pool.
    fn receive(&mut self, id: &str, reply: EngineReply<'_>) {
        let mut socket = OpenSocket(Cursor::new(reply.encode(id)));
        self.pool.read(self.connection, &mut socket, &mut self.context);
    }

    /// Returns a counter with its name; an empty text if nothing was counted.
    fn counter(&self, name: &str) -> String {
        let counters = self.context.counters.to_string();
        let counter = counters.split(' ').find(|counter| counter.starts_with(&format!("{name}=")));
        counter.unwrap_or_default().to_owned()
    }

    /// Returns the next event that is not the writing of a call.
    fn next_event(&mut self) -> Option<PoolEvent> {
        self.pool.events.retain(|event| !matches!(event, PoolEvent::Written { .. }));
        self.pool.events.pop_front()
    }

    /// Runs the check of the connection at a time. Returns whether the connection is still open.
    fn check_connection(&mut self, now: Duration) -> bool {
        self.context.now = now;
        self.pool.connection_check_due(self.connection, now, &mut self.context);
        self.pool.connections.get(self.connection).is_some()
    }
}

/// Returns a call without a statement or a memory grant.
fn call(request: u32, id: &str, deadline: Duration) -> Call<'_> {
    Call {
        request: RequestId(request),
        number: 0,
        request_name: id,
        class: "report",
        idempotency_key: None,
        statement: b"",
        grant_mb: 0.0,
        priority: 1,
        limits: SendLimits { timeout_at: deadline, key_window_end: None },
    }
}

fn record(lifecycle: Lifecycle) -> EndpointRecord {
    EndpointRecord {
        id: 7,
        address: ([127, 0, 0, 1], 9).into(),
        lifecycle,
        location: 0,
        kind: 0,
        cell: 0,
        up_since_ms: 0,
    }
}

/// A socket that delivers some bytes and then would block.
struct OpenSocket(Cursor<Vec<u8>>);

impl Read for OpenSocket {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        match self.0.read(into)? {
            0 => Err(io::ErrorKind::WouldBlock.into()),
            count => Ok(count),
        }
    }
}

/// A socket that accepts a number of bytes and then would block.
struct LimitedSocket {
    capacity: usize,
}

impl Write for LimitedSocket {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let accepted = std::mem::take(&mut self.capacity).min(bytes.len());
        if accepted == 0 { Err(io::ErrorKind::WouldBlock.into()) } else { Ok(accepted) }
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_changed_priority_of_an_attempt_in_flight_is_sent_to_its_engine() {
    let mut fixture = Fixture::new(LONG_TIMEOUT, LONG_TIMEOUT);
    fixture.pool.update_priority(fixture.attempt, 3, &mut fixture.context);
    fixture.establish();
    fixture.pool.update_priority(fixture.attempt, 2, &mut fixture.context);
    fixture.write();
    let text = String::from_utf8(fixture.written).expect("the messages are text");
    // Skips the call, and the header of the first message with a priority.
    let lines: Vec<&str> = text.lines().skip(10).take(13).collect();
    expect!["$4 RANK $16 9b1f03aa5c7e2d41 $1 3 *3 $4 RANK $16 9b1f03aa5c7e2d41 $1 2"]
        .assert_eq(&lines.join(" "));
}

/// Guards against calls that are written to a draining engine once its socket accepts bytes again.
#[test]
fn calls_blocked_by_a_full_socket_are_retracted_when_their_engine_drains() {
    let outcome_after = |accepted: usize| {
        let mut fixture = Fixture::new(LONG_TIMEOUT, LONG_TIMEOUT);
        fixture.pool.connection_established(fixture.connection, &mut fixture.context);
        fixture.write_limited(accepted);
        fixture.pool.update_endpoint(&record(Lifecycle::Draining), &mut fixture.context);
        fixture.write();
        let written = fixture.written.len() + accepted;
        format!("{written} bytes written, {}\n", fixture.context.counters)
    };
    expect![[r#"
        0 bytes written, attempts_not_sent=1 attempts_sent=1 connections_dialled=1
        81 bytes written, attempts_sent=1 connections_dialled=1
    "#]]
    .assert_eq(&(outcome_after(0) + &outcome_after(1)));
}

#[test]
fn replies_that_arrived_in_time_count_when_the_router_reads_them_late() {
    let timeout = Duration::from_millis(100);
    let mut fixture = Fixture::new(timeout, timeout * 10);
    fixture.establish();
    let open_at_health_check = fixture.check_connection(timeout * 2);
    fixture.context.now = timeout * 3;
    fixture.receive(HEALTH_CHECK_ID, EngineReply::Pong);
    let open_after_pong = fixture.check_connection(timeout * 3);
    fixture.context.now = timeout * 10;
    fixture.receive(REQUEST_ID, EngineReply::Result { pages: 1, used: None, rows: b"a\tb\tc\n" });
    fixture.pool.attempt_overdue(fixture.attempt, &mut fixture.context);
    let event = match fixture.next_event() {
        Some(PoolEvent::Ended { ended, body, .. }) => {
            format!("{:?}, {:?} bytes", ended.outcome, body.map(|body| body.len()))
        }
        _ => "nothing".into(),
    };
    expect!["open at the health check true, after its pong true, Succeeded, Some(6) bytes; attempts_sent=1 attempts_succeeded=1 connections_checked=1 connections_dialled=1"]
        .assert_eq(&format!(
            "open at the health check {open_at_health_check}, after its pong {open_after_pong}, {event}; {}",
            fixture.context.counters
        ));
}

/// Guards against a call that carries more time than its client has left.
#[test]
fn a_call_that_waited_for_its_connection_carries_the_time_left() {
    let second = Duration::from_secs(1);
    let mut fixture = Fixture::new(second, second * 2);
    fixture.context.now = second / 2;
    fixture.pool.connection_established(fixture.connection, &mut fixture.context);
    fixture.write_limited(0);
    fixture.context.now = second;
    fixture.write();
    let text = String::from_utf8(fixture.written).expect("the messages are text");
    assert!(text.contains("budget=1000"), "{text}");
}

/// Guards against idle connections of a large fleet that use up the connection limit.
#[test]
fn an_idle_connection_is_closed_for_a_call_to_another_engine() {
    let mut fixture = Fixture::new(LONG_TIMEOUT, LONG_TIMEOUT);
    fixture.establish();
    let context = &mut fixture.context;
    let other = EndpointRecord { id: 8, ..record(Lifecycle::Ready) };
    let engine = fixture.pool.update_endpoint(&other, context).engine;
    let other_id = "00000000000000aa";
    fixture.pool.send(engine, call(1, other_id, LONG_TIMEOUT), &[], context);
    let connections_before = fixture.pool.size().connections;
    fixture.pool.cancel(fixture.attempt, context);
    let attempt = fixture.pool.send(engine, call(2, other_id, LONG_TIMEOUT), &[], context);
    let connection = fixture.pool.connection_of(attempt);
    assert_eq!((connections_before, fixture.pool.size().connections), (1, 1));
    assert!(connection.is_some_and(|connection| connection != fixture.connection));
    expect!["attempts_cancelled=1 attempts_not_sent=1 attempts_sent=3 connections_closed_for_capacity=1 connections_dialled=2 connections_over_the_limit=1"]
        .assert_eq(&fixture.context.counters.to_string());
}
