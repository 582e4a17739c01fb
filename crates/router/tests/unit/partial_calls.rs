//! Tests of calls of which only a part was written when the engine stopped reading.

use super::{Fixture, LONG_TIMEOUT};
use crate::engine_pool::PoolEvent;
use expect_test::expect;
use std::time::Duration;

/// Number of bytes of a call that the engine accepts before it stops reading.
const WRITTEN_BYTES: usize = 20;
const KEY_WINDOW_END: Duration = Duration::from_millis(500);
/// Time at which the client cancels its request.
const CANCELLED_AT: Duration = Duration::from_millis(100);

impl Fixture {
    /// Returns a pool whose attempt has a key window, and of whose call `written` bytes were written.
    fn with_partial_call(written: usize) -> Self {
        let mut fixture = Self::new(LONG_TIMEOUT, LONG_TIMEOUT);
        let attempt = fixture.pool.attempts.get_mut(fixture.attempt).expect("the attempt is in flight");
        attempt.key_window_end = Some(KEY_WINDOW_END);
        fixture.pool.connection_established(fixture.connection, &mut fixture.context);
        fixture.write_limited(written);
        fixture
    }

    /// Writes at a time after the start. Returns the number of bytes that were written, the outcome of the attempt and
    /// whether the connection is still open.
    fn write_at(&mut self, now: Duration) -> String {
        self.context.now = now;
        self.write();
        let outcome = match self.next_event() {
            Some(PoolEvent::Ended { ended, .. }) => format!("{:?}", ended.outcome),
            _ => "in flight".to_owned(),
        };
        let is_open = self.pool.connections.get(self.connection).is_some();
        format!("{now:?}: {} bytes, {outcome}, open {is_open}\n", self.written.len())
    }
}

/// Guards against an effect after the window of a key: the rest of a call was written although the call had lapsed.
#[test]
fn the_rest_of_a_call_is_not_written_after_its_key_window() {
    let just_before = KEY_WINDOW_END - Duration::from_millis(1);
    let write_at = |now| Fixture::with_partial_call(WRITTEN_BYTES).write_at(now);
    let outcomes = [just_before, KEY_WINDOW_END].map(write_at);
    expect![[r#"
        499ms: 61 bytes, in flight, open true
        500ms: 0 bytes, Lapsed(KeyWindow), open false
    "#]]
    .assert_eq(&outcomes.concat());
}

/// Guards against an answer that waits for the socket although the call can no longer be written in time.
#[test]
fn a_partly_written_call_ends_with_its_key_window() {
    let mut fixture = Fixture::with_partial_call(WRITTEN_BYTES);
    fixture.context.now = KEY_WINDOW_END;
    fixture.pool.call_expired(fixture.attempt, &mut fixture.context);
    expect![[r#"
        500ms: 0 bytes, Lapsed(KeyWindow), open false
    "#]]
    .assert_eq(&fixture.write_at(KEY_WINDOW_END));
}

/// Guards against an attempt that begins long after its client has left: the rest of its call was written whenever the
/// engine went on reading.
#[test]
fn the_rest_of_a_cancelled_call_is_written_only_at_once() {
    let mut outcomes = String::new();
    for waited in [49, 50].map(Duration::from_millis) {
        let mut fixture = Fixture::with_partial_call(WRITTEN_BYTES);
        fixture.context.now = CANCELLED_AT;
        fixture.pool.cancel(fixture.attempt, &mut fixture.context);
        outcomes.push_str(&fixture.write_at(CANCELLED_AT + waited));
    }
    expect![[r#"
        149ms: 98 bytes, Cancelled, open true
        150ms: 0 bytes, Cancelled, open false
    "#]]
    .assert_eq(&outcomes);
}

/// Guards against a retracted call that is taken for one that was written in part: another message may have its place in
/// the output.
#[test]
fn a_connection_stays_open_when_a_call_lapses_of_which_no_byte_was_written() {
    let mut fixture = Fixture::with_partial_call(0);
    fixture.context.now = KEY_WINDOW_END;
    fixture.pool.call_expired(fixture.attempt, &mut fixture.context);
    fixture.pool.send_ping(fixture.connection, &mut fixture.context);
    expect![[r#"
        500ms: 21 bytes, Lapsed(KeyWindow), open true
    "#]]
    .assert_eq(&fixture.write_at(KEY_WINDOW_END));
}
