//! Tests of the memory that the replies of engines may fill.

use super::{Fixture, LONG_TIMEOUT, OpenSocket, REQUEST_ID, call};
use crate::engine_pool::EnginePool;
use crate::slots::Slot;
use emberflow_peer_protocol::engine::EngineReply;
use expect_test::expect;
use std::io::Cursor;

/// Largest size of a page, by the protocol.
const MAX_PAGE_BYTES: usize = 6_000;
/// Largest size of a result, by the protocol.
const MAX_RESULT_BYTES: usize = 48_000;
/// Limit of the memory of the input buffer of a connection on which a reply has begun.
const MAX_INPUT_MEMORY: usize = 64 * 1024;
/// A row of ten bytes.
const ROW: &str = "12\t456\t89\n";

/// Returns rows of this size, which must be a multiple of ten.
fn rows(bytes: usize) -> String {
    ROW.repeat(bytes / ROW.len())
}

fn first_page(pages: u32, bytes: usize) -> Vec<u8> {
    EngineReply::Result { pages, used: None, rows: rows(bytes).as_bytes() }.encode(REQUEST_ID)
}

fn page(number: u32, bytes: usize) -> Vec<u8> {
    EngineReply::Page { page: number, rows: rows(bytes).as_bytes() }.encode(REQUEST_ID)
}

impl Fixture {
    /// Delivers bytes on a connection, and describes what the pool holds then.
    fn held_after(&mut self, connection: Slot, bytes: &[u8]) -> String {
        self.pool.read(connection, &mut OpenSocket(Cursor::new(bytes.to_vec())), &mut self.context);
        let is_open = self.pool.connections.get(connection).is_some();
        let held = self.pool.bytes();
        assert!(held.input <= MAX_INPUT_MEMORY, "{held:?}");
        format!("{} bytes of results, open {is_open}", held.results)
    }
}

/// Guards against an engine that fills the router's memory with pages that are larger than the protocol allows.
#[test]
fn a_page_over_its_limit_is_rejected_before_it_is_stored() {
    let mut fixture = Fixture::with_written_call();
    let connection = fixture.connection;
    let first = fixture.held_after(connection, &first_page(256, MAX_PAGE_BYTES));
    let too_long = page(1, 10 * MAX_PAGE_BYTES);
    let announcement = too_long.len() - 10 * MAX_PAGE_BYTES;
    let second = fixture.held_after(connection, &too_long[..announcement]);
    expect!["6000 bytes of results, open true; 0 bytes of results, open false"]
        .assert_eq(&format!("{first}; {second}"));
}

/// Guards against an engine that fills the router's memory with many pages, whose total was checked after the last one.
#[test]
fn a_result_over_its_limit_is_rejected_before_it_is_complete() {
    let mut fixture = Fixture::with_written_call();
    let connection = fixture.connection;
    let mut held = fixture.held_after(connection, &first_page(256, MAX_PAGE_BYTES));
    for number in 1..8 {
        held = fixture.held_after(connection, &page(number, MAX_PAGE_BYTES));
    }
    assert_eq!(held, format!("{MAX_RESULT_BYTES} bytes of results, open true"));
    let after_one_row = fixture.held_after(connection, &page(8, ROW.len()));
    expect!["0 bytes of results, open false; engine_input_malformed=1"]
        .assert_eq(&format!("{after_one_row}; {}", fixture.counter("engine_input_malformed")));
}

/// Guards against a result of the largest size that is rejected.
#[test]
fn a_result_of_the_largest_size_is_complete() {
    let mut fixture = Fixture::with_written_call();
    let connection = fixture.connection;
    fixture.held_after(connection, &first_page(8, MAX_PAGE_BYTES));
    for number in 1..8 {
        fixture.held_after(connection, &page(number, MAX_PAGE_BYTES));
    }
    assert_eq!(fixture.pool.bytes().results, 0);
    expect!["attempts_succeeded=1"].assert_eq(&fixture.counter("attempts_succeeded"));
}

/// Guards against output that grows with the number of pages that an engine announces.
#[test]
fn pages_are_requested_as_others_arrive() {
    let mut fixture = Fixture::with_written_call();
    let connection = fixture.connection;
    let mut requested = Vec::new();
    for reply in [first_page(256, ROW.len()), page(1, ROW.len()), page(2, ROW.len())] {
        fixture.held_after(connection, &reply);
        fixture.written.clear();
        fixture.write();
        requested.push(String::from_utf8_lossy(&fixture.written).matches("PAGE").count());
    }
    assert_eq!(requested, [16, 1, 1]);
}

/// Guards against the results of many attempts that exceed the router's memory together. A result that is complete with
/// the page that arrives is not held, and succeeds.
#[test]
fn the_results_of_all_attempts_stay_within_their_limit() {
    const LIMIT: usize = 2 * MAX_PAGE_BYTES;
    let mut fixture = Fixture::new(LONG_TIMEOUT, LONG_TIMEOUT);
    fixture.pool = EnginePool::new(1, LONG_TIMEOUT, LONG_TIMEOUT, 8);
    fixture.pool.limit_result_bytes(LIMIT);
    let engine = fixture.pool.update_endpoint(&super::record(super::Lifecycle::Ready), &mut fixture.context);
    let (mut held, mut attempts) = (Vec::new(), Vec::new());
    for (request, pages) in (0..).zip([2, 2, 2, 1]) {
        let context = &mut fixture.context;
        let attempt = fixture.pool.send(engine.engine, call(request, REQUEST_ID, LONG_TIMEOUT), &[], context);
        attempts.push(attempt);
        fixture.connection = fixture.pool.connection_of(attempt).expect("the engine is ready");
        fixture.establish();
        held.push(fixture.held_after(fixture.connection, &first_page(pages, MAX_PAGE_BYTES)));
        fixture.write();
    }
    let discarded = String::from_utf8_lossy(&fixture.written).matches("CLOSE").count();
    let counters = ["attempts_cancelled", "attempts_succeeded", "results_over_the_limit"]
        .map(|name| fixture.counter(name));
    expect![[r#"["6000 bytes of results, open true", "12000 bytes of results, open true", "12000 bytes of results, open true", "12000 bytes of results, open true"] discarded 1 ["attempts_cancelled=1", "attempts_succeeded=1", "results_over_the_limit=1"]"#]].assert_eq(&format!("{held:?} discarded {discarded} {counters:?}"));
    for attempt in attempts {
        fixture.pool.cancel(attempt, &mut fixture.context);
    }
    assert_eq!(fixture.pool.bytes().results, 0);
}
