//! Attempts and their connections to engines, without sockets.

use super::*;
use emberflow::Lifecycle;
use expect_test::expect;
use std::io::Cursor;

/// An engine that listens, and an attempt that has gone out to it.
struct Stand {
    context: Context,
    engines: EnginePool,
    attempt: Slot,
    connection: Slot,
    seen: Vec<u8>,
}

impl Stand {
    fn new(comes_up: Duration, until: Duration) -> Self {
        let mut context = Context::default();
        let mut engines = EnginePool::new(1, comes_up, Duration::from_secs(20), 1);
        let (location, kind, cell, address) = (0, 0, 0, ([127, 0, 0, 1], 9).into());
        let row = EndpointRecord {
            id: 7,
            address,
            lifecycle: Lifecycle::Ready,
            location,
            kind,
            cell,
            up_since_ms: 0,
        };
        let engine = engines.update_endpoint(&row, &mut context).engine;
        let call = Call {
            request: 0,
            number: 0,
            id: "9b1f03aa5c7e2d41",
            class: "report",
            opkey: None,
            statement: b"",
            grant_mb: 0.0,
            priority: 1,
            until,
        };
        let attempt = engines.send(engine, call, &[], &mut context);
        let connection = engines.connection_of(attempt).expect("a connection");
        Self { context, engines, attempt, connection, seen: Vec::new() }
    }

    fn up(&mut self) {
        self.engines.connection_established(self.connection, &mut self.context);
        self.engines.drain(self.connection, &mut self.seen).expect("it writes");
    }

    fn hears(&mut self, words: &[&[u8]]) {
        self.engines.read(
            self.connection,
            &mut Silent(Cursor::new(resp::encode_array(words))),
            &mut self.context,
        );
    }
}

/// What has come, and nothing more for now.
struct Silent(Cursor<Vec<u8>>);

impl Read for Silent {
    fn read(&mut self, into: &mut [u8]) -> Done<usize> {
        match self.0.read(into)? {
            0 => Err(std::io::ErrorKind::WouldBlock.into()),
            count => Ok(count),
        }
    }
}

#[test]
fn a_new_priority_of_an_attempt_that_is_out_goes_to_its_engine() {
    let long = Duration::from_secs(20);
    let mut stand = Stand::new(long, long);
    stand.engines.update_priority(stand.attempt, 3, &mut stand.context);
    stand.up();
    stand.engines.update_priority(stand.attempt, 2, &mut stand.context);
    stand.engines.drain(stand.connection, &mut stand.seen).expect("it writes");
    let text = String::from_utf8(stand.seen).expect("text");
    let words: Vec<&str> = text.lines().skip(10).take(13).collect();
    expect!["$4 RANK $16 9b1f03aa5c7e2d41 $1 3 *3 $4 RANK $16 9b1f03aa5c7e2d41 $1 2"]
        .assert_eq(&words.join(" "));
}

/// Takes only a few bytes, then none.
struct Narrow(usize);

impl Write for Narrow {
    fn write(&mut self, bytes: &[u8]) -> Done<usize> {
        let taken = std::mem::take(&mut self.0).min(bytes.len());
        if taken == 0 { Err(std::io::ErrorKind::WouldBlock.into()) } else { Ok(taken) }
    }
    fn flush(&mut self) -> Done<()> {
        Ok(())
    }
}

/// Found by the explorer: such calls left for a draining engine once it read again.
#[test]
fn calls_that_their_connection_has_no_room_for_are_taken_back_at_a_drain() {
    let told = |room: usize| {
        let long = Duration::from_secs(20);
        let mut stand = Stand::new(long, long);
        stand.engines.connection_established(stand.connection, &mut stand.context);
        stand.engines.drain(stand.connection, &mut Narrow(room)).expect("it blocks");
        let (location, kind, cell, address) = (0, 0, 0, ([127, 0, 0, 1], 9).into());
        let row = EndpointRecord {
            id: 7,
            address,
            lifecycle: Lifecycle::Draining,
            location,
            kind,
            cell,
            up_since_ms: 0,
        };
        stand.engines.update_endpoint(&row, &mut stand.context);
        stand.engines.drain(stand.connection, &mut stand.seen).expect("it writes");
        format!("{} bytes left, {}\n", stand.seen.len() + room, stand.context.counters)
    };
    expect![[r#"
        0 bytes left, attempts_sent=1 attempts_void=1 connections_dialled=1
        81 bytes left, attempts_sent=1 connections_dialled=1
    "#]]
    .assert_eq(&(told(0) + &told(1)));
}

#[test]
fn what_came_in_time_counts_though_the_router_is_late_to_read_it() {
    let soon = Duration::from_millis(100);
    let mut stand = Stand::new(soon, soon * 10);
    stand.up();
    let look = |stand: &mut Stand, at: Duration| {
        stand.context.now = at;
        stand.engines.connection_check_due(stand.connection, at, &mut stand.context);
        stand.engines.connections.get(stand.connection).is_some()
    };
    let asked = look(&mut stand, soon * 2);
    stand.context.now = soon * 3;
    stand.hears(&[b"0", b"PONG", b"-", b""]);
    let kept = look(&mut stand, soon * 3);
    stand.context.now = soon * 10;
    stand.hears(&[b"9b1f03aa5c7e2d41", b"HIT", b"pages=1", b"a\tb\tc\n"]);
    stand.engines.attempt_overdue(stand.attempt, &mut stand.context);
    let told = match stand.engines.events.pop_front() {
        Some(PoolEvent::Ended(ended, body, _)) => {
            format!("{:?}, {:?} bytes", ended.outcome, body.map(|b| b.len()))
        }
        _ => "nothing".into(),
    };
    expect!["asked true, kept true, Succeeded, Some(6) bytes; attempts_sent=1 attempts_succeeded=1 connections_checked=1 connections_dialled=1"]
        .assert_eq(&format!("asked {asked}, kept {kept}, {told}; {}", stand.context.counters));
}
